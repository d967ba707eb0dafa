"""The messages between daemons."""

from __future__ import annotations

from dataclasses import field
from typing import Any

from wasabiramp.core.records import record
from wasabiramp.core.verdict import Verdict


@record
class Heartbeat:
    """A member renews its right and shares its load.

    `sent_at` is the sender's own loop time and comes back in the answer. `clean_epoch` is the
    newest epoch that the sender entered with nothing under way for targets it lost. `load` maps a
    service to free slots and waiting requests; `free` is cores, megabytes and accelerators.
    """

    epoch: int
    sent_at: float
    config_revision: int
    suspects: tuple[str, ...]
    is_leaving: bool
    clean_epoch: int
    load: dict[str, tuple[int, int]]
    free: tuple[float, float, int]


@record
class HeartbeatAck:
    """A witness answers; `is_granted` renews the sender's right in the epoch."""

    epoch: int
    sent_at: float
    is_granted: bool
    beat: Heartbeat


@record
class MembersTold:
    """A newer member list, as read from the store at this revision."""

    members: Any
    revision: int


@record
class ConfigAsked:
    """The sender has every resource up to the revision and asks for what is newer."""

    revision: int


@record
class ConfigTold:
    """Resources newer than what was asked for, complete up to `revision`."""

    resources: list[Any]
    revision: int
    since: int


@record
class RequestOffered:
    """An entry offers a request to an owner, which runs it now or refuses it."""

    request_id: str
    service: str
    team: str
    body: bytes
    deadline_s: float
    is_idempotent: bool
    work_class: str


@record
class RequestAnswered:
    """The owner's verdict on an offered request; `is_full` means that it had no free slot.

    `free` is how many slots of the service the owner has free now.
    """

    request_id: str
    verdict: Verdict
    is_full: bool = False
    service: str = ""
    free: int = 0


@record
class WorkWanted:
    """An owner has free slots for a service and asks for waiting requests."""

    service: str
    slots: int


@record
class KeyedRequest:
    """An entry sends a request with a key to the home of the key."""

    request_id: str
    service: str
    team: str
    key: str
    body: bytes
    deadline_s: float
    is_idempotent: bool
    work_class: str


@record
class KeyedAnswered:
    """The home's verdict on a request with a key."""

    request_id: str
    verdict: Verdict


@record
class JobsForwarded:
    """An entry sends submitted jobs to the home of their team."""

    request_id: str
    partition: int
    jobs: list[Any]


@record
class JobActionForwarded:
    """An entry asks the home to get, list or cancel."""

    request_id: str
    action: str
    partition: int
    team: str
    name: str


@record
class JobsAnswered:
    """The home's answer about jobs; `status` is an HTTP status code."""

    request_id: str
    status: int
    body: Any


@record
class Placement:
    """One task that a home wants started.

    `exclude` names workers that the task must not go to. `payload` goes to the worker unread.
    """

    task: str
    attempt: int
    cores: float
    memory_mb: float
    accelerators: int
    priority: int
    payload: dict[str, Any]
    exclude: tuple[str, ...] = ()
    gang: str = ""
    share: float = 0.0
    can_preempt: bool = False
    is_preemptible: bool = False


@record
class PlaceAsked:
    """A home asks an owner of workers to place tasks; `epoch` is the home's.

    A repeat asks only what became of an earlier question: what the owner does not have, it refuses
    and never admits later, since messages between two members keep their order.
    """

    epoch: int
    partition: int
    placements: list[Placement]
    is_repeat: bool = False


@record
class PlaceAnswered:
    """Which tasks were admitted, on which worker, and which found no room."""

    partition: int
    admitted: list[tuple[str, int, str]]
    refused: list[tuple[str, int]]
    free: tuple[float, float, int]


@record
class GangAsked:
    """A home asks an owner to reserve room for some tasks of an all-or-nothing job."""

    epoch: int
    partition: int
    gang: str
    round: int
    placements: list[Placement]
    is_holding: bool = False


@record
class GangAnswered:
    """The tasks for which room is reserved, with the worker of each."""

    partition: int
    gang: str
    round: int
    reserved: list[tuple[str, int, str]]


@record
class GangSettled:
    """The home starts tasks of a gang in reserved room, or gives the room back.

    The tasks of a gang are alike: `slots` names, for each of `tasks`, the task for which its room
    was reserved. Without slots the message repeats an earlier one.
    """

    epoch: int
    partition: int
    gang: str
    round: int
    is_start: bool
    tasks: list[str] = field(default_factory=list)
    attempts: list[int] = field(default_factory=list)
    slots: list[str] = field(default_factory=list)


@record
class TasksStopped:
    """A home asks the owner of workers to stop tasks."""

    tasks: list[tuple[str, int, str]]


@record
class ReportAsked:
    """A home that took a partition over asks for everything workers know of it."""

    epoch: int
    partitions: list[int]


@record
class TaskReport:
    """What an owner knows of one task on a worker."""

    task: str
    attempt: int
    state: str
    exit_code: int = 0
    cores: float = 0.0
    memory_mb: float = 0.0
    reason: str = ""


@record
class WorkerTold:
    """An owner tells a home about its tasks on a worker.

    `is_complete` marks a full inventory, read after the owner took the worker over: tasks that it
    does not name are not on the worker and cannot start there.
    """

    epoch: int
    partition: int
    worker: str
    incarnation: str
    is_complete: bool
    tasks: list[TaskReport] = field(default_factory=list)


@record
class ResultsKept:
    """A home has what it needs of these finished tasks; the worker may forget them."""

    worker: str
    tasks: list[tuple[str, int]]
