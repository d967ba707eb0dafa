"""Changes of the member list: joining, adopting a new epoch and removing silent members."""

from __future__ import annotations

from wasabiramp.const import KEY_MEMBERS
from wasabiramp.core.context import Context
from wasabiramp.core.effects import ListInstances
from wasabiramp.core.events import CONFLICT, OK, InstancesListed, StoreAnswer, Tick
from wasabiramp.core.registry import handles, handles_store_answer, receives
from wasabiramp.membership.heartbeats import list_suspects
from wasabiramp.membership.owners import choose_witnesses, count_majority
from wasabiramp.membership.rights import (
    get_right_expiry,
    has_right,
    is_epoch_expired,
    is_member,
    update_fences,
)
from wasabiramp.membership.state import Member, MemberList, PastEpoch, PeerView
from wasabiramp.membership.targets import refresh_owned_targets
from wasabiramp.peer.messages import MembersTold

MEMBERS_READ_INTERVAL_S = 2.0
INSTANCES_LIST_INTERVAL_S = 1.0
JOIN_RETRY_DELAY_S = 1.0
PROPOSE_RETRY_DELAY_S = 1.0


@handles(Tick)
def handle_membership_tick(context: Context, _event: Tick) -> None:
    """Read the lists that are due, and join, confirm the right to act or propose removals."""
    state = context.state.membership
    update_fences(context)
    if context.now >= state.list_due_at:
        state.list_due_at = context.now + INSTANCES_LIST_INTERVAL_S
        context.add(ListInstances())
    if context.now >= state.read_due_at:
        state.read_due_at = context.now + MEMBERS_READ_INTERVAL_S
        context.read("members.read", KEY_MEMBERS)
    if state.has_left:
        return
    if not is_member(context):
        if not state.is_leaving:
            _join(context)
        return
    _request_confirmation(context)
    _propose_removals(context)
    _log_right_change(context)


@handles(InstancesListed)
def handle_instances_listed(context: Context, event: InstancesListed) -> None:
    """Record the platform's list of instances, unless one that was requested later is known."""
    state = context.state.membership
    if event.sent_at < state.instance_states_asked_at:
        return
    state.instance_states_asked_at = event.sent_at
    state.instance_states = {instance.name: instance.state for instance in event.instances}


def _log_right_change(context: Context) -> None:
    """Log when the right to act is gained or lost."""
    state = context.state.membership
    holds_right = has_right(context)
    if holds_right == state.last_logged_right:
        return
    state.last_logged_right = holds_right
    context.log("right_gained" if holds_right else "right_lost", epoch=state.current.epoch)


def _join(context: Context) -> None:
    """Propose to add this incarnation in place of an earlier one of the same instance."""
    state = context.state.membership
    if state.is_swap_pending or context.now < state.join_due_at:
        return
    state.join_due_at = context.now + JOIN_RETRY_DELAY_S
    me = context.state.me
    others = [member for member in state.current.members if member.name != me.name]
    members = sorted([*others, me], key=lambda member: member.name)
    propose_members(context, members)


def propose_members(context: Context, members: list[Member]) -> None:
    """Write a member list with these members and the next epoch to the store.

    Earlier epochs stay in its history until every right in them has expired.
    """
    state = context.state.membership
    current = state.current
    history = [past for past in current.history if not is_epoch_expired(context, past)]
    if current.members:
        history.append(PastEpoch(current.epoch, current.members))
    proposed = MemberList(current.epoch + 1, members, history)
    state.is_swap_pending = True
    context.compare_and_swap("members.swap", KEY_MEMBERS, proposed, state.revision)


def _request_confirmation(context: Context) -> None:
    """Ask the store for the committed epoch when less than half of `right_s` is left.

    This happens if the witnesses do not grant heartbeats in time. The right to act is renewed if no
    later epoch was committed. The comparison never matches, so
    nothing is written; unlike a read, a compare-and-swap is always answered from the committed
    value.
    """
    state = context.state.membership
    margin_s = context.settings.right_s / 2
    if state.is_confirming or get_right_expiry(context) - context.now > margin_s:
        return
    state.is_confirming = True
    context.compare_and_swap("members.confirm", KEY_MEMBERS, None, -1)


def _propose_removals(context: Context) -> None:
    """Propose an epoch without the members that enough witnesses report as silent."""
    state = context.state.membership
    suspects = list_suspects(context)
    if not suspects or state.is_swap_pending or context.now < state.propose_due_at:
        return
    removed_ids = [suspect for suspect in suspects if _is_removal_agreed(context, suspect)]
    if not removed_ids:
        return
    state.propose_due_at = context.now + context.random.uniform(0.2, 0.6)
    context.log("removal_proposed", members=",".join(removed_ids), epoch=state.current.epoch + 1)
    propose_members(
        context, [member for member in state.current.members if member.id not in removed_ids]
    )


def _is_removal_agreed(context: Context, suspect: str) -> bool:
    """Return whether enough witnesses agree that the member is silent.

    A majority of all witnesses is sufficient. A minority is sufficient only if it consists of every
    witness that still sends heartbeats, and the member has been silent for three times `suspect_s`.
    """
    state = context.state.membership
    me = context.state.me.id
    witnesses = choose_witnesses(state.current.members)
    silent_ids = set(list_suspects(context))
    heard_witnesses = [
        witness for witness in witnesses if witness != me and witness not in silent_ids
    ]
    agreeing_count = sum(
        1 for witness in heard_witnesses if suspect in state.views[witness].suspects
    )
    agreeing_count += 1 if me in witnesses else 0
    if agreeing_count >= count_majority(len(witnesses)):
        return True
    view = state.views.get(suspect)
    silent_s = context.now - (view.heard_at if view else state.epoch_adopted_at)
    is_unanimous = agreeing_count == len(heard_witnesses) + (1 if me in witnesses else 0)
    return is_unanimous and silent_s > 3 * context.settings.suspect_s


@handles_store_answer("members.read")
def handle_members_read(context: Context, answer: StoreAnswer) -> None:
    """Adopt the member list that was read, if it is newer than the known one."""
    if answer.status == OK:
        _adopt_items(context, answer)


@handles_store_answer("members.swap")
def handle_members_swap(context: Context, answer: StoreAnswer) -> None:
    """Adopt the committed list after a write, whether it is this daemon's or another's."""
    state = context.state.membership
    state.is_swap_pending = False
    if answer.status in (OK, CONFLICT):
        _adopt_items(context, answer)
        if answer.status == OK:
            _send_member_list(context)
        # Of several daemons that join at once, one succeeds per write; the others retry soon.
        state.join_due_at = context.now + context.random.uniform(0.02, 0.2)
        return
    state.read_due_at = context.now
    state.propose_due_at = context.now + PROPOSE_RETRY_DELAY_S


def _send_member_list(context: Context) -> None:
    """Send the list just written to the members of its epoch and of the previous one."""
    state = context.state.membership
    message = MembersTold(state.current, state.revision)
    member_ids = {member.id for member in state.current.members}
    for past in state.current.history[-1:]:
        member_ids.update(member.id for member in past.members)
    for member in sorted(member_ids - {context.state.me.id}):
        context.send(member, message)


@handles_store_answer("members.confirm")
def handle_members_confirm(context: Context, answer: StoreAnswer) -> None:
    """Renew the right to act if the committed epoch is the current one.

    The proof holds for the time at which the store was asked, not for the time of the answer.
    """
    state = context.state.membership
    state.is_confirming = False
    if answer.status != CONFLICT:
        return
    _adopt_items(context, answer)
    committed = answer.items[0].value if answer.items else None
    if committed is not None and committed.epoch == state.current.epoch:
        state.confirmed_at = max(state.confirmed_at, answer.sent_at)


def _adopt_items(context: Context, answer: StoreAnswer) -> None:
    """Adopt the member list in a store answer, if it holds one that is newer."""
    for item in answer.items:
        if item.value is not None:
            adopt_member_list(context, item.value, item.revision)


@receives(MembersTold)
def handle_members_told(context: Context, _sender: str, message: MembersTold) -> None:
    """Adopt the member list of a peer, if it is newer than the known one."""
    adopt_member_list(context, message.members, message.revision)


def adopt_member_list(context: Context, members: MemberList, revision: int) -> None:
    """Move to the list's epoch if it is later than the current one."""
    state = context.state.membership
    if members.epoch <= state.current.epoch:
        return
    state.current = members
    state.revision = revision
    state.epoch_adopted_at = context.now
    # Confirmations hold for one epoch only, as do the grants that are reset below.
    state.confirmed_at = -1e9
    state.fenced_at = {
        past.epoch: state.fenced_at[past.epoch]
        for past in members.history
        if past.epoch in state.fenced_at
    }
    member_ids = {member.id for member in members.members}
    known_ids = member_ids | {member.id for past in members.history for member in past.members}
    state.views = {
        member_id: view for member_id, view in state.views.items() if member_id in known_ids
    }
    state.first_seen_at = {
        member_id: state.first_seen_at.get(member_id, context.now) for member_id in known_ids
    }
    for member_id in sorted(member_ids - {context.state.me.id}):
        view = state.views.setdefault(member_id, PeerView(heard_at=context.now))
        view.acked_sent_at = -1e9
    state.heartbeat_due_at = context.now
    refresh_owned_targets(context)
    context.log(
        "epoch_adopted",
        epoch=members.epoch,
        members=len(members.members),
        is_member=is_member(context),
    )
    update_fences(context)
