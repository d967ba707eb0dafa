"""Commands that check the guarantees, on recorded evidence and on random schedules."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from wasabiramp.check import Evidence, check_all
from wasabiramp.cli.operate import EXIT_USAGE, fail
from wasabiramp.core.records import DecodeError, decode_json
from wasabiramp.model.schedule import run_schedule


def check(file: Annotated[Path, typer.Argument(help="Evidence as JSON.")]) -> None:
    """Check all guarantees on recorded evidence; prints each breach and exits with 1 if any."""
    try:
        evidence = decode_json(file.read_bytes())
    except (OSError, DecodeError) as err:
        raise fail(f"{file}: {err}", EXIT_USAGE) from err
    if not isinstance(evidence, Evidence):
        raise fail(f"{file}: record: expected Evidence", EXIT_USAGE)
    breaches = check_all(evidence)
    for breach in breaches:
        print(breach)
    if breaches:
        raise typer.Exit(1)
    print("all guarantees hold")


def model(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(min=1, max=100_000)] = 20,
) -> None:
    """Check the guarantees on random schedules of daemons with a simulated network and clock."""
    failed = 0
    for number in range(seed, seed + count):
        outcome = run_schedule(number)
        failed += bool(outcome.breaches)
        for breach in outcome.breaches:
            print(f"seed {number}: {breach}")
    print(f"{count} schedules, {failed} with breaches")
    if failed:
        raise typer.Exit(1)


def add_commands(cli: typer.Typer) -> None:
    """Add the commands of this module."""
    cli.command()(check)
    cli.command()(model)
