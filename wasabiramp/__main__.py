"""Entry point of `python -m wasabiramp`."""

from __future__ import annotations

from wasabiramp.cli.main import main

main()
