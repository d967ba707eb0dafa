"""Tests of daemon processes that are stopped or reloaded while callers use their connections."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import Final

import pytest

from soak.cell import Cell, DaemonProcess

LOSS_SLACK_S: Final = 0.2
"""Time for which the platform allows a request to be on its way when its connection ends."""

CALLERS: Final = 12
PAUSE_S: Final = 0.02
ANSWER_LIMIT_S: Final = 3.0
STORE_AWAY_S: Final = 2.7
"""Requests that wait for the store this long outlast the earlier shutdown, not the grace period."""

STEP: Final = b'{"count": 1, "cpu": 50, "memMb": 10, "estimateMs": 100, "requires": "nowhere"}'
JOB_BODY: Final = b'{"spec": "s", "steps": [' + STEP + b"]}"
"""A job that is stored and cancelled, and that no executor may run."""


class LoopingCaller:
    """A caller that uses one connection again and again until it ends.

    `lost` holds the ages of the requests that had no complete answer when the connection ended.
    """

    def __init__(self, daemon: DaemonProcess, number: int) -> None:
        """Call a daemon, as the caller of a number."""
        self._daemon = daemon
        self._number = number
        self.answered = 0
        self.statuses: set[int] = set()
        self.lost: list[tuple[str, float]] = []

    async def async_run(self) -> None:
        """Make calls until the daemon ends the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._daemon.caller_port)
        try:
            while await self._async_call(reader, writer):
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def _async_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Submit, show, cancel or count; return whether the connection stays open."""
        job_id = f"{self._number:08x}{self.answered // 4:08x}"
        method = ("POST", "GET", "DELETE", "GET")[self.answered % 4]
        path = f"/b/{job_id}" if self.answered % 4 != 3 else "/b/"
        body = JOB_BODY if method == "POST" else b""
        head = f"{method} {path} HTTP/1.1\r\nHost: soak.example\r\nContent-Length: {len(body)}\r\n"
        sent_at = time.monotonic()
        try:
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            async with asyncio.timeout(ANSWER_LIMIT_S):
                answer = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(answer.partition("content-length: ")[2].partition("\r\n")[0])
                await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
            self.lost.append((method, time.monotonic() - sent_at))
            return False
        self.answered += 1
        self.statuses.add(int(answer.split()[1]))
        return "connection: close" not in answer


async def async_find_owner(cell: Cell) -> DaemonProcess:
    """Return the daemon that is the owner, once there is one."""
    async with asyncio.timeout(20.0):
        while True:
            item = cell.platform.store.items.get("wr/live/owner")
            if item is not None:
                found = [d for d in cell.daemons if d.name.encode() in item.value]
                if found:
                    return found[0]
            await asyncio.sleep(0.05)


async def async_disrupt(action: str, daemon: DaemonProcess, cell: Cell) -> None:
    """Stop or reload a daemon, and let it or the store lag before its connections are closed."""
    if action == "reload":
        for _ in range(3):
            daemon.signal_process(signal.SIGHUP)
            await asyncio.sleep(0.3)
        daemon.signal_process(signal.SIGTERM)
        return
    daemon.signal_process(signal.SIGTERM)
    if action == "stop while the store is away":
        await asyncio.sleep(1.9)
        cell.platform.store.is_down = True
        await asyncio.sleep(STORE_AWAY_S)
        cell.platform.store.is_down = False
    if action == "stop of a process that lags":
        await asyncio.sleep(1.9)
        daemon.signal_process(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        daemon.signal_process(signal.SIGCONT)


class TestPlannedStop:
    """Callers that keep using their connections get a complete answer to each request."""

    @pytest.mark.parametrize(
        "action",
        [
            "stop",
            "reload",
            "stop of a process that lags",
            "stop while the store is away",
        ],
    )
    def test_no_request_is_cut_off(self, action: str) -> None:
        """Guards against LOST: requests that a process had read ended without an answer."""

        async def run_scenario() -> tuple[list[LoopingCaller], int | None]:
            cell = Cell(1, daemons=3, executors=3)
            await cell.async_start()
            try:
                daemon = await async_find_owner(cell)
                await asyncio.sleep(2.0)
                looping = [LoopingCaller(daemon, number) for number in range(CALLERS)]
                tasks = [asyncio.ensure_future(caller.async_run()) for caller in looping]
                await asyncio.sleep(1.0)
                await async_disrupt(action, daemon, cell)
                code = await daemon.async_wait_for_exit()
                await asyncio.gather(*tasks)
                return looping, code
            finally:
                await cell.async_stop()

        looping, code = asyncio.run(run_scenario())
        lost = [call for caller in looping for call in caller.lost]
        assert [call for call in lost if call[1] > LOSS_SLACK_S] == []
        # Callers are told to leave, so hardly any request is on its way when a connection ends.
        assert len(lost) < CALLERS / 2
        assert min(caller.answered for caller in looping) > 4
        assert code == 0
