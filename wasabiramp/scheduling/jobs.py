"""Track jobs at their owner: acceptance, recovery, cancellation and completion."""

from __future__ import annotations

import math
from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.scheduling.events import (
    CancelAsked,
    ConfigChanged,
    JobAccepted,
    JobsRecovered,
    StoredJob,
)
from wasabiramp.scheduling.model import (
    CANCELLED,
    DONE,
    ExecutorEntry,
    JobProgress,
    Resources,
    Step,
)
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.state import ExecutorState, JobRun, SchedulerState, StepRun

OCCURRENCES_AHEAD: Final = 4
"""Maximum number of unfinished occurrences of a repeated job that are prepared."""

MAX_STEPS: Final = 200
MAX_TASKS: Final = 20_000
"""Limits of one job."""


@handles(ConfigChanged)
def handle_config_changed(state: SchedulerState, event: ConfigChanged) -> None:
    """Apply a newer configuration; ignore an older one."""
    if event.config.version <= state.config.version:
        return
    state.config = event.config
    for job in state.jobs.values():
        job.objective_at = calculate_objective(state, job)


@handles(JobAccepted)
def handle_job_accepted(state: SchedulerState, event: JobAccepted) -> None:
    """Add a job that a daemon stored; a repeated announcement does not add it again.

    A job that was stored before the recovery but was not recovered had already ended, so its
    announcement is late. During a recovery, a job that an earlier owner may know waits like those
    that were recovered.
    """
    known = state.jobs.get(event.job.definition.id)
    if known is not None:
        if not event.is_found:
            known.found_at = -math.inf
        return
    if event.job.revision <= state.recovered_revision:
        state.log_decision("job_over", job=event.job.definition.id, revision=event.job.revision)
        return
    job = add_job(state, event.job)
    job.is_reconciled = event.is_new or not state.is_recovering
    if event.is_found:
        job.found_at = state.now
    queue = state.find_queue(job)
    state.log_decision(
        "job_taken",
        job=job.definition.id,
        queue=queue.name,
        stretch=queue.stretch,
        target_s=queue.target_s,
    )


@handles(JobsRecovered)
def handle_jobs_recovered(state: SchedulerState, event: JobsRecovered) -> None:
    """Take over jobs and executors from an earlier owner.

    Tasks may still run on executors that have not answered yet. They are not started until all
    executors of the roster have answered, or the leases of earlier owners have expired. An executor
    of the roster whose entry has not been read yet gets no work.
    """
    state.is_recovering = True
    state.predecessor_leases_end_at = state.now + event.lease_left_s
    state.recovered_revision = event.as_of
    state.has_unknown_executors = not event.is_roster_complete
    for executor_id, address in event.roster:
        executor = state.executors.get(executor_id)
        if executor is None:
            entry = ExecutorEntry(executor_id, address, "", "", True, Resources(), (), 0)
            executor = ExecutorState(entry, state.first_epoch)
            executor.is_listed = False
            executor.unlisted_at = state.now
            executor.reached_at = address
            state.executors[executor_id] = executor
        executor.is_in_stored_roster = True
        executor.must_answer = True
    for stored in event.jobs:
        if stored.definition.id in state.jobs:
            continue
        job = add_job(state, stored)
        job.is_reconciled = False
        if stored.revision > event.claim_revision:
            job.found_at = state.now
    state.log_decision(
        "recovered", jobs=len(event.jobs), executors=len(event.roster), term=state.term
    )


@handles(CancelAsked)
def handle_cancel(state: SchedulerState, event: CancelAsked) -> None:
    """Cancel a job that has not ended, and stop its runs."""
    job = state.jobs.get(event.job_id)
    if job is not None and not job.is_ended:
        end_job(state, job, CANCELLED, "cancelled by the caller")


def add_job(state: SchedulerState, stored: StoredJob) -> JobRun:
    """Add a job and prepare the steps of its next occurrences."""
    job = JobRun(stored.definition, stored.progress or JobProgress(), stored.accepted_at)
    state.jobs[job.definition.id] = job
    state.job_services.add(job.definition.queue.service)
    job.objective_at = calculate_objective(state, job)
    if job.is_ended:
        job.ended_at = state.now
        return job
    prepare_occurrences(state, job)
    return job


def prepare_occurrences(state: SchedulerState, job: JobRun) -> None:
    """Prepare the next occurrences of a job; a job that is not repeated has one."""
    count = max(1, job.definition.repeat_count)
    unfinished = 0
    for occurrence in range(count):
        if unfinished >= OCCURRENCES_AHEAD:
            return
        if (occurrence, 0) not in job.steps:
            prepare_occurrence(state, job, occurrence)
        steps = [job.steps[(occurrence, index)] for index in range(len(job.definition.steps))]
        unfinished += not all(step.is_done for step in steps)


def prepare_occurrence(state: SchedulerState, job: JobRun, occurrence: int) -> None:
    """Prepare all steps of one occurrence."""
    due_at = 0.0
    definition = job.definition
    if definition.repeat_count > 0:
        due_ms = definition.first_ms + occurrence * definition.interval_ms
        due_at = due_ms / 1000 - state.wall_offset_s
    for index in range(len(definition.steps)):
        step = StepRun(job, occurrence, index, due_at)
        job.steps[(occurrence, index)] = step
        if not step.is_done:
            state.open_steps[step.name] = step


def find_or_prepare_step(
    state: SchedulerState, job: JobRun, occurrence: int, index: int
) -> StepRun | None:
    """Return a step of a job, or None if the job has no such step.

    The occurrence is prepared if need be, unless the job has ended.
    """
    is_prepared = (occurrence, 0) in job.steps
    if not is_prepared and not job.is_ended and occurrence < max(1, job.definition.repeat_count):
        prepare_occurrence(state, job, occurrence)
    return job.steps.get((occurrence, index))


def calculate_objective(state: SchedulerState, job: JobRun) -> float:
    """Return when the job should be done: its stretched critical path plus the queue's target.

    In a queue with advice, each step includes the time of a question about 30 executors.
    """
    queue = state.find_queue(job)
    path_s: list[float] = []
    for step in job.definition.steps:
        advice = queue.advice
        advice_s = advice.decide_s + 30 * advice.each_s if advice is not None else 0.0
        longest_before_s = max((path_s[index] for index in step.after), default=0.0)
        path_s.append(longest_before_s + step.estimate_s + advice_s)
    return job.accepted_at + queue.stretch * max(path_s) + queue.target_s


def mark_job_dirty(job: JobRun) -> None:
    """Mark the progress of the job as changed, so that it is stored."""
    job.is_dirty = True


def finish_task(state: SchedulerState, step: StepRun, index: int) -> None:
    """Record the success of a task; that of one member counts for its whole gang."""
    indexes = range(step.spec.count) if step.spec.is_gang else (index,)
    step.progress.done.update(indexes)
    for number in indexes:
        step.progress.saved.pop(number, None)
        step.progress.crashes.pop(number, None)
    step.suspects.difference_update(indexes)
    mark_job_dirty(step.job)
    if step.is_done:
        close_step(state, step)
    else:
        for run in list(step.tasks[index].runs):
            stop_run(state, run)


def close_step(state: SchedulerState, step: StepRun) -> None:
    """Close a step whose tasks have succeeded; prepare the next occurrences, or end the job."""
    state.open_steps.pop(step.name, None)
    state.suspect_steps.pop(step.name, None)
    _log_finished_runs(state, step)
    if not step.spec.is_gang:
        for run in step.iter_runs():
            stop_run(state, run)
    job = step.job
    prepare_occurrences(state, job)
    count = max(1, job.definition.repeat_count) * len(job.definition.steps)
    if len(job.steps) == count and all(other.is_done for other in job.steps.values()):
        end_job(state, job, DONE, "all tasks succeeded")


def end_job(state: SchedulerState, job: JobRun, phase: str, reason: str) -> None:
    """End a job and stop its runs; the phase is shown to callers once it is stored."""
    job.progress.phase = phase
    job.ended_at = state.now
    mark_job_dirty(job)
    for step in job.steps.values():
        state.open_steps.pop(step.name, None)
        state.suspect_steps.pop(step.name, None)
        _log_finished_runs(state, step)
        if phase == DONE and step.spec.is_gang:
            continue
        for run in step.iter_runs():
            stop_run(state, run)
    late_s = round(state.now - job.objective_at, 3)
    state.log_decision(
        "job_ended", job=job.definition.id, phase=phase, reason=reason, late_s=late_s
    )


def _log_finished_runs(state: SchedulerState, step: StepRun) -> None:
    """Log the successful runs of a step in one line."""
    if step.finished_runs:
        rows = ",".join(step.finished_runs)
        state.log_decision(
            "run_ended", count=len(step.finished_runs), step=step.name, how=DONE, runs=rows
        )
        step.finished_runs.clear()


def validate_steps(steps: tuple[Step, ...]) -> str:
    """Return the first error in the steps of a job, or an empty string."""
    if not steps:
        return "steps: expected at least one step"
    for index, step in enumerate(steps):
        if step.count < 1:
            return f"steps[{index}].count: expected at least 1"
        if any(not 0 <= before < index for before in step.after):
            return f"steps[{index}].after: expected numbers of earlier steps"
        if min(step.demand.cpu, step.demand.memory_mb, step.demand.gpu) < 0:
            return f"steps[{index}]: expected no negative demand"
        if step.estimate_s < 0 or step.max_per_executor < 0:
            return f"steps[{index}]: expected no negative estimate or spreading limit"
    return ""
