"""Send holds, which read what runs and has ended on an executor, and renew its lease."""

from __future__ import annotations

from wasabiramp.scheduling.attempts import (
    choose_acknowledged_end,
    has_uncovered_end,
    note_acknowledgements,
)
from wasabiramp.scheduling.effects import HoldExecutor
from wasabiramp.scheduling.leases import calculate_lease_expiry, extend_lease
from wasabiramp.scheduling.state import ExecutorState, SchedulerState


def send_hold(state: SchedulerState, executor: ExecutorState, wait_s: float) -> None:
    """Send a hold, which reads running and ended runs and renews the lease.

    The lease of a silent executor is not renewed: if the hold arrived but its answer was lost, it
    would delay the time from which the tasks may run elsewhere.

    Ends are acknowledged once each, and only to a process that certainly listed them.
    """
    is_overlapping, executor.has_open_hold = executor.has_open_hold, True
    executor.hold_sent_at = state.now
    executor.hold_address = executor.entry.address
    if executor.lapse_certain_at is None and state.now > calculate_lease_expiry(state, executor):
        executor.lapse_certain_at = state.now
    executor.lease_before_hold_ms = executor.lease_until_ms
    is_needed = bool(executor.runs or executor.unconfirmed_ends)
    is_renewed = is_needed and executor.silent_since is None and not has_uncovered_end(executor)
    last_seen = 0
    if may_acknowledge(executor) and not is_overlapping:
        last_seen = choose_acknowledged_end(state, executor)
    if last_seen <= executor.calls.acknowledged_end:
        last_seen = 0
    if last_seen:
        executor.calls.note_acknowledgement()
        note_acknowledgements(executor, last_seen)
    expiry_ms = extend_lease(state, executor) if is_renewed else None
    state.effects.append(
        HoldExecutor(
            executor.id,
            executor.entry.address,
            expiry_ms,
            last_seen,
            wait_s,
            executor.calls.epoch,
        )
    )


def may_acknowledge(executor: ExecutorState) -> bool:
    """Return whether no run can have ended unread at another process than the known one."""
    return (
        executor.has_accepted_fence and executor.silent_since is None and executor.calls.are_settled
    )
