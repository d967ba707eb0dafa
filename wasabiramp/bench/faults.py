"""Benchmark of takeovers: time without service for some targets after a daemon is killed."""

from __future__ import annotations

import signal
import time
from typing import Any, Protocol

from wasabiramp.core.records import record

POLL_S = 0.05
TIMEOUT_S = 30.0
"""Time after which a trial stops waiting for the takeover."""


class KillableCell(Protocol):
    """Interface to a cell of processes that the benchmark needs."""

    def list_daemons(self) -> list[str]:
        """Return the names of the daemons."""

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the cell."""

    def wait_exit(self, name: str) -> int:
        """Wait until a process has ended."""

    def start_daemon(self, name: str) -> None:
        """Start a daemon again."""

    def status(self, daemon: str) -> dict[str, Any] | None:
        """Return a daemon's status, or None if it does not answer."""

    def wait_ready(self, targets: int) -> None:
        """Wait until all targets are served."""


@record
class FaultResult:
    """Percentiles of the seconds from a kill until every target is served again."""

    trials: int
    p50_s: float
    p99_s: float
    worst_s: float
    target_s: float


def run_faults(cell: KillableCell, trials: int) -> list[FaultResult]:
    """Kill one daemon after another and time the takeover of its targets."""
    names = cell.list_daemons()
    target_count = _count_ready(cell)
    gaps_s = []
    for trial in range(trials):
        name = names[trial % len(names)]
        cell.signal(name, signal.SIGKILL)
        start = time.monotonic()
        cell.wait_exit(name)
        while _count_ready(cell) < target_count and time.monotonic() < start + TIMEOUT_S:
            time.sleep(POLL_S)
        gaps_s.append(time.monotonic() - start)
        cell.start_daemon(name)
        cell.wait_ready(target_count)
    ordered = sorted(gaps_s)
    worst = ordered[-1]
    p99 = ordered[int(len(ordered) * 0.99)]
    return [
        FaultResult(
            trials, round(ordered[len(ordered) // 2], 2), round(p99, 2), round(worst, 2), 5.0
        )
    ]


def _count_ready(cell: KillableCell) -> int:
    """Return the number of targets that are ready at daemons with the right to act."""
    ready = 0
    for name in cell.list_daemons():
        status = cell.status(name)
        if status is None or not status["has_right"]:
            continue
        for item in (*status["executors"].values(), *status["workers"].values()):
            ready += item["owned"] and item["ready"]
    return ready
