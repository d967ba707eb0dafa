"""Executors of this daemon: counted slots, probes and calls that must start in time."""

from __future__ import annotations

from typing import Final

from wasabiramp.const import CLOCK_DRIFT
from wasabiramp.core.context import Context
from wasabiramp.core.effects import CallExecutor, ProbeExecutor
from wasabiramp.core.events import ExecutorReported, Tick
from wasabiramp.core.registry import handles
from wasabiramp.dispatch.load import is_staying, is_usable
from wasabiramp.dispatch.state import Call, Executor, Request
from wasabiramp.membership.rights import has_right, is_key_free, right_until

PROBE_INTERVAL_S: Final = 1.0
RECOVERY_PROBE_S: Final = 0.2
MIN_START_WINDOW_S: Final = 0.05
"""The shortest time in which a call can reach its executor."""

MAX_START_S: Final = 1.0
"""The longest time for which a start may be under way."""

FAILURES_TO_BLOCK: Final = 3
BLOCK_S: Final = 2.0


def target_deadline_s(context: Context, clock_s: float, clock_at: float) -> float:
    """Return the target's clock reading at which our right will not have lapsed yet.

    The target's clock showed `clock_s` no later than our time `clock_at`, and it may be slower or
    faster than ours by the drift bound. A start that is under way for longer than MAX_START_S is
    refused too, so that a target which begins to leave is soon given nothing more.
    """
    ahead = min(right_until(context), context.now + MAX_START_S) - clock_at
    return clock_s + ahead * (1 - 2 * CLOCK_DRIFT)


def find_free_executor(context: Context, service: str) -> Executor | None:
    """Return the usable executor of the service with the most free slots, if any is free."""
    state = context.state
    if state.membership.has_left or not has_right(context):
        return None
    best = None
    best_free = 0
    for executor in state.dispatch.executors.values():
        if executor.instance.service != service or not is_usable(context, executor):
            continue
        free = executor.count_free()
        if free > best_free and _can_start(context, executor):
            best, best_free = executor, free
    return best


def count_free(context: Context, service: str) -> int:
    """Return how many slots of the service are free here and may be used."""
    if not has_right(context) or context.state.membership.has_left:
        return 0
    return sum(
        max(0, executor.count_free())
        for executor in context.state.dispatch.executors.values()
        if executor.instance.service == service and is_usable(context, executor)
    )


def _can_start(context: Context, executor: Executor) -> bool:
    """Tell whether a call sent now can reach the executor before its start-by time."""
    start_by = target_deadline_s(context, executor.clock_s, executor.clock_at)
    clock_now = executor.clock_s + (context.now - executor.clock_at)
    return start_by - clock_now > MIN_START_WINDOW_S


def start_call(context: Context, executor: Executor, request: Request) -> None:
    """Send a request to an executor and count its slot as taken."""
    dispatch = context.state.dispatch
    dispatch.calls_made += 1
    call_id = f"{context.state.me.id}.{dispatch.calls_made}"
    start_by = target_deadline_s(context, executor.clock_s, executor.clock_at)
    timeout_s = max(0.01, request.deadline_at - context.now)
    # A call whose caller has given up must not start any more.
    start_by = min(start_by, executor.clock_s + (context.now - executor.clock_at) + timeout_s)
    executor.calls[call_id] = Call(call_id, request.request_id, start_by, context.now)
    context.add(
        CallExecutor(
            executor.instance.name,
            executor.instance.address,
            call_id,
            request.body,
            start_by,
            timeout_s,
        )
    )


@handles(Tick)
def probe_executors(context: Context, _event: Tick) -> None:
    """Ask executors for their clocks and running calls when that is due."""
    if not has_right(context):
        return
    for executor in context.state.dispatch.executors.values():
        if not executor.is_owned or executor.is_probing or context.now < executor.probe_due_at:
            continue
        if not executor.is_ready and not is_key_free(context, f"instance/{executor.instance.name}"):
            continue
        executor.is_probing = True
        context.add(ProbeExecutor(executor.instance.name, executor.instance.address))


@handles(ExecutorReported)
def take_report(context: Context, event: ExecutorReported) -> None:
    """Take over the executor's clock, and its running calls as the slots in use."""
    executor = context.state.dispatch.executors.get(event.executor)
    if executor is None:
        return
    executor.is_probing = False
    busy = bool(executor.foreign) or any(call.is_lost for call in executor.calls.values())
    interval = RECOVERY_PROBE_S if busy or not event.is_reachable else PROBE_INTERVAL_S
    executor.probe_due_at = context.now + interval
    if not event.is_reachable:
        note_failure(context, executor)
        return
    note_clock(context, executor, event.clock_s)
    executor.failures = 0
    running = [call for call in event.running if call not in executor.calls]
    if not executor.is_ready:
        if not executor.is_owned or not is_key_free(context, f"instance/{event.executor}"):
            return
        executor.is_ready = True
        executor.foreign = running
        context.log("executor_ready", executor=event.executor, foreign=len(running))
    else:
        executor.foreign = [call for call in executor.foreign if call in event.running]
    _drop_lost(executor, event)


def _drop_lost(executor: Executor, event: ExecutorReported) -> None:
    """Free the slots of lost calls that are not running and can no longer start."""
    for call in list(executor.calls.values()):
        is_over = event.clock_s >= call.start_by_s and call.call_id not in event.running
        if call.is_lost and is_over:
            del executor.calls[call.call_id]


def note_clock(context: Context, executor: Executor, clock_s: float) -> None:
    """Keep the newest reading of the executor's clock."""
    if clock_s <= 0:
        return
    executor.clock_s = clock_s
    executor.clock_at = context.now


def note_failure(context: Context, executor: Executor) -> None:
    """Stop using an executor for a while after repeated failures."""
    executor.failures += 1
    if executor.failures >= FAILURES_TO_BLOCK and context.now >= executor.blocked_until:
        executor.blocked_until = context.now + BLOCK_S
        context.log("executor_blocked", executor=executor.instance.name, seconds=BLOCK_S)


def is_service_known(context: Context, service: str) -> bool:
    """Tell whether operators declared the service."""
    return service in context.state.intent.services


def has_staying_executor(context: Context, service: str) -> bool:
    """Tell whether any trusted executor of the service is listed as live."""
    return any(
        instance.service == service and is_staying(context, name)
        for name, instance in context.state.intent.instances.items()
    )
