"""The daemon: a runtime with its HTTP server, stopped gracefully by SIGTERM."""

from __future__ import annotations

import asyncio
import signal
from typing import Final

from aiohttp import web

from wasabiramp.api.callers import CallerRoutes
from wasabiramp.api.operators import OperatorRoutes
from wasabiramp.api.replies import async_catch_errors
from wasabiramp.const import MAX_BODY_BYTES
from wasabiramp.logs import log_event
from wasabiramp.runtime import Runtime
from wasabiramp.settings.schema import Settings

SHUTDOWN_TIMEOUT_S: Final = 2.0
"""Time for requests in progress to finish once the daemon stops."""


class Daemon:
    """A runtime with its HTTP server.

    Example: `daemon = Daemon(settings); await daemon.async_start()`.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the runtime; nothing is opened before `async_start`."""
        self.settings = settings
        self.runtime = Runtime(settings)
        self._runner: web.AppRunner | None = None

    async def async_start(self) -> None:
        """Start the runtime and listen on the API port."""
        app = web.Application(middlewares=[async_catch_errors], client_max_size=MAX_BODY_BYTES)
        CallerRoutes(self.runtime).add_routes(app)
        OperatorRoutes(self.runtime).add_routes(app)
        await self.runtime.async_start()
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        host, _, port = self.settings.api_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port), backlog=1024).start()

    async def async_stop(self) -> None:
        """Close the ports and the clients."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self.runtime.async_stop()


async def async_run_daemon(settings: Settings) -> bool:
    """Run a daemon until it ends; return whether it stopped without a failure."""
    daemon = Daemon(settings)
    await daemon.async_start()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.runtime.request_stop)
    await daemon.runtime.stopped.wait()
    await daemon.async_stop()
    log_event("stopped", member=daemon.runtime.reducer.state.me.id)
    return not daemon.runtime.has_failed
