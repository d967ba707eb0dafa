"""Random schedules with callers that give up soon and cancel, while writes are carried out late."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.model.entry.schedule import FAULTS, draw_job
from wasabiramp.model.entry.world import World

SCHEDULE_S: Final = 25.0
"""Time from the start within which jobs are submitted and faults begin."""

FINISH_TIMEOUT_S: Final = 60.0
"""Time after the last fault within which all accepted jobs have to end."""

JOB_COUNT: Final = 45
SUBMIT_TIMEOUT_S: Final = (0.3, 1.5)
"""Range of the timeout of a submission."""

CANCEL_SHARE: Final = 0.4
REPEAT_SHARE: Final = 0.3
"""Share of accepted jobs that are cancelled, and of cancelled jobs that are submitted again."""

IMPATIENT_FAULTS: Final = (
    "compact",
    "cut_owner",
    "kill_owner",
    "lose_answers",
    "pause_owner",
    "stop_daemon",
    "store_down",
    "turn_away",
)
"""Faults of these schedules: of the store, of the paths to it, and of the owner."""


async def async_run_impatient_schedule(world: World, fault_count: int) -> None:
    """Run impatient callers under random faults, then wait until all accepted jobs have ended."""
    await world.async_start()
    callers = [_async_run_caller(world, number) for number in range(JOB_COUNT)]
    faults = ["lose_answers", *world.random.choices(IMPATIENT_FAULTS, k=fault_count)]
    await asyncio.gather(*callers, *(_async_run_fault(world, name) for name in faults))
    world.network.remove_all_partitions()
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)


async def _async_run_fault(world: World, name: str) -> None:
    """Inject one fault at a random time."""
    await asyncio.sleep(world.random.uniform(0, SCHEDULE_S))
    await FAULTS[name](world)


async def _async_run_caller(world: World, number: int) -> None:
    """Submit one job once; cancel it if it was not accepted, and at random also if it was."""
    await asyncio.sleep(world.random.uniform(0, SCHEDULE_S))
    job = draw_job(world.random, world, number)
    timeout_s = world.random.uniform(*SUBMIT_TIMEOUT_S)
    is_accepted = await world.async_submit_once(job, timeout_s)
    if is_accepted and world.random.random() >= CANCEL_SHARE:
        world.checker.jobs[job.id].accepted_at = world.loop.time()
        return
    await world.async_cancel(job.id)
    if world.random.random() < REPEAT_SHARE:
        await world.async_submit_once(job, timeout_s)


def run_impatient_schedule(seed: int, fault_count: int = 9) -> World:
    """Run one schedule to its end and return the world, whose checker holds the breaches."""
    world = World(seed)
    world.run(async_run_impatient_schedule(world, fault_count))
    return world
