"""Kinds of jobs that the callers of the soak test draw."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
import time
from typing import Any, Final

from stand_ins.platform import COMMON_LABEL, COMMON_LABEL_COUNT
from stand_ins.platform_executors import SPEC_END


class JobDraft:
    """A job to submit under a queue's prefix; a share of such jobs is cancelled under way."""

    __slots__ = ("body", "cancel_share", "prefix")

    def __init__(self, prefix: str, body: dict[str, Any], cancel_share: float) -> None:
        """Describe a job."""
        self.prefix = prefix
        self.body = body
        self.cancel_share = cancel_share

    @property
    def is_lasting(self) -> bool:
        """Return whether the job runs until it is cancelled."""
        return any(step.get("longRunning") for step in self.body["steps"])


Draw = Callable[[Random], JobDraft]
JOB_KINDS: Final[dict[str, Draw]] = {}
JOB_WEIGHTS: Final[dict[str, float]] = {}

PLAIN_CANCEL_SHARE: Final = 0.15
CANCEL_SHARE: Final = 0.3
"""Shares of the jobs that are cancelled under way: of plain ones, and of the others."""


def job_kind(weight: float) -> Callable[[Draw], Draw]:
    """Register a kind under the name of its function without `draw_`, with its share of the jobs.

    The weights are relative to each other.
    """

    def register(draw: Draw) -> Draw:
        name = draw.__name__.removeprefix("draw_")
        JOB_KINDS[name], JOB_WEIGHTS[name] = draw, weight
        return draw

    return register


def draw_job(random: Random, kinds: list[str]) -> JobDraft:
    """Draw a job of one of some kinds by their weights."""
    if len(kinds) == 1:
        return JOB_KINDS[kinds[0]](random)
    weights = [JOB_WEIGHTS[kind] for kind in kinds]
    return JOB_KINDS[random.choices(kinds, weights)[0]](random)


def draw_spec(random: Random) -> str:
    """Draw a spec that the executors don't interpret."""
    return f"spec {random.random()}"


@job_kind(4.0)
def draw_plain(random: Random) -> JobDraft:
    """Draw a short job: of one step, a gang, or two steps of which one follows the other."""
    kind = random.choice(("q", "q", "g", "b"))
    step = {
        "cpu": random.randrange(300, 2_500),
        "memMb": random.randrange(100, 2_000),
        "estimateMs": random.randrange(100, 1_500),
        "count": random.randrange(1, 5),
    }
    if kind == "g":
        step = {**step, "gang": True, "count": random.randrange(2, 5)}
    steps = [step]
    if kind == "b":
        steps.append({**step, "after": [0], "antiAffinity": 2})
    return JobDraft(f"/{kind}/", {"spec": draw_spec(random), "steps": steps}, PLAIN_CANCEL_SHARE)


@job_kind(4.0)
def draw_short(random: Random) -> JobDraft:
    """Draw a job of small tasks on many executors that end within a part of a heartbeat."""
    step = {
        "cpu": random.randrange(50, 300),
        "memMb": random.randrange(50, 300),
        "estimateMs": random.randrange(10, 150),
        "count": random.randrange(3, 9),
        "antiAffinity": 1,
    }
    return JobDraft("/b/", {"spec": draw_spec(random), "steps": [step]}, PLAIN_CANCEL_SHARE)


@job_kind(1.5)
def draw_long(random: Random) -> JobDraft:
    """Draw a job of a few large tasks that work for many seconds."""
    step = {
        "cpu": random.randrange(300, 1_500),
        "memMb": random.randrange(200, 1_000),
        "estimateMs": random.randrange(5_000, 12_000),
        "count": random.randrange(1, 4),
    }
    return JobDraft("/b/", {"spec": draw_spec(random), "steps": [step]}, CANCEL_SHARE)


@job_kind(1.0)
def draw_repeated(random: Random) -> JobDraft:
    """Draw a job that runs again and again at a short interval."""
    step = {
        "cpu": random.randrange(100, 500),
        "memMb": random.randrange(50, 250),
        "estimateMs": random.randrange(60, 200),
        "count": random.randrange(1, 5),
        "antiAffinity": random.choice((0, 1)),
    }
    body = {
        "spec": draw_spec(random),
        "steps": [step],
        "repeatCount": random.randrange(30, 100),
        "firstMs": int(time.time() * 1000) + 500,
        "intervalMs": random.randrange(100, 300),
    }
    return JobDraft("/b/", body, CANCEL_SHARE)


@job_kind(1.0)
def draw_lasting(random: Random) -> JobDraft:
    """Draw a job of tasks that last until they are cancelled."""
    step = {
        "cpu": random.randrange(100, 700),
        "memMb": random.randrange(50, 400),
        "estimateMs": random.randrange(200, 1_000),
        "count": random.randrange(1, 4),
        "antiAffinity": random.choice((0, 1, 2)),
        "longRunning": True,
    }
    return JobDraft("/b/", {"spec": draw_spec(random), "steps": [step]}, CANCEL_SHARE)


@job_kind(1.0)
def draw_gangs(random: Random) -> JobDraft:
    """Draw a job of gangs that work for seconds, of which one may follow another."""
    step = {
        "cpu": random.randrange(300, 1_500),
        "memMb": random.randrange(100, 1_000),
        "estimateMs": random.randrange(500, 5_000),
        "count": random.randrange(2, 6),
        "gang": True,
    }
    steps = [step]
    if random.random() < 0.5:
        steps.append({**step, "after": [0]})
    return JobDraft("/g/", {"spec": draw_spec(random), "steps": steps}, CANCEL_SHARE)


@job_kind(0.2)
def draw_wide(random: Random) -> JobDraft:
    """Draw a job of many small tasks on few executors that all end at one moment."""
    end_ms = int((time.time() + random.uniform(5.0, 9.0)) * 1000)
    step = {
        "cpu": 4,
        "memMb": 2,
        "estimateMs": 7_000,
        "count": random.randrange(550, 700) * COMMON_LABEL_COUNT,
        "requires": COMMON_LABEL,
    }
    after = {"cpu": 100, "memMb": 50, "estimateMs": 300, "count": 3, "after": [0]}
    return JobDraft("/b/", {"spec": f"{SPEC_END}{end_ms}", "steps": [step, after]}, 0.1)
