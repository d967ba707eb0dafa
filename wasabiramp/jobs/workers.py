"""Workers at their owner: sync tasks, renew leases, and report inventories to homes."""

from __future__ import annotations

from typing import Final

from wasabiramp.const import CLOCK_DRIFT_SHARE, PARTITION_COUNT
from wasabiramp.core.context import Context
from wasabiramp.core.effects import SyncWorker, TaskStart, WatchWorker
from wasabiramp.core.events import TaskSeen, Tick, WorkerReported
from wasabiramp.core.registry import handles, receives
from wasabiramp.dispatch.executors import calculate_start_deadline_s
from wasabiramp.dispatch.load import is_listed_live
from wasabiramp.jobs import admission
from wasabiramp.jobs.state import (
    HELD,
    PENDING,
    SEEN_DONE,
    SEEN_FAILED,
    SEEN_LAPSED,
    SEEN_LOST,
    SEEN_REFUSED,
    SEEN_RUNNING,
    SENT,
    Worker,
    WorkerTask,
)
from wasabiramp.membership.owners import build_partition_key, find_owner_id, find_partition
from wasabiramp.membership.rights import can_take_over, get_right_expiry, has_right
from wasabiramp.peer.messages import (
    Placement,
    ReportAsked,
    ResultsKept,
    TaskReport,
    TasksStopped,
    WorkerTold,
)

SYNC_RETRY_DELAY_S: Final = 0.5
"""Delay of the next sync after one that did not reach the worker."""

CHECK_INTERVAL_S: Final = 0.4
"""Interval of checks of a ready worker that has nothing to be sent."""

WATCH_TIMEOUT_S: Final = 10.0
"""Timeout of one long poll."""

REPORT_INTERVAL_S: Final = 1.0
"""Interval at which unacknowledged results are reported to their homes again."""

BLOCK_AFTER_FAILURES: Final = 4
"""Number of failures without a success in between, of at least two jobs, that block a worker."""

BLOCK_BASE_S: Final = 30.0
BLOCK_MAX_S: Final = 600.0
"""Bounds of the time for which a worker is blocked; it doubles with each block."""

MIN_START_WINDOW_S: Final = 0.05
"""Time left before the latest start, below which no start is sent."""


def get_lapse_s(context: Context) -> float:
    """Return the time in seconds after which an unrenewed lease has certainly lapsed.

    The margin over the lease covers clocks that drift apart by up to CLOCK_DRIFT_SHARE.
    """
    return context.settings.task_lease_s * (1 + 2 * CLOCK_DRIFT_SHARE)


@handles(Tick)
def handle_worker_tick(context: Context, _event: Tick) -> None:
    """Sync workers that are due, poll ready ones, and resend results that homes lack."""
    if not has_right(context):
        return
    for worker in context.state.jobs.workers.values():
        if not worker.is_owned:
            continue
        if context.now < worker.check_due_at and not worker.is_dirty:
            continue
        if not worker.is_ready and not can_take_over(context, f"instance/{worker.instance.name}"):
            continue
        if worker.is_ready:
            worker.check_due_at = context.now + CHECK_INTERVAL_S
        if worker.owned_at < 0:
            worker.owned_at = context.now
        admission.expire_reservations(context, worker)
        _handle_lapse(context, worker)
        if context.now >= worker.sync_due_at or worker.is_dirty:
            flush_worker(context, worker)
        if worker.is_ready:
            _open_watch(context, worker)
            _resend_results(context, worker)


def flush_worker(context: Context, worker: Worker) -> None:
    """Send all pending changes to the worker in one sync, unless a sync is in progress."""
    if worker.is_syncing or not has_right(context):
        return
    if not is_listed_live(context, worker.instance.name):
        _refuse_unsent_tasks(context, worker)
    valid_until = 0.0
    may_renew = worker.is_ready and not _is_silent(context, worker)
    if may_renew:
        worker.renewed_until = get_right_expiry(context)
        valid_until = calculate_start_deadline_s(context, worker.clock_s, worker.clock_at)
    sync = SyncWorker(
        worker.instance.name, worker.instance.address, context.settings.task_lease_s, valid_until
    )
    if may_renew:
        _fill_sync(context, worker, sync)
    worker.is_syncing = True
    worker.is_dirty = False
    worker.sync_due_at = context.now + context.settings.task_lease_s / 3
    context.add(sync)


def _refuse_unsent_tasks(context: Context, worker: Worker) -> None:
    """Refuse admitted tasks that have not been sent to a worker that is leaving."""
    unsent = [task for task in worker.tasks.values() if task.state in (HELD, PENDING)]
    for task in unsent:
        _end_worker_task(context, worker, task, SEEN_REFUSED, "the worker is leaving")
    if unsent:
        report_to_homes(context, worker, is_complete=False)


def _is_silent(context: Context, worker: Worker) -> bool:
    """Return whether the worker has not answered for half a lease.

    A silent worker gets syncs that only read. A sync whose answer is lost can still renew leases,
    so with further renewals the leases could never be considered lapsed.
    """
    heard = max(worker.heard_at, worker.owned_at)
    return context.now > heard + context.settings.task_lease_s / 2


def _fill_sync(context: Context, worker: Worker, sync: SyncWorker) -> None:
    """Add starts, lease renewals, stops and results to be deleted to a sync."""
    clock_now = worker.clock_s + (context.now - worker.clock_at)
    may_start = sync.valid_until_s - clock_now > MIN_START_WINDOW_S
    for key, task in worker.tasks.items():
        if task.state == SEEN_RUNNING:
            sync.renew.append(key)
            if task.is_stopping:
                sync.stops.append(key)
        elif task.state in (PENDING, SENT) and may_start:
            if task.state == PENDING:
                task.start_by_s = sync.valid_until_s
                task.state = SENT
            sync.starts.append(_build_task_start(task))
    sync.stops.extend(worker.stops)
    sync.forget = worker.forget
    worker.stops = []
    worker.forget = []


def _build_task_start(task: WorkerTask) -> TaskStart:
    """Return the start of a task; the worker ignores a repeated start of the same attempt."""
    placement = task.placement
    return TaskStart(
        placement.task,
        placement.attempt,
        placement.cores,
        placement.memory_mb,
        placement.accelerators,
        task.start_by_s,
        placement.payload,
    )


def _open_watch(context: Context, worker: Worker) -> None:
    """Keep one long poll open on a worker with tasks, so that their ends are reported at once."""
    if worker.is_watching or not worker.tasks:
        return
    worker.is_watching = True
    context.add(
        WatchWorker(worker.instance.name, worker.instance.address, worker.sequence, WATCH_TIMEOUT_S)
    )


def _handle_lapse(context: Context, worker: Worker) -> None:
    """End the tasks of an unreachable worker once their leases have certainly lapsed."""
    renewed = max(worker.heard_at, worker.owned_at, worker.renewed_until)
    if worker.is_lapsed or context.now < renewed + get_lapse_s(context):
        return
    worker.is_lapsed = True
    # The state of the worker is known now: none of its tasks can still run.
    worker.is_ready = True
    context.log("worker_lapsed", worker=worker.instance.name, tasks=len(worker.tasks))
    for task in worker.tasks.values():
        if not task.is_ended:
            ended = SEEN_REFUSED if task.state in (HELD, PENDING) else SEEN_LAPSED
            _end_worker_task(context, worker, task, ended)
    report_to_homes(context, worker, is_complete=True)


@handles(WorkerReported)
def handle_worker_reported(context: Context, event: WorkerReported) -> None:
    """Apply the inventory of a worker that this daemon owns, or schedule another sync.

    The inventory of a worker that is not ready counts only if it was requested after the daemon
    became the owner.
    """
    worker = context.state.jobs.workers.get(event.worker)
    if worker is None:
        return
    if event.is_watch:
        worker.is_watching = False
    else:
        worker.is_syncing = False
    if not event.is_reachable:
        worker.sync_due_at = context.now + SYNC_RETRY_DELAY_S
        return
    if not worker.is_owned or (event.is_watch and not worker.is_ready):
        return
    if not worker.is_ready and not can_take_over(context, f"instance/{event.worker}"):
        return
    if not worker.is_ready and worker.owned_at > event.sent_at:
        return
    _apply_inventory(context, worker, event)


def _apply_inventory(context: Context, worker: Worker, event: WorkerReported) -> None:
    """Apply an inventory and report changes; task states of an older sequence are ignored."""
    if worker.incarnation and event.incarnation != worker.incarnation:
        _handle_worker_restart(context, worker)
        worker.sequence = -1
    worker.incarnation = event.incarnation
    is_back = worker.is_lapsed
    worker.is_lapsed = False
    worker.heard_at = max(worker.heard_at, event.sent_at)
    worker.clock_s, worker.clock_at = event.clock_s, context.now
    refused = {(task, attempt): reason for task, attempt, reason in event.refused}
    changed = False
    if event.sequence >= worker.sequence:
        worker.sequence = event.sequence
        for seen in event.tasks:
            changed |= _apply_seen_task(context, worker, seen)
    inventory = {(seen.task, seen.attempt) for seen in event.tasks}
    changed |= _end_refused_starts(context, worker, event, inventory, refused)
    if not worker.is_ready or is_back:
        worker.is_ready = True
        context.log("worker_ready", worker=worker.instance.name, tasks=len(worker.tasks))
        context.state.jobs.capacity_version += 1
        report_to_homes(context, worker, is_complete=True)
    elif changed:
        report_to_homes(context, worker, is_complete=False)
    if worker.tasks:
        _open_watch(context, worker)
    admission.release_held_tasks(context, worker)
    if worker.is_dirty:
        flush_worker(context, worker)


def _handle_worker_restart(context: Context, worker: Worker) -> None:
    """End the tasks that were sent to a worker before it restarted."""
    for task in worker.tasks.values():
        if task.state in (SENT, SEEN_RUNNING):
            _end_worker_task(context, worker, task, SEEN_LOST)


def _apply_seen_task(context: Context, worker: Worker, seen: TaskSeen) -> bool:
    """Apply one task of an inventory, and return whether anything changed."""
    key = (seen.task, seen.attempt)
    task = worker.tasks.get(key)
    if task is None:
        if key in worker.forget:
            return False
        task = _adopt_task(context, worker, seen)
        if not task.is_ended:
            worker.adjust_usage(task.placement, 1)
            return True
    if task.state == seen.state or task.is_ended:
        return False
    if seen.state == SEEN_RUNNING:
        task.state = SEEN_RUNNING
        return True
    task.exit_code = seen.exit_code
    _end_worker_task(context, worker, task, seen.state, seen.reason)
    _block_after_failures(context, worker, task)
    return True


def _adopt_task(context: Context, worker: Worker, seen: TaskSeen) -> WorkerTask:
    """Add a task that an earlier owner started."""
    placement = Placement(
        seen.task, seen.attempt, seen.cores, seen.memory_mb, seen.accelerators, 0, {}
    )
    task = WorkerTask(placement, seen.state, 0.0, seen.exit_code, seen.reason)
    context.state.jobs.add_worker_task(worker, (seen.task, seen.attempt), task)
    return task


def _end_refused_starts(
    context: Context,
    worker: Worker,
    event: WorkerReported,
    inventory: set[tuple[str, int]],
    refused: dict[tuple[str, int], str],
) -> bool:
    """End sent tasks that the worker refused or can no longer start; return whether any ended."""
    changed = False
    for key, task in worker.tasks.items():
        if task.state != SENT or key in inventory:
            continue
        is_late = event.clock_s >= task.start_by_s and event.sequence >= worker.sequence
        if key in refused or is_late:
            _end_worker_task(
                context, worker, task, SEEN_REFUSED, refused.get(key, "too late to start")
            )
            changed = True
    return changed


def _end_worker_task(
    context: Context, worker: Worker, task: WorkerTask, state: str, reason: str = ""
) -> None:
    """Record the end of a task and release its resources."""
    worker.adjust_usage(task.placement, -1)
    task.state = state
    task.reason = reason
    context.state.jobs.capacity_version += 1


def _block_after_failures(context: Context, worker: Worker, task: WorkerTask) -> None:
    """Block a worker on which tasks of at least two jobs have failed without a success between."""
    if task.state == SEEN_DONE:
        worker.failed_jobs = []
        worker.block_s = 0.0
        return
    if task.state != SEEN_FAILED:
        return
    worker.failed_jobs.append(task.placement.task.rpartition("/")[0])
    if len(worker.failed_jobs) < BLOCK_AFTER_FAILURES or len(set(worker.failed_jobs)) < 2:
        return
    worker.block_s = min(BLOCK_MAX_S, max(BLOCK_BASE_S, worker.block_s * 2))
    worker.blocked_until = context.now + worker.block_s
    worker.failed_jobs = []
    context.log("worker_blocked", worker=worker.instance.name, seconds=worker.block_s)


def _resend_results(context: Context, worker: Worker) -> None:
    """Report ended tasks again that their homes have not acknowledged."""
    if context.now < worker.report_due_at:
        return
    worker.report_due_at = context.now + REPORT_INTERVAL_S
    if any(task.is_ended for task in worker.tasks.values()):
        report_to_homes(context, worker, is_complete=False)


def report_to_homes(
    context: Context, worker: Worker, is_complete: bool, partitions: list[int] | None = None
) -> None:
    """Report the tasks on a worker to their homes.

    A complete report goes to every partition, or to those given, and includes tasks that have not
    started; partitions without tasks on the worker get an empty one.
    """
    worker.report_due_at = context.now + REPORT_INTERVAL_S
    by_partition: dict[int, list[TaskReport]] = {}
    if is_complete:
        numbers = partitions if partitions is not None else range(PARTITION_COUNT)
        by_partition = {number: [] for number in numbers}
    for task in worker.tasks.values():
        if task.state in (HELD, PENDING, SENT) and not is_complete:
            continue
        number = find_partition(task.placement.task.split("/", 1)[0])
        if is_complete and number not in by_partition:
            continue
        by_partition.setdefault(number, []).append(_build_task_report(task))
    members = context.state.membership.current.members
    epoch = context.state.membership.current.epoch
    incarnation = "" if worker.is_lapsed else worker.incarnation
    for number, reports in by_partition.items():
        home = find_owner_id(build_partition_key(number), members)
        if home is None:
            continue
        message = WorkerTold(epoch, number, worker.instance.name, incarnation, is_complete, reports)
        context.send(home, message)


def _build_task_report(task: WorkerTask) -> TaskReport:
    """Return the report on a task; one that has yet to start is reported as running."""
    state = task.state
    if state in (HELD, PENDING, SENT):
        state = SEEN_RUNNING
    placement = task.placement
    return TaskReport(placement.task, placement.attempt, state, task.exit_code, reason=task.reason)


@receives(ReportAsked)
def handle_report_asked(context: Context, _sender: str, message: ReportAsked) -> None:
    """Report every ready worker, if this daemon has reached the epoch of the sender."""
    if context.state.membership.current.epoch < message.epoch or not has_right(context):
        return
    for worker in context.state.jobs.workers.values():
        if worker.is_owned and worker.is_ready:
            report_to_homes(context, worker, True, message.partitions)


@receives(ResultsKept)
def handle_results_kept(context: Context, _sender: str, message: ResultsKept) -> None:
    """Remove results that their home has recorded, here and on the worker."""
    worker = context.state.jobs.workers.get(message.worker)
    if worker is None:
        return
    for item in message.tasks:
        key = (item[0], item[1])
        task = worker.tasks.get(key)
        if task is not None and task.is_ended:
            context.state.jobs.remove_worker_task(worker, key)
            worker.forget.append(key)


@receives(TasksStopped)
def handle_tasks_stopped(context: Context, _sender: str, message: TasksStopped) -> None:
    """Stop tasks: end those not sent yet, and ask the worker to stop the others."""
    for task_name, attempt, worker_name in message.tasks:
        worker = context.state.jobs.workers.get(worker_name)
        if worker is None or not worker.is_owned:
            continue
        task = worker.tasks.get((task_name, attempt))
        if task is None or task.is_ended:
            continue
        if task.state in (HELD, PENDING):
            _end_worker_task(context, worker, task, SEEN_REFUSED, "stopped before its start")
            report_to_homes(context, worker, is_complete=False)
            continue
        task.is_stopping = True
        worker.stops.append((task_name, attempt))
        context.state.jobs.mark_dirty(worker)
    admission.flush_dirty_workers(context)
