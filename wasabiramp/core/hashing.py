"""Rendezvous hashing, which derives owners from the member list alone."""

from __future__ import annotations

from functools import lru_cache

import xxhash


def score_candidate(key: str, candidate: str) -> int:
    """Return the rendezvous score of a candidate for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{candidate}".encode())


@lru_cache(maxsize=16384)
def choose_owner(key: str, candidates: tuple[str, ...]) -> str | None:
    """Return the candidate with the highest score, or None when there is none."""
    if not candidates:
        return None
    return max(candidates, key=lambda name: (score_candidate(key, name), name))


def hash_partition(key: str, count: int) -> int:
    """Return the partition of a key, from 0 to count - 1."""
    return xxhash.xxh3_64_intdigest(key.encode()) % count


@lru_cache(maxsize=256)
def rank_candidates(key: str, candidates: tuple[str, ...]) -> tuple[str, ...]:
    """Return the candidates ordered by their score for a key, highest first."""
    return tuple(
        sorted(candidates, key=lambda name: (score_candidate(key, name), name), reverse=True)
    )
