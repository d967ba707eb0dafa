"""Recovery barrier: unlocated tasks wait until every worker has been reported in full.

A task is unlocated if its state was loaded from the journal, or if the owner that was asked to
place it is no longer a member. It may be running on any worker, so it is not started again
before all workers have been reported.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.jobs.state import ASKED, RECOVERING, PartitionState, Task
from wasabiramp.peer.messages import ReportAsked, WorkerTold
from wasabiramp.resource.kinds import ROLE_WORKER

ASK_INTERVAL_S: Final = 0.5
"""Interval at which members are asked again for reports while some are missing."""


def start_barrier(context: Context, state: PartitionState) -> None:
    """Start the barrier in the current epoch, and request reports from all members."""
    state.barrier_epoch = max(1, context.state.membership.current.epoch)
    state.reported_workers = set()
    _request_reports(context, state)


def is_unlocated(context: Context, task: Task) -> bool:
    """Return whether the task may be on any worker, so that all must be reported to find it."""
    if task.state == RECOVERING:
        return True
    if task.state != ASKED:
        return False
    members = context.state.membership.current.members
    return all(member.id != task.owner for member in members)


def is_open(state: PartitionState) -> bool:
    """Return whether the barrier is in progress."""
    return state.barrier_epoch > 0


def update_barrier(context: Context, state: PartitionState) -> None:
    """Restart an open barrier in a new epoch, open one for unlocated tasks, or ask again."""
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
    """Return whether any task of the partition is unlocated."""
    return any(
        is_unlocated(context, task) for job in state.active_jobs.values() for task in job.tasks
    )


def _request_reports(context: Context, state: PartitionState) -> None:
    """Ask every member to report the workers that it owns."""
    state.barrier_due_at = context.now + ASK_INTERVAL_S
    message = ReportAsked(state.barrier_epoch, [state.number])
    for member in context.state.membership.current.members:
        context.send(member.id, message)


def record_worker_report(
    context: Context, state: PartitionState, worker_report: WorkerTold
) -> bool:
    """Record a complete report of a worker, and return whether no worker is missing now."""
    if (
        not is_open(state)
        or not worker_report.is_complete
        or worker_report.epoch < state.barrier_epoch
    ):
        return False
    state.reported_workers.add(worker_report.worker)
    return is_complete(context, state)


def is_complete(context: Context, state: PartitionState) -> bool:
    """Return whether all configured workers have been reported in the barrier's epoch or later."""
    if not is_open(state) or not context.state.intent.synced_revision:
        return False
    workers = (
        name for name, item in context.state.intent.instances.items() if item.role == ROLE_WORKER
    )
    return all(name in state.reported_workers for name in workers)
