"""Command line of the soak test: `python -m soak.run --first 1 --count 50`."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Annotated, Final

import typer

from soak.callers import Caller, async_wait_for_jobs
from soak.cell import Cell
from soak.faults import FAULTS

REGRESSION_SEEDS: Final[dict[int, str]] = {
    3: "fault of the soak test itself: a failed call closed the connection during another call",
    27: "fault of the soak test itself: a stop that overlapped another awaited the next process",
}
"""Seeds that failed before, each with its cause; run one again with `--first SEED --count 1`."""

FAULTS_PER_RUN: Final = 5
JOBS_PER_S: Final = 6
CALLER_COUNT: Final = 8
FINISH_TIMEOUT_S: Final = 45.0
"""Time after the last fault within which all accepted jobs have to end."""

WARM_UP_S: Final = 3.0
"""Time from the start of the cell until the traffic begins."""


async def async_soak(seed: int, seconds: float, daemons: int, executors: int) -> Cell:
    """Run one seed to its end and return the cell, whose checker holds the breaches."""
    random = Random(seed)
    cell = Cell(seed, daemons, executors)
    await cell.async_start()
    try:
        await asyncio.sleep(WARM_UP_S)
        cell.platform.executors.failure_share = 0.03
        callers = [Caller(cell, cell.platform.checker, random) for _ in range(CALLER_COUNT)]
        names = sorted(FAULTS)
        jobs = [
            _async_run_after(random.uniform(0, seconds), callers[n % CALLER_COUNT].async_run_job(n))
            for n in range(int(seconds * JOBS_PER_S))
        ]
        faults = [
            _async_run_after(random.uniform(0, seconds), FAULTS[random.choice(names)](cell, random))
            for _ in range(FAULTS_PER_RUN)
        ]
        await asyncio.gather(*jobs, *faults)
        await async_wait_for_jobs(cell, cell.platform.checker, random, FINISH_TIMEOUT_S)
        for caller in callers:
            await caller.async_close()
    finally:
        await cell.async_stop()
    return cell


async def _async_run_after(delay_s: float, coroutine: object) -> None:
    """Await a coroutine after a delay."""
    await asyncio.sleep(delay_s)
    await coroutine  # type: ignore[misc]


def main(
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
    seconds: Annotated[float, typer.Option(help="Seconds of traffic and faults per seed.")] = 15.0,
    daemons: Annotated[int, typer.Option(help="Daemon processes.")] = 4,
    executors: Annotated[int, typer.Option(help="Executors of the platform stand-in.")] = 8,
) -> None:
    """Run the soak test and print the breaches of each seed."""
    failed_seeds = 0
    for seed in range(first, first + count):
        cell = asyncio.run(async_soak(seed, seconds, daemons, executors))
        checker = cell.platform.checker
        accepted = sum(record.accepted_at is not None for record in checker.jobs.values())
        failed_seeds += bool(checker.breaches)
        print(f"seed {seed}: {accepted} jobs accepted, {checker.starts} starts, {cell.folder}")
        for text in checker.breaches[:10]:
            print(f"  {text}")
    print(f"{count} seeds, {failed_seeds} with breaches")
    raise typer.Exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(main)
