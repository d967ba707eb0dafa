"""Gangs, all-or-nothing jobs: capacity for all tasks is reserved before any task starts.

In each round the home asks every owner to reserve capacity. The tasks start only if all of them
have a reservation; otherwise the reservations are released and the job backs off with jitter.
Reservations expire, so a home that stops does not keep capacity for long. After HOLD_AFTER_ROUNDS
failed rounds the owners are also asked to hold capacity: they then admit no other tasks of the
gang's priority or below, so that small tasks cannot starve the gang.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.registry import receives
from wasabiramp.jobs import journal, outcomes, tasks
from wasabiramp.jobs.limits import is_within_quota
from wasabiramp.jobs.state import (
    ASKED,
    OCCUPYING_STATES,
    WAITING,
    AttemptRecord,
    GangRound,
    Job,
    PartitionState,
    Task,
)
from wasabiramp.peer.messages import GangAnswered, GangAsked, GangSettled
from wasabiramp.policy.retry import draw_backoff_s

ROUND_TIMEOUT_S: Final = 1.0
"""Time after which a round without all answers fails and a start request is repeated."""

RESERVATION_S: Final = 3.0
"""Lifetime of a reservation; owners apply the constant of the same name in admission."""

HOLD_AFTER_ROUNDS: Final = 3
"""Rounds after which owners are asked to hold capacity for the gang."""

CLEAR_EXCLUDED_AFTER_ROUNDS: Final = 4
"""Every this many rounds, tasks may run again on workers where they failed."""

KIND_GANG: Final = "gang-attempt"


def update_gangs(context: Context, state: PartitionState) -> None:
    """Start rounds for waiting gangs, oldest first, and release rounds past their timeout."""
    for key, job in list(state.active_jobs.items()):
        if not job.spec.is_gang or job.reason == "cancelled":
            continue
        if job.gang is not None:
            if context.now >= job.gang.started_at + ROUND_TIMEOUT_S:
                release_reservations(context, state, key, job)
            continue
        _repeat_start_messages(context, state, key, job)
        waiting = [task for task in job.tasks if task.state == WAITING]
        if not waiting or context.now < job.retry_at:
            continue
        if any(task.state in OCCUPYING_STATES for task in job.tasks):
            interrupt_gang(context, state, key, job, "some tasks of the gang do not run")
            continue
        if not is_within_quota(context, state, job.spec, job.spec.memory_mb, len(waiting)):
            continue
        _start_round(context, state, key, job, waiting)


def _repeat_start_messages(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Repeat start requests that owners have not answered."""
    late_task_ids: dict[str, list[str]] = {}
    for task in job.tasks:
        if task.state == ASKED and context.now >= task.asked_at + ROUND_TIMEOUT_S:
            task.asked_at = context.now
            late_task_ids.setdefault(task.owner, []).append(tasks.build_task_id(key, task.index))
    epoch = context.state.membership.current.epoch
    for owner, task_ids in late_task_ids.items():
        attempts = [job.tasks[tasks.split_task_id(item)[1]].attempt for item in task_ids]
        message = GangSettled(epoch, state.number, key, 0, True, task_ids, attempts)
        context.send(owner, message)


def _start_round(
    context: Context, state: PartitionState, key: str, job: Job, waiting: list[Task]
) -> None:
    """Ask every owner to reserve capacity for as many of the waiting tasks as it can."""
    members = [member.id for member in context.state.membership.current.members]
    owners = [owner for owner in members if not _is_leaving(context, owner)]
    if not owners:
        return
    epoch = context.state.membership.current.epoch
    job.gang_rounds += 1
    # The epoch keeps the rounds of a new home apart from those of an earlier one.
    number = epoch * 1000 + job.gang_rounds
    job.gang = GangRound(number, owners, {}, context.now)
    is_holding = job.gang_rounds > HOLD_AFTER_ROUNDS
    placements = []
    for task in waiting:
        task.attempt = max(task.attempt + 1, epoch * 1000)
        placements.append(tasks.build_placement(context, state, key, job, task))
    for owner in owners:
        message = GangAsked(epoch, state.number, key, number, placements, is_holding)
        context.send(owner, message)


def _is_leaving(context: Context, owner: str) -> bool:
    """Return whether a member is draining and will hand over its workers."""
    view = context.state.membership.views.get(owner)
    return view is not None and view.is_leaving


@receives(GangAnswered)
def handle_gang_answered(context: Context, sender: str, answer: GangAnswered) -> None:
    """Record the reservations of an owner, and start the gang once all tasks have one.

    The round fails if tasks lack a reservation after the last answer. Reservations made for an
    earlier round are released.
    """
    state = context.state.jobs.partitions.get(answer.partition)
    job = state.active_jobs.get(answer.gang) if state is not None else None
    if job is None or job.gang is None or job.gang.round != answer.round:
        epoch = context.state.membership.current.epoch
        release_message = GangSettled(epoch, answer.partition, answer.gang, answer.round, False)
        context.send(sender, release_message)
        return
    job.gang.answered[sender] = answer.reserved
    waiting = sum(1 for task in job.tasks if task.state == WAITING)
    if len(_assign_reservations(job)) == waiting:
        _start_or_record_attempt(context, state, answer.gang, job)
    elif len(job.gang.answered) == len(job.gang.owners):
        release_reservations(context, state, answer.gang, job)


def _assign_reservations(job: Job) -> dict[int, tuple[str, str]]:
    """Return a reservation for each waiting task index: its owner, and the task it is made for.

    Owners reserve independently of one another, and the tasks of a gang have the same size, so a
    reservation made for one task can be used by any other.
    """
    free_reservations = [
        (owner, slot, worker)
        for owner, reserved in job.gang.answered.items()
        for slot, _attempt, worker in reserved
    ]
    chosen: dict[int, tuple[str, str]] = {}
    for task in job.tasks:
        if task.state != WAITING:
            continue
        for reservation in free_reservations:
            if reservation[2] not in task.excluded:
                free_reservations.remove(reservation)
                chosen[task.index] = (reservation[0], reservation[1])
                break
    return chosen


def _start_or_record_attempt(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Start the gang, or first record the intent to start it if it is not idempotent."""
    needs_intent = not job.spec.is_idempotent and not job.tasks[0].has_intent
    if not needs_intent:
        _start_gang(context, state, key, job)
        return
    release_reservations(context, state, key, job)
    # No round starts before the intent is stored; the commit handler then resets this time.
    job.retry_at = context.now + 1e6
    indexes = [task.index for task in job.tasks]
    journal.append(context, state, [AttemptRecord(key, indexes)], KIND_GANG, key)


@journal.handles_commit(KIND_GANG)
def handle_gang_attempt_commit(
    context: Context, state: PartitionState, item: object, outcome: str
) -> None:
    """Allow a new round once the store holds the intent to start a non-idempotent gang."""
    job = state.active_jobs.get(item.reference)
    if job is None:
        return
    job.retry_at = context.now
    for task in job.tasks:
        task.has_intent = outcome == "ok"


def _start_gang(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Ask each owner to start the tasks assigned to its reservations, and to release the others."""
    chosen = _assign_reservations(job)
    epoch = context.state.membership.current.epoch
    for owner in job.gang.owners:
        task_indexes = [index for index, (name, _slot) in chosen.items() if name == owner]
        if not task_indexes:
            message = GangSettled(epoch, state.number, key, job.gang.round, False)
            context.send(owner, message)
            continue
        for index in task_indexes:
            _mark_start_requested(context, state, job, job.tasks[index], owner)
        task_ids = [tasks.build_task_id(key, index) for index in task_indexes]
        attempts = [job.tasks[index].attempt for index in task_indexes]
        slots = [chosen[index][1] for index in task_indexes]
        message = GangSettled(
            epoch, state.number, key, job.gang.round, True, task_ids, attempts, slots
        )
        context.send(owner, message)
    job.gang = None


def _mark_start_requested(
    context: Context, state: PartitionState, job: Job, task: Task, owner: str
) -> None:
    """Record that an owner was asked to start the task."""
    tasks.set_task_state(state, job, task, ASKED)
    task.owner = owner
    task.epoch = context.state.membership.current.epoch
    task.asked_at = context.now


def release_reservations(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Release all reservations of the round, and back off before the next one."""
    if job.gang is None:
        return
    epoch = context.state.membership.current.epoch
    for owner in job.gang.owners:
        message = GangSettled(epoch, state.number, key, job.gang.round, False)
        context.send(owner, message)
    job.gang = None
    if job.gang_rounds % CLEAR_EXCLUDED_AFTER_ROUNDS == 0:
        # All other workers may be gone, so allow those on which a task failed.
        for task in job.tasks:
            task.excluded = []
    job.retry_at = context.now + draw_backoff_s(min(job.gang_rounds, 4), context.random, 0.1)


def interrupt_gang(
    context: Context, state: PartitionState, key: str, job: Job, reason: str
) -> None:
    """Stop the running tasks of a gang of which some could not start, to start all together."""
    context.log("gang_interrupted", job=key, reason=reason)
    outcomes.stop_running_tasks(context, key, job)
    job.retry_at = context.now + draw_backoff_s(min(job.gang_rounds, 6), context.random, 0.1)
