"""Who owns what: owners, homes and witnesses follow from the member list alone."""

from __future__ import annotations

from collections.abc import Sequence

from wasabiramp.const import PARTITION_COUNT, WITNESS_COUNT
from wasabiramp.core.hashing import choose_owner, hash_partition, rank_candidates
from wasabiramp.membership.state import Member


def find_owner_id(key: str, members: Sequence[Member]) -> str | None:
    """Return the id of the member that owns the key.

    Scores go by instance name, so a replaced process keeps the targets of its instance.
    """
    owner = choose_owner(key, tuple(member.name for member in members))
    for member in members:
        if member.name == owner:
            return member.id
    return None


def choose_witnesses(members: Sequence[Member]) -> tuple[str, ...]:
    """Return the ids of the members whose majority renews rights."""
    return rank_candidates("witness", tuple(member.id for member in members))[:WITNESS_COUNT]


def count_majority(size: int) -> int:
    """Return how many of `size` members make a majority."""
    return size // 2 + 1


def find_partition(team: str, name: str = "") -> int:
    """Return the partition of a team's jobs, or of one request key of the team."""
    return hash_partition(f"{team}/{name}" if name else team, PARTITION_COUNT)


def build_partition_key(partition: int) -> str:
    """Return the rendezvous key of a partition."""
    return f"partition/{partition}"
