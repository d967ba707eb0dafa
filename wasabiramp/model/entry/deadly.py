"""Random schedules with tasks that crash their executors, and with executors that shrink."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.model.entry.executors import ModelExecutor
from wasabiramp.model.entry.schedule import FAULTS, FINISH_TIMEOUT_S, Fault, draw_job
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import FAILED, JobDefinition, Resources

SCHEDULE_S: Final = 25.0
"""Time from the start within which jobs are submitted and faults begin."""

JOB_COUNT: Final = 45
DEADLY_SHARE: Final = 0.1
"""Share of the jobs of which one task crashes its executors."""

DOWNTIME_S: Final = (1.0, 4.0)
"""Range of the time from a crash until the executor is back."""

CRASH_DELAYS_S: Final = (0.01, 0.02, 0.3)
"""Times from the start of a deadly task to the crash, of which each schedule draws one."""

BEAT_S: Final = 1.5
"""Greatest time from a change of an executor's capacity until its entry shows that."""


async def async_shrink(world: World) -> None:
    """Shrink half of the executors, and let them grow again after a time."""
    executors = sorted(world.executors.by_id.values(), key=lambda e: e.entry.id)
    chosen = world.random.sample(executors, len(executors) // 2)
    capacities = [executor.full_capacity for executor in chosen]
    share = world.random.choice((0.3, 0.5, 0.8))
    await asyncio.gather(
        *(
            _async_set_capacity(
                world,
                executor,
                Resources(int(full.cpu * share), int(full.memory_mb * share), full.gpu),
            )
            for executor, full in zip(chosen, capacities, strict=True)
        )
    )
    await asyncio.sleep(world.random.uniform(4.0, 8.0))
    for executor, full in zip(chosen, capacities, strict=True):
        await _async_set_capacity(world, executor, full)


async def _async_set_capacity(world: World, executor: ModelExecutor, capacity: Resources) -> None:
    """Change the capacity of an executor, which its entry shows with the next beat."""
    executor.set_capacity(capacity)
    await asyncio.sleep(world.random.uniform(0.0, BEAT_S))
    if executor.is_up:
        world.list_executor(executor)


DEADLY_FAULTS: Final[dict[str, Fault]] = {
    "crash_executor": FAULTS["crash_executor"],
    "cut_executors": FAULTS["cut_executors"],
    "fail_all": FAULTS["fail_all"],
    "kill_all": FAULTS["kill_all"],
    "kill_owner": FAULTS["kill_owner"],
    "pause_owner": FAULTS["pause_owner"],
    "shrink": async_shrink,
    "stop_daemon": FAULTS["stop_daemon"],
    "store_slow": FAULTS["store_slow"],
}
"""Faults of these schedules, apart from `FAULTS` so that the seeds of those keep their draws."""


def crash_by_task(world: World, executor: ModelExecutor) -> None:
    """Crash an executor and restart it after a time, under its id."""
    number = int(executor.entry.id.removeprefix("i-"))
    downtime_s = world.random.uniform(*DOWNTIME_S)
    world.loop.create_task(world.async_crash_executor(number, downtime_s, True))


def draw_deadly_job(world: World, number: int) -> JobDefinition:
    """Draw a job of any kind; one task of a share of the jobs is deadly."""
    job = draw_job(world.random, world, number)
    if world.random.random() < DEADLY_SHARE:
        step = world.random.randrange(len(job.steps))
        index = world.random.randrange(job.steps[step].count)
        world.executors.deadly_tasks.add(f"{job.id}.0.{step}.{index}")
    return job


async def async_run_deadly_schedule(
    world: World, names: list[str], fault_count: int, faults: dict[str, Fault]
) -> None:
    """Run jobs, some of them deadly, under random faults, and wait until all have ended.

    Each fault is drawn from `names`, in which a name may stand more than once.
    """
    await world.async_start()
    world.executors.on_deadly_crash = lambda executor: crash_by_task(world, executor)
    world.executors.crash_delay_s = world.random.choice(CRASH_DELAYS_S)
    jobs = [_async_run_job(world, number) for number in range(JOB_COUNT)]
    chosen = [world.random.choice(names) for _ in range(fault_count)] if names else []
    await asyncio.gather(*jobs, *(_async_run_fault(world, faults[name]) for name in chosen))
    world.network.remove_all_partitions()
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)
    _check_given_up_jobs(world)


def _check_given_up_jobs(world: World) -> None:
    """Report each job that was given up although none of its tasks is deadly."""
    deadly_jobs = {task.partition(".")[0] for task in world.executors.deadly_tasks}
    for job_id, record in world.checker.jobs.items():
        is_given_up = record.last_phase == FAILED and not world.checker.has_used_up_attempts(record)
        if is_given_up and job_id not in deadly_jobs:
            world.checker.report(f"LOST {job_id}: given up beside deadly tasks")


async def _async_run_fault(world: World, fault: Fault) -> None:
    """Inject one fault at a random time."""
    await asyncio.sleep(world.random.uniform(0, SCHEDULE_S))
    await fault(world)


async def _async_run_job(world: World, number: int) -> None:
    """Submit one job at a random time."""
    await asyncio.sleep(world.random.uniform(0, SCHEDULE_S))
    job = draw_deadly_job(world, number)
    await world.async_submit(job)


def run_deadly_schedule(seed: int, faults: list[str] | None = None, fault_count: int = 5) -> World:
    """Run one schedule to its end and return the world, whose checker holds the breaches."""
    world = World(seed)
    names = faults if faults is not None else sorted(DEADLY_FAULTS)
    world.run(async_run_deadly_schedule(world, names, fault_count, DEADLY_FAULTS))
    return world
