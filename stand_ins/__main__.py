"""Run stand-ins of one kind in a process, for example `python -m stand_ins store --port 7000`."""

from __future__ import annotations

import asyncio
import signal
from typing import Annotated

from aiohttp import web
import typer

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

cli = typer.Typer(
    help="Run stand-ins for the platform's services, for tests and trials.", no_args_is_help=True
)
Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="First TCP port to listen on.")]
Count = Annotated[
    int, typer.Option(help="Number of stand-ins, on consecutive ports.", min=1, max=400)
]


async def _async_serve(apps: list[web.Application], host: str, port: int) -> None:
    """Serve applications on consecutive ports until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
    runners = []
    for offset, app in enumerate(apps):
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port + offset).start()
        runners.append(runner)
    await stop.wait()
    for runner in runners:
        await runner.cleanup()


def _run_apps(app_factories: list, host: str, port: int) -> None:
    """Create the applications inside the running event loop and serve them."""

    async def async_main() -> None:
        await _async_serve([make_app() for make_app in app_factories], host, port)

    asyncio.run(async_main())


@cli.command()
def store(port: Port, host: Host = "127.0.0.1") -> None:
    """Run the key-value service."""
    _run_apps([lambda: make_store_app(Store())], host, port)


@cli.command()
def instances(port: Port, host: Host = "127.0.0.1", lag_s: float = 0.5) -> None:
    """Run the instance list."""
    _run_apps([lambda: make_instances_app(InstanceList(lag_s))], host, port)


@cli.command()
def executor(
    port: Port,
    host: Host = "127.0.0.1",
    count: Count = 1,
    slots: int = 8,
    service_s: float = 0.1,
    variation: float = 0.0,
) -> None:
    """Run executors."""
    _run_apps(
        [lambda: make_executor_app(Executor(slots, service_s, variation))] * count, host, port
    )


@cli.command()
def worker(
    port: Port,
    host: Host = "127.0.0.1",
    count: Count = 1,
    cores: float = 64,
    memory_mb: float = 131072,
    accelerators: int = 0,
) -> None:
    """Run workers."""
    _run_apps([lambda: make_worker_app(Worker(cores, memory_mb, accelerators))] * count, host, port)


if __name__ == "__main__":
    cli()
