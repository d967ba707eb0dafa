"""A graceful stop: unready, handed over, drained, gone."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.effects import ExitDaemon, SetReadiness
from wasabiramp.core.events import StopRequested, Tick
from wasabiramp.core.registry import handles
from wasabiramp.jobs.journal import LOADING
from wasabiramp.membership.changes import propose_members
from wasabiramp.membership.rights import is_member

UNREADY_S: Final = 0.5
"""How long the balancer is given to notice before targets are handed over."""

LINGER_S: Final = 1.0
"""How long nothing may be under way before the end: peers that have not heard of the new epoch
still offer requests, and the last answers are still on their way."""


@handles(StopRequested)
def start_leaving(context: Context, _event: StopRequested) -> None:
    """Fail the readiness check first; callers already here are still served."""
    state = context.state.membership
    if state.is_leaving:
        return
    state.is_leaving = True
    state.handover_since = context.now
    state.idle_since = context.now
    state.leave_deadline = context.now + context.settings.drain_s
    context.add(SetReadiness(False))
    context.log("leaving", drain_s=context.settings.drain_s)


@handles(Tick)
def keep_leaving(context: Context, _event: Tick) -> None:
    """Leave the member list, then exit once nothing is under way."""
    state = context.state.membership
    if not state.is_leaving or context.now < state.handover_since + UNREADY_S:
        return
    is_late = context.now >= state.leave_deadline
    if is_member(context):
        state.idle_since = context.now
        _hand_over(context)
        if not is_late:
            return
    if not _is_idle(context):
        state.idle_since = context.now
    is_quiet = context.now >= state.idle_since + LINGER_S
    if state.has_left or not (is_late or is_quiet):
        return
    state.has_left = True
    context.log("left", late=is_late)
    context.add(ExitDaemon())


def _hand_over(context: Context) -> None:
    """Write an epoch without this member, once its own journals are quiet."""
    state = context.state.membership
    if state.swap_pending or context.now < state.propose_after or not _are_journals_quiet(context):
        return
    state.propose_after = context.now + 0.3
    me = context.state.me.id
    staying = [member for member in state.current.members if member.id != me]
    propose_members(context, staying)


def _are_journals_quiet(context: Context) -> bool:
    """Tell whether no append or load is under way."""
    return all(
        not held.journal.in_flight and not held.journal.queue and held.journal.status != LOADING
        for held in context.state.jobs.partitions.values()
    )


def _is_idle(context: Context) -> bool:
    """Tell whether no caller waits and no call or sync of ours is under way."""
    dispatch = context.state.dispatch
    jobs = context.state.jobs
    if dispatch.requests or jobs.submissions or jobs.keyed_requests or jobs.awaiting_commit:
        return False
    if any(executor.calls for executor in dispatch.executors.values()):
        return False
    return not any(worker.is_syncing for worker in jobs.workers.values())
