"""Data model of the scheduler: job definitions, executor reports and stored progress."""

from __future__ import annotations

from dataclasses import dataclass, field
import re
from typing import Final

PENDING: Final = "pending"
RUNNING: Final = "running"
DONE: Final = "done"
FAILED: Final = "failed"
CANCELLED: Final = "cancelled"
FINAL_PHASES: Final = frozenset({DONE, FAILED, CANCELLED})

VOID: Final = "void"
"""Phase of an id in the store that was cancelled before its job was stored.

It is not a phase of a job: callers are told that there is none, and none is stored under the id."""
TASK_PATTERN: Final = re.compile(r"([^.]+)" + 3 * r"\.(0|[1-9][0-9]{0,14})")
"""Names of tasks: the job, and the numbers of occurrence, step and task in their shortest form."""


@dataclass(slots=True, frozen=True)
class Resources:
    """An amount of CPU (thousandths of a core), memory (MB) and accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0

    def fits(self, free: Resources) -> bool:
        """Return whether this amount fits into the given free resources."""
        return self.cpu <= free.cpu and self.memory_mb <= free.memory_mb and self.gpu <= free.gpu

    def plus(self, other: Resources) -> Resources:
        """Return the sum of both amounts."""
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
    """One step of a job: `count` identical tasks with the same demand and placement constraints.

    `after` lists the indexes of the steps that have to be done before. An executor must have the
    `label`, and one on the `rack` of the data is preferred. With `may_copy`, several runs of a task
    may exist at a time. `may_miss` and `image` are stored but not used by the scheduler.

    A lasting task runs until it is stopped; its response times should stay below `target_s` unless
    that is 0. A task that `fills` uses whatever CPU other tasks leave idle, so its demand has none.
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
    """Cost and validity of the adviser's decisions for one queue.

    A question takes `decide_s` plus `each_s` for each executor; its tickets hold for `valid_s`.
    """

    decide_s: float
    each_s: float
    valid_s: float


@dataclass(slots=True, frozen=True)
class Queue:
    """A configured queue; priority 0 is the most urgent.

    A job should be done within `stretch` times its critical path plus `target_s`.
    """

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
    """A job as the caller submitted it, with a copy of its queue at that time.

    `accepted_ms` is the Unix time at the accepting daemon.
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
    """One version of the configuration that operators publish for a cell.

    `services` are the names of all services, those of the queues included.
    """

    version: int
    queues: tuple[Queue, ...]
    max_body_bytes: int = 262_144
    services: frozenset[str] = frozenset()
    _by_name: dict[str, Queue] = field(init=False, repr=False, compare=False)
    _by_host: dict[str, list[Queue]] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Index the queues by name and host, as there may be thousands of them."""
        by_host: dict[str, list[Queue]] = {}
        for queue in sorted(self.queues, key=lambda queue: -len(queue.prefix)):
            by_host.setdefault(queue.host, []).append(queue)
        object.__setattr__(self, "_by_name", {q.name: q for q in reversed(self.queues)})
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "services", self.services | {q.service for q in self.queues})

    def find(self, name: str) -> Queue | None:
        """Return the queue with the given name, or None."""
        return self._by_name.get(name)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue of the host with the longest prefix that matches the path, or None."""
        fitting = (q for q in self._by_host.get(host, ()) if path.startswith(q.prefix))
        return next(fitting, None)


@dataclass(slots=True, frozen=True)
class ExecutorEntry:
    """An executor as the platform lists it.

    `born_ms` is the start time of its process and distinguishes incarnations under the same id.
    `remaining_s` is the time left to a draining executor, if the platform states it.
    """

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
        """Return the rack, which is the second label."""
        return self.labels[1] if len(self.labels) > 1 else ""

    @property
    def kind(self) -> str:
        """Return the kind of machine, which is the first label."""
        return self.labels[0] if self.labels else ""


@dataclass(slots=True, frozen=True)
class RunReport:
    """A run that an executor lists as running.

    `percent` is its progress, and `saved` the state that it saved last. `figure` is its recent
    response time in ms if the task has a target, else its recent CPU use.
    """

    task: str
    run: int
    saved: str
    percent: float
    figure: float


END_DONE: Final = "done"
END_FAILED: Final = "failed"
END_BROKEN: Final = "broken"
END_LAPSED: Final = "lapsed"
"""Ways in which a run ends: by itself, with success or not, or with the lease of its executor."""


@dataclass(slots=True, frozen=True)
class EndReport:
    """The end of a run, numbered by the executor within its incarnation.

    Only a failed run may count as an attempt; after any other end but success, the task is started
    again if it is still needed.
    """

    number: int
    task: str
    run: int
    how: str
    saved: str


@dataclass(slots=True, frozen=True)
class ExecutorReport:
    """An executor's answer to a hold: what runs, and the ends since the last acknowledged one."""

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


@dataclass(slots=True)
class Crash:
    """An executor that stopped answering while a run of a task was on it.

    `born_ms` identifies its incarnation, and `age_s` is the time since the start order. The run was
    known to be alive at the age of `survived_s`. `blame` is the probability that its task caused
    the crash, from 0 to 1, without regard to its other crashes. `is_proven` is set once the process
    is gone. `is_certain` is set if the executor had answered the start and was lost alone, and
    `is_witnessed` if its process ended while the run was on it, so that it certainly crashed.
    `is_inferred` is set if it crashed, but the run was only most likely on it.
    """

    executor: str
    born_ms: int
    age_s: float
    blame: float
    is_certain: bool = True
    is_proven: bool = False
    survived_s: float = 0.0
    is_witnessed: bool = False
    is_inferred: bool = False


@dataclass(slots=True, frozen=True)
class FailedEnd:
    """The end of a failed run of which it is not known yet whether it counts as an attempt.

    `number` is that of the end, in the incarnation of the executor that `born_ms` identifies.
    """

    run: int
    executor: str
    born_ms: int
    number: int


@dataclass(slots=True)
class StepProgress:
    """Stored progress of one step, by task index.

    It holds the succeeded tasks, their failed runs that count as attempts, their saved state, the
    crashes of executors under tasks that have not been cleared of them, and the failed runs that
    may count. What fails of a gang is held under the index 0.
    """

    done: set[int] = field(default_factory=set)
    failed: dict[int, set[int]] = field(default_factory=dict)
    saved: dict[int, str] = field(default_factory=dict)
    crashes: dict[int, list[Crash]] = field(default_factory=dict)
    unconfirmed: dict[int, list[FailedEnd]] = field(default_factory=dict)


@dataclass(slots=True)
class JobProgress:
    """Stored progress of a job; steps are keyed by (occurrence, step index)."""

    phase: str = PENDING
    steps: dict[tuple[int, int], StepProgress] = field(default_factory=dict)


def build_step_name(job_id: str, occurrence: int, step: int) -> str:
    """Return the name under which executors and advisers know a step."""
    return f"{job_id}.{occurrence}.{step}"


def parse_task(name: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index from a task name, or None if its format is unknown."""
    match = TASK_PATTERN.fullmatch(name)
    if match is None:
        return None
    job_id, occurrence, step, index = match.groups()
    return job_id, int(occurrence), int(step), int(index)
