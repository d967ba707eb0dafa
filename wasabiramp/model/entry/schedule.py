"""Random schedules for the simulated cell: jobs of all kinds with overlapping faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from wasabiramp.entry.keys import PREFIX_LIVE
from wasabiramp.model.entry.network import STORE
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import JobDefinition, Resources, Step

SCHEDULE_S: Final = 25.0
"""Time from the start within which jobs are submitted and faults begin."""

FINISH_TIMEOUT_S: Final = 60.0
"""Time after the last fault within which all accepted jobs have to end."""

JOB_COUNT: Final = 45

Fault = Callable[[World], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}


def fault(action: Fault) -> Fault:
    """Register a fault under the name of its function without `async_`."""
    FAULTS[action.__name__.removeprefix("async_")] = action
    return action


@fault
async def async_kill_daemon(world: World) -> None:
    """Kill a random daemon and restart it."""
    names = sorted(world.daemons)
    if not names:
        return
    name = world.random.choice(names)
    world.kill_daemon(name)
    await asyncio.sleep(world.random.uniform(0.2, 3.0))
    await world.async_start_daemon(name)


@fault
async def async_kill_owner(world: World) -> None:
    """Kill the owner and restart it."""
    name = find_owner(world)
    if name is None:
        return
    world.kill_daemon(name)
    await asyncio.sleep(world.random.uniform(0.1, 4.0))
    await world.async_start_daemon(name)


@fault
async def async_kill_all(world: World) -> None:
    """Kill all daemons at once and restart them."""
    names = sorted(world.daemons)
    for name in names:
        world.kill_daemon(name)
    await asyncio.sleep(world.random.uniform(0.5, 2.0))
    for name in names:
        await world.async_start_daemon(name)


@fault
async def async_stop_daemon(world: World) -> None:
    """Shut a daemon down gracefully, the owner where there is one, and restart it."""
    name = find_owner(world) or next(iter(sorted(world.daemons)), None)
    if name is None:
        return
    await world.async_stop_daemon(name)
    await asyncio.sleep(0.5)
    if name not in world.daemons:
        await world.async_start_daemon(name)


@fault
async def async_pause_owner(world: World) -> None:
    """Pause the owner, which resumes with its old state."""
    name = find_owner(world)
    if name is not None:
        pause_s = world.random.uniform(0.5, 6.0)
        world.loop.pause(world.node_names[name], world.loop.time() + pause_s)


@fault
async def async_cut_owner(world: World) -> None:
    """Partition the owner from the store."""
    name = find_owner(world)
    if name is None:
        return
    node = world.node_names[name]
    world.network.add_partition(node, STORE)
    await asyncio.sleep(world.random.uniform(1.0, 6.0))
    world.network.remove_partition(node, STORE)


@fault
async def async_cut_executors(world: World) -> None:
    """Partition two executors from all daemons while they continue to run."""
    chosen = world.random.sample(sorted(world.executors.by_id), 2)
    pairs = [(node, executor) for node in world.node_names.values() for executor in chosen]
    for node, executor in pairs:
        world.network.add_partition(node, executor)
    await asyncio.sleep(world.random.uniform(1.0, 6.0))
    for node, executor in pairs:
        world.network.remove_partition(node, executor)


@fault
async def async_turn_away(world: World) -> None:
    """Let the store refuse the calls of half of the daemons."""
    names = sorted(world.daemons)
    clients = [world.clients[n] for n in world.random.sample(names, len(names) // 2)]
    for client in clients:
        client.is_refused = True
    await asyncio.sleep(world.random.uniform(1.0, 6.0))
    for client in clients:
        client.is_refused = False


@fault
async def async_store_down(world: World) -> None:
    """Make the store unresponsive."""
    world.store.is_down = True
    await asyncio.sleep(world.random.uniform(1.0, 5.0))
    world.store.is_down = False


@fault
async def async_store_slow(world: World) -> None:
    """Slow down the answers of the store."""
    world.store.answer_delay_s = 0.24
    await asyncio.sleep(world.random.uniform(1.0, 5.0))
    world.store.answer_delay_s = 0.004


@fault
async def async_lose_answers(world: World) -> None:
    """Lose answers to writes, some of which are applied late."""
    world.store.answer_loss_share, world.store.late_share = 0.35, 0.5
    await asyncio.sleep(world.random.uniform(1.0, 5.0))
    world.store.answer_loss_share = world.store.late_share = 0.0


@fault
async def async_compact(world: World) -> None:
    """Compact the history of the store."""
    world.store.compact()


@fault
async def async_revoke(world: World) -> None:
    """Delete the leased keys of all members or that of the owner while the daemons run."""
    world.store.delete_prefix(PREFIX_LIVE + world.random.choice(("member/", "owner")))


@fault
async def async_crash_executor(world: World) -> None:
    """Crash an executor and restart it under the same id."""
    number = world.random.randrange(len(world.executors.by_id))
    await world.async_crash_executor(number, world.random.uniform(0.1, 5.0), True)


@fault
async def async_drain_executor(world: World) -> None:
    """Drain an executor and add another one."""
    numbers = [int(e.removeprefix("i-")) for e in world.executors.by_id]
    number = world.random.choice(numbers)
    if world.executors.by_id[f"i-{number}"].is_up:
        await world.async_drain_executor(number)
        world.add_executor(len(world.executors.by_id))


@fault
async def async_apply_late(world: World) -> None:
    """Let executors apply some orders late and without an answer."""
    for executor in world.executors.by_id.values():
        executor.late_share = 0.4
    await asyncio.sleep(world.random.uniform(1.0, 5.0))
    for executor in world.executors.by_id.values():
        executor.late_share = 0.0


@fault
async def async_fail_all(world: World) -> None:
    """Let an executor fail all runs that it starts."""
    executor = world.random.choice(sorted(world.executors.by_id.values(), key=lambda e: e.entry.id))
    executor.fails_all = True
    await asyncio.sleep(world.random.uniform(1.0, 5.0))
    executor.fails_all = False


def find_owner(world: World) -> str | None:
    """Return the first daemon that considers itself the owner, or None."""
    for name in sorted(world.daemons):
        if world.daemons[name].owner is not None:
            return name
    return None


def draw_job(random: Random, world: World, number: int) -> JobDefinition:
    """Draw a random job of any kind; timed jobs run repeatedly at a fixed interval."""
    job_id = f"{number:016x}"
    kind = random.choice(("quotes", "quotes", "gangs", "batch", "timed"))
    queue = next((q for q in world.queues if q.name == kind), world.queues[2])
    cpu = random.randrange(500, 4_000)
    demand = Resources(cpu, random.randrange(200, 3_000), 0)
    estimate_s = random.uniform(0.2, 3.0)
    if kind == "gangs":
        first = Step(random.randrange(2, 6), demand, estimate_s, is_gang=True)
        second = Step(2, demand, estimate_s, after=(0,), is_gang=random.random() < 0.5)
        steps: tuple[Step, ...] = (first, second) if random.random() < 0.5 else (first,)
    elif kind == "batch":
        label = "b" if random.random() < 0.3 else ""
        first = Step(random.randrange(1, 9), demand, estimate_s, max_per_executor=2, label=label)
        steps = (first, Step(3, demand, estimate_s, after=(0,)))
    else:
        steps = (Step(random.randrange(1, 4), demand, min(1.0, estimate_s)),)
    repeat = (3, world.read_wall_ms() + 1_000, 1_500) if kind == "timed" else (0, 0, 0)
    return JobDefinition(
        job_id,
        queue,
        f"spec {number}",
        steps,
        world.read_wall_ms(),
        repeat[0],
        repeat[1],
        repeat[2],
    )


async def async_run_schedule(world: World, faults: list[str], fault_count: int) -> None:
    """Run jobs with randomly drawn faults, then wait until all jobs have ended."""
    await world.async_start()
    random = world.random
    world.executors.failure_share = 0.03
    job_tasks = [
        world.loop.create_task(_async_run_caller(world, n, SCHEDULE_S)) for n in range(JOB_COUNT)
    ]
    fault_tasks = [
        world.loop.create_task(
            _async_run_fault(world, random.choice(faults), random.uniform(0, SCHEDULE_S))
        )
        for _ in range(fault_count)
    ]
    await asyncio.gather(*job_tasks, *fault_tasks)
    world.network.remove_all_partitions()
    await world.async_wait_for_jobs(FINISH_TIMEOUT_S)


async def _async_run_fault(world: World, name: str, delay_s: float) -> None:
    """Inject one fault after `delay_s` seconds."""
    await asyncio.sleep(delay_s)
    await FAULTS[name](world)


async def _async_run_caller(world: World, number: int, max_delay_s: float) -> None:
    """Submit one job, query its phase a few times and, at random, submit it again or cancel it.

    A job that was not accepted is cancelled.
    """
    await asyncio.sleep(world.random.uniform(0, max_delay_s))
    job = draw_job(world.random, world, number)
    if not await world.async_submit(job):
        await world.async_cancel(job.id)
        return
    if world.random.random() < 0.2:
        await world.async_submit(job)
    for _ in range(3):
        await asyncio.sleep(world.random.uniform(0.05, 2.0))
        await world.async_show(job.id)
    if world.random.random() < 0.15:
        await world.async_cancel(job.id)


def run_schedule(seed: int, faults: list[str] | None = None, fault_count: int = 6) -> World:
    """Run one schedule to its end and return the world, whose checker holds the breaches."""
    world = World(seed)
    world.run(
        async_run_schedule(world, faults if faults is not None else sorted(FAULTS), fault_count)
    )
    return world
