"""Reads of a key prefix in small parts, so that a narrow link remains usable."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.entry.ports import Item, PartialList, Store
from wasabiramp.policy.switches import switchable

SHARDS: Final = tuple("0123456789abcdef")
"""First digits of the ids under a prefix."""

UNSHARDED: Final = ("",)
"""A single part with all ids, so that a store that answers slowly is called only once."""

NARROW_LINK_MBPS: Final = 20.0
"""Bandwidth below which reads are sharded."""

MAX_CONCURRENT_READS: Final = 3
"""Limit of concurrent reads, so that a lease renewal does not queue behind all parts."""


@switchable(
    "shards", "read stored jobs in parts over narrow links", plain=lambda link_mbps: UNSHARDED
)
def choose_shards(link_mbps: float) -> tuple[str, ...]:
    """Return the parts in which a prefix is read over a link."""
    return SHARDS if link_mbps < NARROW_LINK_MBPS else UNSHARDED


class ShardedRead:
    """One read of all items whose keys are a prefix and a hexadecimal id.

    When a part fails, the others are kept and a retry reads only the missing ones, so that a read
    over a slow link makes progress.
    """

    __slots__ = ("_parts", "_prefix", "_shards", "_store")

    def __init__(self, store: Store, prefix: str, shards: tuple[str, ...] = SHARDS) -> None:
        """Create the read; nothing is read before `async_read`."""
        self._shards = shards
        self._store = store
        self._prefix = prefix
        self._parts: dict[str, tuple[list[Item], int]] = {}

    async def async_read(self) -> tuple[list[Item], int]:
        """Return all items, and the revision after which to watch for changes: the oldest part's.

        Raise the error of a part that could not be read, once the others have finished.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def async_read_part(shard: str) -> None:
            async with limit:
                self._parts[shard] = await self._store.async_list(self._prefix + shard)

        missing = [shard for shard in self._shards if shard not in self._parts]
        results = await asyncio.gather(*map(async_read_part, missing), return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        parts = list(self._parts.values())
        items = [item for part, _as_of in parts for item in part]
        if any(isinstance(part, PartialList) for part, _as_of in parts):
            self._parts.clear()
            items = PartialList(items)
        return items, min(as_of for _part, as_of in parts)
