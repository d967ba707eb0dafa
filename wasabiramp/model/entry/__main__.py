"""Random schedules by hand: `python -m wasabiramp.model.entry outage --first 1 --count 100`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Final

import typer

from wasabiramp.model.entry.deadly import run_deadly_schedule
from wasabiramp.model.entry.kinds import KINDS, run_kind
from wasabiramp.model.entry.lasting import run_lasting_schedule
from wasabiramp.model.entry.schedule import run_schedule
from wasabiramp.model.entry.special import run_isolation_schedule, run_wide_schedule
from wasabiramp.model.entry.waves import run_wave_schedule
from wasabiramp.model.entry.world import World

RUNNERS: Final[dict[str, Callable[[int], World]]] = {
    "deadly": run_deadly_schedule,
    "isolation": run_isolation_schedule,
    "lasting": run_lasting_schedule,
    "mixed": run_schedule,
    "waves": run_wave_schedule,
    "wide": run_wide_schedule,
}
"""Schedules apart from those in `KINDS`, by name."""


def main(
    kind: Annotated[str, typer.Argument(help="Kind of the schedules, or `all`.")],
    first: Annotated[int, typer.Option(help="First seed.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds of each kind.")] = 10,
) -> None:
    """Run schedules and print their breaches; exit with 1 if there are any."""
    names = sorted({*RUNNERS, *KINDS}) if kind == "all" else [kind]
    breach_count = sum(run_seeds(name, first, count) for name in names)
    raise typer.Exit(1 if breach_count else 0)


def run_seeds(name: str, first: int, count: int) -> int:
    """Run seeds of one kind, print their breaches and return how many seeds have some."""
    broken = []
    for seed in range(first, first + count):
        world = RUNNERS[name](seed) if name in RUNNERS else run_kind(name, seed)
        if world.checker.breaches:
            broken.append(seed)
        for text in world.checker.breaches:
            print(f"{name} {seed}: {text}")
    print(f"{name}: {len(broken)} of {count} seeds with breaches: {broken}", flush=True)
    return len(broken)


if __name__ == "__main__":
    typer.run(main)
