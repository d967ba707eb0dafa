"""Load summaries: free slots and waiting requests for each service."""

from __future__ import annotations

from wasabiramp.core.context import Context
from wasabiramp.dispatch.state import Executor
from wasabiramp.membership.rights import has_right, is_member


def is_usable(context: Context, executor: Executor) -> bool:
    """Tell whether the executor may be given new work by this daemon, apart from the right."""
    if not executor.is_owned or not executor.is_ready:
        return False
    return context.now >= executor.blocked_until and is_listed_live(context, executor.instance.name)


def is_serving(context: Context) -> bool:
    """Tell whether callers may be sent here: a member that knows the configuration."""
    return is_member(context) and context.state.intent.synced_revision > 0


def is_listed_live(context: Context, name: str) -> bool:
    """Tell whether the platform lists the instance as live, as far as is known."""
    instance_states = context.state.membership.instance_states
    return not instance_states or instance_states.get(name, "gone") == "live"


def summarize_load(context: Context) -> dict[str, tuple[int, int]]:
    """Return free slots and waiting requests by service."""
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
