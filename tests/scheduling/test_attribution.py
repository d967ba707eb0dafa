"""Tests of runs and ends that executors report before the owner knows their occurrence."""

from __future__ import annotations

from tests.scheduling.helpers import SchedulerHarness, StartTask, StopTask, make_step
from wasabiramp.scheduling.events import JobsRecovered, StoredJob
from wasabiramp.scheduling.model import EndReport, JobDefinition, RunReport

JOB = "b" * 16
REPEATS = 12
AS_OF = 60
"""Revision of the store as of which jobs are recovered."""


def recover(harness: SchedulerHarness, *jobs: StoredJob) -> None:
    """Take over jobs and the executors `e0` and `e1` from an earlier owner."""
    roster = [("e0", "e0"), ("e1", "e1")]
    harness.apply(JobsRecovered(list(jobs), roster, 4.0, AS_OF))


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
