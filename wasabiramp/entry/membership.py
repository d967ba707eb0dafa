"""Membership: a daemon's lease and entry in the store, and who owns the placement domain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import msgpack

from wasabiramp.entry.keys import KEY_OWNER, KEY_TERM, PREFIX_LIVE, PREFIX_MEMBER
from wasabiramp.entry.ports import (
    EntrySettings,
    Item,
    LeaseEndedError,
    Store,
    StoreConflictError,
    StoreRefusedError,
    StoreUnknownError,
    Transaction,
)
from wasabiramp.entry.supervision import async_keep_running
from wasabiramp.entry.watcher import PrefixWatcher
from wasabiramp.logs import log_event

LEASE_TTL_S: Final = 1.0
"""A daemon that is silent for this long has left; the shortest lease that the store grants."""

FULL_POWER: Final = 0.5
LONGEST_TTL_S: Final = 3.0
"""Processor time in cores from which the shortest lease holds; weaker daemons get longer ones."""

RENEW_S: Final = 0.3
"""Two renewals may be lost before the lease ends."""

RENEWALS_AT_ONCE: Final = 4
"""Renewals that may wait for an answer side by side: a slow store does not end the lease."""

REPLACE_PAUSE_S: Final = 3.0
"""An owner whose process seems gone is replaced at most this often, as paths may be cut."""

CLAIM_STEP_S: Final = 0.03
"""Pause between the claims of one candidate and the next, so that few of them collide."""

CLAIM_RANKS: Final = 10
"""Candidates behind this rank claim together: the first will have done it by then."""

OWNER_POWER: Final = 1.0
OWNER_LINK_MBPS: Final = 50.0
"""An owner of 175 executors needs about this much (docs/CAPACITY.md)."""

WEAK_S: Final = 0.35
"""Pause of daemons that are weaker than that, so that the others join and claim first."""

REJOIN_S: Final = 2.0
"""An owner that gave up stays out for this long, so that the others see it leave and claim."""

CLAIMS_LAST_S: Final = 15.0
"""For this long after that it claims behind the others: machines are slow for seconds."""

INCUMBENT_S: Final = 0.3
"""Time that a living owner gets to claim again after its key was taken away."""

WATCH_S: Final = 2.0
"""How long a watch waits; also bounds how long a silent connection goes unnoticed."""


class Tenure:
    """Ownership of the domain: the fence number, and the key that its commits depend on."""

    __slots__ = ("fence", "term")

    def __init__(self, term: int, fence: int) -> None:
        """Note a term; its fence number is the revision at which it was claimed."""
        self.term = term
        self.fence = fence


class Membership:
    """What a daemon knows of the others, and its own claim to ownership."""

    def __init__(
        self,
        settings: EntrySettings,
        store: Store,
        on_tenure: Callable[[Tenure], None],
        on_loss: Callable[[str], None],
    ) -> None:
        """Report a claim that held, and the loss of ownership."""
        self._settings = settings
        self._store = store
        self._on_tenure = on_tenure
        self._on_loss = on_loss
        self._watcher = PrefixWatcher(store, PREFIX_LIVE, WATCH_S, self._take_change)
        self._lease = 0
        self._ttl_s = max(_find_ttl(settings.power), settings.lease_least_s)
        self._is_leaving = False
        self._following: asyncio.Task[None] | None = None
        self._renewing: asyncio.Task[None] | None = None
        self._renewals: set[asyncio.Task[None]] = set()
        self._has_ended = asyncio.Event()
        self._rejoin_at = 0.0
        self._claims_last_until = 0.0
        self._claiming: asyncio.Task[None] | None = None
        self._open_claim = b""
        self._replaced = 0
        self._replaced_at = -REPLACE_PAUSE_S
        self.tenure: Tenure | None = None
        self.renewed_at: float | None = None
        self.addresses: dict[str, str] = {}

    @property
    def name(self) -> str:
        """Return this daemon's name."""
        return self._settings.name

    @property
    def _member_key(self) -> str:
        """Return the key of this daemon's entry."""
        return PREFIX_MEMBER + self._settings.name

    @property
    def is_known(self) -> asyncio.Event:
        """Return the event that the members are known."""
        return self._watcher.is_known

    @property
    def owner_name(self) -> str:
        """Return the name of the owner, or of the last one that was seen."""
        item = self._watcher.items.get(KEY_OWNER) or self._watcher.items.get(KEY_TERM)
        return _read_name(item) if item is not None else ""

    @property
    def owner_address(self) -> str:
        """Return the owner's address for calls between daemons, empty where none is known."""
        return self.addresses.get(self.owner_name, "")

    def is_confirmed(self) -> bool:
        """Tell whether the store renewed this daemon's lease so lately that it still holds."""
        if self.renewed_at is None:
            return False
        return asyncio.get_running_loop().time() - self.renewed_at < self._ttl_s

    def start(self) -> None:
        """Begin to follow the others and to renew the lease."""
        loop = asyncio.get_running_loop()
        self._following = loop.create_task(async_keep_running("members", self._watcher.async_run))
        self._renewing = loop.create_task(async_keep_running("renewals", self._async_renew))

    async def async_leave(self) -> None:
        """Give up ownership and the entry, so that others take over at once."""
        self._is_leaving = True
        self.tenure = None
        # The others are still followed: callers are served until the daemon stops.
        if self._renewing is not None:
            self._renewing.cancel()
        if not self._lease:
            return
        try:
            await self._store.async_end(self._lease)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("lease_not_ended", error=err)

    async def async_yield(self) -> None:
        """Leave ownership to another daemon, and join again later as one that claims last."""
        others = [name for name in self.addresses if name != self.name]
        if self.tenure is None or not others or not self._lease:
            return
        loop = asyncio.get_running_loop()
        lease, self._lease = self._lease, 0
        self._rejoin_at = loop.time() + REJOIN_S
        self._claims_last_until = loop.time() + CLAIMS_LAST_S
        self.drop_tenure("overloaded")
        try:
            await self._store.async_end(lease)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("lease_not_ended", error=err)

    def stop(self) -> None:
        """Stop following the others."""
        for task in (self._following, self._renewing, *self._renewals):
            if task is not None:
                task.cancel()

    def drop_tenure(self, reason: str) -> None:
        """Stop being the owner."""
        if self.tenure is None:
            return
        log_event("ownership_lost", term=self.tenure.term, reason=reason)
        self.tenure = None
        self._on_loss(reason)

    def _take_change(self, key: str, item: Item | None) -> None:
        """Note a member or an owner that came, changed or left."""
        if key.startswith(PREFIX_MEMBER):
            name = key.removeprefix(PREFIX_MEMBER)
            if item is not None:
                self.addresses[name] = _read_address(item)
                log_event("member_joined", member=name)
            else:
                self.addresses.pop(name, None)
                log_event("member_left", member=name)
        elif key == KEY_OWNER and item is None:
            log_event("owner_gone", last=self.owner_name)
            self._claim_soon()
        elif key == KEY_OWNER and item is not None:
            if item.revision != self._replaced:
                self._replaced = 0
            log_event("owner_seen", owner=_read_name(item))
        elif key == KEY_TERM and item is not None:
            self._take_term(item)

    def _take_term(self, item: Item) -> None:
        """Stop where another daemon claimed a term; adopt a claim whose answer was lost."""
        if _read_name(item) != self._settings.name:
            if self.tenure is not None and item.revision > self.tenure.fence:
                self.drop_tenure(f"term taken by {_read_name(item)}")
        elif item.value == self._open_claim:
            self._take_tenure(Tenure(_read_term(item), item.revision))

    async def _async_renew(self) -> None:
        """Keep the lease, and join again after it ended."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self._has_ended.clear()
            if not self._lease:
                if started_at >= self._rejoin_at:
                    await self._async_join_once(started_at)
            elif len(self._renewals) < RENEWALS_AT_ONCE:
                renewal = loop.create_task(self._async_renew_once(self._lease, started_at))
                self._renewals.add(renewal)
                renewal.add_done_callback(self._renewals.discard)
            pause_s = max(0.05, started_at + RENEW_S - loop.time())
            with suppress(TimeoutError):
                await asyncio.wait_for(self._has_ended.wait(), pause_s)

    async def _async_join_once(self, started_at: float) -> None:
        """Try to join."""
        try:
            await self._async_join()
        except LeaseEndedError as err:
            log_event("lease_ended", error=err)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("renewal_failed", error=err)
        else:
            self._note_renewal(started_at)

    async def _async_renew_once(self, lease: int, started_at: float) -> None:
        """Renew the lease once; the next renewal does not wait for a slow answer."""
        try:
            await self._store.async_renew(lease)
        except LeaseEndedError:
            if self._lease == lease:
                log_event("lease_ended", lease=lease)
                self._lease = 0
                self._has_ended.set()
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("renewal_failed", error=err)
        else:
            self._note_renewal(started_at)

    def _note_renewal(self, started_at: float) -> None:
        """Note that the lease holds from the time at which the call was sent."""
        self.renewed_at = max(started_at, self.renewed_at or 0.0)
        self._claim_soon()

    async def _async_join(self) -> None:
        """Take a lease and write the daemon's entry under it."""
        lease = await self._store.async_grant(self._ttl_s)
        settings = self._settings
        value = msgpack.packb((settings.name, settings.peer_address, settings.power))
        await self._store.async_commit(Transaction(writes={self._member_key: (value, lease)}))
        self._lease = lease
        log_event("joined", lease=lease)

    def _claim_soon(self) -> None:
        """Claim ownership after a pause that differs from candidate to candidate."""
        if self._is_leaving or not self._lease or not self.is_known.is_set() or self._is_owned():
            return
        if self._claiming is None or self._claiming.done():
            self._claiming = asyncio.get_running_loop().create_task(self._async_claim())

    def replace_owner(self, address: str) -> None:
        """Claim ownership from an owner whose process is gone, before its lease ends.

        Fencing makes this safe also where the owner lives behind a path that is cut.
        """
        now = asyncio.get_running_loop().time()
        item = self._watcher.items.get(KEY_OWNER)
        if item is None or self.owner_address != address:
            return
        if now < self._replaced_at + REPLACE_PAUSE_S:
            return
        self._replaced, self._replaced_at = item.revision, now
        self._claim_soon()

    def _is_owned(self) -> bool:
        """Tell whether an owner is there; an entry of this daemon's earlier process is none."""
        item = self._watcher.items.get(KEY_OWNER)
        if item is None or item.revision == self._replaced:
            return False
        return self.tenure is not None or _read_name(item) != self._settings.name

    def _find_pause(self) -> float:
        """Return the pause: a living owner first, then the strongest and youngest daemons."""
        term = self._watcher.items.get(KEY_TERM)
        last = _read_name(term) if term is not None else ""
        is_last = asyncio.get_running_loop().time() < self._claims_last_until
        if last == self._settings.name and not is_last:
            return 0.0
        items = self._watcher.items
        members = [key for key in items if key.startswith(PREFIX_MEMBER)]
        members.sort(key=lambda key: (-_read_power(items[key]), -items[key].created))
        rank = members.index(self._member_key) if self._member_key in members else len(members)
        pause_s = min(rank, CLAIM_RANKS) * CLAIM_STEP_S
        if self._settings.power < OWNER_POWER or self._settings.link_mbps < OWNER_LINK_MBPS:
            pause_s += WEAK_S
        if is_last:
            pause_s += WEAK_S
        is_alive = last in self.addresses and not self._replaced
        return pause_s + (INCUMBENT_S if is_alive else 0.0)

    async def _async_claim(self) -> None:
        """Claim the next term, unless an owner is there by then."""
        await asyncio.sleep(self._find_pause())
        if self._is_owned() or self._is_leaving or not self._lease:
            return
        owner, known = self._watcher.items.get(KEY_OWNER), self._watcher.items.get(KEY_TERM)
        term = _read_term(known) + 1 if known is not None else 1
        value = msgpack.packb((self._settings.name, term))
        transaction = Transaction(
            expected={
                KEY_OWNER: owner.revision if owner is not None else 0,
                KEY_TERM: known.revision if known is not None else 0,
            },
            writes={KEY_OWNER: (value, self._lease), KEY_TERM: (value, 0)},
        )
        self._open_claim = value
        try:
            revision = await self._store.async_commit(transaction)
        except StoreConflictError as err:
            log_event("claim_beaten", term=term, keys=len(err.items))
        except LeaseEndedError:
            self._lease = 0
        except StoreUnknownError as err:
            log_event("claim_unanswered", term=term, error=err)
        except StoreRefusedError as err:
            log_event("claim_refused", term=term, error=err)
        else:
            self._take_tenure(Tenure(term, revision))

    def _take_tenure(self, tenure: Tenure) -> None:
        """Become the owner, or go on as the owner in a new term."""
        last = self.tenure
        self._open_claim = b""
        self._replaced = 0
        if last is not None and last.fence == tenure.fence:
            return
        known = self._watcher.items.get(KEY_TERM)
        is_continued = (
            last is not None
            and known is not None
            and known.revision
            in (
                last.fence,
                tenure.fence,
            )
        )
        if last is not None and not is_continued:
            self.drop_tenure("the term changed in between")
        self.tenure = tenure
        log_event("ownership_taken", term=tenure.term, fence=tenure.fence, goes_on=is_continued)
        self._on_tenure(tenure)


def _find_ttl(power: float) -> float:
    """Return the time of a daemon's lease, in which several renewals have to be answered."""
    return min(LONGEST_TTL_S, LEASE_TTL_S * max(1.0, FULL_POWER / max(power, 0.01)))


def _read_name(item: Item) -> str:
    """Return the daemon that a member's, owner's or term's entry names."""
    try:
        return str(msgpack.unpackb(item.value)[0])
    except (ValueError, TypeError, IndexError):
        return ""


def _read_address(item: Item) -> str:
    """Return the address in a member's entry."""
    try:
        return str(msgpack.unpackb(item.value)[1])
    except (ValueError, TypeError, IndexError):
        return ""


def _read_power(item: Item) -> float:
    """Return the processor time of a member, in cores."""
    try:
        return float(msgpack.unpackb(item.value)[2])
    except (ValueError, TypeError, IndexError):
        return 0.0


def _read_term(item: Item) -> int:
    """Return the number of a term."""
    try:
        return int(msgpack.unpackb(item.value)[1])
    except (ValueError, TypeError, IndexError):
        return 0
