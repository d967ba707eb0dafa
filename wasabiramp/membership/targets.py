"""Targets of this daemon: the executors, workers and partitions that it owns."""

from __future__ import annotations

from wasabiramp.const import PARTITION_COUNT
from wasabiramp.core.context import Context
from wasabiramp.dispatch.state import Executor
from wasabiramp.jobs.state import PartitionState, Worker
from wasabiramp.membership.owners import build_partition_key, find_owner_id
from wasabiramp.membership.rights import is_member
from wasabiramp.resource.kinds import ROLE_EXECUTOR, Instance


def refresh_owned_targets(context: Context) -> None:
    """Recompute the targets that this daemon owns after a new epoch or changed resources."""
    members = context.state.membership.current.members if is_member(context) else []
    me = context.state.me.id
    instances = context.state.intent.instances
    for name, instance in instances.items():
        is_ours = find_owner_id(f"instance/{name}", members) == me
        if instance.role == ROLE_EXECUTOR:
            _refresh_executor(context, instance, is_ours)
        else:
            _refresh_worker(context, instance, is_ours)
    _release_undeclared_instances(context, set(instances))
    context.state.jobs.refresh_owned_workers()
    for partition in range(PARTITION_COUNT):
        is_ours = find_owner_id(build_partition_key(partition), members) == me
        _refresh_partition(context, partition, is_ours)


def _refresh_executor(context: Context, instance: Instance, is_ours: bool) -> None:
    """Record whether this daemon owns the executor; it is not ready right after a takeover."""
    executors = context.state.dispatch.executors
    executor = executors.get(instance.name)
    if executor is None:
        if not is_ours:
            return
        executor = executors[instance.name] = Executor(instance)
    executor.instance = instance
    if is_ours and not executor.is_owned:
        executor.is_ready = False
        executor.probe_due_at = 0.0
    executor.is_owned = is_ours


def _refresh_worker(context: Context, instance: Instance, is_ours: bool) -> None:
    """Record whether this daemon owns the worker; it is reset at a takeover."""
    workers = context.state.jobs.workers
    worker = workers.get(instance.name)
    if worker is None:
        if not is_ours:
            return
        worker = workers[instance.name] = Worker(instance)
    worker.instance = instance
    if is_ours and not worker.is_owned:
        worker.reset()
    worker.is_owned = is_ours


def _release_undeclared_instances(context: Context, declared_names: set[str]) -> None:
    """Give up ownership of instances that operators no longer declare."""
    for executor in context.state.dispatch.executors.values():
        if executor.instance.name not in declared_names:
            executor.is_owned = False
    for worker in context.state.jobs.workers.values():
        if worker.instance.name not in declared_names:
            worker.is_owned = False


def _refresh_partition(context: Context, partition: int, is_ours: bool) -> None:
    """Add a partition that this daemon now owns, and mark one that it no longer owns as lost."""
    partitions = context.state.jobs.partitions
    partition_state = partitions.get(partition)
    if is_ours and partition_state is None:
        partitions[partition] = PartitionState(partition)
    if not is_ours and partition_state is not None:
        partition_state.is_lost = True
