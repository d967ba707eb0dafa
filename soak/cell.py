"""A cell of real daemon processes on loopback, each with its own proxy to the store."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any, Final

import aiohttp

from soak.proxy import Proxy
from soak.record import RecordingChecker
from stand_ins.listener import find_free_ports
from stand_ins.paths import OPEN
from stand_ins.platform import SERVICE, PlatformStandIn, read_clock_start_s

ROOT: Final = Path(__file__).resolve().parent.parent
READY_TIMEOUT_S: Final = 20.0
"""Time that the daemons get to start, beside their machine's other work."""

POLL_S: Final = 0.2
STOP_TIMEOUT_S: Final = 8.0


class DaemonProcess:
    """A daemon with its settings file, process and proxy to the store."""

    def __init__(self, name: str, platform: PlatformStandIn, folder: Path) -> None:
        """Choose the ports without starting the process."""
        self.name = name
        self.proxy = Proxy("")
        self._platform = platform
        self._folder = folder
        self.caller_port, self.ready_port, self.peer_port, self.metrics_port = find_free_ports(4)
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"

    async def async_open_store_path(self) -> None:
        """Open the daemon's path to the store."""
        self.proxy.target = await self._platform.async_open_store(self.name)
        await self.proxy.async_start()

    def write_settings(self) -> Path:
        """Write the settings file in the format of the platform and return its path."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(f"""nodeName = "{self.name}"
ip = "127.0.0.1"
zone = "z"
portRange = [{self.peer_port},{self.metrics_port}]
advice = "{self._platform.adviser_address}"
[listenAddrs]
front = "127.0.0.1:{self.caller_port}"
ready = "127.0.0.1:{self.ready_port}"
[bounds]
holdMaxMs = 6000
[platform]
address = "{self.proxy.address}"
""")
        return path

    def start(self) -> None:
        """Start the process, unless an overlapping fault has already restarted it."""
        if self.process is not None and self.process.poll() is None:
            return
        environment = {**os.environ, "WASABIRAMP_NODE_FILE": str(self.write_settings())}
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "wasabiramp.platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._platform.senders.processes[self.name] = self.process.pid

    async def async_is_ready(self) -> bool:
        """Return whether the daemon reports itself ready."""
        url = f"http://127.0.0.1:{self.ready_port}/v1/readyz"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def signal_process(self, number: signal.Signals) -> None:
        """Send a signal to this process by its id, if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def async_wait_for_exit(self) -> int | None:
        """Wait until the current process exits and return its exit code, or None on timeout.

        A process that an overlapping fault starts meanwhile is not waited for.
        """
        process = self.process
        for _ in range(int(STOP_TIMEOUT_S / 0.05)):
            if process is None or process.poll() is not None:
                return process.returncode if process is not None else None
            await asyncio.sleep(0.05)
        return None

    async def async_kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal_process(signal.SIGKILL)
        await self.async_wait_for_exit()


class Cell:
    """A stand-in of the platform and the daemon processes that use it."""

    def __init__(self, seed: int, daemons: int, executors: int) -> None:
        """Create a cell with a number of daemons and executors; nothing is started."""
        self._counts = (daemons, executors)
        self.seed = seed
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.daemons: list[DaemonProcess] = []
        self.platform: Any = None
        self._checker: RecordingChecker | None = None
        self.open_calls: set[Any] = set()
        # Executors that a fault cuts off until their runs have lapsed.
        self.lapsing_executors: set[str] = set()
        # Unix times at which the tasks of wide jobs end together.
        self.common_ends_s: list[float] = []
        self._events_path = self.folder / "events.log"

    async def async_start(self) -> None:
        """Start the platform stand-in, the proxies and the daemon processes."""
        daemons, executors = self._counts
        path = self.folder / "executors.log"
        self._checker = RecordingChecker(read_clock_start_s(), path)
        self.platform = PlatformStandIn(self.seed, self._checker)
        await self.platform.async_start(executors)
        self.platform.write_config(1, make_routes())
        for number in range(daemons):
            daemon = DaemonProcess(f"entry-{number}", self.platform, self.folder)
            await daemon.async_open_store_path()
            daemon.start()
            self.daemons.append(daemon)

    async def async_wait_until_ready(self) -> None:
        """Wait until all daemons are ready, for a limited time."""
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        for daemon in self.daemons:
            while not await daemon.async_is_ready():
                if asyncio.get_running_loop().time() > deadline:
                    self.note(f"{daemon.name} is not ready")
                    return
                await asyncio.sleep(POLL_S)

    def note(self, text: str) -> None:
        """Write an event to the cell's log, with the checker's time and Unix time."""
        now = asyncio.get_running_loop().time()
        with self._events_path.open("a", encoding="utf-8") as log:
            log.write(f"{now:.3f} {time.time():.3f} {text}\n")

    def find_next_common_end_s(self) -> float | None:
        """Return the time until many tasks end together, or None if that is not known."""
        now = time.time()
        return min((end_s - now for end_s in self.common_ends_s if end_s > now), default=None)

    def find_owner(self) -> DaemonProcess:
        """Return the daemon that is the owner, or was the last one."""
        name = self.platform.store.find_owner()
        return next((d for d in self.daemons if d.name == name), self.daemons[0])

    def heal(self) -> None:
        """End what overlapping faults may have left behind: all daemons run with open paths."""
        for daemon in self.daemons:
            daemon.proxy.set_mode(OPEN)
            daemon.signal_process(signal.SIGCONT)
            daemon.start()
        self.platform.store.refused_daemons.clear()

    async def async_stop(self) -> None:
        """Stop all processes and servers that this cell started."""
        for daemon in self.daemons:
            daemon.signal_process(signal.SIGCONT)
            await daemon.async_kill()
            await daemon.proxy.async_stop()
        await self.platform.async_stop()
        self._checker.close()


def make_routes() -> list[dict[str, Any]]:
    """Return the queues of the soak test in the form of the operator's configuration."""
    shared = {"host": "soak.example", "service": SERVICE, "timeoutMs": 3000}
    advice = {"decideMs": 20, "eachMs": 1, "validMs": 2500}
    urgent = {"name": "quotes", "prefix": "/q/", "priority": 0, "maxAttempts": 3}
    gangs = {"name": "gangs", "prefix": "/g/", "priority": 1, "maxAttempts": 4}
    batch = {"name": "batch", "prefix": "/b/", "priority": 2, "maxAttempts": 4}
    return [
        {**shared, **urgent, "stretch": 1.5, "targetLatencyMs": 250, "advice": advice},
        {**shared, **gangs, "stretch": 2.2, "targetLatencyMs": 1000, "advice": advice},
        {**shared, **batch, "stretch": 4.0, "targetLatencyMs": 3000},
    ]
