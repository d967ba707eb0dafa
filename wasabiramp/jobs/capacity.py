"""Free capacity of owned workers, and selection of a worker for a task."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.dispatch.load import is_listed_live
from wasabiramp.jobs.state import Worker
from wasabiramp.membership.rights import has_right
from wasabiramp.peer.messages import Placement
from wasabiramp.policy.placement import Candidate, Need, choose_worker

MISS_CACHE_S: Final = 0.5
"""Time for which a task size without a suitable worker is not searched for again."""

FREE_CACHE_S: Final = 0.05
"""Time for which the sum of free capacity is cached."""


def can_accept_tasks(context: Context, worker: Worker) -> bool:
    """Return whether the worker may get new tasks, regardless of its free capacity."""
    if not worker.is_owned or not worker.is_ready or worker.is_lapsed:
        return False
    return context.now >= worker.blocked_until and is_listed_live(context, worker.instance.name)


def get_worker_candidate(worker: Worker) -> Candidate:
    """Return the free and total capacity of the worker for placement policies."""
    instance = worker.instance
    return Candidate(
        instance.name,
        instance.cores - worker.used[0],
        instance.memory_mb - worker.used[1],
        instance.accelerators - worker.used[2],
        instance.cores,
        instance.memory_mb,
        instance.rack,
    )


def summarize_free(context: Context) -> tuple[float, float, int]:
    """Return the free cores, megabytes and accelerators of this daemon's workers.

    The sum is cached for FREE_CACHE_S, since computing it visits all workers.
    """
    jobs = context.state.jobs
    if not has_right(context) or context.state.membership.is_leaving:
        return (0.0, 0.0, 0)
    if context.now < jobs.cached_free_until:
        return jobs.cached_free
    cores, memory_mb, accelerators = 0.0, 0.0, 0
    for worker in jobs.owned_workers:
        if can_accept_tasks(context, worker):
            cores += worker.instance.cores - worker.used[0]
            memory_mb += worker.instance.memory_mb - worker.used[1]
            accelerators += worker.instance.accelerators - worker.used[2]
    jobs.cached_free = (round(cores, 3), round(memory_mb, 3), int(accelerators))
    jobs.cached_free_until = context.now + FREE_CACHE_S
    return jobs.cached_free


def find_worker(context: Context, placement: Placement, policy: str) -> Worker | None:
    """Return the worker chosen by the placement policy, or None if none has room."""
    jobs = context.state.jobs
    shape = (placement.cores, placement.memory_mb, placement.accelerators)
    last_miss = jobs.placement_misses.get(shape)
    if not placement.exclude and last_miss is not None:
        version, until = last_miss
        if version == jobs.capacity_version and context.now < until:
            return None
    need = Need(*shape)

    def is_eligible(worker: Worker) -> bool:
        return worker.instance.name not in placement.exclude and can_accept_tasks(context, worker)

    chosen = choose_worker(
        policy, need, jobs.owned_workers, get_worker_candidate, context.random, is_eligible
    )
    if chosen is None and not placement.exclude:
        # A worker that is listed again or no longer blocked leaves the version unchanged, so the
        # miss also expires.
        jobs.placement_misses[shape] = (jobs.capacity_version, context.now + MISS_CACHE_S)
    return chosen
