"""Faults of the soak, by name; each one undoes itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
import signal
from typing import Final

from soak.cell import Cell, DaemonProcess
from soak.proxy import ONE_WAY, OPEN, REFUSED, SILENT

Fault = Callable[[Cell, Random], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}


def fault(action: Fault) -> Fault:
    """Register a fault under its function's name."""
    FAULTS[action.__name__.removeprefix("async_")] = action
    return action


def choose_daemon(cell: Cell, random: Random) -> DaemonProcess:
    """Return any daemon."""
    return random.choice(cell.daemons)


@fault
async def async_kill(cell: Cell, random: Random) -> None:
    """A daemon is killed and started again."""
    daemon = choose_daemon(cell, random)
    await daemon.async_kill()
    await asyncio.sleep(random.uniform(0.1, 2.0))
    daemon.start()


@fault
async def async_kill_all(cell: Cell, random: Random) -> None:
    """All daemons are killed at once."""
    await asyncio.gather(*(daemon.async_kill() for daemon in cell.daemons))
    await asyncio.sleep(random.uniform(0.1, 1.0))
    for daemon in cell.daemons:
        daemon.start()


@fault
async def async_roll(cell: Cell, random: Random) -> None:
    """Daemons are stopped in order, one after the other, and started again."""
    for daemon in cell.daemons[:2]:
        daemon.send_signal(signal.SIGTERM)
        if await daemon.async_wait_for_exit() is None:
            cell.platform.checker.report(f"STOP {daemon.name} did not end after SIGTERM")
            await daemon.async_kill()
        daemon.start()


@fault
async def async_pause(cell: Cell, random: Random) -> None:
    """A daemon stands still and goes on."""
    daemon = choose_daemon(cell, random)
    daemon.send_signal(signal.SIGSTOP)
    await asyncio.sleep(random.uniform(0.5, 4.0))
    daemon.send_signal(signal.SIGCONT)


@fault
async def async_reload(cell: Cell, random: Random) -> None:
    """Daemons are told that their settings changed."""
    for daemon in cell.daemons:
        daemon.send_signal(signal.SIGHUP)


@fault
async def async_path(cell: Cell, random: Random) -> None:
    """A daemon's path to the store is cut in one way or another."""
    proxy = choose_daemon(cell, random).proxy
    proxy.mode = random.choice((SILENT, REFUSED, ONE_WAY))
    if proxy.mode == REFUSED:
        proxy.reset_all()
    await asyncio.sleep(random.uniform(0.5, 4.0))
    proxy.mode = OPEN


@fault
async def async_delay(cell: Cell, random: Random) -> None:
    """The paths to the store are slow."""
    for daemon in cell.daemons:
        daemon.proxy.delay_s = 0.1
    await asyncio.sleep(random.uniform(0.5, 3.0))
    for daemon in cell.daemons:
        daemon.proxy.delay_s = 0.0


@fault
async def async_reset(cell: Cell, random: Random) -> None:
    """All connections of a daemon to the store break."""
    choose_daemon(cell, random).proxy.reset_all()


@fault
async def async_store_down(cell: Cell, random: Random) -> None:
    """The store does not answer."""
    cell.platform.store.is_down = True
    await asyncio.sleep(random.uniform(0.5, 3.0))
    cell.platform.store.is_down = False


@fault
async def async_lose_answers(cell: Cell, random: Random) -> None:
    """The store loses answers to writes and carries some out later."""
    store = cell.platform.store
    store.answer_loss_share, store.late_share = 0.3, 0.5
    await asyncio.sleep(random.uniform(0.5, 3.0))
    store.answer_loss_share = store.late_share = 0.0


@fault
async def async_compact(cell: Cell, random: Random) -> None:
    """The store forgets its history."""
    cell.platform.store.compact()


@fault
async def async_crash_executor(cell: Cell, random: Random) -> None:
    """An executor crashes and returns under its id."""
    executors = sorted(cell.platform.executors.by_id.values(), key=lambda e: e.entry.id)
    executor = random.choice(executors)
    await cell.platform.async_crash_executor(executor, random.uniform(0.2, 3.0))


@fault
async def async_apply_late(cell: Cell, random: Random) -> None:
    """Executors leave orders unanswered and carry them out late."""
    executors = list(cell.platform.executors.by_id.values())
    for executor in executors:
        executor.late_share = 0.1
    await asyncio.sleep(random.uniform(0.5, 3.0))
    for executor in executors:
        executor.late_share = 0.0
