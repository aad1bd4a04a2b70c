"""Bodies of client requests and responses: jobs, states, queue lengths."""

from collections.abc import Mapping
import json
from typing import Any

from vanillaswitch.protocol import jobs

MAX_SPEC_BYTES = 4000
MAX_STEPS = 100
MAX_TASKS = 10_000
MAX_GANG_TASKS = 500
"""A gang starts as a whole, so a row of the store has to hold all its tasks."""

MAX_STEPS_BYTES = 32_768
"""Limit on the steps in JSON, which a row of the store has to hold."""

JSON_TYPE = (("Content-Type", "application/json"),)


class BadJobError(ValueError):
    """The body is not a valid job; the message names the field."""


# Fields of a step in the body, by type, and their attributes in ``jobs.Step``.
_COUNTS = {
    "cpu": "cpu",
    "mem_mb": "mem_mb",
    "gpu": "gpu",
    "anti_affinity": "anti_affinity",
    "may_miss": "may_miss",  # disruption budget
}
_FLAGS = {
    "gang": "gang",
    "same_rack": "same_rack",
    "checkpointable": "checkpointable",
    "speculative": "speculative",
    "long_running": "long_running",
    "fills": "fills",  # uses only idle processor time
}
_STRINGS = {"requires": "requires", "affinity": "affinity", "image": "image"}
_NUMBERS = {"estimate_ms": "estimate_ms", "target_ms": "target_ms"}
_STEP_FIELDS = {"count", "after", *_COUNTS, *_FLAGS, *_STRINGS, *_NUMBERS}
_JOB_FIELDS = {
    "spec",
    "steps",
    "repeat_count",
    "first_run_ms",
    "interval_ms",
}


def parse_job(
    body: bytes,
    job_id: str,
    queue: str,
    service: str,
    submitted_ms: int,
    submitted_wall_ms: float = 0,
    account: str = "",
    attempt_limit: int = 0,
    advice: jobs.AdvisorConfig | None = None,
) -> jobs.Job:
    """Decodes a job that a client submits.

    Args:
        body: the request body.
        job_id: the job's id.
        queue: name of the job's queue.
        service: pool of that queue.
        submitted_ms: see ``jobs.Job``.
        submitted_wall_ms: see ``jobs.Job``.
        account: see ``jobs.Job``.
        attempt_limit: see ``jobs.Job``.
        advice: see ``jobs.Job``.

    Raises:
        BadJobError: a field is unknown, missing or out of range.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadJobError(f"the body is not JSON: {error}") from None
    _check_fields(raw, _JOB_FIELDS, "the job")
    spec = raw.get("spec", "")
    if not isinstance(spec, str) or not _is_valid_spec(spec):
        raise BadJobError(
            f"spec: give a text of at most {MAX_SPEC_BYTES} bytes"
        )
    raw_steps = raw.get("steps")
    if not isinstance(raw_steps, list) or not 0 < len(raw_steps) <= MAX_STEPS:
        raise BadJobError(f"steps: give a list of 1 to {MAX_STEPS} steps")
    steps = tuple(
        _parse_step(raw_step, number)
        for number, raw_step in enumerate(raw_steps)
    )
    if len(body) > MAX_STEPS_BYTES:
        _check_size(raw_steps)
    if sum(step.count for step in steps) > MAX_TASKS:
        raise BadJobError(f"steps: give at most {MAX_TASKS} tasks in all")
    return jobs.Job(
        job_id=job_id,
        queue=queue,
        service=service,
        spec=spec,
        steps=steps,
        submitted_ms=submitted_ms,
        repeat_count=_get_count(raw, "repeat_count", "the job"),
        first_run_ms=_get_number(raw, "first_run_ms", "the job"),
        interval_ms=_get_number(raw, "interval_ms", "the job"),
        submitted_wall_ms=submitted_wall_ms,
        account=account,
        attempt_limit=attempt_limit,
        advice=advice,
    )


def _check_size(raw_steps: list[Any]) -> None:
    size = len(json.dumps(raw_steps, separators=(",", ":")))
    if size > MAX_STEPS_BYTES:
        raise BadJobError(
            f"steps: give at most {MAX_STEPS_BYTES} bytes of JSON, not {size}"
        )


def _is_valid_spec(spec: str) -> bool:
    """Returns whether a spec fits into ``MAX_SPEC_BYTES`` of UTF-8.

    JSON can escape an unpaired surrogate, which UTF-8 can't encode. Such a
    spec is rejected here, since the error would otherwise end the request
    without a response that names the field.
    """
    try:
        return len(spec.encode()) <= MAX_SPEC_BYTES
    except UnicodeEncodeError:
        return False


def _check_fields(raw: Any, allowed: set[str], location: str) -> None:
    if not isinstance(raw, dict):
        raise BadJobError(f"{location}: give a JSON object")
    unknown = sorted(raw.keys() - allowed)
    if unknown:
        raise BadJobError(f"{location}: unknown field {unknown[0]!r}")


def _parse_step(raw: Any, number: int) -> jobs.Step:
    location = f"step {number}"
    _check_fields(raw, _STEP_FIELDS, location)
    values: dict[str, Any] = {}
    for name, field in _COUNTS.items():
        values[field] = _get_count(raw, name, location)
    for name, field in _NUMBERS.items():
        values[field] = _get_number(raw, name, location)
    for name, field in _FLAGS.items():
        values[field] = _get_typed(raw, name, location, bool, False)
    for name, field in _STRINGS.items():
        values[field] = _get_typed(raw, name, location, str, "")
    count = _get_count(raw, "count", location)
    if not count:
        raise BadJobError(f"{location}: count: give a number of at least 1")
    if values["gang"] and count > MAX_GANG_TASKS:
        raise BadJobError(
            f"{location}: count: give a gang at most {MAX_GANG_TASKS} tasks"
        )
    return jobs.Step(count=count, after=_parse_after(raw, number), **values)


def _parse_after(raw: Mapping[str, Any], number: int) -> tuple[int, ...]:
    """Reads a step's dependencies; only earlier steps, so no cycles."""
    location = f"step {number}"
    after = _get_typed(raw, "after", location, list, [])
    for entry in after:
        if type(entry) is not int or not 0 <= entry < number:
            raise BadJobError(
                f"{location}: after: give numbers of earlier steps"
            )
    return tuple(after)


def _get_typed(
    raw: Mapping[str, Any],
    name: str,
    location: str,
    expected_type: type,
    default: Any,
) -> Any:
    value = raw.get(name, default)
    if value is None:
        return default
    if type(value) is not expected_type:
        raise BadJobError(
            f"{location}: {name}: give a {expected_type.__name__}"
        )
    return value


def _get_number(raw: Mapping[str, Any], name: str, location: str) -> float:
    value = raw.get(name) or 0
    if type(value) not in (int, float) or not 0 <= value < 1e15:
        raise BadJobError(f"{location}: {name}: give a number of at least 0")
    return float(value)


def _get_count(raw: Mapping[str, Any], name: str, location: str) -> int:
    value = _get_number(raw, name, location)
    if value != int(value):
        raise BadJobError(f"{location}: {name}: give a whole number")
    return int(value)


def encode_state(value: jobs.JobState) -> bytes:
    """Encodes a job's state as a response body."""
    return json.dumps({"state": value.value}).encode()


def encode_pending(count: int) -> bytes:
    """Encodes the number of pending jobs of a queue as a response body."""
    return json.dumps({"pending": count}).encode()
