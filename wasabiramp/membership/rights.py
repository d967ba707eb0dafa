"""The right to act: until when this daemon may act for what it owns.

The argument for safety is in docs/design/right-to-act.md. In short: a daemon acts in an epoch
while a majority of that epoch's witnesses has granted its heartbeat, or while a compare-and-swap
has shown that the store holds no later epoch. A witness that has seen a later epoch grants no
more. The next owner waits until the old right must have lapsed.
"""

from __future__ import annotations

from wasabiramp.const import CLOCK_DRIFT
from wasabiramp.core.context import Context
from wasabiramp.membership.owners import choose_witnesses, count_majority, find_owner_id
from wasabiramp.membership.state import Member, PastEpoch


def is_member(context: Context) -> bool:
    """Tell whether this incarnation is in the current member list."""
    me = context.state.me.id
    return any(member.id == me for member in context.state.membership.current.members)


def get_right_expiry(context: Context) -> float:
    """Return the loop time, in seconds, until which this daemon may act."""
    state = context.state.membership
    if not is_member(context):
        return -1.0
    duration_s = context.settings.right_s * (1 - CLOCK_DRIFT)
    granted_at = _get_majority_sent_at(context)
    return max(granted_at, state.confirmed_at) + duration_s


def _get_majority_sent_at(context: Context) -> float:
    """Return the newest send time that a majority of the witnesses has granted."""
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
    """Tell whether this daemon may act now."""
    return context.now < get_right_expiry(context)


def get_takeover_wait_s(context: Context) -> float:
    """Return how long after a fence, in seconds, an old right may still be in use."""
    return context.settings.right_s * (1 + 2 * CLOCK_DRIFT)


def has_left_epoch(context: Context, member: Member, epoch: int) -> bool:
    """Tell whether a member of an earlier epoch can grant or renew nothing in that epoch.

    It has adopted a later epoch, its instance has left the platform's list, or a later process
    holds its address.
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
    """Tell whether the platform's list shows that the member's instance no longer exists.

    The list lags by at most the setting `list_lag_s`, so an absence counts only in a list that
    was asked for that long after we first heard of the member.
    """
    state = context.state.membership
    if not state.instance_states or member.name in state.instance_states:
        return False
    first_seen_at = state.first_seen_at.get(member.id, context.now)
    return state.instance_states_asked_at >= first_seen_at + context.settings.list_lag_s


def update_fences(context: Context) -> None:
    """Note for each earlier epoch when it was first certain that no right in it is renewed."""
    state = context.state.membership
    for past in state.current.history:
        if past.epoch not in state.fenced_at and _is_fenced(context, past):
            state.fenced_at[past.epoch] = context.now


def _is_fenced(context: Context, past: PastEpoch) -> bool:
    """Tell whether too few of the epoch's witnesses remain to make a majority."""
    by_id = {member.id: member for member in past.members}
    witnesses = choose_witnesses(past.members)
    active_count = 0
    for witness in witnesses:
        if not has_left_epoch(context, by_id[witness], past.epoch):
            active_count += 1
    return active_count < count_majority(len(witnesses))


def is_epoch_expired(context: Context, past: PastEpoch) -> bool:
    """Tell whether every right in the earlier epoch has lapsed."""
    state = context.state.membership
    fenced_at = state.fenced_at.get(past.epoch)
    if fenced_at is None:
        return False
    return context.now >= fenced_at + get_takeover_wait_s(context)


def can_take_over(context: Context, key: str) -> bool:
    """Tell whether no earlier owner of the key can still act for it.

    An earlier epoch matters only when another member owned the key in it. Such a member may also
    say itself that it has handed over cleanly, with nothing of its own still under way.
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
