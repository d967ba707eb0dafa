"""Placement policies, which choose among the workers that have room for a task."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Final

from wasabiramp.core.records import record

SAMPLE_SIZE: Final = 8
"""Number of random workers that one sample scores instead of scoring all workers."""

MAX_SAMPLES: Final = 3
"""Number of samples without a suitable worker after which all workers are scored."""

EPSILON: Final = 1e-6
"""Tolerance for rounding errors in cores and megabytes, and the least divisor of a score."""


@record
class Need:
    """Resources that a task requires; memory is in megabytes."""

    cores: float
    memory_mb: float
    accelerators: int


@record
class Candidate:
    """A worker's free and total capacity; memory is in megabytes."""

    name: str
    cores: float
    memory_mb: float
    accelerators: int
    total_cores: float
    total_memory_mb: float
    rack: str


PlacementPolicy = Callable[[Need, Candidate], float]
PLACEMENT_POLICIES: Final[dict[str, PlacementPolicy]] = {}


def placement(name: str) -> Callable[[PlacementPolicy], PlacementPolicy]:
    """Register a placement policy under a name; the worker with the lowest score is chosen."""

    def register(policy: PlacementPolicy) -> PlacementPolicy:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement("balanced")
def score_balance(need: Need, candidate: Candidate) -> float:
    """Keep free cores and free memory in proportion, and prefer fuller workers.

    A worker without free cores cannot use its remaining memory, and the other way round.
    """
    cores = (candidate.cores - need.cores) / max(candidate.total_cores, EPSILON)
    memory = (candidate.memory_mb - need.memory_mb) / max(candidate.total_memory_mb, EPSILON)
    # Accelerators are scarce: tasks that need none avoid workers with free accelerators.
    accelerator_penalty = 0.5 if candidate.accelerators and not need.accelerators else 0.0
    return abs(cores - memory) + 0.5 * (cores + memory) + accelerator_penalty


@placement("best-fit")
def score_fit(need: Need, candidate: Candidate) -> float:
    """Prefer the worker with the least cores and memory left."""
    cores = (candidate.cores - need.cores) / max(candidate.total_cores, EPSILON)
    memory = (candidate.memory_mb - need.memory_mb) / max(candidate.total_memory_mb, EPSILON)
    return cores + memory


@placement("spread")
def score_spread(need: Need, candidate: Candidate) -> float:
    """Prefer the worker with the most cores and memory left."""
    return -score_fit(need, candidate)


def has_room(need: Need, candidate: Candidate) -> bool:
    """Return whether the worker has enough free capacity for the task."""
    return (
        need.cores <= candidate.cores + EPSILON
        and need.memory_mb <= candidate.memory_mb + EPSILON
        and need.accelerators <= candidate.accelerators
    )


def choose_worker(
    policy: str,
    need: Need,
    workers: Sequence[Any],
    get_candidate: Callable[[Any], Candidate],
    random: Random,
    is_eligible: Callable[[Any], bool] = lambda worker: True,
) -> Any | None:
    """Return the worker with the lowest score that has room for the task, or None.

    Among many workers, the best of a random sample is returned; all are scored only if MAX_SAMPLES
    samples have no suitable worker.

    An unknown policy name falls back to "balanced". `get_candidate` returns the capacity of a
    worker. Workers for which `is_eligible` returns false are skipped.
    """
    score = PLACEMENT_POLICIES.get(policy, score_balance)
    if len(workers) > 2 * SAMPLE_SIZE:
        for _ in range(MAX_SAMPLES):
            sample = random.choices(workers, k=SAMPLE_SIZE)
            chosen = choose_best(score, need, filter(is_eligible, sample), get_candidate)
            if chosen is not None:
                return chosen
    return choose_best(score, need, filter(is_eligible, workers), get_candidate)


def choose_best(
    score: PlacementPolicy,
    need: Need,
    workers: Iterable[Any],
    get_candidate: Callable[[Any], Candidate],
) -> Any | None:
    """Return the worker with the lowest score among those with room, or None."""
    best_worker = None
    best_score = 0.0
    for worker in workers:
        candidate = get_candidate(worker)
        if not has_room(need, candidate):
            continue
        worker_score = score(need, candidate)
        if best_worker is None or worker_score < best_score:
            best_worker, best_score = worker, worker_score
    return best_worker
