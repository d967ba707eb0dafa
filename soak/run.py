"""Command line of the soak test: `python -m soak.run --first 1 --count 50`."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Annotated, Final

import typer

from soak.busy import BusyProcesses
from soak.callers import Caller, async_wait_for_jobs
from soak.cell import Cell
from soak.checks import (
    async_cancel_lasting_jobs,
    async_check_cancelled_jobs,
    async_check_lasting_tasks,
    async_check_open_calls,
)
from soak.many import async_run_cells
from soak.plan import ALL_FAULTS, FULL, MIXES, Plan, make_plan

REGRESSION_SEEDS: Final[dict[int, str]] = {
    3: "fault of the soak test itself: a failed call closed the connection during another call",
    27: "fault of the soak test itself: a stop that overlapped another awaited the next process",
}
"""Seeds that failed before, each with its cause; run one again with
`--mix plain --first SEED --count 1`."""

CALLER_COUNT: Final = 8
WARM_UP_S: Final = 3.0
"""Time from the start of the cell until the traffic begins."""


async def async_soak(
    seed: int, seconds: float, daemons: int, executors: int, plan: Plan | None = None
) -> Cell:
    """Run one seed to its end and return the cell, whose checker holds the breaches."""
    plan = plan or make_plan()
    random = Random(seed)
    cell = Cell(seed, daemons, executors)
    await cell.async_start()
    checker = cell.platform.checker
    try:
        await asyncio.sleep(WARM_UP_S)
        await cell.async_wait_until_ready()
        cell.platform.executors.failure_share = plan.failure_share
        cell.platform.executors.keeps_calls = plan.has_restarts
        cell.platform.has_late_entries = plan.has_restarts
        callers = [Caller(cell, checker, random) for _ in range(CALLER_COUNT)]
        jobs = [
            _async_run_after(
                random.uniform(0, seconds),
                callers[n % CALLER_COUNT].async_run_job(n, plan.job_kinds),
            )
            for n in range(int(seconds * plan.jobs_per_s))
        ]
        faults = [
            _async_run_after(delay_s, ALL_FAULTS[name](cell, random))
            for delay_s, name in plan.draw_faults(random, seconds)
        ]
        async with asyncio.TaskGroup() as group:
            for play in (*jobs, *faults):
                group.create_task(play)
        cell.heal()
        cell.note("calm")
        await async_check_lasting_tasks(checker)
        await async_cancel_lasting_jobs(cell, checker, random)
        await async_wait_for_jobs(cell, checker, random, plan.finish_timeout_s)
        await async_check_cancelled_jobs(checker)
        await async_check_open_calls(cell)
        for caller in callers:
            await caller.async_close()
    finally:
        await cell.async_stop()
    return cell


async def _async_run_after(delay_s: float, coroutine: object) -> None:
    """Await a coroutine after a delay."""
    await asyncio.sleep(delay_s)
    await coroutine  # type: ignore[misc]


def print_result(cell: Cell) -> None:
    """Print the figures and first breaches of a seed, and write all beside its logs."""
    checker = cell.platform.checker
    accepted = sum(record.accepted_at is not None for record in checker.jobs.values())
    print(f"seed {cell.seed}: {accepted} jobs accepted, {checker.starts} starts, {cell.folder}")
    lapsed = checker.lapses.total()
    print(f"  {lapsed} lapsed runs, {checker.crashes_after_lapse} crashes after a lapse")
    platform = cell.platform
    print(f"  {platform.held_calls} calls held up, {platform.withdrawn_calls} of them withdrawn")
    codes = [text.partition(" ")[0] for text in checker.breaches]
    if codes:
        print("  " + ", ".join(f"{code} {codes.count(code)}" for code in sorted(set(codes))))
    for text in checker.breaches[:10]:
        print(f"  {text}", flush=True)
    (cell.folder / "breaches.log").write_text("\n".join(checker.breaches), encoding="utf-8")


def run_seed(seed: int, seconds: float, daemons: int, executors: int, plan: Plan) -> bool:
    """Play a seed, print its result and return whether it has breaches."""
    cell = asyncio.run(async_soak(seed, seconds, daemons, executors, plan))
    print_result(cell)
    return bool(cell.platform.checker.breaches)


def main(
    context: typer.Context,
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 3,
    seconds: Annotated[float, typer.Option(help="Seconds of traffic and faults per seed.")] = 15.0,
    daemons: Annotated[int, typer.Option(help="Daemon processes.")] = 4,
    executors: Annotated[int, typer.Option(help="Executors of the platform stand-in.")] = 8,
    mix: Annotated[str, typer.Option(help=f"Jobs and faults: {' or '.join(MIXES)}.")] = FULL,
    faults: Annotated[str, typer.Option(help="Only these faults, separated by commas.")] = "",
    jobs: Annotated[str, typer.Option(help="Only these kinds of jobs.")] = "",
    fault_count: Annotated[int | None, typer.Option(help="Faults, or series of them.")] = None,
    jobs_per_s: Annotated[float | None, typer.Option(help="Jobs submitted per second.")] = None,
    busy: Annotated[int, typer.Option(help="Processes that keep processors busy.")] = 0,
    cells: Annotated[int, typer.Option(help="Seeds at the same time, as processes.")] = 1,
) -> None:
    """Run the soak test and print the breaches of each seed."""
    try:
        plan = make_plan(mix, faults, jobs, fault_count, jobs_per_s)
    except ValueError as err:
        raise typer.BadParameter(str(err)) from err
    seeds = range(first, first + count)
    with BusyProcesses(busy):
        if cells > 1:
            failed_seeds = asyncio.run(async_run_cells(context.params, seeds, cells))
        else:
            failed_seeds = sum(run_seed(seed, seconds, daemons, executors, plan) for seed in seeds)
    print(f"{count} seeds, {failed_seeds} with breaches")
    raise typer.Exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    typer.run(main)
