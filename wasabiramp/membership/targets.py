"""Targets of this daemon: which executors, workers and partitions it owns in this epoch."""

from __future__ import annotations

from wasabiramp.const import PARTITION_COUNT
from wasabiramp.core.context import Context
from wasabiramp.dispatch.state import Executor
from wasabiramp.jobs.state import PartitionState, Worker
from wasabiramp.membership.owners import choose_member, partition_key
from wasabiramp.membership.rights import is_member
from wasabiramp.resource.kinds import ROLE_EXECUTOR, Instance


def refresh_owners(context: Context) -> None:
    """Recompute what this daemon owns after a new epoch or new resources."""
    members = context.state.membership.current.members if is_member(context) else []
    me = context.state.me.id
    instances = context.state.intent.instances
    for name, instance in instances.items():
        owned = choose_member(f"instance/{name}", members) == me
        if instance.role == ROLE_EXECUTOR:
            _refresh_executor(context, instance, owned)
        else:
            _refresh_worker(context, instance, owned)
    _drop_unlisted(context, set(instances))
    context.state.jobs.refresh_owned_workers()
    for partition in range(PARTITION_COUNT):
        owned = choose_member(partition_key(partition), members) == me
        _refresh_partition(context, partition, owned)


def _refresh_executor(context: Context, instance: Instance, owned: bool) -> None:
    """Note whether the executor is ours; a newly owned one is not ready yet."""
    executors = context.state.dispatch.executors
    executor = executors.get(instance.name)
    if executor is None:
        if not owned:
            return
        executor = executors[instance.name] = Executor(instance)
    executor.instance = instance
    if owned and not executor.is_owned:
        executor.is_ready = False
        executor.probe_due_at = 0.0
    executor.is_owned = owned


def _refresh_worker(context: Context, instance: Instance, owned: bool) -> None:
    """Note whether the worker is ours; a newly owned one is not ready yet."""
    workers = context.state.jobs.workers
    worker = workers.get(instance.name)
    if worker is None:
        if not owned:
            return
        worker = workers[instance.name] = Worker(instance)
    worker.instance = instance
    if owned and not worker.is_owned:
        worker.reset()
    worker.is_owned = owned


def _drop_unlisted(context: Context, names: set[str]) -> None:
    """Stop acting for instances that operators no longer trust."""
    for executor in context.state.dispatch.executors.values():
        if executor.instance.name not in names:
            executor.is_owned = False
    for worker in context.state.jobs.workers.values():
        if worker.instance.name not in names:
            worker.is_owned = False


def _refresh_partition(context: Context, partition: int, owned: bool) -> None:
    """Start loading a partition that became ours and let go of one that is not."""
    partitions = context.state.jobs.partitions
    held = partitions.get(partition)
    if owned and held is None:
        partitions[partition] = PartitionState(partition)
    if not owned and held is not None:
        held.is_lost = True
