"""Tests of the outages of the platform's store."""

from __future__ import annotations

import asyncio
from random import Random

from stand_ins.platform_store import PlatformStore
from tests.platform_stand_ins.helpers import run_virtual
from wasabiramp.entry.ports import Transaction

TTL_S = 3.0
OUTAGE_S = 4.5


async def async_play_outage(expires_leases: bool) -> bool:
    """Return whether a leased key is there right after an outage longer than its lease."""
    store = PlatformStore(Random(1))
    task = asyncio.create_task(store.async_run())
    lease = store.grant(TTL_S)
    store.commit(Transaction({}, {"key": (b"", lease)}, []))
    outage = store.begin_outage(expires_leases, refuses=True)
    await asyncio.sleep(OUTAGE_S)
    store.end_outage(outage)
    is_there = "key" in store.items
    task.cancel()
    return is_there


class TestOutage:
    """Leases run out or pause while the store is down."""

    def test_key_is_gone_before_its_lease_can_be_renewed(self) -> None:
        assert not run_virtual(async_play_outage(expires_leases=True))

    def test_key_outlives_an_outage_in_which_leases_pause(self) -> None:
        assert run_virtual(async_play_outage(expires_leases=False))

    def test_store_is_down_until_the_last_outage_ends(self) -> None:
        async def async_play() -> list[bool]:
            store = PlatformStore(Random(1))
            first = store.begin_outage(True, refuses=True)
            second = store.begin_outage(True, refuses=False)
            store.end_outage(first)
            states = [store.is_down, store.refuses_all]
            store.end_outage(second)
            return [*states, store.is_down]

        assert run_virtual(async_play()) == [True, False, False]
