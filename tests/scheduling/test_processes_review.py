"""Tests of a review: calls that reach another process of an executor, and its epochs."""

from __future__ import annotations

from tests.scheduling.helpers import (
    AskAdvice,
    HoldExecutor,
    SchedulerHarness,
    StartTask,
    StopTask,
    make_step,
)
from wasabiramp.scheduling.effects import GiveUpOwnership
from wasabiramp.scheduling.events import (
    REFUSED_FENCE,
    STARTED,
    UNKNOWN,
    AdviceAnswered,
    ExecutorUnlisted,
    HoldAnswered,
    HoldFailed,
    StartAnswered,
    StopAnswered,
)
from wasabiramp.scheduling.leases import (
    MAX_UNCONFIRMED_S,
    MIN_START_LEASE_S,
    calculate_long_leases_end,
    convert_lease_s,
    get_predecessor_wait_s,
    note_suspension,
)
from wasabiramp.scheduling.model import EndReport, ExecutorReport, RunReport

JOB, OTHER_JOB = "a" * 16, "b" * 16
TICK_S = 0.05
LEASE_LIMIT_S = 6.0
"""Longest lease of the executors of the harness."""


def place_one(harness: SchedulerHarness, job: str = JOB) -> StartTask:
    """Place a task of a new job and return its start."""
    harness.submit(job, "batch", make_step())
    (start,) = harness.place()
    return start


def answer_last_hold(
    harness: SchedulerHarness, born_ms: int, runs: tuple = (), ends: tuple = ()
) -> None:
    """Answer the last hold of the only executor by the process with a start time."""
    hold = harness.holds["e0"]
    report = ExecutorReport(
        harness.read_clock_ms(),
        born_ms,
        tuple(RunReport(start.task, start.run, "", 100.0, 0.0) for start in runs),
        ends,
    )
    fields = ("", hold.last_seen, hold.until_ms, hold.fence_epoch)
    harness.apply(HoldAnswered("e0", harness.now, report, *fields))


class TestForgottenExecutor:
    """An executor that was forgotten and is listed again has kept the fence it has seen."""

    def forget(self) -> tuple[SchedulerHarness, int]:
        """Forget a silent, unlisted executor; return the highest epoch of its calls."""
        harness = SchedulerHarness(executors=1)
        start = place_one(harness)
        harness.answer_start(start)
        harness.tick(TICK_S)
        harness.finish_run(start)
        harness.commit()
        harness.tick(TICK_S)
        assert harness.holds["e0"].last_seen == 1
        # A start beside the open acknowledgement raises the epoch.
        other = place_one(harness, OTHER_JOB)
        harness.answer_start(other)
        harness.acknowledge_ends("e0")
        harness.finish_run(other)
        harness.acknowledge_ends("e0")
        harness.tick(TICK_S)
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.apply(ExecutorUnlisted("e0"))
        for _ in range(30):
            harness.tick(0.5)
            if "e0" in harness.scheduler.state.executors:
                harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        assert "e0" not in harness.scheduler.state.executors
        return harness, other.fence_epoch

    # Guards against a healthy owner that gives up, as the epochs of a forgotten executor began
    # anew, below the fence that its process has seen.
    def test_owner_keeps_its_ownership_when_the_process_is_back(self) -> None:
        harness, seen_epoch = self.forget()
        harness.take_effects(GiveUpOwnership)
        harness.list_executor("e0")
        harness.tick(TICK_S)
        hold = harness.holds["e0"]
        if hold.fence_epoch < seen_epoch:
            failure = HoldFailed("e0", harness.now, REFUSED_FENCE, fence_epoch=hold.fence_epoch)
            harness.apply(failure)
        assert harness.take_effects(GiveUpOwnership) == []


class TestEvidenceOfAnotherProcess:
    """What an earlier process has confirmed says nothing of copies that reach the next one."""

    # Guards against TWICE: a report by the next process, to a hold of the epoch before, released a
    # run that the process before had confirmed, while another copy of its start was under way.
    def test_first_answer_of_the_next_process_does_not_release_a_repeated_start(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_one(harness)
        harness.answer_start(start, UNKNOWN)
        (repeat,) = [effect for effect in harness.take_effects(StartTask) if effect is not start]
        harness.answer_start(repeat)
        harness.tick(TICK_S)
        harness.now += TICK_S
        # The first copy of the start reaches the next process after this answer.
        answer_last_hold(harness, born_ms=2)
        assert harness.scheduler.state.executors["e0"].runs
        harness.incarnations["e0"] = 2
        harness.running["e0"] = []
        harness.list_executor("e0")
        harness.tick(TICK_S)
        answer_last_hold(harness, born_ms=2)
        assert len(harness.place()) == 1

    # Guards against a run that is not stopped: the answer of the process before came after the
    # entry of the next one, and counted as that one's.
    def test_stop_that_the_process_before_confirmed_is_sent_to_the_next(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_one(harness)
        harness.leave_unanswered(start)
        (stop,) = harness.take_effects(StopTask)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.apply(
            StopAnswered("e0", stop.task, stop.run, STARTED, fence_epoch=stop.fence_epoch)
        )
        harness.tick(TICK_S)
        answer_last_hold(harness, born_ms=2, runs=(start,))
        for _ in range(20):
            harness.tick(TICK_S)
            if harness.holds["e0"].fence_epoch:
                answer_last_hold(harness, born_ms=2, runs=(start,))
        epochs = [effect.fence_epoch for effect in harness.take_effects(StopTask)]
        assert any(epoch > stop.fence_epoch for epoch in epochs)


class TestLeaseFromAnEarlierEpoch:
    """Until a process has answered a call of its epoch, earlier ones may give it a long lease."""

    # Guards against TWICE: the longest lease was counted from the time at which the process was
    # known, not from that at which it refuses calls whose lease is a time on another clock.
    def test_longest_lease_counts_from_the_first_answer_of_an_epoch(self) -> None:
        harness = SchedulerHarness(executors=2)
        # The next process of e0 is listed, but does not answer for long.
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        for _ in range(10):
            harness.tick(0.5)
            harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        # A hold of the process before reaches it here and gives it a lease of six seconds.
        harness.tick(1.0)
        harness.answer_hold("e0")
        harness.apply(HoldFailed("e1", harness.now, UNKNOWN))
        start = place_one(harness)
        assert start.executor == "e0"
        harness.answer_start(start)
        harness.tick(TICK_S)
        harness.answer_hold("e1")
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick(convert_lease_s(3.0) + 0.1)
        harness.answer_hold("e1")
        assert harness.place() == []
        harness.tick(convert_lease_s(LEASE_LIMIT_S))
        harness.answer_hold("e1")
        assert len(harness.place()) == 1


class TestClockOfTheNextProcess:
    """A clock that is not behind does not show that the known process has answered."""

    # Guards against TWICE: after a suspension of the owner's machine, which its clock does not
    # count, the clock of a process that began meanwhile is past the estimate of the one before.
    def test_start_after_a_suspension_is_not_settled_by_a_clock(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.clock_lag_s = harness.now - 1.0
        harness.tick(TICK_S)
        harness.answer_hold("e0")
        state = harness.scheduler.state
        note_suspension(state, harness.now, 0.0)
        note_suspension(state, harness.now, 10.0)
        start = place_one(harness)
        # The next process began two seconds into a suspension of ten, and its clock shows 8 s.
        harness.apply(
            StartAnswered(
                "e0",
                start.task,
                start.run,
                harness.now,
                STARTED,
                8_000,
                start.until_ms,
                start.fence_epoch,
            )
        )
        assert not state.executors["e0"].calls.are_settled


class TestOverlappingAcknowledgements:
    """An acknowledgement is open as long as one of the holds that carry it is."""

    # Guards against TWICE: the first of two holds with one number was open still, and a start that
    # reaches the next process with the epoch of both is not told from it. Only one has it now.
    def test_start_after_the_answer_to_the_second_has_a_higher_epoch(self) -> None:
        harness = SchedulerHarness(executors=1)
        executor = harness.scheduler.state.executors["e0"]
        start = place_one(harness)
        harness.answer_start(start)
        harness.tick(TICK_S)
        harness.finish_run(start)
        harness.commit()
        # After a takeover, an executor with more than a page of ends is asked a second time.
        executor.must_answer = True
        harness.take_effects(HoldExecutor)
        harness.tick(TICK_S)
        harness.tick(0.2)
        holds = [hold for hold in harness.take_effects(HoldExecutor) if hold.last_seen]
        assert len(holds) == 1
        ends = tuple(EndReport(number, "x", 1, "done", "") for number in range(2, 502))
        answer_last_hold(harness, born_ms=1, ends=ends)
        executor.calls.note_start((OTHER_JOB, 1))
        assert executor.calls.epoch > holds[0].fence_epoch

    # Guards against LOST: a hold that was refused acknowledged nothing, but counted as a second
    # acknowledgement, beside which an end that lapsed does not tell when the first one came.
    def test_refused_hold_does_not_count_as_an_acknowledgement(self) -> None:
        harness = SchedulerHarness(executors=1)
        start = place_one(harness)
        harness.answer_start(start)
        harness.tick(TICK_S)
        harness.finish_run(start, "failed")
        harness.commit()
        harness.tick(TICK_S)
        hold = harness.holds["e0"]
        assert hold.last_seen == 1
        # A start that has overtaken the hold has a higher epoch.
        harness.submit(OTHER_JOB, "batch", make_step())
        assert harness.place()
        failure = HoldFailed("e0", harness.now, REFUSED_FENCE, "", hold.fence_epoch, hold.last_seen)
        harness.apply(failure)
        (end,) = harness.scheduler.state.executors["e0"].unconfirmed_ends.values()
        assert end.acknowledgements == 0


class TestLeasesForTheNextOwner:
    """The next owner waits for runs that earlier owners started at a process they did not know."""

    # Guards against TWICE: an earlier owner that is cut off from the store sends its last start
    # long after the claim, and that has the longest lease at the next process.
    def test_wait_covers_the_last_start_of_an_earlier_owner(self) -> None:
        last_start_s = MAX_UNCONFIRMED_S - MIN_START_LEASE_S
        assert get_predecessor_wait_s(LEASE_LIMIT_S) >= last_start_s + convert_lease_s(
            LEASE_LIMIT_S
        )

    # Guards against TWICE: an owner that ended while a start was under way told its successor that
    # its leases were usual ones.
    def test_start_that_is_under_way_may_have_a_long_lease(self) -> None:
        harness = SchedulerHarness(executors=1)
        place_one(harness)
        ends_at = calculate_long_leases_end(harness.scheduler.state)
        assert ends_at >= harness.now + convert_lease_s(LEASE_LIMIT_S)


class TestAdviceForAnEarlierProcess:
    """An answer of the adviser concerns the process about which it was asked."""

    # Guards against tasks that wait for good: the verdict on the process before counted for the
    # next one, which may be of another kind, and is not asked about again.
    def test_verdict_on_the_process_before_does_not_count_for_the_next(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit(JOB, "advised", make_step())
        harness.place()
        (ask,) = harness.take_effects(AskAdvice)
        sent_at = harness.now
        harness.now += TICK_S
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        harness.apply(AdviceAnswered(ask.step, ask.executors, {}, 2.5, sent_at))
        harness.meet_process("e0")
        harness.commit()
        for _ in range(100):
            harness.tick(TICK_S)
            harness.place()
        assert harness.take_effects(AskAdvice)
