"""Validation of network addresses, apart from the daemon's settings file and its YAML parser."""

from __future__ import annotations

from typing import Any

import voluptuous as vol


def check_address(value: Any) -> str:
    """Return the value if it is an IP address and a port, like `127.0.0.1:7070`."""
    if not isinstance(value, str):
        raise vol.Invalid("expected an IP address and a port, like 127.0.0.1:7070")
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise vol.Invalid("expected an IP address and a port, like 127.0.0.1:7070")
    return value
