"""A cell in one process: stand-ins and daemons on one event loop, for demo, bench and tests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
import itertools
import os
import socket
from typing import Any, Final

import aiohttp
from aiohttp import web

from stand_ins.executor import Executor
from stand_ins.http import (
    make_executor_app,
    make_instances_app,
    make_store_app,
    make_worker_app,
)
from stand_ins.instances import InstanceList
from stand_ins.store import Store
from stand_ins.worker import Worker
from wasabiramp.daemon import Daemon
from wasabiramp.settings.schema import Settings

HOST = "127.0.0.1"

FIRST_PORT: Final = 20_000
PORTS_PER_PROCESS: Final = 400
PORT_BLOCKS: Final = 30
"""Ports below those that the system gives to outgoing connections, which are 32768 and above.

Each process has a block of its own, so that test runs side by side do not pick the same port.
"""

READY_TIMEOUT_S = 20.0
READY_POLL_INTERVAL_S = 0.05


def list_ports() -> Iterator[int]:
    """Iterate over the ports of this process, again from the first one after the last."""
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_PROCESS
    return itertools.cycle(range(first, first + PORTS_PER_PROCESS))


_PORTS: Final = list_ports()


def pick_port() -> int:
    """Return a TCP port that is free now, and that no outgoing connection takes meanwhile."""
    for _ in range(PORTS_PER_PROCESS):
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError(f"no free port from {FIRST_PORT} on for this process")


@dataclass(slots=True)
class CellPlan:
    """The size of a cell; `memory_mb` and `cores` are per worker, `slots` per executor.

    `service_s` is how long an executor takes for a request, in seconds.
    """

    executors: int = 2
    workers: int = 3
    slots: int = 8
    service_s: float = 0.05
    cores: float = 64
    memory_mb: float = 131072
    zones: tuple[str, ...] = ("shubra", "abbasia", "nasr-city", "helwan")


@dataclass(slots=True)
class Cell:
    """The stand-ins of a cell and their addresses."""

    plan: CellPlan
    store: Store = field(default_factory=Store)
    instances: InstanceList = field(default_factory=InstanceList)
    executors: dict[str, Executor] = field(default_factory=dict)
    workers: dict[str, Worker] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    runners: list[web.AppRunner] = field(default_factory=list)

    async def async_start(self) -> None:
        """Start each stand-in on a free port."""
        await self._async_serve_app("store", make_store_app(self.store))
        await self._async_serve_app("list", make_instances_app(self.instances))
        now = asyncio.get_running_loop().time()
        for index in range(self.plan.executors):
            name = f"executor-{index + 1}"
            self.executors[name] = Executor(self.plan.slots, self.plan.service_s)
            self.instances.set_state(now, name, "live")
            await self._async_serve_app(name, make_executor_app(self.executors[name], index))
        for index in range(self.plan.workers):
            name = f"worker-{index + 1}"
            self.workers[name] = Worker(self.plan.cores, self.plan.memory_mb)
            self.instances.set_state(now, name, "live")
            await self._async_serve_app(name, make_worker_app(self.workers[name], index))

    async def _async_serve_app(self, name: str, app: web.Application) -> None:
        """Serve the HTTP app of one stand-in."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        port = pick_port()
        await web.TCPSite(runner, HOST, port).start()
        self.runners.append(runner)
        self.addresses[name] = f"{HOST}:{port}"

    async def async_stop(self) -> None:
        """Stop all stand-ins."""
        for runner in self.runners:
            await runner.cleanup()

    def make_settings(self, instance: str, index: int = 0, **changes: Any) -> Settings:
        """Return settings of a daemon in this cell, and list its instance as live."""
        self.instances.set_state(asyncio.get_running_loop().time(), instance, "live")
        values = {
            "instance": instance,
            "zone": self.plan.zones[index % len(self.plan.zones)],
            "api_address": f"{HOST}:{pick_port()}",
            "peer_address": f"{HOST}:{pick_port()}",
            "store_address": self.addresses["store"],
            "instance_list_address": self.addresses["list"],
        }
        return Settings(**{**values, **changes})

    def list_resources(self) -> list[dict[str, Any]]:
        """Return the resources to apply for this cell: teams, a service and its instances."""
        resources = [
            _make_resource("Team", "rims", {"cores": 10000, "memory_mb": 1e9}),
            _make_resource("Team", "gala", {"cores": 10000, "memory_mb": 1e9}),
            _make_resource("Service", "quotes", {"deadline_s": 5.0}),
        ]
        for index, name in enumerate(sorted(self.executors)):
            spec = {
                "role": "executor",
                "address": self.addresses[name],
                "service": "quotes",
                "slots": self.plan.slots,
                "zone": self.plan.zones[index % len(self.plan.zones)],
            }
            resources.append(_make_resource("Instance", name, spec))
        for index, name in enumerate(sorted(self.workers)):
            spec = {
                "role": "worker",
                "address": self.addresses[name],
                "cores": self.plan.cores,
                "memory_mb": self.plan.memory_mb,
                "zone": self.plan.zones[index % len(self.plan.zones)],
                "rack": f"rack-{index // 6 + 1}",
            }
            resources.append(_make_resource("Instance", name, spec))
        return resources


def _make_resource(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    """Return a resource in the form in which the API accepts it."""
    return {
        "apiVersion": "wasabiramp/v1",
        "kind": kind,
        "metadata": {"name": name},
        "spec": spec,
    }


PLURALS = {"Team": "teams", "Service": "services", "Policy": "policies", "Instance": "instances"}


async def async_apply(
    session: aiohttp.ClientSession, address: str, resources: list[dict[str, Any]]
) -> None:
    """Apply resources through a daemon; raises RuntimeError if one is refused."""
    for resource in resources:
        plural = PLURALS[resource["kind"]]
        name = resource["metadata"]["name"]
        url = f"http://{address}/apis/wasabiramp/v1/{plural}/{name}"
        async with session.put(url, json=resource) as answer:
            if answer.status != 200:
                raise RuntimeError(f"{resource['kind']} {name}: {await answer.text()}")


async def async_wait_ready(
    session: aiohttp.ClientSession, addresses: list[str], target_count: int
) -> None:
    """Wait until the daemons have joined and own this many ready targets; raises TimeoutError."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + READY_TIMEOUT_S
    while loop.time() < deadline:
        ready_count = 0
        is_cell_ready = True
        for address in addresses:
            status = await _async_fetch_status(session, address)
            if status is None or len(status["members"]) != len(addresses):
                is_cell_ready = False
                continue
            ready_count += sum(
                item["ready"] and item["owned"] for item in status["executors"].values()
            )
            ready_count += sum(
                item["ready"] and item["owned"] for item in status["workers"].values()
            )
            is_cell_ready = is_cell_ready and all(
                item["status"] == "ready" and not item["recovering"]
                for item in status["partitions"].values()
            )
        if is_cell_ready and ready_count >= target_count:
            return
        await asyncio.sleep(READY_POLL_INTERVAL_S)
    raise TimeoutError("the cell is not ready")


async def _async_fetch_status(
    session: aiohttp.ClientSession, address: str
) -> dict[str, Any] | None:
    """Return a daemon's status, or None if it does not answer."""
    try:
        async with session.get(f"http://{address}/status") as answer:
            return await answer.json()
    except aiohttp.ClientError:
        return None


@dataclass(slots=True)
class LocalCell:
    """A cell with its daemons, all on the running event loop."""

    cell: Cell
    daemons: list[Daemon] = field(default_factory=list)

    async def async_start(self, count: int, **changes: Any) -> None:
        """Start the stand-ins and this number of daemons, with changed settings."""
        await self.cell.async_start()
        for index in range(count):
            settings = self.cell.make_settings(f"entry-{index + 1}", index, **changes)
            daemon = Daemon(settings)
            await daemon.async_start()
            self.daemons.append(daemon)

    async def async_stop(self) -> None:
        """Stop the daemons and the stand-ins."""
        for daemon in self.daemons:
            await daemon.async_stop()
        await self.cell.async_stop()

    def list_addresses(self) -> list[str]:
        """Return the API addresses of the daemons."""
        return [daemon.settings.api_address for daemon in self.daemons]
