"""Load of this daemon: free slots and waiting requests for each service."""

from __future__ import annotations

from wasabiramp.core.context import Context
from wasabiramp.dispatch.state import Executor
from wasabiramp.membership.rights import has_right, is_member


def is_usable(context: Context, executor: Executor) -> bool:
    """Return whether the executor can accept work; the right to act is checked separately."""
    if not executor.is_owned or not executor.is_ready:
        return False
    return context.now >= executor.blocked_until and is_listed_live(context, executor.instance.name)


def is_serving(context: Context) -> bool:
    """Return whether callers may connect: the daemon is a member and has the configuration."""
    return is_member(context) and context.state.intent.synced_revision > 0


def is_listed_live(context: Context, name: str) -> bool:
    """Return whether the platform lists the instance as live, or no list is known yet."""
    instance_states = context.state.membership.instance_states
    return not instance_states or instance_states.get(name, "gone") == "live"


def summarize_load(context: Context) -> dict[str, tuple[int, int]]:
    """Return the number of free slots and of waiting requests by service."""
    dispatch = context.state.dispatch
    free: dict[str, int] = {}
    if has_right(context) and not context.state.membership.is_leaving:
        for executor in dispatch.executors.values():
            if is_usable(context, executor):
                service = executor.instance.service
                free[service] = free.get(service, 0) + max(0, executor.count_free_slots())
    services = set(free) | {name for name, queue in dispatch.queues.items() if len(queue)}
    queues = dispatch.queues
    return {
        name: (free.get(name, 0), len(queues[name]) if name in queues else 0)
        for name in sorted(services)
    }
