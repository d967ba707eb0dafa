"""Plans of the soak test: which kinds of jobs and faults a seed draws, and how many."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Final

from soak import cuts, lapses, outages, owner_faults, restarts  # noqa: F401 - for their faults
from soak.faults import FAULTS, HAND_OVER_FAULTS, Fault
from soak.jobs import JOB_KINDS

PLAIN: Final = "plain"
FULL: Final = "full"
FAILURES: Final = "failures"
LAPSES: Final = "lapses"
RESTARTS: Final = "restarts"
MIXES: Final = (PLAIN, FULL, FAILURES, LAPSES, RESTARTS)
# Jobs that last would fill the executors at the rate of the others.
JOBS_PER_S: Final = {PLAIN: 6.0, FULL: 6.0, FAILURES: 6.0, LAPSES: 1.5, RESTARTS: 10.0}
"""Jobs of each mix submitted per second."""

FAULTS_PER_RUN: Final = {PLAIN: 5, FULL: 4, FAILURES: 2, LAPSES: 3, RESTARTS: 8}
"""Number of the faults of each mix, or of their series where there are series."""

SERIES_SIZES: Final = (1, 3)
"""Range of the number of faults in a series."""

SERIES_SPAN_S: Final = 1.5
"""Time within which the faults of a series begin."""

FAILURE_SHARE: Final = 0.03
RESTARTS_FAILURE_SHARE: Final = 0.2
HIGH_FAILURE_SHARE: Final = 0.33
"""Shares of the runs that fail by themselves: in most mixes, and in those of restarts and of
failures."""

FAILURE_SHARES: Final = {FAILURES: HIGH_FAILURE_SHARE, RESTARTS: RESTARTS_FAILURE_SHARE}
"""Shares of the mixes in which more runs fail."""

FINISH_TIMEOUT_S: Final = 45.0
FINISH_TIMEOUTS_S: Final = {RESTARTS: 100.0}
"""Time after the last fault within which all accepted jobs have to end, in most mixes and in those
in which long tasks have several attempts."""

ALL_FAULTS: Final[dict[str, Fault]] = {**FAULTS, **HAND_OVER_FAULTS}
MIX_FAULTS: Final = {
    PLAIN: sorted(FAULTS),
    FULL: sorted(ALL_FAULTS),
    # Between the read of an end and its acknowledgement, each of them may let a lease lapse.
    FAILURES: [
        "cut_executors",
        "cut_executors_from_owner",
        "cut_owner_and_executor",
        "kill_owner",
        "long_outage",
        "long_outage_cut",
        "pause_owner",
    ],
    LAPSES: [
        *3 * ("crash_after_lapse", "crash_after_lapses"),
        "cut_owner",
        "kill_owner",
        "pause_owner",
    ],
    RESTARTS: [
        *3 * ("crash_executor", "restart_and_cut"),
        "restart_and_cut_rack",
        "restart_behind_cut",
        "restart_kill_owner_and_cut",
    ],
}
MIX_KINDS: Final = {
    PLAIN: [PLAIN],
    FULL: sorted(JOB_KINDS),
    # With several attempts, jobs of long tasks would outlast the wait for their end.
    FAILURES: ["gangs", "plain", "repeated"],
    LAPSES: ["lasting", "long"],
    # Beside long runs, owners hear of the next process before it has ends that nobody has read.
    RESTARTS: ["lasting", "long", "plain", *3 * ("short",)],
}


class Plan:
    """What a seed plays: names of job kinds and faults, and how many of them.

    With `is_series`, faults begin in series, and overlap. The share `failure_share` of the runs
    fail by themselves. With `has_restarts`, calls to an executor that is down are served by its
    next process, and its entry follows late. All accepted jobs have to end within
    `finish_timeout_s` after the last fault.
    """

    __slots__ = (
        "failure_share",
        "fault_count",
        "faults",
        "finish_timeout_s",
        "has_restarts",
        "is_series",
        "job_kinds",
        "jobs_per_s",
    )

    def __init__(
        self,
        job_kinds: list[str],
        faults: list[str],
        fault_count: int,
        jobs_per_s: float,
        is_series: bool,
        failure_share: float = FAILURE_SHARE,
        has_restarts: bool = False,
        finish_timeout_s: float = FINISH_TIMEOUT_S,
    ) -> None:
        """Describe a plan; `fault_count` counts series, if there are any."""
        self.job_kinds = job_kinds
        self.faults = faults
        self.fault_count = fault_count
        self.jobs_per_s = jobs_per_s
        self.is_series = is_series
        self.failure_share = failure_share
        self.has_restarts = has_restarts
        self.finish_timeout_s = finish_timeout_s

    def draw_faults(self, random: Random, seconds: float) -> list[tuple[float, str]]:
        """Draw when each fault begins, and its name."""
        drawn: list[tuple[float, str]] = []
        for _ in range(self.fault_count if self.faults else 0):
            begins_at = random.uniform(0, seconds)
            size = random.randint(*SERIES_SIZES) if self.is_series else 1
            for _ in range(size):
                delay_s = random.uniform(0, SERIES_SPAN_S) if self.is_series else 0.0
                drawn.append((begins_at + delay_s, random.choice(self.faults)))
        return drawn


def make_plan(
    mix: str = PLAIN,
    faults: str = "",
    jobs: str = "",
    fault_count: int | None = None,
    jobs_per_s: float | None = None,
) -> Plan:
    """Return the plan of a mix; names separated by commas replace its faults and job kinds.

    Raises ValueError for a name that is not known.
    """
    _parse_names(mix, MIXES)
    fault_names = _parse_names(faults, ALL_FAULTS) or MIX_FAULTS[mix]
    kinds = _parse_names(jobs, JOB_KINDS) or MIX_KINDS[mix]
    is_series = mix != PLAIN
    if fault_count is None:
        fault_count = FAULTS_PER_RUN[mix]
    if jobs_per_s is None:
        jobs_per_s = JOBS_PER_S[mix]
    failure_share = FAILURE_SHARES.get(mix, FAILURE_SHARE)
    return Plan(
        kinds,
        fault_names,
        fault_count,
        jobs_per_s,
        is_series,
        failure_share,
        has_restarts=mix == RESTARTS,
        finish_timeout_s=FINISH_TIMEOUTS_S.get(mix, FINISH_TIMEOUT_S),
    )


def _parse_names(text: str, known: Iterable[str]) -> list[str]:
    """Return the names in a text; raises ValueError for one that is not known."""
    names = [name for name in text.split(",") if name]
    unknown = [name for name in names if name not in known]
    if unknown:
        raise ValueError(f"{', '.join(unknown)}: expected some of {', '.join(sorted(known))}")
    return names
