"""Processes that keep processors busy beside a soak test."""

from __future__ import annotations

import subprocess
import sys
from typing import Final, Self

LONGEST_S: Final = 900
"""Time after which a busy process ends by itself."""

PROGRAM: Final = (
    f"import time\nend = time.monotonic() + {LONGEST_S}\nwhile time.monotonic() < end: pass"
)


class BusyProcesses:
    """Context with a number of busy processes, which end with it."""

    def __init__(self, count: int) -> None:
        """Start no process yet."""
        self._count = count
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Self:
        """Start the processes."""
        command = [sys.executable, "-c", PROGRAM]
        self._processes = [subprocess.Popen(command) for _ in range(self._count)]
        return self

    def __exit__(self, *_exception: object) -> None:
        """End the processes by their ids."""
        for process in self._processes:
            process.kill()
            process.wait()
