"""Tests of the records of members, owner and term, to which other writers may write too."""

from __future__ import annotations

import asyncio
from typing import Any

import msgpack
import pytest

from tests.entry.test_owner import make_job
from wasabiramp.core.records import DecodeError
from wasabiramp.entry.election import (
    Member,
    decode_claim,
    decode_member,
    encode_member,
    parse_name,
    parse_owner_address,
    parse_term,
)
from wasabiramp.entry.keys import KEY_OWNER, KEY_TERM, PREFIX_MEMBER
from wasabiramp.entry.lag import LoopLag
from wasabiramp.entry.membership import LEASE_TTL_S, RENEWAL_INTERVAL_S
from wasabiramp.entry.peers import PeerCaller, ShowJob
from wasabiramp.entry.ports import Item, NoAnswerError
from wasabiramp.model.entry.schedule import find_owner
from wasabiramp.model.entry.world import World
from wasabiramp.scheduling.state import RUNS_PER_TERM

OWN_ADDRESS = "10.0.0.1:80"
ODD_BYTES = [
    b"",
    b"\xc1",
    b"\x91" * 100_000,
    b"\xdd\xff\xff\xff\xff",
    b"\xa3\xed\xa0\x80",
    b"\xc7\x01\x05a",
    msgpack.packb({"a": 1}),
    msgpack.packb({0: "a", 1: "b", 2: 3}),
    msgpack.packb("abc"),
    msgpack.packb(5),
    msgpack.packb([]),
    msgpack.packb(["a"]),
    msgpack.packb([["a"], ["b"], ["c"]]),
]
ODD_CLAIMS = [
    *ODD_BYTES,
    msgpack.packb(["a", float("inf")]),
    msgpack.packb(["a", float("nan")]),
    msgpack.packb(["a", 2**63]),
    msgpack.packb(["a", 8]),
    msgpack.packb(["a", -1]),
    msgpack.packb(["a", 0]),
    msgpack.packb(["a", True]),
    msgpack.packb(["a", "7"]),
    msgpack.packb(["a", "7" * 5_000]),
    msgpack.packb(["", 7]),
    msgpack.packb([5, 7]),
    msgpack.packb(["a" * 5_000, 7]),
    msgpack.packb(["a", 7, 7]),
]


class TestRecords:
    """A record of another form is refused with the name of the field."""

    def test_member(self) -> None:
        item = Item(PREFIX_MEMBER + "a", encode_member(Member("a", "10.0.0.2:81", 0.5)), 7)
        member = decode_member(item, OWN_ADDRESS)
        assert (member.name, member.address, member.power) == ("a", "10.0.0.2:81", 0.5)

    def test_claim(self) -> None:
        item = Item(KEY_TERM, msgpack.packb(("a", 7, "10.0.0.2:80")), 7)
        assert decode_claim(item) == ("a", 7, "10.0.0.2:80")
        assert (parse_name(item), parse_term(item)) == ("a", 7)
        assert parse_owner_address(item) == "10.0.0.2:80"

    @pytest.mark.parametrize("row", [("a", 7), ("a", 7, "", "more")])
    def test_claim_of_another_version(self, row: Any) -> None:
        item = Item(KEY_TERM, msgpack.packb(row), 7)
        assert decode_claim(item) == ("a", 7, "")

    @pytest.mark.parametrize("address", [5, None, ["10.0.0.2:80"], "a" * 5_000])
    def test_invalid_address_of_a_claim_is_named(self, address: Any) -> None:
        item = Item(KEY_TERM, msgpack.packb(("a", 7, address)), 7)
        with pytest.raises(DecodeError, match="^address: "):
            decode_claim(item)
        assert parse_owner_address(item) == ""

    @pytest.mark.parametrize("value", ODD_BYTES, ids=range(len(ODD_BYTES)))
    def test_odd_member_is_refused(self, value: bytes) -> None:
        with pytest.raises(DecodeError):
            decode_member(Item(PREFIX_MEMBER + "a", value, 7), OWN_ADDRESS)

    @pytest.mark.parametrize(
        ("row", "field"),
        [
            (("b", "10.0.0.2:80", 1.0), "name"),
            ((None, "10.0.0.2:80", 1.0), "name"),
            (("a", "nowhere", 1.0), "address"),
            (("a", "", 1.0), "address"),
            (("a", 5, 1.0), "address"),
            (("a", "10.0.0.2:0", 1.0), "address"),
            (("a", "10.0.0.2:70000", 1.0), "address"),
            (("a", "10.0.0.2:8²", 1.0), "address"),
            (("a", "10.0.0.2:" + "8" * 5_000, 1.0), "address"),
            (("a", "10.0.0.2:80", float("inf")), "power"),
            (("a", "10.0.0.2:80", float("nan")), "power"),
            (("a", "10.0.0.2:80", 1e308), "power"),
            (("a", "10.0.0.2:80", -1.0), "power"),
            (("a", "10.0.0.2:80", True), "power"),
            (("a", "10.0.0.2:80", "1"), "power"),
        ],
        ids=range(15),
    )
    def test_invalid_field_of_a_member_is_named(self, row: Any, field: str) -> None:
        with pytest.raises(DecodeError, match=f"^{field}: "):
            decode_member(Item(PREFIX_MEMBER + "a", msgpack.packb(row), 7), OWN_ADDRESS)

    # Guards against a term that goes back, whose runs executors refuse as old, and one so great
    # that no start can hold the numbers of its runs.
    @pytest.mark.parametrize("value", ODD_CLAIMS, ids=range(len(ODD_CLAIMS)))
    def test_invalid_term_counts_as_the_greatest_possible_one(self, value: bytes) -> None:
        item = Item(KEY_TERM, value, 7)
        with pytest.raises(DecodeError):
            decode_claim(item)
        assert (parse_name(item), parse_term(item)) == ("", 7)


class TestPeerWithoutAddress:
    """A call to something that is no address has no answer."""

    # Guards against a ValueError that ended the requests of callers.
    @pytest.mark.parametrize(
        "address", ["", "nowhere", "a:b", "10.0.0.1:", "10.0.0.1:70000", "10.0.0.1:8²", "[::1:80"]
    )
    def test_call_has_no_answer(self, address: str) -> None:
        async def run_scenario() -> None:
            caller = PeerCaller(LoopLag())
            with pytest.raises(NoAnswerError):
                await caller.async_call(address, ShowJob("a"), 0.5)

        asyncio.run(run_scenario())


class TestRecordsOfOtherWriters:
    """The election goes on beside odd records, which are no members and no owner."""

    async def async_run_jobs(self, world: World, first: int) -> None:
        """Run some jobs to their end."""
        for number in range(first, first + 6):
            assert await world.async_submit(make_job(world, number))
        await world.async_wait_for_jobs(20.0)

    # Guards against members that are asked to take over, to store jobs and to ask the adviser.
    def test_odd_members_are_no_members(self) -> None:
        world = World(21)

        async def run_scenario() -> None:
            await world.async_start()
            for number in range(200):
                value = ODD_BYTES[number % len(ODD_BYTES)]
                world.store.put(f"{PREFIX_MEMBER}odd-{number}", value, 0)
            await self.async_run_jobs(world, 0)
            owner = find_owner(world)
            assert owner is not None
            world.kill_daemon(owner)
            await self.async_run_jobs(world, 100)
            for daemon in world.daemons.values():
                assert set(daemon._membership.addresses) <= {f"entry-{n}" for n in range(4)}

        world.run(run_scenario())
        assert world.checker.breaches == []

    def test_odd_record_of_a_member_keeps_its_address(self) -> None:
        world = World(22)

        async def run_scenario() -> None:
            await world.async_start()
            world.store.put(PREFIX_MEMBER + "entry-1", b"odd", 0)
            await asyncio.sleep(1.0)
            assert "entry-1" in world.daemons["entry-0"]._membership.addresses
            await self.async_run_jobs(world, 0)

        world.run(run_scenario())
        assert world.checker.breaches == []

    # Guards against a cell without an owner: a record that no lease removes looked like its claim.
    @pytest.mark.parametrize("value", ODD_CLAIMS[::3], ids=range(len(ODD_CLAIMS[::3])))
    def test_daemon_claims_over_an_odd_record_of_the_owner(self, value: bytes) -> None:
        world = World(23)

        async def run_scenario() -> None:
            await world.async_start()
            owner = find_owner(world)
            assert owner is not None
            world.store.put(KEY_OWNER, value, 0)
            await self.async_run_jobs(world, 0)
            assert find_owner(world) == owner
            world.kill_daemon(owner)
            await asyncio.sleep(2 * LEASE_TTL_S + RENEWAL_INTERVAL_S)
            assert find_owner(world) not in (None, owner)
            await self.async_run_jobs(world, 100)

        world.run(run_scenario())
        assert world.checker.breaches == []

    # Guards against runs with lower numbers than before, which executors refuse for good.
    @pytest.mark.parametrize("value", ODD_CLAIMS[::3], ids=range(len(ODD_CLAIMS[::3])))
    def test_terms_increase_over_an_odd_record(self, value: bytes) -> None:
        world = World(24)
        terms: list[int] = []

        async def run_scenario() -> None:
            await world.async_start()
            for _ in range(2):
                owner = find_owner(world)
                assert owner is not None
                terms.append(world.daemons[owner].owner.scheduler.state.term)
                await self.async_run_jobs(world, 100 * len(terms))
                world.store.put(KEY_TERM, value, 0)
                await asyncio.sleep(3.0)
            owner = find_owner(world)
            assert owner is not None
            terms.append(world.daemons[owner].owner.scheduler.state.term)
            await self.async_run_jobs(world, 900)

        world.run(run_scenario())
        assert world.checker.breaches == []
        assert sorted(set(terms)) == terms
        assert terms[-1] * RUNS_PER_TERM < 2**53
