"""Jobs as documents of the table."""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any

import cattrs

from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable


@functools.cache
def _defaults() -> dict[str, Any]:
    return dataclasses.asdict(jobs.Step(count=0))


def pack(job: jobs.Job) -> dict[str, Any]:
    """Returns a job as a document; defaults of steps are left out."""
    document = dataclasses.asdict(job)
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


def unpack(document: Mapping[str, Any]) -> jobs.Job | unusable.Unusable:
    """Restores what ``pack`` returned."""
    try:
        job = cattrs.structure(dict(document), jobs.Job)
    except (cattrs.BaseValidationError, *unusable.WRONG_FIELDS) as error:
        return unusable.Unusable("; ".join(cattrs.transform_error(error)))
    if not job.steps:
        return unusable.Unusable("it has no steps")
    return job
