"""Admission of tasks by the owner of the workers, with gang reservations and preemption."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.registry import receives
from wasabiramp.jobs.capacity import (
    can_accept_tasks,
    find_worker,
    get_worker_candidate,
    summarize_free,
)
from wasabiramp.jobs.state import (
    HELD,
    PENDING,
    SEEN_REFUSED,
    SEEN_RUNNING,
    GangHold,
    Reservation,
    Worker,
    WorkerTask,
)
from wasabiramp.membership.owners import build_partition_key, find_owner_id
from wasabiramp.membership.rights import has_right
from wasabiramp.peer.messages import (
    GangAnswered,
    GangAsked,
    GangSettled,
    PlaceAnswered,
    PlaceAsked,
    Placement,
    TaskReport,
    WorkerTold,
)
from wasabiramp.policy.placement import EPSILON, Need, has_room

RESERVATION_S: Final = 3.0
"""Time after which a reservation expires, so that a lost home does not keep capacity."""

GANG_HOLD_S: Final = 3.0
"""Time for which capacity is held for a gang after its latest request."""

DEFAULT_PLACEMENT_POLICY: Final = "balanced"


def _can_admit_for(context: Context, sender: str, partition: int) -> bool:
    """Return whether this daemon may admit tasks and the sender is the partition's current home."""
    membership = context.state.membership
    if membership.is_leaving or not has_right(context):
        return False
    return find_owner_id(build_partition_key(partition), membership.current.members) == sender


@receives(PlaceAsked)
def handle_place_asked(context: Context, sender: str, message: PlaceAsked) -> None:
    """Admit tasks to workers with room; an attempt is admitted once, however often it is asked.

    A repeat admits nothing new: tasks that are unknown here are refused.
    """
    admitted: list[tuple[str, int, str]] = []
    refused: list[tuple[str, int]] = []
    is_allowed = not message.is_repeat and _can_admit_for(context, sender, message.partition)
    for placement in message.placements:
        worker = context.state.jobs.find_task_worker((placement.task, placement.attempt))
        if worker is None and is_allowed:
            worker = _admit_task(context, placement)
        if worker is None:
            refused.append((placement.task, placement.attempt))
        else:
            admitted.append((placement.task, placement.attempt, worker.instance.name))
    answer = PlaceAnswered(message.partition, admitted, refused, summarize_free(context))
    context.send(sender, answer)
    flush_dirty_workers(context)


def flush_dirty_workers(context: Context) -> None:
    """Sync the workers that have something to be sent to them."""
    from wasabiramp.jobs.workers import flush_worker

    dirty, context.state.jobs.dirty_workers = context.state.jobs.dirty_workers, {}
    for worker in dirty.values():
        flush_worker(context, worker)


def _admit_task(context: Context, placement: Placement) -> Worker | None:
    """Assign a task to a worker with room, or to one where it may preempt other tasks."""
    hold = context.state.jobs.gang_hold
    if hold is not None and context.now < hold.until and placement.priority <= hold.priority:
        return None
    worker = find_worker(context, placement, DEFAULT_PLACEMENT_POLICY)
    if worker is not None:
        _assign_task(context, worker, placement, PENDING)
        return worker
    if placement.can_preempt:
        return _preempt(context, placement)
    return None


def _assign_task(context: Context, worker: Worker, placement: Placement, state: str) -> None:
    """Add the task to the worker, and mark the worker for a sync unless the task is held."""
    key = (placement.task, placement.attempt)
    context.state.jobs.add_worker_task(worker, key, WorkerTask(placement, state))
    worker.adjust_usage(placement, 1)
    if state == PENDING:
        context.state.jobs.mark_dirty(worker)
    context.count("tasks_admitted_total")


def _preempt(context: Context, placement: Placement) -> Worker | None:
    """Stop the fewest preemptible tasks that make room on one worker, and hold the task there."""
    need = Need(placement.cores, placement.memory_mb, placement.accelerators)
    best: tuple[Worker, list[WorkerTask]] | None = None
    for worker in context.state.jobs.workers.values():
        if worker.instance.name in placement.exclude or not can_accept_tasks(context, worker):
            continue
        victims = _find_victims(worker, need, placement.priority)
        if victims and (best is None or len(victims) < len(best[1])):
            best = (worker, victims)
    if best is None:
        return None
    worker, victims = best
    for victim in victims:
        victim.is_stopping = True
        worker.stops.append((victim.placement.task, victim.placement.attempt))
    context.state.jobs.mark_dirty(worker)
    _assign_task(context, worker, placement, HELD)
    context.log("tasks_preempted", worker=worker.instance.name, count=len(victims))
    return worker


def _find_victims(worker: Worker, need: Need, priority: int) -> list[WorkerTask]:
    """Return the tasks to preempt, or none if stopping all of them does not make enough room.

    Those of the lowest priority come first, and among them those with the most cores.
    """
    free_capacity = get_worker_candidate(worker)
    stoppable = [
        task
        for task in worker.tasks.values()
        if task.state == SEEN_RUNNING
        and task.placement.is_preemptible
        and task.placement.priority < priority
        and not task.is_stopping
    ]
    stoppable.sort(key=lambda task: (task.placement.priority, -task.placement.cores))
    victims = []
    for task in stoppable:
        if has_room(need, free_capacity):
            break
        victims.append(task)
        free_capacity.cores += task.placement.cores
        free_capacity.memory_mb += task.placement.memory_mb
        free_capacity.accelerators += task.placement.accelerators
    return victims if has_room(need, free_capacity) else []


def release_held_tasks(context: Context, worker: Worker) -> None:
    """Mark held tasks to be sent once the preempted tasks have stopped."""
    instance = worker.instance
    fits = (
        worker.used[0] <= instance.cores + EPSILON
        and worker.used[1] <= instance.memory_mb + EPSILON
        and worker.used[2] <= instance.accelerators
    )
    if not fits:
        return
    for task in worker.tasks.values():
        if task.state == HELD:
            task.state = PENDING
            context.state.jobs.mark_dirty(worker)


def _get_hold_order(hold: GangHold) -> tuple[int, str]:
    """Return the sort key of a hold, which is the same at every owner; the lowest wins."""
    return (-hold.priority, hold.gang)


@receives(GangAsked)
def handle_gang_asked(context: Context, sender: str, message: GangAsked) -> None:
    """Reserve room for as many tasks of the gang as fit on the workers of this owner."""
    reserved: list[tuple[str, int, str]] = []
    jobs = context.state.jobs
    hold = jobs.gang_hold
    is_hold_active = hold is not None and context.now < hold.until
    if message.is_holding and message.placements:
        requested_hold = GangHold(
            message.gang, message.placements[0].priority, context.now + GANG_HOLD_S
        )
        # All owners prefer the same gang; otherwise two gangs could each hold half of the capacity.
        if not is_hold_active or _get_hold_order(requested_hold) <= _get_hold_order(hold):
            jobs.gang_hold = requested_hold
            # The earlier hold is replaced, so it does not block this request.
            is_hold_active = False
    is_blocked = is_hold_active and hold.gang != message.gang
    if _can_admit_for(context, sender, message.partition) and not is_blocked:
        for placement in message.placements:
            worker = find_worker(context, placement, DEFAULT_PLACEMENT_POLICY)
            if worker is None:
                continue
            key = (placement.task, placement.attempt)
            until = context.now + RESERVATION_S
            worker.reserved[key] = Reservation(placement, message.gang, message.round, until)
            worker.adjust_usage(placement, 1)
            reserved.append((placement.task, placement.attempt, worker.instance.name))
    answer = GangAnswered(message.partition, message.gang, message.round, reserved)
    context.send(sender, answer)


@receives(GangSettled)
def handle_gang_settled(context: Context, sender: str, message: GangSettled) -> None:
    """Start the named tasks of a gang and release its other reservations of the round.

    A slot is the task for which a reservation was made; another task of the gang may start in it.
    A repeated start has no slots: it only asks which tasks were started.
    """
    starts = dict(zip(message.tasks, message.attempts, strict=True))
    by_slot = dict(zip(message.slots, starts.items(), strict=False))
    is_allowed = _can_admit_for(context, sender, message.partition)
    jobs = context.state.jobs
    if jobs.gang_hold is not None and jobs.gang_hold.gang == message.gang and message.is_start:
        jobs.gang_hold = None
    for worker in jobs.workers.values():
        for key, reservation in list(worker.reserved.items()):
            if reservation.gang != message.gang or reservation.round != message.round:
                continue
            _release_reservation(context, worker, key)
            if message.is_start and is_allowed and key[0] in by_slot:
                task, attempt = by_slot[key[0]]
                placement = replace(reservation.placement, task=task, attempt=attempt)
                _assign_task(context, worker, placement, PENDING)
    if message.is_start:
        _reply_with_starts(context, sender, message, starts)
    flush_dirty_workers(context)


def _reply_with_starts(
    context: Context, sender: str, message: GangSettled, starts: dict[str, int]
) -> None:
    """Reply to the home with the worker of each task, or refuse it if its reservation expired."""
    epoch = context.state.membership.current.epoch
    placed: list[tuple[str, int, str]] = []
    lost: list[TaskReport] = []
    for task, attempt in starts.items():
        worker = context.state.jobs.find_task_worker((task, attempt))
        if worker is not None:
            placed.append((task, attempt, worker.instance.name))
        else:
            reason = "the reservation has lapsed"
            lost.append(TaskReport(task, attempt, SEEN_REFUSED, reason=reason))
    free = summarize_free(context)
    context.send(sender, PlaceAnswered(message.partition, placed, [], free))
    if lost:
        context.send(sender, WorkerTold(epoch, message.partition, "", "", False, lost))


def expire_reservations(context: Context, worker: Worker) -> None:
    """Release the expired reservations of a worker."""
    for key, reservation in list(worker.reserved.items()):
        if context.now >= reservation.until:
            _release_reservation(context, worker, key)


def _release_reservation(context: Context, worker: Worker, key: tuple[str, int]) -> None:
    """Remove one reservation and release its resources."""
    reservation = worker.reserved.pop(key)
    worker.adjust_usage(reservation.placement, -1)
    context.state.jobs.capacity_version += 1
