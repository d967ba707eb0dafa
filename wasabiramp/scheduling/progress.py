"""Progress: how fast executors work, from how far their runs get between two reports."""

from __future__ import annotations

from statistics import median
from typing import Final

from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState

LOOK_POINTS: Final = 4.0
"""Points of a hundred that a run should have gained before it is judged: reports are whole."""

SLOW_PACE: Final = 0.35
"""Share of the expected speed below which an executor is slow; estimates are rarely off by more."""

SOUND_PACE: Final = 0.6
"""Share of the expected speed from which a slow executor counts as sound again."""

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


def note_progress(state: SchedulerState, run: Run, row: RunReport) -> float | None:
    """Return a run's speed as a share of the expected one, or None where it is too early to tell.

    Gangs work at the speed of their slowest member, lasting tasks report no progress, and what
    fills works at the pace that it is given.
    """
    step = run.step
    if step is None or step.spec.is_gang or step.spec.is_lasting or step.spec.estimate_s <= 0:
        return None
    if step.spec.fills:
        return None
    if run.looked_at is None:
        run.looked_at, run.percent = state.now, row.percent
        return None
    expected = (state.now - run.looked_at) / step.spec.estimate_s * 100
    if expected < LOOK_POINTS:
        return None
    pace = max(0.0, row.percent - run.percent) / expected
    run.looked_at, run.percent = state.now, row.percent
    return pace


def judge_pace(state: SchedulerState, executor: ExecutorState, paces: dict[Run, float]) -> None:
    """Learn an executor's speed, let a stuck one rest, and move what would take far too long."""
    if not paces:
        return
    pace = median(paces.values())
    if pace < SLOW_PACE:
        slowness = min(SLOWEST, 1 / max(pace, 1 / SLOWEST))
        if executor.slowness < slowness:
            executor.slowness = slowness
            state.note("executor_slow", executor=executor.id, pace=round(pace, 2), runs=len(paces))
    elif pace > SOUND_PACE and executor.slowness > 1 / SLOW_PACE:
        executor.slowness = 1 / pace
        state.note("executor_sound", executor=executor.id, pace=round(pace, 2), runs=len(paces))
    if pace < STUCK_PACE:
        executor.resting_until = max(executor.resting_until, state.now + STUCK_REST_S)
    if pace < SLOW_PACE and len(paces) > 1 or pace < STUCK_PACE:
        for run, own_pace in paces.items():
            _move_if_worth(state, run, own_pace)


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
    state.note("run_moved", task=run.task, run=run.number, executor=run.executor, pace=pace)
    stop_run(state, run)
