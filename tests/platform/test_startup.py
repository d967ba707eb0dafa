"""Tests of the start of a daemon: what it imports before it can serve and claim."""

from __future__ import annotations

from pathlib import Path
import subprocess
import sys
import tomllib

ROOT = Path(__file__).resolve().parents[2]

MAX_MODULES = 560
"""Most modules that a daemon imports, those of the interpreter and its site packages included."""

UNUSED_PACKAGES = {"click", "matplotlib", "numpy", "psutil", "rich", "typer", "yaml"}
"""Packages of the command line, of plots and of the daemon's own settings file."""


def list_imported_modules() -> list[str]:
    """Return the modules that a new process imports with the daemon's entry point."""
    code = "import sys, wasabiramp.platform.entry; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    return done.stdout.split()


class TestImports:
    """All callers wait while all daemons start, so each imports only what it needs."""

    def test_unused_packages_are_not_imported(self) -> None:
        packages = {name.partition(".")[0] for name in list_imported_modules()}
        assert packages & UNUSED_PACKAGES == set()

    def test_number_of_modules(self) -> None:
        assert len(list_imported_modules()) <= MAX_MODULES


class TestDeployment:
    """A daemon loads no certificate authorities, as all its connections are plain HTTP."""

    def test_certificate_file_is_empty(self) -> None:
        deployment = tomllib.loads((ROOT / "deploy" / "system.toml").read_text(encoding="utf-8"))
        assert deployment["roles"]["entry"]["env"]["SSL_CERT_FILE"] == "/dev/null"
