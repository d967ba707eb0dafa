"""Tests of runs: lost, late and refused answers, leases, restarts and ends."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, StopTask, make_step
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
from wasabiramp.scheduling.model import Resources, RunReport, Step


class TestLostAnswer:
    """An unanswered start occupies its resources until it certainly will not run."""

    def test_task_waits_for_the_stop_and_a_later_report(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        (stop,) = harness.take_effects(StopTask)
        assert harness.place() == []
        harness.answer_stop(stop)
        assert harness.place() == []
        harness.tick(0.01)
        harness.answer_hold("e0")
        (again,) = harness.place()
        assert again.run > start.run

    def test_hold_sent_before_the_stop_does_not_release_the_run(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        hold_sent_at = harness.now
        harness.tick(0.1)
        harness.answer_stop(harness.take_effects(StopTask)[0])
        harness.answer_hold("e0", sent_at=hold_sent_at)
        assert harness.place() == []

    def test_end_of_a_run_with_an_unanswered_start_counts(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        harness.finish_run(start)
        assert job.is_ended
        assert harness.scheduler.state.executors["e0"].used.cpu == 0


class TestRepeatedStart:
    """An unanswered start is repeated, as starts are idempotent at the executor."""

    def test_repeat_is_the_same_run(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.take_effects(StartTask)
        harness.tick(0.3)
        harness.answer_start(start, UNKNOWN)
        (repeat,) = harness.take_effects(StartTask)
        assert (repeat.executor, repeat.task, repeat.run) == (
            start.executor,
            start.task,
            start.run,
        )
        assert repeat.until_ms > start.until_ms
        assert harness.take_effects(StopTask) == []

    def test_answered_repeat_is_not_stopped(self) -> None:
        harness = SchedulerHarness(executors=1)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, UNKNOWN)
        harness.answer_start(start)
        assert harness.place() == [] and harness.take_effects(StopTask) == []
        harness.finish_run(start)
        assert job.is_ended

    def test_idle_executor_gets_holds_while_the_first_order_may_arrive(self) -> None:
        """Guards against a start that arrives late at a new incarnation the owner does not know.

        Found by model seed 20.
        """
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, UNKNOWN)
        harness.answer_start(start)
        harness.finish_run(start)
        harness.commit()
        harness.answer_hold("e0")
        for _ in range(3):
            harness.take_effects(HoldExecutor)
            harness.tick(0.1)
            assert len(harness.take_effects(HoldExecutor)) == 1
            harness.answer_hold("e0")
        harness.tick(MAX_ORDER_DELAY_S)
        harness.answer_hold("e0")
        harness.take_effects(HoldExecutor)
        harness.tick(1.0)
        assert harness.take_effects(HoldExecutor) == []

    def test_answered_repeat_does_not_stop_the_gang(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "gangs", make_step(2, 3_000, is_gang=True))
        first, second = harness.place()
        harness.answer_start(second)
        harness.answer_start(first, UNKNOWN)
        harness.answer_start(first)
        assert harness.take_effects(StopTask) == []

    @pytest.mark.parametrize("outcome", [REFUSED_OLD, REFUSED_ROOM, REFUSED_TICKET, NOT_SENT])
    def test_refused_repeat_does_not_release_the_first_order(self, outcome: str) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, UNKNOWN)
        harness.answer_start(start, outcome)
        assert len(harness.take_effects(StopTask)) == 1
        assert harness.scheduler.state.executors["e0"].used.cpu == 1_000
        harness.tick(1.0)
        assert harness.place() == []

    def test_listed_run_needs_no_repeat(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.running["e0"] = [RunReport(start.task, start.run, "", 100.0, 0.0)]
        harness.answer_hold("e0")
        harness.take_effects(StartTask)
        harness.answer_start(start, UNKNOWN)
        assert harness.take_effects(StartTask) == [] and harness.take_effects(StopTask) == []

    def test_cancelled_run_is_not_repeated(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.take_effects(StartTask)
        harness.apply(CancelAsked("a" * 16))
        harness.answer_start(start, UNKNOWN)
        assert harness.take_effects(StartTask) == []


class TestLostHold:
    """A failed hold is retried at once, and further failures after a delay."""

    def test_first_retry_does_not_wait(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        harness.place_and_start()
        harness.tick()
        harness.take_effects(HoldExecutor)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick()
        assert len(harness.take_effects(HoldExecutor)) == 1
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(0.1)
        assert harness.take_effects(HoldExecutor) == []


class TestRefusal:
    """A refused start releases its resources at once."""

    @pytest.mark.parametrize(
        "outcome",
        [REFUSED_BUSY, REFUSED_ROOM, REFUSED_OLD, REFUSED_LATE, NOT_SENT, OTHER_INCARNATION],
    )
    def test_resources_are_released(self, outcome: str) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, outcome)
        assert harness.scheduler.state.executors["e0"].used.cpu == 0
        harness.tick(1.0)
        harness.answer_hold("e0")
        (again,) = harness.place()
        assert again.run == start.run + 1

    def test_fenced_refusal_gives_up_ownership(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, REFUSED_FENCE)
        assert len(harness.take_effects(GiveUpOwnership)) == 1
        assert harness.place() == []


class TestSilentExecutor:
    """Runs on a silent executor stay tracked until its lease has certainly expired."""

    def test_task_waits_for_the_lease(self) -> None:
        harness = SchedulerHarness(executors=2, lease_s=3.0)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
        harness.tick(3.0)
        assert harness.place() == []
        harness.tick(0.4)
        (again,) = harness.place()
        assert again.executor != start.executor

    def test_end_from_before_the_lease_expiry_does_not_end_the_new_run(self) -> None:
        harness = SchedulerHarness(executors=2)
        job = harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
        harness.tick(4.0)
        harness.place_and_start()
        harness.finish_run(start)
        assert not job.is_ended

    def test_silent_executor_gets_no_work(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.answer_hold("e0")
        assert len(harness.place()) == 1


class TestExecutorRestart:
    """A new incarnation under the same id is distinguished from the old one."""

    def test_confirmed_run_of_the_old_incarnation_is_released(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.running["e0"] = []
        harness.incarnations["e0"] = 2
        harness.tick(0.5)
        harness.answer_hold("e0")
        harness.meet_process("e0")
        harness.list_executor("e0")
        (again,) = harness.place()
        assert again.run > start.run

    def test_start_that_reached_the_new_incarnation_is_kept(self) -> None:
        """Guards against releasing a start that reached the new incarnation before it was listed.

        Found by model seed 390.
        """
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place_and_start()
        harness.incarnations[start.executor] = 2
        harness.list_executor(start.executor)
        assert harness.place() == []
        harness.tick(0.1)
        harness.answer_hold(start.executor)
        assert harness.place() == []

    def test_unanswered_start_is_refused_by_the_new_incarnation(self) -> None:
        """Guards against an order that arrives 11 s late at an incarnation that got no stop.

        Found by model seed 392.
        """
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.leave_unanswered(start)
        harness.answer_stop(harness.take_effects(StopTask)[0])
        harness.tick(0.1)
        harness.answer_hold("e0")
        harness.incarnations["e0"] = 2
        harness.tick(3.0)
        harness.list_executor("e0")
        harness.answer_hold("e0")
        assert harness.place() == []
        harness.tick()
        assert harness.holds["e0"].fence_epoch > start.fence_epoch
        harness.answer_hold("e0")
        (again,) = harness.place()
        assert again.fence_epoch > start.fence_epoch


class TestForeignRun:
    """Runs of unknown jobs are stopped once a later list of stored jobs lacks their jobs."""

    def test_unknown_run_is_stopped(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.running["e0"] = [RunReport("f" * 16 + ".0.0.0", 3, "", 100.0, 0.0)]
        harness.answer_hold("e0")
        assert harness.take_effects(StopTask) == []
        harness.confirm_jobs(harness.now)
        (stop,) = harness.take_effects(StopTask)
        assert (stop.task, stop.run) == ("f" * 16 + ".0.0.0", 3)

    def test_executor_gets_nothing_while_an_unknown_run_occupies_it(self) -> None:
        """Guards against overcommitting an executor with a run of an unknown job.

        The job was cancelled and had ended before a takeover. Found by scenario hunt-9a2c-7
        of rimworks-cairo.
        """
        harness = SchedulerHarness(executors=1)
        harness.running["e0"] = [RunReport("f" * 16 + ".0.0.0", 3, "", 100.0, 0.0)]
        harness.answer_hold("e0")
        harness.submit("a" * 16, "batch", make_step(1))
        assert harness.place() == []
        harness.confirm_jobs(harness.now)
        assert harness.place() == []
        harness.answer_stop(harness.take_effects(StopTask)[0])
        harness.running["e0"] = []
        harness.tick(0.1)
        harness.answer_hold("e0")
        assert len(harness.place()) == 1


class TestFailingExecutor:
    """An executor gets a cooldown if different steps fail on it, but not if only one does."""

    def test_executor_gets_a_cooldown(self) -> None:
        harness = SchedulerHarness(executors=1)
        for job_id in ("a" * 16, "b" * 16):
            harness.submit(job_id, "batch", make_step(1))
        for start in harness.place_and_start():
            harness.finish_run(start, "failed")
        assert harness.place() == []
        harness.tick(2.0)
        assert len(harness.place()) == 2

    def test_one_failing_step_causes_no_cooldown(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(3))
        for start in harness.place_and_start():
            harness.finish_run(start, "failed")
        assert len(harness.place()) == 3


class TestHolds:
    """Holds are sent only as often as leases and ends require."""

    def test_idle_executor_gets_no_hold(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.tick(5.0)
        assert harness.take_effects(HoldExecutor) == []

    def test_executor_with_a_run_gets_a_hold_with_a_lease(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(1))
        harness.place_and_start()
        harness.tick()
        (hold,) = harness.take_effects(HoldExecutor)
        assert hold.until_ms is not None
        assert hold.wait_s > 0

    @pytest.mark.parametrize(("estimate_s", "wait_s"), [(0.5, 0.25), (2.0, 0.6), (9.0, 1.0)])
    def test_wait_follows_the_shortest_run(self, estimate_s: float, wait_s: float) -> None:
        """Guards against late ends of short runs when the answer to a hold is lost."""
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", Step(1, Resources(100, 0, 0), 20.0))
        harness.submit("b" * 16, "urgent", Step(1, Resources(100, 0, 0), estimate_s))
        harness.place_and_start()
        harness.tick()
        (hold,) = harness.take_effects(HoldExecutor)
        assert hold.wait_s == pytest.approx(wait_s)

    def test_ends_are_not_read_again_before_they_are_stored(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit("a" * 16, "batch", make_step(2))
        first, _second = harness.place_and_start()
        harness.tick()
        harness.take_effects(HoldExecutor)
        harness.finish_run(first)
        harness.tick(0.01)
        assert harness.take_effects(HoldExecutor) == []
        harness.commit()
        harness.tick()
        (hold,) = harness.take_effects(HoldExecutor)
        assert hold.last_seen == 1

    def test_executor_that_has_ended_is_removed(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(ExecutorUnlisted("e0"))
        harness.tick(0.1)
        assert len(harness.take_effects(HoldExecutor)) == 1
        harness.apply(HoldFailed("e0", harness.now, NOT_SENT))
        harness.tick(3.0)
        assert harness.scheduler.state.executors == {}


class TestLateOrderAfterRestart:
    """A first start order without an answer may reach the next incarnation after a crash."""

    def test_repeated_start_is_refused_by_the_next_incarnation(self) -> None:
        """Guards against a second execution by a first order that arrives after its repeat.

        Found by model seed 39 with apply_late, crash_executor, cut_executors and kill_owner.
        """
        harness = SchedulerHarness(executors=2)
        harness.submit("a" * 16, "batch", make_step(1))
        (start,) = harness.place()
        harness.answer_start(start, UNKNOWN)
        harness.answer_start(start)
        harness.running[start.executor] = []
        harness.incarnations[start.executor] = 2
        harness.list_executor(start.executor, born_ms=2)
        harness.answer_hold(start.executor)
        assert harness.place() == []
        harness.tick(0.1)
        assert harness.holds[start.executor].fence_epoch > start.fence_epoch
        harness.answer_hold(start.executor)
        (again,) = harness.place()
        assert again.run > start.run
