"""Validation of network addresses, apart from the daemon's settings file and its YAML parser."""

from __future__ import annotations

from ipaddress import ip_address
import re
from typing import Any, Final

import voluptuous as vol

MAX_PORT: Final = 65_535
PORT_PATTERN: Final = re.compile(r"[0-9]{1,5}")
EXPECTED_ADDRESS: Final = "expected an IP address and a port, like 127.0.0.1:7070"


def check_address(value: Any) -> str:
    """Return the value if it is an IP address and a port, like `127.0.0.1:7070`."""
    if not isinstance(value, str):
        raise vol.Invalid(EXPECTED_ADDRESS)
    host, _, port = value.rpartition(":")
    if not host or not PORT_PATTERN.fullmatch(port) or int(port) > MAX_PORT:
        raise vol.Invalid(EXPECTED_ADDRESS)
    return value


def parse_address(value: Any) -> tuple[str, int] | None:
    """Return the IP address and the port of an address of another process, or None if invalid.

    Brackets enclose an IPv6 address, as in a URL.
    """
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not PORT_PATTERN.fullmatch(port) or not 1 <= int(port) <= MAX_PORT:
        return None
    is_bracketed = host.startswith("[") and host.endswith("]")
    host = host[1:-1] if is_bracketed else host
    try:
        version = ip_address(host).version
    except ValueError:
        return None
    if is_bracketed != (version == 6) or "%" in host:
        return None
    return host, int(port)
