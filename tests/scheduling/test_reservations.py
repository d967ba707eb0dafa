"""Tests of reservations: wide gangs that compete with narrow ones and batch work."""

from __future__ import annotations

from tests.scheduling.helpers import AskAdvice, SchedulerHarness, make_step
from wasabiramp.scheduling.model import Resources, Step


def make_timed_step(count: int, cpu: int, seconds: float, **options: object) -> Step:
    """Return a step whose tasks take an estimated number of seconds."""
    return Step(count, Resources(cpu, 100, 0), seconds, **options)


class TestWideGang:
    """Guards against narrow gangs overtaking a wide one.

    In scenario quiet-1 of the enlarged rimworks-cairo, wide gangs waited for 25 s because of that.
    """

    def test_narrow_gangs_do_not_starve_a_wide_gang(self) -> None:
        harness = SchedulerHarness(executors=4, cpu=4_000)
        harness.submit("a" * 16, "gangs", make_timed_step(2, 4_000, 5.0, is_gang=True))
        first = harness.place_and_start()
        harness.tick(2.0)
        harness.submit("b" * 16, "gangs", make_timed_step(4, 4_000, 5.0, is_gang=True))
        harness.submit("c" * 16, "gangs", make_timed_step(2, 4_000, 5.0, is_gang=True))
        assert harness.place() == []
        for start in first:
            harness.end_run(start, "done")
        for start in first:
            harness.answer_hold(start.executor)
        assert {start.task[:16] for start in harness.place()} == {"b" * 16}

    def test_work_that_ends_in_time_is_backfilled(self) -> None:
        harness = SchedulerHarness(executors=2, cpu=4_000)
        harness.submit("a" * 16, "batch", make_timed_step(1, 4_000, 8.0))
        harness.place_and_start()
        harness.submit("b" * 16, "gangs", make_timed_step(2, 4_000, 5.0, is_gang=True))
        harness.submit("c" * 16, "batch", make_timed_step(1, 1_000, 7.0))
        harness.submit("d" * 16, "batch", make_timed_step(1, 1_000, 2.0))
        assert {start.task[:16] for start in harness.place()} == {"d" * 16}

    def test_only_the_executors_that_are_free_first_are_reserved(self) -> None:
        harness = SchedulerHarness(executors=3, cpu=4_000)
        harness.submit("a" * 16, "batch", make_timed_step(1, 3_000, 9.0))
        (long_run,) = harness.place_and_start()
        harness.submit("b" * 16, "batch", make_timed_step(1, 3_000, 2.0))
        (short_run,) = harness.place_and_start()
        harness.submit("c" * 16, "gangs", make_timed_step(2, 4_000, 5.0, is_gang=True))
        harness.submit("d" * 16, "gangs", make_timed_step(3, 4_000, 5.0, is_gang=True))
        assert {start.executor for start in harness.place()} == set()
        harness.submit("e" * 16, "batch", make_timed_step(1, 1_000, 5.0))
        used = {start.executor for start in harness.place()}
        assert used == {long_run.executor}
        assert short_run.executor not in used

    def test_urgent_work_prefers_unreserved_executors(self) -> None:
        harness = SchedulerHarness(executors=3, cpu=4_000)
        harness.submit("a" * 16, "batch", make_timed_step(1, 2_000, 9.0))
        (long_run,) = harness.place_and_start()
        harness.submit("b" * 16, "batch", make_timed_step(1, 3_000, 2.0))
        harness.place_and_start()
        harness.submit("c" * 16, "gangs", make_timed_step(2, 4_000, 5.0, is_gang=True))
        harness.place()
        harness.submit("d" * 16, "urgent", make_step(1))
        (start,) = harness.place()
        assert start.executor == long_run.executor


class TestFurtherQuestions:
    """Guards against a gang waiting for a few suitable executors while others were not asked about.

    In scenario quiet-1 of the enlarged rimworks-cairo, a gang asked about 100 of 175 executors and
    waited for the 27 suitable ones among them.
    """

    def test_gang_that_does_not_fit_asks_about_further_executors(self) -> None:
        harness = SchedulerHarness(executors=40, cpu=4_000)
        harness.submit("z" * 16, "batch", make_timed_step(30, 4_000, 9.0))
        busy = {start.executor for start in harness.place_and_start()}
        harness.submit("a" * 16, "advised", make_timed_step(3, 4_000, 5.0, is_gang=True))
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        harness.answer_advice(ask, [name for name in ask.executors if name in busy])
        harness.place()
        (further,) = harness.take_effects(AskAdvice)
        assert not set(further.executors) & set(ask.executors)
        assert len(ask.executors) + len(further.executors) == 40
        harness.answer_advice(further, further.executors)
