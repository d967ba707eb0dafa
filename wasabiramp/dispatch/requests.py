"""Requests from arrival to verdict.

A request runs on an executor of this daemon, is offered to another owner of executors that has a
free slot, or waits in the queue, in this order of preference.
"""

from __future__ import annotations

import heapq
from typing import Final

from wasabiramp.core.context import Context
from wasabiramp.core.events import (
    FAILED,
    OK,
    ExecutorAnswered,
    PeerLost,
    RequestArrived,
    Tick,
)
from wasabiramp.core.registry import handles, receives
from wasabiramp.core.verdict import MAY_HAVE_RUN, NOT_RUN, RAN, Verdict
from wasabiramp.dispatch.executors import (
    count_free_slots,
    find_free_executor,
    has_live_executor,
    is_service_known,
    record_clock,
    record_failure,
    start_call,
)
from wasabiramp.dispatch.state import OFFERED, QUEUED, RUNNING, Executor, Request
from wasabiramp.peer.messages import RequestAnswered, RequestOffered, WorkWanted
from wasabiramp.policy.admission import QueueView, find_admission_refusal
from wasabiramp.policy.ordering import FairQueue, Waiting
from wasabiramp.policy.retry import MAX_TOKENS, TOKENS_PER_REQUEST, draw_backoff_s, get_retry_policy

WORK_WANTED_RECIPIENTS: Final = 2
"""Number of members that are asked for waiting requests at a time."""

WORK_WANTED_VALID_S: Final = 0.25
"""Time for which free slots that a WorkWanted message announced are taken to be free."""

WORK_WANTED_INTERVAL_S: Final = 0.02
"""Minimum time between two rounds of WorkWanted messages for the same service."""

MAX_LOST_ATTEMPTS: Final = 3
"""Number of attempts of a request that may end without an answer.

The request may have crashed the executors, so that another attempt would crash a further one."""

RETRY_AFTER_S: Final = 1.0
"""Time after which a caller may retry a request that was refused."""


@handles(RequestArrived)
def handle_request_arrived(context: Context, event: RequestArrived) -> None:
    """Submit a caller's request; one with a key that is not idempotent is handled by jobs.keys."""
    if event.key and not event.is_idempotent:
        return
    request = Request(
        event.request_id,
        event.service,
        event.team,
        event.body,
        context.now + event.deadline_s,
        event.is_idempotent,
        event.work_class,
        context.now,
    )
    submit_request(context, request)


def submit_request(context: Context, request: Request) -> None:
    """Refuse a request that cannot be served, or else place it."""
    dispatch = context.state.dispatch
    dispatch.requests[request.request_id] = request
    if not context.state.intent.synced_revision:
        reason = "this daemon does not know the configuration yet"
        finish_request(context, request, Verdict.not_run(reason, RETRY_AFTER_S))
        return
    if not is_service_known(context, request.service):
        finish_request(context, request, Verdict.not_run(f"service: unknown {request.service!r}"))
        return
    if not has_live_executor(context, request.service):
        reason = "no live executor of the service is trusted"
        finish_request(context, request, Verdict.not_run(reason, RETRY_AFTER_S))
        return
    dispatch.retry_tokens = min(MAX_TOKENS, dispatch.retry_tokens + TOKENS_PER_REQUEST)
    heapq.heappush(dispatch.deadlines, (request.deadline_at, request.request_id))
    _place_request(context, request)


def _place_request(context: Context, request: Request) -> None:
    """Start the request here, offer it to another owner, or queue it.

    Requests that already wait for the service go first.
    """
    queue = context.state.dispatch.queues.get(request.service)
    if not queue:
        executor = find_free_executor(context, request.service)
        if executor is not None:
            _start_request(context, executor, request)
            return
        owner = _select_owner(context, request)
        if owner is not None:
            _send_offer(context, owner, request)
            return
    _enqueue(context, request)
    _offer_next_waiting(context, request.service)


def _offer_next_waiting(context: Context, service: str) -> None:
    """Offer the first waiting request to another owner that may have a free slot."""
    queue = context.state.dispatch.queues.get(service)
    if not queue or not _has_candidate_owner(context, service):
        return
    request = _pop_waiting(context, queue)
    if request is None:
        return
    owner = _select_owner(context, request)
    if owner is None:
        _enqueue(context, request)
        return
    _send_offer(context, owner, request)


def _has_candidate_owner(context: Context, service: str) -> bool:
    """Return whether another owner asked for work or last reported free slots."""
    if context.state.dispatch.work_wanted.get(service):
        return True
    views = context.state.membership.views.values()
    return any(view.load.get(service, (0, 0))[0] > 0 for view in views)


def _start_request(context: Context, executor: Executor, request: Request) -> None:
    """Start the request on an executor that this daemon owns."""
    request.state = RUNNING
    request.attempts += 1
    wait_s = context.now - request.arrived_at
    if not request.origin:
        context.count("request_wait_seconds", wait_s, work_class=request.work_class)
    start_call(context, executor, request)


def _select_owner(context: Context, request: Request) -> str | None:
    """Return the owner to which to offer the request, or None.

    An owner that asked for work is preferred; the slot is deducted from those that it announced.
    Otherwise two owners with free slots are drawn at random and the one with more is chosen.
    """
    work_wanted = context.state.dispatch.work_wanted.get(request.service, {})
    for member, (slots, valid_until) in list(work_wanted.items()):
        del work_wanted[member]
        if valid_until < context.now or slots <= 0:
            continue
        if slots > 1:
            work_wanted[member] = (slots - 1, valid_until)
        return member
    views = context.state.membership.views
    free = {
        member.id: views[member.id].load[request.service][0]
        for member in context.state.membership.current.members
        if member.id in views
        and not views[member.id].is_leaving
        and request.service in views[member.id].load
        and views[member.id].load[request.service][0] > 0
    }
    if not free:
        return None
    sampled = context.random.sample(sorted(free), min(2, len(free)))
    return max(sampled, key=lambda member_id: free[member_id])


def _record_free_slots(context: Context, member: str, service: str, free: int) -> None:
    """Correct the last reported number of a member's free slots; its next report replaces it."""
    view = context.state.membership.views.get(member)
    if view is not None:
        waiting = view.load.get(service, (0, 0))[1]
        view.load[service] = (max(0, free), waiting)


def _send_offer(context: Context, owner: str, request: Request) -> None:
    """Offer the request to an owner, which starts it immediately or refuses it."""
    request.state = OFFERED
    request.offered_to = owner
    view = context.state.membership.views.get(owner)
    if view is not None:
        # Counted as used until the next report, so that offers spread over the members.
        _record_free_slots(
            context, owner, request.service, view.load.get(request.service, (0, 0))[0] - 1
        )
    message = RequestOffered(
        request.request_id,
        request.service,
        request.team,
        request.body,
        request.deadline_at - context.now,
        request.is_idempotent,
        request.work_class,
    )
    context.send(owner, message)


def _enqueue(context: Context, request: Request) -> None:
    """Queue the request at this daemon if its admission policy allows that.

    A request that was tried or queued before is always admitted.
    """
    dispatch = context.state.dispatch
    policy = context.state.intent.find_policy(request.work_class)
    queue = dispatch.queues.setdefault(request.service, FairQueue())
    view = QueueView(len(queue), context.settings.queue_limit, policy.priority)
    refusal = find_admission_refusal(policy.admission, view)
    if refusal and not request.attempts and not request.order:
        finish_request(context, request, Verdict.not_run(refusal, RETRY_AFTER_S))
        return
    request.state = QUEUED
    team = context.state.intent.teams.get(request.team)
    weight = team.weight if team else 1.0
    waiting = Waiting(
        request.request_id, request.team, policy.priority, request.deadline_at, weight
    )
    request.order = queue.push(waiting, policy.ordering, request.order)


@receives(RequestOffered)
def handle_request_offered(context: Context, sender: str, offer: RequestOffered) -> None:
    """Start an offered request in a free slot, or refuse it immediately.

    Requests that already wait here for the service go first.
    """
    executor = find_free_executor(context, offer.service)
    queue = context.state.dispatch.queues.get(offer.service)
    if executor is None or queue or offer.deadline_s <= 0:
        verdict = Verdict.not_run("no slot is free")
        context.send(sender, RequestAnswered(offer.request_id, verdict, True, offer.service))
        return
    request = Request(
        f"{sender}/{offer.request_id}",
        offer.service,
        offer.team,
        offer.body,
        context.now + offer.deadline_s,
        offer.is_idempotent,
        offer.work_class,
        context.now,
        origin=sender,
    )
    context.state.dispatch.requests[request.request_id] = request
    _start_request(context, executor, request)


@receives(RequestAnswered)
def handle_request_answered(context: Context, sender: str, answer: RequestAnswered) -> None:
    """Handle another owner's verdict, unless the request is no longer offered to it."""
    _record_free_slots(context, sender, answer.service, answer.free)
    request = context.state.dispatch.requests.get(answer.request_id)
    if request is None or request.state != OFFERED or request.offered_to != sender:
        return
    if answer.is_full:
        request.offered_to = ""
        _enqueue(context, request)
        serve_queue(context, request.service)
        _offer_next_waiting(context, request.service)
        return
    _finish_or_retry(context, request, answer.verdict)
    _offer_next_waiting(context, answer.service)


@handles(ExecutorAnswered)
def handle_executor_answered(context: Context, event: ExecutorAnswered) -> None:
    """Finish or retry the request; the slot is freed unless the call may still run."""
    dispatch = context.state.dispatch
    executor = dispatch.executors.get(event.executor)
    call = executor.calls.get(event.call_id) if executor else None
    if executor is None or call is None:
        return
    if event.status == OK:
        record_clock(context, executor, event.clock_s)
        executor.failures = 0
    else:
        record_failure(context, executor)
    if event.status in (OK, FAILED):
        del executor.calls[event.call_id]
    else:
        call.is_lost = True
        executor.probe_due_at = context.now
    request = dispatch.requests.get(call.request_id)
    if request is not None:
        _finish_or_retry(context, request, _build_verdict(event))
    serve_queue(context, executor.instance.service)


def _build_verdict(event: ExecutorAnswered) -> Verdict:
    """Return the verdict for an executor's answer."""
    if event.status == OK:
        return Verdict.ran(event.body)
    if event.status == FAILED:
        return Verdict.not_run(event.reason or "the executor refused the request")
    return Verdict.may_have_run(event.reason or "the executor did not answer")


def _finish_or_retry(context: Context, request: Request, verdict: Verdict) -> None:
    """Finish the request, or schedule a retry if that is safe and allowed."""
    if request.origin or verdict.outcome == RAN:
        finish_request(context, request, verdict)
        return
    request.may_have_run |= verdict.outcome == MAY_HAVE_RUN
    request.lost_attempts += verdict.outcome == MAY_HAVE_RUN
    # An attempt on an executor of this daemon was already counted when it started.
    request.attempts += 1 if request.state == OFFERED else 0
    if verdict.outcome == MAY_HAVE_RUN and not request.is_idempotent:
        finish_request(context, request, verdict)
        return
    if not _acquire_retry(context, request, verdict):
        finish_request(context, request, verdict)
        return
    request.state = QUEUED
    request.offered_to = ""
    wait_s = draw_backoff_s(request.attempts, context.random)
    request.retry_at = context.now + wait_s
    context.count("request_retries_total", work_class=request.work_class)


def _acquire_retry(context: Context, request: Request, verdict: Verdict) -> bool:
    """Return whether the deadline, the attempts and the retry budget allow another attempt.

    Takes a token from the retry budget if the policy uses it.
    """
    dispatch = context.state.dispatch
    policy = get_retry_policy(context.state.intent.find_policy(request.work_class).retry)
    if request.attempts >= policy.max_attempts or context.now >= request.deadline_at:
        return False
    if request.lost_attempts >= MAX_LOST_ATTEMPTS:
        context.log("request_given_up", request=request.request_id, lost=request.lost_attempts)
        return False
    if not policy.uses_budget:
        return True
    if dispatch.retry_tokens < 1.0:
        context.log("retry_budget_empty", request=request.request_id, outcome=verdict.outcome)
        return False
    dispatch.retry_tokens -= 1.0
    return True


def finish_request(context: Context, request: Request, verdict: Verdict) -> None:
    """Send the verdict to the caller or to the member that offered the request, and remove it."""
    # Imported here as jobs.keys imports this module.
    from wasabiramp.jobs.keys import record_key_verdict

    dispatch = context.state.dispatch
    if request.may_have_run and verdict.outcome == NOT_RUN:
        # The outcome of an earlier attempt is unknown, so a later refusal proves nothing.
        verdict = Verdict.may_have_run(f"an earlier try was lost, then: {verdict.reason}")
    dispatch.requests.pop(request.request_id, None)
    queue = dispatch.queues.get(request.service)
    if queue is not None:
        queue.remove(request.request_id)
    if request.origin:
        offered_id = request.request_id.removeprefix(f"{request.origin}/")
        free = count_free_slots(context, request.service)
        answer = RequestAnswered(offered_id, verdict, False, request.service, free)
        context.send(request.origin, answer)
        return
    context.count("requests_total", work_class=request.work_class, outcome=verdict.outcome)
    if request.key:
        record_key_verdict(context, request, verdict)
        return
    context.answer(request.request_id, verdict)


def serve_queue(context: Context, service: str) -> None:
    """Start waiting requests in free slots; if slots remain, ask other members for work."""
    dispatch = context.state.dispatch
    queue = dispatch.queues.get(service)
    while queue:
        executor = find_free_executor(context, service)
        if executor is None:
            return
        request = _pop_waiting(context, queue)
        if request is None:
            break
        _start_request(context, executor, request)
    _send_work_wanted(context, service)


def _pop_waiting(context: Context, queue: FairQueue) -> Request | None:
    """Remove and return the next waiting request whose deadline has not passed, or None."""
    while True:
        request_id = queue.pop()
        if request_id is None:
            return None
        request = context.state.dispatch.requests.get(request_id)
        if request is None or request.state != QUEUED:
            continue
        if context.now < request.deadline_at:
            return request
        _expire_request(context, request)


def _send_work_wanted(context: Context, service: str) -> None:
    """Ask some members for work if slots are free here.

    Members with the most waiting requests come first; ties are broken at random.
    """
    dispatch = context.state.dispatch
    if context.now < dispatch.work_wanted_sent_at.get(service, -1.0) + WORK_WANTED_INTERVAL_S:
        return
    slots = count_free_slots(context, service)
    if slots == 0:
        return
    membership = context.state.membership
    others = [
        member.id for member in membership.current.members if member.id != context.state.me.id
    ]
    if not others:
        return
    dispatch.work_wanted_sent_at[service] = context.now
    context.random.shuffle(others)
    others.sort(key=lambda member_id: -_count_waiting(context, member_id, service))
    for member_id in others[:WORK_WANTED_RECIPIENTS]:
        context.send(member_id, WorkWanted(service, slots))


def _count_waiting(context: Context, member: str, service: str) -> int:
    """Return how many requests wait at a member according to its last report."""
    view = context.state.membership.views.get(member)
    return view.load.get(service, (0, 0))[1] if view else 0


@receives(WorkWanted)
def handle_work_wanted(context: Context, sender: str, message: WorkWanted) -> None:
    """Offer waiting requests to an owner with free slots, and record the slots that remain."""
    dispatch = context.state.dispatch
    _record_free_slots(context, sender, message.service, message.slots)
    queue = dispatch.queues.get(message.service)
    remaining_slots = message.slots
    while queue and remaining_slots > 0:
        request = _pop_waiting(context, queue)
        if request is None:
            break
        _send_offer(context, sender, request)
        remaining_slots -= 1
    if remaining_slots > 0:
        work_wanted = dispatch.work_wanted.setdefault(message.service, {})
        work_wanted[sender] = (remaining_slots, context.now + WORK_WANTED_VALID_S)


@handles(PeerLost)
def handle_peer_lost(context: Context, event: PeerLost) -> None:
    """Finish or retry the requests offered to a member whose connection was lost."""
    verdict = Verdict.may_have_run("the owner of the executor was lost")
    for request in list(context.state.dispatch.requests.values()):
        if request.state == OFFERED and request.offered_to == event.member:
            _finish_or_retry(context, request, verdict)


@handles(Tick)
def handle_request_tick(context: Context, _event: Tick) -> None:
    """Expire requests past their deadline, place due retries and serve the queues."""
    dispatch = context.state.dispatch
    while dispatch.deadlines and dispatch.deadlines[0][0] <= context.now:
        _deadline, request_id = heapq.heappop(dispatch.deadlines)
        request = dispatch.requests.get(request_id)
        if request is not None:
            _expire_request(context, request)
    _abandon_offers_to_silent_members(context)
    for request in list(dispatch.requests.values()):
        if request.state == QUEUED and request.retry_at and context.now >= request.retry_at:
            request.retry_at = 0.0
            _place_request(context, request)
    for service in list(dispatch.queues):
        if dispatch.queues[service]:
            serve_queue(context, service)
            _offer_next_waiting(context, service)


def _abandon_offers_to_silent_members(context: Context) -> None:
    """Retry idempotent requests offered to members that have been silent for `suspect_s`.

    Other requests stay with the owner, as they must not be retried once they may have run.
    """
    oldest_heard_at = context.now - context.settings.suspect_s
    views = context.state.membership.views
    verdict = Verdict.may_have_run("the owner of the executor fell silent")
    for request in list(context.state.dispatch.requests.values()):
        if request.state != OFFERED or not request.is_idempotent:
            continue
        view = views.get(request.offered_to)
        if view is None or view.heard_at < oldest_heard_at:
            _finish_or_retry(context, request, verdict)


def _expire_request(context: Context, request: Request) -> None:
    """Finish a request whose deadline has passed."""
    verdict = Verdict.may_have_run("the deadline passed before the answer came")
    if request.state == QUEUED:
        verdict = Verdict.not_run("the deadline passed while the request waited")
    finish_request(context, request, verdict)
