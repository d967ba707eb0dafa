"""Random schedules with lasting tasks, takeovers and executors that leave, and a liveness check."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from wasabiramp.model.entry.schedule import FAULTS, find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

SCHEDULE_S: Final = 14.0
"""Time from the start within which faults begin."""

MAX_GAP_S: Final = 6.0
"""Time after the last fault within which each lasting task has to run again."""

SETTLE_S: Final = 7.0
"""Time from the end of a fault until the cell counts as undisturbed: the longest executor lease and
the delay with which the platform removes an entry."""

JOB_COUNT: Final = 5
LEAVING_DELAY_S: Final = (0.0, 2.5)
"""Range of the delay between the loss of an owner and the end of an executor."""

NOTICE_S: Final = (0.0, 4.0)
"""Range of the time from an executor's notice that it leaves to its end."""

TAKEOVER_FAULTS: Final = ("kill_owner", "stop_daemon", "kill_all", "pause_owner", "cut_owner")


async def async_leave(world: World) -> None:
    """Let an executor announce its end, leave, and be replaced by another one."""
    numbers = [
        n for n in range(len(world.executors.by_id)) if world.executors.by_id[f"i-{n}"].is_up
    ]
    if not numbers:
        return
    number = world.random.choice(numbers)
    await world.async_drain_executor(number, world.random.uniform(*NOTICE_S))
    world.add_executor(len(world.executors.by_id))


async def async_leave_during_takeover(world: World) -> None:
    """Let executors leave at random moments before, during and after the recovery of an owner."""
    takeover = world.random.choice(TAKEOVER_FAULTS)

    async def async_leave_later() -> None:
        await asyncio.sleep(world.random.uniform(*LEAVING_DELAY_S))
        await async_leave(world)

    await asyncio.gather(FAULTS[takeover](world), async_leave_later(), async_leave_later())


LASTING_FAULTS: Final[dict[str, Callable[[World], Awaitable[None]]]] = {
    "apply_late": FAULTS["apply_late"],
    "crash_executor": FAULTS["crash_executor"],
    "cut_executors": FAULTS["cut_executors"],
    "leave": async_leave,
    "leave_during_takeover": async_leave_during_takeover,
    "store_down": FAULTS["store_down"],
}
"""Faults of these schedules, apart from `FAULTS` so that the seeds of those keep their draws."""

EXCLUSIVE_FAULTS: Final = ("apply_late", "crash_executor")
"""Faults of which most schedules have only one; with both, a new incarnation gets late orders."""


def draw_lasting_job(world: World, number: int) -> JobDefinition:
    """Draw a job of lasting tasks, with or without advice and a spreading limit."""
    random = world.random
    demand = Resources(random.randrange(200, 900), random.randrange(100, 500), 0)
    step = Step(
        random.randrange(1, 6),
        demand,
        random.uniform(0.2, 1.0),
        is_lasting=True,
        max_per_executor=random.choice((0, 1, 2)),
    )
    queue = world.queues[0] if random.random() < 0.6 else world.queues[2]
    return JobDefinition(f"{number:016x}", queue, f"spec {number}", (step,), world.read_wall_ms())


async def async_run_lasting_schedule(
    world: World, fault_count: int, has_all_faults: bool = False
) -> None:
    """Run lasting jobs under random faults, and report tasks that stay without a run."""
    await world.async_start()
    jobs = [draw_lasting_job(world, number) for number in range(JOB_COUNT)]
    accepted = await asyncio.gather(*(world.async_submit(job) for job in jobs))
    excluded = "" if has_all_faults else world.random.choice(EXCLUSIVE_FAULTS)
    names = [name for name in sorted(LASTING_FAULTS) if name != excluded]
    faults = [world.random.choice(names) for _ in range(fault_count)]
    await asyncio.gather(
        *(_async_run_fault(world, name, world.random.uniform(0, SCHEDULE_S)) for name in faults)
    )
    world.network.remove_all_partitions()
    await asyncio.sleep(SETTLE_S + MAX_GAP_S)
    if find_owner(world) is None:
        world.checker.report("LOST: there is no owner")
    for job, is_accepted in zip(jobs, accepted, strict=True):
        if is_accepted:
            _check_all_tasks_run(world, job)
    await asyncio.gather(*(world.async_cancel(job.id) for job in jobs))
    await world.async_wait_for_jobs(30.0)


async def _async_run_fault(world: World, name: str, delay_s: float) -> None:
    """Inject one fault after `delay_s` seconds."""
    await asyncio.sleep(delay_s)
    await LASTING_FAULTS[name](world)


def _check_all_tasks_run(world: World, job: JobDefinition) -> None:
    """Report each task of a lasting job that has no run."""
    for index in range(job.steps[0].count):
        task = f"{job.id}.0.0.{index}"
        if not world.checker.running.get(task):
            world.checker.report(f"LOST at {world.loop.time():.3f} {task} does not run")


def run_lasting_schedule(seed: int, fault_count: int = 5, has_all_faults: bool = False) -> World:
    """Run one schedule to its end and return the world, whose checker holds the breaches."""
    world = World(seed)
    world.run(async_run_lasting_schedule(world, fault_count, has_all_faults))
    return world
