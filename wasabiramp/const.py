"""Constants that more than one package uses."""

from __future__ import annotations

from typing import Final

DEFAULT_HEARTBEAT_S: Final = 0.4
DEFAULT_SUSPECT_S: Final = 1.4
DEFAULT_RIGHT_S: Final = 2.0
DEFAULT_LIST_LAG_S: Final = 5.0
DEFAULT_TASK_LEASE_S: Final = 15.0
"""Defaults of the settings of the same names, see `settings.schema.Settings`."""

CLOCK_DRIFT_SHARE: Final = 0.01
"""Upper bound on the rate difference between two clocks, as a share of the elapsed time."""

TICK_INTERVAL_S: Final = 0.1
WITNESS_COUNT: Final = 7
"""Maximum number of members that grant the leases of all members."""

PARTITION_COUNT: Final = 16
"""Number of partitions of jobs and keys, each of which has one home."""

MAX_BODY_BYTES: Final = 1_000_000
"""Limit of the body of an HTTP request."""

MAX_SEGMENT_BYTES: Final = 64_000
"""Size beyond which the journal of a partition begins a new segment."""

KEY_MEMBERS: Final = "members"
PREFIX_RESOURCE: Final = "resource/"
PREFIX_JOURNAL: Final = "journal/"
