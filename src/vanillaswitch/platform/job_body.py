"""The bodies of the clients' calls: jobs, their states, lengths of queues."""

from collections.abc import Mapping
import json
from typing import Any

from vanillaswitch.protocol import jobs

MAX_SPEC_BYTES = 4000
MAX_STEPS = 100
MAX_TASKS = 10_000

JSON_TYPE = (("Content-Type", "application/json"),)


class BadJobError(ValueError):
    """The body is no job; the message names the field."""


_COUNTS = {
    "cpu": "cpu",
    "mem_mb": "mem_mb",
    "gpu": "gpu",
    "anti_affinity": "anti_affinity",
    "may_miss": "may_miss",
}
_FLAGS = {
    "gang": "gang",
    "same_rack": "same_rack",
    "checkpointable": "checkpointable",
    "speculative": "speculative",
    "long_running": "long_running",
    "fills": "fills",
}
_TEXTS = {"requires": "requires", "affinity": "affinity", "image": "image"}
_TIMES = {"estimate_ms": "estimate_ms", "target_ms": "target_ms"}
_STEP_FIELDS = {"count", "after", *_COUNTS, *_FLAGS, *_TEXTS, *_TIMES}
_JOB_FIELDS = {
    "spec",
    "steps",
    "repeat_count",
    "first_run_ms",
    "interval_ms",
}


def parse(
    body: bytes,
    job_id: str,
    queue: str,
    service: str,
    submitted_ms: int,
    submitted_wall_ms: float = 0,
) -> jobs.Job:
    """Decodes a job as a client hands it in.

    Args:
        body: what the client sent.
        job_id: the job's id.
        queue: name of its queue.
        service: pool of that queue.
        submitted_ms: see ``jobs.Job``.
        submitted_wall_ms: see ``jobs.Job``.

    Raises:
        BadJobError: a field is unknown, missing or out of bounds.
    """
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadJobError(f"the body is not JSON: {error}") from None
    _only(raw, _JOB_FIELDS, "the job")
    spec = raw.get("spec", "")
    if not isinstance(spec, str) or not _is_short_text(spec):
        raise BadJobError(
            f"spec: give a text of at most {MAX_SPEC_BYTES} bytes"
        )
    rows = raw.get("steps")
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_STEPS:
        raise BadJobError(f"steps: give a list of 1 to {MAX_STEPS} steps")
    steps = tuple(_step(row, number) for number, row in enumerate(rows))
    if sum(step.count for step in steps) > MAX_TASKS:
        raise BadJobError(f"steps: give at most {MAX_TASKS} tasks in all")
    return jobs.Job(
        job_id=job_id,
        queue=queue,
        service=service,
        spec=spec,
        steps=steps,
        submitted_ms=submitted_ms,
        repeat_count=_count(raw, "repeat_count", "the job"),
        first_run_ms=_number(raw, "first_run_ms", "the job"),
        interval_ms=_number(raw, "interval_ms", "the job"),
        submitted_wall_ms=submitted_wall_ms,
    )


def _is_short_text(spec: str) -> bool:
    """Whether a spec is at most so long, in UTF-8.

    JSON may spell half of a surrogate pair, which no UTF-8 text holds; it
    ended the request without an answer that says so.
    """
    try:
        return len(spec.encode()) <= MAX_SPEC_BYTES
    except UnicodeEncodeError:
        return False


def _only(raw: Any, fields: set[str], where: str) -> None:
    if not isinstance(raw, dict):
        raise BadJobError(f"{where}: give a JSON object")
    unknown = sorted(raw.keys() - fields)
    if unknown:
        raise BadJobError(f"{where}: unknown field {unknown[0]!r}")


def _step(raw: Any, number: int) -> jobs.Step:
    where = f"step {number}"
    _only(raw, _STEP_FIELDS, where)
    values: dict[str, Any] = {}
    for name, field in _COUNTS.items():
        values[field] = _count(raw, name, where)
    for name, field in _TIMES.items():
        values[field] = _number(raw, name, where)
    for name, field in _FLAGS.items():
        values[field] = _typed(raw, name, where, bool, False)
    for name, field in _TEXTS.items():
        values[field] = _typed(raw, name, where, str, "")
    count = _count(raw, "count", where)
    if not count:
        raise BadJobError(f"{where}: count: give a number of at least 1")
    return jobs.Step(count=count, after=_after(raw, number), **values)


def _after(raw: Mapping[str, Any], number: int) -> tuple[int, ...]:
    """Reads earlier steps only, so that no cycle can be expressed."""
    where = f"step {number}"
    after = _typed(raw, "after", where, list, [])
    for entry in after:
        if type(entry) is not int or not 0 <= entry < number:
            raise BadJobError(f"{where}: after: give numbers of earlier steps")
    return tuple(after)


def _typed(
    raw: Mapping[str, Any], name: str, where: str, kind: type, default: Any
) -> Any:
    value = raw.get(name, default)
    if value is None:
        return default
    if type(value) is not kind:
        raise BadJobError(f"{where}: {name}: give a {kind.__name__}")
    return value


def _number(raw: Mapping[str, Any], name: str, where: str) -> float:
    value = raw.get(name) or 0
    if type(value) not in (int, float) or not 0 <= value < 1e15:
        raise BadJobError(f"{where}: {name}: give a number of at least 0")
    return float(value)


def _count(raw: Mapping[str, Any], name: str, where: str) -> int:
    value = _number(raw, name, where)
    if value != int(value):
        raise BadJobError(f"{where}: {name}: give a whole number")
    return int(value)


def state(value: jobs.JobState) -> bytes:
    """Encodes a job's state."""
    return json.dumps({"state": value.value}).encode()


def pending(count: int) -> bytes:
    """Encodes the length of a queue."""
    return json.dumps({"pending": count}).encode()
