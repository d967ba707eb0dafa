"""An event loop whose time advances only when nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
from typing import Any


class VirtualSelector(selectors.SelectSelector):
    """Waits for nothing: it moves the loop's time to the next timer instead."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by the wait."""
        if timeout is None:
            raise RuntimeError("nothing is left that could wake the loop")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time, in seconds from its start."""

    def __init__(self) -> None:
        """Make the loop with its own selector."""
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now
