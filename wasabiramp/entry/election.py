"""Election of the owner: entries of daemons in the store, and who claims ownership first."""

from __future__ import annotations

from typing import Final

import msgpack

from wasabiramp.entry.keys import PREFIX_MEMBER
from wasabiramp.entry.ports import EntrySettings, Item
from wasabiramp.policy.switches import switchable

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


def compute_claim_delay_s(
    settings: EntrySettings,
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
    members = [key for key in items if key.startswith(PREFIX_MEMBER)]
    members.sort(key=lambda key: (-_get_strength(items[key]), -items[key].created))
    own_key = PREFIX_MEMBER + settings.name
    rank = members.index(own_key) if own_key in members else len(members)
    delay_s = min(rank, MAX_CLAIM_RANK) * CLAIM_STAGGER_S
    delay_s += _get_weakness_delay_s(settings)
    if is_deferred:
        delay_s += WEAK_DAEMON_DELAY_S
    return delay_s + _get_head_start_s(is_incumbent_alive)


@switchable("owner-strength", "prefer strong daemons as the owner", plain=lambda item: 0.0)
def _get_strength(item: Item) -> float:
    """Return the rank of a member among the candidates for ownership; the highest claims first."""
    return parse_power(item)


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


def parse_name(item: Item) -> str:
    """Return the daemon's name in a member's, owner's or term's entry."""
    try:
        return str(msgpack.unpackb(item.value)[0])
    except (ValueError, TypeError, IndexError):
        return ""


def parse_address(item: Item) -> str:
    """Return the address in a member's entry."""
    try:
        return str(msgpack.unpackb(item.value)[1])
    except (ValueError, TypeError, IndexError):
        return ""


def parse_owner_address(item: Item) -> str:
    """Return the owner's address for calls between daemons in a term's entry, if it has one."""
    try:
        return str(msgpack.unpackb(item.value)[2])
    except (ValueError, TypeError, IndexError):
        return ""


def parse_power(item: Item) -> float:
    """Return the processor time of a member, in cores."""
    try:
        return float(msgpack.unpackb(item.value)[2])
    except (ValueError, TypeError, IndexError):
        return 0.0


def parse_term(item: Item) -> int:
    """Return the number of a term."""
    try:
        return int(msgpack.unpackb(item.value)[1])
    except (ValueError, TypeError, IndexError):
        return 0
