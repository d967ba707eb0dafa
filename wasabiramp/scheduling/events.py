"""Events for the scheduler's reducer, from callers, executors, advisers and the store."""

from __future__ import annotations

from dataclasses import dataclass, field
import math
from typing import Final

from wasabiramp.scheduling.model import (
    CellConfig,
    ExecutorEntry,
    ExecutorReport,
    JobDefinition,
    JobProgress,
)

STARTED: Final = "started"
REFUSED_FENCE: Final = "fence"
REFUSED_OLD: Final = "old"
REFUSED_LATE: Final = "late"
REFUSED_ROOM: Final = "room"
REFUSED_TICKET: Final = "ticket"
REFUSED_BUSY: Final = "busy"
REFUSED_INPUT: Final = "input"
OTHER_INCARNATION: Final = "other-life"
NOT_SENT: Final = "not-sent"
UNKNOWN: Final = "unknown"
"""Outcomes of orders to executors.

`STARTED` confirms any order, also a stop or a pace. An order is refused because the executor knows
a newer owner or a later epoch of its calls (`REFUSED_FENCE`), has a later run or a stop for the
task (`REFUSED_OLD`), received it after the lease had expired (`REFUSED_LATE`), lacks resources
(`REFUSED_ROOM`), rejects the ticket (`REFUSED_TICKET`), is unhealthy or full (`REFUSED_BUSY`), or
cannot parse it (`REFUSED_INPUT`). `OTHER_INCARNATION` means that another process answered,
`NOT_SENT` that the order certainly did not arrive, and `UNKNOWN` that it may have been executed, as
its answer was lost."""


@dataclass(slots=True)
class ConfigChanged:
    """A newer configuration version is in effect."""

    config: CellConfig


@dataclass(slots=True)
class StoredJob:
    """A job with its stored progress.

    `accepted_at` is on the event loop's clock; `revision` is the store revision at which the
    definition was created.
    """

    definition: JobDefinition
    accepted_at: float
    revision: int
    progress: JobProgress | None = None


@dataclass(slots=True)
class JobsRecovered:
    """Jobs and executor roster of an earlier owner, as of a store revision.

    The roster holds the id and address of each executor; `is_roster_complete` is False if some of
    it could not be read. The earlier owner's leases on executors have expired `lease_left_s` from
    now. `ended` are the ids of jobs that have ended, and `unreadable` those of jobs whose records
    this build cannot read. `claim_revision` is that at which this owner claimed its term.
    """

    jobs: list[StoredJob]
    roster: list[tuple[str, str]]
    lease_left_s: float
    as_of: int
    ended: list[str] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    claim_revision: int = 0
    is_roster_complete: bool = True


@dataclass(slots=True)
class PredecessorEnded:
    """The earlier owner gives no more leases; its last ones end `lease_left_s` from now.

    It had finished its own recovery, so the leases of still earlier owners have ended.
    """

    lease_left_s: float


@dataclass(slots=True)
class JobAccepted:
    """A daemon stored a new job.

    `is_new` is set if no earlier owner can know the job, and `is_found` if it was not announced.
    """

    job: StoredJob
    is_new: bool = False
    is_found: bool = False


@dataclass(slots=True)
class JobUnreadable:
    """A job was found whose record this build cannot read."""

    job_id: str


@dataclass(slots=True)
class CancelAsked:
    """A caller asked to cancel a job."""

    job_id: str


@dataclass(slots=True)
class ExecutorListed:
    """The platform listed an executor or changed its entry."""

    entry: ExecutorEntry


@dataclass(slots=True)
class ExecutorEntryInvalid:
    """The platform lists an entry under an executor's id that cannot be used."""

    id: str


@dataclass(slots=True)
class ExecutorUnlisted:
    """The platform removed an executor's entry."""

    id: str


@dataclass(slots=True)
class HoldAnswered:
    """An executor answered a hold that was sent at `sent_at`.

    `address` is that of the hold; if it is empty, the last hold was answered. The hold acknowledged
    the ends up to `last_seen`, and renewed the lease until `until_ms`, unless that is None.
    `fence_epoch` is that of the call, here and in other events; None stands for the present one.
    """

    executor: str
    sent_at: float
    report: ExecutorReport
    address: str = ""
    last_seen: int = 0
    until_ms: int | None = None
    fence_epoch: int | None = None


@dataclass(slots=True)
class HoldFailed:
    """A hold failed; `outcome` is one of the constants in this module.

    `address` is that of the hold; if it is empty, the last hold failed. `last_seen` is as in
    `HoldAnswered`.
    """

    executor: str
    sent_at: float
    outcome: str
    address: str = ""
    fence_epoch: int | None = None
    last_seen: int = 0


@dataclass(slots=True)
class StartAnswered:
    """A start was answered, or its answer was lost (`UNKNOWN`).

    `clock_ms` is the executor's clock, if the answer had it, and `until_ms` the lease of the order.
    """

    executor: str
    task: str
    run: int
    sent_at: float
    outcome: str
    clock_ms: int | None = None
    until_ms: int | None = None
    fence_epoch: int | None = None


@dataclass(slots=True)
class StopAnswered:
    """A stop was answered, or its answer was lost (`UNKNOWN`)."""

    executor: str
    task: str
    run: int
    outcome: str
    fence_epoch: int | None = None


@dataclass(slots=True)
class PaceAnswered:
    """A change of pace was answered, or its answer was lost (`UNKNOWN`)."""

    executor: str
    task: str
    run: int
    outcome: str
    fence_epoch: int | None = None


@dataclass(slots=True)
class AdviceAnswered:
    """The adviser answered.

    `good` maps the suitable executors among those `asked` about to their tickets, which are valid
    for `valid_s`.
    """

    step: str
    asked: list[str]
    good: dict[str, str] = field(default_factory=dict)
    valid_s: float = 0.0
    sent_at: float = 0.0


@dataclass(slots=True)
class AdviceFailed:
    """The adviser did not answer; it may be asked again after `retry_s`."""

    step: str
    retry_s: float


@dataclass(slots=True)
class Committed:
    """The changes returned by the last `take_changes` are stored."""


@dataclass(slots=True)
class TimePassed:
    """Periodic timer event.

    `list_age_s` is the time since the list of executors was complete, and `jobs_confirmed_at` the
    time on the event loop's clock up to which all stored jobs are known.
    """

    list_age_s: float = 0.0
    jobs_confirmed_at: float = -math.inf
