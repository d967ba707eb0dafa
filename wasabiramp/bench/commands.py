"""Commands that run benchmarks; `decisions` prints its targets beside the results."""

from __future__ import annotations

from dataclasses import asdict
from pathlib import Path
import sys
from typing import Annotated

import typer

from wasabiramp.bench.ablate import (
    MODEL_MECHANISMS,
    NO_FAULT,
    TrialStore,
    list_trials,
    plot_rows,
    render_markdown,
    run_trials,
    summarize,
)
from wasabiramp.bench.decisions import run_decisions
from wasabiramp.bench.load import LoadModel
from wasabiramp.bench.load_faults import LOAD_FAULTS
from wasabiramp.bench.profiles import PROFILES
from wasabiramp.cli.operate import Output, print_value
from wasabiramp.policy.switches import set_switched_off

bench = typer.Typer(help="Run benchmarks against baselines and targets.", no_args_is_help=True)
Seed = Annotated[int, typer.Option(help="Seed of the random numbers.")]
OutputOption = Annotated[Output, typer.Option("--output", "-o", help="Form of the output.")]

TARGET_P99_US = 5000
"""Target for the slowest 99th percentile of a placement."""

TARGET_DECISIONS_PER_S = 10_000
"""Target for the lowest rate of placements."""

TARGET_GROWTH_FACTOR = 1.5
"""Target for the mean time of a placement with 2700 workers, relative to 24 workers."""


def print_progress(message: str) -> None:
    """Print a progress message to standard error."""
    print(message, file=sys.stderr, flush=True)


@bench.command()
def decisions(
    seed: Seed = 1,
    count: Annotated[int, typer.Option(min=500, max=200_000)] = 10_000,
    output: OutputOption = Output.TABLE,
) -> None:
    """Measure placement decisions of the reducer, without I/O, on one processor core."""
    results = run_decisions([24, 240, 2700], count, seed, print_progress)
    rows = [["POLICY", "WORKERS", "TEAMS", "P50 US", "P99 US", "PER SECOND"]]
    for item in results:
        values = (item.policy, item.workers, item.teams, item.p50_us, item.p99_us, item.per_second)
        rows.append([str(value) for value in values])
    own_results = [item for item in results if item.policy == "wasabiramp"]
    growth = max(
        large.per_second and small.per_second / large.per_second
        for small in own_results
        for large in own_results
        if small.workers == 24 and large.workers == 2700 and small.teams == large.teams
    )
    worst = max(item.p99_us for item in own_results)
    slowest = min(item.per_second for item in own_results)
    rows.append(["worst p99", "", "", "", f"{worst}", f"target at most {TARGET_P99_US}"])
    rows.append(["slowest", "", "", "", f"{slowest}", f"target at least {TARGET_DECISIONS_PER_S}"])
    rows.append(
        ["growth 24 to 2700", "", "", "", f"{growth:.2f}", f"target {TARGET_GROWTH_FACTOR}"]
    )
    value = {
        "seed": seed,
        "results": [asdict(item) for item in results],
        "growth": round(growth, 3),
    }
    print_value(value, output, rows)


@bench.command()
def load(
    profile: Annotated[str, typer.Option(help="Cell and its work: small or grown.")] = "small",
    times: Annotated[float, typer.Option(min=0.1, max=10.0, help="Times the usual traffic.")] = 1.0,
    seconds: Annotated[float, typer.Option(min=1.0, max=600.0)] = 30.0,
    seed: Seed = 1,
    output: OutputOption = Output.TABLE,
) -> None:
    """Simulate the scheduler under a mixed load in virtual time, and show waits per kind of job."""
    if profile not in PROFILES:
        raise typer.BadParameter(f"profile: expected one of {', '.join(PROFILES)}")
    results = LoadModel(PROFILES[profile], seed).run(seconds, times)
    rows = [["KIND", "JOBS", "IN TIME", "WAIT P50 S", "WAIT P99 S"]]
    for item in results:
        values = (item.kind, item.jobs, item.in_time, item.wait_p50_s, item.wait_p99_s)
        rows.append([str(value) for value in values])
    print_value({"seed": seed, "results": [asdict(item) for item in results]}, output, rows)


@bench.command()
def ablate(
    profile: Annotated[str, typer.Option(help="Cell and its work.")] = "desk",
    times: Annotated[float, typer.Option(min=0.1, max=10.0, help="Times the usual traffic.")] = 1.0,
    fault: Annotated[list[str] | None, typer.Option(help="Fault; several may be given.")] = None,
    without: Annotated[list[str] | None, typer.Option(help="Mechanism; all by default.")] = None,
    seeds: Annotated[int, typer.Option(min=1, max=100)] = 3,
    workers: Annotated[int, typer.Option(min=1, max=64, help="Processes.")] = 2,
    results: Annotated[Path, typer.Option(help="JSON file that a stopped run continues.")] = Path(
        "build/ablation.json"
    ),
    plot: Annotated[Path | None, typer.Option(help="Path of a PNG to write.")] = None,
) -> None:
    """Play the load model with each mechanism switched off, and show what it is worth."""
    names = without or list(MODEL_MECHANISMS)
    if profile not in PROFILES:
        raise typer.BadParameter(f"profile: expected one of {', '.join(PROFILES)}")
    for name in fault or ():
        if name not in LOAD_FAULTS:
            raise typer.BadParameter(f"fault: expected one of {', '.join(LOAD_FAULTS)}")
    try:
        set_switched_off(names)
        results.parent.mkdir(parents=True, exist_ok=True)
        store = TrialStore(results)
    except ValueError as err:
        raise typer.BadParameter(str(err)) from err
    cases = [(profile, times, name) for name in (NO_FAULT, *(fault or ()))]
    trials = list(list_trials(names, cases, seeds))
    with typer.progressbar(length=len(trials), file=sys.stderr) as progress:
        run_trials(trials, store, workers, lambda: progress.update(1))
    rows = summarize(trials, store)
    print(render_markdown(rows), end="")
    if plot is not None:
        plot_rows(rows, plot)
