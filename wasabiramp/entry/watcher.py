"""Watch of a key prefix: a list, then its changes, and a new list after a gap."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from wasabiramp.entry.invalid_inputs import InvalidInputs
from wasabiramp.entry.ports import (
    Change,
    HistoryLostError,
    Item,
    PartialList,
    Store,
    StoreRefusedError,
    StoreUnknownError,
)
from wasabiramp.logs import log_event, log_failure

RETRY_DELAY_S: Final = 0.15
"""Delay after a first failed call; it doubles, so that an outage costs few calls."""

BATCH_DELAY_S: Final = 0.05
"""Delay after changes, so that changes arriving together share one call."""

MAX_RETRY_DELAY_S: Final = 0.6
"""Longest delay: the end of an outage is noticed within this time."""


class PrefixWatcher:
    """Keeps a copy of all items under a prefix.

    `confirmed_at` is the time on the loop's clock up to which the copy is known to be complete.
    Revisions never decrease: a list that is older than the copy is dropped.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        watch_timeout_s: float,
        on_change: Callable[[str, Item | None], None],
        batch_delay_s: float = BATCH_DELAY_S,
    ) -> None:
        """Call `on_change` for each item that is added, changed or removed.

        `batch_delay_s` is the delay after changes, in which further changes accumulate.
        """
        self._store = store
        self._prefix = prefix
        self._watch_timeout_s = watch_timeout_s
        self._on_change = on_change
        self._batch_delay_s = batch_delay_s
        self._revision = 0
        self._watch_after: int | None = None
        self._is_partial = False
        self._failed_changes = InvalidInputs("store_change_failed")
        self.items: dict[str, Item] = {}
        self.confirmed_at: float | None = None
        self.synced = asyncio.Event()

    def start_after(self, revision: int) -> None:
        """Watch the changes after a revision, without a list of the earlier items."""
        self._watch_after = self._revision = revision

    async def async_run(self) -> None:
        """Watch until cancelled."""
        loop = asyncio.get_running_loop()
        retry_delay_s = RETRY_DELAY_S
        while True:
            requested_at = loop.time()
            try:
                if self._watch_after is None:
                    items, as_of = await self._store.async_list(self._prefix)
                    if not self._apply_list(items, as_of):
                        await asyncio.sleep(RETRY_DELAY_S)
                        continue
                else:
                    changes, as_of = await self._store.async_watch(
                        self._prefix, self._watch_after, self._watch_timeout_s
                    )
                    self._apply_changes(changes, as_of)
            except HistoryLostError:
                self._watch_after = None
                continue
            except (StoreRefusedError, StoreUnknownError) as err:
                if retry_delay_s == RETRY_DELAY_S:
                    log_event("store_watch_failed", prefix=self._prefix, error=err)
                await asyncio.sleep(retry_delay_s)
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
                continue
            if retry_delay_s != RETRY_DELAY_S:
                log_event("store_watch_recovered", prefix=self._prefix, revision=self._revision)
            retry_delay_s = RETRY_DELAY_S
            if not self._is_partial:
                self.confirmed_at = requested_at
            self.synced.set()
            await asyncio.sleep(self._batch_delay_s)

    def _apply_list(self, items: list[Item], as_of: int) -> bool:
        """Apply a list; return False if it is stale.

        Items missing from it were removed, unless the list is partial.
        """
        if as_of < self._revision:
            log_event("store_list_stale", prefix=self._prefix, revision=as_of, known=self._revision)
            return False
        self._is_partial = isinstance(items, PartialList)
        listed = {item.key for item in items}
        removed = [key for key in self.items if key not in listed]
        if self._is_partial:
            log_event("store_list_partial", prefix=self._prefix, missing=len(removed))
            removed.clear()
        for key in removed:
            del self.items[key]
            self._report_change(key, None)
        for item in items:
            self._apply_item(item)
        self._watch_after = self._revision = as_of
        return True

    def _apply_changes(self, changes: list[Change], as_of: int) -> None:
        """Apply changes in the order of their revisions; list again if some could not be read."""
        for change in changes:
            if change.item is not None:
                self._apply_item(change.item)
            elif change.key in self.items and self.items[change.key].revision < change.revision:
                del self.items[change.key]
                self._report_change(change.key, None)
        self._watch_after = max(self._watch_after or 0, as_of)
        self._revision = max(self._revision, self._watch_after)
        if isinstance(changes, PartialList):
            log_event("store_changes_partial", prefix=self._prefix, revision=as_of)
            self._is_partial = True
            self._watch_after = None

    def _apply_item(self, item: Item) -> None:
        """Apply an item, unless the copy has the same revision or a newer one."""
        known = self.items.get(item.key)
        if known is None or known.revision < item.revision:
            self.items[item.key] = item
            self._report_change(item.key, item)

    def _report_change(self, key: str, item: Item | None) -> None:
        """Call `on_change`; an unexpected error affects neither other items nor the watch."""
        try:
            self._on_change(key, item)
        except Exception as err:
            if self._failed_changes.add(key, err) and len(self._failed_changes) == 1:
                log_failure("store_change_failed")
        else:
            self._failed_changes.remove(key)
