"""Effects: what the reducer asks the daemon to do, as plain data."""

from __future__ import annotations

from dataclasses import field
from typing import Any

from wasabiramp.core.records import record


@record
class StoreRead:
    """Read one key (`is_prefix` false) or all keys under a prefix; may be answered stale.

    Only keys changed after the revision `after` are returned.
    """

    purpose: str
    tag: str
    key: str
    is_prefix: bool = False
    after: int = 0


@record
class StoreWatch:
    """Wait for changes under a prefix after a revision, for at most `timeout_s` seconds."""

    purpose: str
    key: str
    after: int
    timeout_s: float


@record
class StoreSwap:
    """Compare-and-swap one key.

    An `expect` of -1 never matches: the answer is then a read of the committed value, since a
    compare-and-swap is not served from a lagging copy. A `value` of None deletes the key.
    """

    purpose: str
    tag: str
    key: str
    value: Any
    expect: int


@record
class SendPeer:
    """Send a message to another member."""

    member: str
    message: Any


@record
class AnswerCaller:
    """Answer a caller's or an operator's request; `answer` is a record."""

    request_id: str
    answer: Any


@record
class CallExecutor:
    """Send a request to an executor.

    The executor refuses it once its own clock passes `start_by_s`. `timeout_s` is how long the
    answer is awaited.
    """

    executor: str
    address: str
    call_id: str
    body: bytes
    start_by_s: float
    timeout_s: float


@record
class ProbeExecutor:
    """Ask an executor for its clock and its own count of work."""

    executor: str
    address: str


@record
class TaskStart:
    """One task to start on a worker, with its limits and the worker time it must start by."""

    task: str
    attempt: int
    cores: float
    memory_mb: float
    accelerators: int
    start_by_s: float
    payload: dict[str, Any]


@record
class SyncWorker:
    """One batched exchange with a worker: starts, stops, renewals and forgotten results.

    The worker refuses all of it once its own clock passes `valid_until_s`; 0 only reads.
    """

    worker: str
    address: str
    lease_s: float
    valid_until_s: float
    renew: list[tuple[str, int]] = field(default_factory=list)
    starts: list[TaskStart] = field(default_factory=list)
    stops: list[tuple[str, int]] = field(default_factory=list)
    forget: list[tuple[str, int]] = field(default_factory=list)


@record
class WatchWorker:
    """Wait until the worker's inventory differs from `sequence`, or `timeout_s` has passed."""

    worker: str
    address: str
    sequence: int
    timeout_s: float


@record
class ListInstances:
    """Read the platform's list of instances."""


@record
class SetReadiness:
    """Pass or fail the balancer's readiness check."""

    is_ready: bool


@record
class LogEvent:
    """Write one line of key=value pairs."""

    event: str
    fields: dict[str, Any]


@record
class CountMetric:
    """Add to a counter, or record an observation in seconds, under labels."""

    name: str
    value: float
    labels: dict[str, str]


@record
class ExitDaemon:
    """All is handed over; the process may end."""
