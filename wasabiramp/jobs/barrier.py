"""The recovery barrier: tasks of unknown whereabouts wait until every worker is accounted for."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.jobs.state import ASKED, RECOVERING, PartitionState, Task
from wasabiramp.peer.messages import ReportAsked, WorkerTold
from wasabiramp.resource.kinds import ROLE_WORKER

ASK_INTERVAL_S: Final = 0.5


def start_barrier(context: Context, state: PartitionState) -> None:
    """Begin to gather a complete inventory of the partition's tasks."""
    state.barrier_epoch = max(1, context.state.membership.current.epoch)
    state.reported_workers = set()
    _request_reports(context, state)


def is_unlocated(context: Context, task: Task) -> bool:
    """Return whether only a complete inventory can say where the task is."""
    if task.state == RECOVERING:
        return True
    if task.state != ASKED:
        return False
    members = context.state.membership.current.members
    return all(member.id != task.owner for member in members)


def is_open(state: PartitionState) -> bool:
    """Return whether a barrier is under way."""
    return state.barrier_epoch > 0


def update_barrier(context: Context, state: PartitionState) -> None:
    """Restart the barrier in a new epoch, and ask again for what is missing."""
    epoch = context.state.membership.current.epoch
    if is_open(state) and state.barrier_epoch < epoch:
        start_barrier(context, state)
    elif not is_open(state) and state.barrier_checked_epoch < epoch:
        state.barrier_checked_epoch = epoch
        if _has_unlocated_tasks(context, state):
            start_barrier(context, state)
    elif is_open(state) and context.now >= state.barrier_due_at:
        _request_reports(context, state)


def _has_unlocated_tasks(context: Context, state: PartitionState) -> bool:
    """Return whether a task was asked of an owner that is no longer a member."""
    return any(
        is_unlocated(context, task) for job in state.active_jobs.values() for task in job.tasks
    )


def _request_reports(context: Context, state: PartitionState) -> None:
    """Ask every member for the workers it owns."""
    state.barrier_due_at = context.now + ASK_INTERVAL_S
    message = ReportAsked(state.barrier_epoch, [state.number])
    for member in context.state.membership.current.members:
        context.send(member.id, message)


def record_worker_report(
    context: Context, state: PartitionState, worker_report: WorkerTold
) -> bool:
    """Count a complete report; tell whether it was the last one missing."""
    if (
        not is_open(state)
        or not worker_report.is_complete
        or worker_report.epoch < state.barrier_epoch
    ):
        return False
    state.reported_workers.add(worker_report.worker)
    return is_complete(context, state)


def is_complete(context: Context, state: PartitionState) -> bool:
    """Return whether every trusted worker has been reported in this epoch."""
    if not is_open(state) or not context.state.intent.synced_revision:
        return False
    workers = (
        name for name, item in context.state.intent.instances.items() if item.role == ROLE_WORKER
    )
    return all(name in state.reported_workers for name in workers)
