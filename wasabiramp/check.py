"""Offline checker: tests each guarantee against ground-truth records of targets and callers."""

from __future__ import annotations

from typing import Final

from wasabiramp.core.records import record
from wasabiramp.core.verdict import NOT_RUN, RAN

LEAVING_GRACE_S: Final = 3.0
ROUNDING_TOLERANCE: Final = 1e-6


@record
class CallRecord:
    """An executor started a request at a time in seconds; `body` names the request."""

    executor: str
    body: str
    at: float


@record
class TaskRecord:
    """A worker ran an attempt of a task from `start` to `end`, in seconds."""

    worker: str
    task: str
    attempt: int
    start: float
    end: float


@record
class CallerRecord:
    """A caller's request and its verdict, None if it got none.

    `body` is the request's body, and `answer` the body of the reply.
    """

    body: str
    key: str
    is_idempotent: bool
    outcome: str | None
    answer: str = ""


@record
class PeakRecord:
    """The peak use of a resource on a target, and the target's capacity."""

    target: str
    resource: str
    peak: float
    capacity: float


@record
class JobOutcome:
    """An acknowledged job and its phase at the end of a run, None if the job was lost."""

    name: str
    is_idempotent: bool
    phase: str | None


@record
class Evidence:
    """All records of a test run; `leaving` maps a target to the time when it began to leave."""

    calls: list[CallRecord]
    tasks: list[TaskRecord]
    callers: list[CallerRecord]
    peaks: list[PeakRecord]
    jobs: list[JobOutcome]
    leaving: dict[str, float]


def check_all(evidence: Evidence) -> list[str]:
    """Return a message for each breach of a guarantee; the list is empty if all hold."""
    return [
        *check_capacity(evidence),
        *check_one_place(evidence),
        *check_verdicts(evidence),
        *check_at_most_once(evidence),
        *check_leaving(evidence),
        *check_jobs(evidence),
    ]


def check_capacity(evidence: Evidence) -> list[str]:
    """Return a message for each target that was used beyond its capacity."""
    return [
        f"capacity: {item.target} held {item.peak:g} {item.resource} of {item.capacity:g}"
        for item in evidence.peaks
        if item.peak > item.capacity + ROUNDING_TOLERANCE
    ]


def check_one_place(evidence: Evidence) -> list[str]:
    """Return a message for each run of a task that began before the previous run ended."""
    breaches = []
    by_task: dict[str, list[TaskRecord]] = {}
    for item in evidence.tasks:
        by_task.setdefault(item.task, []).append(item)
    for task, runs in by_task.items():
        runs.sort(key=lambda item: item.start)
        for first, second in zip(runs, runs[1:], strict=False):
            if second.start < first.end - ROUNDING_TOLERANCE:
                breaches.append(
                    f"one place: {task} ran on {first.worker} until {first.end:.3f}"
                    f" and on {second.worker} from {second.start:.3f}"
                )
    return breaches


def check_verdicts(evidence: Evidence) -> list[str]:
    """Return a message for each request with no verdict, a false verdict or a wrong answer."""
    started = _count_calls(evidence)
    breaches = []
    for item in evidence.callers:
        ran = started.get(item.body, 0)
        if item.outcome is None:
            breaches.append(f"answer: request {item.body} got no verdict")
        elif item.outcome == NOT_RUN and ran:
            breaches.append(f"not run: request {item.body} got this verdict and ran {ran} times")
        elif item.outcome == RAN and not _is_expected_answer(item):
            breaches.append(f"answer: request {item.body} got {item.answer!r}")
    return breaches


def _is_expected_answer(item: CallerRecord) -> bool:
    """Return whether the answer is complete and belongs to the request.

    Requests with the same key all get the answer to the first of them, so only the form of their
    answers is checked.
    """
    if item.key:
        return item.answer.startswith("done:")
    return item.answer == f"done:{item.body}"


def _count_calls(evidence: Evidence) -> dict[str, int]:
    """Return how often each request was started on an executor."""
    started: dict[str, int] = {}
    for item in evidence.calls:
        started[item.body] = started.get(item.body, 0) + 1
    return started


def check_at_most_once(evidence: Evidence) -> list[str]:
    """Return a message for each non-idempotent request or task that ran more than once.

    Requests with the same key count as one.
    """
    started = _count_calls(evidence)
    by_group: dict[str, int] = {}
    for item in evidence.callers:
        if not item.is_idempotent:
            group = f"key {item.key}" if item.key else f"request {item.body}"
            by_group[group] = by_group.get(group, 0) + started.get(item.body, 0)
    breaches = [
        f"at most once: {group} ran {count} times" for group, count in by_group.items() if count > 1
    ]
    non_idempotent_jobs = {item.name for item in evidence.jobs if not item.is_idempotent}
    runs: dict[str, int] = {}
    for item in evidence.tasks:
        if item.task.rpartition("/")[0] in non_idempotent_jobs:
            runs[item.task] = runs.get(item.task, 0) + 1
    breaches.extend(
        f"at most once: task {task} ran {count} times" for task, count in runs.items() if count > 1
    )
    return breaches


def check_leaving(evidence: Evidence) -> list[str]:
    """Return a message for each start on a target later than LEAVING_GRACE_S into its leaving."""
    breaches = []
    starts = [(item.executor, item.at) for item in evidence.calls]
    starts += [(item.worker, item.start) for item in evidence.tasks]
    for target, at in starts:
        since = evidence.leaving.get(target)
        if since is not None and at > since + LEAVING_GRACE_S:
            breaches.append(
                f"leaving: {target} got work {at - since:.3f} s after it began to leave"
            )
    return breaches


def check_jobs(evidence: Evidence) -> list[str]:
    """Return a message for each acknowledged job that was lost or has not ended."""
    breaches = []
    for item in evidence.jobs:
        if item.phase is None:
            breaches.append(f"lost: job {item.name} was acknowledged and is not known")
        elif item.phase in ("Pending", "Running"):
            breaches.append(f"lost: job {item.name} is still {item.phase}")
    return breaches
