"""Estimates of what tasks need, from observed usage and the declaration.

Declared sizes are wrong by a factor of 0.5 to 3. Reports lag, and a young task
may not have reached its full usage yet. A few samples can therefore only raise
the estimate above the declaration, never lower it.
"""

import dataclasses

from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

MIN_SAMPLES = 8
"""With fewer samples the estimate is at least the declaration."""

SAFETY_FACTOR = 1.2
"""Estimated need per observed peak usage."""

DECAY = 0.99
"""Factor by which the peak decays with each sample."""

MIN_SHARE_OF_DECLARED = 0.5
"""Tasks may need as little as this share of their declared size."""


@dataclasses.dataclass(frozen=True)
class ObservedUsage:
    """Peak usage of a task of one job; the peak decays with each sample."""

    cores: float = 0.0
    memory_mb: float = 0.0
    samples: int = 0


def observe(
    observed: ObservedUsage, report: platform.TaskReport, throttled: bool
) -> ObservedUsage:
    """Returns the usage after one more report of a running task.

    The processor usage of a throttled task does not show what it needs.
    """
    cores = 0.0 if throttled else report.cores_used
    decay = 1.0 if throttled else DECAY
    return ObservedUsage(
        max(cores, observed.cores * decay),
        max(float(report.memory_mb_used), observed.memory_mb * DECAY),
        observed.samples + 1,
    )


def estimate_need(
    job: config_lib.Job, observed: ObservedUsage
) -> task_rows.ResourceVector:
    """Returns the resources to reserve for one task of a job."""
    cores = observed.cores * SAFETY_FACTOR
    memory_mb = observed.memory_mb * SAFETY_FACTOR
    if observed.samples < MIN_SAMPLES:
        cores = max(cores, job.cores)
        memory_mb = max(memory_mb, job.memory_mb)
    return task_rows.ResourceVector(cores, round(memory_mb), job.accelerators)


def min_need(job: config_lib.Job) -> task_rows.ResourceVector:
    """Returns the least that a task with this declaration may need."""
    return task_rows.ResourceVector(
        job.cores * MIN_SHARE_OF_DECLARED,
        round(job.memory_mb * MIN_SHARE_OF_DECLARED),
        job.accelerators,
    )


def cap_need(
    need: task_rows.ResourceVector, capacity: task_rows.ResourceVector
) -> task_rows.ResourceVector:
    """Returns a need whose cores and memory do not exceed a capacity."""
    return task_rows.ResourceVector(
        min(need.cores, capacity.cores),
        min(need.memory_mb, capacity.memory_mb),
        need.accelerators,
    )
