"""Leases of runs: how long an owner may extend them, and when they have certainly ended.

Everything on an executor runs under one lease, whose end is a time on the executor's own clock.
An owner gives no lease that ends later than MAX_UNCONFIRMED_S after the last proof that its term
was current, so that leases end by themselves if another daemon has claimed a term since. The next
owner waits for that long (`PREDECESSOR_WAIT_S`) before it starts elsewhere what may run on an
executor that it does not reach. Neither side needs to know about the other, but an earlier owner
that tells that it has ended shortens the wait to one lease.

The limit is a time on the executor's clock, so it also holds for orders that are delayed, and for
owners that are paused between a check and an order. An order that reaches a later incarnation of
its executor, whose clock starts anew, may give the longest lease that executors accept: an owner
waits for that if it does not know which process a start has reached (`scheduling/processes.py`).
"""

from __future__ import annotations

import math
from typing import Final

from wasabiramp.scheduling.state import ExecutorState, SchedulerState

MAX_UNCONFIRMED_S: Final = 7.5
"""Time after the last proof of an owner's term at which all its leases have ended.

Work survives outages of the store that are shorter. After longer ones it starts again, as the
owner cannot tell an outage from a partition behind which another daemon took over."""

MIN_START_LEASE_S: Final = 1.0
"""Shortest lease with which a run is started: it lasts until a hold can extend it."""

DRAINING_LEASE_S: Final = 2.0
"""Longest lease on an executor that drains.

It may leave at any moment. Its tasks start elsewhere when their lease has ended, as an executor
behind a partition looks the same."""

LIMITED_HOLD_SHARE: Final = 0.25
"""Longest wait of a hold as a share of the time for which leases may still last."""

MAX_CLOCK_DRIFT_SHARE: Final = 0.02
"""Maximum share by which an executor's clock runs slower than ours; the platform guarantees it."""

LEASE_EXPIRY_MARGIN_S: Final = 0.25
"""Added to the lease expiry for the executor's own delay in ending its runs."""

MAX_CLOCK_AGE_S: Final = 30.0
"""Age from which an executor's clock is read again before a lease depends on it.

The estimate is by then up to 0.6 s behind, which shortens the leases by as much."""


MIN_SUSPENSION_S: Final = 0.01
"""Shortest suspension of the machine that is told from the inaccuracy of reading two clocks."""


def convert_lease_s(lease_s: float) -> float:
    """Return the longest time for which a lease lasts by our clock."""
    return lease_s / (1 - MAX_CLOCK_DRIFT_SHARE) + LEASE_EXPIRY_MARGIN_S


PREDECESSOR_WAIT_S: Final = convert_lease_s(MAX_UNCONFIRMED_S)
"""Time from the claim of a term at which the leases have ended that earlier owners gave by the
clocks of the processes that they knew."""


def get_predecessor_wait_s(lease_limit_s: float) -> float:
    """Return the time from the claim of a term at which what earlier owners started has ended.

    A start that reached the next process of its executor may have the longest lease. Those that an
    earlier owner sends there after the claim, as long as it may (`may_start_runs`), last longer.
    """
    return max(PREDECESSOR_WAIT_S, convert_lease_s(lease_limit_s))


def get_proven_at(state: SchedulerState) -> float:
    """Return the time up to which the owner's term was proven to be current."""
    return state.leases_end_by - MAX_UNCONFIRMED_S


def may_start_runs(state: SchedulerState) -> bool:
    """Return whether the owner's term was proven recently enough to start runs."""
    return state.now + MIN_START_LEASE_S <= state.leases_end_by


def note_suspension(state: SchedulerState, now: float, suspended_s: float) -> None:
    """Note the total time for which the machine was suspended, which our clock does not count."""
    known_s, state.suspended_s = state.suspended_s, suspended_s
    if known_s is not None and suspended_s > known_s + MIN_SUSPENSION_S:
        state.resumed_at = now


def has_suspect(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether a task that may crash executors runs on an executor."""
    return bool(state.suspect_steps) and any(
        run.step is not None and run.index in run.step.suspects for run in executor.runs.values()
    )


def calculate_lease_s(state: SchedulerState, executor: ExecutorState) -> float:
    """Return the length of a lease that is given now; it is negative if none may be given.

    Suspects get the longest lease: it should outlast the time until another process answers after
    a crash, as only that tells a crash from lost contact.
    """
    wanted_s = state.lease_limit_s if has_suspect(state, executor) else state.lease_s
    if executor.entry.is_draining:
        wanted_s = min(wanted_s, DRAINING_LEASE_S)
    return min(wanted_s, state.leases_end_by - state.now)


def calculate_longest_hold_s(state: SchedulerState, executor: ExecutorState) -> float:
    """Return how long a hold may wait while leases are not extended in full.

    The next hold extends the lease, so it must come before that ends.
    """
    lease_s = calculate_lease_s(state, executor)
    return math.inf if lease_s >= state.lease_s else max(0.0, lease_s * LIMITED_HOLD_SHARE)


def has_old_clock(state: SchedulerState, executor: ExecutorState) -> bool:
    """Return whether an executor's clock has to be read before it gets a lease."""
    return executor.clock_ms is None or state.now > executor.clock_at + MAX_CLOCK_AGE_S


def estimate_executor_clock_ms(state: SchedulerState, executor: ExecutorState) -> int | None:
    """Return the earliest time that the executor's clock may show, or None if unknown."""
    if executor.clock_ms is None:
        return None
    return estimate_earliest_clock_ms(executor, state.now)


def estimate_earliest_clock_ms(executor: ExecutorState, at: float) -> int:
    """Return the earliest time that the clock of the known process may show at a time."""
    if executor.clock_ms is None:
        return 0
    passed_s = at - executor.clock_at
    if passed_s > 0:
        passed_s *= 1 - MAX_CLOCK_DRIFT_SHARE
    return executor.clock_ms + int(passed_s * 1000)


def extend_lease(state: SchedulerState, executor: ExecutorState) -> int | None:
    """Extend the lease; return its expiry on the executor's clock.

    Return None if the clock is unknown, or if the owner's term was not proven for too long.
    """
    clock_ms = estimate_executor_clock_ms(state, executor)
    lease_s = calculate_lease_s(state, executor)
    if clock_ms is None or lease_s <= 0:
        return None
    expiry_ms = clock_ms + int(lease_s * 1000)
    executor.lease_until_ms = max(executor.lease_until_ms, expiry_ms)
    executor.lapse_certain_at = None
    if lease_s > state.lease_s:
        ends_at = state.now + convert_lease_s(lease_s)
        state.long_leases_end_at = max(state.long_leases_end_at, ends_at)
    return expiry_ms


def calculate_long_leases_end(state: SchedulerState) -> float:
    """Return the time at which all leases have ended that may be longer than usual ones."""
    executors = state.executors.values()
    doubted_at = max((e.calls.get_doubted_at() for e in executors), default=-math.inf)
    if any(executor.calls.has_open_starts for executor in executors):
        doubted_at = state.now
    floors = (executor.lease_expiry_floor for executor in executors)
    ends_at = max(state.long_leases_end_at, state.predecessor_leases_end_at, *floors)
    return max(ends_at, doubted_at + convert_lease_s(state.lease_limit_s))


def calculate_run_lease_expiry(
    state: SchedulerState, executor: ExecutorState, key: tuple[str, int]
) -> float:
    """Return the time at which the lease of a run has certainly expired, at whichever process."""
    expires_at = calculate_lease_expiry(state, executor)
    start = executor.calls.unsettled_starts.get(key)
    if start is None:
        return expires_at
    if start.open_copies > 0:
        return math.inf
    silent_since = -math.inf if executor.silent_since is None else executor.silent_since
    renewed_at = max(start.doubted_at, silent_since)
    return max(expires_at, renewed_at + convert_lease_s(state.lease_limit_s))


def confirm_lease(executor: ExecutorState, clock_ms: int, until_ms: int | None) -> None:
    """Note that an order or a hold was answered at a time on the executor's clock.

    If no earlier answer shows that the lease lasted until then, it may have lapsed before.
    """
    if clock_ms > executor.lease_confirmed_ms:
        executor.lease_gaps += 1
    if until_ms is not None:
        executor.lease_confirmed_ms = max(executor.lease_confirmed_ms, until_ms)


def estimate_confirmed_lease_s(state: SchedulerState, executor: ExecutorState) -> float:
    """Return how long the lease of an executor still lasts at least, by its answers."""
    if executor.clock_ms is None:
        return 0.0
    left_s = (executor.lease_confirmed_ms - executor.clock_ms) / 1000
    return left_s - (state.now - executor.clock_asked_at)


def calculate_lease_expiry(state: SchedulerState, executor: ExecutorState) -> float:
    """Return the time on our clock at which the executor's latest lease has certainly expired.

    Whichever owner gave it: those of earlier owners may last until `predecessor_leases_end_at`.
    """
    expires_at = max(executor.lease_expiry_floor, state.predecessor_leases_end_at)
    if executor.clock_ms is None:
        return expires_at
    left_s = (executor.lease_until_ms - executor.clock_ms) / 1000
    return max(executor.clock_at + convert_lease_s(left_s), expires_at)
