"""Requests from arrival to verdict: own slots first, then other owners, then the queue."""

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
    count_free,
    find_free_executor,
    has_staying_executor,
    is_service_known,
    note_clock,
    note_failure,
    start_call,
)
from wasabiramp.dispatch.state import OFFERED, QUEUED, RUNNING, Executor, Request
from wasabiramp.peer.messages import RequestAnswered, RequestOffered, WorkWanted
from wasabiramp.policy.admission import QueueView, find_admission_refusal
from wasabiramp.policy.ordering import FairQueue, Waiting
from wasabiramp.policy.retry import MAX_TOKENS, TOKENS_PER_REQUEST, draw_backoff_s, get_retry_policy

OWNERS_ASKED: Final = 2
WANT_LASTS_S: Final = 0.25
WANT_INTERVAL_S: Final = 0.02
RETRY_AFTER_S: Final = 1.0


@handles(RequestArrived)
def accept_request(context: Context, event: RequestArrived) -> None:
    """Take a caller's request without a key; one with a key goes by its home."""
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
    """Start a request, offer it to another owner, or let it wait."""
    dispatch = context.state.dispatch
    dispatch.requests[request.request_id] = request
    if not context.state.intent.synced_revision:
        reason = "this daemon does not know the configuration yet"
        finish_request(context, request, Verdict.not_run(reason, RETRY_AFTER_S))
        return
    if not is_service_known(context, request.service):
        finish_request(context, request, Verdict.not_run(f"service: unknown {request.service!r}"))
        return
    if not has_staying_executor(context, request.service):
        reason = "no live executor of the service is trusted"
        finish_request(context, request, Verdict.not_run(reason, RETRY_AFTER_S))
        return
    dispatch.retry_tokens = min(MAX_TOKENS, dispatch.retry_tokens + TOKENS_PER_REQUEST)
    heapq.heappush(dispatch.deadlines, (request.deadline_at, request.request_id))
    _place_request(context, request)


def _place_request(context: Context, request: Request) -> None:
    """Find a slot for a request that runs nowhere yet."""
    queue = context.state.dispatch.queues.get(request.service)
    if not queue:
        executor = find_free_executor(context, request.service)
        if executor is not None:
            _run_here(context, executor, request)
            return
        owner = _find_owner(context, request)
        if owner is not None:
            _offer(context, owner, request)
            return
    _enqueue(context, request)
    _offer_waiting(context, request.service)


def _offer_waiting(context: Context, service: str) -> None:
    """Offer the first waiting request when another owner seems to have a free slot for it."""
    queue = context.state.dispatch.queues.get(service)
    if not queue or not _has_candidates(context, service):
        return
    request = _pop_waiting(context, queue)
    if request is None:
        return
    owner = _find_owner(context, request)
    if owner is None:
        _enqueue(context, request)
        return
    _offer(context, owner, request)


def _has_candidates(context: Context, service: str) -> bool:
    """Tell whether any other owner wants work or showed free slots when last heard."""
    if context.state.dispatch.wants.get(service):
        return True
    views = context.state.membership.views.values()
    return any(view.load.get(service, (0, 0))[0] > 0 for view in views)


def _run_here(context: Context, executor: Executor, request: Request) -> None:
    """Start the request on an executor of ours."""
    request.state = RUNNING
    request.attempts += 1
    wait_s = context.now - request.arrived_at
    if not request.origin:
        context.count("request_wait_seconds", wait_s, work_class=request.work_class)
    start_call(context, executor, request)


def _find_owner(context: Context, request: Request) -> str | None:
    """Return an owner to ask: one that wants work, else the better of two with free slots."""
    wants = context.state.dispatch.wants.get(request.service, {})
    for member, (slots, until) in list(wants.items()):
        del wants[member]
        if until < context.now or slots <= 0:
            continue
        if slots > 1:
            wants[member] = (slots - 1, until)
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
    picks = context.random.sample(sorted(free), min(2, len(free)))
    return max(picks, key=lambda name: free[name])


def _note_free(context: Context, member: str, service: str, free: int) -> None:
    """Remember how many slots a member has free, until it says otherwise."""
    view = context.state.membership.views.get(member)
    if view is not None:
        waiting = view.load.get(service, (0, 0))[1]
        view.load[service] = (max(0, free), waiting)


def _offer(context: Context, owner: str, request: Request) -> None:
    """Offer the request to an owner, which runs it now or refuses it."""
    request.state = OFFERED
    request.offered_to = owner
    view = context.state.membership.views.get(owner)
    if view is not None:
        # Counted until the owner speaks, so that not all offers go to the same member.
        _note_free(context, owner, request.service, view.load.get(request.service, (0, 0))[0] - 1)
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
    """Let the request wait at home, if its class may."""
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
def take_offer(context: Context, sender: str, offer: RequestOffered) -> None:
    """Run an offered request in a free slot, or refuse it at once."""
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
    _run_here(context, executor, request)


@receives(RequestAnswered)
def take_answer(context: Context, sender: str, answer: RequestAnswered) -> None:
    """Act on another owner's verdict, unless the request has moved on."""
    _note_free(context, sender, answer.service, answer.free)
    request = context.state.dispatch.requests.get(answer.request_id)
    if request is None or request.state != OFFERED or request.offered_to != sender:
        return
    if answer.is_full:
        request.offered_to = ""
        _enqueue(context, request)
        serve_queue(context, request.service)
        _offer_waiting(context, request.service)
        return
    _settle(context, request, answer.verdict)
    _offer_waiting(context, answer.service)


@handles(ExecutorAnswered)
def take_executor_answer(context: Context, event: ExecutorAnswered) -> None:
    """Free the slot, unless the call may still run, and act on the answer."""
    dispatch = context.state.dispatch
    executor = dispatch.executors.get(event.executor)
    call = executor.calls.get(event.call_id) if executor else None
    if executor is None or call is None:
        return
    if event.status == OK:
        note_clock(context, executor, event.clock_s)
        executor.failures = 0
    else:
        note_failure(context, executor)
    if event.status in (OK, FAILED):
        del executor.calls[event.call_id]
    else:
        call.is_lost = True
        executor.probe_due_at = context.now
    request = dispatch.requests.get(call.request_id)
    if request is not None:
        _settle(context, request, _judge(event))
    serve_queue(context, executor.instance.service)


def _judge(event: ExecutorAnswered) -> Verdict:
    """Turn an executor's answer into a verdict."""
    if event.status == OK:
        return Verdict.ran(event.body)
    if event.status == FAILED:
        return Verdict.not_run(event.reason or "the executor refused the request")
    return Verdict.may_have_run(event.reason or "the executor did not answer")


def _settle(context: Context, request: Request, verdict: Verdict) -> None:
    """Finish the request, or try it again where that is safe and in time."""
    if request.origin or verdict.outcome == RAN:
        finish_request(context, request, verdict)
        return
    request.may_have_run |= verdict.outcome == MAY_HAVE_RUN
    request.attempts += 1 if request.state == OFFERED else 0
    if verdict.outcome == MAY_HAVE_RUN and not request.is_idempotent:
        finish_request(context, request, verdict)
        return
    if not _may_retry(context, request, verdict):
        finish_request(context, request, verdict)
        return
    request.state = QUEUED
    request.offered_to = ""
    wait_s = draw_backoff_s(request.attempts, context.random)
    request.retry_at = context.now + wait_s
    context.count("request_retries_total", work_class=request.work_class)


def _may_retry(context: Context, request: Request, verdict: Verdict) -> bool:
    """Tell whether time, attempts and the retry budget allow another try."""
    dispatch = context.state.dispatch
    policy = get_retry_policy(context.state.intent.find_policy(request.work_class).retry)
    if request.attempts >= policy.max_attempts or context.now >= request.deadline_at:
        return False
    if not policy.uses_budget:
        return True
    if dispatch.retry_tokens < 1.0:
        context.log("retry_budget_empty", request=request.request_id, outcome=verdict.outcome)
        return False
    dispatch.retry_tokens -= 1.0
    return True


def finish_request(context: Context, request: Request, verdict: Verdict) -> None:
    """Hand the verdict to whoever waits for it and forget the request."""
    from wasabiramp.jobs.keys import record_key_verdict

    dispatch = context.state.dispatch
    if request.may_have_run and verdict.outcome == NOT_RUN:
        # An earlier try has no known outcome, so a later refusal does not prove anything.
        verdict = Verdict.may_have_run(f"an earlier try was lost, then: {verdict.reason}")
    dispatch.requests.pop(request.request_id, None)
    queue = dispatch.queues.get(request.service)
    if queue is not None:
        queue.remove(request.request_id)
    if request.origin:
        inner_id = request.request_id.removeprefix(f"{request.origin}/")
        free = count_free(context, request.service)
        answer = RequestAnswered(inner_id, verdict, False, request.service, free)
        context.send(request.origin, answer)
        return
    context.count("requests_total", work_class=request.work_class, outcome=verdict.outcome)
    if request.key:
        record_key_verdict(context, request, verdict)
        return
    context.answer(request.request_id, verdict)


def serve_queue(context: Context, service: str) -> None:
    """Fill free slots from the queue; with none waiting, ask others for work."""
    dispatch = context.state.dispatch
    queue = dispatch.queues.get(service)
    while queue:
        executor = find_free_executor(context, service)
        if executor is None:
            return
        request = _pop_waiting(context, queue)
        if request is None:
            break
        _run_here(context, executor, request)
    _ask_for_work(context, service)


def _pop_waiting(context: Context, queue: FairQueue) -> Request | None:
    """Return the next request that still waits and is in time."""
    while True:
        item = queue.pop()
        if item is None:
            return None
        request = context.state.dispatch.requests.get(item)
        if request is None or request.state != QUEUED:
            continue
        if context.now < request.deadline_at:
            return request
        _expire(context, request)


def _ask_for_work(context: Context, service: str) -> None:
    """Tell up to two members, those with waiting requests first, that slots are free here."""
    dispatch = context.state.dispatch
    if context.now < dispatch.want_sent_at.get(service, -1.0) + WANT_INTERVAL_S:
        return
    slots = count_free(context, service)
    if slots == 0:
        return
    membership = context.state.membership
    others = [m.id for m in membership.current.members if m.id != context.state.me.id]
    if not others:
        return
    dispatch.want_sent_at[service] = context.now
    context.random.shuffle(others)
    others.sort(key=lambda name: -_count_waiting(context, name, service))
    for name in others[:OWNERS_ASKED]:
        context.send(name, WorkWanted(service, slots))


def _count_waiting(context: Context, member: str, service: str) -> int:
    """Return how many requests wait at a member by its last summary."""
    view = context.state.membership.views.get(member)
    return view.load.get(service, (0, 0))[1] if view else 0


@receives(WorkWanted)
def give_work(context: Context, sender: str, wanted: WorkWanted) -> None:
    """Offer waiting requests to an owner with free slots, or remember that it has some."""
    dispatch = context.state.dispatch
    _note_free(context, sender, wanted.service, wanted.slots)
    queue = dispatch.queues.get(wanted.service)
    left = wanted.slots
    while queue and left > 0:
        request = _pop_waiting(context, queue)
        if request is None:
            break
        _offer(context, sender, request)
        left -= 1
    if left > 0:
        wants = dispatch.wants.setdefault(wanted.service, {})
        wants[sender] = (left, context.now + WANT_LASTS_S)


@handles(PeerLost)
def recover_offers(context: Context, event: PeerLost) -> None:
    """Judge the requests that were offered to a member whose stream broke."""
    verdict = Verdict.may_have_run("the owner of the executor was lost")
    for request in list(context.state.dispatch.requests.values()):
        if request.state == OFFERED and request.offered_to == event.member:
            _settle(context, request, verdict)


@handles(Tick)
def keep_requests(context: Context, _event: Tick) -> None:
    """Expire what is late, place what waits for a retry, and serve the queues."""
    dispatch = context.state.dispatch
    while dispatch.deadlines and dispatch.deadlines[0][0] <= context.now:
        _deadline, request_id = heapq.heappop(dispatch.deadlines)
        request = dispatch.requests.get(request_id)
        if request is not None:
            _expire(context, request)
    _abandon_silent(context)
    for request in list(dispatch.requests.values()):
        if request.state == QUEUED and request.retry_at and context.now >= request.retry_at:
            request.retry_at = 0.0
            _place_request(context, request)
    for service in list(dispatch.queues):
        if dispatch.queues[service]:
            serve_queue(context, service)
            _offer_waiting(context, service)


def _abandon_silent(context: Context) -> None:
    """Judge offers to members that have been silent for the suspicion time."""
    oldest = context.now - context.settings.suspect_s
    views = context.state.membership.views
    verdict = Verdict.may_have_run("the owner of the executor fell silent")
    for request in list(context.state.dispatch.requests.values()):
        if request.state != OFFERED or not request.is_idempotent:
            continue
        view = views.get(request.offered_to)
        if view is None or view.heard_at < oldest:
            _settle(context, request, verdict)


def _expire(context: Context, request: Request) -> None:
    """Answer a request whose deadline has passed."""
    verdict = Verdict.may_have_run("the deadline passed before the answer came")
    if request.state == QUEUED:
        verdict = Verdict.not_run("the deadline passed while the request waited")
    finish_request(context, request, verdict)
