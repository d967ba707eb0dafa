"""Advice: ask the adviser which executors may run the next waiting steps; store its tickets."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from wasabiramp.core.registry import handles
from wasabiramp.policy.switches import switchable
from wasabiramp.scheduling.effects import AskAdvice
from wasabiramp.scheduling.events import AdviceAnswered, AdviceFailed
from wasabiramp.scheduling.model import AdvicePolicy
from wasabiramp.scheduling.state import ExecutorState, SchedulerState, StepRun, Ticket

TICKET_MARGIN_S: Final = 0.1
"""Margin before a ticket expires, as a start takes that long on a slow link.

It is subtracted both when a ticket is stored and when its validity is checked."""

MIN_EXECUTORS_ASKED: Final = 24
MAX_EXECUTORS_ASKED: Final = 100
"""Bounds of the number of executors to ask about: those of a small site and the adviser's limit."""

EXECUTORS_ASKED_PER_TASK: Final = 4.5
"""Executors to ask about per task of a step, as only about a third may be suitable."""

REFRESH_LOAD_SHARE: Final = 0.8
"""Share of one caller's adviser time that may be spent on refreshing one queue's tickets."""


def has_ticket(state: SchedulerState, step: StepRun, executor: ExecutorState) -> bool:
    """Return whether the step has a ticket for this incarnation, valid long enough for a start."""
    ticket = step.tickets.get(executor.id)
    return (
        ticket is not None
        and ticket.born_ms == executor.born_ms
        and ticket.expires_at > state.now + TICKET_MARGIN_S
    )


@switchable(
    "advice-refresh",
    "renew tickets of waiting steps before they fit",
    plain=lambda policy, executors: 1,
)
def get_max_refreshed_steps(policy: AdvicePolicy, executors: int) -> int:
    """Return for how many waiting steps of a queue tickets are kept valid, from 2 to 40.

    The cost of a refresh is estimated for half of MIN_EXECUTORS_ASKED executors, or of all if there
    are fewer.
    """
    cost_s = policy.decide_s + policy.each_s * min(executors, MIN_EXECUTORS_ASKED) / 2
    return max(2, min(40, int(REFRESH_LOAD_SHARE * policy.valid_s / max(0.001, cost_s))))


def ask_for_advice(
    state: SchedulerState,
    step: StepRun,
    policy: AdvicePolicy,
    candidates: list[ExecutorState],
    waiting: int,
    has_room: Callable[[ExecutorState], bool],
) -> bool:
    """Ask about executors without a verdict, and suitable ones without a valid ticket.

    A ticket that expires before a new answer arrives counts as invalid. Return whether a question
    was asked.
    """
    horizon = state.now + policy.decide_s + TICKET_MARGIN_S
    valid_tickets, without_ticket, unknown = 0, [], []
    for executor in candidates:
        verdict = step.verdicts.get((executor.id, executor.born_ms))
        ticket = step.tickets.get(executor.id)
        if verdict is None:
            unknown.append(executor)
        elif verdict and (ticket is None or ticket.expires_at < horizon):
            without_ticket.append(executor)
        elif verdict:
            valid_tickets += 1
    if valid_tickets:
        # Valid tickets are enough, unless lasting tasks find room only on executors without one.
        is_stuck = step.lacks_resources and step.spec.is_lasting
        without_ticket = [e for e in without_ticket if is_stuck and has_room(e)]
    unknown = _choose_unknown(step, unknown, without_ticket, waiting, has_room)
    asked = (without_ticket + unknown)[:MAX_EXECUTORS_ASKED]
    if not asked:
        return False
    step.is_advice_pending = True
    cost_s = policy.decide_s + policy.each_s * len(asked)
    state.effects.append(AskAdvice(step.name, [executor.id for executor in asked], cost_s))
    return True


def _limit_unknown(
    step: StepRun,
    unknown: list[ExecutorState],
    without_ticket: list[ExecutorState],
    waiting: int,
    has_room: Callable[[ExecutorState], bool],
) -> list[ExecutorState]:
    """Return the executors to ask about as far as the number of waiting tasks allows."""
    return unknown[: max(0, _count_wanted(waiting) - len(step.verdicts))]


def _count_wanted(waiting: int) -> int:
    """Return the number of executors to ask about for a number of waiting tasks."""
    wanted = int(EXECUTORS_ASKED_PER_TASK * waiting)
    return min(MAX_EXECUTORS_ASKED, max(MIN_EXECUTORS_ASKED, wanted))


@switchable(
    "further-questions",
    "ask about further executors if the suitable ones are not enough",
    plain=_limit_unknown,
)
def _choose_unknown(
    step: StepRun,
    unknown: list[ExecutorState],
    without_ticket: list[ExecutorState],
    waiting: int,
    has_room: Callable[[ExecutorState], bool],
) -> list[ExecutorState]:
    """Return the executors without a verdict to ask about.

    Their number is limited by the number of waiting tasks. Beyond that limit, a gang that lacks
    resources asks about all of them. A step without suitable executors, or with lasting tasks for
    which no executor becomes free, asks about those that have room now.
    """
    if step.lacks_resources and step.spec.is_gang:
        return unknown
    wanted = _count_wanted(waiting)
    if len(step.verdicts) < wanted:
        return _limit_unknown(step, unknown, without_ticket, waiting, has_room)
    if not step.lacks_resources or any(has_room(executor) for executor in without_ticket):
        return []
    if any(step.verdicts.values()) and not step.spec.is_lasting:
        return []
    return [executor for executor in unknown if has_room(executor)][:wanted]


def forget_verdicts(state: SchedulerState, executor: ExecutorState) -> None:
    """Forget the adviser's verdicts about an executor whose process is gone.

    They would count as answers, and keep steps from asking about the executors that replaced it.
    """
    for step in state.open_steps.values():
        if step.verdicts.pop((executor.id, executor.born_ms), None) is not None:
            step.feasibility_version = (-1, -1)


@handles(AdviceAnswered)
def handle_advice_answer(state: SchedulerState, event: AdviceAnswered) -> None:
    """Store the verdicts and tickets for a step."""
    step = state.open_steps.get(event.step)
    if step is None:
        return
    step.is_advice_pending = False
    expires_at = state.now + event.valid_s - TICKET_MARGIN_S
    for executor_id in event.asked:
        executor = state.executors.get(executor_id)
        # Of a process that is known only since the question, the adviser says nothing.
        if executor is None or executor.born_known_at > event.sent_at:
            continue
        ticket = event.good.get(executor_id)
        step.verdicts[(executor_id, executor.born_ms)] = ticket is not None
        if ticket is not None:
            step.tickets[executor_id] = Ticket(ticket, executor.born_ms, expires_at)
    state.log_decision("advice", step=event.step, asked=len(event.asked), good=len(event.good))


@handles(AdviceFailed)
def handle_advice_failure(state: SchedulerState, event: AdviceFailed) -> None:
    """Postpone the next question about the step by the retry delay."""
    step = state.open_steps.get(event.step)
    if step is not None:
        step.is_advice_pending = False
        step.next_advice_at = state.now + event.retry_s
        state.log_decision("advice_lost", step=event.step, retry_s=event.retry_s)
