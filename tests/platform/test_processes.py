"""Tests of real daemon processes with the platform's stand-in, and of the deployed versions."""

from __future__ import annotations

import asyncio
from pathlib import Path
import tomllib

from soak.run import async_soak

ROOT = Path(__file__).resolve().parent.parent.parent


class TestSoak:
    """A short soak test with a fixed seed finds no breach."""

    def test_short_soak_finds_no_breach(self) -> None:
        cell = asyncio.run(async_soak(1, seconds=8.0, daemons=3, executors=6))
        assert cell.platform.checker.breaches == []
        assert cell.platform.checker.starts > 50


class TestDeployment:
    """The deployed versions of dependencies are those that are tested."""

    def test_pins_are_those_of_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))
        pinned = set(project["project"]["dependencies"])
        deployed = (ROOT / "deploy" / "requirements.txt").read_text(encoding="utf-8").split()
        assert set(deployed) <= pinned
        assert pinned - set(deployed) == {"matplotlib==3.11.2", "psutil==7.2.2"}
