"""Faults of the soak test in which executors restart under their ids beside cuts."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from soak.cell import Cell
from soak.cuts import async_hold_cut
from soak.faults import hand_over_fault
from soak.owner_faults import async_kill_owner
from stand_ins.paths import HELD, ONE_WAY, SILENT, Cut

DOWNTIME_S: Final = (0.1, 0.9)
CUT_DELAY_S: Final = (0.1, 1.5)
CUT_S: Final = (3.0, 9.0)
"""Ranges of the time for which executors are down, of that from their restart to a cut, and of the
duration of the cut."""

RESTART_DELAY_S: Final = (0.05, 1.5)
HEAL_DELAY_S: Final = (0.0, 3.0)
"""Ranges of the time from the begin of a cut until executors crash behind it, and of that from
their restart to the end of the cut."""


def draw_restart_mode(random: Random) -> str:
    """Draw how executors that restart are cut off; most cuts hold bytes back."""
    return random.choice((HELD, HELD, SILENT, ONE_WAY))


def draw_executors(cell: Cell, random: Random, count: int) -> list[str]:
    """Draw executors that are up, busy or idle."""
    names = sorted(cell.platform.executors.list_busiest())
    return random.sample(names, min(count, len(names)))


def draw_rack(cell: Cell, random: Random) -> list[str]:
    """Draw a rack, and return the executors in it that are up."""
    up = [executor for executor in cell.platform.executors.by_id.values() if executor.is_up]
    racks = sorted({executor.entry.labels[-1] for executor in up})
    rack = random.choice(racks) if racks else ""
    return sorted(executor.entry.id for executor in up if executor.entry.labels[-1] == rack)


async def async_restart(cell: Cell, names: list[str], random: Random) -> None:
    """Crash executors at one moment and restart them under their ids."""
    downtime_s = random.uniform(*DOWNTIME_S)
    cell.note(f"restart {','.join(names)} after {downtime_s:.2f} s")
    by_id = cell.platform.executors.by_id
    await asyncio.gather(
        *(cell.platform.async_crash_executor(by_id[name], downtime_s) for name in names)
    )


async def _async_cut_soon(cell: Cell, names: list[str], random: Random) -> None:
    """Cut executors off from all daemons after a short time."""
    await asyncio.sleep(random.uniform(*CUT_DELAY_S))
    cut = Cut(names, None, draw_restart_mode(random))
    await async_hold_cut(cell, cut, random.uniform(*CUT_S))


@hand_over_fault
async def async_restart_and_cut(cell: Cell, random: Random) -> None:
    """Restart an executor under its id, and cut it off soon after it is back."""
    names = draw_executors(cell, random, 1)
    await async_restart(cell, names, random)
    await _async_cut_soon(cell, names, random)


@hand_over_fault
async def async_restart_and_cut_rack(cell: Cell, random: Random) -> None:
    """Restart the executors of a rack, and cut them off soon after they are back."""
    names = draw_rack(cell, random)
    await async_restart(cell, names, random)
    await _async_cut_soon(cell, names, random)


@hand_over_fault
async def async_restart_kill_owner_and_cut(cell: Cell, random: Random) -> None:
    """Restart the executors of a rack, kill the owner and then cut the executors off."""
    names = draw_rack(cell, random)
    await async_restart(cell, names, random)
    await asyncio.gather(async_kill_owner(cell, random), _async_cut_soon(cell, names, random))


@hand_over_fault
async def async_restart_behind_cut(cell: Cell, random: Random) -> None:
    """Restart one or two executors behind a cut that holds bytes and ends soon after."""
    names = draw_executors(cell, random, random.randrange(1, 3))
    cut = Cut(names, None, HELD)
    cell.note(f"cut {','.join(names)} from all daemons, {cut.mode}")
    await cell.platform.async_cut(cut)
    await asyncio.sleep(random.uniform(*RESTART_DELAY_S))
    await async_restart(cell, names, random)
    await asyncio.sleep(random.uniform(*HEAL_DELAY_S))
    await cell.platform.async_heal(cut)
    cell.note(f"heal {','.join(names)} from all daemons")
