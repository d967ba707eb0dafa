"""Tests of calls that may reach another process of an executor than the one they are meant for."""

from __future__ import annotations

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, make_step
from wasabiramp.scheduling.effects import GiveUpOwnership, StartTask
from wasabiramp.scheduling.events import (
    NOT_SENT,
    REFUSED_FENCE,
    REFUSED_ROOM,
    STARTED,
    UNKNOWN,
    ExecutorUnlisted,
    HoldFailed,
    PaceAnswered,
    StartAnswered,
    StopAnswered,
)
from wasabiramp.scheduling.leases import calculate_long_leases_end, convert_lease_s
from wasabiramp.scheduling.processes import FENCE_EPOCHS, build_fence

JOB, OTHER_JOB = "a" * 16, "b" * 16
TICK_S = 0.05
LEASE_LIMIT_S = 6.0
"""Longest lease of the executors of the harness."""


def start_and_end(harness: SchedulerHarness) -> StartTask:
    """Run a task to its end, which is read and stored but not acknowledged; return its start."""
    harness.submit(JOB, "batch", make_step())
    (start,) = harness.place_and_start()
    harness.tick(TICK_S)
    harness.finish_run(start)
    harness.take_effects(HoldExecutor)
    harness.commit()
    return start


def place_other(harness: SchedulerHarness) -> StartTask:
    """Place a task of another job and return its start."""
    harness.submit(OTHER_JOB, "batch", make_step())
    (start,) = harness.place()
    return start


def answer_start_at(harness: SchedulerHarness, start: StartTask, clock_ms: int | None) -> None:
    """Confirm a start by an answer with a clock."""
    harness.apply(
        StartAnswered(
            start.executor,
            start.task,
            start.run,
            harness.now,
            STARTED,
            clock_ms,
            start.until_ms,
            start.fence_epoch,
        )
    )


class TestFences:
    """Fence numbers rise with terms, and with epochs within a term."""

    def test_epochs_stay_below_the_next_term(self) -> None:
        fences = [build_fence(7, 0), build_fence(7, 1), build_fence(7, FENCE_EPOCHS + 5)]
        assert fences == sorted(set(fences))
        assert fences[-1] < build_fence(8, 0)

    def test_each_process_has_an_epoch_of_its_own(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.tick(TICK_S)
        epochs = [harness.holds["e0"].fence_epoch]
        for born_ms in (2, 3):
            harness.incarnations["e0"] = born_ms
            harness.list_executor("e0")
            harness.tick(TICK_S)
            epochs.append(harness.holds["e0"].fence_epoch)
            harness.answer_hold("e0")
        assert epochs == sorted(set(epochs))

    # Guards against a healthy owner that gives up as its own later call has overtaken one.
    @pytest.mark.parametrize("kind", [HoldFailed, StartAnswered, StopAnswered, PaceAnswered])
    def test_refusal_of_an_overtaken_call_does_not_end_the_ownership(self, kind: type) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.answer_start(start)
        harness.scheduler.state.executors["e0"].calls.epoch += 1
        fields = (
            ("e0", harness.now, REFUSED_FENCE)
            if kind is HoldFailed
            else (
                ("e0", start.task, start.run, harness.now, REFUSED_FENCE)
                if kind is StartAnswered
                else ("e0", start.task, start.run, REFUSED_FENCE)
            )
        )
        harness.apply(kind(*fields, fence_epoch=start.fence_epoch))
        assert harness.take_effects(GiveUpOwnership) == []
        harness.apply(kind(*fields, fence_epoch=start.fence_epoch + 1))
        assert len(harness.take_effects(GiveUpOwnership)) == 1

    # Guards against a healthy owner that is refused by its own earlier epoch.
    def test_executor_that_is_listed_again_gets_higher_epochs(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.meet_process("e0")
        harness.tick(TICK_S)
        before = harness.scheduler.state.executors["e0"].calls.epoch
        harness.apply(ExecutorUnlisted("e0"))
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(20.0)
        assert "e0" not in harness.scheduler.state.executors
        harness.list_executor("e0")
        harness.tick(TICK_S)
        assert harness.holds["e0"].fence_epoch > before

    def test_overtaken_start_is_placed_again(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.scheduler.state.executors["e0"].calls.epoch += 1
        harness.answer_start(start, REFUSED_FENCE)
        (again,) = harness.place()
        assert again.fence_epoch > start.fence_epoch

    def test_overtaken_hold_is_sent_again_at_once(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        harness.tick()
        (hold,) = harness.take_effects(HoldExecutor)
        place_other(harness)
        failure = HoldFailed("e0", harness.now, REFUSED_FENCE, fence_epoch=hold.fence_epoch)
        harness.apply(failure)
        assert harness.scheduler.state.executors["e0"].silent_since is None


class TestAcknowledgements:
    """No process forgets ends that nobody has read from it."""

    # Guards against TWICE and BUDGET: each hold repeated the number of the process before.
    def test_ends_are_acknowledged_once(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        place_other(harness)
        harness.scheduler.state.executors["e0"].calls.unsettled_starts.clear()
        sent = []
        for _ in range(3):
            harness.tick(TICK_S)
            sent += [hold.last_seen for hold in harness.take_effects(HoldExecutor)]
            harness.acknowledge_ends("e0")
        assert [number for number in sent if number] in ([1], [])
        assert harness.scheduler.state.executors["e0"].calls.acknowledged_end == 1
        harness.take_effects(HoldExecutor)
        harness.tick(TICK_S)
        assert {hold.last_seen for hold in harness.take_effects(HoldExecutor)} <= {0}

    # Guards against tasks that wait for good: the number of the process before was taken for one of
    # the next, whose ends were then not acknowledged until there were more of them.
    def test_ends_of_the_next_process_are_acknowledged_from_the_first(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        harness.tick(TICK_S)
        assert harness.holds["e0"].last_seen == 1
        harness.crash_executor("e0")
        harness.ended["e0"] = []
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.answer_hold("e0")
        harness.meet_process("e0")
        other = place_other(harness)
        harness.answer_start(other)
        harness.tick(TICK_S)
        harness.finish_run(other)
        harness.commit()
        harness.tick(TICK_S)
        assert harness.holds["e0"].last_seen == 1

    # Guards against TWICE: a run ended at the next process before an acknowledgement came there.
    def test_nothing_is_acknowledged_while_a_start_is_under_way(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        other = place_other(harness)
        harness.tick(TICK_S)
        assert {hold.last_seen for hold in harness.take_effects(HoldExecutor)} <= {0}
        harness.answer_start(other)
        harness.tick(TICK_S)
        assert [hold.last_seen for hold in harness.take_effects(HoldExecutor)] == [1]

    def test_starts_wait_for_an_acknowledgement_that_is_due(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        other = place_other(harness)
        harness.tick(TICK_S)
        harness.submit("c" * 16, "batch", make_step())
        assert harness.place() == []
        harness.answer_start(other)
        harness.tick(TICK_S)
        assert len(harness.place()) == 1

    # Guards against TWICE: an acknowledgement overtaken by a start came after its run had ended.
    def test_start_after_an_open_acknowledgement_has_a_higher_epoch(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        harness.tick(TICK_S)
        hold = harness.holds["e0"]
        assert hold.last_seen == 1
        assert place_other(harness).fence_epoch > hold.fence_epoch

    def test_start_after_a_lost_acknowledgement_has_a_higher_epoch(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        harness.tick(TICK_S)
        lost = harness.holds["e0"]
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN, fence_epoch=lost.fence_epoch))
        harness.tick(TICK_S)
        harness.answer_hold("e0")
        harness.acknowledge_ends("e0")
        assert place_other(harness).fence_epoch > lost.fence_epoch

    def test_silent_executor_gets_no_acknowledgement(self) -> None:
        harness = SchedulerHarness(executors=1)
        start_and_end(harness)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(TICK_S)
        assert harness.holds["e0"].last_seen == 0


class TestUnsettledStarts:
    """A start is settled once it is known which process of its executor it has reached."""

    def test_answer_of_the_known_process_settles(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.answer_start(place_other(harness))
        assert harness.scheduler.state.executors["e0"].calls.are_settled

    @pytest.mark.parametrize("outcome", [NOT_SENT, REFUSED_ROOM])
    def test_refused_start_is_settled(self, outcome: str) -> None:
        harness = SchedulerHarness(executors=1)
        harness.answer_start(place_other(harness), outcome)
        assert harness.scheduler.state.executors["e0"].calls.are_settled

    # Guards against TWICE: a clock above the last one that was seen, but behind by a restart.
    @pytest.mark.parametrize("behind_ms", [200, 100_000])
    def test_answer_with_a_clock_that_is_behind_does_not_settle(self, behind_ms: int) -> None:
        harness = SchedulerHarness(executors=1)
        harness.tick(1.0)
        start = place_other(harness)
        answer_start_at(harness, start, harness.read_clock_ms() - behind_ms)
        executor = harness.scheduler.state.executors["e0"]
        assert executor.calls.is_in_doubt
        assert executor.may_be_next_process
        harness.tick(TICK_S)
        harness.answer_hold("e0")
        assert executor.calls.are_settled

    def test_slow_clock_settles(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.tick(1.0)
        answer_start_at(harness, place_other(harness), harness.read_clock_ms() - 20)
        assert harness.scheduler.state.executors["e0"].calls.are_settled

    def test_answer_without_a_clock_does_not_settle(self) -> None:
        harness = SchedulerHarness(executors=1)
        answer_start_at(harness, place_other(harness), None)
        assert harness.scheduler.state.executors["e0"].calls.is_in_doubt

    def test_executor_in_doubt_gets_a_hold_at_once_and_no_work(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.tick(TICK_S)
        harness.answer_start(start, UNKNOWN)
        harness.take_effects(HoldExecutor)
        harness.tick(TICK_S)
        (hold,) = harness.take_effects(HoldExecutor)
        assert (hold.last_seen, hold.wait_s) == (0, 0.0)
        harness.submit(JOB, "batch", make_step())
        assert harness.place() == []
        harness.answer_start(start)
        harness.answer_hold("e0")
        assert len(harness.place()) == 1

    # Guards against holds that add up: each answer to an earlier one let a further one be sent.
    def test_answer_to_an_earlier_hold_leaves_the_last_one_open(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.tick(TICK_S)
        earlier_at = harness.now
        harness.now += 0.1
        harness.answer_start(start, UNKNOWN)
        harness.tick(TICK_S)
        assert harness.holds["e0"].wait_s == 0.0
        harness.take_effects(HoldExecutor)
        harness.answer_hold("e0", earlier_at)
        harness.tick(TICK_S)
        assert harness.take_effects(HoldExecutor) == []

    def test_hold_from_before_the_doubt_does_not_settle(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.tick(TICK_S)
        sent_at = harness.now
        harness.now += 0.3
        harness.leave_unanswered(start)
        harness.answer_hold("e0", sent_at)
        assert harness.scheduler.state.executors["e0"].calls.is_in_doubt


class TestLeasesByTheNextClock:
    """A run that may be at a next process is taken for lost only after the longest lease."""

    def make_silent(self, is_answered: bool) -> SchedulerHarness:
        """Start a task on an executor that falls silent; its start is answered or not."""
        harness = SchedulerHarness(executors=2)
        start = place_other(harness)
        if is_answered:
            harness.answer_start(start)
        else:
            harness.leave_unanswered(start)
        harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
        return harness

    # Guards against TWICE: the lease by the old clock ended, that at the next process did not.
    def test_unanswered_start_waits_for_the_longest_lease(self) -> None:
        harness = self.make_silent(is_answered=False)
        harness.tick(convert_lease_s(LEASE_LIMIT_S) - 0.1)
        assert harness.place() == []
        harness.tick(0.2)
        assert len(harness.place()) == 1

    def test_answered_start_waits_for_the_usual_lease(self) -> None:
        harness = self.make_silent(is_answered=True)
        harness.tick(convert_lease_s(3.0) + 0.1)
        assert len(harness.place()) == 1

    def test_start_without_an_outcome_waits_for_that(self) -> None:
        harness = SchedulerHarness(executors=2)
        start = place_other(harness)
        harness.apply(HoldFailed(start.executor, harness.now, UNKNOWN))
        harness.tick(2 * LEASE_LIMIT_S)
        assert harness.place() == []

    # Guards against TWICE: an owner that ended told its successor that the lease of an executor
    # which had just restarted was a usual one, though a hold may have given it the longest.
    def test_restarted_executor_may_have_a_long_lease(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.meet_process("e0")
        ends_at = calculate_long_leases_end(harness.scheduler.state)
        assert ends_at >= harness.now + convert_lease_s(LEASE_LIMIT_S)

    # Guards against LOST: an end that was acknowledged after a lapse was counted as an attempt.
    def test_lease_by_the_clock_of_the_process_before_is_not_confirmed(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.answer_start(place_other(harness))
        harness.tick(TICK_S)
        harness.clock_lag_s += 3.0
        harness.incarnations["e0"] = 2
        harness.answer_hold("e0")
        executor = harness.scheduler.state.executors["e0"]
        assert executor.lease_confirmed_ms == 0
        harness.meet_process("e0")
        assert executor.lease_confirmed_ms <= harness.read_clock_ms() + LEASE_LIMIT_S * 1000

    def test_start_that_was_meant_for_the_process_before_confirms_no_lease(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_other(harness)
        harness.tick(TICK_S)
        harness.clock_lag_s += 3.0
        harness.incarnations["e0"] = 2
        harness.answer_hold("e0")
        harness.now += TICK_S
        harness.answer_start(start)
        assert harness.scheduler.state.executors["e0"].lease_confirmed_ms == 0

    # Guards against tasks that wait for a process that is gone, though the next one answers.
    def test_task_starts_once_the_next_process_refuses_its_start(self) -> None:
        harness = self.make_silent(is_answered=False)
        (name,) = [e.id for e in harness.scheduler.state.executors.values() if e.runs]
        harness.incarnations[name] = 2
        harness.list_executor(name)
        harness.tick(0.5)
        assert harness.place() == []
        harness.answer_hold(name)
        assert len(harness.place()) == 1
