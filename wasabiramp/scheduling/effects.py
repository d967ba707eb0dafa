"""Effects of the scheduler, as data that the owner's runtime executes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartTask:
    """Start a run.

    `spec` is the caller's description of the job, and `saved` the state from which the run resumes,
    if any. `until_ms` is the lease expiry on the executor's clock. `fence_epoch` is as in
    `scheduling/processes.py`, here and in the other calls.
    """

    executor: str
    address: str
    task: str
    run: int
    spec: str
    until_ms: int
    saved: str
    ticket: str
    fence_epoch: int = 0


@dataclass(slots=True)
class StopTask:
    """Stop a run, or prevent it from starting if its start has not arrived yet."""

    executor: str
    address: str
    task: str
    run: int
    fence_epoch: int = 0


@dataclass(slots=True)
class PaceTask:
    """Limit a run to a percentage of its full speed."""

    executor: str
    address: str
    task: str
    run: int
    percent: int
    fence_epoch: int = 0


@dataclass(slots=True)
class HoldExecutor:
    """Send a hold: long-poll an executor for running and ended runs, and renew its lease.

    The lease is not renewed if `until_ms` is None. Ends up to `last_seen` are acknowledged, and the
    executor waits up to `wait_s` for a new one.
    """

    executor: str
    address: str
    until_ms: int | None
    last_seen: int
    wait_s: float
    fence_epoch: int = 0


@dataclass(slots=True)
class AskAdvice:
    """Ask the adviser which executors may run a step; `cost_s` is its estimated duration."""

    step: str
    executors: list[str]
    cost_s: float


@dataclass(slots=True)
class GiveUpOwnership:
    """Give up ownership: an executor has seen a newer owner, so no more orders may be sent."""

    reason: str


@dataclass(slots=True)
class NoteDecision:
    """Log a decision, which counts `count` times in the metrics."""

    event: str
    fields: dict[str, object]
    count: int = 1


Effect = StartTask | StopTask | PaceTask | HoldExecutor | AskAdvice | GiveUpOwnership | NoteDecision
