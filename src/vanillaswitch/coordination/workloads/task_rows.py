"""Task rows: the intent to start a task, and the state of its run.

The row of a task is written before its start is sent. It holds the operation
id, which a worker starts at most once. The next holder of the duty finds the
row and sends the same start again. The row is deleted once the task has ended.
"""

import dataclasses

from vanillaswitch.protocol import platform

LEASE_S = 15.0
"""Term of a task's lease on its worker; outlasts a change of controller."""

EXPIRY_MARGIN = 1.2
"""Terms without a renewal after which a lease has expired on any clock."""

RENEWALS_PER_TERM = 3

TERMINAL_STATES = frozenset(platform.ReportedTaskState) - {
    platform.ReportedTaskState.RUNNING
}
"""A task in one of these states never runs again."""


@dataclasses.dataclass(frozen=True)
class ResourceVector:
    """Resources: what a task needs, a worker has or a team may use."""

    cores: float
    memory_mb: int
    accelerators: int = 0

    def plus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns the sum."""
        return ResourceVector(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "ResourceVector") -> "ResourceVector":
        """Returns the difference, which may be negative."""
        return ResourceVector(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_within(self, capacity: "ResourceVector") -> bool:
        """Returns whether no resource exceeds ``capacity``."""
        return (
            self.cores <= capacity.cores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )


NO_RESOURCES = ResourceVector(0.0, 0)


@dataclasses.dataclass(frozen=True)
class Task:
    """``task/<name>``: a task that is starting, running or being stopped.

    Attributes:
        index: number of the task within its job, from 0.
        operation: id of its start.
        need: resources reserved for it when it was placed.
        checkpoint: checkpoint to resume from; empty for none.
        stopping: why it is being stopped; empty while it should run.
    """

    job: str
    index: int
    pool: str
    team: str
    worker: str
    operation: str
    need: ResourceVector
    checkpoint: str = ""
    stopping: str = ""


def name(job: str, index: int) -> str:
    """Returns the unique name of a job's task."""
    return f"{job}/{index}"


def spec(task: Task) -> platform.TaskSpec:
    """Returns the start request for the worker, identical on each retry."""
    return platform.TaskSpec(
        task=name(task.job, task.index),
        job=task.job,
        operation=task.operation,
        cores=task.need.cores,
        memory_mb=task.need.memory_mb,
        accelerators=task.need.accelerators,
        lease_s=LEASE_S,
        checkpoint=task.checkpoint,
    )
