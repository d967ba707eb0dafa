"""The daemon's settings: a YAML file that is validated before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

from expression import Error, Ok, Result
import voluptuous as vol
import yaml

from wasabiramp.const import (
    DEFAULT_HEARTBEAT_S,
    DEFAULT_LIST_LAG_S,
    DEFAULT_RIGHT_S,
    DEFAULT_SUSPECT_S,
    DEFAULT_TASK_LEASE_S,
)
from wasabiramp.core.records import record
from wasabiramp.settings.address import check_address

CONF_INSTANCE: Final = "instance"
CONF_ZONE: Final = "zone"
CONF_API: Final = "api_address"
CONF_PEER: Final = "peer_address"
CONF_STORE: Final = "store_address"
CONF_INSTANCES: Final = "instance_list_address"
CONF_HEARTBEAT: Final = "heartbeat_s"
CONF_SUSPECT: Final = "suspect_s"
CONF_RIGHT: Final = "right_s"
CONF_LIST_LAG: Final = "list_lag_s"
CONF_TASK_LEASE: Final = "task_lease_s"
CONF_QUEUE: Final = "queue_limit"
CONF_JOURNAL: Final = "journal_interval_s"
CONF_DRAIN: Final = "drain_s"
CONF_RECORD: Final = "record_file"


def build_duration_validator(lowest: float, highest: float) -> Any:
    """Return a validator of a number of seconds in a range."""
    message = f"expected a number of seconds from {lowest} to {highest}"
    return vol.All(
        vol.Any(int, float, msg=message), vol.Range(lowest, highest, msg=message), vol.Coerce(float)
    )


NAME_SCHEMA: Final = vol.All(
    str,
    vol.Match(r"^[a-z0-9][a-z0-9.-]{0,62}$", msg="expected 1 to 63 of a-z, 0-9, '.' and '-'"),
)

SCHEMA: Final = vol.Schema(
    {
        vol.Required(CONF_INSTANCE): NAME_SCHEMA,
        vol.Required(CONF_ZONE): NAME_SCHEMA,
        vol.Required(CONF_API): check_address,
        vol.Required(CONF_PEER): check_address,
        vol.Required(CONF_STORE): check_address,
        vol.Required(CONF_INSTANCES): check_address,
        vol.Optional(CONF_HEARTBEAT, default=DEFAULT_HEARTBEAT_S): build_duration_validator(
            0.05, 10
        ),
        vol.Optional(CONF_SUSPECT, default=DEFAULT_SUSPECT_S): build_duration_validator(0.2, 60),
        vol.Optional(CONF_RIGHT, default=DEFAULT_RIGHT_S): build_duration_validator(0.2, 60),
        vol.Optional(CONF_LIST_LAG, default=DEFAULT_LIST_LAG_S): build_duration_validator(0, 600),
        vol.Optional(CONF_TASK_LEASE, default=DEFAULT_TASK_LEASE_S): build_duration_validator(
            1, 600
        ),
        vol.Optional(CONF_QUEUE, default=512): vol.All(int, vol.Range(1, 100_000)),
        vol.Optional(CONF_JOURNAL, default=0.1): build_duration_validator(0.0, 5),
        vol.Optional(CONF_DRAIN, default=20.0): build_duration_validator(0, 600),
        vol.Optional(CONF_RECORD, default=""): str,
    }
)


@record
class Settings:
    """Validated settings; times are in seconds.

    `heartbeat_s` is the interval of heartbeats between few members, `suspect_s` the silence after
    which a member is suspected, `right_s` how long a member's right to act lasts, `list_lag_s` the
    maximum lag of the instance list, and `task_lease_s` the duration of a worker's lease on its
    tasks. `queue_limit` bounds the requests that wait for one service at this daemon,
    `journal_interval_s` is the minimum time between two journal writes of a partition, and
    `drain_s` is how long a graceful shutdown waits for work under way. All events are written to
    `record_file`, if it is given.
    """

    instance: str
    zone: str
    api_address: str
    peer_address: str
    store_address: str
    instance_list_address: str
    heartbeat_s: float = DEFAULT_HEARTBEAT_S
    suspect_s: float = DEFAULT_SUSPECT_S
    right_s: float = DEFAULT_RIGHT_S
    list_lag_s: float = DEFAULT_LIST_LAG_S
    task_lease_s: float = DEFAULT_TASK_LEASE_S
    queue_limit: int = 512
    journal_interval_s: float = 0.1
    drain_s: float = 20.0
    record_file: str = ""


def parse_settings(raw: Any, source: str) -> Result[Settings, str]:
    """Validate raw settings; the error names the source, the field and what was expected."""
    if not isinstance(raw, dict):
        return Error(f"{source}: expected a mapping of settings")
    try:
        checked = SCHEMA(raw)
    except vol.MultipleInvalid as err:
        first = err.errors[0]
        field = ".".join(str(part) for part in first.path) or "(file)"
        return Error(f"{source}: {field}: {first.error_message}")
    if checked[CONF_SUSPECT] < 2 * checked[CONF_HEARTBEAT]:
        return Error(f"{source}: {CONF_SUSPECT}: expected at least twice {CONF_HEARTBEAT}")
    if checked[CONF_RIGHT] < 2 * checked[CONF_HEARTBEAT]:
        return Error(f"{source}: {CONF_RIGHT}: expected at least twice {CONF_HEARTBEAT}")
    return Ok(Settings(**checked))


def load_settings(path: Path) -> Result[Settings, str]:
    """Read and validate a settings file."""
    try:
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as err:
        return Error(f"{path}: cannot be read: {err}")
    return parse_settings(raw, str(path))
