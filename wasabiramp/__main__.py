"""Runs the command line: `python -m wasabiramp`."""

from __future__ import annotations

from wasabiramp.cli.main import main

main()
