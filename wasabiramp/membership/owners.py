"""Owners and witnesses, which every daemon derives from the member list alone."""

from __future__ import annotations

from collections.abc import Sequence

from wasabiramp.const import PARTITION_COUNT, WITNESS_COUNT
from wasabiramp.core.hashing import choose_owner, hash_partition, rank_candidates
from wasabiramp.membership.state import Member


def find_owner_id(key: str, members: Sequence[Member]) -> str | None:
    """Return the id of the member that owns the key.

    Owners are chosen by rendezvous hashing of the key and the instance names, so that a restarted
    daemon keeps the targets of its instance.
    """
    owner = choose_owner(key, tuple(member.name for member in members))
    for member in members:
        if member.name == owner:
            return member.id
    return None


def choose_witnesses(members: Sequence[Member]) -> tuple[str, ...]:
    """Return the ids of the witnesses, a majority of which renews a right to act."""
    return rank_candidates("witness", tuple(member.id for member in members))[:WITNESS_COUNT]


def count_majority(size: int) -> int:
    """Return the number of members that is a majority of `size`."""
    return size // 2 + 1


def find_partition(team: str, name: str = "") -> int:
    """Return the partition of a team's jobs, or of one of the team's request keys."""
    return hash_partition(f"{team}/{name}" if name else team, PARTITION_COUNT)


def build_partition_key(partition: int) -> str:
    """Return the key by which the owner of a partition is chosen, see `find_owner_id`."""
    return f"partition/{partition}"
