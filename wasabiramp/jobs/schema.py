"""Schema of submitted jobs."""

from __future__ import annotations

from typing import Any, Final

from expression import Error, Ok, Result
import voluptuous as vol

from wasabiramp.jobs.state import JobSpec
from wasabiramp.resource.kinds import build_count_validator, build_number_validator, check_schema
from wasabiramp.settings.schema import NAME_SCHEMA

MAX_TASKS: Final = 20_000

_METADATA: Final = vol.Schema(
    {vol.Required("name"): NAME_SCHEMA, vol.Required("team"): NAME_SCHEMA}, extra=vol.REMOVE_EXTRA
)
_SPEC: Final = vol.Schema(
    {
        vol.Optional("work_class", default="batch"): NAME_SCHEMA,
        vol.Optional("tasks", default=1): build_count_validator(1, MAX_TASKS),
        vol.Optional("cores", default=1): build_number_validator(0.001, 100_000),
        vol.Optional("memory_mb", default=256): build_number_validator(1, 1e9),
        vol.Optional("accelerators", default=0): build_count_validator(0, 10_000),
        vol.Optional("gang", default=False): bool,
        vol.Optional("idempotent", default=True): bool,
        vol.Optional("max_retries", default=3): build_count_validator(0, 100),
        vol.Optional("payload", default=dict): dict,
    }
)


def parse_job(raw: Any) -> Result[JobSpec, str]:
    """Validate a job resource and return its spec, or an error that names the field.

    Example: `parse_job({"metadata": {"name": "scan", "team": "rims"}, "spec": {"tasks": 4}})`.
    """
    if not isinstance(raw, dict):
        return Error("body: expected an object")
    if raw.get("kind", "Job") != "Job":
        return Error("kind: expected 'Job'")
    metadata = check_schema(_METADATA, raw.get("metadata"), "metadata")
    if metadata.is_error():
        return Error(metadata.error)
    spec = check_schema(_SPEC, raw.get("spec", {}), "spec")
    if spec.is_error():
        return Error(spec.error)
    names, values = metadata.ok, spec.ok
    return Ok(
        JobSpec(
            names["name"],
            names["team"],
            values["work_class"],
            values["tasks"],
            float(values["cores"]),
            float(values["memory_mb"]),
            values["accelerators"],
            values["gang"],
            values["idempotent"],
            values["max_retries"],
            values["payload"],
        )
    )
