"""A TCP proxy on loopback that can delay, reset, refuse or drop traffic."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Final

from stand_ins.paths import ONE_WAY, OPEN, REFUSED, SILENT

READ_BYTES: Final = 65_536
"""Greatest number of bytes that are read and forwarded at once."""


class Proxy:
    """Forwards connections to a target according to its mode.

    OPEN forwards, SILENT drops all data, ONE_WAY drops only the responses, and REFUSED aborts new
    connections.
    """

    def __init__(self, target: str) -> None:
        """Create a proxy to a target address."""
        self.target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.mode = OPEN
        self.delay_s = 0.0
        self.address = ""

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def async_stop(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()

    def set_mode(self, mode: str) -> None:
        """Change the mode; REFUSED also aborts the connections that are open."""
        self.mode = mode
        if mode == REFUSED:
            self.reset_all()

    def reset_all(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            with contextlib.suppress(RuntimeError):
                writer.transport.abort()

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect a client to the target and forward data in both directions."""
        if self.mode == REFUSED:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        loop = asyncio.get_running_loop()
        for source, sink, is_response in (
            (reader, target_writer, False),
            (target_reader, writer, True),
        ):
            task = loop.create_task(self._async_forward(source, sink, is_response))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_forward(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, is_response: bool
    ) -> None:
        """Forward data in one direction until the connection ends."""
        with contextlib.suppress(OSError):
            while data := await source.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                # Dropped data is not delivered later, as behind a network partition.
                if self.mode == SILENT or (self.mode == ONE_WAY and is_response):
                    continue
                sink.write(data)
                await sink.drain()
        self._writers.discard(sink)
        with contextlib.suppress(RuntimeError):
            sink.close()
