"""Tasks at their home: queue them, and request placements from owners of workers within quota."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import OK, Tick
from wasabiramp.core.registry import handles, receives
from wasabiramp.jobs import barrier, gangs, journal, outcomes
from wasabiramp.jobs.capacity import summarize_free
from wasabiramp.jobs.limits import adjust_team_usage, compute_dominant_share, is_within_quota
from wasabiramp.jobs.state import (
    ASKED,
    CANCELLED,
    OCCUPYING_STATES,
    PHASE_PENDING,
    PHASE_RUNNING,
    PLACED,
    WAITING,
    Append,
    AttemptRecord,
    Job,
    PartitionState,
    Task,
)
from wasabiramp.membership.rights import is_member
from wasabiramp.peer.messages import (
    PlaceAnswered,
    PlaceAsked,
    Placement,
)
from wasabiramp.policy.ordering import Waiting
from wasabiramp.policy.retry import draw_backoff_s

KIND_ATTEMPT: Final = "task-attempt"
MAX_TASKS_PER_BATCH: Final = 128
"""Largest number of tasks that one pass takes from the queue."""

ASK_TIMEOUT_S: Final = 1.0
"""Time without an answer after which a placement request is repeated."""

CLEAR_EXCLUDED_AFTER_TRIES: Final = 4
"""Value of `Task.tries` from which a task may run again on workers where it failed."""


def build_task_id(key: str, index: int) -> str:
    """Return the id of a task."""
    return f"{key}/{index}"


def split_task_id(task: str) -> tuple[str, int]:
    """Return the key of the job and the index of the task for a task id."""
    key, _, index = task.rpartition("/")
    return key, int(index)


def add_job(state: PartitionState, key: str, job: Job) -> None:
    """Add a job to the partition, and queue its tasks or count them against the quota."""
    state.jobs[key] = job
    state.active_jobs[key] = job
    for task in job.tasks:
        if task.state in OCCUPYING_STATES:
            adjust_team_usage(state, job.spec, task.memory_mb, 1)
    if not job.spec.is_gang and job.tasks and job.tasks[0].state == WAITING:
        for task in job.tasks:
            _queue_task(state, key, job, task, 0)


def _queue_task(state: PartitionState, key: str, job: Job, task: Task, priority: int) -> None:
    """Add a waiting task to the queue of the partition."""
    waiting = Waiting(build_task_id(key, task.index), job.spec.team, priority, job.accepted_at)
    state.task_queue.push(waiting)


def set_task_state(state: PartitionState, job: Job, task: Task, new_state: str) -> None:
    """Change the state of a task and update the usage of its team."""
    was_occupying, task.state = task.state in OCCUPYING_STATES, new_state
    is_occupying = new_state in OCCUPYING_STATES
    if was_occupying != is_occupying:
        adjust_team_usage(state, job.spec, task.memory_mb, 1 if is_occupying else -1)


@handles(Tick)
def handle_task_tick(context: Context, _event: Tick) -> None:
    """Advance the recovery barrier, the task queue and the gangs of every loaded partition."""
    for state in list(context.state.jobs.partitions.values()):
        if not journal.is_ready(state):
            continue
        barrier.update_barrier(context, state)
        if barrier.is_complete(context, state):
            outcomes.resolve_unlocated_tasks(context, state)
        if context.now >= state.placement_due_at:
            state.placement_due_at = context.now + 0.1
            _retry_due_tasks(context, state)
            place_waiting_tasks(context, state)
            gangs.update_gangs(context, state)


def _retry_due_tasks(context: Context, state: PartitionState) -> None:
    """Queue tasks whose backoff is over, and repeat placement requests without an answer."""
    for key, job in state.active_jobs.items():
        if job.spec.is_gang or job.open_tasks == 0:
            continue
        priority = context.state.intent.find_policy(job.spec.work_class).priority
        for task in job.tasks:
            if task.state == WAITING and context.now >= task.retry_at:
                if build_task_id(key, task.index) not in state.task_queue:
                    _queue_task(state, key, job, task, priority)
            elif task.state == ASKED and context.now >= task.asked_at + ASK_TIMEOUT_S:
                _repeat_placement_request(context, state, key, job, task)


def place_waiting_tasks(context: Context, state: PartitionState) -> None:
    """Request placements for waiting tasks within quota, one message per owner.

    Non-idempotent tasks wait until the journal holds the intent to start them.
    """
    if not is_member(context):
        return
    batches: dict[str, list[Placement]] = {}
    intents: dict[str, list[int]] = {}
    over_quota: list[Task] = []
    for _ in range(min(MAX_TASKS_PER_BATCH, len(state.task_queue))):
        item = state.task_queue.pop()
        if item is None:
            break
        key, index = split_task_id(item)
        job = state.active_jobs.get(key)
        if job is None or job.tasks[index].state != WAITING or job.reason == "cancelled":
            continue
        task = job.tasks[index]
        if not is_within_quota(context, state, job.spec, task.memory_mb):
            over_quota.append(task)
            continue
        if not job.spec.is_idempotent and not task.has_intent:
            intents.setdefault(key, []).append(index)
            set_task_state(state, job, task, ASKED)
            # No owner is asked before the intent is stored. This puts off the repeat of a request,
            # and with this member as the owner the task does not count as unlocated.
            task.asked_at = context.now + 1e6
            task.owner = context.state.me.id
            continue
        owner = choose_owner(context, job, task)
        if owner is None:
            continue
        batches.setdefault(owner, []).append(
            _prepare_attempt(context, state, key, job, task, owner)
        )
    for task in over_quota:
        task.retry_at = context.now + 0.2
    _send_placement_requests(context, state, batches)
    for key, indexes in intents.items():
        reference = f"{key}|{','.join(map(str, indexes))}"
        journal.append(context, state, [AttemptRecord(key, indexes)], KIND_ATTEMPT, reference)


@journal.handles_commit(KIND_ATTEMPT)
def handle_attempt_commit(
    context: Context, state: PartitionState, item: Append, outcome: str
) -> None:
    """Request placements for non-idempotent tasks once the store holds the intent."""
    key, _, listed = item.reference.rpartition("|")
    job = state.active_jobs.get(key)
    if job is None:
        return
    batches: dict[str, list[Placement]] = {}
    for index in map(int, listed.split(",")):
        task = job.tasks[index]
        if task.state != ASKED:
            continue
        set_task_state(state, job, task, WAITING)
        task.has_intent = outcome == OK
        owner = choose_owner(context, job, task)
        if outcome != OK or owner is None or job.reason == "cancelled":
            continue
        batches.setdefault(owner, []).append(
            _prepare_attempt(context, state, key, job, task, owner)
        )
    _send_placement_requests(context, state, batches)


def _send_placement_requests(
    context: Context, state: PartitionState, batches: dict[str, list[Placement]]
) -> None:
    """Send one placement request to each owner."""
    epoch = context.state.membership.current.epoch
    for owner, placements in batches.items():
        context.send(owner, PlaceAsked(epoch, state.number, placements))


def choose_owner(context: Context, job: Job, task: Task) -> str | None:
    """Choose two random candidates, and return the one with more free cores.

    Candidates are the owners not asked yet whose last summary shows room for the task, or all
    owners not asked yet if no summary does. Without candidates the task is delayed, and None is
    returned.
    """
    membership = context.state.membership
    free: dict[str, tuple[float, float, int]] = {}
    for member in membership.current.members:
        if member.id in task.asked:
            continue
        if member.id == context.state.me.id:
            free[member.id] = summarize_free(context)
        elif member.id in membership.views and not membership.views[member.id].is_leaving:
            free[member.id] = membership.views[member.id].free
    spec = job.spec
    fitting = [
        name
        for name, free_capacity in free.items()
        if free_capacity[0] >= spec.cores
        and free_capacity[1] >= task.memory_mb
        and free_capacity[2] >= spec.accelerators
    ]
    candidates = sorted(fitting or free)
    if not candidates:
        _delay_placement(context, task)
        return None
    picks = context.random.sample(candidates, min(2, len(candidates)))
    return max(picks, key=lambda name: free[name][0])


def _delay_placement(context: Context, task: Task) -> None:
    """Delay a task with backoff after every owner has refused it."""
    task.asked = []
    task.tries = min(task.tries + 1, 5)
    if task.tries >= CLEAR_EXCLUDED_AFTER_TRIES:
        # All other workers may be gone, so allow those on which the task failed.
        task.excluded = []
    task.retry_at = context.now + draw_backoff_s(task.tries, context.random)


def _prepare_attempt(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, owner: str
) -> Placement:
    """Start a new attempt at the owner, and return its placement."""
    epoch = context.state.membership.current.epoch
    # Attempts start at 1000 times the epoch, so those of a new home differ from earlier ones.
    task.attempt = max(task.attempt + 1, epoch * 1000)
    return mark_asked(context, state, key, job, task, owner)


def mark_asked(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, owner: str
) -> Placement:
    """Record that the owner is asked to place the task, and return the placement."""
    set_task_state(state, job, task, ASKED)
    task.owner = owner
    task.epoch = context.state.membership.current.epoch
    task.asked_at = context.now
    task.asked.append(owner)
    return build_placement(context, state, key, job, task)


def build_placement(
    context: Context, state: PartitionState, key: str, job: Job, task: Task
) -> Placement:
    """Return the placement that describes the current attempt to an owner of workers."""
    policy = context.state.intent.find_policy(job.spec.work_class)
    return Placement(
        build_task_id(key, task.index),
        task.attempt,
        job.spec.cores,
        task.memory_mb,
        job.spec.accelerators,
        policy.priority,
        job.spec.payload,
        tuple(task.excluded),
        key if job.spec.is_gang else "",
        compute_dominant_share(context, state, job.spec.team),
        policy.can_preempt,
        policy.is_preemptible and job.spec.is_idempotent and not job.spec.is_gang,
    )


def _repeat_placement_request(
    context: Context, state: PartitionState, key: str, job: Job, task: Task
) -> None:
    """Repeat a placement request without an answer; the owner recognises the attempt."""
    if barrier.is_unlocated(context, task):
        return
    task.asked_at = context.now
    placement = build_placement(context, state, key, job, task)
    epoch = context.state.membership.current.epoch
    context.send(task.owner, PlaceAsked(epoch, state.number, [placement], is_repeat=True))


@receives(PlaceAnswered)
def handle_place_answered(context: Context, sender: str, answer: PlaceAnswered) -> None:
    """Record the workers of admitted tasks, and queue refused ones for other owners."""
    state = context.state.jobs.partitions.get(answer.partition)
    if state is None:
        return
    view = context.state.membership.views.get(sender)
    if view is not None:
        view.free = tuple(answer.free)
    for task_name, attempt, worker in answer.admitted:
        found = find_task(state, task_name, attempt)
        if found is not None and found[1].state == ASKED:
            mark_placed(context, state, found[0], found[1], worker)
    for task_name, attempt in answer.refused:
        found = find_task(state, task_name, attempt)
        if found is None or found[1].state != ASKED or found[1].owner != sender:
            continue
        release_task(context, state, split_task_id(task_name)[0], found[0], found[1])
    place_waiting_tasks(context, state)


def mark_placed(context: Context, state: PartitionState, job: Job, task: Task, worker: str) -> None:
    """Record the worker on which a task was placed."""
    set_task_state(state, job, task, PLACED)
    task.worker = worker
    task.epoch = context.state.membership.current.epoch
    task.asked = []
    task.tries = 0
    if job.phase == PHASE_PENDING:
        job.phase = PHASE_RUNNING


def release_task(context: Context, state: PartitionState, key: str, job: Job, task: Task) -> None:
    """Let a task that is certainly not running wait again, or end it if its job is cancelled.

    A task whose backoff is not over is queued by a later tick, and one of a gang never.
    """
    set_task_state(state, job, task, WAITING)
    task.worker = ""
    if job.reason == "cancelled":
        outcomes.end_task(context, state, key, job, task, CANCELLED, "cancelled")
        return
    if job.spec.is_gang:
        return
    priority = context.state.intent.find_policy(job.spec.work_class).priority
    if context.now >= task.retry_at:
        _queue_task(state, key, job, task, priority)


def find_task(
    state: PartitionState, task_name: str, attempt: int | None = None
) -> tuple[Job, Task] | None:
    """Return a task of an active job, or None if it is unknown or `attempt` is not current."""
    key, index = split_task_id(task_name)
    job = state.active_jobs.get(key)
    if job is None or index >= len(job.tasks):
        return None
    task = job.tasks[index]
    if attempt is not None and task.attempt != attempt:
        return None
    return job, task
