"""Isolation: keep queues whose tasks have crashed executors apart from the work of other queues."""

from __future__ import annotations

from collections import Counter
import math
from typing import Final

from wasabiramp.policy.switches import switchable
from wasabiramp.scheduling.state import ExecutorState, SchedulerState

RISK_WINDOW_S: Final = 60.0
"""Time constant with which crashes by the tasks of a queue are forgotten."""

MIN_RISK: Final = 0.5
"""Recent crashes from which the tasks of a queue are kept apart."""

PROBATION_S: Final = 1.0
"""Age up to which a run of such a queue keeps other work away from its executor."""

FULL_EXPOSURE_RUNS: Final = 4
"""Number of runs of other queues on an executor from which its exposure counts fully."""


def add_risk(state: SchedulerState, queue: str, blame: float) -> None:
    """Count a crash that a task of a queue has probably caused."""
    state.risk_by_queue[queue] = (get_risk(state, queue) + blame, state.now)


def withdraw_risk(state: SchedulerState, queue: str, blame: float, counted_at: float) -> None:
    """Withdraw what is left of a crash that was counted for a queue."""
    left = _decay(state, blame, counted_at)
    state.risk_by_queue[queue] = (max(0.0, get_risk(state, queue) - left), state.now)


def get_risk(state: SchedulerState, queue: str) -> float:
    """Return the recent crashes by tasks of a queue, older ones counting less."""
    risk, counted_at = state.risk_by_queue.get(queue, (0.0, state.now))
    return _decay(state, risk, counted_at)


def _decay(state: SchedulerState, risk: float, counted_at: float) -> float:
    """Return what is left by now of a risk that was counted at a time."""
    return risk * math.exp((counted_at - state.now) / RISK_WINDOW_S)


class Exposure:
    """What a crash would cost on each executor, during one placement pass.

    It is measured only while a queue is risky, which the tasks of most cells never are.
    """

    __slots__ = ("_is_on_probation", "_risky", "_runs")

    def __init__(self, state: SchedulerState, usable: list[ExecutorState]) -> None:
        """Count the runs of each queue on each executor, if any queue is risky."""
        self._risky = find_risky_queues(state)
        self._runs: dict[str, Counter[str]] = {}
        self._is_on_probation: set[str] = set()
        for executor in usable if self._risky else ():
            counts = self._runs[executor.id] = Counter()
            for run in executor.runs.values():
                queue = run.step.job.definition.queue.name if run.step is not None else ""
                counts[queue] += 1
                if queue in self._risky and state.now < run.sent_at + PROBATION_S:
                    self._is_on_probation.add(executor.id)

    def measure(self, executor: ExecutorState, queue: str) -> float:
        """Return how bad it is to start a task of a queue on an executor, from 0 to 1.

        A task of a risky queue endangers the runs of other queues, and is endangered by none.
        """
        if not self._risky:
            return 0.0
        if queue not in self._risky:
            return float(executor.id in self._is_on_probation)
        counts = self._runs[executor.id]
        return min(1.0, (counts.total() - counts[queue]) / FULL_EXPOSURE_RUNS)


@switchable(
    "risky-queues",
    "keep queues whose tasks have crashed executors apart",
    plain=lambda state: frozenset(),
)
def find_risky_queues(state: SchedulerState) -> frozenset[str]:
    """Return the queues whose tasks have crashed executors lately."""
    return frozenset(name for name in state.risk_by_queue if get_risk(state, name) >= MIN_RISK)
