"""Benchmark of an idle cell: each daemon's processor time, memory, peer traffic, store calls."""

from __future__ import annotations

import json
import time
from typing import Any, Protocol
import urllib.request

import psutil

from wasabiramp.core.records import record


class MeasuredCell(Protocol):
    """Interface to a cell of processes that the benchmark needs."""

    processes: dict[str, Any]
    addresses: dict[str, str]

    def list_daemons(self) -> list[str]:
        """Return the names of the daemons."""

    def status(self, daemon: str) -> dict[str, Any] | None:
        """Return a daemon's status, or None if it does not answer."""


@record
class ControlResult:
    """Mean cost per daemon of an idle cell, beside its targets.

    Processor time is in percent of one core and memory in megabytes. Store calls are those of the
    whole cell per second, by kind.
    """

    daemons: int
    targets: int
    core_percent: float
    core_target: float
    memory_mb: float
    memory_target: float
    peer_bytes_per_s: float
    bytes_target: float
    store_calls_per_s: dict[str, float]


def _get_store_calls(cell: MeasuredCell) -> dict[str, int]:
    """Return the number of calls that the store has received, by kind."""
    with urllib.request.urlopen(f"http://{cell.addresses['store']}/calls", timeout=5) as answer:
        return json.loads(answer.read())


def _sum_peer_bytes(cell: MeasuredCell) -> float:
    """Return the bytes that all daemons have sent to peers."""
    total = 0.0
    for name in cell.list_daemons():
        status = cell.status(name)
        total += status["gauges"]["peer_bytes_sent"] if status else 0
    return total


def run_control(cell: MeasuredCell, seconds: float) -> list[ControlResult]:
    """Measure the cost of an idle cell over a number of seconds."""
    names = cell.list_daemons()
    processes = [psutil.Process(cell.processes[name].pid) for name in names]
    calls_before, bytes_before = _get_store_calls(cell), _sum_peer_bytes(cell)
    cpu_before_s = [sum(process.cpu_times()[:2]) for process in processes]
    time.sleep(seconds)
    cpu_s = sum(
        sum(process.cpu_times()[:2]) - start_s
        for process, start_s in zip(processes, cpu_before_s, strict=True)
    )
    calls_after = _get_store_calls(cell)
    count = len(names)
    memory = sum(process.memory_info().rss for process in processes) / count / 1e6
    return [
        ControlResult(
            count,
            sum(name.startswith(("executor", "worker")) for name in cell.addresses),
            round(100 * cpu_s / seconds / count, 2),
            3.1,
            round(memory, 1),
            256,
            round((_sum_peer_bytes(cell) - bytes_before) / seconds / count),
            4096,
            {
                kind: round((calls_after[kind] - calls_before.get(kind, 0)) / seconds, 2)
                for kind in sorted(calls_after)
            },
        )
    ]
