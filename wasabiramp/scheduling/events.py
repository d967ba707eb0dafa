"""Events that the scheduler reduces: what callers, executors, advisers and the store say."""

from __future__ import annotations

from dataclasses import dataclass, field
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


@dataclass(slots=True)
class ConfigChanged:
    """A newer configuration holds."""

    config: CellConfig


@dataclass(slots=True)
class StoredJob:
    """A job with what the store keeps of it.

    The time is on the loop's clock; the revision is that of the definition's creation.
    """

    definition: JobDefinition
    accepted_at: float
    revision: int
    progress: JobProgress | None = None


@dataclass(slots=True)
class JobsRecovered:
    """All that an earlier owner left, as of a revision of the store.

    The earlier owner's leases on executors end `lease_left_s` from now.
    """

    jobs: list[StoredJob]
    roster: list[tuple[str, str]]
    lease_left_s: float
    as_of: int


@dataclass(slots=True)
class JobAccepted:
    """A daemon stored a new job."""

    job: StoredJob


@dataclass(slots=True)
class CancelAsked:
    """A caller cancels a job."""

    job_id: str


@dataclass(slots=True)
class ExecutorListed:
    """The platform lists an executor, or its entry changed."""

    entry: ExecutorEntry


@dataclass(slots=True)
class ExecutorUnlisted:
    """The platform removed an executor's entry."""

    id: str


@dataclass(slots=True)
class HoldAnswered:
    """An executor answered a hold that was sent at `sent_at`."""

    executor: str
    sent_at: float
    report: ExecutorReport


@dataclass(slots=True)
class HoldFailed:
    """A hold failed; `outcome` is one of the constants of this module."""

    executor: str
    sent_at: float
    outcome: str


@dataclass(slots=True)
class StartAnswered:
    """A start was answered, or its answer was lost (`UNKNOWN`)."""

    executor: str
    task: str
    run: int
    sent_at: float
    outcome: str
    clock_ms: int | None = None


@dataclass(slots=True)
class StopAnswered:
    """A stop was answered, or its answer was lost (`UNKNOWN`)."""

    executor: str
    task: str
    run: int
    outcome: str


@dataclass(slots=True)
class PaceAnswered:
    """A change of pace was answered, or its answer was lost (`UNKNOWN`)."""

    executor: str
    task: str
    run: int
    outcome: str


@dataclass(slots=True)
class AdviceAnswered:
    """The adviser named the good executors, each with a ticket, among those asked about."""

    step: str
    asked: list[str]
    good: dict[str, str] = field(default_factory=dict)
    valid_s: float = 0.0
    sent_at: float = 0.0


@dataclass(slots=True)
class AdviceFailed:
    """The adviser gave no answer; it may be asked again after `retry_s`."""

    step: str
    retry_s: float


@dataclass(slots=True)
class Committed:
    """All changes up to the last `take_changes` are stored."""


@dataclass(slots=True)
class TimePassed:
    """Nothing happened but time."""
