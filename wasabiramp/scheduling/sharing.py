"""Sharing: throttle filling tasks if serving tasks on the same executor miss their target.

A serving task has a response time target; a filling task uses the CPU that others leave idle.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.effects import PaceTask
from wasabiramp.scheduling.events import STARTED, PaceAnswered
from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.runs import give_up_ownership, is_fenced_by_other
from wasabiramp.scheduling.state import FULL_PACE_PERCENT, ExecutorState, Run, SchedulerState

PACE_DECREASE_FACTOR: Final = 0.3
"""Factor on the pace for each report above the target, so that two reports suspend the task."""

MIN_PACE_PERCENT: Final = 10
"""A lower pace becomes 0, which suspends the task."""

PACE_INCREASE_POINTS: Final = 15
"""Points added to the pace per report well below the target.

The pace rises more slowly than it falls, so that it settles."""

PACE_INCREASE_BELOW_SHARE: Final = 0.7
"""Share of the response time target below which the pace is increased."""

SHARED_HOLD_WAIT_S: Final = 0.4
"""Wait time of a hold for a shared executor, whose response times cover half a second."""


def is_shared(executor: ExecutorState) -> bool:
    """Return whether serving tasks and filling tasks share an executor."""
    steps = [run.step.spec for run in executor.runs.values() if run.step is not None]
    return any(step.fills for step in steps) and any(step.target_s > 0 for step in steps)


@switchable("paces", "slow filling tasks down beside serving ones", plain=do_nothing)
def adjust_paces(
    state: SchedulerState, executor: ExecutorState, run_reports: dict[Run, RunReport]
) -> None:
    """Slow down filling tasks above a serving task's target, and speed them up well below it."""
    filling = [run for run in run_reports if run.step is not None and run.step.spec.fills]
    if not filling:
        return
    target_ratio = max(
        (_get_target_ratio(run, run_report) for run, run_report in run_reports.items()), default=0.0
    )
    for run in filling:
        pace = _choose_pace(run, target_ratio)
        if pace != run.pace and not run.wants_stop:
            _send_pace(state, executor, run, pace, target_ratio)


def _get_target_ratio(run: Run, run_report: RunReport) -> float:
    """Return a serving task's response time as a share of its target, or 0 for other tasks."""
    if run.step is None or run.step.spec.target_s <= 0:
        return 0.0
    return run_report.figure / 1000 / run.step.spec.target_s


def _choose_pace(run: Run, target_ratio: float) -> int:
    """Return the new pace of a filling task.

    The current pace is unknown after a takeover or a failed order; full pace is assumed then.
    """
    current = FULL_PACE_PERCENT if run.pace is None else run.pace
    if target_ratio > 1.0:
        slower = int(current * PACE_DECREASE_FACTOR)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if target_ratio < PACE_INCREASE_BELOW_SHARE:
        return (
            FULL_PACE_PERCENT
            if run.pace is None
            else min(FULL_PACE_PERCENT, current + PACE_INCREASE_POINTS)
        )
    return current


def _send_pace(
    state: SchedulerState, executor: ExecutorState, run: Run, pace: int, target_ratio: float
) -> None:
    """Order a pace; an unanswered order is repeated after the next report."""
    run.pace = pace
    address, epoch = executor.entry.address, executor.calls.epoch
    state.effects.append(PaceTask(executor.id, address, run.task, run.number, pace, epoch))
    state.log_decision(
        "run_paced", task=run.task, run=run.number, pace=pace, strain=round(target_ratio, 2)
    )


@handles(PaceAnswered)
def handle_pace_answer(state: SchedulerState, event: PaceAnswered) -> None:
    """Reset a pace whose order failed, so that the next report orders one again."""
    if is_fenced_by_other(state, event):
        give_up_ownership(state, f"{event.executor} refused a pace as fenced")
        return
    run = state.find_run(event.executor, event.task, event.run)
    if run is not None and event.outcome != STARTED:
        run.pace = None
