"""Jobs and their tasks at their home, and workers at their owner."""

from __future__ import annotations

from dataclasses import field
from typing import Any, Final

from wasabiramp.core.records import record
from wasabiramp.core.verdict import Verdict
from wasabiramp.peer.messages import Placement
from wasabiramp.policy.ordering import FairQueue
from wasabiramp.resource.kinds import Instance

WAITING: Final = "waiting"
ASKED: Final = "asked"
PLACED: Final = "placed"
RUNNING: Final = "running"
DONE: Final = "done"
FAILED: Final = "failed"
MAY_HAVE_RUN: Final = "may-have-run"
CANCELLED: Final = "cancelled"
RECOVERING: Final = "recovering"

ENDED_STATES: Final = frozenset({DONE, FAILED, MAY_HAVE_RUN, CANCELLED})
OCCUPYING_STATES: Final = frozenset({ASKED, PLACED, RUNNING, RECOVERING})

PHASE_PENDING: Final = "Pending"
PHASE_RUNNING: Final = "Running"
PHASE_SUCCEEDED: Final = "Succeeded"
PHASE_FAILED: Final = "Failed"
PHASE_CANCELLED: Final = "Cancelled"

HELD: Final = "held"
PENDING: Final = "pending"
SENT: Final = "sent"
SEEN_RUNNING: Final = "running"
SEEN_DONE: Final = "done"
SEEN_FAILED: Final = "failed"
SEEN_STOPPED: Final = "stopped"
SEEN_LAPSED: Final = "lapsed"
SEEN_REFUSED: Final = "refused"
SEEN_OVER_LIMIT: Final = "over-limit"
SEEN_LOST: Final = "lost"


@record
class JobSpec:
    """A job as its caller submitted it; sizes are for each task."""

    name: str
    team: str
    work_class: str
    tasks: int
    cores: float
    memory_mb: float
    accelerators: int
    is_gang: bool
    is_idempotent: bool
    max_retries: int
    payload: dict[str, Any]


@record
class Task:
    """One task at its job's home; `worker` is where it was last placed.

    `found` gathers what workers report of it while it is being recovered. `is_recorded` tells that
    its end is in the journal.
    """

    index: int
    state: str = WAITING
    attempt: int = 0
    owner: str = ""
    worker: str = ""
    epoch: int = 0
    failures: int = 0
    retry_at: float = 0.0
    tries: int = 0
    excluded: list[str] = field(default_factory=list)
    asked: list[str] = field(default_factory=list)
    memory_mb: float = 0.0
    reason: str = ""
    asked_at: float = 0.0
    has_intent: bool = False
    is_recorded: bool = False
    found: list[tuple[str, Any]] = field(default_factory=list)


@record
class GangRound:
    """One try to reserve room for all tasks of a job at once."""

    round: int
    owners: list[str]
    answered: dict[str, list[tuple[str, int, str]]]
    started_at: float


@record
class Job:
    """A job at its home; `gang` is the reservation under way, if any."""

    spec: JobSpec
    phase: str = PHASE_PENDING
    tasks: list[Task] = field(default_factory=list)
    reason: str = ""
    accepted_at: float = 0.0
    is_recorded_end: bool = False
    is_end_committed: bool = False
    gang: GangRound | None = None
    gang_rounds: int = 0
    retry_at: float = 0.0
    open_tasks: int = 0


@record
class JobRecord:
    """Journal: a job was accepted."""

    spec: JobSpec


@record
class JobEndRecord:
    """Journal: a job ended; `outcomes` holds the state of each task."""

    key: str
    phase: str
    outcomes: list[str]
    reason: str


@record
class TaskEndRecord:
    """Journal: some tasks of a job that goes on have ended, in these states."""

    key: str
    tasks: list[int]
    outcomes: list[str]


@record
class JobCancelRecord:
    """Journal: a job is to be cancelled."""

    key: str


@record
class AttemptRecord:
    """Journal: non-idempotent tasks of a job are about to be started."""

    key: str
    tasks: list[int]


@record
class KeyRecord:
    """Journal: a request key; `verdict` is None while the request may still run."""

    key: str
    verdict: Verdict | None


@record
class KeyEntry:
    """A request key at its home, with the requests that wait for its verdict."""

    verdict: Verdict | None = None
    is_ours: bool = False
    waiters: list[tuple[str, str]] = field(default_factory=list)


@record
class Segment:
    """One value of a partition's journal in the store.

    A base segment holds all that is alive: earlier segments add nothing to it.
    """

    owner: str
    write_id: str
    is_sealed: bool
    is_base: bool
    records: list[Any]


@record
class Append:
    """Records to be written together, and what is to be told once they are.

    They wait for others until the loop time `due_at` at most.
    """

    records: list[Any]
    kind: str
    reference: str
    size: int
    due_at: float


class Journal:
    """The journal of one partition at its home."""

    __slots__ = (
        "status",
        "segment_revisions",
        "active_segment",
        "records",
        "size",
        "queue",
        "in_flight",
        "write_id",
        "write_count",
        "due_at",
        "failing_since",
        "is_reading_back",
        "loaded_segments",
        "is_write_pending",
        "next_segment",
        "is_writing_snapshot",
    )

    def __init__(self) -> None:
        """Start unloaded."""
        self.status = "new"
        self.segment_revisions: dict[int, int] = {}
        self.active_segment = 0
        self.records: list[Any] = []
        self.size = 0
        self.queue: list[Append] = []
        self.in_flight: list[Append] = []
        self.write_id = ""
        self.write_count = 0
        self.due_at = 0.0
        self.failing_since = 0.0
        self.is_reading_back = False
        self.loaded_segments: dict[int, Segment] = {}
        self.is_write_pending = False
        self.next_segment = 0
        self.is_writing_snapshot = False


class PartitionState:
    """A partition of jobs and request keys at its home."""

    __slots__ = (
        "number",
        "is_lost",
        "journal",
        "jobs",
        "keys",
        "barrier_epoch",
        "reported_workers",
        "barrier_due_at",
        "barrier_checked_epoch",
        "active_jobs",
        "usage_by_team",
        "task_queue",
        "placement_due_at",
    )

    def __init__(self, number: int) -> None:
        """Start with nothing loaded."""
        self.number = number
        self.is_lost = False
        self.journal = Journal()
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, KeyEntry] = {}
        self.barrier_epoch = 0
        self.reported_workers: set[str] = set()
        self.barrier_due_at = 0.0
        self.barrier_checked_epoch = 0
        self.placement_due_at = 0.0
        self.task_queue = FairQueue()
        self.active_jobs: dict[str, Job] = {}
        self.usage_by_team: dict[str, list[float]] = {}


@record
class WorkerTask:
    """A task that occupies a worker, as its owner counts it.

    `state` is HELD (waits for room), PENDING (to be sent), SENT or SEEN_RUNNING; afterwards it is
    the state in which the task ended. `start_by_s` is in the worker's clock.
    """

    placement: Placement
    state: str
    start_by_s: float = 0.0
    exit_code: int = 0
    reason: str = ""
    is_stopping: bool = False

    @property
    def is_ended(self) -> bool:
        """Tell whether the task occupies the worker no more."""
        return self.state not in (HELD, PENDING, SENT, SEEN_RUNNING)


class Worker:
    """A worker as its owner counts it."""

    __slots__ = (
        "instance",
        "is_owned",
        "is_ready",
        "is_syncing",
        "is_watching",
        "incarnation",
        "clock_s",
        "clock_at",
        "tasks",
        "reserved",
        "used",
        "heard_at",
        "sync_due_at",
        "is_dirty",
        "stops",
        "forget",
        "failed_jobs",
        "blocked_until",
        "block_s",
        "is_lapsed",
        "sequence",
        "owned_at",
        "renewed_until",
        "report_due_at",
        "check_due_at",
    )

    def __init__(self, instance: Instance) -> None:
        """Start with nothing known of the worker."""
        self.instance = instance
        self.is_owned = False
        self.is_syncing = False
        self.is_watching = False
        self.failed_jobs: list[str] = []
        self.blocked_until = 0.0
        self.block_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Forget what may have changed while another daemon owned the worker."""
        self.is_ready = False
        self.incarnation = ""
        self.sequence = -1
        self.owned_at = -1.0
        self.renewed_until = -1.0
        self.report_due_at = 0.0
        self.check_due_at = 0.0
        self.clock_s = 0.0
        self.clock_at = -1.0
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.reserved: dict[tuple[str, int], Reservation] = {}
        self.used = [0.0, 0.0, 0]
        self.heard_at = -1.0
        self.sync_due_at = 0.0
        self.is_dirty = False
        self.stops: list[tuple[str, int]] = []
        self.forget: list[tuple[str, int]] = []
        self.is_lapsed = False

    def adjust_usage(self, placement: Placement, sign: int) -> None:
        """Count a placement as used (sign 1) or given back (sign -1)."""
        self.used[0] += sign * placement.cores
        self.used[1] += sign * placement.memory_mb
        self.used[2] += sign * placement.accelerators


@record
class Submission:
    """Jobs that an entry forwarded to a home and whose caller still waits."""

    request_id: str
    deadline_at: float
    home: str
    message: Any
    is_sent: bool = False
    waits: int = 1
    answers: list[Any] = field(default_factory=list)


@record
class GangHold:
    """Room kept for one all-or-nothing job: others of its priority or below are refused."""

    gang: str
    priority: int
    until: float


@record
class Reservation:
    """Room for one task of a gang, given back at the loop time `until`."""

    placement: Placement
    gang: str
    round: int
    until: float


class JobsState:
    """Partitions this daemon is home to, workers it owns, and callers that wait."""

    __slots__ = (
        "partitions",
        "workers",
        "submissions",
        "awaiting_commit",
        "placement_misses",
        "capacity_version",
        "keyed_requests",
        "gang_hold",
        "worker_by_task",
        "dirty_workers",
        "owned_workers",
        "cached_free",
        "cached_free_until",
    )

    def __init__(self) -> None:
        """Start with nothing."""
        self.partitions: dict[int, PartitionState] = {}
        self.workers: dict[str, Worker] = {}
        self.submissions: dict[str, Submission] = {}
        self.awaiting_commit: dict[str, Any] = {}
        self.placement_misses: dict[tuple[float, float, int], tuple[int, float]] = {}
        self.capacity_version = 0
        self.keyed_requests: dict[str, Any] = {}
        self.gang_hold: GangHold | None = None
        self.worker_by_task: dict[tuple[str, int], Worker] = {}
        self.dirty_workers: dict[str, Worker] = {}
        self.owned_workers: list[Worker] = []
        self.cached_free: tuple[float, float, int] = (0.0, 0.0, 0)
        self.cached_free_until = -1.0

    def find_task_worker(self, key: tuple[str, int]) -> Worker | None:
        """Return the owned worker that has a task and attempt, if any."""
        worker = self.worker_by_task.get(key)
        if worker is None or not worker.is_owned or key not in worker.tasks:
            return None
        return worker

    def add_worker_task(self, worker: Worker, key: tuple[str, int], task: WorkerTask) -> None:
        """Note a task of a worker."""
        worker.tasks[key] = task
        self.worker_by_task[key] = worker

    def remove_worker_task(self, worker: Worker, key: tuple[str, int]) -> None:
        """Forget a task of a worker."""
        del worker.tasks[key]
        self.worker_by_task.pop(key, None)

    def mark_dirty(self, worker: Worker) -> None:
        """Note that something waits to be sent to the worker."""
        worker.is_dirty = True
        self.dirty_workers[worker.instance.name] = worker

    def refresh_owned_workers(self) -> None:
        """List the owned workers, from which placement draws."""
        self.owned_workers = [worker for worker in self.workers.values() if worker.is_owned]
        self.capacity_version += 1
