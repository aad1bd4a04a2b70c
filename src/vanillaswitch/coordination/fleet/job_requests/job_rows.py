"""Converts jobs to and from documents for table rows and messages.

Load pattern: a new owner of the fleet (the process that plans its tasks) reads
the rows of all jobs of the last minutes, most of which have ended, while its
network link also carries its lease renewals. The spec makes up 90 % of a job,
and only the start of a task needs it. So a long spec has a separate row,
written in the same transaction: reading 400 jobs takes 0.2 MB instead of
1.6 MB.
"""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any

import cattrs

from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

INLINE_SPEC_BYTES = 200
"""Largest size of a spec that is stored in the job's row. The key of a separate
row would take as much space."""

_SPEC = "spec"
_DIGEST = "spec_digest"
_ACCOUNT = "account"
_ATTEMPT_LIMIT = "attempt_limit"
_ADVICE = "advice"


@functools.cache
def _step_defaults() -> dict[str, Any]:
    return dataclasses.asdict(jobs.Step(count=0))


def job_to_row(job: jobs.Job) -> dict[str, Any]:
    """Returns the row of a job, without a long spec; see ``pack_spec``."""
    document = job_to_document(job)
    if _has_separate_spec(job):
        document[_SPEC], document[_DIGEST] = "", jobs.hash_spec(job.spec)
    return document


def job_to_document(job: jobs.Job) -> dict[str, Any]:
    """Returns a job as a document that includes its spec.

    Omits fields of steps that have their default value. Messages between
    processes contain this document, since the receiver may have to write both
    rows of the job.
    """
    document = dataclasses.asdict(job)
    if not job.spec_digest:
        del document[_DIGEST]
    if not job.account:
        del document[_ACCOUNT]
    if not job.attempt_limit:
        del document[_ATTEMPT_LIMIT]
    if job.advice is None:
        del document[_ADVICE]
    defaults = _step_defaults()
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
    """Returns the row of a long spec; None if the job's row contains it."""
    return {_SPEC: job.spec} if _has_separate_spec(job) else None


def unpack_spec(document: Mapping[str, Any]) -> str | unusable.Unusable:
    """Returns the spec from a document that ``pack_spec`` returned."""
    spec = document.get(_SPEC)
    if not isinstance(spec, str):
        return unusable.Unusable("its spec is missing or not a string")
    return spec


def account_of(document: Mapping[str, Any]) -> str:
    """Returns the client account in a job's row; empty for a public queue."""
    account = document.get(_ACCOUNT, "")
    return account if isinstance(account, str) else ""


def is_same_job(stored: Mapping[str, Any], document: Mapping[str, Any]) -> bool:
    """Whether a stored job and a submitted one are the same.

    They are if they have the same content and belong to the same client
    account.
    """
    submitted_fields = (
        _SPEC,
        "steps",
        "repeat_count",
        "first_run_ms",
        "interval_ms",
    )
    return (
        stored.get(_DIGEST, "") == document.get(_DIGEST, "")
        and account_of(stored) == account_of(document)
        and all(
            stored.get(name) == document.get(name) for name in submitted_fields
        )
    )


def _has_separate_spec(job: jobs.Job) -> bool:
    return len(job.spec.encode()) > INLINE_SPEC_BYTES


def row_to_job(document: Mapping[str, Any]) -> jobs.Job | unusable.Unusable:
    """Returns the job from a document of ``pack`` or ``pack_full``."""
    try:
        job = cattrs.structure(dict(document), jobs.Job)
    except (cattrs.BaseValidationError, *unusable.FIELD_ERRORS) as error:
        return unusable.Unusable("; ".join(cattrs.transform_error(error)))
    if not job.steps:
        return unusable.Unusable("it has no steps")
    return job
