"""Types of the scheduler: what callers ask for, what executors report, and what is remembered."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

PENDING: Final = "pending"
RUNNING: Final = "running"
DONE: Final = "done"
FAILED: Final = "failed"
CANCELLED: Final = "cancelled"
FINAL_PHASES: Final = frozenset({DONE, FAILED, CANCELLED})


@dataclass(slots=True, frozen=True)
class Resources:
    """An amount of processors (thousandths of a core), memory (MB) and accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, room: Resources) -> bool:
        """Tell whether this amount fits into a room."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpu <= room.gpu

    def plus(self, other: Resources) -> Resources:
        """Return the sum."""
        return Resources(
            self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpu + other.gpu
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, which may be negative."""
        return Resources(
            self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpu - other.gpu
        )


@dataclass(slots=True, frozen=True)
class Step:
    """One step of a job: `count` like tasks with one demand and one set of wishes.

    The response times of a lasting task should stay below `target_s` where that is not 0. A task
    that fills takes the processors that others leave, so its demand names none.
    """

    count: int
    demand: Resources
    estimate_s: float
    after: tuple[int, ...] = ()
    is_gang: bool = False
    wants_one_rack: bool = False
    label: str = ""
    rack: str = ""
    max_per_executor: int = 0
    may_copy: bool = False
    is_lasting: bool = False
    saves_progress: bool = False
    may_miss: int = 0
    image: str = ""
    target_s: float = 0.0
    fills: bool = False


@dataclass(slots=True, frozen=True)
class AdvicePolicy:
    """The cost and validity of the adviser's decisions for one queue."""

    decide_s: float
    each_s: float
    valid_s: float


@dataclass(slots=True, frozen=True)
class Queue:
    """A queue of the configuration; priority 0 goes first."""

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    timeout_s: float = 3.0
    advice: AdvicePolicy | None = None


@dataclass(slots=True, frozen=True)
class JobDefinition:
    """A job as its caller handed it in, with its queue as it was then.

    `accepted_ms` is Unix time at the accepting daemon.
    """

    id: str
    queue: Queue
    spec: str
    steps: tuple[Step, ...]
    accepted_ms: int = 0
    repeat_count: int = 0
    first_ms: int = 0
    interval_ms: int = 0


@dataclass(slots=True, frozen=True)
class CellConfig:
    """One version of the operators' configuration."""

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int = 262_144
    _by_name: dict[str, Queue] = field(init=False, repr=False, compare=False)
    _by_host: dict[str, list[Queue]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the queues, of which there may be thousands."""
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        object.__setattr__(self, "_by_name", {q.name: q for q in reversed(self.queues)})
        object.__setattr__(self, "_by_host", by_host)

    def find(self, name: str) -> Queue | None:
        """Return the queue of a name."""
        return self._by_name.get(name)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue whose host matches and whose prefix is the longest that fits."""
        fitting = (q for q in self._by_host.get(host, ()) if path.startswith(q.prefix))
        return next(fitting, None)


@dataclass(slots=True, frozen=True)
class ExecutorEntry:
    """An executor as the platform lists it; `born_ms` tells one life from the next."""

    id: str
    address: str
    service: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int
    remaining_s: float | None = None

    @property
    def rack(self) -> str:
        """Return the rack, which the platform puts behind the kind among the labels."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def kind(self) -> str:
        """Return the kind of machine."""
        return self.labels[0] if self.labels else ""


@dataclass(slots=True, frozen=True)
class RunReport:
    """A run that an executor lists as running; `figure` is its recent use or response time."""

    task: str
    run: int
    saved: str
    percent: float
    figure: float


@dataclass(slots=True, frozen=True)
class EndReport:
    """The end of a run, numbered by the executor within its life."""

    number: int
    task: str
    run: int
    how: str
    saved: str


@dataclass(slots=True, frozen=True)
class ExecutorReport:
    """An executor's answer to a hold."""

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


@dataclass(slots=True)
class StepProgress:
    """What is kept of one step: the tasks that ended well, and the failed runs of others."""

    done: set[int] = field(default_factory=set)
    failed: dict[int, set[int]] = field(default_factory=dict)
    saved: dict[int, str] = field(default_factory=dict)


@dataclass(slots=True)
class JobProgress:
    """What is kept of a job beside its definition; steps by (occurrence, step)."""

    phase: str = PENDING
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)


def build_step_name(job_id: str, occurrence: int, step: int) -> str:
    """Return the name under which executors and advisers know a step."""
    return f"{job_id}.{occurrence}.{step}"


def parse_task(name: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index of a task's name, or None for a foreign name."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdigit() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
