"""Random schedules in which executors crash in waves by themselves, and deadly tasks crash others.

Each schedule counts the sound jobs that were given up, and how often deadly tasks were started.
"""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.model.entry.deadly import DEADLY_FAULTS, DOWNTIME_S, async_run_deadly_schedule
from wasabiramp.model.entry.executors import ModelExecutor
from wasabiramp.model.entry.schedule import FAULTS, Fault
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.model import FAILED

WAVE_SHARES: Final = (0.13, 0.25, 0.4)
"""Shares of the executors that crash in one wave."""

WAVES_PER_FAULT: Final = 3
WAVE_INTERVAL_S: Final = (1.5, 4.0)
"""Number of waves in a series, and the range of the time between two of them."""

MAX_CUT_S: Final = 3.0
"""Greatest time for which executors are cut off, and crash meanwhile."""


def _choose_executors(world: World, by_rack: bool) -> list[ModelExecutor]:
    """Choose some executors that are up, of one rack or of any."""
    executors = sorted(world.executors.by_id.values(), key=lambda e: e.entry.id)
    executors = [executor for executor in executors if executor.is_up]
    if by_rack:
        rack = world.random.choice(sorted({executor.entry.rack for executor in executors} or {""}))
        return [executor for executor in executors if executor.entry.rack == rack]
    share = world.random.choice(WAVE_SHARES)
    count = min(len(executors), max(1, round(share * len(world.executors.by_id))))
    return world.random.sample(executors, count)


async def _async_crash_all(world: World, executors: list[ModelExecutor]) -> None:
    """Crash executors at one moment, and restart each after a time of its own."""
    await asyncio.gather(
        *(
            world.async_crash_executor(
                int(executor.entry.id.removeprefix("i-")), world.random.uniform(*DOWNTIME_S), True
            )
            for executor in executors
        )
    )


async def async_crash_in_waves(world: World) -> None:
    """Crash some executors at one moment, again and again."""
    waves = []
    for _ in range(WAVES_PER_FAULT):
        chosen = _choose_executors(world, by_rack=False)
        waves.append(world.loop.create_task(_async_crash_all(world, chosen)))
        await asyncio.sleep(world.random.uniform(*WAVE_INTERVAL_S))
    await asyncio.gather(*waves)


async def async_crash_rack(world: World) -> None:
    """Crash all executors of one rack at one moment."""
    await _async_crash_all(world, _choose_executors(world, by_rack=True))


async def async_crash_behind_cut(world: World) -> None:
    """Cut some executors off from all daemons, and crash them meanwhile."""
    chosen = _choose_executors(world, by_rack=False)
    pairs = [(node, e.entry.id) for node in world.node_names.values() for e in chosen]
    for node, executor in pairs:
        world.network.add_partition(node, executor)
    await asyncio.sleep(world.random.uniform(0.0, MAX_CUT_S))
    await _async_crash_all(world, chosen)
    for node, executor in pairs:
        world.network.remove_partition(node, executor)


WAVE_FAULTS: Final[dict[str, Fault]] = {
    **DEADLY_FAULTS,
    "apply_late": FAULTS["apply_late"],
    "crash_behind_cut": async_crash_behind_cut,
    "crash_in_waves": async_crash_in_waves,
    "crash_rack": async_crash_rack,
}
"""Faults of these schedules, by name."""

DRAWN_FAULTS: Final = (
    *2 * ("crash_behind_cut", "crash_in_waves", "crash_in_waves", "crash_rack"),
    *sorted(DEADLY_FAULTS),
)
"""Names of the faults from which schedules draw; those of waves stand here more than once."""


class Verdicts:
    """What became of the jobs of one schedule.

    `sound_given_up` are the jobs that were given up without a deadly task, and `crashes_by_task`
    counts the executors that each deadly task crashed.
    """

    __slots__ = ("crashes_by_task", "sound_given_up")

    def __init__(self, world: World) -> None:
        """Read the verdicts from the history of a schedule that has ended."""
        checker = world.checker
        deadly = {task.partition(".")[0] for task in world.executors.deadly_tasks}
        self.crashes_by_task = dict(checker.crashes)
        self.sound_given_up = [
            job_id
            for job_id, record in checker.jobs.items()
            if record.last_phase == FAILED
            and not checker.has_used_up_attempts(record)
            and job_id not in deadly
        ]


def run_wave_schedule(seed: int, faults: list[str] | None = None, fault_count: int = 5) -> World:
    """Run one schedule of waves and other faults to its end and return the world."""
    world = World(seed)
    names = faults if faults is not None else list(DRAWN_FAULTS)
    world.run(async_run_deadly_schedule(world, names, fault_count, WAVE_FAULTS))
    return world
