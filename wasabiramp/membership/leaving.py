"""Graceful shutdown: fail the readiness check, hand over targets, drain, then exit."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.effects import ExitDaemon, SetReadiness
from wasabiramp.core.events import StopRequested, Tick
from wasabiramp.core.registry import handles
from wasabiramp.jobs.journal import LOADING
from wasabiramp.membership.changes import propose_members
from wasabiramp.membership.rights import is_member

UNREADY_DELAY_S: Final = 0.5
"""Time for the load balancer to see the failed readiness check before targets are handed over."""

EXIT_IDLE_S: Final = 1.0
"""How long the daemon must be idle before it exits: peers that have not learned of the new epoch
still offer requests, and the last answers may still be in transit."""


@handles(StopRequested)
def handle_stop_requested(context: Context, _event: StopRequested) -> None:
    """Start to leave by failing the readiness check; connected callers are still served."""
    state = context.state.membership
    if state.is_leaving:
        return
    state.is_leaving = True
    state.leave_started_at = context.now
    state.idle_since = context.now
    state.leave_deadline_at = context.now + context.settings.drain_s
    context.add(SetReadiness(False))
    context.log("leaving", drain_s=context.settings.drain_s)


@handles(Tick)
def handle_leaving_tick(context: Context, _event: Tick) -> None:
    """Leave the member list, then exit once idle or once the drain deadline has passed."""
    state = context.state.membership
    if not state.is_leaving or context.now < state.leave_started_at + UNREADY_DELAY_S:
        return
    is_past_deadline = context.now >= state.leave_deadline_at
    if is_member(context):
        state.idle_since = context.now
        _hand_over(context)
        if not is_past_deadline:
            return
    if not _is_idle(context):
        state.idle_since = context.now
    has_been_idle = context.now >= state.idle_since + EXIT_IDLE_S
    if state.has_left or not (is_past_deadline or has_been_idle):
        return
    state.has_left = True
    context.log("left", late=is_past_deadline)
    context.add(ExitDaemon())


def _hand_over(context: Context) -> None:
    """Propose an epoch without this member once its journals are idle."""
    state = context.state.membership
    if (
        state.is_swap_pending
        or context.now < state.propose_due_at
        or not _are_journals_idle(context)
    ):
        return
    state.propose_due_at = context.now + 0.3
    me = context.state.me.id
    remaining_members = [member for member in state.current.members if member.id != me]
    propose_members(context, remaining_members)


def _are_journals_idle(context: Context) -> bool:
    """Return whether no journal append or load is under way."""
    return all(
        not partition_state.journal.in_flight
        and not partition_state.journal.queue
        and partition_state.journal.status != LOADING
        for partition_state in context.state.jobs.partitions.values()
    )


def _is_idle(context: Context) -> bool:
    """Return whether no caller is waiting and no call or worker sync is under way."""
    dispatch = context.state.dispatch
    jobs = context.state.jobs
    if dispatch.requests or jobs.submissions or jobs.keyed_requests or jobs.awaiting_commit:
        return False
    if any(executor.calls for executor in dispatch.executors.values()):
        return False
    return not any(worker.is_syncing for worker in jobs.workers.values())
