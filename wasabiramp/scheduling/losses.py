"""Losses of contact with executors, and how often executors crash for which no task is to blame.

Executors that are lost in the same moment have a common cause: a rack without power, a link that is
cut, a fault of the platform. No single task explains that. So a crash is blamed on a task the less,
the greater the share of the executors that were lost at the same time and that no suspect of their
own explains.
"""

from __future__ import annotations

import math
from typing import Final

from wasabiramp.scheduling.model import Crash
from wasabiramp.scheduling.state import ExecutorState, Loss, SchedulerState

SAME_MOMENT_S: Final = 0.4
"""Time between two losses of contact within which they may have a common cause.

If it is known less exactly when contact was lost, losses in the same time may be a coincidence."""

MIN_OTHERS: Final = 0.9
"""Number of other executors lost in the same moment from which a loss counts as shared."""

MAX_UNCERTAIN_S: Final = 1.5
"""Longest time from a loss of contact until it is noticed: a hold that is not answered."""

PRIOR_CRASHES: Final = 1.0
PRIOR_EXPOSURE_S: Final = 100.0
"""Assumed crashes for which no task is to blame, and the executor-seconds in which they came."""

CRASH_RATE_WINDOW_S: Final = 60.0
"""Time constant with which earlier crashes are forgotten in the rate of crashes."""


def note_loss(state: SchedulerState, executor: ExecutorState, explained: float) -> None:
    """Record that contact with an executor was lost by now."""
    answered_at = max(executor.answered_at, state.now - MAX_UNCERTAIN_S)
    executor.loss = Loss(executor.id, answered_at, state.now, explained)
    forget_after_s = SAME_MOMENT_S + MAX_UNCERTAIN_S
    state.losses = [x for x in state.losses if state.now <= x.noticed_at + forget_after_s]
    state.losses.append(executor.loss)


def measure_coincidence(loss: Loss, other: Loss) -> float:
    """Return how likely contact with two executors was lost for one cause, from 0 to 1."""
    first, last = min(loss.noticed_at, other.noticed_at), max(loss.answered_at, other.answered_at)
    if last > first + SAME_MOMENT_S:
        return 0.0
    uncertain_s = sum(x.noticed_at - x.answered_at for x in (loss, other))
    return SAME_MOMENT_S / (SAME_MOMENT_S + uncertain_s)


def count_others(state: SchedulerState, loss: Loss) -> float:
    """Return how many others were lost in the same moment without a suspect of their own."""
    others = {
        other.executor: (1 - other.explained) * measure_coincidence(loss, other)
        for other in state.losses
        if other.executor != loss.executor
    }
    return sum(others.values())


def measure_crash_rate(state: SchedulerState) -> float:
    """Return the rate of crashes for which no task is to blame, per executor and second."""
    exposure_s = len(state.executors) * min(CRASH_RATE_WINDOW_S, state.now - state.created_at)
    return (PRIOR_CRASHES + _decay_unexplained(state)) / (PRIOR_EXPOSURE_S + exposure_s)


def _decay_unexplained(state: SchedulerState) -> float:
    """Return the recent crashes for which no task is to blame, older ones counting less."""
    passed_s = state.now - state.unexplained_at
    return state.unexplained_crashes * math.exp(-passed_s / CRASH_RATE_WINDOW_S)


def count_unexplained(state: SchedulerState, explained: float) -> None:
    """Count a crash as far as no task on the executor is to blame for it."""
    state.unexplained_crashes = _decay_unexplained(state) + 1 - explained
    state.unexplained_at = state.now


def withdraw_unexplained(state: SchedulerState, crashes: list[Crash]) -> None:
    """Count crashes as explained after all, as they are those of a task that is given up."""
    counted = sum(1 - crash.blame for crash in crashes)
    state.unexplained_crashes = max(0.0, _decay_unexplained(state) - counted)
    state.unexplained_at = state.now
