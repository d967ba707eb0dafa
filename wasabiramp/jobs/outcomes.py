"""Outcomes of tasks at their home: reports on workers, recovery, ends and stops."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import OK
from wasabiramp.core.registry import receives
from wasabiramp.jobs import barrier, gangs, journal, tasks
from wasabiramp.jobs.limits import adjust_team_usage
from wasabiramp.jobs.state import (
    ASKED,
    CANCELLED,
    DONE,
    ENDED_STATES,
    FAILED,
    MAY_HAVE_RUN,
    PHASE_CANCELLED,
    PHASE_FAILED,
    PHASE_PENDING,
    PHASE_RUNNING,
    PHASE_SUCCEEDED,
    PLACED,
    RECOVERING,
    RUNNING,
    SEEN_DONE,
    SEEN_FAILED,
    SEEN_LAPSED,
    SEEN_LOST,
    SEEN_OVER_LIMIT,
    SEEN_REFUSED,
    SEEN_RUNNING,
    SEEN_STOPPED,
    WAITING,
    Append,
    Job,
    JobEndRecord,
    PartitionState,
    Task,
    TaskEndRecord,
)
from wasabiramp.membership.owners import find_owner_id
from wasabiramp.peer.messages import (
    ResultsKept,
    TaskReport,
    TasksStopped,
    WorkerTold,
)
from wasabiramp.policy.retry import draw_backoff_s

END_PHASES: Final = frozenset({PHASE_SUCCEEDED, PHASE_FAILED, PHASE_CANCELLED})
KIND_END: Final = "job-end"
KIND_TASK_END: Final = "task-end"
MAX_FAILED_WORKERS: Final = 3
"""Number of workers on which a task must fail to be considered faulty itself."""

MAX_CRASHED_WORKERS: Final = 3
"""Number of workers that may crash under a task until it is given up.

The last crashes of a sound task beside a faulty one come apart, by the backoff of both."""

CRASH_BACKOFF_BASE_S: Final = 0.5
"""Base of the backoff of a task under which workers have crashed."""

MEMORY_GROWTH_FACTOR: Final = 2.0
"""Factor by which the memory size of a task grows after it exceeded its limit."""

MAX_COUNTED_TRIES: Final = 20
"""Refusals beyond this number are not counted."""


@receives(WorkerTold)
def handle_worker_told(context: Context, sender: str, worker_report: WorkerTold) -> None:
    """Apply an owner's report on the partition's tasks on one worker."""
    state = context.state.jobs.partitions.get(worker_report.partition)
    if not journal.is_ready(state):
        return
    forgettable_results: list[tuple[str, int]] = []
    reported_tasks: set[str] = set()
    for report in worker_report.tasks:
        reported_tasks.add(report.task)
        _handle_task_report(context, state, worker_report, report)
        if report.state != SEEN_RUNNING and _can_forget_result(state, report):
            forgettable_results.append((report.task, report.attempt))
    if worker_report.is_complete:
        _handle_missing_tasks(context, state, worker_report, reported_tasks)
    if forgettable_results:
        context.send(sender, ResultsKept(worker_report.worker, forgettable_results))
    if barrier.record_worker_report(context, state, worker_report):
        resolve_unlocated_tasks(context, state)
    tasks.place_waiting_tasks(context, state)


def _can_forget_result(state: PartitionState, report: TaskReport) -> bool:
    """Return whether the worker may delete a result: it is in the journal or is not needed."""
    key, index = tasks.split_task_id(report.task)
    job = state.jobs.get(key)
    if job is None:
        return True
    task = job.tasks[index]
    if task.state == RECOVERING:
        return False
    if task.state in ENDED_STATES and task.attempt == report.attempt:
        return task.is_recorded or job.is_end_committed
    return True


def _handle_task_report(
    context: Context, state: PartitionState, worker_report: WorkerTold, report: TaskReport
) -> None:
    """Apply the report on one task, and stop attempts that are not the current one."""
    found = tasks.find_task(state, report.task)
    key, _index = tasks.split_task_id(report.task)
    if found is None:
        if report.state == SEEN_RUNNING:
            stop_reported_task(context, worker_report.worker, report)
        return
    job, task = found
    if task.state == RECOVERING:
        # Another worker may have a later attempt, so wait for the reports of all workers.
        task.found = [item for item in task.found if item[0] != worker_report.worker]
        task.found.extend(
            (worker_report.worker, item) for item in worker_report.tasks if item.task == report.task
        )
        return
    if task.state == ASKED and report.attempt == task.attempt:
        tasks.set_task_state(state, job, task, PLACED)
        task.worker = worker_report.worker
    if task.attempt != report.attempt or task.state in ENDED_STATES or task.state == WAITING:
        if report.state == SEEN_RUNNING and task.attempt != report.attempt:
            stop_reported_task(context, worker_report.worker, report)
        return
    task.worker = worker_report.worker
    _apply_report(context, state, key, job, task, report)


def _apply_report(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    report: TaskReport,
) -> None:
    """Change the state of the task according to the report on its current attempt."""
    if report.state == SEEN_RUNNING:
        tasks.set_task_state(state, job, task, RUNNING)
        job.phase = PHASE_RUNNING if job.phase == PHASE_PENDING else job.phase
        if job.reason == "cancelled":
            stop_reported_task(context, task.worker, report)
    elif report.state == SEEN_DONE:
        end_task(context, state, key, job, task, DONE, "")
    elif report.state == SEEN_REFUSED:
        task.tries = min(task.tries + 1, MAX_COUNTED_TRIES)
        task.retry_at = context.now + draw_backoff_s(min(task.tries, 6), context.random)
        tasks.release_task(context, state, key, job, task)
        if job.spec.is_gang:
            gangs.interrupt_gang(context, state, key, job, "a task of the gang could not start")
    elif job.reason == "cancelled":
        end_task(context, state, key, job, task, CANCELLED, "cancelled")
    elif report.state in (SEEN_FAILED, SEEN_OVER_LIMIT):
        _handle_task_failure(context, state, key, job, task, report)
    elif report.state == SEEN_LOST:
        _handle_worker_crash(context, state, key, job, task)
    elif report.state in (SEEN_STOPPED, SEEN_LAPSED):
        _handle_task_interruption(context, state, key, job, task, report.state)


def _handle_task_failure(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    report: TaskReport,
) -> None:
    """Retry a failed task on another worker, unless it is out of retries or itself faulty.

    An idempotent task that exceeded its memory limit gets more memory, and may run on any worker.
    """
    task.failures += 1
    if task.worker not in task.excluded:
        task.excluded.append(task.worker)
    reason = report.reason or f"exit code {report.exit_code} on {task.worker}"
    task.reason = reason
    if report.state == SEEN_OVER_LIMIT and job.spec.is_idempotent:
        _increase_memory(state, job, task)
        task.excluded = []
    exhausted = task.failures > job.spec.max_retries or len(task.excluded) >= MAX_FAILED_WORKERS
    if not job.spec.is_idempotent or exhausted:
        if len(task.excluded) >= MAX_FAILED_WORKERS:
            reason = f"failed on {len(task.excluded)} workers, last: {reason}"
        end_task(context, state, key, job, task, FAILED, reason)
        return
    task.retry_at = context.now + draw_backoff_s(task.failures, context.random, 0.1)
    tasks.release_task(context, state, key, job, task)


def _increase_memory(state: PartitionState, job: Job, task: Task) -> None:
    """Increase the memory size of a task whose declared size was too small."""
    adjust_team_usage(state, job.spec, task.memory_mb, -1)
    task.memory_mb *= MEMORY_GROWTH_FACTOR
    adjust_team_usage(state, job.spec, task.memory_mb, 1)


def _handle_worker_crash(
    context: Context, state: PartitionState, key: str, job: Job, task: Task
) -> None:
    """Give up a task under which several workers have crashed; otherwise retry it later."""
    task.crashes += 1
    context.log("worker_crashed", task=tasks.build_task_id(key, task.index), count=task.crashes)
    if job.spec.is_idempotent and task.crashes >= MAX_CRASHED_WORKERS:
        reason = f"{task.crashes} workers crashed under it, last: {task.worker}"
        end_task(context, state, key, job, task, FAILED, reason)
        return
    _handle_task_interruption(context, state, key, job, task, SEEN_LOST)


def _handle_task_interruption(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, reported_state: str
) -> None:
    """Run an interrupted task again if it is idempotent; otherwise end it as may-have-run."""
    if not job.spec.is_idempotent:
        end_task(
            context,
            state,
            key,
            job,
            task,
            MAY_HAVE_RUN,
            f"interrupted ({reported_state}) after it started",
        )
        return
    task.retry_at = context.now
    if task.crashes:
        task.retry_at += draw_backoff_s(task.crashes, context.random, CRASH_BACKOFF_BASE_S)
    tasks.release_task(context, state, key, job, task)


def _handle_missing_tasks(
    context: Context, state: PartitionState, worker_report: WorkerTold, reported_tasks: set[str]
) -> None:
    """Handle tasks that were placed on a worker but are missing from its complete report.

    A task placed in the epoch of the report or later is skipped, as the report may predate the
    placement. A task not seen running is queued again if the worker is reachable, since it cannot
    start there anymore; any other counts as interrupted.
    """
    epoch = worker_report.epoch
    for key, job in list(state.active_jobs.items()):
        for task in job.tasks:
            if task.state not in (PLACED, RUNNING) or task.worker != worker_report.worker:
                continue
            if tasks.build_task_id(key, task.index) in reported_tasks or task.epoch >= epoch:
                continue
            if task.state == PLACED and worker_report.incarnation:
                tasks.release_task(context, state, key, job, task)
            else:
                _handle_task_interruption(context, state, key, job, task, SEEN_LOST)


def resolve_unlocated_tasks(context: Context, state: PartitionState) -> None:
    """Decide the unlocated tasks after every worker has been reported in full.

    A task that no worker reported is queued again, since no worker can run it. If it is
    non-idempotent and the journal holds the intent to start it, it ends as may-have-run.
    """
    epoch = state.barrier_epoch
    state.barrier_epoch = 0
    count = 0
    for key, job in list(state.active_jobs.items()):
        for task in job.tasks:
            if not barrier.is_unlocated(context, task) or task.epoch >= epoch:
                continue
            count += 1
            if task.found:
                _resolve_reported_task(context, state, key, job, task)
                continue
            if task.has_intent and not job.spec.is_idempotent and task.state == RECOVERING:
                reason = "recorded before the start; its outcome was lost"
                end_task(context, state, key, job, task, MAY_HAVE_RUN, reason)
                continue
            tasks.release_task(context, state, key, job, task)
    context.log("partition_recovered", partition=state.number, released=count, epoch=epoch)


def _resolve_reported_task(
    context: Context, state: PartitionState, key: str, job: Job, task: Task
) -> None:
    """Adopt the finished attempt of a recovered task, or else its latest, and stop the others."""

    def rank(item: tuple[str, TaskReport]) -> tuple[bool, int]:
        return (item[1].state == SEEN_DONE, item[1].attempt)

    found, task.found = sorted(task.found, key=rank), []
    worker, chosen = found[-1]
    for other, report in found[:-1]:
        if report.state == SEEN_RUNNING:
            stop_reported_task(context, other, report)
    task.attempt = chosen.attempt
    task.worker = worker
    task.epoch = context.state.membership.current.epoch
    tasks.set_task_state(state, job, task, PLACED)
    _apply_report(context, state, key, job, task, chosen)


def end_task(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    new_state: str,
    reason: str,
) -> None:
    """End a task, and end its job with the last task; a gang stops if one of its tasks fails."""
    tasks.set_task_state(state, job, task, new_state)
    task.reason = reason
    job.open_tasks -= 1
    context.count("tasks_ended_total", state=new_state)
    if job.spec.is_gang and new_state in (FAILED, MAY_HAVE_RUN):
        stop_job(context, state, key, job)
    # Stopping the other tasks may have ended the job already.
    if job.is_recorded_end:
        return
    if job.open_tasks > 0:
        entry = TaskEndRecord(key, [task.index], [new_state])
        name = tasks.build_task_id(key, task.index)
        journal.append(context, state, [entry], KIND_TASK_END, name, journal.LAZY_WRITE_DELAY_S)
        return
    states = {item.state for item in job.tasks}
    job.phase = PHASE_SUCCEEDED
    if job.reason == "cancelled":
        job.phase = PHASE_CANCELLED
    elif states != {DONE}:
        job.phase = PHASE_FAILED
        job.reason = job.reason or next(item.reason for item in job.tasks if item.state != DONE)
    del state.active_jobs[key]
    job.is_recorded_end = True
    record = JobEndRecord(key, job.phase, [item.state for item in job.tasks], job.reason)
    journal.append(context, state, [record], KIND_END, key, journal.LAZY_WRITE_DELAY_S)
    context.log("job_ended", job=key, phase=job.phase, reason=job.reason)


@journal.handles_commit(KIND_TASK_END)
def handle_task_end_commit(
    _context: Context, state: PartitionState, item: Append, outcome: str
) -> None:
    """Mark the end of a task as stored, so that its worker may delete the result."""
    key, index = tasks.split_task_id(item.reference)
    if outcome == OK and key in state.jobs:
        state.jobs[key].tasks[index].is_recorded = True


@journal.handles_commit(KIND_END)
def handle_job_end_commit(
    _context: Context, state: PartitionState, item: Append, outcome: str
) -> None:
    """Mark the end of a job as stored."""
    if outcome == OK and item.reference in state.jobs:
        state.jobs[item.reference].is_end_committed = True


@journal.replays(TaskEndRecord)
def replay_task_ends(_context: Context, state: PartitionState, item: TaskEndRecord) -> None:
    """Restore the ends of tasks of an active job."""
    job = state.jobs.get(item.key)
    if job is None:
        return
    for index, outcome in zip(item.tasks, item.outcomes, strict=True):
        task = job.tasks[index]
        if task.state not in ENDED_STATES:
            tasks.set_task_state(state, job, task, outcome)
            job.open_tasks -= 1
            task.is_recorded = True


def restore_job_end(state: PartitionState, item: JobEndRecord, job: Job) -> None:
    """Apply the recorded end of a job."""
    for task, outcome in zip(job.tasks, item.outcomes, strict=True):
        tasks.set_task_state(state, job, task, outcome)
    job.phase = item.phase
    job.reason = item.reason
    job.open_tasks = 0
    job.is_recorded_end = True
    job.is_end_committed = True
    state.active_jobs.pop(item.key, None)


def stop_job(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Stop a job: waiting tasks end now, the others when their workers report the stop."""
    for task in job.tasks:
        if task.state == WAITING:
            end_task(context, state, key, job, task, CANCELLED, job.reason or "stopped")
    stop_running_tasks(context, key, job)


def stop_running_tasks(context: Context, key: str, job: Job) -> None:
    """Ask owners to stop a job's placed and running tasks, one message per owner."""
    _send_stop_requests(
        context,
        [
            (tasks.build_task_id(key, task.index), task.attempt, task.worker)
            for task in job.tasks
            if task.state in (PLACED, RUNNING)
        ],
    )


def stop_reported_task(context: Context, worker: str, report: TaskReport) -> None:
    """Stop a reported attempt that is cancelled, superseded or unknown to its home."""
    _send_stop_requests(context, [(report.task, report.attempt, worker)])


def _send_stop_requests(context: Context, stops: list[tuple[str, int, str]]) -> None:
    """Send stop requests to the owners; each is a task id, an attempt and a worker."""
    members = context.state.membership.current.members
    by_owner: dict[str, list[tuple[str, int, str]]] = {}
    for stop in stops:
        owner = find_owner_id(f"instance/{stop[2]}", members)
        if owner is not None:
            by_owner.setdefault(owner, []).append(stop)
    for owner, entries in by_owner.items():
        context.send(owner, TasksStopped(entries))
