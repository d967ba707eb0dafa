"""Cache of the number of waiting jobs of each queue, so that callers share requests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

MAX_COUNTS_AGE_S: Final = 0.5
"""Age up to which counts are served from the cache; the platform accepts 2 s."""

Counts = dict[str, int]


class WaitingCounts:
    """Caches the newest counts, and shares the request in progress."""

    __slots__ = ("_fetched_at", "_fetch_task", "_async_fetch", "_counts")

    def __init__(self, async_fetch: Callable[[], Awaitable[Counts | None]]) -> None:
        """Fetch with `async_fetch`, which returns None if no owner answers."""
        self._async_fetch = async_fetch
        self._counts: Counts | None = None
        self._fetched_at = 0.0
        self._fetch_task: asyncio.Task[None] | None = None

    async def async_get(self, queue: str) -> int | None:
        """Return a queue's count, or None if no owner answers."""
        loop = asyncio.get_running_loop()
        if self._counts is None or loop.time() - self._fetched_at > MAX_COUNTS_AGE_S:
            if self._fetch_task is None or self._fetch_task.done():
                self._fetch_task = loop.create_task(self._async_refresh())
            await asyncio.shield(self._fetch_task)
        return self._counts.get(queue, 0) if self._counts is not None else None

    async def _async_refresh(self) -> None:
        """Fetch the counts of all queues."""
        fetched_at = asyncio.get_running_loop().time()
        self._counts = await self._async_fetch()
        self._fetched_at = fetched_at
