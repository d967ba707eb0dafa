"""Progress: how fast executors work, from how far their runs get between two reports."""

from __future__ import annotations

from statistics import median
from typing import Final

from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState

LOOK_POINTS: Final = 8.0
"""Points of a hundred that a run should have gained before it is judged: reports are whole."""

LOOK_S: Final = 0.7
"""Least time between two looks at a run, which may begin by restoring what it saved."""

SLOW_PACE: Final = 0.35
"""Share of the expected speed below which an executor is slow; estimates are rarely off by more."""

SOUND_PACE: Final = 0.6
"""Share of the expected speed from which a slow executor counts as sound again."""

LONE_PACE: Final = 0.12
"""The same where all runs are of one step: their estimates are wrong together."""

STUCK_PACE: Final = 0.05
"""Share of the expected speed below which nothing moves at all."""

STUCK_REST_S: Final = 1.3
"""Pause of an executor on which nothing moves: a little above the time between two reports."""

SLOWEST: Final = 6.0
"""Largest factor of slowness that placement reckons with."""

MOVE_GAIN: Final = 1.5
"""A run is moved where it would take this many times as long as elsewhere."""

MOVE_COST_S: Final = 0.6
"""Time to stop a run, to learn of it and to start it again."""

MOVES_A_TASK: Final = 2
"""Moves of one task, so that a wrong estimate does not move it again and again."""


def note_progress(
    state: SchedulerState, executor: ExecutorState, run: Run, row: RunReport
) -> float | None:
    """Return a run's speed as a share of the expected one, or None where it is too early to tell.

    Time is the executor's own, as reports are read late where this process has much to do.

    Gangs work at the speed of their slowest member, lasting tasks report no progress, and what
    fills works at the pace that it is given.
    """
    step = run.step
    if step is None or step.spec.is_gang or step.spec.is_lasting or step.spec.estimate_s <= 0:
        return None
    if step.spec.fills:
        return None
    clock_ms = executor.clock_ms or 0
    passed_s = (clock_ms - run.sampled_clock_ms) / 1000
    expected = passed_s / step.spec.estimate_s * 100
    is_first = run.sampled_at is None
    if not is_first and (expected < LOOK_POINTS or passed_s < LOOK_S):
        return None
    pace = max(0.0, row.percent - run.percent) / expected if not is_first else None
    run.sampled_at, run.sampled_clock_ms, run.percent = state.now, clock_ms, row.percent
    return pace


def _find_pace(paces: dict[Run, float]) -> tuple[float, bool]:
    """Return the speed over all steps alike, and whether it is surely that of a slow executor."""
    by_step: dict[str, list[float]] = {}
    for run, pace in paces.items():
        by_step.setdefault(run.task.rpartition(".")[0], []).append(pace)
    pace = median(median(values) for values in by_step.values())
    return pace, pace < (SLOW_PACE if len(by_step) > 1 else LONE_PACE)


def judge_pace(state: SchedulerState, executor: ExecutorState, paces: dict[Run, float]) -> None:
    """Learn an executor's speed, let a stuck one rest, and move what would take far too long."""
    if not paces:
        return
    pace, is_slow = _find_pace(paces)
    if is_slow:
        if executor.slowness < 1 / SLOW_PACE:
            state.log_decision(
                "executor_slow", executor=executor.id, pace=round(pace, 2), runs=len(paces)
            )
        executor.slowness = max(executor.slowness, min(SLOWEST, 1 / max(pace, 1 / SLOWEST)))
        for run, own_pace in paces.items():
            _move_if_worth(state, run, own_pace)
    elif pace > SOUND_PACE and executor.slowness > 1 / SLOW_PACE:
        executor.slowness = 1 / pace
        state.log_decision(
            "executor_sound", executor=executor.id, pace=round(pace, 2), runs=len(paces)
        )
    if pace < STUCK_PACE:
        executor.cooldown_until = max(executor.cooldown_until, state.now + STUCK_REST_S)


def _move_if_worth(state: SchedulerState, run: Run, pace: float) -> None:
    """Stop a run that would end much sooner on a sound executor."""
    step = run.step
    if step is None or run.wants_stop or pace >= SLOW_PACE:
        return
    task = step.tasks[run.index]
    left = 1 - run.percent / 100
    here_s = left * step.spec.estimate_s / max(pace, STUCK_PACE)
    elsewhere_s = step.spec.estimate_s * (left if step.spec.saves_progress else 1.0) + MOVE_COST_S
    if task.moves >= MOVES_A_TASK or here_s < MOVE_GAIN * elsewhere_s:
        return
    task.moves += 1
    state.log_decision("run_moved", task=run.task, run=run.number, executor=run.executor, pace=pace)
    stop_run(state, run)
