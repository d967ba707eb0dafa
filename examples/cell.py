"""Start a cell of daemon and stand-in processes, and optionally run a benchmark on it.

Usage: `.venv/bin/python -m examples.cell [--bench requests]`.
"""

from __future__ import annotations

import asyncio
from dataclasses import asdict
import json
import signal
from typing import Annotated

import typer

from examples.processes import ProcessCell
from wasabiramp.bench.control import run_control
from wasabiramp.bench.faults import run_faults
from wasabiramp.bench.jobs import async_run_jobs
from wasabiramp.bench.requests import SERVICE_S, SERVICE_VARIATION, async_run_requests

SLOTS = 8
"""Slots of each executor; equal to the default of the executors' command."""


def main(
    daemons: int = 6,
    executors: int = 24,
    workers: int = 24,
    bench: Annotated[str, typer.Option(help="requests, jobs, control or faults")] = "",
    seconds: Annotated[float, typer.Option(min=1, max=120)] = 12.0,
    trials: Annotated[int, typer.Option(min=1, max=60)] = 20,
    loads: str = "0.5,0.7,0.9",
    seed: int = 1,
) -> None:
    """Start a cell, then run the chosen benchmark or wait for Ctrl-C."""
    options = ("--service-s", str(SERVICE_S), "--variation", str(SERVICE_VARIATION))
    cell = ProcessCell(executors, workers, options)
    try:
        for index in range(daemons):
            cell.start_daemon(f"entry-{index + 1}")
        cell.wait_ready(0)
        cell.wait_ready(cell.apply_resources())
        addresses = [cell.settings[name]["api_address"] for name in cell.list_daemons()]
        targets = [cell.addresses[f"executor-{index + 1}"] for index in range(executors)]
        if bench == "requests":
            load_shares = [float(load) for load in loads.split(",")]
            measure = async_run_requests(
                addresses, targets, SLOTS * executors, load_shares, seconds, seed
            )
            results = asyncio.run(measure)
        elif bench == "jobs":
            results = asyncio.run(async_run_jobs(addresses, cell.addresses["store"], seed))
        elif bench == "control":
            results = run_control(cell, seconds)
        elif bench == "faults":
            results = run_faults(cell, trials)
        else:
            print("daemons:", " ".join(addresses), flush=True)
            signal.sigwait([signal.SIGINT, signal.SIGTERM])
            return
        for result in results:
            print(json.dumps(asdict(result)), flush=True)
    finally:
        cell.stop()


if __name__ == "__main__":
    typer.run(main)
