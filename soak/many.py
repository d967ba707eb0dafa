"""Several cells at the same time, each a soak test in a process of its own."""

from __future__ import annotations

import asyncio
import sys
from typing import Any


def make_arguments(options: dict[str, Any], seed: int) -> list[str]:
    """Return the command line that plays one seed with the given options."""
    own = {**options, "first": seed, "count": 1, "cells": 1, "busy": 0}
    words = []
    for name, value in own.items():
        if value is not None:
            words += [f"--{name.replace('_', '-')}", str(value)]
    return words


async def async_run_cells(options: dict[str, Any], seeds: range, cells: int) -> int:
    """Play seeds, some at a time, print their results and return how many had breaches."""
    slots = asyncio.Semaphore(cells)

    async def async_run_cell(seed: int) -> bool:
        async with slots:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "soak.run",
                *make_arguments(options, seed),
                stdout=asyncio.subprocess.PIPE,
            )
            output, _ = await process.communicate()
        # The last line only counts this one seed.
        print("\n".join(output.decode().splitlines()[:-1]), flush=True)
        return process.returncode != 0

    return sum(await asyncio.gather(*(async_run_cell(seed) for seed in seeds)))
