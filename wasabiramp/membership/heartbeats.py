"""Heartbeats, which renew the right to act and carry load and revisions between members."""

from __future__ import annotations

from wasabiramp.core.context import Context
from wasabiramp.core.events import Tick
from wasabiramp.core.registry import handles, receives
from wasabiramp.dispatch.load import summarize_load
from wasabiramp.jobs.capacity import summarize_free
from wasabiramp.membership.owners import choose_witnesses
from wasabiramp.membership.rights import is_member, update_fences
from wasabiramp.membership.state import PeerView
from wasabiramp.peer.messages import ConfigAsked, Heartbeat, HeartbeatAck, MembersTold

FULL_RATE_MEMBER_COUNT = 8
"""Number of members up to which heartbeats are sent at the interval `heartbeat_s`."""


def get_heartbeat_interval_s(context: Context) -> float:
    """Return the time between heartbeats, in seconds.

    A witness receives heartbeats of every member. The interval therefore grows with the number of
    members, which bounds the network load of a witness, up to a third of `right_s`.
    """
    member_count = len(context.state.membership.current.members)
    scaled_s = context.settings.heartbeat_s * max(1.0, member_count / FULL_RATE_MEMBER_COUNT)
    return min(scaled_s, context.settings.right_s / 3)


def list_suspects(context: Context) -> list[str]:
    """Return the members silent for `suspect_s`; empty unless this daemon is a witness."""
    state = context.state.membership
    me = context.state.me.id
    if me not in choose_witnesses(state.current.members):
        return []
    oldest_heard_at = context.now - context.settings.suspect_s
    return [
        member.id
        for member in state.current.members
        if member.id != me and state.views[member.id].heard_at < oldest_heard_at
    ]


def build_heartbeat(context: Context) -> Heartbeat:
    """Return a heartbeat with the current state of this daemon."""
    state = context.state
    return Heartbeat(
        epoch=state.membership.current.epoch,
        sent_at=context.now,
        config_revision=state.intent.synced_revision,
        suspects=tuple(list_suspects(context)),
        is_leaving=state.membership.is_leaving,
        clean_epoch=find_clean_epoch(context),
        load=summarize_load(context),
        free=summarize_free(context),
    )


def find_clean_epoch(context: Context) -> int:
    """Return the current epoch if no work is under way on targets owned by others, else 0.

    The new owners of those targets need not wait for this daemon's right to expire.
    """
    state = context.state
    for executor in state.dispatch.executors.values():
        if not executor.is_owned and executor.calls:
            return 0
    for worker in state.jobs.workers.values():
        if not worker.is_owned and worker.is_syncing:
            return 0
    return state.membership.current.epoch


@handles(Tick)
def send_heartbeats(context: Context, _event: Tick) -> None:
    """Send a heartbeat to every witness when one is due."""
    state = context.state.membership
    if context.now < state.heartbeat_due_at or not state.current.members:
        return
    state.heartbeat_due_at = context.now + get_heartbeat_interval_s(context)
    heartbeat = build_heartbeat(context)
    for witness in choose_witnesses(state.current.members):
        if witness != context.state.me.id:
            context.send(witness, heartbeat)


@receives(Heartbeat)
def handle_heartbeat(context: Context, sender: str, heartbeat: Heartbeat) -> None:
    """Answer a heartbeat; it is granted if this daemon is a member in the sender's epoch."""
    state = context.state.membership
    record_heartbeat(context, sender, heartbeat)
    is_granted = heartbeat.epoch == state.current.epoch and is_member(context)
    context.send(
        sender,
        HeartbeatAck(heartbeat.epoch, heartbeat.sent_at, is_granted, build_heartbeat(context)),
    )
    _exchange_updates(context, sender, heartbeat)


@receives(HeartbeatAck)
def handle_heartbeat_ack(context: Context, sender: str, ack: HeartbeatAck) -> None:
    """Record a grant of the current epoch, which renews the right to act."""
    state = context.state.membership
    record_heartbeat(context, sender, ack.beat)
    if ack.is_granted and ack.epoch == state.current.epoch:
        view = state.views[sender]
        view.acked_sent_at = max(view.acked_sent_at, ack.sent_at)
    _exchange_updates(context, sender, ack.beat)


def record_heartbeat(context: Context, sender: str, heartbeat: Heartbeat) -> None:
    """Record the state of a member as reported in its heartbeat."""
    state = context.state.membership
    view = state.views.setdefault(sender, PeerView(heard_at=context.now))
    view.heard_at = context.now
    view.epoch = max(view.epoch, heartbeat.epoch)
    view.suspects = tuple(heartbeat.suspects)
    view.is_leaving = heartbeat.is_leaving
    view.clean_epoch = max(view.clean_epoch, heartbeat.clean_epoch)
    view.load = heartbeat.load
    view.free = tuple(heartbeat.free)
    update_fences(context)


def _exchange_updates(context: Context, sender: str, heartbeat: Heartbeat) -> None:
    """Send the member list to a peer in an earlier epoch, and request newer resources from it."""
    state = context.state
    if heartbeat.epoch < state.membership.current.epoch:
        message = MembersTold(state.membership.current, state.membership.revision)
        context.send(sender, message)
    if heartbeat.config_revision > state.intent.synced_revision:
        context.send(sender, ConfigAsked(state.intent.synced_revision))
