"""Tasks at their home: asked of owners, followed to their end, tried again where that is safe."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import OK, Tick
from wasabiramp.core.registry import handles, receives
from wasabiramp.jobs import barrier, gangs, journal
from wasabiramp.jobs.capacity import summarize_free
from wasabiramp.jobs.limits import charge, dominant_share, is_within_quota
from wasabiramp.jobs.state import (
    ASKED,
    CANCELLED,
    DONE,
    ENDED,
    FAILED,
    LOST,
    OCCUPYING,
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
    AttemptRecord,
    Job,
    JobEndRecord,
    PartitionState,
    Task,
    TaskEndRecord,
)
from wasabiramp.membership.owners import choose_member
from wasabiramp.membership.rights import is_member
from wasabiramp.peer.messages import (
    PlaceAnswered,
    PlaceAsked,
    Placement,
    ResultsKept,
    TaskReport,
    TasksStopped,
    WorkerTold,
)
from wasabiramp.policy.ordering import Waiting
from wasabiramp.policy.retry import backoff_s

END_PHASES: Final = frozenset({PHASE_SUCCEEDED, PHASE_FAILED, PHASE_CANCELLED})
KIND_ATTEMPT: Final = "task-attempt"
KIND_END: Final = "job-end"
KIND_TASK_END: Final = "task-end"
BATCH: Final = 128
"""How many tasks one step takes from the queue."""

ASK_TIMEOUT_S: Final = 1.0
BAD_WORKERS: Final = 3
"""A task that failed on this many workers is at fault itself."""

MEMORY_GROWTH: Final = 2.0
MAX_LAPSES: Final = 20
FORGIVE_AFTER: Final = 4


def task_id(key: str, index: int) -> str:
    """Return the id of a task."""
    return f"{key}/{index}"


def split_id(task: str) -> tuple[str, int]:
    """Return the key of the job and the index of a task."""
    key, _, index = task.rpartition("/")
    return key, int(index)


def add_job(state: PartitionState, key: str, job: Job) -> None:
    """Take a job in, and its tasks into the queue or into the account of what may run."""
    state.jobs[key] = job
    state.active[key] = job
    for task in job.tasks:
        if task.state in OCCUPYING:
            charge(state, job.spec, task.memory_mb, 1)
    if not job.spec.is_gang and job.tasks and job.tasks[0].state == WAITING:
        for task in job.tasks:
            _push(state, key, job, task, 0)


def _push(state: PartitionState, key: str, job: Job, task: Task, priority: int) -> None:
    """Put a waiting task into the queue of the partition."""
    waiting = Waiting(task_id(key, task.index), job.spec.team, priority, job.accepted_at)
    state.waiting.push(waiting)


def set_state(state: PartitionState, job: Job, task: Task, new: str) -> None:
    """Move a task to another state and keep the account of its team."""
    was, task.state = task.state in OCCUPYING, new
    now = new in OCCUPYING
    if was != now:
        charge(state, job.spec, task.memory_mb, 1 if now else -1)


@handles(Tick)
def keep_tasks(context: Context, _event: Tick) -> None:
    """Drive every loaded partition: its barrier, its queue and its gangs."""
    for state in list(context.state.jobs.partitions.values()):
        if not journal.is_ready(state):
            continue
        barrier.keep(context, state)
        if barrier.is_complete(context, state):
            resolve_held(context, state)
        if context.now >= state.place_due_at:
            state.place_due_at = context.now + 0.1
            _requeue(context, state)
            place_waiting(context, state)
            gangs.keep(context, state)


def _requeue(context: Context, state: PartitionState) -> None:
    """Queue tasks whose backoff is over, and ask again where an answer is missing."""
    for key, job in state.active.items():
        if job.spec.is_gang or job.open_tasks == 0:
            continue
        priority = context.state.intent.find_policy(job.spec.work_class).priority
        for task in job.tasks:
            if task.state == WAITING and context.now >= task.retry_at:
                if task_id(key, task.index) not in state.waiting:
                    _push(state, key, job, task, priority)
            elif task.state == ASKED and context.now >= task.asked_at + ASK_TIMEOUT_S:
                _ask_again(context, state, key, job, task)


def place_waiting(context: Context, state: PartitionState) -> None:
    """Ask owners to place waiting tasks, in batches, within quota."""
    if not is_member(context):
        return
    batches: dict[str, list[Placement]] = {}
    intents: dict[str, list[int]] = {}
    over_quota: list[Task] = []
    for _ in range(min(BATCH, len(state.waiting))):
        item = state.waiting.pop()
        if item is None:
            break
        key, index = split_id(item)
        job = state.active.get(key)
        if job is None or job.tasks[index].state != WAITING or job.reason == "cancelled":
            continue
        task = job.tasks[index]
        if not is_within_quota(context, state, job.spec, task.memory_mb):
            over_quota.append(task)
            continue
        if not job.spec.is_idempotent and not task.has_intent:
            intents.setdefault(key, []).append(index)
            set_state(state, job, task, ASKED)
            task.asked_at = context.now + 1e6
            task.owner = context.state.me.id
            continue
        owner = choose_owner(context, job, task)
        if owner is None:
            continue
        batches.setdefault(owner, []).append(_ask(context, state, key, job, task, owner))
    for task in over_quota:
        task.retry_at = context.now + 0.2
    _send_batches(context, state, batches)
    for key, indexes in intents.items():
        reference = f"{key}|{','.join(map(str, indexes))}"
        journal.append(context, state, [AttemptRecord(key, indexes)], KIND_ATTEMPT, reference)


@journal.committed(KIND_ATTEMPT)
def start_recorded(context: Context, state: PartitionState, item: Append, outcome: str) -> None:
    """Ask for a place for non-idempotent tasks once their intent is in the store."""
    key, _, listed = item.reference.rpartition("|")
    job = state.active.get(key)
    if job is None:
        return
    batches: dict[str, list[Placement]] = {}
    for index in map(int, listed.split(",")):
        task = job.tasks[index]
        if task.state != ASKED:
            continue
        set_state(state, job, task, WAITING)
        task.has_intent = outcome == OK
        owner = choose_owner(context, job, task)
        if outcome != OK or owner is None or job.reason == "cancelled":
            continue
        batches.setdefault(owner, []).append(_ask(context, state, key, job, task, owner))
    _send_batches(context, state, batches)


def _send_batches(
    context: Context, state: PartitionState, batches: dict[str, list[Placement]]
) -> None:
    """Send one message to each owner."""
    epoch = context.state.membership.current.epoch
    for owner, placements in batches.items():
        context.send(owner, PlaceAsked(epoch, state.number, placements))


def choose_owner(context: Context, job: Job, task: Task) -> str | None:
    """Return an owner that may have room: the better of two by their last summaries."""
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
        for name, room in free.items()
        if room[0] >= spec.cores and room[1] >= task.memory_mb and room[2] >= spec.accelerators
    ]
    candidates = sorted(fitting or free)
    if not candidates:
        _back_off(context, task)
        return None
    picks = context.random.sample(candidates, min(2, len(candidates)))
    return max(picks, key=lambda name: free[name][0])


def _back_off(context: Context, task: Task) -> None:
    """Let a task wait after every owner has refused it."""
    task.asked = []
    task.tries = min(task.tries + 1, 5)
    if task.tries >= FORGIVE_AFTER:
        # Every other worker may be gone: one that failed before is better than none.
        task.excluded = []
    task.retry_at = context.now + backoff_s(task.tries, context.random)


def _ask(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, owner: str
) -> Placement:
    """Note that an owner is asked to place the task, and return the placement."""
    epoch = context.state.membership.current.epoch
    # Attempts of a later home must differ from those of an earlier one.
    task.attempt = max(task.attempt + 1, epoch * 1000)
    return mark_asked(context, state, key, job, task, owner)


def mark_asked(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, owner: str
) -> Placement:
    """Move the task to the state in which only its owner can tell where it is."""
    set_state(state, job, task, ASKED)
    task.owner = owner
    task.epoch = context.state.membership.current.epoch
    task.asked_at = context.now
    task.asked.append(owner)
    return make_placement(context, state, key, job, task)


def make_placement(
    context: Context, state: PartitionState, key: str, job: Job, task: Task
) -> Placement:
    """Describe the task to an owner of workers."""
    policy = context.state.intent.find_policy(job.spec.work_class)
    return Placement(
        task_id(key, task.index),
        task.attempt,
        job.spec.cores,
        task.memory_mb,
        job.spec.accelerators,
        policy.priority,
        job.spec.payload,
        tuple(task.excluded),
        key if job.spec.is_gang else "",
        dominant_share(context, state, job.spec.team),
        policy.can_preempt,
        policy.is_preemptible and job.spec.is_idempotent and not job.spec.is_gang,
    )


def _ask_again(context: Context, state: PartitionState, key: str, job: Job, task: Task) -> None:
    """Repeat a question whose answer is missing; the owner knows it by its attempt."""
    if barrier.is_held(context, task):
        return
    task.asked_at = context.now
    placement = make_placement(context, state, key, job, task)
    epoch = context.state.membership.current.epoch
    context.send(task.owner, PlaceAsked(epoch, state.number, [placement], is_repeat=True))


@receives(PlaceAnswered)
def take_placed(context: Context, sender: str, answer: PlaceAnswered) -> None:
    """Note where tasks were admitted, and ask elsewhere for the rest."""
    state = context.state.jobs.partitions.get(answer.partition)
    if state is None:
        return
    view = context.state.membership.views.get(sender)
    if view is not None:
        view.free = tuple(answer.free)
    for task_name, attempt, worker in answer.admitted:
        found = find_task(state, task_name, attempt)
        if found is not None and found[1].state == ASKED:
            note_placed(context, state, found[0], found[1], worker)
    for task_name, attempt in answer.refused:
        found = find_task(state, task_name, attempt)
        if found is None or found[1].state != ASKED or found[1].owner != sender:
            continue
        _release(context, state, split_id(task_name)[0], found[0], found[1])
    place_waiting(context, state)


def note_placed(context: Context, state: PartitionState, job: Job, task: Task, worker: str) -> None:
    """Note the worker that a task was admitted to."""
    set_state(state, job, task, PLACED)
    task.worker = worker
    task.epoch = context.state.membership.current.epoch
    task.asked = []
    task.tries = 0
    if job.phase == PHASE_PENDING:
        job.phase = PHASE_RUNNING


def _release(context: Context, state: PartitionState, key: str, job: Job, task: Task) -> None:
    """Return a task that certainly does not run to the queue."""
    set_state(state, job, task, WAITING)
    task.worker = ""
    if job.reason == "cancelled":
        end_task(context, state, key, job, task, CANCELLED, "cancelled")
        return
    if job.spec.is_gang:
        return
    priority = context.state.intent.find_policy(job.spec.work_class).priority
    if context.now >= task.retry_at:
        _push(state, key, job, task, priority)


def find_task(
    state: PartitionState, task_name: str, attempt: int | None = None
) -> tuple[Job, Task] | None:
    """Return a task of an active job, if the attempt is its current one."""
    key, index = split_id(task_name)
    job = state.active.get(key)
    if job is None or index >= len(job.tasks):
        return None
    task = job.tasks[index]
    if attempt is not None and task.attempt != attempt:
        return None
    return job, task


@receives(WorkerTold)
def take_told(context: Context, sender: str, told: WorkerTold) -> None:
    """Follow the partition's tasks on a worker."""
    state = context.state.jobs.partitions.get(told.partition)
    if not journal.is_ready(state):
        return
    kept: list[tuple[str, int]] = []
    seen: set[str] = set()
    for report in told.tasks:
        seen.add(report.task)
        _take_report(context, state, told, report)
        if report.state != SEEN_RUNNING and _is_kept(state, report):
            kept.append((report.task, report.attempt))
    if told.is_complete:
        _settle_missing(context, state, told, seen)
    if kept:
        context.send(sender, ResultsKept(told.worker, kept))
    if barrier.note(context, state, told):
        resolve_held(context, state)
    place_waiting(context, state)


def _is_kept(state: PartitionState, report: TaskReport) -> bool:
    """Tell whether the worker may forget a result: the journal has it, or it no longer counts."""
    key, index = split_id(report.task)
    job = state.jobs.get(key)
    if job is None:
        return True
    task = job.tasks[index]
    if task.state == RECOVERING:
        return False
    if task.state in ENDED and task.attempt == report.attempt:
        return task.is_recorded or job.is_end_committed
    return True


def _take_report(
    context: Context, state: PartitionState, told: WorkerTold, report: TaskReport
) -> None:
    """Apply what an owner says of one task."""
    found = find_task(state, report.task)
    key, _index = split_id(report.task)
    if found is None:
        if report.state == SEEN_RUNNING:
            stop_stray(context, told.worker, report)
        return
    job, task = found
    if task.state == RECOVERING:
        # Another worker may have a later attempt, so nothing is decided before all have spoken.
        task.found = [item for item in task.found if item[0] != told.worker]
        task.found.extend((told.worker, item) for item in told.tasks if item.task == report.task)
        return
    if task.state == ASKED and report.attempt == task.attempt:
        set_state(state, job, task, PLACED)
        task.worker = told.worker
    if task.attempt != report.attempt or task.state in ENDED or task.state == WAITING:
        if report.state == SEEN_RUNNING and task.attempt != report.attempt:
            stop_stray(context, told.worker, report)
        return
    task.worker = told.worker
    _apply_report(context, state, key, job, task, report)


def _apply_report(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    report: TaskReport,
) -> None:
    """Move the task to the state that its report shows."""
    if report.state == SEEN_RUNNING:
        set_state(state, job, task, RUNNING)
        job.phase = PHASE_RUNNING if job.phase == PHASE_PENDING else job.phase
        if job.reason == "cancelled":
            stop_task(context, key, task)
    elif report.state == SEEN_DONE:
        end_task(context, state, key, job, task, DONE, "")
    elif report.state == SEEN_REFUSED:
        task.tries = min(task.tries + 1, MAX_LAPSES)
        task.retry_at = context.now + backoff_s(min(task.tries, 6), context.random)
        _release(context, state, key, job, task)
        if job.spec.is_gang:
            gangs.fail(context, state, key, job, "a task of the gang could not start")
    elif job.reason == "cancelled":
        end_task(context, state, key, job, task, CANCELLED, "cancelled")
    elif report.state in (SEEN_FAILED, SEEN_OVER_LIMIT):
        _note_failure(context, state, key, job, task, report)
    elif report.state in (SEEN_STOPPED, SEEN_LAPSED, SEEN_LOST):
        _note_interrupted(context, state, key, job, task, report.state)


def _note_failure(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    report: TaskReport,
) -> None:
    """Try a failed task elsewhere, unless it is the task itself that is at fault."""
    task.failures += 1
    if task.worker not in task.excluded:
        task.excluded.append(task.worker)
    reason = report.reason or f"exit code {report.exit_code} on {task.worker}"
    task.reason = reason
    if report.state == SEEN_OVER_LIMIT and job.spec.is_idempotent:
        _grow(state, job, task)
        task.excluded = []
    exhausted = task.failures > job.spec.max_retries or len(task.excluded) >= BAD_WORKERS
    if not job.spec.is_idempotent or exhausted:
        if len(task.excluded) >= BAD_WORKERS:
            reason = f"failed on {len(task.excluded)} workers, last: {reason}"
        end_task(context, state, key, job, task, FAILED, reason)
        return
    task.retry_at = context.now + backoff_s(task.failures, context.random, 0.1)
    _release(context, state, key, job, task)


def _grow(state: PartitionState, job: Job, task: Task) -> None:
    """Correct a declared size that was too small."""
    charge(state, job.spec, task.memory_mb, -1)
    task.memory_mb *= MEMORY_GROWTH
    charge(state, job.spec, task.memory_mb, 1)


def _note_interrupted(
    context: Context, state: PartitionState, key: str, job: Job, task: Task, seen: str
) -> None:
    """Run an interrupted task again if it is idempotent; otherwise say that it may have run."""
    if not job.spec.is_idempotent:
        end_task(context, state, key, job, task, LOST, f"interrupted ({seen}) after it started")
        return
    task.retry_at = context.now
    _release(context, state, key, job, task)


def _settle_missing(
    context: Context, state: PartitionState, told: WorkerTold, seen: set[str]
) -> None:
    """Judge tasks that were placed on a worker whose complete inventory lacks them."""
    epoch = told.epoch
    for key, job in list(state.active.items()):
        for task in job.tasks:
            if task.state not in (PLACED, RUNNING) or task.worker != told.worker:
                continue
            if task_id(key, task.index) in seen or task.epoch >= epoch:
                continue
            if task.state == PLACED and told.incarnation:
                _release(context, state, key, job, task)
            else:
                _note_interrupted(context, state, key, job, task, SEEN_LOST)


def resolve_held(context: Context, state: PartitionState) -> None:
    """Judge the tasks that a complete inventory of every worker does not name."""
    epoch = state.barrier_epoch
    state.barrier_epoch = 0
    count = 0
    for key, job in list(state.active.items()):
        for task in job.tasks:
            if not barrier.is_held(context, task) or task.epoch >= epoch:
                continue
            count += 1
            if task.found:
                _settle_found(context, state, key, job, task)
                continue
            if task.has_intent and not job.spec.is_idempotent and task.state == RECOVERING:
                reason = "recorded before the start; its outcome was lost"
                end_task(context, state, key, job, task, LOST, reason)
                continue
            _release(context, state, key, job, task)
    context.log("partition_recovered", partition=state.number, released=count, epoch=epoch)


def _settle_found(context: Context, state: PartitionState, key: str, job: Job, task: Task) -> None:
    """Decide a recovered task by its finished attempt, or else by its latest one."""

    def rank(item: tuple[str, TaskReport]) -> tuple[bool, int]:
        return (item[1].state == SEEN_DONE, item[1].attempt)

    found, task.found = sorted(task.found, key=rank), []
    worker, chosen = found[-1]
    for other, report in found[:-1]:
        if report.state == SEEN_RUNNING:
            stop_stray(context, other, report)
    task.attempt = chosen.attempt
    task.worker = worker
    task.epoch = context.state.membership.current.epoch
    set_state(state, job, task, PLACED)
    _apply_report(context, state, key, job, task, chosen)


def end_task(
    context: Context,
    state: PartitionState,
    key: str,
    job: Job,
    task: Task,
    new: str,
    reason: str,
) -> None:
    """End a task, and its job with the last one."""
    set_state(state, job, task, new)
    task.reason = reason
    job.open_tasks -= 1
    context.count("tasks_ended_total", state=new)
    if job.spec.is_gang and new in (FAILED, LOST):
        stop_all(context, state, key, job)
    # Stopping the rest may have ended the job already.
    if job.is_recorded_end:
        return
    if job.open_tasks > 0:
        entry = TaskEndRecord(key, [task.index], [new])
        name = task_id(key, task.index)
        journal.append(context, state, [entry], KIND_TASK_END, name, journal.LAZY_S)
        return
    states = {item.state for item in job.tasks}
    job.phase = PHASE_SUCCEEDED
    if job.reason == "cancelled":
        job.phase = PHASE_CANCELLED
    elif states != {DONE}:
        job.phase = PHASE_FAILED
        job.reason = job.reason or next(item.reason for item in job.tasks if item.state != DONE)
    del state.active[key]
    job.is_recorded_end = True
    record = JobEndRecord(key, job.phase, [item.state for item in job.tasks], job.reason)
    journal.append(context, state, [record], KIND_END, key, journal.LAZY_S)
    context.log("job_ended", job=key, phase=job.phase, reason=job.reason)


@journal.committed(KIND_TASK_END)
def note_recorded(_context: Context, state: PartitionState, item: Append, outcome: str) -> None:
    """Note that the end of a task is in the journal."""
    key, index = split_id(item.reference)
    if outcome == OK and key in state.jobs:
        state.jobs[key].tasks[index].is_recorded = True


@journal.committed(KIND_END)
def note_end(_context: Context, state: PartitionState, item: Append, outcome: str) -> None:
    """Note that the end of a job is in the journal."""
    if outcome == OK and item.reference in state.jobs:
        state.jobs[item.reference].is_end_committed = True


@journal.replays(TaskEndRecord)
def replay_task_ends(_context: Context, state: PartitionState, item: TaskEndRecord) -> None:
    """Restore the ends of tasks of a job that goes on."""
    job = state.jobs.get(item.key)
    if job is None:
        return
    for index, outcome in zip(item.tasks, item.outcomes, strict=True):
        task = job.tasks[index]
        if task.state not in ENDED:
            set_state(state, job, task, outcome)
            job.open_tasks -= 1
            task.is_recorded = True


def restore_end(state: PartitionState, item: JobEndRecord, job: Job) -> None:
    """Apply the recorded end of a job."""
    for task, outcome in zip(job.tasks, item.outcomes, strict=True):
        set_state(state, job, task, outcome)
    job.phase = item.phase
    job.reason = item.reason
    job.open_tasks = 0
    job.is_recorded_end = True
    job.is_end_committed = True
    state.active.pop(item.key, None)


def stop_all(context: Context, state: PartitionState, key: str, job: Job) -> None:
    """Stop a job's tasks: those that wait end now, the others when their worker says so."""
    stops: dict[str, list[tuple[str, int, str]]] = {}
    for task in job.tasks:
        if task.state == WAITING:
            end_task(context, state, key, job, task, CANCELLED, job.reason or "stopped")
        elif task.state in (PLACED, RUNNING):
            entry = (task_id(key, task.index), task.attempt, task.worker)
            stops.setdefault(find_worker_owner(context, task.worker), []).append(entry)
    for owner, entries in stops.items():
        if owner:
            context.send(owner, TasksStopped(entries))


def stop_task(context: Context, key: str, task: Task) -> None:
    """Ask the owner of the task's worker to stop it."""
    owner = find_worker_owner(context, task.worker)
    if owner:
        entry = (task_id(key, task.index), task.attempt, task.worker)
        context.send(owner, TasksStopped([entry]))


def find_worker_owner(context: Context, worker: str) -> str:
    """Return the member that owns a worker, or an empty string."""
    members = context.state.membership.current.members
    return choose_member(f"instance/{worker}", members) or ""


def stop_running(context: Context, key: str, job: Job) -> None:
    """Ask workers to stop a job's running tasks without ending the job."""
    for task in job.tasks:
        if task.state in (PLACED, RUNNING):
            stop_task(context, key, task)


def stop_stray(context: Context, worker: str, report: TaskReport) -> None:
    """Stop a task that its home has given up or never knew."""
    owner = find_worker_owner(context, worker)
    if owner:
        context.send(owner, TasksStopped([(report.task, report.attempt, worker)]))
