"""Tests of attempts: a failed run counts once its end is acknowledged before the lease lapses."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

import pytest

from tests.scheduling.helpers import (
    QUEUES,
    HoldExecutor,
    SchedulerHarness,
    StartTask,
    StopTask,
    make_step,
)
from wasabiramp.scheduling.attempts import MIN_ACKNOWLEDGING_LEASE_S, UNANSWERED_WAIT_S
from wasabiramp.scheduling.events import (
    OTHER_INCARNATION,
    REFUSED_BUSY,
    REFUSED_OLD,
    REFUSED_ROOM,
    UNKNOWN,
    CancelAsked,
    Committed,
    ConfigChanged,
    ExecutorUnlisted,
    HoldFailed,
    JobsRecovered,
    StartAnswered,
    StoredJob,
)
from wasabiramp.scheduling.executors import UNCONFIRMED_ENDS_DELAY_S
from wasabiramp.scheduling.leases import MAX_UNCONFIRMED_S, convert_lease_s
from wasabiramp.scheduling.model import (
    CANCELLED,
    DONE,
    FAILED,
    RUNNING,
    CellConfig,
    EndReport,
    FailedEnd,
    JobDefinition,
    JobProgress,
    RunReport,
    Step,
    StepProgress,
)
from wasabiramp.scheduling.state import JobRun

JOB = "a" * 16
OTHER_JOB = "b" * 16
TASK = f"{JOB}.0.0.0"
TICK_S = 0.1
LEASE_S = 3.0
LEASE_LEFT_S = 4.0
"""Time for which leases of the earlier owner may last after a takeover."""


def make_harness(attempts: int = 1, executors: int = 2) -> SchedulerHarness:
    """Return a scheduler whose queues allow that many attempts."""
    harness = SchedulerHarness(executors, lease_s=LEASE_S)
    allow_attempts(harness, attempts)
    return harness


def allow_attempts(harness: SchedulerHarness, count: int) -> None:
    """Configure the number of attempts of all queues."""
    version = harness.scheduler.state.config.version + 1
    queues = tuple(replace(queue, max_attempts=count) for queue in QUEUES)
    harness.apply(ConfigChanged(CellConfig(version, queues)))


def fail_task(harness: SchedulerHarness, *steps: Step) -> tuple[JobRun, StartTask]:
    """Submit a job and read, but do not store, the failed end of its first run."""
    job = harness.submit(JOB, "urgent", *(steps or (make_step(),)))
    start = harness.place_and_start()[0]
    harness.tick(TICK_S)
    harness.finish_run(start, "failed")
    harness.take_effects(HoldExecutor)
    return job, start


def answer(harness: SchedulerHarness, hold: HoldExecutor) -> None:
    """Answer a hold as an executor that forgets the ends that it acknowledges."""
    ends = harness.ended.get(hold.executor, [])
    harness.ended[hold.executor] = [end for end in ends if end.number > hold.last_seen]
    harness.answer_hold(hold.executor)


def pass_time(
    harness: SchedulerHarness, seconds: float, silent: Collection[str] = ()
) -> list[HoldExecutor]:
    """Let time pass, in which all executors but the silent ones answer; return the holds."""
    holds: list[HoldExecutor] = []
    for _ in range(round(seconds / TICK_S)):
        harness.tick(TICK_S)
        for hold in harness.take_effects(HoldExecutor):
            holds.append(hold)
            if hold.executor in silent:
                harness.apply(HoldFailed(hold.executor, harness.now, UNKNOWN))
            else:
                answer(harness, hold)
    return holds


def send_acknowledgement(harness: SchedulerHarness, name: str) -> HoldExecutor:
    """Store the ends that were read, and return the hold that acknowledges them."""
    harness.commit()
    harness.tick(0.05)
    hold = next(h for h in harness.take_effects(HoldExecutor) if h.executor == name)
    assert hold.last_seen == len(harness.ended[name])
    return hold


def lose_answer(harness: SchedulerHarness, name: str) -> None:
    """Lose the answer of an executor to the hold that acknowledges its ends."""
    send_acknowledgement(harness, name)
    harness.apply(HoldFailed(name, harness.now, UNKNOWN))


def get_attempts(job: JobRun) -> dict[int, set[int]]:
    """Return the failed runs of a job's first step that count as attempts."""
    return job.progress.steps[(0, 0)].failed


def check_failed(job: JobRun, *runs: int) -> None:
    """Check that a job failed because these runs of its task or gang count."""
    assert job.progress.phase == FAILED
    assert get_attempts(job) == {0: set(runs)}


def check_waiting(harness: SchedulerHarness, job: JobRun) -> None:
    """Check that a job neither fails nor starts anything."""
    assert not job.is_ended
    assert harness.place() == []
    assert get_attempts(job) == {}


def check_restarted(harness: SchedulerHarness, job: JobRun) -> None:
    """Check that a failed run does not count, and that its task starts again."""
    assert not job.is_ended
    assert get_attempts(job) == {}
    assert not job.progress.steps[(0, 0)].unconfirmed
    assert [start.task for start in harness.place()] == [TASK]


def take_over(
    *unconfirmed: FailedEnd,
    tasks: int = 1,
    names: tuple[str, ...] = ("e0", "e1"),
    born_ms: int = 1,
    ends: dict[int, list[FailedEnd]] | None = None,
) -> tuple[SchedulerHarness, JobRun]:
    """Take over a job of one attempt, whose first task has ends that may count, and executors.

    `ends` are those of other tasks too, by task index.
    """
    harness = SchedulerHarness(executors=0, lease_s=LEASE_S)
    allow_attempts(harness, 1)
    queue = harness.scheduler.state.config.find("urgent")
    definition = JobDefinition(JOB, queue, "spec", (make_step(tasks),))
    progress = StepProgress(unconfirmed=ends or ({0: [*unconfirmed]} if unconfirmed else {}))
    stored = StoredJob(definition, harness.now, 50, JobProgress(RUNNING, {(0, 0): progress}))
    roster = [(name, name) for name in names]
    harness.apply(JobsRecovered([stored], roster, LEASE_LEFT_S, 60))
    for name in names:
        harness.incarnations[name] = born_ms
        harness.list_executor(name)
    return harness, harness.scheduler.state.jobs[JOB]


def list_failed_end(harness: SchedulerHarness, *running: str) -> None:
    """Let `e0` list the failed end of an earlier owner's run, beside runs that go on."""
    harness.ended["e0"] = [EndReport(1, TASK, 1, "failed", "")]
    harness.running["e0"] = [RunReport(task, 1, "", 10.0, 0.0) for task in running]


FAILED_END = FailedEnd(1, "e0", 1, 1)
"""The end of a run of an earlier owner."""


class TestEndsThatWereRead:
    """A failed run whose end was read, but not acknowledged, neither counts nor is forgotten."""

    # Guards against LOST: a job was shown as failed though its end was never taken note of.
    @pytest.mark.parametrize("is_stored", [False, True])
    def test_job_does_not_fail_and_its_task_does_not_start(self, is_stored: bool) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        if is_stored:
            harness.commit()
        check_waiting(harness, job)
        assert job.find_phase() == RUNNING
        assert job.progress.steps[(0, 0)].unconfirmed == {
            0: [FailedEnd(start.run, start.executor, 1, 1)]
        }

    def test_task_with_attempts_left_starts_again_at_once(self) -> None:
        harness = make_harness(attempts=2)
        job, start = fail_task(harness)
        check_restarted_run(harness, start)
        assert get_attempts(job) == {}

    def test_open_end_and_attempt_together_use_up_the_attempts(self) -> None:
        harness = make_harness(attempts=2)
        job, first = fail_task(harness)
        harness.acknowledge_ends(first.executor)
        assert get_attempts(job) == {0: {first.run}}
        (second,) = harness.place_and_start()
        harness.finish_run(second, "failed")
        assert not job.is_ended
        assert harness.place() == []
        harness.acknowledge_ends(second.executor)
        check_failed(job, first.run, second.run)

    def test_two_open_ends_use_up_the_attempts(self) -> None:
        harness = make_harness(attempts=2)
        job, first = fail_task(harness)
        (second,) = harness.place_and_start()
        harness.finish_run(second, "failed")
        check_waiting(harness, job)
        for name in {first.executor, second.executor}:
            harness.acknowledge_ends(name)
        check_failed(job, first.run, second.run)

    def test_other_tasks_of_the_step_start(self) -> None:
        harness = make_harness(executors=1)
        job = harness.submit(JOB, "urgent", make_step(2, cpu=4_000))
        (start,) = harness.place_and_start()
        harness.finish_run(start, "failed")
        (other,) = harness.place()
        assert other.task != start.task
        assert not job.is_ended


def check_restarted_run(harness: SchedulerHarness, start: StartTask) -> None:
    """Check that the task of a run, and nothing else, starts with a higher run number."""
    (again,) = harness.place()
    assert again.task == start.task
    assert again.run > start.run


class TestAcknowledgements:
    """An end is acknowledged once it is stored, while the lease has certainly not lapsed."""

    def test_acknowledgement_waits_for_the_store_and_for_nothing_else(self) -> None:
        harness = make_harness()
        _, start = fail_task(harness)
        holds = [h for h in pass_time(harness, 0.6) if h.executor == start.executor]
        assert holds
        assert {hold.last_seen for hold in holds} == {0}
        hold = send_acknowledgement(harness, start.executor)
        assert (hold.last_seen, hold.wait_s) == (1, 0.0)
        assert hold.until_ms is not None

    # Guards against LOST: an executor without other runs got no hold while the store was slow, so
    # its lease lapsed before the acknowledgement.
    @pytest.mark.parametrize("slow_s", [1.0, 5.0, 12.0])
    def test_lease_is_renewed_while_the_store_is_slow(self, slow_s: float) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lease_until_ms = start.until_ms
        for _ in range(round(slow_s / TICK_S)):
            for hold in pass_time(harness, TICK_S):
                if hold.executor == start.executor:
                    assert (hold.last_seen, hold.wait_s) == (0, 0.0)
                    lease_until_ms = hold.until_ms or 0
            assert lease_until_ms > harness.read_clock_ms() + 1_000
        check_waiting(harness, job)
        answer(harness, send_acknowledgement(harness, start.executor))
        check_failed(job, start.run)

    def test_holds_do_not_wait_until_it_is_known_whether_the_end_counts(self) -> None:
        harness = make_harness(executors=1)
        _, start = fail_task(harness, make_step(2))
        holds = pass_time(harness, 1.0)
        assert {hold.wait_s for hold in holds} == {0.0}
        answer(harness, send_acknowledgement(harness, start.executor))
        (hold,) = pass_time(harness, TICK_S)
        assert hold.wait_s > 0.0

    def test_end_is_not_acknowledged_shortly_before_the_lease_ends(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, LEASE_S - MIN_ACKNOWLEDGING_LEASE_S + TICK_S)
        harness.commit()
        holds = [h for h in pass_time(harness, 2.0) if h.executor == start.executor]
        assert {hold.last_seen for hold in holds} == {0}
        assert not job.is_ended

    def test_end_is_acknowledged_until_then(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, LEASE_S - MIN_ACKNOWLEDGING_LEASE_S - 3 * TICK_S)
        answer(harness, send_acknowledgement(harness, start.executor))
        check_failed(job, start.run)

    def test_ends_before_one_that_is_not_acknowledged_are(self) -> None:
        harness = make_harness(executors=1)
        harness.submit(OTHER_JOB, "urgent", make_step())
        (done,) = harness.place_and_start()
        harness.finish_run(done)
        fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        assert {hold.last_seen for hold in pass_time(harness, LEASE_S)} == {0}
        harness.commit()
        assert [hold.last_seen for hold in pass_time(harness, 1.0) if hold.last_seen] == [1]

    # A refused start renews the lease only if the executor would have had no room, or a later run.
    @pytest.mark.parametrize(
        ("outcome", "last_seen"), [(REFUSED_BUSY, 0), (REFUSED_ROOM, 1), (REFUSED_OLD, 1)]
    )
    def test_refused_start_may_renew_the_lease(self, outcome: str, last_seen: int) -> None:
        harness = make_harness(executors=1)
        fail_task(harness)
        harness.now += LEASE_S - 1.0
        harness.submit(OTHER_JOB, "batch", make_step())
        (start,) = harness.place()
        clock_ms, until_ms = harness.read_clock_ms(), start.until_ms
        harness.apply(
            StartAnswered("e0", start.task, start.run, harness.now, outcome, clock_ms, until_ms)
        )
        harness.now += 0.7
        harness.commit()
        harness.tick()
        (hold,) = harness.take_effects(HoldExecutor)
        assert hold.last_seen == last_seen


class TestPhases:
    """A job fails when the acknowledgement is answered, and is shown as failed once stored."""

    def test_phase_is_shown_after_the_next_commit(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        answer(harness, send_acknowledgement(harness, start.executor))
        check_failed(job, start.run)
        assert not job.progress.steps[(0, 0)].unconfirmed
        assert job.find_phase() == RUNNING
        assert harness.commit()
        assert job.find_phase() == FAILED

    def test_other_runs_are_stopped_only_then(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness, make_step(2))
        assert harness.take_effects(StopTask) == []
        answer(harness, send_acknowledgement(harness, start.executor))
        assert [stop.task for stop in harness.take_effects(StopTask)] == [f"{JOB}.0.0.1"]
        assert job.is_ended

    @pytest.mark.parametrize("attempts", [1, 2])
    def test_successful_end_finishes_its_task_at_once(self, attempts: int) -> None:
        harness = make_harness(attempts)
        job = harness.submit(JOB, "urgent", make_step(2), make_step(1, after=(0,)))
        first, second = harness.place_and_start()
        harness.finish_run(first)
        harness.finish_run(second)
        assert job.progress.steps[(0, 0)].done == {0, 1}
        assert [start.task for start in harness.place()] == [f"{JOB}.0.1.0"]


class TestLapses:
    """An end does not count if the lease lapses before it is acknowledged."""

    # Guards against LOST: the end stayed counted for good though its executor was cut off.
    def test_executor_falls_silent_before_the_acknowledgement(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lease_s = convert_lease_s(LEASE_S)
        pass_time(harness, lease_s - 3 * TICK_S, [start.executor])
        check_waiting(harness, job)
        pass_time(harness, 5 * TICK_S, [start.executor])
        check_restarted(harness, job)

    def test_end_that_is_listed_again_after_the_lapse_does_not_count(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        pass_time(harness, 2 * LEASE_S, [start.executor])
        (again,) = harness.place_and_start()
        pass_time(harness, 1.0)
        harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended[start.executor] == []
        assert not job.is_ended
        assert get_attempts(job) == {}
        harness.finish_run(again)
        assert job.progress.phase == DONE

    def test_lease_is_not_renewed_as_the_term_is_not_proven(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, 2 * LEASE_S)
        assert not job.is_ended
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        pass_time(harness, 0.5)
        check_restarted(harness, job)
        harness.commit()
        pass_time(harness, 0.5)
        assert harness.ended[start.executor] == []
        assert get_attempts(job) == {}

    def test_lease_that_may_have_lapsed_is_not_renewed(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, LEASE_S + TICK_S)
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.commit()
        harness.take_effects(HoldExecutor)
        harness.tick(0.05)
        (hold,) = harness.take_effects(HoldExecutor)
        assert (hold.until_ms, hold.last_seen) == (None, 0)
        answer(harness, hold)
        pass_time(harness, 1.0)
        check_restarted(harness, job)

    # Guards against LOST: an owner was suspended between a read and its acknowledgement.
    @pytest.mark.parametrize("has_ticked", [False, True])
    def test_acknowledgement_is_answered_after_the_lease(self, has_ticked: bool) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        hold = send_acknowledgement(harness, start.executor)
        sent_at = harness.now
        harness.now += LEASE_S + TICK_S
        if has_ticked:
            harness.tick()
        harness.ended[start.executor] = []
        harness.answer_hold(hold.executor, sent_at)
        check_restarted(harness, job)

    def test_acknowledgement_is_answered_late_within_the_lease(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        hold = send_acknowledgement(harness, start.executor)
        sent_at = harness.now
        harness.now += LEASE_S - 2 * TICK_S
        harness.ended[start.executor] = []
        harness.answer_hold(hold.executor, sent_at)
        check_failed(job, start.run)

    def test_report_lists_a_run_that_lapsed_after_the_end(self) -> None:
        harness = make_harness(executors=1)
        job = harness.submit(JOB, "urgent", make_step(2))
        first, second = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(first, "failed")
        check_waiting(harness, job)
        harness.tick(TICK_S)
        harness.finish_run(second, "lapsed")
        assert get_attempts(job) == {}
        harness.acknowledge_ends("e0")
        assert {start.task for start in harness.place()} == {first.task, second.task}

    # Guards against LOST: a start that was under way might have renewed the lease, but did not.
    def test_answer_to_the_acknowledgement_lists_a_run_that_lapsed(self) -> None:
        harness = make_harness(executors=1)
        job = harness.submit(JOB, "urgent", make_step(2))
        first, second = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(first, "failed")
        harness.commit()
        harness.now += LEASE_S - 0.6
        harness.submit(OTHER_JOB, "batch", make_step())
        harness.tick()
        (late,) = harness.place()
        hold = harness.holds["e0"]
        assert hold.last_seen == 1
        assert late.fence_epoch > hold.fence_epoch
        sent_at = harness.now
        harness.now += 1.0
        assert harness.read_clock_ms() < late.until_ms
        harness.end_run(second, "lapsed")
        harness.ended["e0"].pop(0)
        harness.answer_hold("e0", sent_at)
        assert get_attempts(job) == {}
        assert not job.is_ended
        assert first.task in {start.task for start in harness.place()}

    # Guards against BUDGET: an acknowledgement was in time, and its answer was lost.
    def test_lapse_after_an_unanswered_acknowledgement_does_not_withdraw_the_end(self) -> None:
        harness = make_harness(executors=1)
        job = harness.submit(JOB, "urgent", make_step(2))
        first, second = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(first, "failed")
        harness.take_effects(HoldExecutor)
        in_time = send_acknowledgement(harness, "e0")
        harness.now += 0.3
        harness.submit(OTHER_JOB, "batch", make_step())
        (late,) = harness.place()
        harness.apply(HoldFailed("e0", harness.now, UNKNOWN))
        harness.tick()
        sent_at = harness.now
        assert harness.holds["e0"].last_seen == 0
        harness.now += LEASE_S - 0.2
        assert (in_time.until_ms or 0) < harness.read_clock_ms() < late.until_ms
        harness.end_run(second, "lapsed")
        harness.ended["e0"].pop(0)
        harness.answer_hold("e0", sent_at)
        check_failed(job, first.run)

    def test_end_after_one_that_lapsed_counts(self) -> None:
        harness = make_harness(executors=1)
        job = harness.submit(JOB, "urgent", make_step())
        (first,) = harness.place_and_start()
        harness.finish_run(first, "lapsed")
        (second,) = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(second, "failed")
        harness.tick(0.6)
        harness.answer_hold("e0")
        check_waiting(harness, job)
        harness.acknowledge_ends("e0")
        check_failed(job, second.run)

    # Guards against BUDGET and LOST: the run had been given up before its end was read.
    def test_end_of_a_run_that_expired_does_not_count(self) -> None:
        harness = make_harness()
        job = harness.submit(JOB, "urgent", make_step())
        (start,) = harness.place_and_start()
        harness.answer_hold(start.executor)
        harness.take_effects(HoldExecutor)
        pass_time(harness, 2 * LEASE_S, [start.executor])
        harness.end_run(start, "failed")
        sent_at = harness.now
        harness.now += TICK_S
        harness.answer_hold(start.executor, sent_at)
        check_restarted(harness, job)


class TestUnansweredAcknowledgements:
    """Until it is known whether an acknowledgement arrived, its job neither starts nor ends."""

    # Guards against BUDGET: the end was taken note of, but the owner did not learn so.
    @pytest.mark.parametrize("silent_s", [0.5, LEASE_S - 0.2, LEASE_S + 2.0, 9.0])
    def test_end_that_is_no_longer_listed_counts(self, silent_s: float) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        for _ in range(round(silent_s / TICK_S)):
            check_waiting(harness, job)
            pass_time(harness, TICK_S, [start.executor])
        harness.ended[start.executor] = []
        pass_time(harness, 0.5)
        check_failed(job, start.run)

    def test_end_that_is_still_listed_after_the_lapse_does_not_count(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        pass_time(harness, LEASE_S + 2.0, [start.executor])
        check_waiting(harness, job)
        pass_time(harness, 0.5)
        check_restarted(harness, job)

    def test_end_that_is_still_listed_before_the_lapse_is_acknowledged_again(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        pass_time(harness, 1.0, [start.executor])
        check_waiting(harness, job)
        pass_time(harness, 0.5)
        check_failed(job, start.run)

    # Guards against a task that is held up for good by an executor that does not come back.
    def test_task_starts_again_if_the_executor_never_answers(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        # The hold itself may have renewed the lease.
        longest_s = convert_lease_s(LEASE_S) + UNANSWERED_WAIT_S
        pass_time(harness, longest_s - 3 * TICK_S, [start.executor])
        check_waiting(harness, job)
        pass_time(harness, 6 * TICK_S, [start.executor])
        check_restarted(harness, job)

    def test_wait_begins_anew_once_the_executor_has_answered(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        pass_time(harness, UNANSWERED_WAIT_S, [start.executor])
        executor = harness.scheduler.state.executors[start.executor]
        assert executor.lapse_noticed_at is not None
        answer(harness, harness.holds[start.executor])
        assert executor.lapse_noticed_at is None

    def test_incomplete_report_does_not_tell_that_an_end_is_not_listed(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        pass_time(harness, LEASE_S + 2.0, [start.executor])
        harness.ended[start.executor] = [
            EndReport(number, f"{OTHER_JOB}.0.0.0", number, "done", "") for number in range(2, 502)
        ]
        answer(harness, harness.holds[start.executor])
        check_waiting(harness, job)

    def test_incomplete_report_answers_its_own_acknowledgement(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        hold = send_acknowledgement(harness, start.executor)
        harness.ended[start.executor] = [
            EndReport(number, f"{OTHER_JOB}.0.0.0", number, "done", "") for number in range(2, 502)
        ]
        answer(harness, hold)
        check_failed(job, start.run)

    # Guards against an answer that was under way while a later hold read the end.
    def test_report_that_was_requested_before_the_read_decides_nothing(self) -> None:
        harness = make_harness()
        job = harness.submit(JOB, "urgent", make_step())
        (start,) = harness.place_and_start()
        harness.tick(TICK_S)
        sent_at = harness.now
        harness.tick(TICK_S)
        harness.finish_run(start, "failed")
        ends, harness.ended[start.executor] = harness.ended[start.executor], []
        harness.answer_hold(start.executor, sent_at)
        check_waiting(harness, job)
        harness.ended[start.executor] = ends
        harness.acknowledge_ends(start.executor)
        check_failed(job, start.run)


class TestLostProcesses:
    """An end does not count if its process is gone before the acknowledgement is answered."""

    @pytest.mark.parametrize("is_acknowledged", [False, True])
    @pytest.mark.parametrize("evidence", ["report", "entry", "refusal"])
    def test_process_is_gone(self, evidence: str, is_acknowledged: bool) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        name = start.executor
        if is_acknowledged:
            send_acknowledgement(harness, name)
        if evidence == "refusal":
            harness.apply(HoldFailed(name, harness.now, OTHER_INCARNATION))
        else:
            harness.crash_executor(name)
            harness.incarnations[name] += 1
            if evidence == "report":
                harness.answer_hold(name)
            else:
                # The entry may be that of another writer, so the process has to answer as well.
                harness.list_executor(name)
                assert harness.place() == []
                harness.answer_hold(name)
        check_restarted(harness, job)

    def test_new_process_has_ends_of_its_own(self) -> None:
        harness = make_harness(executors=1)
        job, first = fail_task(harness)
        harness.crash_executor("e0")
        harness.incarnations["e0"] += 1
        harness.list_executor("e0")
        pass_time(harness, 2 * LEASE_S)
        (second,) = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(second, "failed")
        check_waiting(harness, job)
        assert harness.ended["e0"][0].number == 1
        harness.acknowledge_ends("e0")
        check_failed(job, second.run)
        assert second.run > first.run


class TestUncertainLeases:
    """An owner that cannot know whether the lease lapsed lets it go, and decides once it did."""

    def test_lease_is_let_go_until_it_has_certainly_lapsed(self) -> None:
        harness, job = take_over()
        list_failed_end(harness)
        holds = pass_time(harness, 2 * TICK_S)
        harness.submit(OTHER_JOB, "batch", make_step(8))
        assert {start.executor for start in harness.place_and_start()} == {"e1"}
        harness.commit()
        holds += pass_time(harness, LEASE_LEFT_S - 0.2)
        holds = [hold for hold in holds if hold.executor == "e0"]
        assert {(hold.until_ms, hold.last_seen) for hold in holds} == {(None, 0)}
        assert len(holds) <= 2 + LEASE_LEFT_S / UNCONFIRMED_ENDS_DELAY_S
        check_waiting(harness, job)
        pass_time(harness, 1.0)
        harness.commit()
        pass_time(harness, TICK_S)
        starts = harness.place_and_start()
        assert TASK in {start.task for start in starts}
        assert "e0" in {start.executor for start in starts}
        assert get_attempts(job) == {}

    def test_report_that_was_requested_before_the_lapse_decides_nothing(self) -> None:
        harness, job = take_over()
        list_failed_end(harness)
        pass_time(harness, LEASE_LEFT_S - 0.2)
        sent_at = harness.now
        harness.commit()
        harness.tick(1.0)
        harness.answer_hold("e0", sent_at)
        check_waiting(harness, job)
        harness.answer_hold("e0")
        check_restarted(harness, job)

    def test_end_of_a_job_that_is_known_later(self) -> None:
        harness = SchedulerHarness(executors=0)
        allow_attempts(harness, 1)
        harness.apply(JobsRecovered([], [("e0", "e0"), ("e1", "e1")], LEASE_LEFT_S, 60))
        for name in ("e0", "e1"):
            harness.list_executor(name)
        list_failed_end(harness)
        pass_time(harness, 2 * TICK_S)
        job = harness.submit(JOB, "urgent", make_step())
        check_waiting(harness, job)
        harness.commit()
        holds = [hold for hold in pass_time(harness, 0.5) if hold.executor == "e0"]
        assert (holds[0].until_ms, holds[0].last_seen) == (None, 0)
        pass_time(harness, LEASE_LEFT_S)
        check_restarted(harness, job)

    def test_end_counts_beside_a_run_that_goes_on(self) -> None:
        harness, job = take_over(tasks=2)
        list_failed_end(harness, f"{JOB}.0.0.1")
        pass_time(harness, TICK_S)
        check_waiting(harness, job)
        harness.commit()
        holds = [hold for hold in pass_time(harness, 1.0) if hold.executor == "e0"]
        # The lease that an earlier owner gave is not known, so it is renewed first.
        assert [hold.last_seen for hold in holds][:2] == [0, 1]
        assert all(hold.until_ms is not None for hold in holds)
        check_failed(job, 1)

    def test_run_that_goes_on_covers_a_gap_between_answers(self) -> None:
        harness = make_harness(executors=1)
        job, start = fail_task(harness, make_step(2))
        harness.tick(TICK_S)
        harness.answer_hold("e0")
        harness.take_effects(HoldExecutor)
        # Another hold than the owner knows of renewed the lease, as the run still goes on.
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, LEASE_S + 2 * TICK_S)
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        pass_time(harness, 2 * TICK_S)
        harness.commit()
        pass_time(harness, 1.0)
        check_failed(job, start.run)

    # Guards against LOST: an owner that was suspended started a run before it called again.
    def test_run_that_was_started_after_the_gap_covers_nothing(self) -> None:
        harness = make_harness(executors=1)
        job, _ = fail_task(harness)
        harness.commit()
        harness.now += LEASE_S + 1.0
        harness.submit(OTHER_JOB, "batch", make_step())
        assert harness.place() == []
        # A start that was sent before, and delayed, has renewed the lease.
        harness.running["e0"] = [RunReport(f"{OTHER_JOB}.0.0.0", 1, "", 10.0, 0.0)]
        pass_time(harness, 1.0)
        assert not job.is_ended
        assert get_attempts(job) == {}
        assert [end.number for end in harness.ended["e0"]] == [1]
        harness.running["e0"] = []
        harness.ended["e0"].append(EndReport(2, f"{OTHER_JOB}.0.0.0", 1, "lapsed", ""))
        harness.answer_hold("e0")
        assert not job.is_ended
        assert get_attempts(job) == {}

    def test_run_of_another_job_that_began_after_the_gap_covers_nothing(self) -> None:
        harness = make_harness(executors=1)
        job, start = fail_task(harness)
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, LEASE_S + 2 * TICK_S)
        harness.running["e0"] = [RunReport(f"{OTHER_JOB}.0.0.0", 1, "", 10.0, 0.0)]
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.commit()
        pass_time(harness, 1.0)
        assert get_attempts(job) == {}
        assert not job.is_ended


class TestWithdrawnEnds:
    """An end that does not count is acknowledged only once that is stored.

    The next owner counts an end that is stored as open and no longer listed.
    """

    def withdraw_end(self, harness: SchedulerHarness) -> tuple[JobRun, str]:
        """Let the lease lapse after an end was read, and return the job and the executor."""
        job, start = fail_task(harness)
        harness.commit()
        harness.take_effects(HoldExecutor)
        harness.now += 2 * LEASE_S
        pass_time(harness, 2 * LEASE_S)
        assert not job.progress.steps[(0, 0)].unconfirmed
        assert get_attempts(job) == {}
        return job, start.executor

    def test_acknowledgement_waits_for_the_commit(self) -> None:
        harness = make_harness()
        job, name = self.withdraw_end(harness)
        harness.scheduler.state.executors[name].next_hold_at = harness.now
        holds = [hold for hold in pass_time(harness, 2.0) if hold.executor == name]
        assert {hold.last_seen for hold in holds} <= {0}
        assert [end.number for end in harness.ended[name]] == [1]
        harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended[name] == []
        check_restarted(harness, job)

    def test_commit_that_was_under_way_does_not_do(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        assert harness.scheduler.take_changes() is not None
        harness.scheduler.limit_leases(harness.now)
        pass_time(harness, 2 * LEASE_S)
        assert not job.progress.steps[(0, 0)].unconfirmed
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.apply(Committed())
        pass_time(harness, 1.0)
        assert [end.number for end in harness.ended[start.executor]] == [1]
        harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended[start.executor] == []

    def test_commit_of_an_earlier_end_does_not_do(self) -> None:
        harness = make_harness(executors=1)
        job, name = self.withdraw_end(harness)
        harness.commit()
        pass_time(harness, 1.0)
        (second,) = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(second, "failed")
        assert harness.scheduler.take_changes() is not None
        harness.now += 2 * LEASE_S
        pass_time(harness, 2 * LEASE_S)
        assert not job.progress.steps[(0, 0)].unconfirmed
        harness.apply(Committed())
        pass_time(harness, 1.0)
        assert [end.number for end in harness.ended[name]] == [2]
        harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended[name] == []
        check_restarted(harness, job)

    def test_failed_commit_does_not_do(self) -> None:
        harness = make_harness()
        job, name = self.withdraw_end(harness)
        assert harness.scheduler.take_changes() is not None
        harness.scheduler.mark_changes_dirty()
        pass_time(harness, 1.0)
        assert [end.number for end in harness.ended[name]] == [1]
        assert harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended[name] == []


class TestTakeover:
    """An owner decides on the ends that an earlier one read, and may have acknowledged."""

    # Guards against LOST: the end was not taken note of before the lease lapsed.
    def test_end_that_is_listed_does_not_count_after_a_lapse(self) -> None:
        harness, job = take_over(FAILED_END)
        list_failed_end(harness)
        pass_time(harness, LEASE_LEFT_S - 0.2)
        check_waiting(harness, job)
        harness.commit()
        pass_time(harness, 1.0)
        check_restarted(harness, job)

    def test_end_that_is_listed_beside_a_run_that_goes_on_counts(self) -> None:
        harness, job = take_over(FAILED_END, tasks=2)
        list_failed_end(harness, f"{JOB}.0.0.1")
        pass_time(harness, TICK_S)
        check_waiting(harness, job)
        harness.commit()
        pass_time(harness, 1.0)
        check_failed(job, 1)

    # Guards against BUDGET: the earlier owner acknowledged the end.
    def test_end_that_is_no_longer_listed_counts(self) -> None:
        harness, job = take_over(FAILED_END)
        check_waiting(harness, job)
        pass_time(harness, 2 * TICK_S)
        check_failed(job, 1)

    def test_executor_is_unknown(self) -> None:
        harness, job = take_over(FAILED_END, names=("e1",))
        pass_time(harness, 2 * TICK_S)
        check_restarted(harness, job)

    def test_another_process_answers(self) -> None:
        harness, job = take_over(FAILED_END, born_ms=2)
        check_waiting(harness, job)
        pass_time(harness, 2 * TICK_S)
        check_restarted(harness, job)

    # Guards against a task that is held up for good: the end of another task replaced its end,
    # which had the same number in an earlier process.
    @pytest.mark.parametrize("is_stored", [False, True])
    @pytest.mark.parametrize("tasks", [(0, 1), (1, 0)])
    def test_two_processes_number_their_ends_alike(
        self, tasks: tuple[int, int], is_stored: bool
    ) -> None:
        gone, present = tasks
        ends = {gone: [FAILED_END]}
        if is_stored:
            ends[present] = [FailedEnd(1, "e0", 2, 1)]
        harness, job = take_over(ends=ends, tasks=2, born_ms=2)
        task = f"{JOB}.0.0.{present}"
        harness.ended["e0"] = [EndReport(1, task, 1, "failed", "")]
        pass_time(harness, 2 * TICK_S)
        assert [start.task for start in harness.place_and_start()] == [f"{JOB}.0.0.{gone}"]
        assert list(job.progress.steps[(0, 0)].unconfirmed) == [present]
        pass_time(harness, 2 * LEASE_LEFT_S)
        harness.commit()
        pass_time(harness, 2 * TICK_S)
        assert [start.task for start in harness.place()] == [task]
        assert get_attempts(job) == {}

    def test_end_that_is_stored_twice_holds_nothing_up(self) -> None:
        harness, job = take_over(ends={0: [FAILED_END], 1: [FAILED_END]}, tasks=2)
        pass_time(harness, 2 * TICK_S)
        check_failed(job, 1)
        assert not job.progress.steps[(0, 0)].unconfirmed

    def test_process_is_replaced_after_the_takeover(self) -> None:
        harness, job = take_over(FAILED_END)
        harness.incarnations["e0"] = 2
        harness.list_executor("e0")
        pass_time(harness, 2 * TICK_S)
        check_restarted(harness, job)

    def test_executor_does_not_answer(self) -> None:
        harness, job = take_over(FAILED_END)
        pass_time(harness, LEASE_LEFT_S + UNANSWERED_WAIT_S - 0.5, ["e0"])
        check_waiting(harness, job)
        pass_time(harness, 1.0, ["e0"])
        check_restarted(harness, job)

    def test_end_of_an_occurrence_that_is_not_prepared_counts(self) -> None:
        harness = make_harness()
        queue = harness.scheduler.state.config.find("urgent")
        definition = JobDefinition(JOB, queue, "spec", (make_step(),), repeat_count=12)
        steps = {(9, 0): StepProgress(unconfirmed={0: [FAILED_END]})}
        stored = StoredJob(definition, harness.now, 50, JobProgress(RUNNING, steps))
        harness.apply(JobsRecovered([stored], [("e0", "e0")], LEASE_LEFT_S, 60))
        harness.tick(TICK_S)
        harness.answer_hold("e0")
        job = harness.scheduler.state.jobs[JOB]
        assert job.progress.phase == FAILED
        assert job.progress.steps[(9, 0)].failed == {0: {1}}

    def test_stored_ends_of_an_owner_are_those_of_the_next(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        (changed,) = harness.scheduler.take_changes().jobs
        successor, taken = take_over(*changed.progress.steps[(0, 0)].unconfirmed[0])
        pass_time(successor, 2 * TICK_S)
        check_failed(taken, start.run)


class TestGangs:
    """Members of a gang that fail in one run are one attempt."""

    GANG = make_step(2, cpu=3_000, is_gang=True)

    def fail_gang(self, harness: SchedulerHarness) -> list[StartTask]:
        """Start the gang, let both members fail, and read both ends."""
        starts = harness.place_and_start()
        assert len(starts) == 2
        harness.tick(TICK_S)
        for start in starts:
            harness.finish_run(start, "failed")
        return starts

    def test_members_of_one_run_are_one_attempt(self) -> None:
        harness = make_harness(attempts=2)
        job = harness.submit(JOB, "gangs", self.GANG)
        first = self.fail_gang(harness)
        for start in first:
            harness.acknowledge_ends(start.executor)
        assert get_attempts(job) == {0: {first[0].run}}
        assert not job.is_ended
        second = self.fail_gang(harness)
        for start in second:
            harness.acknowledge_ends(start.executor)
        check_failed(job, first[0].run, second[0].run)

    def test_gang_with_attempts_left_starts_at_once(self) -> None:
        harness = make_harness(attempts=2)
        job = harness.submit(JOB, "gangs", self.GANG)
        self.fail_gang(harness)
        assert get_attempts(job) == {}
        assert len(harness.place()) == 2

    def test_gang_that_may_have_used_up_its_attempts_does_not_start(self) -> None:
        harness = make_harness()
        job = harness.submit(JOB, "gangs", self.GANG)
        first, second = harness.place_and_start()
        harness.tick(TICK_S)
        harness.finish_run(first, "broken")
        harness.finish_run(second, "failed")
        check_waiting(harness, job)
        harness.acknowledge_ends(second.executor)
        check_failed(job, first.run)

    def test_one_acknowledged_member_is_enough(self) -> None:
        harness = make_harness(executors=4)
        job = harness.submit(JOB, "gangs", self.GANG)
        lost, other = self.fail_gang(harness)
        harness.apply(HoldFailed(lost.executor, harness.now, OTHER_INCARNATION))
        check_waiting(harness, job)
        harness.acknowledge_ends(other.executor)
        check_failed(job, other.run)

    def test_end_of_a_run_that_counts_already_is_not_kept(self) -> None:
        harness = make_harness(attempts=2)
        job = harness.submit(JOB, "gangs", self.GANG)
        first, second = harness.place_and_start()
        harness.finish_run(first, "failed")
        harness.acknowledge_ends(first.executor)
        harness.finish_run(second, "failed")
        assert get_attempts(job) == {0: {first.run}}
        assert job.progress.steps[(0, 0)].unconfirmed == {}

    def test_gang_starts_again_if_no_member_counts(self) -> None:
        harness = make_harness(executors=4)
        job = harness.submit(JOB, "gangs", self.GANG)
        starts = self.fail_gang(harness)
        for start in starts:
            check_waiting(harness, job)
            harness.apply(HoldFailed(start.executor, harness.now, OTHER_INCARNATION))
        assert len(harness.place()) == 2
        assert get_attempts(job) == {}


class TestLastingTasks:
    """Tasks that last have no limit of attempts."""

    def test_lasting_task_starts_again_at_once(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness, make_step(is_lasting=True))
        assert job.progress.steps[(0, 0)].unconfirmed == {}
        harness.acknowledge_ends(start.executor)
        assert not job.is_ended
        check_restarted_run(harness, start)


class TestConfiguredAttempts:
    """A change of the number of attempts holds for tasks that wait."""

    def test_more_attempts_let_the_task_start(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        check_waiting(harness, job)
        allow_attempts(harness, 2)
        check_restarted_run(harness, start)
        harness.acknowledge_ends(start.executor)
        assert not job.is_ended

    def test_fewer_attempts_keep_the_task_from_starting(self) -> None:
        harness = make_harness(attempts=2)
        job, start = fail_task(harness)
        allow_attempts(harness, 1)
        check_waiting(harness, job)
        harness.acknowledge_ends(start.executor)
        check_failed(job, start.run)

    def test_task_is_not_held_up_if_fewer_attempts_are_used_up_already(self) -> None:
        harness = make_harness(attempts=3)
        job, first = fail_task(harness)
        harness.acknowledge_ends(first.executor)
        (second,) = harness.place_and_start()
        harness.finish_run(second, "failed")
        allow_attempts(harness, 1)
        assert harness.place() == []
        harness.apply(HoldFailed(second.executor, harness.now, OTHER_INCARNATION))
        assert get_attempts(job) == {0: {first.run}}
        assert job.is_ended or harness.place()


class TestUnlistedExecutors:
    """An executor with ends that may count is kept while it has no entry."""

    def test_executor_is_kept_until_its_ends_are_decided_on(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        lose_answer(harness, start.executor)
        harness.apply(ExecutorUnlisted(start.executor))
        executors = harness.scheduler.state.executors
        pass_time(harness, UNANSWERED_WAIT_S, [start.executor])
        assert start.executor in executors
        check_waiting(harness, job)
        pass_time(harness, LEASE_S + 1.0, [start.executor])
        assert start.executor not in executors
        check_restarted(harness, job)

    def test_unlisted_executor_answers(self) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        harness.apply(ExecutorUnlisted(start.executor))
        pass_time(harness, 4.0)
        harness.commit()
        pass_time(harness, 1.0)
        check_failed(job, start.run)


class TestCancelledJobs:
    """A job that is cancelled while an end is open ends as cancelled."""

    @pytest.mark.parametrize("is_acknowledged", [False, True])
    def test_job_ends_as_cancelled(self, is_acknowledged: bool) -> None:
        harness = make_harness()
        job, start = fail_task(harness)
        if is_acknowledged:
            send_acknowledgement(harness, start.executor)
        harness.apply(CancelAsked(JOB))
        assert job.progress.phase == CANCELLED
        if is_acknowledged:
            answer(harness, harness.holds[start.executor])
        harness.commit()
        pass_time(harness, 1.0)
        assert job.find_phase() == CANCELLED
        assert harness.ended[start.executor] == []
        assert harness.scheduler.state.executors[start.executor].unconfirmed_ends == {}

    def test_end_is_acknowledged_without_regard_to_the_lease(self) -> None:
        harness, job = take_over()
        list_failed_end(harness)
        pass_time(harness, TICK_S)
        harness.apply(CancelAsked(JOB))
        harness.commit()
        pass_time(harness, 1.0)
        assert harness.ended["e0"] == []
        harness.submit(OTHER_JOB, "batch", make_step(8))
        assert {start.executor for start in harness.place()} == {"e0", "e1"}
