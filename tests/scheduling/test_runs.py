"""Tests of runs: answers that are lost, late or refused, and how ends are counted."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import Bench, HoldExecutor, StartTask, StopTask, make_step
from wasabiramp.scheduling.effects import GiveUpOwnership
from wasabiramp.scheduling.events import (
    NOT_SENT,
    OTHER_INCARNATION,
    REFUSED_BUSY,
    REFUSED_FENCE,
    REFUSED_LATE,
    REFUSED_OLD,
    REFUSED_ROOM,
    REFUSED_TICKET,
    UNKNOWN,
    CancelAsked,
    ExecutorUnlisted,
    HoldFailed,
)
from wasabiramp.scheduling.executors import MAX_ORDER_DELAY_S
from wasabiramp.scheduling.model import RunReport


class TestLostAnswer:
    """A start without an answer keeps its room until it is certain that it will not run."""

    def test_task_waits_for_the_stop_and_a_later_report(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.lose(start)
        (stop,) = bench.take(StopTask)
        assert bench.place() == []
        bench.confirm_stop(stop)
        assert bench.place() == []
        bench.tick(0.01)
        bench.report("e0")
        (again,) = bench.place()
        assert again.run > start.run

    def test_report_that_was_asked_for_before_the_stop_proves_nothing(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.lose(start)
        asked_at = bench.now
        bench.tick(0.1)
        bench.confirm_stop(bench.take(StopTask)[0])
        bench.report("e0", sent_at=asked_at)
        assert bench.place() == []

    def test_end_of_a_run_without_an_answer_counts(self) -> None:
        bench = Bench(executors=1)
        job = bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.lose(start)
        bench.finish(start)
        assert job.is_ended
        assert bench.scheduler.state.executors["e0"].used.cpu == 0


class TestRepeatedStart:
    """Orders left unanswered: a start is repeated, as the executor takes a run only once."""

    def test_repeat_is_the_same_run(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.take(StartTask)
        bench.tick(0.3)
        bench.confirm(start, UNKNOWN)
        (repeat,) = bench.take(StartTask)
        assert (repeat.executor, repeat.task, repeat.run) == (
            start.executor,
            start.task,
            start.run,
        )
        assert repeat.until_ms > start.until_ms
        assert bench.take(StopTask) == []

    def test_answered_repeat_runs_on(self) -> None:
        bench = Bench(executors=1)
        job = bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, UNKNOWN)
        bench.confirm(start)
        assert bench.place() == [] and bench.take(StopTask) == []
        bench.finish(start)
        assert job.is_ended

    def test_idle_executor_is_held_while_the_first_order_may_arrive(self) -> None:
        """Model seed 20: the order met a new life that the owner had not met yet."""
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, UNKNOWN)
        bench.confirm(start)
        bench.finish(start)
        bench.commit()
        bench.report("e0")
        for _ in range(3):
            bench.take(HoldExecutor)
            bench.tick(0.1)
            assert len(bench.take(HoldExecutor)) == 1
            bench.report("e0")
        bench.tick(MAX_ORDER_DELAY_S)
        bench.report("e0")
        bench.take(HoldExecutor)
        bench.tick(1.0)
        assert bench.take(HoldExecutor) == []

    def test_gang_is_kept_whole(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "gangs", make_step(2, 3_000, is_gang=True))
        first, second = bench.place()
        bench.confirm(second)
        bench.confirm(first, UNKNOWN)
        bench.confirm(first)
        assert bench.take(StopTask) == []

    @pytest.mark.parametrize("outcome", [REFUSED_OLD, REFUSED_ROOM, REFUSED_TICKET, NOT_SENT])
    def test_refused_repeat_leaves_the_first_order_open(self, outcome: str) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, UNKNOWN)
        bench.confirm(start, outcome)
        assert len(bench.take(StopTask)) == 1
        assert bench.scheduler.state.executors["e0"].used.cpu == 1_000
        bench.tick(1.0)
        assert bench.place() == []

    def test_listed_run_needs_no_repeat(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.running["e0"] = [RunReport(start.task, start.run, "", 100.0, 0.0)]
        bench.report("e0")
        bench.take(StartTask)
        bench.confirm(start, UNKNOWN)
        assert bench.take(StartTask) == [] and bench.take(StopTask) == []

    def test_cancelled_run_is_not_repeated(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.take(StartTask)
        bench.apply(CancelAsked("a" * 16))
        bench.confirm(start, UNKNOWN)
        assert bench.take(StartTask) == []


class TestLostHold:
    """Orders left unanswered: the next look follows at once, only later ones after a pause."""

    def test_first_retry_does_not_wait(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        bench.place_and_confirm()
        bench.tick()
        bench.take(HoldExecutor)
        bench.apply(HoldFailed("e0", bench.now, UNKNOWN))
        bench.tick()
        assert len(bench.take(HoldExecutor)) == 1
        bench.apply(HoldFailed("e0", bench.now, UNKNOWN))
        bench.tick(0.1)
        assert bench.take(HoldExecutor) == []


class TestRefusal:
    """A refused start frees its room at once."""

    @pytest.mark.parametrize(
        "outcome",
        [REFUSED_BUSY, REFUSED_ROOM, REFUSED_OLD, REFUSED_LATE, NOT_SENT, OTHER_INCARNATION],
    )
    def test_room_is_free_again(self, outcome: str) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, outcome)
        assert bench.scheduler.state.executors["e0"].used.cpu == 0
        bench.tick(1.0)
        bench.report("e0")
        (again,) = bench.place()
        assert again.run == start.run + 1

    def test_fence_ends_the_ownership(self) -> None:
        bench = Bench(executors=2)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, REFUSED_FENCE)
        assert len(bench.take(GiveUpOwnership)) == 1
        assert bench.place() == []


class TestCutExecutor:
    """What a silent executor may run stays counted until its lease has surely ended."""

    def test_task_waits_for_the_lease(self) -> None:
        bench = Bench(executors=2, lease_s=3.0)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.apply(HoldFailed(start.executor, bench.now, UNKNOWN))
        bench.tick(3.0)
        assert bench.place() == []
        bench.tick(0.4)
        (again,) = bench.place()
        assert again.executor != start.executor

    def test_end_from_before_the_lapse_does_not_end_the_new_run(self) -> None:
        bench = Bench(executors=2)
        job = bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.apply(HoldFailed(start.executor, bench.now, UNKNOWN))
        bench.tick(4.0)
        bench.place_and_confirm()
        bench.finish(start)
        assert not job.is_ended

    def test_silent_executor_gets_no_work(self) -> None:
        bench = Bench(executors=1)
        bench.apply(HoldFailed("e0", bench.now, UNKNOWN))
        bench.submit("a" * 16, "batch", make_step(1))
        assert bench.place() == []
        bench.report("e0")
        assert len(bench.place()) == 1


class TestReborn:
    """A new life under the same id is told from the old one."""

    def test_confirmed_run_of_the_old_life_is_over(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.running["e0"] = []
        bench.born["e0"] = 2
        bench.tick(0.5)
        bench.report("e0")
        (again,) = bench.place()
        assert again.run > start.run

    def test_start_that_met_the_new_life_is_kept(self) -> None:
        """Model seed 390: the list told of the new life after a start had reached it."""
        bench = Bench(executors=2)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place_and_confirm()
        bench.born[start.executor] = 2
        bench.list_executor(start.executor)
        assert bench.place() == []
        bench.tick(0.1)
        bench.report(start.executor)
        assert bench.place() == []

    def test_start_without_an_answer_is_barred_in_the_new_life(self) -> None:
        """Model seed 392: an order of 11 s before arrived at a new life that knew no stop."""
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.lose(start)
        bench.confirm_stop(bench.take(StopTask)[0])
        bench.tick(0.1)
        bench.report("e0")
        bench.born["e0"] = 2
        bench.tick(3.0)
        bench.report("e0")
        bench.tick()
        stops = bench.take(StopTask)
        assert (start.task, start.run) in {(stop.task, stop.run) for stop in stops}


class TestForeignRun:
    """What nobody asked for is stopped."""

    def test_unknown_run_is_stopped_and_counted(self) -> None:
        bench = Bench(executors=1)
        bench.running["e0"] = [RunReport("f" * 16 + ".0.0.0", 3, "", 100.0, 0.0)]
        bench.report("e0")
        (stop,) = bench.take(StopTask)
        assert (stop.task, stop.run) == ("f" * 16 + ".0.0.0", 3)

    def test_executor_gets_nothing_while_an_unknown_run_takes_room(self) -> None:
        """Hunt of rimworks-cairo, hunt-9a2c-7: a cancelled job was over before a takeover."""
        bench = Bench(executors=1)
        bench.running["e0"] = [RunReport("f" * 16 + ".0.0.0", 3, "", 100.0, 0.0)]
        bench.report("e0")
        bench.submit("a" * 16, "batch", make_step(1))
        assert bench.place() == []
        bench.confirm_stop(bench.take(StopTask)[0])
        bench.running["e0"] = []
        bench.tick(0.1)
        bench.report("e0")
        assert len(bench.place()) == 1


class TestFailingExecutor:
    """An executor that fails different steps rests; a step that fails everywhere does not."""

    def test_executor_rests(self) -> None:
        bench = Bench(executors=1)
        for job_id in ("a" * 16, "b" * 16):
            bench.submit(job_id, "batch", make_step(1))
        for start in bench.place_and_confirm():
            bench.finish(start, "failed")
        assert bench.place() == []
        bench.tick(2.0)
        assert len(bench.place()) == 2

    def test_one_failing_step_does_not_stop_the_executor(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(3))
        for start in bench.place_and_confirm():
            bench.finish(start, "failed")
        assert len(bench.place()) == 3


class TestHolds:
    """Looks at executors are as rare as leases and ends allow."""

    def test_idle_executor_is_not_looked_at(self) -> None:
        bench = Bench(executors=2)
        bench.tick(5.0)
        assert bench.take(HoldExecutor) == []

    def test_running_executor_is_held_with_a_lease(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(1))
        bench.place_and_confirm()
        bench.tick()
        (hold,) = bench.take(HoldExecutor)
        assert hold.until_ms is not None
        assert hold.wait_s > 0

    def test_ends_are_not_asked_for_again_before_they_are_stored(self) -> None:
        bench = Bench(executors=1)
        bench.submit("a" * 16, "batch", make_step(2))
        first, _second = bench.place_and_confirm()
        bench.tick()
        bench.take(HoldExecutor)
        bench.finish(first)
        bench.tick(0.01)
        assert bench.take(HoldExecutor) == []
        bench.commit()
        bench.tick()
        (hold,) = bench.take(HoldExecutor)
        assert hold.last_seen == 1

    def test_executor_that_left_is_forgotten(self) -> None:
        bench = Bench(executors=1)
        bench.apply(ExecutorUnlisted("e0"))
        bench.tick(0.1)
        assert len(bench.take(HoldExecutor)) == 1
        bench.apply(HoldFailed("e0", bench.now, NOT_SENT))
        bench.tick(3.0)
        assert bench.scheduler.state.executors == {}


class TestLateOrderAtANewLife:
    """Orders left unanswered, then a crash: the first order may reach the executor's next life."""

    def test_repeated_start_is_barred_there(self) -> None:
        """Model seed 39 of apply_late, crash_executor, cut_executors, kill_owner: it ran again."""
        bench = Bench(executors=2)
        bench.submit("a" * 16, "batch", make_step(1))
        (start,) = bench.place()
        bench.confirm(start, UNKNOWN)
        bench.confirm(start)
        bench.running[start.executor] = []
        bench.born[start.executor] = 2
        bench.take(StopTask)
        bench.list_executor(start.executor, born_ms=2)
        bench.report(start.executor)
        bench.tick(0.1)
        stops = bench.take(StopTask)
        assert [(stop.task, stop.run) for stop in stops][:1] == [(start.task, start.run)]
        assert bench.place() == []
        bench.confirm_stop(stops[0])
        bench.tick(0.1)
        bench.report(start.executor)
        (again,) = bench.place()
        assert again.run > start.run
