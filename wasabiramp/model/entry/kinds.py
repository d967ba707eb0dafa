"""Kinds of random schedules with lost contact: which jobs run, and which faults meet them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from wasabiramp.model.entry.checker import MAX_ANSWER_DELAY_S
from wasabiramp.model.entry.contact import CONTACT_FAULTS, LONG_FAULTS, heal
from wasabiramp.model.entry.liveness import (
    MAX_GAP_S,
    SETTLE_S,
    async_check_lasting_tasks,
    async_check_standstill,
    check_members,
)
from wasabiramp.model.entry.schedule import FAULTS, FINISH_TIMEOUT_S, draw_job, find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

SCHEDULE_S: Final = 16.0
"""Time from the start within which jobs are submitted and faults begin."""

FAILURE_SHARE: Final = 0.35
"""Share of the runs that fail by themselves where many do, so that jobs use up their attempts."""

PATIENT_TIMEOUT_S: Final = 30.0
"""Time for which a caller waits that keeps its connection open."""

DrawJob = Callable[[World, int], JobDefinition]
RunCaller = Callable[[World, JobDefinition], Awaitable[None]]


def _make_job(
    world: World,
    number: int,
    steps: tuple[Step, ...],
    repeat: tuple[int, int] = (0, 0),
) -> JobDefinition:
    """Return a job of the queue for batches; `repeat` is its count and interval."""
    count, interval_ms = repeat
    first_ms = world.read_wall_ms() + 300 if count else 0
    job_id, spec = f"{number:016x}", f"spec {number}"
    accepted_ms = world.read_wall_ms()
    return JobDefinition(
        job_id, world.queues[2], spec, steps, accepted_ms, count, first_ms, interval_ms
    )


def draw_long_job(world: World, number: int) -> JobDefinition:
    """Draw a job whose runs outlast a takeover and the leases of an earlier owner."""
    random = world.random
    demand = Resources(random.randrange(500, 2_500), random.randrange(200, 2_000), 0)
    step = Step(random.randrange(1, 4), demand, random.uniform(6.0, 14.0))
    return _make_job(world, number, (step,))


def draw_single_job(world: World, number: int) -> JobDefinition:
    """Draw a job of one long task, so that an owner has runs on few executors."""
    demand = Resources(world.random.randrange(2_000, 6_000), 2_000, 0)
    return _make_job(world, number, (Step(1, demand, world.random.uniform(8.0, 16.0)),))


def draw_small_job(world: World, number: int) -> JobDefinition:
    """Draw a job of one small task that outlasts a takeover."""
    step = Step(1, Resources(200, 200, 0), world.random.uniform(4.0, 10.0))
    return _make_job(world, number, (step,))


def draw_repeated_job(world: World, number: int) -> JobDefinition:
    """Draw a job that is due again before its earlier occurrences have ended."""
    random = world.random
    demand = Resources(random.randrange(200, 600), 200, 0)
    step = Step(random.randrange(2, 5), demand, random.uniform(0.1, 0.6), max_per_executor=1)
    repeat = (random.randrange(20, 80), random.choice((150, 250, 400)))
    return _make_job(world, number, (step,), repeat)


def draw_wide_job(world: World, number: int) -> JobDefinition:
    """Draw a job of many small tasks."""
    random = world.random
    step = Step(random.randrange(60, 150), Resources(20, 10, 0), random.uniform(0.5, 4.0))
    return _make_job(world, number, (step,))


def draw_lasting_job(world: World, number: int) -> JobDefinition:
    """Draw a job of tasks that run until it is cancelled."""
    random = world.random
    demand = Resources(random.randrange(200, 900), random.randrange(100, 500), 0)
    return _make_job(world, number, (Step(random.randrange(1, 4), demand, 0.5, is_lasting=True),))


def draw_chain_job(world: World, number: int) -> JobDefinition:
    """Draw a job of steps that follow each other, so that tasks start until it is cancelled."""
    demand = Resources(world.random.randrange(500, 2_000), 500, 0)
    return _make_job(world, number, _make_chain(world.random.randrange(8, 14), 2, demand))


def draw_short_chain_job(world: World, number: int) -> JobDefinition:
    """Draw a job of few small steps that follow each other."""
    length = world.random.randrange(5, 8)
    return _make_job(world, number, _make_chain(length, 1, Resources(300, 200, 0)))


def _make_chain(length: int, count: int, demand: Resources) -> tuple[Step, ...]:
    """Return steps of one second each that follow each other."""
    return tuple(Step(count, demand, 1.0, after=(n - 1,) if n else ()) for n in range(length))


def draw_any_job(world: World, number: int) -> JobDefinition:
    """Draw a job of any kind."""
    kinds: list[DrawJob] = [
        draw_long_job,
        draw_repeated_job,
        draw_wide_job,
        draw_lasting_job,
        draw_chain_job,
        lambda world, number: draw_job(world.random, world, number),
    ]
    return world.random.choice(kinds)(world, number)


async def async_call_normally(world: World, job: JobDefinition) -> None:
    """Submit a job, query its phase a few times and, at random, cancel it at the owner."""
    if not await world.async_submit(job):
        return
    for _ in range(3):
        await asyncio.sleep(world.random.uniform(0.05, 3.0))
        await world.async_show(job.id)
    if world.random.random() < 0.2:
        await world.async_submit(job)
    if world.random.random() < 0.15:
        await world.async_cancel(job.id, PATIENT_TIMEOUT_S, find_owner(world))


async def async_submit_only(world: World, job: JobDefinition) -> None:
    """Submit a job."""
    await world.async_submit(job)


async def async_cancel_patiently(world: World, job: JobDefinition) -> None:
    """Submit a job, and cancel it at the owner after a while, with a long timeout."""
    if await world.async_submit(job):
        await asyncio.sleep(world.random.uniform(0.5, 6.0))
        await world.async_cancel(job.id, PATIENT_TIMEOUT_S, find_owner(world))


async def async_cancel_unconfirmed(world: World, job: JobDefinition) -> None:
    """Submit a job, and cancel it if no call was answered."""
    if not await world.async_submit(job, attempts=1):
        await asyncio.sleep(world.random.uniform(0.0, 2.0))
        await world.async_cancel(job.id)


class ScheduleKind:
    """The jobs, callers and faults of one kind of schedule."""

    __slots__ = (
        "async_call",
        "draw",
        "failure_share",
        "fault_count",
        "faults",
        "has_restarts",
        "job_count",
    )

    def __init__(
        self,
        draw: DrawJob,
        faults: list[str],
        fault_count: int = 2,
        job_count: int = 8,
        async_call: RunCaller = async_call_normally,
        failure_share: float = 0.0,
        has_restarts: bool = False,
    ) -> None:
        """Draw `fault_count` of the faults with these names, in schedules of `job_count` jobs.

        The share `failure_share` of the runs fail by themselves. With `has_restarts`, calls to an
        executor that is down reach its next process, whose entry follows late.
        """
        self.draw = draw
        self.faults = faults
        self.fault_count = fault_count
        self.job_count = job_count
        self.async_call = async_call
        self.failure_share = failure_share
        self.has_restarts = has_restarts


KINDS: Final = {
    "contact": ScheduleKind(draw_any_job, sorted(CONTACT_FAULTS), 6, 14),
    "contact_and_crashes": ScheduleKind(
        draw_any_job,
        [
            *(name for name in sorted(CONTACT_FAULTS) if "suspend" not in name),
            "crash_executor",
            "kill_owner",
            "stop_daemon",
        ],
        6,
        14,
    ),
    "contact_and_store": ScheduleKind(
        draw_any_job,
        [
            *(name for name in sorted(CONTACT_FAULTS) if "suspend" not in name),
            *("compact", "kill_daemon", "kill_owner", "lose_answers", "store_slow"),
        ],
        8,
        14,
    ),
    "failures": ScheduleKind(
        draw_any_job,
        [*sorted(CONTACT_FAULTS), "have_long_outage", "have_long_outage"],
        6,
        14,
        failure_share=FAILURE_SHARE,
    ),
    "failures_and_crashes": ScheduleKind(
        draw_any_job,
        [
            *(name for name in sorted(CONTACT_FAULTS) if "suspend" not in name),
            *("apply_late", "crash_executor", "kill_owner", "stop_daemon"),
        ],
        8,
        14,
        failure_share=FAILURE_SHARE,
    ),
    "failures_and_store": ScheduleKind(
        draw_any_job,
        [
            *(name for name in sorted(CONTACT_FAULTS) if "suspend" not in name),
            *("compact", "have_long_outage", "kill_owner", "lose_answers", "store_slow"),
        ],
        8,
        14,
        failure_share=FAILURE_SHARE,
    ),
    "outage": ScheduleKind(
        draw_long_job, ["have_outage_and_cut", "have_outage_and_cut", "lose_power"], 3
    ),
    "two_owners": ScheduleKind(
        draw_single_job,
        ["cut_owner_and_executors", "cut_owner_and_executors", "revoke_owner", "cut_from_others"],
        3,
        4,
    ),
    "repeated": ScheduleKind(
        draw_repeated_job,
        ["cut_owner_off", "have_outage_that_lapses", "kill_owner", "refuse_owner"],
        2,
        4,
    ),
    "cancel": ScheduleKind(
        draw_chain_job,
        ["cut_owner_off", "refuse_owner", "revoke_owner", "have_outage_that_lapses"],
        2,
        10,
        async_cancel_patiently,
    ),
    "lapses": ScheduleKind(
        draw_long_job,
        [*4 * ("crash_after_lapse",), "cut_long_from_all", "crash_executor"],
        10,
        14,
    ),
    "lapses_and_store": ScheduleKind(
        draw_any_job,
        [*4 * ("crash_after_lapse",), "have_long_outage", "have_outage_and_cut"],
        10,
        14,
    ),
    "lapses_and_owners": ScheduleKind(
        draw_lasting_job,
        [*4 * ("crash_after_lapse",), "kill_owner", "cut_owner_off", "crash_executor"],
        10,
        14,
    ),
    "late_write": ScheduleKind(
        draw_short_chain_job, ["keep_writes"], 3, 60, async_cancel_unconfirmed
    ),
    "restarts": ScheduleKind(draw_any_job, 3 * ["crash_executor"], 14, 24, has_restarts=True),
    "restarts_and_cuts": ScheduleKind(
        draw_any_job, 3 * ["restart_and_cut"], 14, 24, has_restarts=True
    ),
    "restarts_of_short_runs": ScheduleKind(
        draw_short_chain_job, 3 * ["crash_executor"], 14, 24, has_restarts=True
    ),
    "restarts_and_failures": ScheduleKind(
        draw_any_job,
        ["crash_executor", "restart_and_cut"],
        14,
        24,
        failure_share=FAILURE_SHARE,
        has_restarts=True,
    ),
    "restarts_and_owners": ScheduleKind(
        draw_any_job,
        [*3 * ("restart_and_cut",), "kill_owner", "cut_owner_off"],
        14,
        24,
        has_restarts=True,
    ),
    "suspension": ScheduleKind(
        draw_long_job,
        ["suspend_owner", "suspend_daemon", "pause_owner", "cut_from_others", "cut_owner_off"],
        4,
    ),
    "handover": ScheduleKind(
        draw_small_job,
        ["cut_owner_off", "refuse_owner", "revoke_owner", "pause_owner", "suspend_owner"],
        5,
        100,
        async_submit_only,
    ),
    "delays": ScheduleKind(
        draw_any_job, ["delay_executors", "delay_executors", "kill_owner", "cut_owner_off"], 5, 10
    ),
    "draining": ScheduleKind(
        draw_long_job, ["drain_cut_off", "kill_owner", "cut_from_all", "cut_owner_off"], 4
    ),
    "silence": ScheduleKind(
        draw_long_job, ["cut_long_from_all", "cut_from_all", "cut_from_one", "kill_owner"], 4
    ),
}
"""The kinds of schedules, by name."""


async def async_run_kind(world: World, kind: ScheduleKind) -> None:
    """Run jobs under random faults, then wait until all jobs have ended."""
    await world.async_start()
    world.start_heartbeats()
    world.executors.failure_share = kind.failure_share
    world.executors.keeps_calls = world.has_late_entries = kind.has_restarts
    random = world.random
    callers = [
        world.loop.create_task(_async_run_caller(world, kind, n)) for n in range(kind.job_count)
    ]
    names = [random.choice(kind.faults) for _ in range(kind.fault_count)]
    faults = [_async_run_fault(world, name, random.uniform(2.0, SCHEDULE_S)) for name in names]
    await asyncio.gather(*faults)
    heal(world)
    world.checker.calm_from = calm_from = world.loop.time()
    await asyncio.gather(*callers)
    await asyncio.sleep(max(0.0, calm_from + SETTLE_S + MAX_GAP_S - world.loop.time()))
    await async_check_lasting_tasks(world)
    check_members(world)
    standstill_check = world.loop.create_task(async_check_standstill(world))
    for job_id, record in world.checker.jobs.items():
        if record.definition.steps[0].is_lasting and record.accepted_at is not None:
            await world.async_cancel(job_id)
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)
    standstill_check.cancel()
    # The last calls of callers that gave up are due only now.
    await asyncio.sleep(MAX_ANSWER_DELAY_S)
    world.check_answers()


async def _async_run_caller(world: World, kind: ScheduleKind, number: int) -> None:
    """Draw one job at a random time and call for it."""
    await asyncio.sleep(world.random.uniform(0.0, SCHEDULE_S))
    await kind.async_call(world, kind.draw(world, number))


async def _async_run_fault(world: World, name: str, delay_s: float) -> None:
    """Inject one fault after a time."""
    await asyncio.sleep(delay_s)
    await (CONTACT_FAULTS | LONG_FAULTS | FAULTS)[name](world)


def run_kind(name: str, seed: int) -> World:
    """Run one schedule of a kind and return the world, whose checker holds the breaches."""
    world = World(seed)
    world.run(async_run_kind(world, KINDS[name]))
    return world
