"""Election of the owner: entries of daemons in the store, and who claims ownership first."""

from __future__ import annotations

from typing import Final

import msgpack

from wasabiramp.core.records import DecodeError, unpack
from wasabiramp.entry.keys import PREFIX_MEMBER
from wasabiramp.entry.ports import EntrySettings, Item
from wasabiramp.policy.switches import switchable
from wasabiramp.settings.address import parse_address

CLAIM_STAGGER_S: Final = 0.03
"""Delay between the claims of successive candidates, to avoid conflicts."""

MAX_CLAIM_RANK: Final = 10
"""Candidates beyond this rank claim together; a better one has claimed by then."""

OWNER_POWER_CORES: Final = 1.0
OWNER_LINK_MBPS: Final = 50.0
"""Processor time in cores and link bandwidth that an owner of 175 executors needs
(docs/CAPACITY.md)."""

WEAK_DAEMON_DELAY_S: Final = 0.35
"""Additional claim delay of daemons below these limits, so that the others join and claim first.

Daemons that resigned recently have it too (`CLAIM_DEFERRAL_S`).
"""

INCUMBENT_HEAD_START_S: Final = 0.3
"""Time for which others wait when the owner's key is removed, so that an owner that is still a
member claims again first."""


MAX_NAME_CHARS: Final = 200
MAX_ADDRESS_CHARS: Final = 200
MAX_POWER_CORES: Final = 100_000
"""Limits of the records of daemons, to which others may write."""


def compute_claim_delay_s(
    settings: EntrySettings,
    members: dict[str, Member],
    items: dict[str, Item],
    is_last_owner: bool,
    is_deferred: bool,
    is_incumbent_alive: bool,
) -> float:
    """Return the delay before a daemon's claim.

    The last owner claims at once, unless it resigned recently and is deferred; the others follow by
    processor time, and of equal ones those that joined last come first. An owner that lost its key
    but is still a member gets a head start.
    """
    if is_last_owner and not is_deferred:
        return 0.0
    names = sorted(
        members,
        key=lambda name: (-_get_strength(members[name]), -items[PREFIX_MEMBER + name].created),
    )
    rank = names.index(settings.name) if settings.name in members else len(names)
    delay_s = min(rank, MAX_CLAIM_RANK) * CLAIM_STAGGER_S
    delay_s += _get_weakness_delay_s(settings)
    if is_deferred:
        delay_s += WEAK_DAEMON_DELAY_S
    return delay_s + _get_head_start_s(is_incumbent_alive)


@switchable("owner-strength", "prefer strong daemons as the owner", plain=lambda member: 0.0)
def _get_strength(member: Member) -> float:
    """Return the rank of a member among the candidates for ownership; the highest claims first."""
    return member.power


@switchable(
    "weak-daemon-delay", "let weak daemons claim ownership later", plain=lambda settings: 0.0
)
def _get_weakness_delay_s(settings: EntrySettings) -> float:
    """Return the additional claim delay of a daemon that is too weak for an owner."""
    is_weak = settings.power < OWNER_POWER_CORES or settings.link_mbps < OWNER_LINK_MBPS
    return WEAK_DAEMON_DELAY_S if is_weak else 0.0


@switchable(
    "incumbent-head-start",
    "let an owner that lost its key claim again first",
    plain=lambda is_alive: 0.0,
)
def _get_head_start_s(is_alive: bool) -> float:
    """Return the claim delay that an owner that is still a member gets ahead of the others."""
    return INCUMBENT_HEAD_START_S if is_alive else 0.0


class Member:
    """The record of a member: its address for calls between daemons, and its processor time."""

    __slots__ = ("address", "name", "power")

    def __init__(self, name: str, address: str, power: float) -> None:
        """Create the record of a daemon with a processor time in cores."""
        self.name = name
        self.address = address
        self.power = power


def encode_member(member: Member) -> bytes:
    """Encode the record of a member."""
    return msgpack.packb((member.name, member.address, member.power))


def decode_member(item: Item, own_address: str) -> Member:
    """Decode the record of a member; raises DecodeError, which names the invalid field.

    If this daemon's own address is an IP address and a port, the member's has to be one too.
    """
    row = unpack(item.value)
    if not isinstance(row, list) or len(row) < 3:
        raise DecodeError("record: expected a name, an address and a processor time")
    name, address, power = row[:3]
    if name != item.key.removeprefix(PREFIX_MEMBER):
        raise DecodeError("name: expected that of the key")
    if not isinstance(address, str) or not 1 <= len(address) <= MAX_ADDRESS_CHARS:
        raise DecodeError("address: expected a text")
    if parse_address(own_address) is not None and parse_address(address) is None:
        raise DecodeError("address: expected an IP address and a port")
    if type(power) not in (int, float) or not 0 <= power <= MAX_POWER_CORES:
        raise DecodeError(f"power: expected a number from 0 to {MAX_POWER_CORES}")
    return Member(name, address, float(power))


def decode_claim(item: Item) -> tuple[str, int, str]:
    """Decode the owner's or the term's record: name, number of the term, and address of the owner.

    A term is never greater than the revision of its record, as each claim increases both. Records
    of earlier versions have no address, those of later ones may have further fields. Raises
    DecodeError, which names the invalid field.
    """
    row = unpack(item.value)
    if not isinstance(row, list) or len(row) < 2:
        raise DecodeError("record: expected a name and a term")
    name, term, address = row[0], row[1], row[2] if len(row) > 2 else ""
    if not isinstance(name, str) or not 1 <= len(name) <= MAX_NAME_CHARS:
        raise DecodeError("name: expected a text")
    if type(term) is not int or not 1 <= term <= item.revision:
        raise DecodeError("term: expected a number up to the revision")
    if not isinstance(address, str) or len(address) > MAX_ADDRESS_CHARS:
        raise DecodeError("address: expected a text")
    return name, term, address


def parse_name(item: Item | None) -> str:
    """Return the daemon's name in the owner's or the term's record, empty if that is invalid."""
    try:
        return decode_claim(item)[0] if item is not None else ""
    except DecodeError:
        return ""


def parse_owner_address(item: Item | None) -> str:
    """Return the owner's address for calls between daemons in the term's record, if it has one."""
    try:
        return decode_claim(item)[2] if item is not None else ""
    except DecodeError:
        return ""


def parse_term(item: Item) -> int:
    """Return the number of a term; one that is invalid counts as the greatest possible one."""
    try:
        return decode_claim(item)[1]
    except DecodeError:
        return item.revision
