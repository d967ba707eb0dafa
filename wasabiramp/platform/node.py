"""Settings file that the platform writes for each process, validated as EntrySettings."""

from __future__ import annotations

import os
from pathlib import Path
import tomllib
from typing import Any, Final

from expression import Error, Ok, Result
import voluptuous as vol

from wasabiramp.entry.ports import EntrySettings
from wasabiramp.settings.address import check_address

ENV_NODE_FILE: Final = "WASABIRAMP_NODE_FILE"

POSITIVE_NUMBER: Final = vol.All(vol.Any(int, float), vol.Range(min=0, min_included=False))
PORT: Final = vol.All(int, vol.Range(1, 65535))
BOUNDS_SCHEMA: Final = {
    # The longest lease that an executor grants; a `hold` is the call that renews the lease.
    vol.Required("holdMaxMs"): POSITIVE_NUMBER,
    vol.Optional("graceS", default=6): POSITIVE_NUMBER,
    vol.Optional("status_s", default=120): POSITIVE_NUMBER,
    vol.Optional("configMs", default=2000): POSITIVE_NUMBER,
}
SCHEMA: Final = vol.Schema(
    {
        vol.Required("nodeName"): str,
        vol.Required("ip"): str,
        vol.Optional("zone", default=""): str,
        vol.Required("portRange"): vol.All([PORT], vol.Length(min=2, max=2)),
        vol.Optional("advice", default=""): vol.Any("", check_address),
        vol.Required("listenAddrs"): vol.Schema(
            {vol.Required("front"): check_address, vol.Required("ready"): check_address},
            extra=vol.REMOVE_EXTRA,
        ),
        vol.Optional("limits", default={}): vol.Schema(
            {
                vol.Optional("cpuShare", default=1.0): POSITIVE_NUMBER,
                vol.Optional("cores", default=1): POSITIVE_NUMBER,
                vol.Optional("linkMbps", default=1000.0): POSITIVE_NUMBER,
            },
            extra=vol.REMOVE_EXTRA,
        ),
        vol.Required("bounds"): vol.Schema(BOUNDS_SCHEMA, extra=vol.REMOVE_EXTRA),
        vol.Required("platform"): vol.Schema(
            {
                vol.Required("address"): check_address,
                vol.Optional("ttlMinMs", default=1000): POSITIVE_NUMBER,
                vol.Optional("valueBytes", default=1_048_576): vol.All(int, vol.Range(min=1024)),
            },
            extra=vol.REMOVE_EXTRA,
        ),
    },
    extra=vol.REMOVE_EXTRA,
)


def parse_node_settings(raw: dict[str, Any], source: str) -> Result[EntrySettings, str]:
    """Validate the settings; the error names the source, the field and what was expected."""
    try:
        checked = SCHEMA(raw)
    except vol.MultipleInvalid as err:
        first = err.errors[0]
        field = ".".join(str(part) for part in first.path) or "(file)"
        return Error(f"{source}: {field}: {first.error_message}")
    bounds, platform, limits = checked["bounds"], checked["platform"], checked["limits"]
    # Peers connect to the first port of the range, and metrics are served on the last one.
    first_port, last_port = checked["portRange"]
    return Ok(
        EntrySettings(
            name=checked["nodeName"],
            zone=checked["zone"],
            caller_address=checked["listenAddrs"]["front"],
            ready_address=checked["listenAddrs"]["ready"],
            peer_address=f"{checked['ip']}:{first_port}",
            metrics_address=f"{checked['ip']}:{last_port}",
            store_address=platform["address"],
            adviser_address=checked["advice"],
            lease_limit_s=bounds["holdMaxMs"] / 1000,
            grace_s=float(bounds["graceS"]),
            status_s=float(bounds["status_s"]),
            config_s=bounds["configMs"] / 1000,
            lease_least_s=platform["ttlMinMs"] / 1000,
            store_value_bytes=platform["valueBytes"],
            # `cpuShare` is a share of one core of a machine that is `cores` times as fast.
            power=limits["cpuShare"] * limits["cores"],
            link_mbps=limits["linkMbps"],
        )
    )


def read_settings_version() -> tuple[int, ...]:
    """Return what changes with the settings file of this process; empty if there is none."""
    try:
        status = os.stat(os.environ.get(ENV_NODE_FILE, ""))
    except OSError:
        return ()
    return status.st_mtime_ns, status.st_size, status.st_ino


def load_node_settings(path: Path | None = None) -> Result[EntrySettings, str]:
    """Read and validate a settings file, by default the one named in the environment."""
    if path is None:
        named = os.environ.get(ENV_NODE_FILE)
        if not named:
            return Error(f"{ENV_NODE_FILE}: expected the path of the settings file")
        path = Path(named)
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        return Error(f"{path}: cannot be read: {err}")
    return parse_node_settings(raw, str(path))
