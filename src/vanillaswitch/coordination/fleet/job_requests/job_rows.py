"""Converts jobs to and from rows of the table.

Load pattern: a new owner reads the rows of all jobs of the last minutes, most
of which have ended, while its link also carries its lease renewals. The spec
makes up 90 % of a job, and only the start of a task needs it. So a long spec
has a separate row, written in the same transaction: reading 400 jobs takes
0.2 MB instead of 1.6 MB.
"""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any

import cattrs

from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

INLINE_SPEC_BYTES = 200
"""A spec up to this size stays in the job's row: the key of a separate row
would take as much space."""

_SPEC = "spec"
_DIGEST = "spec_digest"


@functools.cache
def _defaults() -> dict[str, Any]:
    return dataclasses.asdict(jobs.Step(count=0))


def pack(job: jobs.Job) -> dict[str, Any]:
    """Returns the row of a job without a long spec, see ``pack_spec``."""
    document = pack_full(job)
    if _has_separate_spec(job):
        document[_SPEC], document[_DIGEST] = "", jobs.hash_spec(job.spec)
    return document


def pack_full(job: jobs.Job) -> dict[str, Any]:
    """Returns a job with its spec as a document; defaults are left out.

    Used in messages between processes: the receiver may have to write both
    rows of the job.
    """
    document = dataclasses.asdict(job)
    if not job.spec_digest:
        del document[_DIGEST]
    defaults = _defaults()
    document["steps"] = [
        {
            name: list(value) if isinstance(value, tuple) else value
            for name, value in step.items()
            if value != defaults[name]
        }
        for step in document["steps"]
    ]
    return document


def pack_spec(job: jobs.Job) -> dict[str, Any] | None:
    """Returns the row of a job's long spec; None for a short one."""
    return {_SPEC: job.spec} if _has_separate_spec(job) else None


def unpack_spec(document: Mapping[str, Any]) -> str | unusable.Unusable:
    """Returns the spec from a document that ``pack_spec`` returned."""
    spec = document.get(_SPEC)
    if not isinstance(spec, str):
        return unusable.Unusable("its spec is missing or not a string")
    return spec


def is_same_job(stored: Mapping[str, Any], document: Mapping[str, Any]) -> bool:
    """Whether two documents are repeated submissions of the same job."""
    submitted = (_SPEC, "steps", "repeat_count", "first_run_ms", "interval_ms")
    return stored.get(_DIGEST, "") == document.get(_DIGEST, "") and all(
        stored.get(name) == document.get(name) for name in submitted
    )


def _has_separate_spec(job: jobs.Job) -> bool:
    return len(job.spec.encode()) > INLINE_SPEC_BYTES


def unpack(document: Mapping[str, Any]) -> jobs.Job | unusable.Unusable:
    """Returns the job from a document of ``pack`` or ``pack_full``."""
    try:
        job = cattrs.structure(dict(document), jobs.Job)
    except (cattrs.BaseValidationError, *unusable.FIELD_ERRORS) as error:
        return unusable.Unusable("; ".join(cattrs.transform_error(error)))
    if not job.steps:
        return unusable.Unusable("it has no steps")
    return job
