"""Faults of the soak test in which executors crash only once their runs have lapsed."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from soak.cell import Cell
from soak.faults import hand_over_fault
from stand_ins.paths import REFUSED, SILENT, Cut
from wasabiramp.model.entry.executors import ModelExecutor

AGE_S: Final = (0.3, 2.0)
"""Range of the age of the runs of a task when their executors are cut off."""

START_WAIT_S: Final = 8.0
LAPSE_WAIT_S: Final = 10.0
"""Greatest times for which a task may take to start again, and a lease to run out."""

DOWNTIME_S: Final = (0.05, 2.0)
HEAL_DELAY_S: Final = (0.0, 1.0)
"""Ranges of the time for which an executor is down, and from its restart to the end of the cut."""

POLL_S: Final = 0.05


@hand_over_fault
async def async_crash_after_lapse(cell: Cell, random: Random) -> None:
    """Crash two executors of one task, each once its runs have lapsed behind a cut."""
    await _async_crash_idle_executors(cell, 2, random)


@hand_over_fault
async def async_crash_after_lapses(cell: Cell, random: Random) -> None:
    """Crash four executors of one task, each once its runs have lapsed behind a cut."""
    await _async_crash_idle_executors(cell, 4, random)


async def _async_crash_idle_executors(cell: Cell, count: int, random: Random) -> None:
    """Cut off the executors of one task one after the other, and crash each when it is idle.

    No run is on an executor that crashes, so that the task is never the cause. Its runs are cut off
    at about the same age, which would tell of a deadly task if they were on the executor later.
    """
    age_s = random.uniform(*AGE_S)
    task = await _async_choose_task(cell, age_s, random)
    for _ in range(count):
        executor = await _async_find_executor(cell, task)
        if executor is None:
            return
        cell.lapsing_executors.add(executor.entry.id)
        ripe_at = executor.runs[task].started_at + age_s
        await asyncio.sleep(ripe_at - asyncio.get_running_loop().time())
        await _async_crash_idle(cell, executor, task, random)
        cell.lapsing_executors.discard(executor.entry.id)


async def _async_choose_task(cell: Cell, age_s: float, random: Random) -> str:
    """Return a task with a run that is younger than an age, or any, or none after a time."""
    loop = asyncio.get_running_loop()
    for _ in range(round(START_WAIT_S / POLL_S)):
        executors = cell.platform.executors.by_id.values()
        runs = [run for executor in executors for run in executor.runs.values()]
        young = [run for run in runs if loop.time() < run.started_at + age_s]
        if runs:
            return random.choice(sorted(run.task for run in young or runs))
        await asyncio.sleep(POLL_S)
    return ""


async def _async_find_executor(cell: Cell, task: str) -> ModelExecutor | None:
    """Return the executor of a task that no such fault holds, once there is one, or None."""
    for _ in range(round(START_WAIT_S / POLL_S)):
        for name, executor in cell.platform.executors.by_id.items():
            if task in executor.runs and name not in cell.lapsing_executors:
                return executor
        await asyncio.sleep(POLL_S)
    return None


async def _async_crash_idle(cell: Cell, executor: ModelExecutor, task: str, random: Random) -> None:
    """Cut an executor off from all daemons, and crash and restart it once its lease is over."""
    name, checker = executor.entry.id, cell.platform.checker
    # Behind a cut in one way, holds would still arrive and renew the lease.
    cut = Cut([name], None, random.choice((SILENT, REFUSED)))
    lapses_before = checker.lapses[task]
    cell.note(f"cut {name} with {task} from all daemons, {cut.mode}")
    await cell.platform.async_cut(cut)
    if await _async_wait_for_lapse(executor):
        cell.note(f"crash {name}, which runs nothing")
        checker.crashes_after_lapse += checker.lapses[task] > lapses_before
        await cell.platform.async_crash_executor(executor, random.uniform(*DOWNTIME_S))
    await asyncio.sleep(random.uniform(*HEAL_DELAY_S))
    await cell.platform.async_heal(cut)
    cell.note(f"heal {name} from all daemons")


async def _async_wait_for_lapse(executor: ModelExecutor) -> bool:
    """Wait until the lease of an executor is over, and return whether it is up without runs."""
    for _ in range(round(LAPSE_WAIT_S / POLL_S)):
        if not executor.is_up:
            return False
        if executor.clock_ms > executor.lease_until_ms and not executor.runs:
            return True
        await asyncio.sleep(POLL_S)
    return False
