"""Reading a prefix of the store in small parts, so that a narrow link stays usable."""

from __future__ import annotations

import asyncio
from typing import Final

from wasabiramp.entry.ports import Item, Store

SHARDS: Final = tuple("0123456789abcdef")
"""First digits of the ids under a prefix."""

UNSHARDED: Final = ("",)
"""One part that holds all ids: a store that answers slowly is asked only once."""

NARROW_LINK_MBPS: Final = 20.0
"""Links below this are read over in parts."""

MAX_CONCURRENT_READS: Final = 3
"""Parts read side by side: few enough that a renewal is not queued behind all of them."""


def choose_shards(link_mbps: float) -> tuple[str, ...]:
    """Return the parts in which a daemon with a link reads a prefix."""
    return SHARDS if link_mbps < NARROW_LINK_MBPS else UNSHARDED


class ShardedRead:
    """One read of all items whose keys are a prefix and a hexadecimal id.

    Parts that were read are kept when another one fails: the next try goes on from there, so
    that a slow link makes a read longer but never endless.
    """

    __slots__ = ("_parts", "_prefix", "_shards", "_store")

    def __init__(self, store: Store, prefix: str, shards: tuple[str, ...] = SHARDS) -> None:
        """Prepare; nothing is read before `async_read`."""
        self._shards = shards
        self._store = store
        self._prefix = prefix
        self._parts: dict[str, tuple[list[Item], int]] = {}

    async def async_read(self) -> tuple[list[Item], int]:
        """Return all items, and a revision from which a watch misses nothing.

        Raises the error of a part that could not be read, once the others have ended.
        """
        limit = asyncio.Semaphore(MAX_CONCURRENT_READS)

        async def read_part(shard: str) -> None:
            async with limit:
                self._parts[shard] = await self._store.async_list(self._prefix + shard)

        missing = [shard for shard in self._shards if shard not in self._parts]
        results = await asyncio.gather(*map(read_part, missing), return_exceptions=True)
        for result in results:
            if isinstance(result, BaseException):
                raise result
        parts = list(self._parts.values())
        items = [item for part, _as_of in parts for item in part]
        return items, min(as_of for _part, as_of in parts)
