"""Schedules with a course of their own: very wide steps, and executors that suspects keep."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.model.entry.contact import CONTACT_FAULTS, heal
from wasabiramp.model.entry.schedule import FAULTS, FINISH_TIMEOUT_S
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

WIDE_COUNT: Final = 1_300
"""Number of tasks of a wide step, so that an executor has more ends than one report may hold."""

WIDE_EXECUTORS: Final = 2
WIDE_ESTIMATE_S: Final = 6.0
"""Duration of the tasks of a wide step, which is longer than their starts take together."""

WIDE_FAULTS: Final = ("kill_owner", "kill_owner", "cut_owner_off", "refuse_owner", "lose_power")
"""Faults that meet a wide step while its tasks end."""

WIDE_FAULT_DELAY_S: Final = (-0.6, 0.3)
"""Range of the time from the end of the first task of a wide step to the fault."""

CRASH_AGES_S: Final = (6.0, 14.0)
"""Range of the age of a lasting task at which its executor crashes."""

DOWNTIME_S: Final = 1.0
MAX_START_DELAY_S: Final = 17.0
"""Time within which a task starts for which there is room: the users' time for a job to end after
all traffic, and the time for which nothing of it may run then."""


def _make_job(world: World, number: int, step: Step) -> JobDefinition:
    """Return a job of one step in the queue for batches."""
    job_id, accepted_ms = f"{number:016x}", world.read_wall_ms()
    return JobDefinition(job_id, world.queues[2], f"spec {number}", (step,), accepted_ms)


async def async_run_wide_schedule(world: World) -> None:
    """Run a step of many small tasks that end together, and lose the owner around that time."""
    await world.async_start()
    world.start_heartbeats()
    world.executors.duration_range = (1.0, 1.0)
    step = Step(WIDE_COUNT, Resources(10, 4, 0), WIDE_ESTIMATE_S)
    job = _make_job(world, 0, step)
    if not await world.async_submit(job):
        return
    while not world.checker.started_at:
        await asyncio.sleep(0.01)
    ends_at = world.loop.time() + WIDE_ESTIMATE_S
    delay_s = ends_at + world.random.uniform(*WIDE_FAULT_DELAY_S) - world.loop.time()
    await asyncio.sleep(delay_s)
    name = world.random.choice(WIDE_FAULTS)
    await (CONTACT_FAULTS.get(name) or FAULTS[name])(world)
    heal(world)
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)


def run_wide_schedule(seed: int) -> World:
    """Run one schedule with a wide step and return the world."""
    world = World(seed, daemons=3, executors=WIDE_EXECUTORS)
    world.run(async_run_wide_schedule(world))
    return world


async def async_run_isolation_schedule(world: World) -> None:
    """Crash the only executor of a lasting task twice, then run a job that needs it as well."""
    await world.async_start()
    world.start_heartbeats()
    demand = Resources(500, 500, 0)
    lasting = _make_job(world, 0, Step(1, demand, 0.5, label="b", is_lasting=True))
    if not await world.async_submit(lasting):
        return
    for _ in range(2):
        await asyncio.sleep(world.random.uniform(*CRASH_AGES_S))
        await world.async_crash_executor(0, DOWNTIME_S, True)
    job = _make_job(world, 1, Step(1, demand, 1.0, label="b"))
    if not await world.async_submit(job):
        return
    await asyncio.sleep(MAX_START_DELAY_S)
    if f"{job.id}.0.0.0" not in world.checker.started_at:
        world.checker.report(f"LOST {job.id}: not started in {MAX_START_DELAY_S:.0f} s")
    await world.async_cancel(lasting.id)
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)


def run_isolation_schedule(seed: int) -> World:
    """Run one schedule with a lasting suspect and return the world."""
    world = World(seed, executors=3)
    world.run(async_run_isolation_schedule(world))
    return world
