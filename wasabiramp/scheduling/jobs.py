"""Jobs at their owner: acceptance, recovery, cancelling, and when they are over."""

from __future__ import annotations

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
    FAILED,
    ExecutorEntry,
    JobProgress,
    Resources,
    Step,
)
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.state import ExecutorState, JobRun, SchedulerState, StepRun

OCCURRENCES_AHEAD: Final = 4
"""Occurrences of a repeated job that are prepared at a time."""


@handles(ConfigChanged)
def handle_config_changed(state: SchedulerState, event: ConfigChanged) -> None:
    """Take a newer configuration, never an older one."""
    if event.config.version <= state.config.version:
        return
    state.config = event.config
    for job in state.jobs.values():
        job.objective_at = calculate_objective(state, job)


@handles(JobAccepted)
def handle_job_accepted(state: SchedulerState, event: JobAccepted) -> None:
    """Take a job that a daemon stored; a repeat changes nothing.

    A job that was stored before the recovery and is unknown since then was over by then: its
    announcement is late.
    """
    if event.job.definition.id in state.jobs:
        return
    if event.job.revision <= state.recovered_revision:
        state.log_decision("job_over", job=event.job.definition.id, revision=event.job.revision)
        return
    job = add_job(state, event.job)
    state.log_decision("job_taken", job=job.definition.id, queue=job.definition.queue.name)


@handles(JobsRecovered)
def handle_jobs_recovered(state: SchedulerState, event: JobsRecovered) -> None:
    """Take what an earlier owner left.

    Tasks that are not seen running may run on executors that do not answer, so they wait until
    all executors of the roster answered, or the earlier owner's leases have ended.
    """
    state.recovery_deadline = state.now + event.lease_left_s
    state.recovered_revision = event.as_of
    for executor_id, address in event.roster:
        executor = state.executors.get(executor_id)
        if executor is None:
            entry = ExecutorEntry(executor_id, address, "", "", True, Resources(), (), 0)
            executor = ExecutorState(entry)
            executor.is_listed = False
            state.executors[executor_id] = executor
        executor.is_stored = True
        executor.must_answer = True
    for stored in event.jobs:
        if stored.definition.id not in state.jobs:
            add_job(state, stored).is_reconciled = False
    state.log_decision(
        "recovered", jobs=len(event.jobs), executors=len(event.roster), term=state.term
    )


@handles(CancelAsked)
def handle_cancel(state: SchedulerState, event: CancelAsked) -> None:
    """Cancel a job that is not over, and stop its runs."""
    job = state.jobs.get(event.job_id)
    if job is not None and not job.is_ended:
        end_job(state, job, CANCELLED, "asked by the caller")


def add_job(state: SchedulerState, stored: StoredJob) -> JobRun:
    """Add a job with its steps that are due or will be soon."""
    job = JobRun(stored.definition, stored.progress or JobProgress(), stored.accepted_at)
    state.jobs[job.definition.id] = job
    job.objective_at = calculate_objective(state, job)
    if job.is_ended:
        job.ended_at = state.now
        return job
    prepare_occurrences(state, job)
    return job


def prepare_occurrences(state: SchedulerState, job: JobRun) -> None:
    """Prepare the next occurrences of a job; a job without times has one."""
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


def calculate_objective(state: SchedulerState, job: JobRun) -> float:
    """Return when the job should be done: its stretched chain of work, and the target."""
    queue = state.find_queue(job)
    chain: list[float] = []
    for step in job.definition.steps:
        advice = queue.advice
        asked_s = advice.decide_s + 30 * advice.each_s if advice is not None else 0.0
        before = max((chain[index] for index in step.after), default=0.0)
        chain.append(before + step.estimate_s + asked_s)
    return job.accepted_at + queue.stretch * max(chain) + queue.target_s


def mark_job_dirty(job: JobRun) -> None:
    """Mark what is kept of the job as changed."""
    job.is_dirty = True


def finish_task(state: SchedulerState, step: StepRun, index: int) -> None:
    """Note that a task ended well; one end stands for all tasks of a gang."""
    indexes = range(step.spec.count) if step.spec.is_gang else (index,)
    step.progress.done.update(indexes)
    for number in indexes:
        step.progress.saved.pop(number, None)
    mark_job_dirty(step.job)
    if step.is_done:
        close_step(state, step)
    else:
        for run in list(step.tasks[index].runs):
            stop_run(state, run)


def close_step(state: SchedulerState, step: StepRun) -> None:
    """Take a step whose tasks ended well off the open ones, and see whether the job is done."""
    state.open_steps.pop(step.name, None)
    if not step.spec.is_gang:
        for run in step.iter_runs():
            stop_run(state, run)
    job = step.job
    prepare_occurrences(state, job)
    count = max(1, job.definition.repeat_count) * len(job.definition.steps)
    if len(job.steps) == count and all(other.is_done for other in job.steps.values()):
        end_job(state, job, DONE, "all tasks ended well")


def fail_task(state: SchedulerState, step: StepRun, index: int, run: int) -> None:
    """Count a failed run; the job fails once a task has used up its attempts."""
    key = 0 if step.spec.is_gang else index
    runs = step.progress.failed.setdefault(key, set())
    if run in runs:
        return
    runs.add(run)
    mark_job_dirty(step.job)
    queue = state.find_queue(step.job)
    if not step.spec.is_lasting and len(runs) >= queue.max_attempts:
        end_job(state, step.job, FAILED, f"{step.build_task_name(index)} failed {len(runs)} times")


def end_job(state: SchedulerState, job: JobRun, phase: str, reason: str) -> None:
    """End a job; it is shown as such once that is stored."""
    job.progress.phase = phase
    job.ended_at = state.now
    mark_job_dirty(job)
    for step in job.steps.values():
        state.open_steps.pop(step.name, None)
        if phase == DONE and step.spec.is_gang:
            continue
        for run in step.iter_runs():
            stop_run(state, run)
    late_s = round(state.now - job.objective_at, 3)
    state.log_decision(
        "job_ended", job=job.definition.id, phase=phase, reason=reason, late_s=late_s
    )


def validate_steps(steps: tuple[Step, ...]) -> str:
    """Return what is wrong with the steps of a job, or an empty text."""
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
