"""An HTTP listener on one port that can be closed and opened again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from random import SystemRandom
import socket
from typing import Final

from aiohttp import web

HOST: Final = "127.0.0.1"
PORTS: Final = (10_240, 32_000)
"""Range of the ports that are chosen; outgoing connections use higher ones, so that a port that is
closed for a time stays free."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback interface."""
    random = SystemRandom()
    sockets: list[socket.socket] = []
    while len(sockets) < count:
        probe = socket.socket()
        try:
            probe.bind((HOST, random.randrange(*PORTS)))
            sockets.append(probe)
        except OSError:
            probe.close()
    ports = [int(probe.getsockname()[1]) for probe in sockets]
    for probe in sockets:
        probe.close()
    return ports


class Connection(web.RequestHandler):
    """A connection that tells whether either side has reset it, rather than closed it."""

    __slots__ = ("is_reset",)

    def __init__(self, manager: web.Server, loop: asyncio.AbstractEventLoop) -> None:
        """Serve the requests of a connection that is about to be made."""
        super().__init__(manager, loop=loop, access_log=None)
        self.is_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note how the connection ended."""
        self.is_reset |= isinstance(exc, ConnectionResetError)
        super().connection_lost(exc)


def is_withdrawn(request: web.BaseRequest) -> bool:
    """Return whether the connection of a request was reset."""
    return isinstance(request.protocol, Connection) and request.protocol.is_reset


class Listener:
    """Serves requests on one port; while it is closed, connections are refused."""

    def __init__(self, handler: Handler) -> None:
        """Choose a port; nothing is served before `async_open`."""
        self._protocols = web.Server(handler, access_log=None)
        self._server: asyncio.Server | None = None
        self._should_be_open = False
        self._lock = asyncio.Lock()
        self._port = find_free_ports(1)[0]
        self.address = f"{HOST}:{self._port}"

    async def async_open(self) -> None:
        """Listen, unless the port is open, or is closed before it has been opened."""
        self._should_be_open = True
        async with self._lock:
            if self._server is None and self._should_be_open:
                loop = asyncio.get_running_loop()
                self._server = await loop.create_server(
                    lambda: Connection(self._protocols, loop), HOST, self._port
                )
        if not self._should_be_open:
            self.close()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._should_be_open = False
        server, self._server = self._server, None
        if server is not None:
            server.close()
        self.reset()

    def reset(self, kept: Collection[object] = ()) -> None:
        """Reset all connections but those whose protocols are kept."""
        for protocol in self._protocols.connections:
            if protocol.transport is not None and protocol not in kept:
                protocol.is_reset = True
                protocol.transport.abort()

    async def async_stop(self) -> None:
        """Close for good and cancel all handlers."""
        self.close()
        await self._protocols.shutdown(0.1)
