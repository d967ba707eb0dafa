"""Tests of real daemon processes with the platform's stand-in, and of the deployed versions."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
import signal
import time
import tomllib
from typing import Any

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.exceptions import GRPCError, StreamTerminatedError
import msgpack
import orjson

from soak.callers import Caller, async_wait_for_jobs
from soak.cell import Cell, DaemonProcess
from soak.plan import FAILURES, FULL, LAPSES, PLAIN, RESTARTS, make_plan
from soak.run import async_soak
from tests.core.test_records import nest_records
from wasabiramp.entry.keys import (
    KEY_OWNER,
    KEY_ROSTER,
    PREFIX_MEMBER,
    build_job_key,
    build_progress_key,
)
from wasabiramp.entry.peers import METHOD_PATH
from wasabiramp.peer.streams import BytesCodec

ROOT = Path(__file__).resolve().parent.parent.parent


class TestSoak:
    """A short soak test with a fixed seed finds no breach."""

    def test_short_soak_finds_no_breach(self) -> None:
        cell = asyncio.run(async_soak(1, seconds=8.0, daemons=3, executors=6))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 50

    def test_outage_with_failing_runs_fails_no_job_without_cause(self) -> None:
        # Guards against attempts that count though the lease lapsed before their acknowledgement.
        plan = make_plan(FAILURES, "long_outage", "plain", 1)
        cell = asyncio.run(async_soak(4118, seconds=8.0, daemons=3, executors=6, plan=plan))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 30

    def test_crashes_after_lapses_fail_no_job(self) -> None:
        # Guards against jobs given up though their runs only lapsed (LOST, issue 44).
        plan = make_plan(LAPSES, "crash_after_lapse", "lasting", 1)
        cell = asyncio.run(async_soak(4402, seconds=2.0, daemons=3, executors=6, plan=plan))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.lapses.total() > 0
        assert cell.platform.checker.crashes_after_lapse > 0

    def test_restarts_and_cuts_run_nothing_twice(self) -> None:
        # Guards against acknowledging ends that only the next process of an executor knows, which
        # nobody has read (TWICE, issue 50).
        plan = make_plan(RESTARTS, "crash_executor,restart_and_cut", "short", 6, jobs_per_s=9.0)
        cell = asyncio.run(async_soak(5045, seconds=8.0, daemons=3, executors=6, plan=plan))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 100
        assert cell.platform.held_calls > 0


class TestHandOver:
    """Another daemon becomes the owner, and no work is lost or runs twice."""

    def test_outage_with_cut_and_hand_over_runs_nothing_twice(self) -> None:
        # Guards against starting elsewhere what an executor that is cut off still runs (TWICE).
        plan = make_plan(FULL, "outage_cut_hand_over", "lasting,long,plain,repeated", 1)
        cell = asyncio.run(async_soak(2, seconds=8.0, daemons=4, executors=8, plan=plan))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 50

    def test_owner_killed_before_many_ends_runs_nothing_twice(self) -> None:
        # Guards against starting again what ended as done behind the first page of ends (TWICE).
        plan = make_plan(FULL, "kill_owner_at_ends", "wide", 1, jobs_per_s=0.4)
        cell = asyncio.run(async_soak(1, seconds=8.0, daemons=3, executors=8, plan=plan))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 1_500


def list_odd_entries(number: int) -> list[bytes]:
    """Return the values of odd entries; each call returns other ones."""
    good = {
        "service": "service",
        "address": "127.0.0.1:9",
        "zone": "z",
        "state": "ready",
        "capacity": {"cpu": 16_000, "memMb": 32_768, "gpu": 0},
        "labels": ["a", "r0"],
        "born": int(time.time() * 1000),
        "seq": number,
    }
    changes: list[dict[str, Any]] = [
        {"address": "127.0.0.1:70000"},
        {"address": "127.0.0.1:0"},
        {"address": "127.0.0.1:8²"},
        {"address": "executor.example:80"},
        {"address": "127.0.0.1\r\nA: b:80"},
        {"capacity": {"cpu": 1e308, "memMb": 1e308, "gpu": 1e308}},
        {"capacity": {"cpu": 2**64 - 1}},
        {"capacity": None},
        {"born": 1e308},
        {"born": 2**63},
        {"born": 1.5},
        {"state": "draining", "remainingMs": 1e308},
        {"state": ["ready"]},
        {"labels": [[["a"]]]},
        {"service": 5},
        {"service": "other"},
    ]
    start = orjson.dumps({key: value for key, value in good.items() if key != "zone"})[:-1]
    return [
        *(orjson.dumps({**good, **change}) for change in changes),
        start + b',"zone":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
        start + b',"zone":' + b"[" * 1_000 + b"]" * 1_000 + b"}",
        start + b',"zone":"\\ud800"}',
        start + b',"zone":1e400}',
        start + b',"zone":' + b"1" * 5_000 + b"}",
        b"\xff\xfe",
        b"",
    ]


async def async_send_to_peer(daemon: DaemonProcess, data: bytes) -> None:
    """Send a message to a daemon as another daemon does; any answer or none will do."""
    channel = Channel("127.0.0.1", daemon.peer_port, codec=BytesCodec())
    try:
        await asyncio.wait_for(UnaryUnaryMethod(channel, METHOD_PATH, bytes, bytes)(data), 2.0)
    except (GRPCError, StreamTerminatedError, OSError, TimeoutError):
        return
    finally:
        channel.close()


class TestOddEntries:
    """Odd entries beside good ones: all jobs run, and no process ends by itself."""

    ODD_KEYS = 300

    # Guards against processes that end, or stop to follow the list, at an entry that is odd.
    def test_jobs_run_beside_odd_entries_and_restarts(self) -> None:
        cell = Cell(1, 3, 6)
        asyncio.run(self.async_run(cell))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 30
        for daemon in cell.daemons:
            log = daemon.log_path.read_text(encoding="utf-8")
            assert "loop_failed" not in log
            assert "task_failed" not in log
            assert "recovery_failed" not in log
        logs = [daemon.log_path.read_text(encoding="utf-8") for daemon in cell.daemons]
        lines = [line for log in logs for line in log.splitlines()]
        assert any("executor_entry_invalid key=servers/odd-" in line for line in lines)
        odd = [line for line in lines if "executor_entry_invalid" in line]
        assert len(odd) <= 100 * sum("ownership_taken" in line for line in lines)

    def put_odd_items(self, cell: Cell, number: int) -> None:
        """Write odd executors' entries and other odd records."""
        values = list_odd_entries(number)
        store = cell.platform.store
        for key in range(self.ODD_KEYS):
            store.put(f"servers/odd-{key}", values[key % len(values)], 0)
        for key in ("servers/", "servers/a b", "servers/a\r\nb", "servers/\xe4", "servers/a/b"):
            store.put(key, values[0], 0)
        for key in range(20):
            store.put(f"{PREFIX_MEMBER}odd-{key}", msgpack.packb({"a": key}), 0)
            store.put(build_job_key(f"odd-{key}"), b"\x91" * 5_000, 0)
            store.put(build_progress_key(f"odd-{key}"), msgpack.packb([1, key, {}]), 0)

    async def async_run(self, cell: Cell) -> None:
        """Run jobs while odd items are written, the owner is killed and a daemon is restarted."""
        random = Random(1)
        await cell.async_start()
        checker = cell.platform.checker
        try:
            self.put_odd_items(cell, 0)
            await asyncio.sleep(3.0)
            callers = [Caller(cell, checker, random) for _ in range(4)]
            jobs = [
                asyncio.create_task(self.async_run_job(callers[n % 4], n, 0.25 * n))
                for n in range(32)
            ]
            for number in range(1, 8):
                self.put_odd_items(cell, number)
                for daemon in cell.daemons:
                    await async_send_to_peer(daemon, nest_records(400))
                    await async_send_to_peer(daemon, b"\xc7\x01\x05a")
                if number == 2:
                    cell.platform.store.put("servers/i-0", b"odd", 0)
                if number == 3:
                    cell.platform.store.put(KEY_ROSTER, b"odd", 0)
                    await self.async_restart(await self.async_find_owner(cell), signal.SIGKILL)
                if number == 5:
                    await self.async_restart(await self.async_find_owner(cell), signal.SIGTERM)
                    cell.platform.list_executor(cell.platform.executors.by_id["i-0"])
                await asyncio.sleep(0.7)
            await asyncio.gather(*jobs)
            await async_wait_for_jobs(cell, checker, random, 20.0)
            for caller in callers:
                await caller.async_close()
            exit_codes = [daemon.process.poll() for daemon in cell.daemons if daemon.process]
            assert exit_codes == [None] * 3
        finally:
            await cell.async_stop()

    async def async_run_job(self, caller: Caller, number: int, delay_s: float) -> None:
        """Run a job after a delay."""
        await asyncio.sleep(delay_s)
        await caller.async_run_job(number, [PLAIN])

    async def async_find_owner(self, cell: Cell) -> DaemonProcess:
        """Return the daemon that owns the domain, once there is one."""
        async with asyncio.timeout(10.0):
            while KEY_OWNER not in cell.platform.store.items:
                await asyncio.sleep(0.05)
        name = msgpack.unpackb(cell.platform.store.items[KEY_OWNER].value)[0]
        return next(daemon for daemon in cell.daemons if daemon.name == name)

    async def async_restart(self, daemon: DaemonProcess, number: signal.Signals) -> None:
        """End a daemon by a signal, and start it again."""
        assert daemon.process is not None
        assert daemon.process.poll() is None
        daemon.signal_process(number)
        await daemon.async_wait_for_exit()
        daemon.start()


class TestDeployment:
    """The deployed versions of dependencies are those that are tested."""

    def test_pins_are_those_of_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
        pinned = set(project["project"]["dependencies"])
        deployed = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").split()
        assert set(deployed) <= pinned
        assert pinned - set(deployed) == {"matplotlib==3.11.2", "psutil==7.2.2"}
