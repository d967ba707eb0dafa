"""Faults of the soak test by name; each fault reverts itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
import signal
from typing import Final

from soak.cell import Cell, DaemonProcess
from stand_ins.paths import ONE_WAY, OPEN, REFUSED, SILENT
from stand_ins.reports import HEARTBEAT_S
from wasabiramp.scheduling.model import Resources

Fault = Callable[[Cell, Random], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}
HAND_OVER_FAULTS: Final[dict[str, Fault]] = {}
"""Faults in which ownership or a path to executors is lost, apart from `FAULTS` so that the seeds
of those keep their draws; their modules are imported by `soak.plan`."""


def fault(action: Fault) -> Fault:
    """Register a fault under the name of its function without `async_`."""
    FAULTS[action.__name__.removeprefix("async_")] = action
    return action


def hand_over_fault(action: Fault) -> Fault:
    """Register a fault of ownership or of paths, like `fault`."""
    HAND_OVER_FAULTS[action.__name__.removeprefix("async_")] = action
    return action


def choose_daemon(cell: Cell, random: Random) -> DaemonProcess:
    """Return a random daemon."""
    return random.choice(cell.daemons)


@fault
async def async_kill(cell: Cell, random: Random) -> None:
    """Kill a daemon and restart it."""
    daemon = choose_daemon(cell, random)
    await daemon.async_kill()
    await asyncio.sleep(random.uniform(0.1, 2.0))
    daemon.start()


@fault
async def async_kill_all(cell: Cell, random: Random) -> None:
    """Kill all daemons at once and restart them."""
    await asyncio.gather(*(daemon.async_kill() for daemon in cell.daemons))
    await asyncio.sleep(random.uniform(0.1, 1.0))
    for daemon in cell.daemons:
        daemon.start()


@fault
async def async_roll(cell: Cell, random: Random) -> None:
    """Shut two daemons down gracefully, one after the other, and restart each."""
    for daemon in cell.daemons[:2]:
        daemon.signal_process(signal.SIGTERM)
        if await daemon.async_wait_for_exit() is None:
            cell.platform.checker.report(f"STOP {daemon.name} did not exit after SIGTERM")
            await daemon.async_kill()
        daemon.start()


@fault
async def async_pause(cell: Cell, random: Random) -> None:
    """Suspend a daemon and resume it."""
    daemon = choose_daemon(cell, random)
    daemon.signal_process(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.5, 4.0))
    daemon.signal_process(signal.SIGCONT)


@fault
async def async_reload(cell: Cell, random: Random) -> None:
    """Send SIGHUP to all daemons, which reload their settings."""
    for daemon in cell.daemons:
        daemon.signal_process(signal.SIGHUP)


@fault
async def async_path(cell: Cell, random: Random) -> None:
    """Let a daemon's proxy to the store drop all data, refuse connections or drop responses."""
    proxy = choose_daemon(cell, random).proxy
    proxy.set_mode(random.choice((SILENT, REFUSED, ONE_WAY)))
    await asyncio.sleep(random.uniform(0.5, 4.0))
    proxy.set_mode(OPEN)


@fault
async def async_delay(cell: Cell, random: Random) -> None:
    """Delay all data between the daemons and the store."""
    for daemon in cell.daemons:
        daemon.proxy.delay_s = 0.1
    await asyncio.sleep(random.uniform(0.5, 3.0))
    for daemon in cell.daemons:
        daemon.proxy.delay_s = 0.0


@fault
async def async_reset(cell: Cell, random: Random) -> None:
    """Reset all connections of a daemon to the store."""
    choose_daemon(cell, random).proxy.reset_all()


@fault
async def async_store_down(cell: Cell, random: Random) -> None:
    """Make the store unresponsive."""
    cell.platform.store.is_down = True
    await asyncio.sleep(random.uniform(0.5, 3.0))
    cell.platform.store.is_down = False


@fault
async def async_lose_answers(cell: Cell, random: Random) -> None:
    """Lose answers to writes, some of which are applied late."""
    store = cell.platform.store
    store.answer_loss_share, store.late_share = 0.3, 0.5
    await asyncio.sleep(random.uniform(0.5, 3.0))
    store.answer_loss_share = store.late_share = 0.0


@fault
async def async_compact(cell: Cell, random: Random) -> None:
    """Compact the history of the store."""
    cell.platform.store.compact()


@fault
async def async_crash_executor(cell: Cell, random: Random) -> None:
    """Crash an executor and restart it under the same id."""
    executors = sorted(cell.platform.executors.by_id.values(), key=lambda e: e.entry.id)
    executor = random.choice(executors)
    await cell.platform.async_crash_executor(executor, random.uniform(0.2, 3.0))


@fault
async def async_deadly_tasks(cell: Cell, random: Random) -> None:
    """Let some of the tasks that start be deadly: they crash each executor that starts them."""
    cell.platform.executors.deadly_start_share = 0.05
    await asyncio.sleep(random.uniform(0.5, 2.0))
    cell.platform.executors.deadly_start_share = 0.0


@fault
async def async_shrink(cell: Cell, random: Random) -> None:
    """Shrink half of the executors, and let them grow again; entries follow with the next beat."""
    executors = sorted(cell.platform.executors.by_id.values(), key=lambda e: e.entry.id)
    chosen = random.sample(executors, len(executors) // 2)
    for share in (0.4, 1.0):
        for executor in chosen:
            executor.set_capacity(Resources(int(8_000 * share), int(8_000 * share), 0))
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        for executor in chosen:
            if executor.is_up:
                cell.platform.list_executor(executor)
        await asyncio.sleep(random.uniform(3.0, 6.0))


@fault
async def async_apply_late(cell: Cell, random: Random) -> None:
    """Let executors apply some orders late and without an answer."""
    executors = list(cell.platform.executors.by_id.values())
    for executor in executors:
        executor.late_share = 0.1
    await asyncio.sleep(random.uniform(0.5, 3.0))
    for executor in executors:
        executor.late_share = 0.0
