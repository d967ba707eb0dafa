"""Evidence that an executor crashed under a run, and did not only lose contact.

An executor that falls silent may be cut off: it goes on, its lease runs out, and its runs lapse.
Its process may end after that for any cause. So the time at which contact was lost says nothing of
a crash, nor does the fact that another process is there later. A run was on an executor when its
process ended only if the new process answers while the lease of the run still lasts.

That shows a crash. Whether the run was there is known if the process answered for it: the crash is
witnessed. It is inferred, which is weaker evidence, in two cases:

- The start was left unanswered by a process that had answered right before it and never did again.
  The process crashed in that moment, under the start or by coincidence.
- Several members of a gang were lost together, and the processes of all of them have crashed. The
  first of these crashes met a member and ended the others, but it is not known which one it was.
"""

from __future__ import annotations

from collections.abc import Container
import math
from typing import Final

from wasabiramp.scheduling.jobs import mark_job_dirty
from wasabiramp.scheduling.leases import estimate_confirmed_lease_s
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState, TaskAtCrash

MAX_ANSWER_AGE_S: Final = 0.25
"""Longest time from the call that a process answered last to a start that it met, most likely."""


def note_lease(state: SchedulerState, executor: ExecutorState, run: Run, task: TaskAtCrash) -> None:
    """Note until when the lease of a run lasts at least, by the answers of its executor.

    It is not known if the lease may have lapsed since the run was last known, if the run was told
    to stop, if another member of its gang may have ended before, which ends it too, or if the start
    was not answered by a process of which it is not known that it was there to meet it.
    """
    if not _join_lost_members(state, run, task) or _is_told_to_end(run):
        return
    if run.lease_gaps is None and _has_met_start(executor, run):
        lease_s = _estimate_start_lease_s(state, executor, run)
    elif run.lease_gaps is not None and run.lease_gaps == executor.lease_gaps:
        lease_s = estimate_confirmed_lease_s(state, executor)
        task.is_run_known = True
    else:
        return
    task.run = run
    task.answer_asked_at = executor.clock_asked_at
    task.lease_ends_at = state.now + lease_s


def _has_met_start(executor: ExecutorState, run: Run) -> bool:
    """Return whether a process that left a start unanswered most likely was there to meet it.

    It had answered right before that, and has answered nothing since.
    """
    is_answered = run.confirmed_at is not None or run.stop_confirmed_at is not None
    if run.step is None or run.step.spec.is_gang or is_answered:
        return False
    asked_at = run.sent_at - MAX_ANSWER_AGE_S
    return executor.clock_asked_at >= asked_at and executor.answered_at <= run.sent_at


def _estimate_start_lease_s(state: SchedulerState, executor: ExecutorState, run: Run) -> float:
    """Return how long the lease still lasts at least that a start gives which was not answered.

    The first order may have given a lease that ends earlier, by the time until the last one.
    """
    if run.start_order is None or executor.clock_ms is None:
        return -math.inf
    left_s = (run.start_order.until_ms - executor.clock_ms) / 1000
    return left_s - (state.now - executor.clock_asked_at) - (state.now - run.sent_at)


def forget_lease_if_ended(
    state: SchedulerState, executor: ExecutorState, task: TaskAtCrash
) -> None:
    """Forget the lease of a run that may have ended after contact with its executor was lost.

    A draining executor ends on purpose.
    """
    run = task.run
    may_have_ended = run is not None and (
        not _join_lost_members(state, run, task) or _is_told_to_end(run)
    )
    if may_have_ended or executor.entry.is_draining:
        task.lease_ends_at = -math.inf


def _is_told_to_end(run: Run) -> bool:
    """Return whether a run is not listed any more, or was told to stop for its own sake.

    A start that was not answered is told to stop for that. Which process answers that stop is not
    known once contact is lost.
    """
    is_stopped = run.wants_stop and not run.may_have_broken_gang
    is_unanswered = run.is_uncertain and run.confirmed_at is None
    return run.is_unlisted or (is_stopped and not is_unanswered)


def get_lease_left_s(state: SchedulerState, task: TaskAtCrash) -> float:
    """Return for how long the lease of a run still lasts at least; negative if it may be over."""
    return task.lease_ends_at - state.now


def _join_lost_members(state: SchedulerState, run: Run, task: TaskAtCrash) -> bool:
    """Join the record of a run with those of the members of its gang that were lost, too.

    It is not known which of them ended first. If one has no record, none is evidence any more.
    Return whether all have one.
    """
    if run.step is None or not run.step.spec.is_gang:
        return True
    joined = {id(member): member for member in task.lost_members}
    is_known = True
    for other in run.step.iter_runs():
        executor = state.executors.get(other.executor)
        if other.executor == run.executor or not _is_contact_lost(executor, other):
            continue
        for found in _list_crashes(executor):
            if found.run is not None and found.step is run.step and found.run.number == run.number:
                joined |= {id(member): member for member in found.lost_members}
        is_known &= any(member.run is other for member in joined.values())
    for member in joined.values():
        member.lost_members = list(joined.values())
        if not is_known:
            member.lease_ends_at = -math.inf
    return is_known


def _is_contact_lost(executor: ExecutorState | None, run: Run) -> bool:
    """Return whether an executor does not answer, or a run was lost with its earlier process."""
    if executor is None or executor.silent_since is not None:
        return True
    return run.confirmed_at is not None and run.lease_gaps is None


def _list_crashes(executor: ExecutorState | None) -> list[TaskAtCrash]:
    """Return the crashes of an executor that may still be witnessed."""
    return [*executor.tasks_at_silence, *executor.open_crashes] if executor is not None else []


def witness_crashes(
    state: SchedulerState,
    executor: ExecutorState,
    born_ms: int | None,
    listed: Container[tuple[str, int]],
) -> list[TaskAtCrash]:
    """Record which open crashes of an executor an answer of another process shows; return them.

    `born_ms` is the start time of that process, or None if it is another executor's, and `listed`
    are the runs on it. What was answered before a suspension of our machine does not tell when a
    lease ended.
    """
    tasks, executor.open_crashes = executor.open_crashes, []
    shown = []
    for task in tasks:
        left_s = get_lease_left_s(state, task)
        is_later = born_ms is None or born_ms > task.crash.born_ms
        if not is_later or left_s < 0 or task.answer_asked_at <= state.resumed_at:
            continue
        task.has_ended_in_time = True
        if not all(member.has_ended_in_time for member in task.lost_members):
            continue
        new = _note_shown_crashes(task, listed)
        if not new:
            continue
        shown += new
        state.log_decision(
            "crash_witnessed" if task.crash.is_witnessed else "crash_inferred",
            task=task.step.build_task_name(task.index),
            executor=executor.id,
            lease_left_ms=round(1000 * left_s),
        )
    return shown


def _note_shown_crashes(task: TaskAtCrash, listed: Container[tuple[str, int]]) -> list[TaskAtCrash]:
    """Record that a crash, and those of the members lost with it, were shown; return them.

    A start that was not answered may have reached the next process.
    """
    if task.is_run_known and len(task.lost_members) == 1:
        task.crash.is_witnessed = True
    elif task.is_run_known or _is_still_unanswered(task.run, listed):
        for member in task.lost_members:
            member.crash.is_inferred = True
    else:
        return []
    for member in task.lost_members:
        mark_job_dirty(member.step.job)
    return task.lost_members


def _is_still_unanswered(run: Run | None, listed: Container[tuple[str, int]]) -> bool:
    """Return whether no process has answered a start or lists its run."""
    if run is None or not run.is_uncertain or run.confirmed_at is not None:
        return False
    return (run.task, run.number) not in listed
