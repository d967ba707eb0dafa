"""Tests of reservations: wide gangs beside narrow ones and batch work, on a cell under load."""

from __future__ import annotations

from tests.scheduling.helpers import AskAdvice, Bench, make_step
from wasabiramp.scheduling.model import Resources, Step


def make_long(count: int, cpu: int, seconds: float, **options: object) -> Step:
    """Return a step whose tasks take some seconds."""
    return Step(count, Resources(cpu, 100, 0), seconds, **options)


class TestWideGang:
    """Grown rimworks-cairo, quiet-1: wide gangs waited 25 s while narrow ones went past them."""

    def test_narrow_gangs_do_not_starve_it(self) -> None:
        bench = Bench(executors=4, cpu=4_000)
        bench.submit("a" * 16, "gangs", make_long(2, 4_000, 5.0, is_gang=True))
        first = bench.place_and_confirm()
        bench.tick(2.0)
        bench.submit("b" * 16, "gangs", make_long(4, 4_000, 5.0, is_gang=True))
        bench.submit("c" * 16, "gangs", make_long(2, 4_000, 5.0, is_gang=True))
        assert bench.place() == []
        for start in first:
            bench.end(start, "done")
        for start in first:
            bench.report(start.executor)
        assert {start.task[:16] for start in bench.place()} == {"b" * 16}

    def test_work_that_ends_in_time_goes_past_it(self) -> None:
        bench = Bench(executors=2, cpu=4_000)
        bench.submit("a" * 16, "batch", make_long(1, 4_000, 8.0))
        bench.place_and_confirm()
        bench.submit("b" * 16, "gangs", make_long(2, 4_000, 5.0, is_gang=True))
        bench.submit("c" * 16, "batch", make_long(1, 1_000, 7.0))
        bench.submit("d" * 16, "batch", make_long(1, 1_000, 2.0))
        assert {start.task[:16] for start in bench.place()} == {"d" * 16}

    def test_only_the_executors_that_are_free_first_are_kept(self) -> None:
        bench = Bench(executors=3, cpu=4_000)
        bench.submit("a" * 16, "batch", make_long(1, 3_000, 9.0))
        (late,) = bench.place_and_confirm()
        bench.submit("b" * 16, "batch", make_long(1, 3_000, 2.0))
        (soon,) = bench.place_and_confirm()
        bench.submit("c" * 16, "gangs", make_long(2, 4_000, 5.0, is_gang=True))
        bench.submit("d" * 16, "gangs", make_long(3, 4_000, 5.0, is_gang=True))
        assert {start.executor for start in bench.place()} == set()
        bench.submit("e" * 16, "batch", make_long(1, 1_000, 5.0))
        kept = {start.executor for start in bench.place()}
        assert kept == {late.executor}
        assert soon.executor not in kept

    def test_urgent_work_avoids_what_is_kept(self) -> None:
        bench = Bench(executors=3, cpu=4_000)
        bench.submit("a" * 16, "batch", make_long(1, 2_000, 9.0))
        (late,) = bench.place_and_confirm()
        bench.submit("b" * 16, "batch", make_long(1, 3_000, 2.0))
        bench.place_and_confirm()
        bench.submit("c" * 16, "gangs", make_long(2, 4_000, 5.0, is_gang=True))
        bench.place()
        bench.submit("d" * 16, "urgent", make_step(1))
        (start,) = bench.place()
        assert start.executor == late.executor


class TestFurtherAdvice:
    """Grown rimworks-cairo, quiet-1: a gang waited for the 27 good of 100 among 175 executors."""

    def test_gang_without_room_asks_about_further_executors(self) -> None:
        bench = Bench(executors=40, cpu=4_000)
        bench.submit("z" * 16, "batch", make_long(30, 4_000, 9.0))
        busy = {start.executor for start in bench.place_and_confirm()}
        bench.submit("a" * 16, "advised", make_long(3, 4_000, 5.0, is_gang=True))
        bench.place()
        (ask,) = bench.take(AskAdvice)
        bench.advise(ask, [name for name in ask.executors if name in busy])
        bench.place()
        (further,) = bench.take(AskAdvice)
        assert not set(further.executors) & set(ask.executors)
        assert len(ask.executors) + len(further.executors) == 40
        bench.advise(further, further.executors)
