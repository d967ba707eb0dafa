"""Load profiles: kinds of jobs with their widths, demands and durations, and their cells."""

from __future__ import annotations

from dataclasses import dataclass
import math
from random import Random
from typing import Final

from wasabiramp.scheduling.model import AdvicePolicy, Queue, Resources

OBJECTIVE_ADVISED_EXECUTORS: Final = 30
"""Number of executors in the one adviser request that a job's objective includes."""


@dataclass(slots=True, frozen=True, eq=False)
class Kind:
    """A kind of jobs.

    `width`, `cpu` and `work_s` are lognormal distributions, each given as mean, relative standard
    deviation and upper limit: the tasks of a job, and the CPU (thousandths of a core) and actual
    duration of a task. `estimate_error` is the standard deviation of the logarithm of the estimate
    over the actual duration. `per_s` is the arrival rate and `good_share` the share of executors
    that the adviser recommends.
    """

    queue: Queue
    per_s: float
    width: tuple[float, float, int]
    cpu: tuple[float, float, int]
    memory_mb: int
    work_s: tuple[float, float, float]
    estimate_error: float
    good_share: float
    is_gang: bool = False
    max_per_executor: int = 0

    def draw_width(self, random: Random) -> int:
        """Draw the number of tasks of a job."""
        return max(1, round(_draw_lognormal(random, *self.width)))

    def draw_duration_s(self, random: Random) -> float:
        """Draw the actual duration of a task in seconds."""
        return _draw_lognormal(random, *self.work_s)

    def draw_demand(self, random: Random) -> Resources:
        """Draw the resource demand of a task."""
        return Resources(max(100, round(_draw_lognormal(random, *self.cpu))), self.memory_mb, 0)

    def get_objective_s(self, work_s: float) -> float:
        """Return the seconds after submission within which a job counts as in time."""
        advice = self.queue.advice
        advice_s = (
            advice.decide_s + OBJECTIVE_ADVISED_EXECUTORS * advice.each_s
            if advice is not None
            else 0.0
        )
        return self.queue.stretch * (work_s + advice_s) + self.queue.target_s


@dataclass(slots=True, frozen=True)
class Profile:
    """A cell and its load.

    `rack` is the number of executors per rack, `cpu` (thousandths of a core) and `memory_mb` the
    capacity of each executor, and `callers` the number of daemons that may ask the adviser at the
    same time.
    """

    name: str
    executors: int
    rack: int
    cpu: int
    memory_mb: int
    callers: int
    kinds: tuple[Kind, ...]


def _draw_lognormal(random: Random, mean: float, spread: float, limit: float) -> float:
    """Draw a lognormal value with a mean and relative standard deviation, capped at a limit."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(limit, random.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


def build_profile(name: str, executors: int, rack: int, callers: int, scale: float) -> Profile:
    """Return a profile of gangs, wide batch jobs and quotes.

    `scale` multiplies the rates of gangs and quotes and the widths of gangs and batch jobs; the
    rate of batch jobs grows with its square root.
    """
    gangs = Kind(
        Queue("gangs", "h", "/g/", "service", 1, 4, 2.2, 1.0, 3.0, AdvicePolicy(0.5, 0.007, 2.5)),
        per_s=0.75 * scale,
        width=(6.0 * scale, 0.8, round(40 * scale)),
        cpu=(18_000, 0.4, 30_000),
        memory_mb=18_000,
        work_s=(5.0, 0.5, 12.0),
        estimate_error=0.2,
        good_share=0.35,
        is_gang=True,
    )
    batch = Kind(
        Queue("batch", "h", "/b/", "service", 2, 4, 4.0, 3.0, 3.0, AdvicePolicy(0.1, 0.002, 2.5)),
        per_s=1.8 * math.sqrt(scale),
        width=(10.0 * scale, 0.8, round(50 * scale)),
        cpu=(5_000, 0.45, 15_000),
        memory_mb=9_000,
        work_s=(3.2, 0.5, 8.4),
        estimate_error=0.2,
        good_share=0.45,
        max_per_executor=2,
    )
    quotes = Kind(
        Queue("quotes", "h", "/q/", "service", 0, 2, 1.5, 0.25, 3.0, AdvicePolicy(0.01, 2e-4, 2.5)),
        per_s=14.0 * scale,
        width=(2.0, 0.8, 12),
        cpu=(6_000, 0.45, 18_000),
        memory_mb=8_000,
        work_s=(0.9, 0.5, 2.5),
        estimate_error=0.5,
        good_share=0.7,
    )
    return Profile(name, executors, rack, 64_000, 131_072, callers, (gangs, batch, quotes))


def build_large_profile() -> Profile:
    """Return a cell of 270 executors at 90 % load, with wide gangs, batch jobs and quotes."""
    gangs = Kind(
        Queue("gangs", "h", "/g/", "service", 1, 4, 2.2, 1.0, 3.0, AdvicePolicy(0.5, 0.007, 2.5)),
        per_s=4.7,
        width=(13.0, 0.6, 64),
        cpu=(18_000, 0.4, 30_000),
        memory_mb=68_000,
        work_s=(6.2, 0.5, 16.0),
        estimate_error=0.2,
        good_share=0.35,
        is_gang=True,
    )
    batch = Kind(
        Queue("batch", "h", "/b/", "service", 2, 4, 4.0, 3.0, 3.0, AdvicePolicy(0.18, 0.0026, 2.5)),
        per_s=6.1,
        width=(15.0, 0.6, 76),
        cpu=(11_000, 0.45, 33_000),
        memory_mb=41_000,
        work_s=(3.4, 0.5, 8.4),
        estimate_error=0.2,
        good_share=0.45,
    )
    quotes = Kind(
        Queue(
            "quotes", "h", "/q/", "service", 0, 2, 1.5, 0.25, 3.0, AdvicePolicy(0.026, 4e-4, 2.5)
        ),
        per_s=43.4,
        width=(3.1, 0.8, 19),
        cpu=(16_000, 0.45, 47_000),
        memory_mb=45_000,
        work_s=(1.0, 0.5, 2.5),
        estimate_error=0.5,
        good_share=0.7,
    )
    return Profile("large", 270, 8, 64_000, 262_144, 96, (gangs, batch, quotes))


def build_desk_profile(
    name: str, executors: int, callers: int, scale: tuple[float, float]
) -> Profile:
    """Return a cell of small executors with many short quotes and batch jobs that take seconds.

    `scale` is the factor on the rates, and that on the widths and demands.
    """
    rate, size = scale
    quotes = Kind(
        Queue(
            "quotes", "h", "/q/", "service", 0, 4, 1.5, 0.25, 3.0, AdvicePolicy(0.017, 2.4e-4, 2.5)
        ),
        per_s=13.0 * rate,
        width=(6.0 * size, 0.8, 36),
        cpu=(round(1_300 * size), 0.45, 7_000),
        memory_mb=2_300,
        work_s=(0.64, 0.5, 1.6),
        estimate_error=0.6,
        good_share=0.7,
    )
    batch = Kind(
        Queue("batch", "h", "/b/", "service", 2, 3, 2.2, 1.2, 3.0, AdvicePolicy(0.37, 0.0053, 2.5)),
        per_s=1.5 * rate,
        width=(8.0 * size, 0.6, 40),
        cpu=(round(2_700 * size), 0.45, 14_000),
        memory_mb=3_900,
        work_s=(6.0, 0.5, 15.0),
        estimate_error=0.3,
        good_share=0.35,
    )
    return Profile(name, executors, 8, 16_000, 32_768, callers, (quotes, batch))


PROFILES: Final = {
    "small": build_profile("small", executors=24, rack=6, callers=7, scale=1.0),
    "grown": build_profile("grown", executors=175, rack=8, callers=39, scale=2.7),
    "large": build_large_profile(),
    "desk": build_desk_profile("desk", 24, 6, (1.0, 1.0)),
    "desk-grown": build_desk_profile("desk-grown", 176, 33, (3.0, 1.65)),
}
