"""State of dispatch: requests, executors and calls."""

from __future__ import annotations

from dataclasses import field

from wasabiramp.core.records import record
from wasabiramp.policy.ordering import FairQueue
from wasabiramp.resource.kinds import Instance

QUEUED = "queued"
OFFERED = "offered"
RUNNING = "running"
"""States of a request: waiting here, offered to a member, sent to an executor of this daemon."""


@record
class Request:
    """A request of a caller of this daemon, or one that another member offered.

    `origin` is the member that offered it, or empty; an offered request has the id `<origin>/<id>`.
    `offered_to` is the member to which this daemon offered it. `attempts` counts the attempts so
    far, `lost_attempts` those without an answer, and `may_have_run` is set once one of them may
    have had an effect. `retry_at` is when the next attempt is due, or 0. `order` is its sort key in
    the queue once it has been queued. Times are loop times in seconds.
    """

    request_id: str
    service: str
    team: str
    body: bytes
    deadline_at: float
    is_idempotent: bool
    work_class: str
    arrived_at: float
    origin: str = ""
    key: str = ""
    state: str = QUEUED
    offered_to: str = ""
    attempts: int = 0
    lost_attempts: int = 0
    retry_at: float = 0.0
    may_have_run: bool = False
    order: tuple[float, ...] = ()


@record
class Call:
    """A call that was sent to an executor and occupies a slot.

    The executor refuses to start it after `start_by_s` on its own clock. `is_lost` is set when the
    answer is missing, so that the call may still run.
    """

    call_id: str
    request_id: str
    start_by_s: float
    sent_at: float
    is_lost: bool = False


@record
class Executor:
    """An executor and its slots as counted by its owner.

    `foreign` holds calls of an earlier owner that still occupy slots. `clock_s` is a reading of the
    executor's clock, taken at the loop time `clock_at` or earlier. `is_ready` is set by the first
    report after the takeover. `failures` counts the failures since the last success; the executor
    receives no calls before the loop time `blocked_until`.
    """

    instance: Instance
    is_owned: bool = False
    is_ready: bool = False
    calls: dict[str, Call] = field(default_factory=dict)
    foreign: list[str] = field(default_factory=list)
    clock_s: float = 0.0
    clock_at: float = -1.0
    probe_due_at: float = 0.0
    is_probing: bool = False
    blocked_until: float = 0.0
    failures: int = 0

    def count_free_slots(self) -> int:
        """Return the number of slots that no known call occupies."""
        return self.instance.slots - len(self.calls) - len(self.foreign)


class DispatchState:
    """Requests by id, queues by service, and the executors that this daemon owns or owned.

    `work_wanted` maps a service to members that asked for work, each with its number of free slots
    and the loop time until which that number is valid. `work_wanted_sent_at` maps a service to when
    this daemon last asked others for work. `deadlines` is a heap of deadlines and request ids.
    `retry_tokens` is what is left of the retry budget. `calls_made` is the number of calls made so
    far, which makes the call ids unique.
    """

    __slots__ = (
        "executors",
        "requests",
        "queues",
        "work_wanted",
        "work_wanted_sent_at",
        "deadlines",
        "retry_tokens",
        "calls_made",
    )

    def __init__(self) -> None:
        """Initialise a state without executors and requests."""
        self.executors: dict[str, Executor] = {}
        self.requests: dict[str, Request] = {}
        self.queues: dict[str, FairQueue] = {}
        self.work_wanted: dict[str, dict[str, tuple[int, float]]] = {}
        self.work_wanted_sent_at: dict[str, float] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.retry_tokens = 10.0
        self.calls_made = 0
