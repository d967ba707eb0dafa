"""Placement policies: which worker with room a task goes to."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Final

from wasabiramp.core.records import record

SAMPLE_SIZE: Final = 8
"""How many random workers are looked at before all of them are."""

MAX_SAMPLES: Final = 3
"""How many samples are drawn before all workers are looked at."""

EPSILON: Final = 1e-6


@record
class Need:
    """What a task needs; memory is in megabytes."""

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


Score = Callable[[Need, Candidate], float]
PLACEMENT_POLICIES: Final[dict[str, Score]] = {}


def placement(name: str) -> Callable[[Score], Score]:
    """Register a placement policy; the worker with the lowest score wins."""

    def register(policy: Score) -> Score:
        PLACEMENT_POLICIES[name] = policy
        return policy

    return register


@placement("balanced")
def score_balance(need: Need, candidate: Candidate) -> float:
    """Keep free cores and memory in proportion, and prefer fuller workers.

    A worker whose last cores go while memory is left over can take nothing more.
    """
    cores = (candidate.cores - need.cores) / max(candidate.total_cores, EPSILON)
    memory = (candidate.memory_mb - need.memory_mb) / max(candidate.total_memory_mb, EPSILON)
    # Accelerators are scarce: tasks that need none avoid workers that have some free.
    accelerator_penalty = 0.5 if candidate.accelerators and not need.accelerators else 0.0
    return abs(cores - memory) + 0.5 * (cores + memory) + accelerator_penalty


@placement("best-fit")
def score_fit(need: Need, candidate: Candidate) -> float:
    """Prefer the worker with the least left over."""
    cores = (candidate.cores - need.cores) / max(candidate.total_cores, EPSILON)
    memory = (candidate.memory_mb - need.memory_mb) / max(candidate.total_memory_mb, EPSILON)
    return cores + memory


@placement("spread")
def score_spread(need: Need, candidate: Candidate) -> float:
    """Prefer the emptiest worker."""
    return -score_fit(need, candidate)


def has_room(need: Need, candidate: Candidate) -> bool:
    """Tell whether the task fits into what is free."""
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
    """Return the best of a few random workers with room, else the best of all.

    An unknown policy name gets "balanced". Workers for which `may_take` is false are passed over.
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
    score: Score, need: Need, workers: Iterable[Any], get_candidate: Callable[[Any], Candidate]
) -> Any | None:
    """Return the worker with the lowest score among those with room."""
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
