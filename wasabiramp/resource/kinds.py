"""Kinds of resources that operators declare, with their schemas."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

from expression import Error, Ok, Result
import voluptuous as vol

from wasabiramp.core.records import record
from wasabiramp.settings.address import check_address
from wasabiramp.settings.schema import NAME_SCHEMA

ROLE_EXECUTOR: Final = "executor"
ROLE_WORKER: Final = "worker"

KIND_TEAM: Final = "Team"
KIND_SERVICE: Final = "Service"
KIND_POLICY: Final = "Policy"
KIND_INSTANCE: Final = "Instance"
KIND_JOB: Final = "Job"

API_VERSION: Final = "wasabiramp/v1"


def build_number_validator(lowest: float, highest: float) -> Any:
    """Return a validator for a number in the range; it refuses booleans."""
    message = f"expected a number from {lowest} to {highest}"

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise vol.Invalid(message)
        if not lowest <= value <= highest:
            raise vol.Invalid(message)
        return value

    return check


def build_count_validator(lowest: int, highest: int) -> Any:
    """Return a validator for a whole number in the range; it refuses booleans."""
    message = f"expected a whole number from {lowest} to {highest}"

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise vol.Invalid(message)
        if not lowest <= value <= highest:
            raise vol.Invalid(message)
        return value

    return check


@record
class Team:
    """A team and its quota, which limits the resources of its running tasks.

    `weight` scales the team's fair share relative to other teams.
    """

    name: str
    cores: float
    memory_mb: float
    accelerators: int
    weight: float


@record
class Service:
    """An interactive service; `deadline_s` is the default for requests without a deadline."""

    name: str
    deadline_s: float
    work_class: str


@record
class Policy:
    """The policy for a class of work, and its service level objective for the report of burn rates.

    Classes of higher `priority` go first. `objective` is the share of work that must start within
    `wait_s` seconds.
    """

    name: str
    priority: int
    ordering: str
    placement: str
    admission: str
    retry: str
    can_preempt: bool
    is_preemptible: bool
    objective: float
    wait_s: float


@record
class Instance:
    """A trusted instance: an executor of a service, or a worker."""

    name: str
    role: str
    address: str
    zone: str
    rack: str
    service: str
    slots: int
    connections: int
    cores: float
    memory_mb: float
    accelerators: int


_TEAM_FIELDS = {
    vol.Optional("cores", default=1e9): build_number_validator(0, 1e9),
    vol.Optional("memory_mb", default=1e12): build_number_validator(0, 1e12),
    vol.Optional("accelerators", default=1_000_000): build_count_validator(0, 1_000_000),
    vol.Optional("weight", default=1.0): build_number_validator(0.001, 1000),
}
_SERVICE_FIELDS = {
    vol.Optional("deadline_s", default=5.0): build_number_validator(0.001, 3600),
    vol.Optional("work_class", default="interactive"): NAME_SCHEMA,
}
_POLICY_FIELDS = {
    vol.Optional("priority", default=0): build_count_validator(-1000, 1000),
    vol.Optional("ordering", default="fair"): NAME_SCHEMA,
    vol.Optional("placement", default="balanced"): NAME_SCHEMA,
    vol.Optional("admission", default="bounded"): NAME_SCHEMA,
    vol.Optional("retry", default="budget"): NAME_SCHEMA,
    vol.Optional("can_preempt", default=False): bool,
    vol.Optional("is_preemptible", default=False): bool,
    vol.Optional("objective", default=0.99): build_number_validator(0.5, 0.99999),
    vol.Optional("wait_s", default=1.5): build_number_validator(0.001, 86400),
}
_INSTANCE_FIELDS = {
    vol.Required("role"): vol.Any(
        ROLE_EXECUTOR, ROLE_WORKER, msg="expected 'executor' or 'worker'"
    ),
    vol.Required("address"): check_address,
    vol.Optional("zone", default="default"): NAME_SCHEMA,
    vol.Optional("rack", default="default"): NAME_SCHEMA,
    vol.Optional("service", default=""): vol.Any("", NAME_SCHEMA),
    vol.Optional("slots", default=8): build_count_validator(1, 10_000),
    vol.Optional("connections", default=64): build_count_validator(1, 100_000),
    vol.Optional("cores", default=0): build_number_validator(0, 100_000),
    vol.Optional("memory_mb", default=0): build_number_validator(0, 1e9),
    vol.Optional("accelerators", default=0): build_count_validator(0, 10_000),
}

_SCHEMAS: Final[dict[str, tuple[vol.Schema, Callable[..., Any]]]] = {
    KIND_TEAM: (vol.Schema(_TEAM_FIELDS), Team),
    KIND_SERVICE: (vol.Schema(_SERVICE_FIELDS), Service),
    KIND_POLICY: (vol.Schema(_POLICY_FIELDS), Policy),
    KIND_INSTANCE: (vol.Schema(_INSTANCE_FIELDS), Instance),
}
KINDS: Final = tuple(_SCHEMAS)


def check_schema(schema: vol.Schema, raw: Any, where: str) -> Result[dict[str, Any], str]:
    """Validate raw fields; the error names the field and the expected value."""
    if not isinstance(raw, dict):
        return Error(f"{where}: expected an object")
    try:
        return Ok(schema(raw))
    except vol.MultipleInvalid as err:
        first = err.errors[0]
        path = ".".join([where, *(str(part) for part in first.path)])
        return Error(f"{path}: {first.error_message}")


def parse_spec(kind: str, name: str, raw: Any) -> Result[Any, str]:
    """Validate a spec and return the typed object, or an error that names the field.

    Example: `parse_spec("Team", "rims", {"cores": 64})`.
    """
    known = _SCHEMAS.get(kind)
    if known is None:
        return Error(f"kind: unknown kind {kind!r}, expected one of {', '.join(KINDS)}")
    try:
        NAME_SCHEMA(name)
    except vol.Invalid as err:
        return Error(f"metadata.name: {err.error_message}")
    schema, cls = known
    return check_schema(schema, raw, "spec").map(lambda checked: cls(name=name, **checked))
