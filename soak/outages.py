"""Faults of the soak test in which the store is down, for all daemons or for some."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final

from soak.cell import Cell
from soak.cuts import async_hold_cut, draw_busy_executors, draw_mode
from soak.faults import hand_over_fault
from stand_ins.paths import REFUSED, Cut

OUTAGE_S: Final = (1.5, 5.0)
"""Range of the time for which the store is down; leases and entries of executors run out or not."""

LONG_OUTAGE_S: Final = (7.0, 11.0)
"""Range of the time of an outage in which leases of runs lapse, as no term is proven."""

HAND_OVER_OUTAGE_S: Final = 4.5
CUT_LEAD_S: Final = 0.3
HAND_OVER_CUT_S: Final = 3.5
"""The outage of a hand-over, how long before its end executors are cut off, and for how long."""

HAND_OVER_KILL_S: Final = (1.5, 4.3)
"""Range of the time from the begin of this outage until all daemons are killed."""

OWNER_AWAY_S: Final = (0.5, 1.5)
"""Range of the time for which the store refuses the owner after an outage."""


async def async_hold_outage(
    cell: Cell, duration_s: float, expires_leases: bool, refuses: bool
) -> None:
    """Let the store be down for a time."""
    cell.note(f"store down, leases {'run out' if expires_leases else 'pause'}")
    outage = cell.platform.store.begin_outage(expires_leases, refuses)
    await asyncio.sleep(duration_s)
    cell.platform.store.end_outage(outage)
    cell.note("store up")


@hand_over_fault
async def async_outage_lapse(cell: Cell, random: Random) -> None:
    """Let the store be down while leases run out."""
    await async_hold_outage(cell, random.uniform(*OUTAGE_S), True, random.random() < 0.5)


@hand_over_fault
async def async_outage_pause(cell: Cell, random: Random) -> None:
    """Let the store be down while leases pause."""
    await async_hold_outage(cell, random.uniform(*OUTAGE_S), False, random.random() < 0.5)


@hand_over_fault
async def async_long_outage(cell: Cell, random: Random) -> None:
    """Let the store be down until leases of runs lapse; those at the store run out or pause."""
    await async_hold_outage(
        cell, random.uniform(*LONG_OUTAGE_S), random.random() < 0.5, random.random() < 0.5
    )


@hand_over_fault
async def async_long_outage_cut(cell: Cell, random: Random) -> None:
    """Cut executors off while the store is down until leases of runs lapse."""
    executors = draw_busy_executors(cell, random, 2)
    duration_s = random.uniform(*LONG_OUTAGE_S)
    await asyncio.gather(
        async_hold_outage(cell, duration_s, random.random() < 0.5, random.random() < 0.5),
        _async_cut_after(cell, executors, duration_s * random.random(), draw_mode(random)),
    )


@hand_over_fault
async def async_outage_cut(cell: Cell, random: Random) -> None:
    """Cut executors off while the store is down and leases run out."""
    executors = draw_busy_executors(cell, random, 2)
    duration_s = random.uniform(*OUTAGE_S)
    await asyncio.gather(
        async_hold_outage(cell, duration_s, True, random.random() < 0.5),
        _async_cut_after(cell, executors, duration_s * random.random(), draw_mode(random)),
    )


@hand_over_fault
async def async_outage_cut_hand_over(cell: Cell, random: Random) -> None:
    """Kill all daemons in an outage, at whose end executors are cut off.

    The daemons are back when the store is, and another one may become the owner.
    """
    executors = draw_busy_executors(cell, random, 2)
    await asyncio.gather(
        async_hold_outage(cell, HAND_OVER_OUTAGE_S, True, True),
        _async_cut_after(cell, executors, HAND_OVER_OUTAGE_S - CUT_LEAD_S, REFUSED),
        _async_kill_all_after(cell, random.uniform(*HAND_OVER_KILL_S), random),
    )


@hand_over_fault
async def async_outage_cut_owner_away(cell: Cell, random: Random) -> None:
    """Let the store refuse the owner after an outage, at whose end executors are cut off."""
    owner = cell.find_owner()
    executors = draw_busy_executors(cell, random, 2)
    refused = cell.platform.store.refused_daemons
    refused.add(owner.name)
    cut = _async_cut_after(cell, executors, HAND_OVER_OUTAGE_S - CUT_LEAD_S, REFUSED)
    cutting = asyncio.create_task(cut)
    await async_hold_outage(cell, HAND_OVER_OUTAGE_S, True, True)
    await asyncio.sleep(random.uniform(*OWNER_AWAY_S))
    cell.note(f"store serves {owner.name}, the last owner")
    refused.discard(owner.name)
    await cutting


@hand_over_fault
async def async_outage_for_some(cell: Cell, random: Random) -> None:
    """Let the store refuse half of the daemons."""
    names = random.sample([d.name for d in cell.daemons], max(1, len(cell.daemons) // 2))
    cell.note(f"store refuses {','.join(names)}")
    cell.platform.store.refused_daemons.update(names)
    await asyncio.sleep(random.uniform(*OUTAGE_S))
    cell.platform.store.refused_daemons.difference_update(names)
    cell.note(f"store serves {','.join(names)}")


async def _async_cut_after(cell: Cell, executors: list[str], delay_s: float, mode: str) -> None:
    """Cut executors off from all daemons after a delay."""
    await asyncio.sleep(delay_s)
    await async_hold_cut(cell, Cut(executors, None, mode), HAND_OVER_CUT_S)


async def _async_kill_all_after(cell: Cell, delay_s: float, random: Random) -> None:
    """Kill all daemons after a delay and restart them in random order."""
    await asyncio.sleep(delay_s)
    cell.note("kill all daemons")
    await asyncio.gather(*(daemon.async_kill() for daemon in cell.daemons))
    await asyncio.sleep(random.uniform(0.1, 0.5))
    for daemon in random.sample(cell.daemons, len(cell.daemons)):
        daemon.start()
