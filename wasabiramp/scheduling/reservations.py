"""Reservations: estimate where and when resources for a gang become free first."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from operator import itemgetter
from typing import Final

from wasabiramp.scheduling.model import Resources
from wasabiramp.scheduling.state import ExecutorState, Run, StepRun

MAX_TASKS_WITHOUT_DEMAND: Final = 1_000
"""Maximum number of tasks without any demand on one executor at a time."""

OVERDUE_END_S: Final = 0.3
"""Assumed remaining time of a run that has exceeded its estimate."""


@dataclass(slots=True, frozen=True)
class Reservation:
    """Reservation of an executor for a gang.

    `priority` is that of the gang's queue, and `starts_at` its start on the event loop's clock.
    """

    priority: int
    starts_at: float


def count_fitting_tasks(demand: Resources, free: Resources) -> int:
    """Return how many tasks with the given demand fit into the free resources."""
    count = MAX_TASKS_WITHOUT_DEMAND
    if demand.cpu:
        count = min(count, free.cpu // demand.cpu)
    if demand.memory_mb:
        count = min(count, free.memory_mb // demand.memory_mb)
    if demand.gpu:
        count = min(count, free.gpu // demand.gpu)
    return max(0, count)


def could_hold(step: StepRun, executors: Iterable[ExecutorState]) -> bool:
    """Return whether a gang, or one task of another step, fits on empty executors."""
    wanted = step.spec.count if step.spec.is_gang else 1
    members = 0
    for executor in executors:
        fitting = count_fitting_tasks(step.spec.demand, executor.entry.capacity)
        members += min(fitting, step.spec.max_per_executor or fitting)
        if members >= wanted:
            return True
    return False


def estimate_end(run: Run, now: float) -> float:
    """Return the estimated end of a run, based on its progress if known."""
    step = run.step
    if step is None or step.spec.is_lasting:
        return float("inf")
    left_s = step.spec.estimate_s * (1 - run.percent / 100)
    since = run.sent_at if run.sampled_at is None else run.sampled_at
    return max(since + left_s, now + OVERDUE_END_S)


def estimate_ends(executor: ExecutorState, now: float) -> list[tuple[float, Resources]]:
    """Return the estimated ends of an executor's runs and what they free, earliest first."""
    ends = [(estimate_end(run, now), run.demand) for run in executor.runs.values()]
    ends.sort(key=itemgetter(0))
    return ends


def find_earliest_start(
    now: float,
    step: StepRun,
    candidates: list[ExecutorState],
    free_by_executor: dict[str, Resources],
    get_run_ends: Callable[[ExecutorState], list[tuple[float, Resources]]],
) -> tuple[set[str], float]:
    """Return the executors on which a whole gang fits earliest, and the time at which it does.

    The set is empty if the gang does not fit even after all runs with a known end have ended.
    """
    demand = step.spec.demand
    reserved_ids: set[str] = set()
    members = 0
    gains: list[tuple[float, str, int]] = []
    for executor in candidates:
        free = free_by_executor[executor.id]
        fitting = count_fitting_tasks(demand, free)
        if fitting:
            gains.append((now, executor.id, fitting))
        for ends_at, freed in get_run_ends(executor):
            free = free.plus(freed)
            more = count_fitting_tasks(demand, free)
            if more > fitting:
                gains.append((ends_at, executor.id, more - fitting))
                fitting = more
    gains.sort()
    for starts_at, executor_id, gained in gains:
        if starts_at == float("inf"):
            break
        reserved_ids.add(executor_id)
        members += gained
        if members >= step.spec.count:
            return reserved_ids, starts_at
    return set(), now
