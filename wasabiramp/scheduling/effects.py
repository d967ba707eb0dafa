"""Effects of the scheduler, as data that the owner's runtime carries out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartTask:
    """Start a run; `until_ms` is the end of the lease on the executor's clock."""

    executor: str
    address: str
    task: str
    run: int
    spec: str
    until_ms: int
    saved: str
    ticket: str


@dataclass(slots=True)
class StopTask:
    """Stop a run, or keep it from starting where it is not there yet."""

    executor: str
    address: str
    task: str
    run: int


@dataclass(slots=True)
class PaceTask:
    """Let a run work at a share of its speed, in percent."""

    executor: str
    address: str
    task: str
    run: int
    percent: int


@dataclass(slots=True)
class HoldExecutor:
    """Renew the lease of all runs of an executor, and read what runs and what ended."""

    executor: str
    address: str
    until_ms: int | None
    last_seen: int
    wait_s: float


@dataclass(slots=True)
class AskAdvice:
    """Ask which executors may run a step; `cost_s` is the adviser's time for it."""

    step: str
    executors: list[str]
    cost_s: float


@dataclass(slots=True)
class GiveUpOwnership:
    """An executor knows a newer owner; nothing may be sent any more."""

    reason: str


@dataclass(slots=True)
class NoteDecision:
    """A decision for the log and the metrics."""

    event: str
    fields: dict[str, object]


Effect = StartTask | StopTask | PaceTask | HoldExecutor | AskAdvice | GiveUpOwnership | NoteDecision
