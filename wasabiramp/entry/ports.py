"""What an entry instance needs from a platform: its store, executors, adviser and settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from wasabiramp.scheduling.model import CellConfig, ExecutorEntry, ExecutorReport


class WasabirampError(Exception):
    """Root of the errors that callers of this package handle."""


class StoreRefusedError(WasabirampError):
    """The store certainly did nothing."""


class StoreUnknownError(WasabirampError):
    """The answer was lost: the store may have done it, or may yet do it."""


class StoreConflictError(WasabirampError):
    """A condition did not hold; `items` shows the keys of the conditions as they are."""

    def __init__(self, items: dict[str, Item]) -> None:
        """Keep the items that exist, by key."""
        super().__init__("a condition did not hold")
        self.items = items


class LeaseEndedError(WasabirampError):
    """The store knows no such lease any more."""


class HistoryLostError(WasabirampError):
    """The store dropped the history that a watch asked for."""


class NoAnswerError(WasabirampError):
    """A call to another process had no answer; it may have been carried out."""


class PeerGoneError(NoAnswerError):
    """Nothing listens at a daemon's address: its process has ended."""


@dataclass(slots=True, frozen=True)
class Item:
    """A key of the store; `created` is the revision of its creation."""

    key: str
    value: bytes
    revision: int
    created: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A change that a watch saw; the item is None where the key was removed."""

    key: str
    revision: int
    item: Item | None


@dataclass(slots=True)
class Transaction:
    """A change of several keys at once, under conditions on their revisions (0: no such key)."""

    expected: dict[str, int] = field(default_factory=dict)
    writes: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Return the number of entries, which the store limits."""
        return len(self.expected) + len(self.writes) + len(self.removed)


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """The answer to a start or stop: its outcome, and the executor's clock if it told it."""

    outcome: str
    clock_ms: int | None = None


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """What a daemon is told about itself; times in seconds.

    `power` is the processor time that it gets, in cores; `link_mbps` its network link.
    """

    name: str
    zone: str
    caller_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    adviser_address: str
    lease_limit_s: float
    grace_s: float
    status_s: float
    config_s: float
    lease_least_s: float
    store_value_bytes: int
    power: float = 1.0
    link_mbps: float = 1000.0


class Store(Protocol):
    """The platform's store."""

    async def async_get(self, key: str) -> Item | None:
        """Return an item, or None."""

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix, and a revision from which a watch misses nothing."""

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes; return them and the revision to go on from."""

    async def async_commit(self, transaction: Transaction) -> int:
        """Carry out a transaction and return its revision."""

    async def async_grant(self, ttl_s: float) -> int:
        """Return a new lease."""

    async def async_renew(self, lease: int) -> None:
        """Renew a lease."""

    async def async_end(self, lease: int) -> None:
        """End a lease, which removes its keys."""


class Executors(Protocol):
    """The executors."""

    async def async_start(self, effect: Any, fence: int) -> OrderAnswer:
        """Start a run."""

    async def async_stop(self, effect: Any, fence: int) -> OrderAnswer:
        """Stop a run."""

    async def async_pace(self, effect: Any, fence: int) -> OrderAnswer:
        """Change the pace of a run."""

    async def async_hold(self, effect: Any, fence: int) -> ExecutorReport | str:
        """Renew the lease and return the executor's report, or the outcome of a failure."""


class Adviser(Protocol):
    """The service that knows which executors may run a step."""

    async def async_ask(
        self, step: str, executors: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the good executors with their tickets, and how long those are valid."""


class Codec(Protocol):
    """Decodes what the platform keeps in its store."""

    config_key: str
    executors_prefix: str

    def decode_config(self, value: bytes) -> CellConfig:
        """Return a configuration."""

    def decode_executor(self, key: str, value: bytes) -> ExecutorEntry | None:
        """Return an executor's entry, or None for what names no executor to use."""

    def name_executor(self, key: str) -> str:
        """Return the id of the executor under a key."""
