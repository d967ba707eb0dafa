"""Tests of the assignment of keys to members by rendezvous hashing."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wasabiramp.membership.owners import choose_witnesses, count_majority, find_owner_id
from wasabiramp.membership.state import Member


def make_members(names: list[str], incarnation: str = "1") -> list[Member]:
    """Return a member for each instance name."""
    return [Member(f"{name}#{incarnation}", name, "zone", f"10.0.0.1:{name}") for name in names]


NAMES = st.lists(st.text("abcdef", min_size=1, max_size=4), min_size=1, max_size=12, unique=True)


class TestOwners:
    """Owners depend only on instance names, and few change when the members change."""

    @given(NAMES, st.text(max_size=8))
    def test_order_does_not_matter(self, names: list[str], key: str) -> None:
        members = make_members(names)
        assert find_owner_id(key, members) == find_owner_id(key, members[::-1])

    @given(NAMES, st.text(max_size=8))
    def test_a_replaced_process_keeps_its_targets(self, names: list[str], key: str) -> None:
        old = find_owner_id(key, make_members(names, "1"))
        new = find_owner_id(key, make_members(names, "2"))
        assert old.split("#")[0] == new.split("#")[0]

    @given(NAMES, st.text(max_size=8))
    def test_removing_a_member_moves_only_its_targets(self, names: list[str], key: str) -> None:
        owner = find_owner_id(key, make_members(names))
        remaining = [name for name in names if name != names[0]]
        if owner != f"{names[0]}#1":
            assert find_owner_id(key, make_members(remaining)) == owner

    @given(NAMES)
    def test_two_majorities_of_witnesses_overlap(self, names: list[str]) -> None:
        witnesses = choose_witnesses(make_members(names))
        assert 2 * count_majority(len(witnesses)) > len(witnesses)
        assert len(witnesses) == min(7, len(names))

    def test_no_members_give_no_owner(self) -> None:
        assert find_owner_id("key", []) is None
