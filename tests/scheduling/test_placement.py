"""Tests of placement: room, gangs, labels, spreading, urgency and advice."""

from __future__ import annotations

from collections import Counter

from tests.scheduling.helpers import AskAdvice, Bench, StopTask, make_step
from wasabiramp.scheduling.events import REFUSED_ROOM, AdviceFailed
from wasabiramp.scheduling.model import Resources, Step
from wasabiramp.scheduling.state import calculate_critical_path_s


class TestRoom:
    """No executor gets more than it holds."""

    def test_starts_stop_at_the_capacity(self) -> None:
        bench = Bench(executors=2, cpu=4_000)
        bench.submit("a" * 16, "batch", make_step(10, cpu=1_500))
        starts = bench.place()
        assert Counter(start.executor for start in starts) == {"e0": 2, "e1": 2}

    def test_room_is_taken_until_the_end_is_listed(self) -> None:
        bench = Bench(executors=1, cpu=1_000)
        bench.submit("a" * 16, "batch", make_step(2, cpu=1_000))
        (start,) = bench.place_and_confirm()
        assert bench.place() == []
        bench.finish(start)
        assert len(bench.place()) == 1


class TestGangs:
    """All tasks of a gang start at once with one number, or none does."""

    def test_gang_waits_for_room_for_all(self) -> None:
        bench = Bench(executors=2, cpu=2_000)
        bench.submit("a" * 16, "batch", make_step(1, cpu=1_500))
        (other,) = bench.place_and_confirm()
        bench.submit("b" * 16, "gangs", make_step(2, cpu=2_000, is_gang=True))
        assert bench.place() == []
        bench.finish(other)
        starts = bench.place()
        assert len(starts) == 2
        assert len({start.run for start in starts}) == 1

    def test_refused_member_stops_the_others(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, second = bench.place()
        bench.confirm(first)
        bench.confirm(second, REFUSED_ROOM)
        assert [stop.task for stop in bench.take(StopTask)] == [first.task]
        assert bench.place() == []

    def test_one_end_stands_for_all(self) -> None:
        bench = Bench(executors=2)
        job = bench.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, _second = bench.place_and_confirm()
        bench.finish(first)
        assert job.is_ended

    def test_members_go_on_from_one_saved_value(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "gangs", make_step(2, cpu=3_000, is_gang=True))
        first, second = bench.place_and_confirm()
        bench.end(first, "lapsed", "s1")
        bench.end(second, "broken", "")
        bench.report(first.executor)
        bench.report(second.executor)
        assert [start.saved for start in bench.place()] == ["s1", "s1"]

    def test_less_urgent_work_leaves_room_for_a_waiting_gang(self) -> None:
        """Batch work that comes all the time would otherwise starve a wide gang."""
        bench = Bench(executors=2, cpu=2_000)
        bench.submit("a" * 16, "batch", make_step(2, cpu=1_500))
        running = bench.place_and_confirm()
        bench.submit("b" * 16, "gangs", make_step(2, cpu=2_000, is_gang=True))
        bench.submit("c" * 16, "batch", make_step(4, cpu=1_500))
        bench.finish(running[0])
        assert bench.place() == []
        bench.finish(running[1])
        assert {start.task[:16] for start in bench.place()} == {"b" * 16}

    def test_one_rack_is_preferred_where_it_matters(self) -> None:
        bench = Bench(executors=0)
        for name, rack in (("x0", "r1"), ("x1", "r2"), ("x2", "r1")):
            bench.list_executor(name, 2_000, labels=("a", rack))
        bench.tick()
        bench.commit()
        for name in ("x0", "x1", "x2"):
            bench.report(name)
        step = make_step(2, cpu=2_000, is_gang=True, wants_one_rack=True)
        bench.submit("a" * 16, "gangs", step)
        assert {start.executor for start in bench.place()} == {"x0", "x2"}


class TestLatestStart:
    """Load pattern: long gangs and short ones wait for the same room."""

    def make_gang(self, estimate_s: float, after: tuple[int, ...] = ()) -> Step:
        return Step(2, Resources(3_000, 100, 0), estimate_s, after, is_gang=True)

    def test_long_gang_goes_first_when_it_would_be_late_sooner(self) -> None:
        bench = Bench(executors=2)
        bench.submit("f" * 16, "gangs", self.make_gang(1.0))
        blocking = bench.place_and_confirm()
        bench.submit("a" * 16, "gangs", self.make_gang(6.0))
        long = bench.scheduler.state.jobs["a" * 16]
        bench.tick(6.5)
        short = bench.submit("b" * 16, "gangs", self.make_gang(2.0))
        # The short one should be done sooner, but may start later.
        assert short.objective_at < long.objective_at
        for start in blocking:
            bench.end(start, "done")
        for start in blocking:
            bench.report(start.executor)
        starts = bench.place()
        assert {start.task[0] for start in starts} == {"a"}

    def test_all_that_follows_counts(self) -> None:
        steps = (
            make_step(1),
            self.make_gang(5.0, (0,)),
            self.make_gang(2.0, (0,)),
            self.make_gang(3.0, (1, 2)),
        )
        assert [calculate_critical_path_s(steps, index) for index in range(4)] == [
            9.0,
            8.0,
            5.0,
            3.0,
        ]


class TestSpreadWork:
    """Steps that wait for nothing but their spreading limit hold no place for advice."""

    def test_narrow_steps_do_not_block_others(self) -> None:
        """Hunt of crisalis-gale, trouble-1: wide steps, one task an executor, few good ones."""
        bench = Bench(executors=4, cpu=60_000)
        for number in range(60):
            bench.submit(f"{number:016x}", "advised", make_step(9, cpu=10, max_per_executor=1))
        for _ in range(40):
            bench.place_and_confirm()
            for ask in bench.take(AskAdvice):
                bench.advise(ask, ["e0"])
        bench.submit("f" * 16, "advised", make_step(1))
        bench.place()
        assert "f" * 16 + ".0.0" in {ask.step for ask in bench.take(AskAdvice)}


class TestHopelessWork:
    """Work that no executor could hold neither blocks the queue nor keeps room free."""

    def test_gangs_without_enough_good_executors_do_not_block_others(self) -> None:
        """Hunt of crisalis-gale, trouble-1: four such gangs held all places for advice."""
        bench = Bench(executors=3, cpu=4_000)
        for number in range(60):
            bench.submit(f"{number:016x}", "advised", make_step(3, cpu=3_000, is_gang=True))
        for _ in range(40):
            bench.place()
            for ask in bench.take(AskAdvice):
                bench.advise(ask, ["e0", "e1"])
        bench.submit("f" * 16, "advised", make_step(2, cpu=3_000, is_gang=True))
        bench.place()
        (ask,) = bench.take(AskAdvice)
        assert ask.step == "f" * 16 + ".0.0"
        bench.advise(ask, ["e0", "e1"])
        assert len(bench.place()) == 2

    def test_gang_that_is_too_large_keeps_no_room(self) -> None:
        bench = Bench(executors=2, cpu=2_000)
        bench.submit("a" * 16, "gangs", make_step(3, cpu=2_000, is_gang=True))
        bench.submit("b" * 16, "batch", make_step(2, cpu=2_000))
        assert len(bench.place()) == 2


class TestRules:
    """Labels, racks, spreading and leaving executors are honoured."""

    def test_label_is_required(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1, label="b"))
        assert bench.place() == []
        bench.submit("c" * 16, "batch", make_step(1, label="a"))
        assert len(bench.place()) == 1

    def test_spreading_limit(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "batch", make_step(4, cpu=10, max_per_executor=1))
        starts = bench.place_and_confirm()
        assert Counter(start.executor for start in starts) == {"e0": 1, "e1": 1}
        assert bench.place() == []

    def test_rack_of_the_data_goes_first(self) -> None:
        bench = Bench(executors=3)
        bench.submit("a" * 16, "batch", make_step(1, rack="r2"))
        assert [start.executor for start in bench.place()] == ["e2"]

    def test_draining_executor_gets_nothing(self) -> None:
        bench = Bench(executors=1)
        bench.list_executor("e0", is_draining=True)
        bench.submit("a" * 16, "batch", make_step(1))
        assert bench.place() == []

    def test_urgent_work_goes_first(self) -> None:
        bench = Bench(executors=1, cpu=1_000)
        bench.submit("a" * 16, "batch", make_step(1))
        bench.submit("b" * 16, "urgent", make_step(1))
        assert [start.task[:16] for start in bench.place()] == ["b" * 16]


class TestAdvice:
    """A step that needs advice starts only with a ticket that is still valid."""

    def test_ticket_goes_with_the_start(self) -> None:
        bench = Bench(executors=3)
        bench.submit("a" * 16, "advised", make_step(1))
        assert bench.place() == []
        (ask,) = bench.take(AskAdvice)
        assert sorted(ask.executors) == ["e0", "e1", "e2"]
        bench.advise(ask, ["e1"])
        (start,) = bench.place()
        assert (start.executor, start.ticket) == ("e1", "ticket-e1")

    def test_expired_ticket_is_asked_for_again_among_the_good(self) -> None:
        bench = Bench(executors=2, cpu=1_000)
        bench.submit("b" * 16, "urgent", make_step(2))
        running = bench.place_and_confirm()
        bench.submit("a" * 16, "advised", make_step(1))
        bench.place()
        bench.advise(bench.take(AskAdvice)[0], ["e0"])
        bench.tick(2.6)
        for start in running:
            bench.finish(start)
        assert bench.place() == []
        (ask,) = bench.take(AskAdvice)
        assert ask.executors == ["e0"]
        bench.advise(ask, ["e0"])
        assert len(bench.place()) == 1

    def test_ticket_of_an_earlier_life_is_void(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "advised", make_step(1))
        bench.place()
        bench.advise(bench.take(AskAdvice)[0], ["e0"])
        bench.born["e0"] = 2
        bench.report("e0")
        assert bench.place() == []
        assert len(bench.take(AskAdvice)) == 1

    def test_lost_question_is_asked_again_later(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "advised", make_step(1))
        bench.place()
        (ask,) = bench.take(AskAdvice)
        bench.apply(AdviceFailed(ask.step, 0.2))
        bench.place()
        assert bench.take(AskAdvice) == []
        bench.tick(0.3)
        bench.place()
        assert len(bench.take(AskAdvice)) == 1
