"""Events: everything that reaches the reducer from outside it."""

from __future__ import annotations

from dataclasses import field
from typing import Any, Final

from wasabiramp.core.records import record

OK: Final = "ok"
CONFLICT: Final = "conflict"
FAILED: Final = "failed"
UNKNOWN: Final = "unknown"


@record
class Tick:
    """Time has passed."""


@record
class StopRequested:
    """The operator or the platform asks the daemon to stop gracefully."""


@record
class StoreItem:
    """One key of the store; `value` is None when the key does not exist."""

    key: str
    value: Any
    revision: int


@record
class StoreAnswer:
    """The store's answer to an operation of ours.

    `status` is OK, CONFLICT (compare-and-swap lost; `items` holds what is there), FAILED (the
    operation had no effect) or UNKNOWN (it may have had one). `sent_at` is the loop time in
    seconds at which the operation was sent.
    """

    purpose: str
    tag: str
    status: str
    sent_at: float
    revision: int = 0
    items: list[StoreItem] = field(default_factory=list)


@record
class PeerReceived:
    """A message from another daemon, by the member id of its sender."""

    sender: str
    message: Any


@record
class PeerLost:
    """The stream to another member broke; messages sent on it may not have arrived."""

    member: str


@record
class ListedInstance:
    """An instance on the platform's list."""

    name: str
    state: str


@record
class InstancesListed:
    """The platform's lagging list of instances; `sent_at` is when we asked."""

    sent_at: float
    instances: list[ListedInstance]


@record
class RequestArrived:
    """A caller sent a request to a service.

    `deadline_s` is how many seconds from now the caller waits.
    """

    request_id: str
    service: str
    team: str
    body: bytes
    deadline_s: float
    is_idempotent: bool = True
    key: str = ""
    work_class: str = "interactive"


@record
class ExecutorAnswered:
    """An executor answered a call, or the call failed.

    `status` is OK, FAILED (the request cannot have run) or UNKNOWN.
    """

    executor: str
    call_id: str
    status: str
    body: bytes = b""
    reason: str = ""
    clock_s: float = 0.0
    sent_at: float = 0.0


@record
class ExecutorReported:
    """The calls that an executor runs, as it says itself at its clock `clock_s`."""

    executor: str
    is_reachable: bool
    sent_at: float
    clock_s: float = 0.0
    running: list[str] = field(default_factory=list)
    connections: int = 0


@record
class TaskSeen:
    """A task as a worker reports it, with the size it was started with."""

    task: str
    attempt: int
    state: str
    exit_code: int = 0
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0
    reason: str = ""


@record
class WorkerReported:
    """A worker's answer to a sync or a watch: its clock, its incarnation and its inventory.

    `sequence` grows with each change at the worker. `refused` names starts that it refused.
    """

    worker: str
    is_reachable: bool
    sent_at: float
    clock_s: float = 0.0
    incarnation: str = ""
    sequence: int = 0
    is_watch: bool = False
    tasks: list[TaskSeen] = field(default_factory=list)
    refused: list[tuple[str, int, str]] = field(default_factory=list)


@record
class JobSubmitted:
    """A caller submitted jobs; every spec is checked already."""

    request_id: str
    jobs: list[Any]
    deadline_s: float


@record
class JobAsked:
    """A caller asks for a job, a list of a team's jobs, or cancels one."""

    request_id: str
    action: str
    team: str
    name: str
    deadline_s: float


@record
class ResourceWritten:
    """An operator's checked change; `spec` is None for a delete.

    `expected_revision` is None for an unconditional apply.
    """

    request_id: str
    kind: str
    name: str
    spec: dict[str, Any] | None
    expected_revision: int | None
