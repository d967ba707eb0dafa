"""Tests of runs and ends that executors report before the owner knows their job or occurrence."""

from __future__ import annotations

from typing import Any

import pytest

from tests.scheduling.helpers import HoldExecutor, SchedulerHarness, StartTask, StopTask, make_step
from wasabiramp.scheduling.events import (
    JobsRecovered,
    JobUnreadable,
    StoredJob,
)
from wasabiramp.scheduling.leases import MAX_UNCONFIRMED_S
from wasabiramp.scheduling.model import EndReport, JobDefinition, RunReport

JOB = "b" * 16
OTHER_JOB = "c" * 16
REPEATS = 12
AS_OF = 60
"""Revision of the store as of which jobs are recovered."""


def recover(harness: SchedulerHarness, *jobs: StoredJob, **options: Any) -> None:
    """Take over jobs and the executors `e0` and `e1` from an earlier owner."""
    roster = [("e0", "e0"), ("e1", "e1")]
    harness.apply(JobsRecovered(list(jobs), roster, 4.0, AS_OF, **options))


def make_repeated_job(harness: SchedulerHarness) -> StoredJob:
    """Return a job whose occurrences are all due, with one task each."""
    queue = harness.scheduler.state.config.find("batch")
    definition = JobDefinition(JOB, queue, "spec", (make_step(1),), repeat_count=REPEATS)
    return StoredJob(definition, harness.now, 50)


def report_end(harness: SchedulerHarness, name: str, task: str, how: str = "done") -> None:
    """Report the next end of an executor, of a run that an earlier owner started."""
    ends = harness.ended.setdefault(name, [])
    ends.append(EndReport(len(ends) + 1, task, 1, how, ""))
    harness.answer_hold(name)


def report_run(harness: SchedulerHarness, name: str, task: str) -> None:
    """Report a run that an earlier owner started."""
    harness.running.setdefault(name, []).append(RunReport(task, 1, "", 10.0, 0.0))
    harness.answer_hold(name)


def end_reported_run(harness: SchedulerHarness, name: str, task: str) -> None:
    """Report the success of a run that was reported before."""
    harness.running[name] = [run for run in harness.running[name] if run.task != task]
    report_end(harness, name, task)


def finish_recovery(harness: SchedulerHarness) -> None:
    """Let both executors answer, which ends the recovery."""
    for name in ("e0", "e1"):
        harness.answer_hold(name)
    harness.tick(0.1)


def run_to_the_end(harness: SchedulerHarness) -> list[StartTask]:
    """Run everything that is placed until nothing more is, and return the starts."""
    starts: list[StartTask] = []
    while placed := harness.place_and_start():
        for start in placed:
            harness.finish_run(start)
        starts += placed
        harness.commit()
        harness.tick(0.1)
    return starts


UNREADABLE_JOB = "d" * 16


class TestOccurrencesAhead:
    """An earlier owner may have been further in a repeated job than the new one prepares."""

    # Guards against TWICE after a takeover: a `done` end of an occurrence that was not prepared
    # was acknowledged and dropped, and the task ran again.
    def test_end_of_an_occurrence_that_is_not_prepared_counts(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness, make_repeated_job(harness))
        report_end(harness, "e0", f"{JOB}.7.0.0")
        finish_recovery(harness)
        harness.commit()
        assert harness.scheduler.state.executors["e0"].last_seen == 1
        started = [start.task for start in run_to_the_end(harness)]
        assert len(started) == REPEATS - 1 and f"{JOB}.7.0.0" not in started
        assert harness.scheduler.state.jobs[JOB].is_ended

    # Guards against TWICE after a takeover: a run of an occurrence that was not prepared was
    # stopped as foreign, and its task started elsewhere while it ended.
    def test_run_of_an_occurrence_that_is_not_prepared_goes_on(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness, make_repeated_job(harness))
        task = f"{JOB}.7.0.0"
        report_run(harness, "e0", task)
        finish_recovery(harness)
        started = [start.task for start in run_to_the_end(harness)]
        assert task not in started and len(started) == REPEATS - 1
        assert harness.take_effects(StopTask) == []
        end_reported_run(harness, "e0", task)
        assert harness.scheduler.state.jobs[JOB].is_ended

    def test_run_beyond_the_last_occurrence_is_stopped(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness, make_repeated_job(harness))
        report_run(harness, "e0", f"{JOB}.{REPEATS}.0.0")
        assert len(harness.take_effects(StopTask)) == 1
        assert (REPEATS, 0) not in harness.scheduler.state.jobs[JOB].steps


class TestUnknownJobs:
    """A job may be reported by an executor before the owner learns that it was stored."""

    # Guards against TWICE after a takeover: a `done` end of a job that the owner did not know
    # yet was acknowledged and dropped, and the task ran again.
    def test_end_is_kept_until_the_job_is_known(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_end(harness, "e0", f"{JOB}.0.0.0")
        finish_recovery(harness)
        assert not harness.commit()
        job = harness.submit(JOB, "batch", make_step(1))
        assert harness.place() == []
        assert job.is_ended
        harness.commit()
        assert harness.scheduler.state.executors["e0"].last_seen == 1

    # Guards against TWICE after a takeover: a run of a job that the owner did not know yet was
    # stopped as foreign, and its task started elsewhere while it ended.
    def test_run_is_linked_once_the_job_is_known(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        task = f"{JOB}.0.0.0"
        report_run(harness, "e0", task)
        finish_recovery(harness)
        job = harness.submit(JOB, "batch", make_step(2))
        assert harness.scheduler.state.executors["e0"].used.cpu == 1_000
        assert [start.task for start in harness.place()] == [f"{JOB}.0.0.1"]
        assert harness.take_effects(StopTask) == []
        end_reported_run(harness, "e0", task)
        assert job.progress.steps[(0, 0)].done == {0}

    def test_executor_with_a_run_of_an_unknown_job_gets_no_work(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        finish_recovery(harness)
        harness.submit(OTHER_JOB, "batch", make_step(3))
        assert {start.executor for start in harness.place()} == {"e1"}

    def test_lease_of_an_executor_with_a_run_of_an_unknown_job_is_renewed(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        harness.take_effects(HoldExecutor)
        harness.tick(0.1)
        holds = {hold.executor: hold for hold in harness.take_effects(HoldExecutor)}
        assert holds["e0"].until_ms is not None

    def test_ends_are_acknowledged_up_to_the_first_unknown_one(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.submit(OTHER_JOB, "batch", make_step(2))
        first, second = harness.place_and_start()
        harness.finish_run(first)
        report_end(harness, "e0", f"{JOB}.0.0.0")
        harness.finish_run(second)
        assert harness.scheduler.state.jobs[OTHER_JOB].is_ended
        harness.commit()
        assert harness.scheduler.state.executors["e0"].last_seen == 1
        harness.tick(1.0)
        assert {hold.last_seen for hold in harness.take_effects(HoldExecutor)} == {1}
        harness.submit(JOB, "batch", make_step(1))
        harness.commit()
        assert harness.scheduler.state.executors["e0"].last_seen == 3

    def test_failed_end_counts_as_an_attempt(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.1")
        harness.tick(0.1)
        harness.answer_hold("e0")
        report_end(harness, "e0", f"{JOB}.0.0.0", "failed")
        job = harness.submit(JOB, "batch", make_step(2))
        harness.acknowledge_ends("e0")
        assert job.progress.steps[(0, 0)].failed == {0: {1}}

    def test_end_of_a_run_that_was_linked_late_releases_it(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        end_reported_run(harness, "e0", f"{JOB}.0.0.0")
        assert harness.scheduler.state.executors["e0"].runs == {}
        assert harness.submit(JOB, "batch", make_step(1)).is_ended


class TestMissingJobs:
    """A list of stored jobs that is newer than a report proves that its job is over."""

    def test_run_is_stopped_and_end_dropped(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        report_end(harness, "e1", f"{JOB}.0.0.1")
        harness.confirm_jobs(harness.now)
        (stop,) = harness.take_effects(StopTask)
        assert (stop.executor, stop.task) == ("e0", f"{JOB}.0.0.0")
        assert [fields["task"] for fields in harness.find_decisions("end_dropped")] == [
            f"{JOB}.0.0.1"
        ]
        harness.commit()
        assert harness.scheduler.state.executors["e1"].last_seen == 1

    def test_list_from_before_the_report_proves_nothing(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        confirmed_at = harness.now
        harness.tick(0.5)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        report_end(harness, "e1", f"{JOB}.0.0.1")
        harness.confirm_jobs(confirmed_at)
        assert harness.take_effects(StopTask) == []
        assert not harness.commit()

    def test_job_that_ended_before_the_recovery_needs_no_newer_list(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness, ended=[JOB])
        report_run(harness, "e0", f"{JOB}.0.0.0")
        report_end(harness, "e1", f"{JOB}.0.0.1")
        assert len(harness.take_effects(StopTask)) == 1
        harness.commit()
        assert harness.scheduler.state.executors["e1"].last_seen == 1


class TestManyUnacknowledgedEnds:
    """Ends behind one that is kept have to fit on one page."""

    @pytest.mark.parametrize(("ends", "is_used"), [(10, True), (300, False)])
    def test_executor_with_many_unacknowledged_ends_gets_no_work(
        self, ends: int, is_used: bool
    ) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        for number in range(ends):
            harness.ended.setdefault("e0", []).append(
                EndReport(number + 1, f"{JOB}.0.0.{number}", 1, "done", "")
            )
        finish_recovery(harness)
        harness.submit(OTHER_JOB, "batch", make_step(8))
        assert ("e0" in {start.executor for start in harness.place()}) is is_used


class TestUnreadableJobs:
    """A job whose record this build cannot read belongs to a newer owner."""

    # Guards against TWICE during an upgrade: an owner of an older build stopped the runs of jobs
    # whose records it could not read, and acknowledged their ends.
    def test_runs_go_on_and_ends_stay_listed(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness, unreadable=[JOB])
        report_run(harness, "e0", f"{JOB}.0.0.0")
        report_end(harness, "e1", f"{JOB}.0.0.1")
        harness.confirm_jobs(harness.now)
        harness.tick(5.0)
        harness.confirm_jobs(harness.now)
        assert harness.take_effects(StopTask) == []
        assert not harness.commit()
        assert harness.scheduler.state.executors["e1"].last_seen == 0

    def test_job_found_after_the_recovery_is_left_alone(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        report_run(harness, "e0", f"{JOB}.0.0.0")
        harness.apply(JobUnreadable(JOB))
        harness.confirm_jobs(harness.now)
        assert harness.take_effects(StopTask) == []


class TestJobsDuringARecovery:
    """A job that becomes known during a recovery may run under an earlier owner."""

    # Guards against TWICE after a takeover: a job that an earlier owner, which still acted, had
    # started on an executor that had not answered yet was started again at once.
    def test_job_waits_for_the_executors(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        harness.answer_hold("e0")
        harness.submit(JOB, "batch", make_step(1))
        assert harness.place() == []
        report_run(harness, "e1", f"{JOB}.0.0.0")
        harness.tick(0.1)
        assert harness.place() == []

    def test_job_that_no_earlier_owner_knew_starts_at_once(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        harness.answer_hold("e0")
        harness.submit(JOB, "batch", make_step(1), is_new=True)
        assert len(harness.place()) == 1

    def test_waiting_job_starts_after_the_recovery(self) -> None:
        harness = SchedulerHarness(executors=2)
        recover(harness)
        harness.submit(JOB, "batch", make_step(1))
        finish_recovery(harness)
        assert len(harness.place()) == 1

    # Guards against TWICE beside a newer owner, which takes a job for new that is announced to it
    # first, while this one finds the job in the store.
    def test_found_job_waits_for_a_later_proof_of_the_term(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.tick(0.2)
        harness.submit(JOB, "batch", make_step(1), is_found=True)
        assert harness.place() == []
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        assert len(harness.place()) == 1

    def test_found_job_starts_once_it_is_announced(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.tick(0.2)
        harness.submit(JOB, "batch", make_step(1), is_found=True)
        harness.submit(JOB, "batch", make_step(1))
        assert len(harness.place()) == 1

    @pytest.mark.parametrize(("revision", "is_awaited"), [(50, False), (58, True)])
    def test_recovered_job_that_is_newer_than_the_claim_waits_for_a_proof(
        self, revision: int, is_awaited: bool
    ) -> None:
        harness = SchedulerHarness(executors=2)
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        harness.tick(0.2)
        job = make_repeated_job(harness)
        job.revision = revision
        recover(harness, job, claim_revision=55)
        finish_recovery(harness)
        assert (harness.place() == []) is is_awaited
        harness.scheduler.limit_leases(harness.now + MAX_UNCONFIRMED_S)
        assert (harness.place() != []) is is_awaited


class TestUnreadableJobsInTheWay:
    """Ends of jobs that cannot be read are left alone, but do not hold up other jobs for good."""

    # Guards against LOST: one kept end of an unreadable job ahead of a full page ends no recovery.
    def test_recovery_ends_behind_a_kept_end(self) -> None:
        harness = SchedulerHarness(executors=2)
        harness.apply(
            JobsRecovered([], [("e0", "e0"), ("e1", "e1")], 7.9, 60, unreadable=[UNREADABLE_JOB])
        )
        ends = [EndReport(1, f"{UNREADABLE_JOB}.0.0.0", 1, "done", "")]
        ends += [EndReport(n, f"{'e' * 16}.0.0.{n}", 1, "done", "") for n in range(2, 500 + 1)]
        harness.ended["e0"] = ends
        harness.answer_hold("e1")
        for _ in range(600):
            harness.answer_hold("e0")
            harness.now += 0.1
            harness.confirm_jobs(harness.now - 0.05)
            harness.commit()
            seen = harness.scheduler.state.executors["e0"].last_seen
            harness.ended["e0"] = [end for end in harness.ended["e0"] if end.number > seen]
        assert not harness.scheduler.state.is_recovering

    # Guards against LOST: an executor gets no work for good after an end of an unreadable job.
    def test_executor_gets_work_again_after_an_end_of_an_unreadable_job(self) -> None:
        harness = SchedulerHarness(executors=1)
        harness.apply(JobUnreadable(UNREADABLE_JOB))
        harness.ended["e0"] = [EndReport(1, f"{UNREADABLE_JOB}.0.0.0", 1, "done", "")]
        harness.answer_hold("e0")
        started = 0
        for number in range(300):
            harness.submit(f"{number:016x}", "batch", make_step(1), revision=100 + number)
            starts = harness.place_and_start()
            started += len(starts)
            for start in starts:
                harness.finish_run(start)
            harness.now += 0.1
            harness.confirm_jobs(harness.now - 0.05)
            harness.commit()
        assert started == 300
