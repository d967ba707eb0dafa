"""State of jobs and their tasks at their home, and of workers at their owner.

The *home* of a job or request key is the member to which its partition is assigned, and the *owner*
of a worker the member to which the worker is; `membership.owners` derives both from the member
list. The *entry* of a request is the member that received it from the caller.
"""

from __future__ import annotations

from dataclasses import field
from typing import Any, Final

from wasabiramp.core.records import record
from wasabiramp.core.verdict import Verdict
from wasabiramp.peer.messages import Placement
from wasabiramp.policy.ordering import FairQueue
from wasabiramp.resource.kinds import Instance

# States of a task at the home of its job. ASKED: an owner was asked to place the task. PLACED: an
# owner has admitted it to a worker, and no report shows it running yet. MAY_HAVE_RUN: the outcome
# of a non-idempotent task is unknown, so it is not run again. RECOVERING: the task was loaded from
# the journal, and the home does not know yet whether a worker has it.
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
"""States that a task never leaves."""

OCCUPYING_STATES: Final = frozenset({ASKED, PLACED, RUNNING, RECOVERING})
"""States in which a task counts against the quota of its team, since it may be running."""

# Phases of a job.
PHASE_PENDING: Final = "Pending"
PHASE_RUNNING: Final = "Running"
PHASE_SUCCEEDED: Final = "Succeeded"
PHASE_FAILED: Final = "Failed"
PHASE_CANCELLED: Final = "Cancelled"

# States of a task on a worker, as the owner of the worker tracks and reports them. HELD: the task
# waits for preempted tasks to stop. PENDING: it was not sent yet. LAPSED: its lease ran out.
# REFUSED: it never started. OVER_LIMIT: it exceeded its memory limit. LOST: the worker restarted or
# no longer has it.
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
    """Job as submitted by its caller; cores, memory and accelerators are per task."""

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
    """Task at the home of its job.

    `owner` is the member that was last asked to place the task, and `worker` the worker on which it
    was last placed; `epoch` is that of the later of the two. `asked` lists the owners asked since
    the task was last placed or delayed, and `asked_at` is the loop time of the last request.
    `tries` counts refusals for the backoff, which ends at the loop time `retry_at`. `failures`
    counts failed attempts, and `crashes` the workers that crashed under the task. `excluded` names
    workers that must not run the task. `memory_mb` starts at the size in the spec and grows if the
    task exceeds it. `found` collects reports on the task, as pairs of worker and report, until it
    is recovered. `has_intent` is set once the journal holds the intent to start a non-idempotent
    task, `is_recorded` once it holds the task's end.
    """

    index: int
    state: str = WAITING
    attempt: int = 0
    owner: str = ""
    worker: str = ""
    epoch: int = 0
    failures: int = 0
    crashes: int = 0
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
    """One attempt to reserve capacity for all tasks of a gang at once.

    `answered` maps an owner to its reservations, each a task, an attempt and a worker.
    """

    round: int
    owners: list[str]
    answered: dict[str, list[tuple[str, int, str]]]
    started_at: float


@record
class Job:
    """Job at its home.

    `gang` is the reservation round in progress, if any, and `retry_at` the loop time of the next
    one. `open_tasks` counts the tasks that have not ended. `is_recorded_end` is set once the end is
    queued for the journal, `is_end_committed` once the store holds it.
    """

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
    """Journal record: a job was accepted."""

    spec: JobSpec


@record
class JobEndRecord:
    """Journal record: a job ended; `outcomes` holds the final state of each task."""

    key: str
    phase: str
    outcomes: list[str]
    reason: str


@record
class TaskEndRecord:
    """Journal record: tasks of an active job ended; `outcomes` holds the final state of each."""

    key: str
    tasks: list[int]
    outcomes: list[str]


@record
class JobCancelRecord:
    """Journal record: cancellation of a job was requested."""

    key: str


@record
class AttemptRecord:
    """Journal record: intent to start non-idempotent tasks of a job."""

    key: str
    tasks: list[int]


@record
class KeyRecord:
    """Journal record: a request key; `verdict` is None until the outcome is known."""

    key: str
    verdict: Verdict | None


@record
class KeyEntry:
    """Request key at its home.

    `is_ours` is set if this daemon accepted the key, rather than loading it from the journal.
    `waiters` lists the member and the id of each request that waits for the verdict.
    """

    verdict: Verdict | None = None
    is_ours: bool = False
    waiters: list[tuple[str, str]] = field(default_factory=list)


@record
class Segment:
    """Segment of a partition's journal, stored as one value.

    `owner` is the home that wrote the segment, and `write_id` identifies its last write. A base
    segment is a snapshot, which replaces all earlier segments. A sealed segment is never written
    again.
    """

    owner: str
    write_id: str
    is_sealed: bool
    is_base: bool
    records: list[Any]


@record
class Append:
    """Records to be written together.

    The commit handler of `kind` gets `reference` and the outcome of the write. The records may be
    held back until the loop time `due_at`, so that more of them share a write.
    """

    records: list[Any]
    kind: str
    reference: str
    size: int
    due_at: float


class Journal:
    """Journal of one partition at its home.

    `segment_revisions` maps the number of each segment to its store revision, and `active_segment`
    is the segment being written, whose content is `records` with `size` bytes. `queue` waits for
    the next write and `in_flight` is part of the current one, which has the id `write_id`.
    `next_segment` is the segment that the current write creates, or 0. `is_write_pending` is set
    until the store answers, and `is_reading_back` while the outcome of a write is unknown.
    `failing_since` is the loop time of the first failure since the last stored write, or 0. No load
    or write starts before the loop time `due_at`. `loaded_segments` holds what was read until it
    is replayed.
    """

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
        """Initialise a journal that is not loaded yet."""
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
    """Partition of jobs and request keys at its home.

    `barrier_epoch` is the epoch of the recovery barrier, or 0 without one, and `reported_workers`
    are the workers whose complete report has arrived in it. `barrier_checked_epoch` is the last
    epoch in which the tasks were checked for lost owners. `usage_by_team` holds the cores,
    megabytes and accelerators that count against the quota of each team.
    """

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
        """Initialise an empty partition whose journal is not loaded."""
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
    """Task on a worker, as tracked by the owner of the worker.

    `state` is HELD (waits for preempted tasks to stop), PENDING (not sent yet), SENT or
    SEEN_RUNNING; afterwards it is the state in which the task ended. `start_by_s` is the latest
    start in seconds of the worker's clock.
    """

    placement: Placement
    state: str
    start_by_s: float = 0.0
    exit_code: int = 0
    reason: str = ""
    is_stopping: bool = False

    @property
    def is_ended(self) -> bool:
        """Return whether the task no longer occupies the worker."""
        return self.state not in (HELD, PENDING, SENT, SEEN_RUNNING)


class Worker:
    """Worker as tracked by its owner.

    `is_ready` is set once the owner knows the tasks of the worker, and `is_lapsed` while all leases
    of an unreachable worker have lapsed. `owned_at` is the loop time at which this daemon took the
    worker over, or -1. `sequence` is that of the latest inventory applied. `used` holds the
    occupied and reserved cores, megabytes and accelerators. `clock_s` is the worker's clock at the
    loop time `clock_at`. `heard_at` is when the latest request that the worker answered was sent,
    and `renewed_until` is the latest loop time at which a sync already sent can still renew leases.
    `is_dirty` is set if something is to be sent to the worker. `stops` and `forget` list tasks and
    attempts for the next sync: tasks to be stopped, and results to be deleted. `failed_jobs` names
    the job of each task that has failed since the last success or block; a blocked worker gets no
    new tasks until the loop time `blocked_until`, and `block_s` is the length of the last block.
    """

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
        """Initialise a worker whose state is unknown."""
        self.instance = instance
        self.is_owned = False
        self.is_syncing = False
        self.is_watching = False
        self.failed_jobs: list[str] = []
        self.blocked_until = 0.0
        self.block_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Reset what may have changed while another daemon owned the worker."""
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
        """Add the resources of a placement to the usage (sign 1) or subtract them (sign -1)."""
        self.used[0] += sign * placement.cores
        self.used[1] += sign * placement.memory_mb
        self.used[2] += sign * placement.accelerators


@record
class Submission:
    """Message about jobs to a home, whose caller waits for the answer.

    The entry sends it to `home`, which is empty while no ready home is known. `waits` is the number
    of messages into which the request was split.
    """

    request_id: str
    deadline_at: float
    home: str
    message: Any
    is_sent: bool = False
    waits: int = 1
    answers: list[Any] = field(default_factory=list)


@record
class GangHold:
    """Capacity kept for one gang: other tasks of its priority or below are refused."""

    gang: str
    priority: int
    until: float


@record
class Reservation:
    """Reserved capacity for one task of a gang, released at the loop time `until`."""

    placement: Placement
    gang: str
    round: int
    until: float


class JobsState:
    """Partitions of which this daemon is the home, workers that it owns, and waiting callers.

    `awaiting_commit` holds acceptances and keyed requests until the journal has their records.
    `placement_misses` maps a task size that found no worker to the `capacity_version` and the loop
    time until which that holds. `dirty_workers` have something to be sent to them.
    """

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
        """Initialise empty state."""
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
        """Return the owned worker that has the task and attempt, if any."""
        worker = self.worker_by_task.get(key)
        if worker is None or not worker.is_owned or key not in worker.tasks:
            return None
        return worker

    def add_worker_task(self, worker: Worker, key: tuple[str, int], task: WorkerTask) -> None:
        """Add a task to a worker."""
        worker.tasks[key] = task
        self.worker_by_task[key] = worker

    def remove_worker_task(self, worker: Worker, key: tuple[str, int]) -> None:
        """Remove a task from a worker."""
        del worker.tasks[key]
        self.worker_by_task.pop(key, None)

    def mark_dirty(self, worker: Worker) -> None:
        """Mark the worker for a sync, since something is to be sent to it."""
        worker.is_dirty = True
        self.dirty_workers[worker.instance.name] = worker

    def refresh_owned_workers(self) -> None:
        """Update the list of owned workers, from which placement chooses."""
        self.owned_workers = [worker for worker in self.workers.values() if worker.is_owned]
        self.capacity_version += 1
