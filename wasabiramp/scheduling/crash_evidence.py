"""Evidence that an executor crashed under a run, and did not only lose contact.

An executor that falls silent may be cut off: it goes on, its lease runs out, and its runs lapse.
Its process may end after that for any cause. So the time at which contact was lost says nothing of
a crash, nor does the fact that another process is there later. A run was on an executor when its
process ended only if the new process answers while the lease of the run still lasts.
"""

from __future__ import annotations

import math

from wasabiramp.scheduling.jobs import mark_job_dirty
from wasabiramp.scheduling.leases import estimate_confirmed_lease_s
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState, TaskAtCrash


def note_lease(state: SchedulerState, executor: ExecutorState, run: Run, task: TaskAtCrash) -> None:
    """Note until when the lease of a run lasts at least, by the answers of its executor.

    It is not known if the process did not answer the start, if the lease may have lapsed since the
    run was last known, if the run was told to stop, or if another member of its gang may have
    ended before, which ends it too.
    """
    if _rule_out_lost_gang(state, run) or _is_told_to_end(run):
        return
    if run.lease_gaps is None or run.lease_gaps != executor.lease_gaps:
        return
    task.run = run
    task.answer_asked_at = executor.clock_asked_at
    task.lease_ends_at = state.now + estimate_confirmed_lease_s(state, executor)


def forget_lease_if_ended(
    state: SchedulerState, executor: ExecutorState, task: TaskAtCrash
) -> None:
    """Forget the lease of a run that may have ended after contact with its executor was lost.

    A draining executor ends on purpose.
    """
    run = task.run
    may_have_ended = run is not None and (_rule_out_lost_gang(state, run) or _is_told_to_end(run))
    if may_have_ended or executor.entry.is_draining:
        task.lease_ends_at = -math.inf


def _is_told_to_end(run: Run) -> bool:
    """Return whether a run is not listed any more, or was told to stop for its own sake."""
    return run.is_unlisted or (run.wants_stop and not run.may_have_broken_gang)


def get_lease_left_s(state: SchedulerState, task: TaskAtCrash) -> float:
    """Return for how long the lease of a run still lasts at least; negative if it may be over."""
    return task.lease_ends_at - state.now


def _rule_out_lost_gang(state: SchedulerState, run: Run) -> bool:
    """Forget the leases of the other members of a run's gang with whose executors contact was lost.

    It is not known which member ended first then, so no crash counts under any of them. Return
    whether there are such members.
    """
    if run.step is None or not run.step.spec.is_gang:
        return False
    lost = [
        state.executors.get(other.executor)
        for other in run.step.iter_runs()
        if other.executor != run.executor
        and _is_contact_lost(state.executors.get(other.executor), other)
    ]
    for executor in lost:
        for task in _list_crashes(executor):
            if task.step is run.step:
                task.lease_ends_at = -math.inf
    return bool(lost)


def _is_contact_lost(executor: ExecutorState | None, run: Run) -> bool:
    """Return whether an executor does not answer, or a run was lost with its earlier process."""
    if executor is None or executor.silent_since is not None:
        return True
    return run.confirmed_at is not None and run.lease_gaps is None


def _list_crashes(executor: ExecutorState | None) -> list[TaskAtCrash]:
    """Return the crashes of an executor that may still be witnessed."""
    return [*executor.tasks_at_silence, *executor.open_crashes] if executor is not None else []


def witness_crashes(state: SchedulerState, executor: ExecutorState, born_ms: int | None) -> None:
    """Record which open crashes of an executor an answer of another process has witnessed.

    `born_ms` is the start time of that process, or None if it is another executor's. What was
    answered before a suspension of our machine does not tell when a lease ended.
    """
    tasks, executor.open_crashes = executor.open_crashes, []
    for task in tasks:
        left_s = get_lease_left_s(state, task)
        is_later = born_ms is None or born_ms > task.crash.born_ms
        if not is_later or left_s < 0 or task.answer_asked_at <= state.resumed_at:
            continue
        task.crash.is_witnessed = True
        mark_job_dirty(task.step.job)
        state.log_decision(
            "crash_witnessed",
            task=task.step.build_task_name(task.index),
            executor=executor.id,
            lease_left_ms=round(1000 * left_s),
        )
