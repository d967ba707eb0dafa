"""Progress: measure executor speed from the progress of runs between two reports."""

from __future__ import annotations

from statistics import median
from typing import Final

from wasabiramp.policy.switches import do_nothing, switchable
from wasabiramp.scheduling.model import RunReport
from wasabiramp.scheduling.orders import stop_run
from wasabiramp.scheduling.state import ExecutorState, Run, SchedulerState

MIN_SAMPLE_POINTS: Final = 8.0
"""Minimum expected progress between two speed samples, in percentage points.

Reports are rounded to whole percents."""

MIN_SAMPLE_S: Final = 0.7
"""Minimum time between two speed samples, as a run may start by restoring its saved state."""

SLOW_SPEED_SHARE: Final = 0.35
"""Share of the expected speed below which an executor is slow.

Estimates are rarely wrong by more than that."""

NORMAL_SPEED_SHARE: Final = 0.6
"""Share of the expected speed above which a slow executor counts as normal again."""

SINGLE_STEP_SLOW_SPEED_SHARE: Final = 0.12
"""Replaces SLOW_SPEED_SHARE if all runs belong to one step, as its estimate may be wrong."""

STUCK_SPEED_SHARE: Final = 0.05
"""Share of the expected speed below which an executor is stuck."""

STUCK_COOLDOWN_S: Final = 1.3
"""Cooldown of a stuck executor; slightly longer than the time between two reports."""

MAX_SLOWNESS_FACTOR: Final = 6.0
"""Maximum slowness factor that placement uses."""

MIN_MOVE_GAIN_FACTOR: Final = 1.5
"""A run is moved if it would take this many times as long as on another executor."""

MOVE_COST_S: Final = 0.6
"""Time to stop a run, receive the confirmation and start it again."""

MAX_MOVES_PER_TASK: Final = 2
"""Maximum moves of one task, so that a wrong estimate does not move it repeatedly."""


def measure_speed(
    state: SchedulerState, executor: ExecutorState, run: Run, run_report: RunReport
) -> float | None:
    """Return the speed of a run as a share of the expected one, or None if it is not known yet.

    Time is measured on the executor's clock, as a busy owner reads reports late. Gangs are ignored,
    as they run at the speed of their slowest member, and so are lasting tasks, which report no
    progress, and tasks that fill, which run at an ordered pace.
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
    if not is_first and (expected < MIN_SAMPLE_POINTS or passed_s < MIN_SAMPLE_S):
        return None
    speed = max(0.0, run_report.percent - run.percent) / expected if not is_first else None
    run.sampled_at, run.sampled_clock_ms, run.percent = state.now, clock_ms, run_report.percent
    return speed


def _aggregate_speed(speeds: dict[Run, float]) -> tuple[float, bool]:
    """Return the median speed over steps, and whether it shows that the executor is slow."""
    by_step: dict[str, list[float]] = {}
    for run, speed in speeds.items():
        by_step.setdefault(run.task.rpartition(".")[0], []).append(speed)
    speed = median(median(values) for values in by_step.values())
    return speed, speed < (SLOW_SPEED_SHARE if len(by_step) > 1 else SINGLE_STEP_SLOW_SPEED_SHARE)


@switchable("slowness", "measure slow and stuck executors by progress", plain=do_nothing)
def update_slowness(
    state: SchedulerState, executor: ExecutorState, speeds: dict[Run, float]
) -> None:
    """Update an executor's slowness, start a cooldown if it is stuck, and move its slow runs."""
    if not speeds:
        return
    speed, is_slow = _aggregate_speed(speeds)
    if is_slow:
        if executor.slowness < 1 / SLOW_SPEED_SHARE:
            state.log_decision(
                "executor_slow", executor=executor.id, pace=round(speed, 2), runs=len(speeds)
            )
        executor.slowness = max(
            executor.slowness, min(MAX_SLOWNESS_FACTOR, 1 / max(speed, 1 / MAX_SLOWNESS_FACTOR))
        )
        for run, own_speed in speeds.items():
            _move_if_faster_elsewhere(state, run, own_speed)
    elif speed > NORMAL_SPEED_SHARE and executor.slowness > 1 / SLOW_SPEED_SHARE:
        executor.slowness = 1 / speed
        state.log_decision(
            "executor_sound", executor=executor.id, pace=round(speed, 2), runs=len(speeds)
        )
    if speed < STUCK_SPEED_SHARE:
        executor.cooldown_until = max(executor.cooldown_until, state.now + STUCK_COOLDOWN_S)


@switchable("moves", "move runs from slow to faster executors", plain=do_nothing)
def _move_if_faster_elsewhere(state: SchedulerState, run: Run, speed: float) -> None:
    """Stop a run that would end much sooner on an executor of normal speed."""
    step = run.step
    if step is None or run.wants_stop or speed >= SLOW_SPEED_SHARE:
        return
    task = step.tasks[run.index]
    left_share = 1 - run.percent / 100
    here_s = left_share * step.spec.estimate_s / max(speed, STUCK_SPEED_SHARE)
    elsewhere_s = (
        step.spec.estimate_s * (left_share if step.spec.saves_progress else 1.0) + MOVE_COST_S
    )
    if task.moves >= MAX_MOVES_PER_TASK or here_s < MIN_MOVE_GAIN_FACTOR * elsewhere_s:
        return
    task.moves += 1
    state.log_decision(
        "run_moved", task=run.task, run=run.number, executor=run.executor, pace=speed
    )
    stop_run(state, run)
