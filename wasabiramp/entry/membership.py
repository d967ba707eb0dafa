"""Membership: a daemon's lease and entry in the store, and the election of the owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

import msgpack

from wasabiramp.core.records import DecodeError
from wasabiramp.entry.election import (
    Member,
    compute_claim_delay_s,
    decode_claim,
    decode_member,
    encode_member,
    parse_name,
    parse_owner_address,
    parse_term,
)
from wasabiramp.entry.invalid_inputs import InvalidInputs
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
from wasabiramp.policy.switches import do_nothing, switchable

LEASE_TTL_S: Final = 1.0
"""Time without renewal after which a daemon has left; the shortest lease that the store grants."""

MIN_FULL_POWER_CORES: Final = 0.5
MAX_LEASE_TTL_S: Final = 3.0
"""Processor time in cores below which a daemon gets a longer lease, and the limit of that lease."""

RENEWAL_INTERVAL_S: Final = 0.3
"""Interval of renewals; two may be lost before the lease ends."""

MAX_CONCURRENT_RENEWALS: Final = 4
"""Limit of concurrent renewals, so that a slow store does not end the lease."""

REPLACE_INTERVAL_S: Final = 3.0
"""Minimum time between two claims that replace an owner whose process seems to have ended.

The owner may also be alive behind a network partition.
"""

REJOIN_DELAY_S: Final = 2.0
"""Time before an owner that resigned joins again, so that the others see it leave and claim."""

CLAIM_DEFERRAL_S: Final = 15.0
"""Time after a resignation for overload during which the daemon claims after the others.

A slow phase of a machine lasts for seconds.
"""

WATCH_TIMEOUT_S: Final = 2.0
"""Timeout of a watch; also bounds how long a dead connection goes unnoticed."""


class Tenure:
    """Ownership of the domain during one term.

    The fencing token is also the revision of the term's key that commits depend on. The claim was
    sent at `claimed_at` and known to have succeeded at `begun_at`, by a clock that also counts
    suspended time. Leases of earlier owners end by a time that counts from `begun_at`.
    `predecessor_address` is the address of the owner in the term before, if that is known.
    """

    __slots__ = ("begun_at", "claimed_at", "fencing_token", "predecessor_address", "term")

    def __init__(
        self,
        term: int,
        fencing_token: int,
        claimed_at: float = float("-inf"),
        begun_at: float = float("inf"),
        predecessor_address: str = "",
    ) -> None:
        """Create the tenure of a term; its fencing token is the revision of the claim."""
        self.term = term
        self.predecessor_address = predecessor_address
        self.fencing_token = fencing_token
        self.claimed_at = claimed_at
        self.begun_at = begun_at


class Membership:
    """The other daemons, this daemon's lease, and its claim to ownership."""

    def __init__(
        self,
        settings: EntrySettings,
        store: Store,
        on_tenure_begun: Callable[[Tenure], None],
        on_tenure_lost: Callable[[str], None],
        read_uptime: Callable[[], float],
    ) -> None:
        """Report each tenure that begins, and the loss of ownership.

        `read_uptime` returns seconds that also count while the machine is suspended.
        """
        self._settings = settings
        self._store = store
        self._read_uptime = read_uptime
        self._on_tenure_begun = on_tenure_begun
        self._on_tenure_lost = on_tenure_lost
        self._watcher = PrefixWatcher(store, PREFIX_LIVE, WATCH_TIMEOUT_S, self._handle_change)
        self._lease = 0
        self._ttl_s = max(_compute_ttl_s(settings.power), settings.lease_least_s)
        self._is_leaving = False
        self._watch_task: asyncio.Task[None] | None = None
        self._renewal_task: asyncio.Task[None] | None = None
        self._renewals: set[asyncio.Task[None]] = set()
        self._lease_ended = asyncio.Event()
        self._restore_task: asyncio.Task[None] | None = None
        self._rejoin_at = 0.0
        self._deferred_until = 0.0
        self._claim_task: asyncio.Task[None] | None = None
        self._pending_claim = b""
        self._pending_predecessor = ""
        self._replaced_revision = 0
        self._last_replacement_at = -REPLACE_INTERVAL_S
        self.tenure: Tenure | None = None
        self.renewed_at: float | None = None
        self._invalid_records = InvalidInputs("member_record_invalid")
        self._members: dict[str, Member] = {}
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
    def synced(self) -> asyncio.Event:
        """Return the event that is set once the members have been read from the store."""
        return self._watcher.synced

    @property
    def owner_name(self) -> str:
        """Return the name of the current owner, or of the last known one."""
        items = self._watcher.items
        return parse_name(items.get(KEY_OWNER)) or parse_name(items.get(KEY_TERM))

    @property
    def owner_address(self) -> str:
        """Return the owner's address for calls between daemons, empty where none is known."""
        return self.addresses.get(self.owner_name, "")

    def is_confirmed(self) -> bool:
        """Return whether this daemon's last renewal is recent enough for the lease to be valid."""
        if self.renewed_at is None:
            return False
        return asyncio.get_running_loop().time() - self.renewed_at < self._ttl_s

    def start(self) -> None:
        """Start to watch the members and to renew the lease."""
        loop = asyncio.get_running_loop()
        self._watch_task = loop.create_task(async_keep_running("members", self._watcher.async_run))
        self._renewal_task = loop.create_task(async_keep_running("renewals", self._async_renew))

    async def async_leave(self) -> None:
        """Give up ownership and membership, so that another daemon takes over at once."""
        self._is_leaving = True
        self.tenure = None
        # The watch goes on, as callers are served until the daemon stops.
        if self._renewal_task is not None:
            self._renewal_task.cancel()
        if not self._lease:
            return
        try:
            await self._store.async_end(self._lease)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("lease_not_ended", error=err)

    async def async_resign(self) -> None:
        """Resign in favour of another daemon; join again later, with deferred claims."""
        others = [name for name in self.addresses if name != self.name]
        if self.tenure is None or not others or not self._lease:
            return
        loop = asyncio.get_running_loop()
        lease, self._lease = self._lease, 0
        self._rejoin_at = loop.time() + REJOIN_DELAY_S
        self._deferred_until = loop.time() + CLAIM_DEFERRAL_S
        self.end_tenure("overloaded")
        try:
            await self._store.async_end(lease)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("lease_not_ended", error=err)

    def stop(self) -> None:
        """Cancel the watch and the renewals."""
        tasks = (self._watch_task, self._renewal_task, self._restore_task, *self._renewals)
        for task in tasks:
            if task is not None:
                task.cancel()

    def end_tenure(self, reason: str) -> None:
        """End this daemon's tenure."""
        if self.tenure is None:
            return
        log_event("ownership_lost", term=self.tenure.term, reason=reason)
        self.tenure = None
        self._on_tenure_lost(reason)

    def _handle_change(self, key: str, item: Item | None) -> None:
        """Handle a change of a member's, the owner's or the term's key."""
        if key.startswith(PREFIX_MEMBER):
            self._handle_member(key, item)
        elif key in (KEY_OWNER, KEY_TERM) and item is not None:
            self._handle_claim(key, item)
        elif key == KEY_OWNER and item is None:
            log_event("owner_gone", last=self.owner_name)
            self._schedule_claim()

    def _handle_member(self, key: str, item: Item | None) -> None:
        """Handle a change of a member's record; an invalid one changes nothing."""
        name = key.removeprefix(PREFIX_MEMBER)
        if item is None:
            self._invalid_records.remove(key)
            self.addresses.pop(name, None)
            if self._members.pop(name, None) is not None:
                log_event("member_left", member=name)
            self._restore_entry(name)
            return
        try:
            member = decode_member(item, self._settings.peer_address)
        except DecodeError as err:
            self._invalid_records.add(key, err)
            return
        self._invalid_records.remove(key)
        self._members[name] = member
        self.addresses[name] = member.address
        log_event("member_joined", member=name)

    def _handle_claim(self, key: str, item: Item) -> None:
        """Handle a change of the owner's or the term's record."""
        try:
            decode_claim(item)
            self._invalid_records.remove(key)
        except DecodeError as err:
            self._invalid_records.add(key, err)
        if key == KEY_TERM:
            self._handle_term(item)
            return
        if item.revision != self._replaced_revision:
            self._replaced_revision = 0
        log_event("owner_seen", owner=parse_name(item))

    def _restore_entry(self, name: str) -> None:
        """Write this daemon's own entry again if it was removed while the lease is valid.

        Its keys may be revoked without its lease, and a join that is carried out late binds the
        entry to an earlier lease.
        """
        is_restoring = self._restore_task is not None and not self._restore_task.done()
        if name != self._settings.name or not self._lease or self._is_leaving or is_restoring:
            return
        self._restore_task = asyncio.get_running_loop().create_task(self._async_restore_entry())

    async def _async_restore_entry(self) -> None:
        """Write the entry until it is seen again, the lease has ended, or the daemon leaves."""
        while self._lease and not self._is_leaving and self.name not in self.addresses:
            try:
                await self._async_write_entry(self._lease)
                log_event("entry_restored", lease=self._lease)
            except LeaseEndedError:
                # The renewal finds that too, and joins again.
                return
            except (StoreRefusedError, StoreUnknownError) as err:
                log_event("entry_not_restored", error=err)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    def _handle_term(self, item: Item) -> None:
        """End the tenure if another daemon claimed a term; adopt a claim whose answer was lost."""
        if parse_name(item) != self._settings.name:
            if self.tenure is not None and item.revision > self.tenure.fencing_token:
                self.end_tenure(f"term taken by {parse_name(item)}")
        elif item.value == self._pending_claim:
            # The claim may be that of an earlier process, so it does not prove the term by itself.
            predecessor = self._pending_predecessor
            self._begin_tenure(parse_term(item), item.revision, float("-inf"), predecessor)

    async def _async_renew(self) -> None:
        """Renew the lease regularly, and join again after it ended."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            self._lease_ended.clear()
            if not self._lease:
                if started_at >= self._rejoin_at:
                    await self._async_join_once(started_at)
            elif len(self._renewals) < MAX_CONCURRENT_RENEWALS:
                renewal = loop.create_task(self._async_renew_once(self._lease, started_at))
                self._renewals.add(renewal)
                renewal.add_done_callback(self._renewals.discard)
            delay_s = max(0.05, started_at + RENEWAL_INTERVAL_S - loop.time())
            with suppress(TimeoutError):
                await asyncio.wait_for(self._lease_ended.wait(), delay_s)

    async def _async_join_once(self, started_at: float) -> None:
        """Try to join; failures are logged."""
        try:
            await self._async_join()
        except LeaseEndedError as err:
            log_event("lease_ended", error=err)
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("renewal_failed", error=err)
        else:
            self._record_renewal(started_at)

    async def _async_renew_once(self, lease: int, started_at: float) -> None:
        """Renew the lease once; renewals overlap while the store answers slowly."""
        try:
            await self._store.async_renew(lease)
        except LeaseEndedError:
            if self._lease == lease:
                log_event("lease_ended", lease=lease)
                self._lease = 0
                self._lease_ended.set()
        except (StoreRefusedError, StoreUnknownError) as err:
            log_event("renewal_failed", error=err)
        else:
            self._record_renewal(started_at)

    def _record_renewal(self, started_at: float) -> None:
        """Record that the lease is valid from the time at which the call was sent."""
        self.renewed_at = max(started_at, self.renewed_at or 0.0)
        self._schedule_claim()

    async def _async_join(self) -> None:
        """Request a lease and write the daemon's entry under it."""
        lease = await self._store.async_grant(self._ttl_s)
        await self._async_write_entry(lease)
        self._lease = lease
        log_event("joined", lease=lease)

    async def _async_write_entry(self, lease: int) -> None:
        """Write this daemon's entry under a lease."""
        settings = self._settings
        value = encode_member(Member(settings.name, settings.peer_address, settings.power))
        await self._store.async_commit(Transaction(writes={self._member_key: (value, lease)}))

    def _schedule_claim(self) -> None:
        """Schedule a claim if there is no owner and no claim is scheduled yet."""
        if self._is_leaving or not self._lease or not self.synced.is_set() or self._is_owned():
            return
        if self._claim_task is None or self._claim_task.done():
            self._claim_task = asyncio.get_running_loop().create_task(self._async_claim())

    @switchable(
        "owner-replacement",
        "replace an owner whose address refuses connections",
        plain=do_nothing,
    )
    def replace_owner(self, address: str) -> None:
        """Claim ownership from an owner whose process has ended, before its lease expires.

        Fencing makes this safe even if the owner is alive behind a network partition.
        """
        if self._mark_replaced(address):
            self._schedule_claim()

    def take_over(self, address: str) -> bool:
        """Claim ownership at once from an owner that asked for it; return whether it is claimed."""
        if not self._lease or self._is_leaving or not self._mark_replaced(address):
            return False
        if self._claim_task is not None:
            self._claim_task.cancel()
        self._claim_task = asyncio.get_running_loop().create_task(self._async_claim_now())
        return True

    def _mark_replaced(self, address: str) -> bool:
        """Let the present owner not count any more; return whether it has the address."""
        now = asyncio.get_running_loop().time()
        item = self._watcher.items.get(KEY_OWNER)
        if item is None or self.owner_address != address:
            return False
        if now < self._last_replacement_at + REPLACE_INTERVAL_S:
            return False
        self._replaced_revision, self._last_replacement_at = item.revision, now
        return True

    def list_peers_by_strength(self) -> list[str]:
        """Return the addresses of the other daemons, strongest first."""
        others = [self._members[name] for name in sorted(self._members) if name != self.name]
        return [member.address for member in sorted(others, key=lambda other: -other.power)]

    def _is_owned(self) -> bool:
        """Return whether there is an owner that this daemon need not replace.

        An owner that `replace_owner` replaces does not count, nor does an earlier process of this
        daemon. Behind an invalid record, the daemon with the last term is the owner while it is a
        member.
        """
        item = self._watcher.items.get(KEY_OWNER)
        if item is None or item.revision == self._replaced_revision:
            return False
        if self.tenure is not None:
            return True
        if not parse_name(item) and self.owner_name not in self._members:
            return False
        return self.owner_name != self._settings.name

    def _compute_claim_delay_s(self) -> float:
        """Return this daemon's delay before a claim."""
        last_owner = parse_name(self._watcher.items.get(KEY_TERM))
        return compute_claim_delay_s(
            self._settings,
            self._members,
            self._watcher.items,
            is_last_owner=last_owner == self._settings.name,
            is_deferred=asyncio.get_running_loop().time() < self._deferred_until,
            is_incumbent_alive=last_owner in self.addresses and not self._replaced_revision,
        )

    async def _async_claim(self) -> None:
        """Claim the next term after the delay, unless an owner exists by then."""
        await asyncio.sleep(self._compute_claim_delay_s())
        await self._async_claim_now()

    async def _async_claim_now(self) -> None:
        """Claim the next term, unless there is an owner."""
        if self._is_owned() or self._is_leaving or not self._lease:
            return
        owner, last_term = self._watcher.items.get(KEY_OWNER), self._watcher.items.get(KEY_TERM)
        term = parse_term(last_term) + 1 if last_term is not None else 1
        value = msgpack.packb((self._settings.name, term, self._settings.peer_address))
        transaction = Transaction(
            expected={
                KEY_OWNER: owner.revision if owner is not None else 0,
                KEY_TERM: last_term.revision if last_term is not None else 0,
            },
            writes={KEY_OWNER: (value, self._lease), KEY_TERM: (value, 0)},
        )
        self._pending_claim = value
        self._pending_predecessor = parse_owner_address(last_term)
        claimed_at = self._read_uptime()
        try:
            revision = await self._store.async_commit(transaction)
        except StoreConflictError as err:
            log_event("claim_conflict", term=term, keys=len(err.items))
        except LeaseEndedError:
            self._lease = 0
        except StoreUnknownError as err:
            log_event("claim_unanswered", term=term, error=err)
        except StoreRefusedError as err:
            log_event("claim_refused", term=term, error=err)
        else:
            self._begin_tenure(term, revision, claimed_at, self._pending_predecessor)

    def _begin_tenure(
        self, term: int, revision: int, claimed_at: float, predecessor_address: str = ""
    ) -> None:
        """Become the owner, or continue as the owner in a new term."""
        begun_at = self._read_uptime()
        tenure = Tenure(term, revision, claimed_at, begun_at, predecessor_address)
        previous = self.tenure
        self._pending_claim = b""
        self._replaced_revision = 0
        if previous is not None and previous.fencing_token == tenure.fencing_token:
            return
        known = self._watcher.items.get(KEY_TERM)
        is_continued = (
            previous is not None
            and known is not None
            and known.revision
            in (
                previous.fencing_token,
                tenure.fencing_token,
            )
        )
        if previous is not None and not is_continued:
            self.end_tenure("another daemon held a term in between")
        self.tenure = tenure
        log_event(
            "ownership_taken", term=tenure.term, fence=tenure.fencing_token, goes_on=is_continued
        )
        self._on_tenure_begun(tenure)


def _compute_ttl_s(power: float) -> float:
    """Return the duration of a daemon's lease, in which several renewals must be answered."""
    return min(MAX_LEASE_TTL_S, LEASE_TTL_S * max(1.0, MIN_FULL_POWER_CORES / max(power, 0.01)))
