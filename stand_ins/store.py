"""The platform's key-value service: compare-and-swap, leases, watches and counted calls."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

MAX_VALUE_BYTES = 1_048_576
WRITES_PER_S = 300
READS_PER_S = 2000


@dataclass(slots=True)
class Item:
    """A key's value, the revision that wrote it, and its lease."""

    key: str
    value: str | None
    revision: int
    lease: str = ""


@dataclass(slots=True)
class StoreFaults:
    """Faults that a test switches; times are in seconds, shares from 0 to 1."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    stale_s: float = 0.0
    watch_stalled: bool = False


@dataclass(slots=True)
class Store:
    """The service's logic, with no input or output; `now` is in seconds."""

    revision: int = 0
    items: dict[str, Item] = field(default_factory=dict)
    changes: deque[tuple[float, Item]] = field(default_factory=lambda: deque(maxlen=200_000))
    leases: dict[str, float] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: dict[str, int] = field(default_factory=dict)
    recent: dict[str, deque[float]] = field(default_factory=dict)

    def count_call(self, kind: str, now: float) -> bool:
        """Count a call; tell whether it is within the rate limit."""
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
        """Write if the key's revision is as expected; 0 expects no key, -1 never matches.

        Returns whether it was written, and the committed item.
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
        """Return the items under a prefix changed after a revision; may be a stale answer."""
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
        """Return the items as they were at an earlier time."""
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
        """Return the changes under a prefix after a revision, in order, for a watch."""
        found = []
        for _at, item in reversed(self.changes):
            if item.revision <= after:
                break
            if item.key.startswith(prefix):
                found.append(item)
        return found[::-1]

    def grant_lease(self, now: float, lease: str, ttl_s: float) -> None:
        """Grant or renew a lease."""
        self.leases[lease] = now + ttl_s

    def expire_leases(self, now: float) -> None:
        """Delete the keys of leases that have lapsed."""
        for lease, expires_at in list(self.leases.items()):
            if now < expires_at:
                continue
            del self.leases[lease]
            for item in [item for item in self.items.values() if item.lease == lease]:
                self.revision += 1
                del self.items[item.key]
                self.changes.append((now, Item(item.key, None, self.revision)))


def describe_item(item: Item) -> dict[str, Any]:
    """Return an item as JSON."""
    return {"key": item.key, "value": item.value, "revision": item.revision}
