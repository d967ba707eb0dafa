"""Availability of the store to this daemon, from the outcomes of all its calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable
from typing import Final, TypeVar

from wasabiramp.entry.ports import (
    Change,
    Item,
    Store,
    StoreInvalidError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.logs import log_event

T = TypeVar("T")

UNAVAILABLE_AFTER_S: Final = 0.8
"""Time without an answer, after a failure, from which the store counts as unavailable.

It spans two renewals of the daemon's lease.
"""

MAX_REFUSAL_S: Final = 0.1
"""Time within which a call fails that the store turns away, by a refusal or a reset connection.

It is several round trips, and well below the shortest timeout."""

CALL_SUMMARY_INTERVAL_S: Final = 5.0
"""Interval of the log lines that count the calls to the store, as each call has a cost."""


class MonitoredStore:
    """A store client that tracks availability and counts the calls."""

    def __init__(self, store: Store) -> None:
        """Forward all calls to a store."""
        self._store = store
        self._answered_at = 0.0
        self._failed_at: float | None = None
        self._turned_away_since: float | None = None
        self._is_unavailable = False
        self._calls: Counter[str] = Counter()
        self._summary_started_at = 0.0

    def is_unavailable(self) -> bool:
        """Return whether calls fail and none was answered for `UNAVAILABLE_AFTER_S`."""
        if self._failed_at is None:
            return False
        is_unavailable = asyncio.get_running_loop().time() - self._answered_at > UNAVAILABLE_AFTER_S
        if is_unavailable and not self._is_unavailable:
            log_event("store_away", answered_s_ago=self.get_silence_s())
        self._is_unavailable = is_unavailable
        return is_unavailable

    def get_turned_away_s(self) -> float:
        """Return for how long the store has turned all calls away, or 0 if it has not.

        Timeouts do not count, as this daemon's own link may be saturated.
        """
        if self._turned_away_since is None:
            return 0.0
        return asyncio.get_running_loop().time() - self._turned_away_since

    def is_answering(self) -> bool:
        """Return whether the last call was answered, and recently."""
        silence_s = asyncio.get_running_loop().time() - self._answered_at
        return self._failed_at is None and silence_s < UNAVAILABLE_AFTER_S

    def get_silence_s(self) -> float:
        """Return the seconds since the last answer."""
        return round(asyncio.get_running_loop().time() - self._answered_at, 3)

    def _count_call(self, name: str) -> None:
        """Count a call, and log the counts at intervals."""
        self._calls[name] += 1
        now = asyncio.get_running_loop().time()
        if now < self._summary_started_at + CALL_SUMMARY_INTERVAL_S:
            return
        log_event("store_calls", **self._calls)
        self._calls.clear()
        self._summary_started_at = now

    async def _async_monitor_call(self, name: str, call: Awaitable[T]) -> T:
        """Make a call and record whether the store answered."""
        self._count_call(name)
        called_at = asyncio.get_running_loop().time()
        try:
            result = await call
        except StoreInvalidError:
            self._record_answer()
            raise
        except (StoreRefusedError, StoreUnknownError):
            self._record_failure(called_at)
            raise
        except Exception:
            self._record_answer()
            raise
        self._record_answer()
        return result

    def _record_failure(self, called_at: float) -> None:
        """Record a failed call; one that failed soon was turned away."""
        self._failed_at = now = asyncio.get_running_loop().time()
        if now - called_at > MAX_REFUSAL_S:
            self._turned_away_since = None
        elif self._turned_away_since is None:
            self._turned_away_since = now

    def _record_answer(self) -> None:
        """Record an answer, which may also be an error."""
        if self._is_unavailable:
            log_event("store_back", silent_s=self.get_silence_s())
        self._is_unavailable = False
        self._failed_at = self._turned_away_since = None
        self._answered_at = asyncio.get_running_loop().time()

    async def async_get(self, key: str) -> Item | None:
        """Return an item, or None."""
        return await self._async_monitor_call("get", self._store.async_get(key))

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix, and the revision after which to watch for changes."""
        return await self._async_monitor_call("list", self._store.async_list(prefix))

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes; return them and the revision to continue from."""
        return await self._async_monitor_call(
            "watch", self._store.async_watch(prefix, after, wait_s)
        )

    async def async_commit(self, transaction: Transaction) -> int:
        """Commit a transaction and return its revision."""
        return await self._async_monitor_call("commit", self._store.async_commit(transaction))

    async def async_grant(self, ttl_s: float) -> int:
        """Return a new lease."""
        return await self._async_monitor_call("grant", self._store.async_grant(ttl_s))

    async def async_renew(self, lease: int) -> None:
        """Renew a lease."""
        await self._async_monitor_call("renew", self._store.async_renew(lease))

    async def async_end(self, lease: int) -> None:
        """End a lease."""
        await self._async_monitor_call("end", self._store.async_end(lease))
