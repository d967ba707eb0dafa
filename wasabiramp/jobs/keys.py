"""Request keys, with which a non-idempotent request runs at most once.

The home of a key records the intent in its journal before the request runs, and the verdict
afterwards. Repeats of the key get the first verdict.
"""

from __future__ import annotations

from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import OK, PeerLost, RequestArrived, Tick
from wasabiramp.core.records import record
from wasabiramp.core.registry import handles, receives
from wasabiramp.core.verdict import NOT_RUN, Verdict
from wasabiramp.dispatch.requests import submit_request
from wasabiramp.dispatch.state import Request
from wasabiramp.jobs import journal
from wasabiramp.jobs.state import Append, KeyEntry, KeyRecord, PartitionState
from wasabiramp.membership.owners import build_partition_key, find_owner_id, find_partition
from wasabiramp.peer.messages import KeyedAnswered, KeyedRequest

KIND_INTENT: Final = "key-intent"
KIND_VERDICT: Final = "key-verdict"
RESEND_DELAY_S: Final = 0.2
"""Delay before a request is sent again if its home was not ready."""

RETRY_AFTER_S: Final = 2.0
"""Time after which callers are asked to retry a request that did not run."""

MAX_KEPT_BODY_BYTES: Final = 2048
"""Size above which the body of an answer is not stored for repeats of the key."""

NOT_READY: Final = "the home of the key is not ready"


@record
class KeyedWait:
    """Request with a key at its entry.

    `home` is the member to which it was sent, or empty; it is then sent at the loop time `send_at`.
    """

    message: KeyedRequest
    deadline_at: float
    home: str = ""
    send_at: float = 0.0


@handles(RequestArrived)
def handle_keyed_request_arrived(context: Context, event: RequestArrived) -> None:
    """Send a non-idempotent request with a key to the home of the key."""
    if not event.key or event.is_idempotent:
        return
    message = KeyedRequest(
        event.request_id,
        event.service,
        event.team,
        event.key,
        event.body,
        event.deadline_s,
        event.is_idempotent,
        event.work_class,
    )
    wait = KeyedWait(message, context.now + event.deadline_s)
    context.state.jobs.keyed_requests[event.request_id] = wait
    _send_to_home(context, wait)


def _send_to_home(context: Context, wait: KeyedWait) -> None:
    """Send a request to the current home of its key, or schedule a retry if there is none."""
    message = wait.message
    partition = find_partition(message.team, message.key)
    members = context.state.membership.current.members
    home = find_owner_id(build_partition_key(partition), members)
    if home is None:
        wait.send_at = context.now + RESEND_DELAY_S
        return
    wait.home = home
    message.deadline_s = wait.deadline_at - context.now
    context.send(home, message)


@receives(KeyedRequest)
def handle_keyed_request(context: Context, sender: str, message: KeyedRequest) -> None:
    """Append the intent of a new key to the journal, or reply to a repeat of a known key."""
    partition = find_partition(message.team, message.key)
    state = context.state.jobs.partitions.get(partition)
    if not journal.is_ready(state) or journal.is_store_failing(context, state):
        verdict = Verdict.not_run(NOT_READY, RETRY_AFTER_S)
        context.send(sender, KeyedAnswered(message.request_id, verdict))
        return
    key = _build_team_key(message.team, message.key)
    entry = state.keys.get(key)
    if entry is not None:
        _reply_to_repeat(context, sender, message, entry)
        return
    entry = state.keys[key] = KeyEntry(is_ours=True)
    entry.waiters.append((sender, message.request_id))
    request = Request(
        f"{sender}/{message.request_id}",
        message.service,
        message.team,
        message.body,
        context.now + message.deadline_s,
        message.is_idempotent,
        message.work_class,
        context.now,
        key=key,
    )
    context.state.jobs.awaiting_commit[request.request_id] = request
    journal.append(context, state, [KeyRecord(key, None)], KIND_INTENT, request.request_id)


def _build_team_key(team: str, key: str) -> str:
    """Return the key qualified by its team, since teams do not share keys."""
    return f"{team}/{key}"


def _reply_to_repeat(context: Context, sender: str, message: KeyedRequest, entry: KeyEntry) -> None:
    """Reply to a repeated key with its first verdict, now or once it is known.

    A key of an earlier home without a verdict may have run.
    """
    if entry.verdict is not None:
        context.send(sender, KeyedAnswered(message.request_id, entry.verdict))
        return
    if entry.is_ours:
        entry.waiters.append((sender, message.request_id))
        return
    verdict = Verdict.may_have_run("an earlier daemon took the key and its outcome is lost")
    context.send(sender, KeyedAnswered(message.request_id, verdict))


@journal.handles_commit(KIND_INTENT)
def handle_intent_commit(
    context: Context, state: PartitionState, item: Append, outcome: str
) -> None:
    """Start the request once the store holds its intent."""
    request = context.state.jobs.awaiting_commit.pop(item.reference, None)
    if request is None:
        return
    if outcome == OK and context.now < request.deadline_at:
        submit_request(context, request)
        return
    reason = "the intent could not be recorded before the deadline"
    _complete_key(
        context, state, request.key, Verdict.not_run(reason, RETRY_AFTER_S), outcome == OK
    )


def record_key_verdict(context: Context, request: Request, verdict: Verdict) -> None:
    """Record the verdict of a request under its key and reply to all waiting requests."""
    for state in context.state.jobs.partitions.values():
        entry = state.keys.get(request.key)
        if entry is not None and entry.is_ours and entry.verdict is None:
            _complete_key(context, state, request.key, verdict, True)
            return


def _complete_key(
    context: Context, state: PartitionState, key: str, verdict: Verdict, is_recorded: bool
) -> None:
    """Reply to the waiting requests and store the verdict; a key that did not run is removed."""
    entry = state.keys.get(key)
    if entry is None:
        return
    waiters, entry.waiters = entry.waiters, []
    entry.verdict = verdict
    if verdict.outcome == NOT_RUN:
        del state.keys[key]
    for member, request_id in waiters:
        context.send(member, KeyedAnswered(request_id, verdict))
    if is_recorded and not state.is_lost:
        record_with_verdict = KeyRecord(key, _trim_verdict(verdict))
        journal.append(
            context, state, [record_with_verdict], KIND_VERDICT, key, journal.LAZY_WRITE_DELAY_S
        )


def _trim_verdict(verdict: Verdict) -> Verdict:
    """Return the verdict to be stored, without its body if that is too large."""
    if len(verdict.body) <= MAX_KEPT_BODY_BYTES:
        return verdict
    return Verdict.ran(b"", "the answer was too large to keep")


@receives(KeyedAnswered)
def handle_keyed_answered(context: Context, sender: str, answer: KeyedAnswered) -> None:
    """Answer the caller, or schedule a retry before the deadline if the home was not ready."""
    wait = context.state.jobs.keyed_requests.get(answer.request_id)
    if wait is None or wait.home != sender:
        return
    is_unready = answer.verdict.outcome == NOT_RUN and answer.verdict.reason == NOT_READY
    if is_unready and context.now + RESEND_DELAY_S < wait.deadline_at:
        wait.home = ""
        wait.send_at = context.now + RESEND_DELAY_S
        return
    del context.state.jobs.keyed_requests[answer.request_id]
    context.answer(answer.request_id, answer.verdict)


@handles(PeerLost)
def handle_key_home_lost(context: Context, event: PeerLost) -> None:
    """Answer requests sent to a lost home as may-have-run, since it may have run them."""
    for request_id, wait in list(context.state.jobs.keyed_requests.items()):
        if wait.home == event.member:
            del context.state.jobs.keyed_requests[request_id]
            context.answer(request_id, Verdict.may_have_run("the home of the key was lost"))


@handles(Tick)
def handle_keyed_request_tick(context: Context, _event: Tick) -> None:
    """Send requests that wait for a home, and answer those past their deadline."""
    for request_id, wait in list(context.state.jobs.keyed_requests.items()):
        if context.now >= wait.deadline_at:
            del context.state.jobs.keyed_requests[request_id]
            verdict = Verdict.not_run(NOT_READY, RETRY_AFTER_S)
            if wait.home:
                verdict = Verdict.may_have_run("the deadline passed before the answer came")
            context.answer(request_id, verdict)
        elif not wait.home and context.now >= wait.send_at:
            _send_to_home(context, wait)
    for request_id, request in list(context.state.jobs.awaiting_commit.items()):
        if isinstance(request, Request) and context.now >= request.deadline_at:
            _withdraw_intent(context, request_id, request)


def _withdraw_intent(context: Context, request_id: str, request: Request) -> None:
    """Remove a queued intent past its deadline; the request did not run."""
    for state in context.state.jobs.partitions.values():
        if journal.withdraw(state, KIND_INTENT, request_id):
            del context.state.jobs.awaiting_commit[request_id]
            verdict = Verdict.not_run("the store is away", RETRY_AFTER_S)
            _complete_key(context, state, request.key, verdict, False)
            return


@journal.replays(KeyRecord)
def replay_key(_context: Context, state: PartitionState, item: KeyRecord) -> None:
    """Restore a key; without a verdict its request may have run."""
    if item.verdict is not None and item.verdict.outcome == NOT_RUN:
        state.keys.pop(item.key, None)
        return
    state.keys[item.key] = KeyEntry(item.verdict)


@journal.SNAPSHOT_BUILDERS.append
def snapshot_keys(state: PartitionState, kept_count: int) -> list[KeyRecord]:
    """Drop the oldest keys with a verdict over `kept_count`, and return records of the rest."""
    settled = [key for key, entry in state.keys.items() if entry.verdict is not None]
    for key in settled[: max(0, len(settled) - kept_count)]:
        del state.keys[key]
    return [
        KeyRecord(key, _trim_verdict(entry.verdict) if entry.verdict else None)
        for key, entry in state.keys.items()
    ]
