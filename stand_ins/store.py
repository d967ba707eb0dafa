"""Stand-in for the platform's key-value store, with compare-and-swap, leases and watches."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MAX_VALUE_BYTES = 1_048_576
WRITES_PER_S = 300
"""Most writes, including lease renewals, that the store accepts in any second."""
READS_PER_S = 2000
"""Most reads that the store accepts in any second; watches have the same limit of their own."""


@dataclass(slots=True)
class Item:
    """A key's value, the revision that wrote it, and its lease; a value of None is a deletion."""

    key: str
    value: str | None
    revision: int
    lease: str = ""


@dataclass(slots=True)
class StoreFaults:
    """Faults that tests set while the stand-in runs.

    `down` refuses all calls, `delay_s` delays them, `stale_s` is the age of the data that lists
    return (both in seconds), `lose_answers` is the share of writes, from 0 to 1, that are applied
    but not answered, and `watch_stalled` hides changes from watches.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    stale_s: float = 0.0
    watch_stalled: bool = False


@dataclass(slots=True)
class Store:
    """State of the store, without I/O; `now` is in seconds.

    `changes` holds the last 200,000 writes with their times, `leases` the time at which each lease
    expires, `calls` the number of calls by kind, and `recent` the times of the calls of the last
    second by kind.
    """

    revision: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    changes: deque[tuple[float, Item]] = field(default_factory=lambda: deque(maxlen=200_000))
    leases: dict[str, float] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: dict[str, int] = field(default_factory=dict)
    recent: dict[str, deque[float]] = field(default_factory=dict)

    def count_call(self, kind: str, now: float) -> bool:
        """Count a call and return whether it is within the rate limit of its kind."""
        self.calls[kind] = self.calls.get(kind, 0) + 1
        limit = WRITES_PER_S if kind == "write" else READS_PER_S
        recent = self.recent.setdefault(kind, deque())
        while recent and recent[0] <= now - 1.0:
            recent.popleft()
        if len(recent) >= limit:
            return False
        recent.append(now)
        return True

    def swap(
        self, now: float, key: str, value: str | None, expected_revision: int, lease: str = ""
    ) -> tuple[bool, Item]:
        """Write a key if its revision is the expected one.

        Returns whether it was written, and the item that the key now has. A value of None deletes
        the key. An expected revision of 0 means that the key must not exist, and -1 never matches,
        so that the call only reads the key.
        """
        self.expire_leases(now)
        current = self.items.get(key)
        revision = current.revision if current else 0
        if expected_revision != revision:
            return False, current or Item(key, None, 0)
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.changes.append((now, item))
        return True, item

    def list_items(self, now: float, prefix: str, after: int) -> tuple[list[Item], int]:
        """Return the items under a prefix that changed after a revision, and the revision read.

        Under the fault `stale_s` both are that many seconds old.
        """
        self.expire_leases(now)
        items = self.items
        revision = self.revision
        if self.faults.stale_s > 0:
            items, revision = self._get_items_at(now - self.faults.stale_s)
        found = [
            item for key, item in items.items() if key.startswith(prefix) and item.revision > after
        ]
        return sorted(found, key=lambda item: item.key), revision

    def _get_items_at(self, read_at: float) -> tuple[dict[str, Item], int]:
        """Return the items and the revision as of an earlier time, from the recent changes."""
        items: dict[str, Item] = {}
        revision = 0
        for changed_at, item in self.changes:
            if changed_at > read_at:
                break
            revision = item.revision
            if item.value is None:
                items.pop(item.key, None)
            else:
                items[item.key] = item
        return items, revision

    def list_changes(self, prefix: str, after: int) -> list[Item]:
        """Return the changes under a prefix after a revision, in order of revision, for a watch."""
        found = []
        for _at, item in reversed(self.changes):
            if item.revision <= after:
                break
            if item.key.startswith(prefix):
                found.append(item)
        return found[::-1]

    def grant_lease(self, now: float, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease of `ttl_s` seconds."""
        self.leases[lease] = now + ttl_s

    def expire_leases(self, now: float) -> None:
        """Remove expired leases and delete their keys."""
        for lease, expires_at in list(self.leases.items()):
            if now < expires_at:
                continue
            del self.leases[lease]
            for item in [item for item in self.items.values() if item.lease == lease]:
                self.revision += 1
                del self.items[item.key]
                self.changes.append((now, Item(item.key, None, self.revision)))


def describe_item(item: Item) -> dict[str, Any]:
    """Return an item in the format of the HTTP API."""
    return {"key": item.key, "value": item.value, "revision": item.revision}
