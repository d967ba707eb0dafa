"""The right to act: a lease under which a daemon may act for the targets that it owns.

A daemon holds the right in an epoch for a limited time after a majority of that epoch's witnesses
granted its heartbeat, or after a compare-and-swap showed that the store holds no later epoch. A
witness that has adopted a later epoch grants no heartbeat of an earlier one. An earlier epoch is
fenced once so many of its witnesses have left it that no right in it can be renewed. The next owner
of a target waits until the earlier owner's right must have expired. The argument for safety is in
docs/design/right-to-act.md.
"""

from __future__ import annotations

from wasabiramp.const import CLOCK_DRIFT_SHARE
from wasabiramp.core.context import Context
from wasabiramp.membership.owners import choose_witnesses, count_majority, find_owner_id
from wasabiramp.membership.state import Member, PastEpoch


def is_member(context: Context) -> bool:
    """Return whether this incarnation is in the current member list."""
    me = context.state.me.id
    return any(member.id == me for member in context.state.membership.current.members)


def get_right_expiry(context: Context) -> float:
    """Return the loop time, in seconds, until which this daemon may act.

    It is -1 for a daemon that is not a member.
    """
    state = context.state.membership
    if not is_member(context):
        return -1.0
    duration_s = context.settings.right_s * (1 - CLOCK_DRIFT_SHARE)
    granted_at = _get_majority_sent_at(context)
    return max(granted_at, state.confirmed_at) + duration_s


def _get_majority_sent_at(context: Context) -> float:
    """Return the latest send time that a majority of the witnesses has granted.

    Each witness counts with the newest of this daemon's heartbeats that it granted. A daemon that
    is a witness itself grants its own heartbeats immediately.
    """
    state = context.state.membership
    witnesses = choose_witnesses(state.current.members)
    sent_times = []
    for witness in witnesses:
        if witness == context.state.me.id:
            sent_times.append(context.now)
            continue
        view = state.views.get(witness)
        sent_times.append(view.acked_sent_at if view else -1e9)
    sent_times.sort(reverse=True)
    return sent_times[count_majority(len(witnesses)) - 1]


def has_right(context: Context) -> bool:
    """Return whether this daemon may act now."""
    return context.now < get_right_expiry(context)


def get_takeover_wait_s(context: Context) -> float:
    """Return how long after an epoch was fenced, in seconds, rights in it may still be in use."""
    return context.settings.right_s * (1 + 2 * CLOCK_DRIFT_SHARE)


def has_left_epoch(context: Context, member: Member, epoch: int) -> bool:
    """Return whether a member of an earlier epoch can no longer grant or renew rights in it.

    This holds if it adopted a later epoch, if its instance is no longer on the platform's list, or
    if a later process has its address.
    """
    state = context.state.membership
    if member.id == context.state.me.id:
        return state.current.epoch > epoch
    view = state.views.get(member.id)
    if view is not None and view.epoch > epoch:
        return True
    for other in state.current.members:
        if other.id != member.id and (other.name, other.peer) == (member.name, member.peer):
            return True
    return is_instance_gone(context, member)


def is_instance_gone(context: Context, member: Member) -> bool:
    """Return whether the platform's list shows that the member's instance no longer exists.

    The list is stale by at most the setting `list_lag_s`, so an absence counts only in a list that
    was requested at least that long after this daemon first learned of the member.
    """
    state = context.state.membership
    if not state.instance_states or member.name in state.instance_states:
        return False
    first_seen_at = state.first_seen_at.get(member.id, context.now)
    return state.instance_states_asked_at >= first_seen_at + context.settings.list_lag_s


def update_fences(context: Context) -> None:
    """Record when it was first certain that no right in an earlier epoch can be renewed."""
    state = context.state.membership
    for past in state.current.history:
        if past.epoch not in state.fenced_at and _is_fenced(context, past):
            state.fenced_at[past.epoch] = context.now


def _is_fenced(context: Context, past: PastEpoch) -> bool:
    """Return whether too few witnesses of the epoch remain in it for a majority."""
    by_id = {member.id: member for member in past.members}
    witnesses = choose_witnesses(past.members)
    active_count = 0
    for witness in witnesses:
        if not has_left_epoch(context, by_id[witness], past.epoch):
            active_count += 1
    return active_count < count_majority(len(witnesses))


def is_epoch_expired(context: Context, past: PastEpoch) -> bool:
    """Return whether every right in the earlier epoch has expired."""
    state = context.state.membership
    fenced_at = state.fenced_at.get(past.epoch)
    if fenced_at is None:
        return False
    return context.now >= fenced_at + get_takeover_wait_s(context)


def can_take_over(context: Context, key: str) -> bool:
    """Return whether no earlier owner of the key can still act for it.

    An earlier epoch matters only if another member owned the key in it. That member no longer acts
    if every right in the epoch has expired, or if it reported a later clean epoch, which means that
    it has no work under way on targets that it lost.
    """
    state = context.state.membership
    for past in state.current.history:
        owner = find_owner_id(key, past.members)
        if owner is None or owner == context.state.me.id or is_epoch_expired(context, past):
            continue
        view = state.views.get(owner)
        if view is not None and view.clean_epoch > past.epoch:
            continue
        return False
    return True
