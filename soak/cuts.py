"""Faults of the soak test that cut executors off from daemons while they run on."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from soak.cell import Cell
from soak.faults import hand_over_fault
from stand_ins.paths import ONE_WAY, REFUSED, SILENT, Cut

CUT_S: Final = (1.0, 6.0)
"""Range of the time for which executors are cut off, shorter and longer than their leases."""

BUSY_EXECUTORS: Final = 4
"""Number of the executors with the most runs from which those to be cut off are drawn."""


def draw_mode(random: Random) -> str:
    """Draw how a path is cut."""
    return random.choice((SILENT, REFUSED, ONE_WAY))


def draw_busy_executors(cell: Cell, random: Random, count: int) -> list[str]:
    """Draw executors with many runs."""
    busiest = cell.platform.executors.list_busiest()[:BUSY_EXECUTORS]
    return random.sample(busiest, min(count, len(busiest)))


async def async_hold_cut(cell: Cell, cut: Cut, duration_s: float) -> None:
    """Cut executors off for a time."""
    daemons = "all daemons" if cut.daemons is None else ",".join(sorted(cut.daemons))
    cell.note(f"cut {','.join(sorted(cut.executors))} from {daemons}, {cut.mode}")
    await cell.platform.async_cut(cut)
    await asyncio.sleep(duration_s)
    await cell.platform.async_heal(cut)
    cell.note(f"heal {','.join(sorted(cut.executors))} from {daemons}")


@hand_over_fault
async def async_cut_executors(cell: Cell, random: Random) -> None:
    """Cut one or two executors off from all daemons."""
    executors = draw_busy_executors(cell, random, random.randrange(1, 3))
    await async_hold_cut(cell, Cut(executors, None, draw_mode(random)), random.uniform(*CUT_S))


@hand_over_fault
async def async_cut_executors_from_owner(cell: Cell, random: Random) -> None:
    """Cut one or two executors off from the owner only."""
    executors = draw_busy_executors(cell, random, random.randrange(1, 3))
    cut = Cut(executors, [cell.find_owner().name], draw_mode(random))
    await async_hold_cut(cell, cut, random.uniform(*CUT_S))


@hand_over_fault
async def async_cut_executors_from_some(cell: Cell, random: Random) -> None:
    """Cut some executors off from half of the daemons, whichever of them is the owner."""
    executors = draw_busy_executors(cell, random, random.randrange(1, 4))
    names = [daemon.name for daemon in cell.daemons]
    cut = Cut(executors, random.sample(names, max(1, len(names) // 2)), draw_mode(random))
    await async_hold_cut(cell, cut, random.uniform(*CUT_S))
