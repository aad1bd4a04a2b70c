"""Jobs as documents of the table.

Load pattern: a new owner reads the rows of all jobs of the last minutes, most
of which have ended, while its link also carries its renewals. A spec makes up
nine tenths of a job, and only the start of a task needs it. So a long one lies
in a row of its own, written in the same transaction: 400 jobs are 0.2 MB to
read in place of 1.6 MB.
"""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any

import cattrs

from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

INLINE_SPEC_BYTES = 200
"""A spec up to this size stays in the job's row: a row of its own takes as
much for its address alone."""

_SPEC = "spec"
_DIGEST = "spec_digest"


@functools.cache
def _defaults() -> dict[str, Any]:
    return dataclasses.asdict(jobs.Step(count=0))


def pack(job: jobs.Job) -> dict[str, Any]:
    """Returns a job's row: all but a long spec, see ``pack_spec``."""
    document = pack_whole(job)
    if _is_apart(job):
        document[_SPEC], document[_DIGEST] = "", jobs.digest(job.spec)
    return document


def pack_whole(job: jobs.Job) -> dict[str, Any]:
    """Returns a whole job as a document; defaults are left out.

    For messages between processes: whoever gets it may have to write both of
    the job's rows.
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
    """Returns the document of a job's long spec; None for a short one."""
    return {_SPEC: job.spec} if _is_apart(job) else None


def unpack_spec(document: Mapping[str, Any]) -> str | unusable.Unusable:
    """Restores what ``pack_spec`` returned."""
    spec = document.get(_SPEC)
    if not isinstance(spec, str):
        return unusable.Unusable("it holds no spec")
    return spec


def same(stored: Mapping[str, Any], document: Mapping[str, Any]) -> bool:
    """Whether two documents are of one job that was handed in twice."""
    given = (_SPEC, "steps", "repeat_count", "first_run_ms", "interval_ms")
    return stored.get(_DIGEST, "") == document.get(_DIGEST, "") and all(
        stored.get(name) == document.get(name) for name in given
    )


def _is_apart(job: jobs.Job) -> bool:
    return len(job.spec.encode()) > INLINE_SPEC_BYTES


def unpack(document: Mapping[str, Any]) -> jobs.Job | unusable.Unusable:
    """Restores what ``pack`` returned."""
    try:
        job = cattrs.structure(dict(document), jobs.Job)
    except (cattrs.BaseValidationError, *unusable.WRONG_FIELDS) as error:
        return unusable.Unusable("; ".join(cattrs.transform_error(error)))
    if not job.steps:
        return unusable.Unusable("it has no steps")
    return job
