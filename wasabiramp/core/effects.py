"""Effects: actions that the reducer asks the daemon to perform, as plain data.

The `purpose` of a store operation selects the handler of its answer. The answer also returns the
`tag`, by which that handler finds what the answer is about.
"""

from __future__ import annotations

from dataclasses import field
from typing import Any

from wasabiramp.core.records import record


@record
class StoreRead:
    """Read one key, or all keys under a prefix if `is_prefix` is set.

    The answer may be stale. Only keys changed after the revision `after` are returned.
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

    `expect` is the revision that the key must be at. An `expect` of -1 never matches, so that the
    answer returns the committed value: unlike a read, a compare-and-swap is never served from a
    stale replica. A `value` of None deletes the key.
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
    """Answer the request of a caller or an operator; `answer` is a record."""

    request_id: str
    answer: Any


@record
class CallExecutor:
    """Send a request to an executor.

    The executor refuses the call once its own clock passes `start_by_s`. `timeout_s` is how long
    to wait for the answer.
    """

    executor: str
    address: str
    call_id: str
    body: bytes
    start_by_s: float
    timeout_s: float


@record
class ProbeExecutor:
    """Ask an executor for its clock and the calls that it is running."""

    executor: str
    address: str


@record
class TaskStart:
    """A task to start on a worker, with its resource limits.

    The worker refuses it once its own clock passes `start_by_s`.
    """

    task: str
    attempt: int
    cores: float
    memory_mb: float
    accelerators: int
    start_by_s: float
    payload: dict[str, Any]


@record
class SyncWorker:
    """Exchange a batch with a worker: lease renewals, starts, stops and results to forget.

    The worker refuses the whole batch once its own clock passes `valid_until_s`. A value of 0 only
    reads the worker's report.
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
    """Wait until the worker's inventory differs from `sequence`, at most `timeout_s` seconds."""

    worker: str
    address: str
    sequence: int
    timeout_s: float


@record
class ListInstances:
    """Read the platform's list of instances."""


@record
class SetReadiness:
    """Set the result of the readiness check that the load balancer polls."""

    is_ready: bool


@record
class LogEvent:
    """Write a log line of key=value pairs."""

    event: str
    fields: dict[str, Any]


@record
class CountMetric:
    """Add to a counter, or add an observation in seconds to a histogram, under labels."""

    name: str
    value: float
    labels: dict[str, str]


@record
class ExitDaemon:
    """End the process: what it owned is handed over, or its drain deadline has passed."""
