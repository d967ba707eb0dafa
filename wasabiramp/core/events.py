"""Events: all input to the reducer."""

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
    """Periodic timer event that lets handlers check deadlines and intervals."""


@record
class StopRequested:
    """The operator or the platform requested a graceful stop."""


@record
class StoreItem:
    """A key of the store; `value` is None when the key does not exist."""

    key: str
    value: Any
    revision: int


@record
class StoreAnswer:
    """The store's answer to an operation of this daemon.

    `status` is OK, CONFLICT (the key was at another revision; `items` holds its current value),
    FAILED (the operation had no effect) or UNKNOWN (it may have had an effect). `sent_at` is the
    loop time in seconds at which the operation was sent.
    """

    purpose: str
    tag: str
    status: str
    sent_at: float
    revision: int = 0
    items: list[StoreItem] = field(default_factory=list)


@record
class PeerReceived:
    """A message arrived from another daemon; `sender` is its member id."""

    sender: str
    message: Any


@record
class PeerLost:
    """The connection to another member was lost; messages sent on it may not have arrived."""

    member: str


@record
class ListedInstance:
    """An instance on the platform's list."""

    name: str
    state: str


@record
class InstancesListed:
    """The platform's list of instances, which may be stale.

    `sent_at` is the loop time in seconds at which the list was requested.
    """

    sent_at: float
    instances: list[ListedInstance]


@record
class RequestArrived:
    """A caller sent a request to a service.

    `deadline_s` is how long the caller waits from now, in seconds. `key` is the caller's request
    key, or empty, and `work_class` names the policy for the request.
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

    `status` is OK, FAILED (the request cannot have run) or UNKNOWN (it may have run), and `reason`
    says why it is not OK. `clock_s` is the executor's own clock at the time of the answer.
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
    """An executor reported the calls that it is running, or did not answer.

    `clock_s` is the executor's own clock at the time of the report.
    """

    executor: str
    is_reachable: bool
    sent_at: float
    clock_s: float = 0.0
    running: list[str] = field(default_factory=list)
    connections: int = 0


@record
class TaskSeen:
    """A task in a worker's report, with the resources that it was started with."""

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

    `sequence` increases with each change of the inventory. `is_watch` is set for the answer to a
    watch. `refused` lists task, attempt and reason of the starts that the worker refused.
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
    """A caller submitted jobs whose specs are already validated."""

    request_id: str
    jobs: list[Any]
    deadline_s: float


@record
class JobAsked:
    """A caller requested a job or the list of a team's jobs, or cancelled a job.

    `action` is "get", "list" or "cancel".
    """

    request_id: str
    action: str
    team: str
    name: str
    deadline_s: float


@record
class ResourceWritten:
    """An operator submitted a validated change of a resource; `spec` is None to delete it.

    `expected_revision` is None for a change regardless of the current revision.
    """

    request_id: str
    kind: str
    name: str
    spec: dict[str, Any] | None
    expected_revision: int | None
