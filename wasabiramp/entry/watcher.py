"""Following a prefix of the store: a list, then its changes, and the list again after a gap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from wasabiramp.entry.ports import (
    Change,
    HistoryLostError,
    Item,
    Store,
    StoreRefusedError,
    StoreUnknownError,
)
from wasabiramp.logs import log_event

RETRY_S: Final = 0.15
"""Pause after a failed call, so that an outage costs few calls."""

GATHER_S: Final = 0.05
"""Pause after changes: those that come together cost one call, and none waits for long."""

RETRY_LIMIT_S: Final = 0.6
"""Longest pause: an outage is noticed to be over within this time."""


class PrefixWatcher:
    """Keeps a copy of all items under a prefix.

    `confirmed_at` is the time on the loop's clock up to which the copy is known to be complete.
    Revisions never go back: a list that is older than the copy is dropped.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        wait_s: float,
        on_change: Callable[[str, Item | None], None],
        gather_s: float = GATHER_S,
    ) -> None:
        """Tell `on_change` of each item that is new, changed or gone.

        `gather_s` is the pause after changes, in which others come together.
        """
        self._store = store
        self._prefix = prefix
        self._wait_s = wait_s
        self._on_change = on_change
        self._gather_s = gather_s
        self._as_of = 0
        self._watch_from: int | None = None
        self.items: dict[str, Item] = {}
        self.confirmed_at: float | None = None
        self.is_known = asyncio.Event()

    def begin_after(self, revision: int) -> None:
        """Follow what changes after a revision, without a list of what was there before."""
        self._watch_from = self._as_of = revision

    async def async_run(self) -> None:
        """Follow until cancelled."""
        loop = asyncio.get_running_loop()
        pause_s = RETRY_S
        while True:
            asked_at = loop.time()
            try:
                if self._watch_from is None:
                    items, as_of = await self._store.async_list(self._prefix)
                    self._take_list(items, as_of)
                else:
                    changes, as_of = await self._store.async_watch(
                        self._prefix, self._watch_from, self._wait_s
                    )
                    self._take_changes(changes, as_of)
            except HistoryLostError:
                self._watch_from = None
                continue
            except (StoreRefusedError, StoreUnknownError) as err:
                if pause_s == RETRY_S:
                    log_event("store_watch_failed", prefix=self._prefix, error=err)
                await asyncio.sleep(pause_s)
                pause_s = min(RETRY_LIMIT_S, 2 * pause_s)
                continue
            if pause_s != RETRY_S:
                log_event("store_watch_back", prefix=self._prefix, revision=self._as_of)
            pause_s = RETRY_S
            self.confirmed_at = asked_at
            self.is_known.set()
            await asyncio.sleep(self._gather_s)

    def _take_list(self, items: list[Item], as_of: int) -> None:
        """Take a whole list; what it lacks is gone."""
        if as_of < self._as_of:
            log_event("store_list_old", prefix=self._prefix, revision=as_of, known=self._as_of)
            return
        listed = {item.key for item in items}
        for key in [key for key in self.items if key not in listed]:
            del self.items[key]
            self._on_change(key, None)
        for item in items:
            self._take_item(item)
        self._watch_from = self._as_of = as_of

    def _take_changes(self, changes: list[Change], as_of: int) -> None:
        """Take changes in the order of their revisions."""
        for change in changes:
            if change.item is not None:
                self._take_item(change.item)
            elif change.key in self.items and self.items[change.key].revision < change.revision:
                del self.items[change.key]
                self._on_change(change.key, None)
        self._watch_from = max(self._watch_from or 0, as_of)
        self._as_of = max(self._as_of, self._watch_from)

    def _take_item(self, item: Item) -> None:
        """Take an item that is newer than the copy's."""
        known = self.items.get(item.key)
        if known is None or known.revision < item.revision:
            self.items[item.key] = item
            self._on_change(item.key, item)
