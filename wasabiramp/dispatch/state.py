"""Executors, their calls, and the requests that wait for them."""

from __future__ import annotations

from dataclasses import field

from wasabiramp.core.records import record
from wasabiramp.policy.ordering import FairQueue
from wasabiramp.resource.kinds import Instance

QUEUED = "queued"
OFFERED = "offered"
RUNNING = "running"


@record
class Request:
    """A request at the entry that answers its caller, or a guest at an owner.

    `origin` is the member that offered it, empty at home. `order` is its place in the queue once
    it has waited there. Times are loop seconds.
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
    retry_at: float = 0.0
    may_have_run: bool = False
    order: tuple[float, ...] = ()


@record
class Call:
    """A call under way at an executor; it may arrive there until `start_by_s` of its clock."""

    call_id: str
    request_id: str
    start_by_s: float
    sent_at: float
    is_lost: bool = False


@record
class Executor:
    """An executor as its owner counts it.

    `foreign` holds calls of an earlier owner that still occupy slots. `clock_s` is the executor's
    clock as read no later than our time `clock_at`.
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
        """Return how many slots are certainly free."""
        return self.instance.slots - len(self.calls) - len(self.foreign)


class DispatchState:
    """Requests by id, waiting requests by service, and the executors of this daemon."""

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
        """Start with no executors and no requests."""
        self.executors: dict[str, Executor] = {}
        self.requests: dict[str, Request] = {}
        self.queues: dict[str, FairQueue] = {}
        self.work_wanted: dict[str, dict[str, tuple[int, float]]] = {}
        self.work_wanted_sent_at: dict[str, float] = {}
        self.deadlines: list[tuple[float, str]] = []
        self.retry_tokens = 10.0
        self.calls_made = 0
