"""The `report` commands."""

from __future__ import annotations

import asyncio
from dataclasses import asdict
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer

from wasabiramp.cli.operate import (
    DEFAULT_SERVER,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Output,
    OutputOption,
    Server,
    fail,
    print_value,
)
from wasabiramp.report.burn import Burn, BurnHistory, Sample, parse_wait_counts, plot_burns
from wasabiramp.report.losses import LogError, plot_timeline, read_cell, summarize_losses
from wasabiramp.resource.state import IntentState

report = typer.Typer(help="Reports on service levels.", no_args_is_help=True)


@report.callback()
def describe_reports() -> None:
    """Reports on service levels."""


async def _async_collect_burns(servers: list[str], samples: int, interval_s: float) -> list[Burn]:
    """Sample the metrics of daemons and return the burn rates of each class over all of them."""
    loop = asyncio.get_running_loop()
    histories: dict[str, BurnHistory] = {}
    async with aiohttp.ClientSession() as session:
        limits, objectives = await _async_fetch_objectives(session, servers[0])
        for index in range(samples):
            if index:
                await asyncio.sleep(interval_s)
            totals: dict[str, list[float]] = {}
            for server in servers:
                async with session.get(f"http://{server}/metrics") as answer:
                    page = await answer.text()
                for name, (total, good) in parse_wait_counts(page, limits).items():
                    sums = totals.setdefault(name, [0.0, 0.0])
                    sums[0] += total
                    sums[1] += good
            for name, (total, good) in totals.items():
                history = histories.get(name)
                if history is None:
                    history = histories[name] = BurnHistory(name, objectives.get(name, 0.99))
                    # With this, a single sample gives the rate since the daemons started.
                    history.add(Sample(loop.time() - 1, 0.0, 0.0))
                history.add(Sample(loop.time(), total, good))
    return [history.build_burn() for history in histories.values()]


async def _async_fetch_objectives(
    session: aiohttp.ClientSession, server: str
) -> tuple[dict[str, float], dict[str, float]]:
    """Return the allowed wait and the objective of each class, including the built-in ones."""
    policies: dict[str, Any] = {
        name: {"wait_s": item.wait_s, "objective": item.objective}
        for name, item in IntentState().policies.items()
    }
    async with session.get(f"http://{server}/apis/wasabiramp/v1/policies") as answer:
        for item in (await answer.json())["items"]:
            policies.setdefault(item["metadata"]["name"], {}).update(item["spec"])
    limits = {name: spec.get("wait_s", 1.5) for name, spec in policies.items()}
    objectives = {name: spec.get("objective", 0.99) for name, spec in policies.items()}
    return limits, objectives


@report.command()
def burn(
    server: Server = DEFAULT_SERVER,
    samples: Annotated[int, typer.Option(min=1, max=1000)] = 1,
    interval_s: Annotated[float, typer.Option(min=0.1, max=600)] = 5.0,
    plot: Annotated[Path | None, typer.Option(help="Path of a PNG to write.")] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show how fast each class uses up its error budget; --server takes a comma-separated list."""
    try:
        burns = asyncio.run(_async_collect_burns(server.split(","), samples, interval_s))
    except (aiohttp.ClientError, TimeoutError) as err:
        raise fail(f"cannot reach {server}: {err}", EXIT_UNREACHABLE) from err
    rows = [["CLASS", "OBJECTIVE", "BURN 5 MIN", "BURN 1 H", "BUDGET LEFT"]]
    for item in burns:
        values = (
            item.work_class,
            item.objective,
            item.short_burn,
            item.long_burn,
            item.budget_left,
        )
        rows.append([str(value) for value in values])
    if plot is not None:
        plot_burns(burns, plot)
    print_value([asdict(item) for item in burns], output, rows)


@report.command()
def losses(
    logs: Annotated[list[Path], typer.Argument(help="Log files of all daemons.")],
    window_s: Annotated[float, typer.Option(min=0.1, help="Width of a moment in seconds.")] = 5.0,
    plot: Annotated[Path | None, typer.Option(help="Path of a PNG to write.")] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show which jobs were late, failed or refused, and for what cause, from logs of all daemons.

    Unavoidable causes, an outage of the store or a time without any daemon, cost any system as
    much. A job counts as late by the durations of its runs.
    """
    try:
        cell = read_cell(logs)
    except (LogError, OSError) as err:
        raise fail(str(err), EXIT_USAGE) from err
    rows = [["CAUSE", "UNAVOIDABLE", "QUEUE", "LOSS", "JOBS", "WHEN"]]
    found = summarize_losses(cell, window_s)
    for row in found:
        moments = " ".join(f"{at}:{count}" for at, count in sorted(row.moments.items()))
        avoidable = "yes" if row.is_unavoidable else "no"
        rows.append([row.cause, avoidable, row.queue, row.loss, str(row.jobs), moments])
    if plot is not None:
        plot_timeline(cell, plot)
    print_value([asdict(row) for row in found], output, rows)
