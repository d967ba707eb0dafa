"""Tests of real daemon processes with the platform's stand-in, and of the deployed versions."""

from __future__ import annotations

import asyncio
from pathlib import Path
import tomllib

from soak.plan import FULL, make_plan
from soak.run import async_soak

ROOT = Path(__file__).resolve().parent.parent.parent


class TestSoak:
    """A short soak test with a fixed seed finds no breach."""

    def test_short_soak_finds_no_breach(self) -> None:
        cell = asyncio.run(async_soak(1, seconds=8.0, daemons=3, executors=6))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 50


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


class TestDeployment:
    """The deployed versions of dependencies are those that are tested."""

    def test_pins_are_those_of_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
        pinned = set(project["project"]["dependencies"])
        deployed = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").split()
        assert set(deployed) <= pinned
        assert pinned - set(deployed) == {"matplotlib==3.11.2", "psutil==7.2.2"}
