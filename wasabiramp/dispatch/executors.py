"""Executors that this daemon owns: their slots, probes and calls with a start deadline."""

from __future__ import annotations

from typing import Final

from wasabiramp.const import CLOCK_DRIFT_SHARE
from wasabiramp.core.context import Context
from wasabiramp.core.effects import CallExecutor, ProbeExecutor
from wasabiramp.core.events import ExecutorReported, Tick
from wasabiramp.core.registry import handles
from wasabiramp.dispatch.load import is_listed_live, is_usable
from wasabiramp.dispatch.state import Call, Executor, Request
from wasabiramp.membership.rights import can_take_over, get_right_expiry, has_right

PROBE_INTERVAL_S: Final = 1.0
"""Probe interval of an executor that answers and has no foreign or lost calls."""

RECOVERY_PROBE_INTERVAL_S: Final = 0.2
"""Probe interval while the executor is unreachable or has foreign or lost calls."""

MIN_START_DELAY_S: Final = 0.05
"""Shortest time in which a call can reach its executor; with less time left it is not sent."""

MAX_START_DELAY_S: Final = 1.0
"""Longest time after which a call or task that was sent may still start."""

FAILURES_TO_BLOCK: Final = 3
"""Consecutive failures after which an executor is blocked for BLOCK_DURATION_S."""

BLOCK_DURATION_S: Final = 2.0


def calculate_start_deadline_s(context: Context, clock_s: float, clock_read_at: float) -> float:
    """Return the reading of the target's clock after which it must refuse to start work.

    The target's clock showed `clock_s` at `clock_read_at` on this daemon's clock, or earlier. The
    result lies before the expiry of this daemon's right to act even if the two clocks drift apart
    by the bound. It is at most MAX_START_DELAY_S away, so that a target soon receives no more work
    after it begins to leave.
    """
    remaining_s = min(get_right_expiry(context), context.now + MAX_START_DELAY_S) - clock_read_at
    return clock_s + remaining_s * (1 - 2 * CLOCK_DRIFT_SHARE)


def find_free_executor(context: Context, service: str) -> Executor | None:
    """Return the usable executor of the service with the most free slots, or None."""
    state = context.state
    if state.membership.has_left or not has_right(context):
        return None
    best = None
    best_free = 0
    for executor in state.dispatch.executors.values():
        if executor.instance.service != service or not is_usable(context, executor):
            continue
        free = executor.count_free_slots()
        if free > best_free and _can_start_in_time(context, executor):
            best, best_free = executor, free
    return best


def count_free_slots(context: Context, service: str) -> int:
    """Return the number of free slots of the service that this daemon may use."""
    if not has_right(context) or context.state.membership.has_left:
        return 0
    return sum(
        max(0, executor.count_free_slots())
        for executor in context.state.dispatch.executors.values()
        if executor.instance.service == service and is_usable(context, executor)
    )


def _can_start_in_time(context: Context, executor: Executor) -> bool:
    """Return whether a call sent now can reach the executor before its start deadline."""
    start_by_s = calculate_start_deadline_s(context, executor.clock_s, executor.clock_at)
    clock_now_s = executor.clock_s + (context.now - executor.clock_at)
    return start_by_s - clock_now_s > MIN_START_DELAY_S


def start_call(context: Context, executor: Executor, request: Request) -> None:
    """Send a request to an executor; the call occupies a slot from now on."""
    dispatch = context.state.dispatch
    dispatch.calls_made += 1
    call_id = f"{context.state.me.id}.{dispatch.calls_made}"
    start_by_s = calculate_start_deadline_s(context, executor.clock_s, executor.clock_at)
    timeout_s = max(0.01, request.deadline_at - context.now)
    # The call must not start after the deadline of its caller.
    start_by_s = min(start_by_s, executor.clock_s + (context.now - executor.clock_at) + timeout_s)
    executor.calls[call_id] = Call(call_id, request.request_id, start_by_s, context.now)
    context.add(
        CallExecutor(
            executor.instance.name,
            executor.instance.address,
            call_id,
            request.body,
            start_by_s,
            timeout_s,
        )
    )


@handles(Tick)
def probe_executors(context: Context, _event: Tick) -> None:
    """Ask executors for their clocks and running calls when a probe is due."""
    if not has_right(context):
        return
    for executor in context.state.dispatch.executors.values():
        if not executor.is_owned or executor.is_probing or context.now < executor.probe_due_at:
            continue
        if not executor.is_ready and not can_take_over(
            context, f"instance/{executor.instance.name}"
        ):
            continue
        executor.is_probing = True
        context.add(ProbeExecutor(executor.instance.name, executor.instance.address))


@handles(ExecutorReported)
def handle_executor_reported(context: Context, event: ExecutorReported) -> None:
    """Record the executor's clock and which of its slots are in use.

    The first report after a takeover makes the executor ready; its unknown running calls are those
    of an earlier owner.
    """
    executor = context.state.dispatch.executors.get(event.executor)
    if executor is None:
        return
    executor.is_probing = False
    has_uncertain_calls = bool(executor.foreign) or any(
        call.is_lost for call in executor.calls.values()
    )
    interval_s = (
        RECOVERY_PROBE_INTERVAL_S
        if has_uncertain_calls or not event.is_reachable
        else PROBE_INTERVAL_S
    )
    executor.probe_due_at = context.now + interval_s
    if not event.is_reachable:
        record_failure(context, executor)
        return
    record_clock(context, executor, event.clock_s)
    executor.failures = 0
    foreign_calls = [call for call in event.running if call not in executor.calls]
    if not executor.is_ready:
        if not executor.is_owned or not can_take_over(context, f"instance/{event.executor}"):
            return
        executor.is_ready = True
        executor.foreign = foreign_calls
        context.log("executor_ready", executor=event.executor, foreign=len(foreign_calls))
    else:
        executor.foreign = [call for call in executor.foreign if call in event.running]
    _remove_lost_calls(executor, event)


def _remove_lost_calls(executor: Executor, event: ExecutorReported) -> None:
    """Free the slots of lost calls that are not running and can no longer start."""
    for call in list(executor.calls.values()):
        is_over = event.clock_s >= call.start_by_s and call.call_id not in event.running
        if call.is_lost and is_over:
            del executor.calls[call.call_id]


def record_clock(context: Context, executor: Executor, clock_s: float) -> None:
    """Record a reading of the executor's clock; 0 means that there is none."""
    if clock_s <= 0:
        return
    executor.clock_s = clock_s
    executor.clock_at = context.now


def record_failure(context: Context, executor: Executor) -> None:
    """Count a failure, and block the executor temporarily after several in a row."""
    executor.failures += 1
    if executor.failures >= FAILURES_TO_BLOCK and context.now >= executor.blocked_until:
        executor.blocked_until = context.now + BLOCK_DURATION_S
        context.log("executor_blocked", executor=executor.instance.name, seconds=BLOCK_DURATION_S)


def is_service_known(context: Context, service: str) -> bool:
    """Return whether operators declared the service."""
    return service in context.state.intent.services


def has_live_executor(context: Context, service: str) -> bool:
    """Return whether any declared executor of the service is listed as live."""
    return any(
        instance.service == service and is_listed_live(context, name)
        for name, instance in context.state.intent.instances.items()
    )
