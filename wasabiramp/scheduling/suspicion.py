"""Suspicion: what the crashes of executors tell about a task that ran on them.

A deadly task crashes each executor that starts it, at about the same age of its runs. A sound task
is on an executor when that crashes for another reason, at any age. Each recorded crash has a window
of ages in which the run was when its executor crashed. The suspicion of a task is the probability
that it is deadly, by Bayes' rule, over all ages at which it may crash its executors:

- a run that was still alive at an age shows that its task does not crash executors before that;
- a crash whose window has the age is certain if the task is deadly. It is as likely otherwise as
  its other possible causes are: the usual rate of crashes, other executors that were lost at the
  same moment (`scheduling/losses.py`), and other suspicious runs on the executor;
- a crash at an earlier age had another cause.

So crashes at ages that differ, and those in a wave of crashes, hardly count against a task. A
suspicion decides which tasks are tried apart. It convicts none: that takes crashes of several
executors that were witnessed or inferred (`is_convicting`, `scheduling/crash_evidence.py`).
"""

from __future__ import annotations

from collections.abc import Iterable
import math
from typing import Final

from wasabiramp.scheduling.model import Crash

BASE_SUSPICION: Final = 0.01
"""Probability that a task without a record of crashes is deadly."""

AGE_DENSITY: Final = 0.1
"""Probability that a deadly task crashes its executor at a certain age, per natural logarithm of
the age: ages from milliseconds to minutes are about ten such units."""

MIN_AGE_S: Final = 0.05
"""Resolution of the age of a run at a crash: runs that are younger are equally suspect."""

AGE_SPREAD: Final = 1.1
"""Factor by which the ages of a deadly task at its crashes may differ from their mean."""

UNSTEADY_SHARE: Final = 0.03
"""Share of the deadly tasks that crash each executor at another age."""

MIN_SUSPICION: Final = 0.05
"""Suspicion from which a task runs apart from other work."""

LEAST_SUSPICION: Final = ((2, 0.98), (3, 0.85))
"""Numbers of witnessed crashes, and the suspicion from which a task is given up by them."""

LEAST_SUSPICION_IF_INFERRED: Final = ((2, 0.99), (3, 0.95))
"""The same for crashes of which some are inferred only."""

UNCERTAIN_WEIGHT: Final = 0.5
"""Weight of a crash if the start was not answered, as the executor may have been gone before it."""

MAX_LIKELIHOOD_RATIO: Final = 1e100
"""Greatest likelihood ratio of the crashes of a task, of which there may be many."""

MIN_SHOWN_CRASHES: Final = min(least for least, _needed in LEAST_SUSPICION)
"""Number of witnessed or inferred crashes below which nothing is given up."""

MIN_EXECUTORS: Final = 2
MAX_REPEATED_CRASHES: Final = 3
"""Number of different executors that must have been lost under a task that is given up, and number
of witnessed crashes of one from which that is enough, as only it may be able to run the task."""

MAX_BLAME: Final = 0.9999
MIN_BLAME: Final = 0.0001
"""Range of the recorded blame for a crash."""


def widen_window(survived_s: float, age_s: float) -> tuple[float, float]:
    """Return the ages at which a deadly task may crash, if one run crashed between these ages."""
    youngest_s = min(survived_s, age_s) / AGE_SPREAD - MIN_AGE_S
    return max(0.0, youngest_s), max(MIN_AGE_S, age_s) * AGE_SPREAD


def measure_mass(youngest_s: float, oldest_s: float) -> float:
    """Return the probability that a deadly task crashes its executor between two ages."""
    return max(0.0, _accumulate_mass(oldest_s) - _accumulate_mass(youngest_s))


def _accumulate_mass(age_s: float) -> float:
    """Return the probability that a deadly task crashes its executor up to an age."""
    if age_s <= MIN_AGE_S:
        return AGE_DENSITY * age_s / MIN_AGE_S
    return min(1.0, AGE_DENSITY * (1 + math.log(age_s / MIN_AGE_S)))


def calculate_blame(mass: float, chance: float) -> float:
    """Return the probability that a task without an earlier record caused a crash.

    `mass` is the probability that a deadly task crashes an executor within the window of the crash,
    and `chance` the probability that the executor crashed in that time for another reason.
    """
    odds = BASE_SUSPICION * mass
    return min(MAX_BLAME, max(MIN_BLAME, odds / (odds + max(chance, 1e-9))))


def _restore_chance(crash: Crash) -> float:
    """Return the probability of a crash for other reasons, from the recorded blame."""
    blame = min(MAX_BLAME, max(MIN_BLAME, crash.blame))
    mass = measure_mass(*widen_window(crash.survived_s, crash.age_s))
    return max(BASE_SUSPICION * mass * (1 - blame) / blame, 1e-12)


def measure_suspicion(crashes: list[Crash]) -> float:
    """Return the probability that a task is deadly, from the crashes that are recorded for it.

    For example, two lone crashes at the age of 15 ms make it nearly certain, and one at 15 ms and
    one at 800 ms leave about what the second one tells by itself.
    """
    if not crashes:
        return BASE_SUSPICION
    masses = [measure_mass(*widen_window(crash.survived_s, crash.age_s)) for crash in crashes]
    chances = [_restore_chance(crash) for crash in crashes]
    longest_s = max(widen_window(crash.survived_s, crash.age_s)[1] for crash in crashes)
    steady = 1 - _accumulate_mass(longest_s) + sum(ratio for _age, ratio in _weigh_ages(crashes))
    unsteady = _multiply(mass / chance for mass, chance in zip(masses, chances, strict=True))
    ratio = (1 - UNSTEADY_SHARE) * steady + UNSTEADY_SHARE * unsteady
    odds = ratio * BASE_SUSPICION / (1 - BASE_SUSPICION)
    return odds / (1 + odds)


def _weigh_ages(crashes: list[Crash]) -> list[tuple[float, float]]:
    """Return ages at which a task may crash its executors, each with its likelihood.

    The likelihood is that of the crashes and of an age from there up to the next one, relative to
    the likelihood of the crashes for a sound task.
    """
    windows = [widen_window(crash.survived_s, crash.age_s) for crash in crashes]
    chances = [_restore_chance(crash) for crash in crashes]
    survived_s = max((low for low, _high in windows), default=0.0)
    edges = sorted({edge for window in windows for edge in window if edge >= survived_s})
    rows = []
    for youngest_s, oldest_s in zip(edges, edges[1:], strict=False):
        ratio = _multiply(
            1 / chance
            for (low, high), chance in zip(windows, chances, strict=True)
            if low <= youngest_s and oldest_s <= high
        )
        rows.append((youngest_s, measure_mass(youngest_s, oldest_s) * ratio))
    return rows


def _multiply(ratios: Iterable[float]) -> float:
    """Return the product of likelihood ratios, which is limited, as no odds may be infinite."""
    product = 1.0
    for ratio in ratios:
        product = min(MAX_LIKELIHOOD_RATIO, product * ratio)
    return product


def is_convicting(crashes: list[Crash]) -> bool:
    """Return whether the recorded crashes of a task are evidence enough to give it up.

    Two processes must certainly have crashed while a run of the task was on them; losses of contact
    do not count, however many there are. They only show that it is not one executor that has a
    fault of its own. That one is enough if it crashed more often, as only it may be able to run the
    task. Crashes that are inferred count as well, but take a higher suspicion.
    """
    proven = [crash for crash in crashes if crash.is_proven]
    witnessed = [crash for crash in crashes if crash.is_witnessed]
    shown = [crash for crash in crashes if crash.is_witnessed or crash.is_inferred]
    if len(shown) < MIN_SHOWN_CRASHES:
        return False
    suspicion = measure_suspicion(proven)
    return _is_enough(proven, witnessed, suspicion, LEAST_SUSPICION) or _is_enough(
        shown, shown, suspicion, LEAST_SUSPICION_IF_INFERRED
    )


def _is_enough(
    lost: list[Crash],
    shown: list[Crash],
    suspicion: float,
    least_suspicion: tuple[tuple[int, float], ...],
) -> bool:
    """Return whether crashes that were shown, beside all losses, are evidence enough."""
    executors = {crash.executor for crash in lost}
    if len(executors) < MIN_EXECUTORS and len(shown) < MAX_REPEATED_CRASHES:
        return False
    return any(len(shown) >= least and suspicion >= needed for least, needed in least_suspicion)
