"""Capacity of executors, which may shrink and grow while they run tasks."""

from __future__ import annotations

from typing import Final

from wasabiramp.scheduling.model import Resources
from wasabiramp.scheduling.state import ExecutorState, SchedulerState

MAX_LIST_AGE_S: Final = 3.0
"""Age of the list of executors from which their capacities may have changed unseen.

It is the platform's time for machines to be in touch again; executors report some time before."""


def record_capacity(state: SchedulerState, executor: ExecutorState) -> None:
    """Record the listed capacity of an executor, and by how much it has shrunk."""
    capacity, known = executor.entry.capacity, executor.greatest_capacity
    executor.greatest_capacity = Resources(
        max(capacity.cpu, known.cpu),
        max(capacity.memory_mb, known.memory_mb),
        max(capacity.gpu, known.gpu),
    )
    if capacity == executor.greatest_capacity:
        return
    pairs = (
        (capacity.cpu, known.cpu),
        (capacity.memory_mb, known.memory_mb),
        (capacity.gpu, known.gpu),
    )
    share = min(now / greatest for now, greatest in pairs if greatest)
    state.smallest_capacity_share = min(state.smallest_capacity_share, share)
    state.log_decision("executor_shrunk", executor=executor.id, share=round(share, 3))


def measure_free_resources(state: SchedulerState, executor: ExecutorState) -> Resources:
    """Return the resources of an executor that may be used now.

    While the list of executors is old, each may have shrunk as far as any has shrunk before. A cell
    whose executors never shrink uses their full capacity.
    """
    capacity = executor.entry.capacity
    share = state.smallest_capacity_share
    if state.list_age_s > MAX_LIST_AGE_S and share < 1:
        greatest = executor.greatest_capacity
        capacity = Resources(
            min(capacity.cpu, int(greatest.cpu * share)),
            min(capacity.memory_mb, int(greatest.memory_mb * share)),
            min(capacity.gpu, int(greatest.gpu * share)),
        )
    return capacity.minus(executor.used)
