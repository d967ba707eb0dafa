"""A simulated key-value store with transactions, leases, watches and fault injection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any, Final

from wasabiramp.entry.ports import (
    Change,
    HistoryLostError,
    Item,
    LeaseEndedError,
    NoAnswerError,
    StoreConflictError,
    StoreInvalidError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.model.entry.network import STORE, Network, estimate_wire_bytes

ANSWER_DELAY_S: Final = 0.004
CALL_TIMEOUT_S: Final = 1.0
LIST_TIMEOUT_S: Final = 5.0
WATCH_TIMEOUT_MARGIN_S: Final = 0.7
"""Time by which the timeout of a watch call exceeds the wait that the call requests."""

MAX_TRANSACTION_ENTRIES: Final = 32
"""Greatest number of expected revisions, writes and removals in a transaction."""

LATE_WRITE_DELAY_S: Final = (1.0, 6.0)
"""Range of the random delay of a write that is applied late, after its answer was lost."""

KEPT_WRITE_DELAY_S: Final = (0.2, 4.0)
"""Range of the random delay after an outage of a write that arrived in it."""

Result = Any


MAX_VALUE_BYTES: Final = 1_048_576
"""Greatest length of a value."""


class ModelStore:
    """The state of the store and the faults that affect all its clients.

    `answer_loss_share` is the share of writes whose answer is lost, and `late_share` the share of
    these that are applied late. The hooks in `on_commit` run after each transaction.
    """

    def __init__(self, random: Random) -> None:
        """Create an empty store without faults."""
        self._random = random
        self.items: dict[str, Item] = {}
        self.revision = 10
        self.history: list[Change] = []
        self.compacted_revision = 0
        # By lease id, the time at which it expires and its time to live.
        self._leases: dict[int, tuple[float, float]] = {}
        self._keys_by_lease: dict[int, set[str]] = {}
        self._lease_of_key: dict[str, int] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.is_down = False
        self.is_refusing = False
        self.does_lapse = False
        self.kept_share = 0.0
        self._kept_writes: list[Callable[[], Any]] = []
        self._down_since: float | None = None
        self.answer_loss_share = 0.0
        self.late_share = 0.0
        self.answer_delay_s = ANSWER_DELAY_S
        self.on_commit: list[Callable[[Transaction], None]] = []

    async def async_run(self) -> None:
        """Expire leases periodically."""
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            for lease, (ends_at, _ttl) in list(self._leases.items()):
                if now >= ends_at and (not self.is_down or self.does_lapse):
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    @property
    def is_in_outage(self) -> bool:
        """Return whether an outage is on, in which also the watches that wait get no answer."""
        return self._down_since is not None

    def begin_outage(
        self, does_lapse: bool, does_refuse: bool = False, kept_share: float = 0.0
    ) -> None:
        """Begin an outage in which leases expire or pause; the store must not be in one.

        Calls are refused, or get no answer; of the writes among the latter, the share `kept_share`
        is applied after the end.
        """
        self.is_down = True
        self.is_refusing = does_refuse
        self.does_lapse = does_lapse
        self.kept_share = kept_share
        self._down_since = asyncio.get_running_loop().time()

    def end_outage(self) -> None:
        """End the outage; leases that paused go on with the time that they had left."""
        loop = asyncio.get_running_loop()
        down_since = self._down_since if self._down_since is not None else loop.time()
        if not self.does_lapse:
            down_s = loop.time() - down_since
            for lease, (ends_at, ttl_s) in self._leases.items():
                self._leases[lease] = (ends_at + down_s, ttl_s)
        self.is_down = self.is_refusing = self.does_lapse = False
        self._down_since = None
        kept, self._kept_writes = self._kept_writes, []
        for operation in kept:
            loop.call_later(self._random.uniform(*KEPT_WRITE_DELAY_S), _apply_unanswered, operation)

    def keep_write(self, operation: Callable[[], Any]) -> None:
        """Keep a write that arrives in an outage, at random, to apply it after the end."""
        if self.kept_share and self._random.random() < self.kept_share:
            self._kept_writes.append(operation)

    def grant(self, ttl_s: float) -> int:
        """Grant a lease and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        self._keys_by_lease[lease] = set()
        return lease

    def renew(self, lease: int) -> None:
        """Renew a lease; raises LeaseEndedError where it has expired."""
        if lease not in self._leases:
            raise LeaseEndedError(str(lease))
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self._leases.pop(lease, None)
        keys = self._keys_by_lease.pop(lease, set())
        for key in sorted(keys):
            if self._lease_of_key.get(key) == lease:
                self.put(key, None, 0)

    def revoke_leases(self, prefix: str) -> None:
        """End the leases of all keys under a prefix."""
        leases = {lease for key, lease in self._lease_of_key.items() if key.startswith(prefix)}
        for lease in sorted(leases):
            self.end_lease(lease)

    def delete_prefix(self, prefix: str) -> None:
        """Delete all keys under a prefix, as an operator may."""
        for key in sorted(key for key in self.items if key.startswith(prefix)):
            self.put(key, None, 0)

    def put(self, key: str, value: bytes | None, lease: int) -> None:
        """Write or delete one key at a new revision."""
        self.revision += 1
        self._put(key, value, lease)
        self._notify_watches()

    def commit(self, transaction: Transaction) -> int:
        """Commit a transaction and return its revision.

        Raises StoreConflictError where a key is not at its expected revision, LeaseEndedError
        where a lease has ended, and StoreInvalidError where a value is too long.
        """
        assert transaction.size <= MAX_TRANSACTION_ENTRIES, "the transaction is too large"
        if any(len(value) > MAX_VALUE_BYTES for value, _lease in transaction.writes.values()):
            raise StoreInvalidError("status 400")
        for key, revision in transaction.expected.items():
            item = self.items.get(key)
            if (item.revision if item is not None else 0) != revision:
                found = {k: self.items[k] for k in transaction.expected if k in self.items}
                raise StoreConflictError(found)
        for _value, lease in transaction.writes.values():
            if lease and lease not in self._leases:
                raise LeaseEndedError(str(lease))
        self.revision += 1
        for key, (value, lease) in transaction.writes.items():
            self._put(key, value, lease)
        for key in transaction.removed:
            if key in self.items:
                self._put(key, None, 0)
        self._notify_watches()
        for hook in self.on_commit:
            hook(transaction)
        return self.revision

    def compact(self) -> None:
        """Discard the history, so that older watches fail and clients have to list again."""
        self.history.clear()
        self.compacted_revision = self.revision
        self._notify_watches()

    def _put(self, key: str, value: bytes | None, lease: int) -> None:
        """Write or delete one key at the current revision."""
        old_lease = self._lease_of_key.pop(key, 0)
        if old_lease in self._keys_by_lease:
            self._keys_by_lease[old_lease].discard(key)
        if value is None:
            self.items.pop(key, None)
            self.history.append(Change(key, self.revision, None))
            return
        old = self.items.get(key)
        created = old.created if old is not None else self.revision
        item = Item(key, value, self.revision, created)
        self.items[key] = item
        self.history.append(Change(key, self.revision, item))
        if lease:
            self._lease_of_key[key] = lease
            self._keys_by_lease[lease].add(key)

    def _notify_watches(self) -> None:
        """Wake all watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_wait_for_changes(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[Change], int]:
        """Wait for changes under a prefix after a revision.

        Returns them, or an empty list after `wait_s`, with the current revision. Raises
        HistoryLostError where the history was compacted past the revision.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if after < self.compacted_revision:
                raise HistoryLostError(prefix)
            found = [c for c in self.history if c.revision > after and c.key.startswith(prefix)]
            remaining_s = deadline - loop.time()
            if found or remaining_s <= 0:
                return found, self.revision
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining_s)
            except TimeoutError:
                continue

    def draw_answer_loss(self) -> bool:
        """Draw at random whether the answer to a write is lost."""
        return self._random.random() < self.answer_loss_share

    def draw_late_write(self) -> bool:
        """Draw at random whether a write whose answer is lost is applied late."""
        return self._random.random() < self.late_share

    def draw_late_write_delay_s(self) -> float:
        """Draw the delay of a write that is applied late."""
        return self._random.uniform(*LATE_WRITE_DELAY_S)


class ModelStoreClient:
    """Store client of one daemon; `is_refused` makes the store refuse all its calls."""

    def __init__(self, network: Network, source: str, store: ModelStore) -> None:
        """Make calls as the daemon node `source`."""
        self._network = network
        self._source = source
        self._store = store
        self.is_refused = False

    async def _async_call(
        self,
        operation: Callable[[], Result],
        timeout_s: float = CALL_TIMEOUT_S,
        is_write: bool = False,
        size: int = 0,
    ) -> Result:
        """Make a call with a payload of `size` bytes, subject to the store's faults."""

        async def serve() -> Result:
            # A call without an answer sleeps for longer than the timeout of its caller.
            if self._store.is_down:
                if is_write:
                    self._store.keep_write(operation)
                await asyncio.sleep(3600)
            await asyncio.sleep(self._store.answer_delay_s)
            if is_write and self._store.draw_answer_loss():
                if self._store.draw_late_write():
                    loop = asyncio.get_running_loop()
                    loop.call_later(
                        self._store.draw_late_write_delay_s(), _apply_unanswered, operation
                    )
                else:
                    _apply_unanswered(operation)
                await asyncio.sleep(3600)
            try:
                result = operation()
                if not asyncio.iscoroutine(result):
                    return result, None
                changes = await result
                if self._store.is_in_outage:
                    await asyncio.sleep(3600)
                return changes, None
            except (
                StoreConflictError,
                LeaseEndedError,
                HistoryLostError,
                StoreInvalidError,
            ) as err:
                return None, err

        if self.is_refused or self._store.is_refusing:
            await asyncio.sleep(ANSWER_DELAY_S)
            raise StoreRefusedError("status 503")
        try:
            result, error = await self._network.async_call(
                self._source, STORE, timeout_s, serve, size
            )
        except NoAnswerError as err:
            raise StoreUnknownError(str(err)) from err
        if error is not None:
            raise error
        return result

    async def async_get(self, key: str) -> Item | None:
        """Return an item, or None where the key does not exist."""
        return await self._async_call(lambda: self._store.items.get(key))

    async def async_list(self, prefix: str) -> tuple[list[Item], int]:
        """Return all items under a prefix and the current revision."""

        def read() -> tuple[list[Item], int]:
            keys = sorted(key for key in self._store.items if key.startswith(prefix))
            return [self._store.items[key] for key in keys], self._store.revision

        return await self._async_call(read, LIST_TIMEOUT_S)

    async def async_watch(self, prefix: str, after: int, wait_s: float) -> tuple[list[Change], int]:
        """Wait for changes under a prefix after a revision."""
        return await self._async_call(
            lambda: self._store.async_wait_for_changes(prefix, after, wait_s),
            wait_s + WATCH_TIMEOUT_MARGIN_S,
        )

    async def async_commit(self, transaction: Transaction) -> int:
        """Commit a transaction and return its revision."""
        copy = Transaction(
            dict(transaction.expected), dict(transaction.writes), list(transaction.removed)
        )
        size = estimate_wire_bytes([value for value, _lease in copy.writes.values()])
        return await self._async_call(lambda: self._store.commit(copy), is_write=True, size=size)

    async def async_grant(self, ttl_s: float) -> int:
        """Grant a lease and return its id."""
        return await self._async_call(lambda: self._store.grant(ttl_s))

    async def async_renew(self, lease: int) -> None:
        """Renew a lease."""
        await self._async_call(lambda: self._store.renew(lease))

    async def async_end(self, lease: int) -> None:
        """End a lease."""
        await self._async_call(lambda: self._store.end_lease(lease))


def _apply_unanswered(operation: Callable[[], Result]) -> None:
    """Apply a write whose answer is lost, ignoring an error."""
    try:
        operation()
    except (StoreConflictError, LeaseEndedError, StoreInvalidError):
        return
