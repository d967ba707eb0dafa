"""Messages between daemons.

Class and field names are the wire format. An *entry* is the daemon that a caller is connected to, a
*home* is the daemon that owns a key or a partition of jobs, and an *owner* is the daemon that owns
an executor or a worker. A *witness* is one of the members that grant the right to act.
"""

from __future__ import annotations

from dataclasses import field
from typing import Any

from wasabiramp.core.records import record
from wasabiramp.core.verdict import Verdict


@record
class Heartbeat:
    """A member's request to renew its right to act, with its load.

    `sent_at` is the sender's own loop time, which the reply returns. `clean_epoch` is the newest
    epoch that the sender entered with no work in progress on targets that it no longer owns. `load`
    maps a service to its free slots and waiting requests. `free` is cores, megabytes of memory and
    accelerators.
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
    """A witness's reply to a heartbeat; `is_granted` renews the right to act in the epoch.

    `sent_at` is that of the heartbeat, and `beat` is the state of the witness itself.
    """

    epoch: int
    sent_at: float
    is_granted: bool
    beat: Heartbeat


@record
class MembersTold:
    """The sender's member list and its store revision; members in earlier epochs adopt it."""

    members: Any
    revision: int


@record
class ConfigAsked:
    """A request for resources newer than `revision`; the sender has all up to that revision."""

    revision: int


@record
class ConfigTold:
    """All resources newer than `since`, complete up to `revision`."""

    resources: list[Any]
    revision: int
    since: int


@record
class RequestOffered:
    """A request that an entry offers to an owner, which runs it at once or refuses it."""

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

    `free` is the number of slots of the service that the owner has free now.
    """

    request_id: str
    verdict: Verdict
    is_full: bool = False
    service: str = ""
    free: int = 0


@record
class WorkWanted:
    """An owner's notice that it has free slots for a service and wants waiting requests."""

    service: str
    slots: int


@record
class KeyedRequest:
    """A request with an idempotency key that an entry sends to the home of the key."""

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
    """Submitted jobs that an entry sends to the home of their team's partition."""

    request_id: str
    partition: int
    jobs: list[Any]


@record
class JobActionForwarded:
    """A get, list or cancel of jobs that an entry sends to their home."""

    request_id: str
    action: str
    partition: int
    team: str
    name: str


@record
class JobsAnswered:
    """The home's reply about jobs; `status` is an HTTP status code."""

    request_id: str
    status: int
    body: Any


@record
class Placement:
    """One task that a home wants to start.

    `exclude` names workers on which the task must not run. `payload` is passed to the worker
    unchanged. `gang` is the id of the task's all-or-nothing job, or empty. `share` is the largest
    share of any resource that the task's team uses, divided by the weight of the team. The task may
    stop running tasks of lower priority if `can_preempt` is set, and may itself be stopped for
    another task if `is_preemptible` is set.
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
    """A home's request to an owner of workers to place tasks; `epoch` is the home's.

    With `is_repeat` the home only asks which tasks of an earlier request were admitted, and the
    owner refuses all others. An earlier request cannot arrive after that refusal and be admitted
    then, since messages between two members keep their order.
    """

    epoch: int
    partition: int
    placements: list[Placement]
    is_repeat: bool = False


@record
class PlaceAnswered:
    """An owner's reply to a request to place tasks, with its free capacity.

    `admitted` lists task, attempt and worker, `refused` lists task and attempt.
    """

    partition: int
    admitted: list[tuple[str, int, str]]
    refused: list[tuple[str, int]]
    free: tuple[float, float, int]


@record
class GangAsked:
    """A home's request to an owner to reserve capacity for tasks of an all-or-nothing job.

    `round` numbers the attempts to reserve capacity for the whole gang. With `is_holding` the owner
    also refuses other tasks of the same or a lower priority for a while, so that the gang finds
    enough capacity in a later round.
    """

    epoch: int
    partition: int
    gang: str
    round: int
    placements: list[Placement]
    is_holding: bool = False


@record
class GangAnswered:
    """The owner's reply; `reserved` lists task, attempt and worker of each reservation."""

    partition: int
    gang: str
    round: int
    reserved: list[tuple[str, int, str]]


@record
class GangSettled:
    """A home's order to start tasks of a gang on reserved capacity, or to release the capacity.

    The tasks of a gang are interchangeable: `slots` names, for each of `tasks`, the task for which
    its capacity was reserved. Without slots the message repeats an earlier one.
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
    """A home's request to the owner of workers to stop tasks: task, attempt and worker of each."""

    tasks: list[tuple[str, int, str]]


@record
class ReportAsked:
    """A request of a home that took over partitions for all that workers know of their tasks."""

    epoch: int
    partitions: list[int]


@record
class TaskReport:
    """The state of one task on a worker, as its owner knows it."""

    task: str
    attempt: int
    state: str
    exit_code: int = 0
    cores: float = 0.0
    memory_mb: float = 0.0
    reason: str = ""


@record
class WorkerTold:
    """An owner's report to a home about the home's tasks on a worker.

    `is_complete` marks a full inventory that was read after the owner took over the worker: tasks
    missing from it are not on the worker and cannot start there. `incarnation` is empty if the
    worker's lease on its tasks has expired. Both `worker` and `incarnation` are empty in a report
    of tasks whose reservation was lost.
    """

    epoch: int
    partition: int
    worker: str
    incarnation: str
    is_complete: bool
    tasks: list[TaskReport] = field(default_factory=list)


@record
class ResultsKept:
    """A home's notice that it has the results of finished tasks, so the worker may drop them.

    `tasks` lists task and attempt.
    """

    worker: str
    tasks: list[tuple[str, int]]
