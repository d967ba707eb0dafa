"""Faults of the soak test aimed at the owner."""

from __future__ import annotations

import asyncio
from random import Random
import signal
from typing import Final

from soak.cell import Cell, DaemonProcess
from soak.cuts import async_hold_cut, draw_mode
from soak.faults import hand_over_fault
from stand_ins.paths import OPEN, SILENT, Cut
from wasabiramp.entry.keys import PREFIX_LIVE

OWNER_CUT_S: Final = (2.0, 5.5)
"""Range of the time for which the owner is cut off from the store; its keys expire meanwhile or
not."""

LONG_CUT_S: Final = (5.0, 5.5)
"""The same where executors are cut off as well, so that another daemon takes them for silent."""

PAUSE_S: Final = (3.5, 7.0)
"""Range of the time for which the owner is suspended, longer than its lease."""

RESTART_S: Final = (0.1, 2.0)
"""Range of the time from the end of a process to its restart."""

END_LEAD_S: Final = (0.0, 0.4)
"""Range of the time by which the owner is killed before many tasks end together."""

END_WAIT_S: Final = 15.0
"""Greatest time for which a fault waits until many tasks end together."""


def find_owner(cell: Cell, action: str) -> DaemonProcess:
    """Return the owner and note what happens to it."""
    owner = cell.find_owner()
    cell.note(f"{action} {owner.name}")
    return owner


async def async_hold_path(
    daemon: DaemonProcess, mode: str, range_s: tuple[float, float], random: Random
) -> None:
    """Cut a daemon off from the store for a time."""
    daemon.proxy.set_mode(mode)
    await asyncio.sleep(random.uniform(*range_s))
    daemon.proxy.set_mode(OPEN)


@hand_over_fault
async def async_kill_owner(cell: Cell, random: Random) -> None:
    """Kill the owner and restart it."""
    owner = find_owner(cell, "kill")
    await owner.async_kill()
    await asyncio.sleep(random.uniform(*RESTART_S))
    owner.start()


@hand_over_fault
async def async_kill_owner_at_ends(cell: Cell, random: Random) -> None:
    """Kill the owner when many tasks are about to end together."""
    lead_s = random.uniform(*END_LEAD_S)
    for _ in range(int(END_WAIT_S / 0.05)):
        remaining_s = cell.find_next_common_end_s()
        if remaining_s is not None and remaining_s < lead_s:
            break
        await asyncio.sleep(0.05)
    await async_kill_owner(cell, random)


@hand_over_fault
async def async_stop_owner(cell: Cell, random: Random) -> None:
    """Shut the owner down gracefully and restart it."""
    owner = find_owner(cell, "stop")
    owner.signal_process(signal.SIGTERM)
    if await owner.async_wait_for_exit() is None:
        cell.platform.checker.report(f"STOP {owner.name} did not exit after SIGTERM")
        await owner.async_kill()
    await asyncio.sleep(random.uniform(*RESTART_S))
    owner.start()


@hand_over_fault
async def async_pause_owner(cell: Cell, random: Random) -> None:
    """Suspend the owner for longer than its lease and resume it."""
    owner = find_owner(cell, "suspend")
    owner.signal_process(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(*PAUSE_S))
    owner.signal_process(signal.SIGCONT)


@hand_over_fault
async def async_cut_owner(cell: Cell, random: Random) -> None:
    """Cut the owner off from the store, which serves the others."""
    owner = find_owner(cell, "cut from the store")
    await async_hold_path(owner, draw_mode(random), OWNER_CUT_S, random)


@hand_over_fault
async def async_refuse_owner(cell: Cell, random: Random) -> None:
    """Let the store refuse the calls of the owner."""
    owner = find_owner(cell, "refused by the store")
    refused = cell.platform.store.refused_daemons
    refused.add(owner.name)
    await asyncio.sleep(random.uniform(*OWNER_CUT_S))
    refused.discard(owner.name)


@hand_over_fault
async def async_cut_owner_and_executor(cell: Cell, random: Random) -> None:
    """Cut the owner off from the store, and one or all executors with runs from the others.

    If all are cut, no executor refuses the owner after another daemon has taken over.
    """
    owner = find_owner(cell, "cut from the store, and executors from the others than")
    others = [daemon.name for daemon in cell.daemons if daemon is not owner]
    executors = cell.platform.executors.list_with_runs()
    if executors and random.random() < 0.5:
        executors = [random.choice(executors)]
    await asyncio.gather(
        async_hold_path(owner, SILENT, LONG_CUT_S, random),
        async_hold_cut(cell, Cut(executors, others, SILENT), random.uniform(*LONG_CUT_S)),
    )


@hand_over_fault
async def async_revoke(cell: Cell, random: Random) -> None:
    """Delete the keys of all members, or that of the owner, while the daemons run."""
    prefix = PREFIX_LIVE + random.choice(("member/", "owner"))
    cell.note(f"revoke {prefix}")
    cell.platform.store.delete_prefix(prefix)
