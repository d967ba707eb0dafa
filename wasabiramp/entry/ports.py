"""Interfaces of an entry instance to its platform: store, executors, adviser and settings."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

from wasabiramp.scheduling.model import CellConfig, ExecutorEntry, ExecutorReport

T = TypeVar("T")


class WasabirampError(Exception):
    """Base class of the errors that callers of this package handle."""


class StoreRefusedError(WasabirampError):
    """The store refused the call, which had no effect."""


class StoreInvalidError(StoreRefusedError):
    """The store answered that it cannot take the call, such as a value that is too long.

    It would refuse the same call again. It does not turn the caller away.
    """


class StoreUnknownError(WasabirampError):
    """The answer was lost: the call may have taken effect, or may still do so."""


class StoreConflictError(WasabirampError):
    """A condition did not hold; `items` has the current items of the conditions' keys."""

    def __init__(self, items: dict[str, Item]) -> None:
        """Store the existing items by key."""
        super().__init__("a condition did not hold")
        self.items = items


class LeaseEndedError(WasabirampError):
    """The lease no longer exists in the store."""


class HistoryLostError(WasabirampError):
    """The store no longer has the history that a watch requested."""


class NoAnswerError(WasabirampError):
    """A call to another process had no answer; it may have taken effect."""


class PeerGoneError(NoAnswerError):
    """A daemon's address refuses connections: its process has ended."""


@dataclass(slots=True, frozen=True)
class Item:
    """A key of the store with its value; `created` is the revision of its creation."""

    key: str
    value: bytes
    revision: int
    created: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """A change reported by a watch; the item is None if the key was removed."""

    key: str
    revision: int
    item: Item | None


class PartialList(list[T]):
    """Items or changes of the store without those that could not be read.

    An item that is missing from it may exist.
    """


@dataclass(slots=True)
class Transaction:
    """An atomic change of several keys.

    `expected` holds the required revision of each key (0: the key must not exist), `writes` the
    value of each key and the lease that it is bound to (0: none).
    """

    expected: dict[str, int] = field(default_factory=dict)
    writes: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)

    @property
    def size(self) -> int:
        """Return the number of entries, which the store limits."""
        return len(self.expected) + len(self.writes) + len(self.removed)


@dataclass(slots=True, frozen=True)
class OrderAnswer:
    """The answer to an order: its outcome, and the executor's clock if it was reported."""

    outcome: str
    clock_ms: int | None = None


@dataclass(slots=True, frozen=True)
class EntrySettings:
    """Settings of a daemon; times in seconds.

    `lease_limit_s` is the longest lease that executors accept, `lease_least_s` the shortest one
    that the store grants, and `status_s` the time for which callers may query ended jobs. `power`
    is the daemon's processor time in cores, `link_mbps` the bandwidth of its network link.
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
    """The platform's store.

    Each call may raise StoreRefusedError or StoreUnknownError.
    """

    async def async_get(self, key: str) -> Item | None:
        """Return an item, or None."""

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix, and the revision after which to watch for changes.

        The items are a PartialList if some could not be read.
        """

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes; return them and the revision to continue from.

        The changes are a PartialList if some could not be read. Raise HistoryLostError if the
        store no longer has the changes after that revision.
        """

    async def async_commit(self, transaction: Transaction) -> int:
        """Commit a transaction and return its revision.

        Raise StoreConflictError if a condition does not hold, and LeaseEndedError if a write names
        a lease that has ended.
        """

    async def async_grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""

    async def async_renew(self, lease: int) -> None:
        """Renew a lease; raise LeaseEndedError if it no longer exists."""

    async def async_end(self, lease: int) -> None:
        """End a lease, which removes its keys."""


class Executors(Protocol):
    """Calls to executors; each carries the owner's fencing token."""

    async def async_start(self, effect: Any, fence: int) -> OrderAnswer:
        """Start a run."""

    async def async_stop(self, effect: Any, fence: int) -> OrderAnswer:
        """Stop a run."""

    async def async_pace(self, effect: Any, fence: int) -> OrderAnswer:
        """Limit the speed of a run."""

    async def async_hold(self, effect: Any, fence: int) -> ExecutorReport | str:
        """Long-poll an executor and renew its lease.

        Return its report, or the outcome of a call without one.
        """


class Adviser(Protocol):
    """The service that decides which executors may run a step."""

    async def async_ask(
        self, step: str, executors: list[str], timeout_s: float
    ) -> tuple[dict[str, str], float]:
        """Return the eligible executors with their tickets, and their validity in seconds.

        Raise NoAnswerError if there is no usable answer in time.
        """


class Codec(Protocol):
    """Decodes the platform's records in its store."""

    config_key: str
    executors_prefix: str

    def decode_config(self, value: bytes) -> CellConfig:
        """Return the decoded configuration; raise DecodeError if it is invalid."""

    def decode_executor(self, key: str, value: bytes) -> ExecutorEntry:
        """Return an executor's entry.

        Raise DecodeError, which names the invalid field, if the key or value describes no usable
        executor.
        """

    def parse_executor_id(self, key: str) -> str:
        """Return the id of the executor under a key."""
