"""Workers with their free capacity, and the orders that choose among them."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.internal import registry

MAX_UNPROVEN_TASKS = 4
"""Most tasks on a worker on which no task is known to run yet."""

MIN_CPU_SHARE = 0.1
"""A throttled task keeps this share of its processors, so it progresses."""


@dataclasses.dataclass(frozen=True)
class Worker:
    """A worker of a pool.

    Attributes:
        capacity: its total resources.
        is_schedulable: it takes new tasks: it serves, is not cordoned, is not
            moving to another pool and has not just refused a start.
        is_proven: a task is reported as running there.
    """

    name: str
    pool: str
    capacity: task_rows.ResourceVector
    is_schedulable: bool = True
    is_proven: bool = True


@dataclasses.dataclass(frozen=True)
class PlacedTask:
    """A task on a worker.

    Attributes:
        need: resources reserved for it.
        memory_mb_used: memory usage in its last report.
    """

    name: str
    worker: str
    need: task_rows.ResourceVector
    urgent: bool = False
    is_stopping: bool = False
    memory_mb_used: int = 0


@dataclasses.dataclass(frozen=True)
class PendingTask:
    """A task that has no worker yet.

    Attributes:
        avoided_workers: workers on which its job failed.
    """

    name: str
    job: str
    pool: str
    team: str
    need: task_rows.ResourceVector
    urgent: bool = False
    avoided_workers: frozenset[str] = frozenset()


@dataclasses.dataclass
class WorkerCapacity:
    """Capacity of one worker while a plan is made.

    Attributes:
        free: unreserved resources. Urgent tasks may overcommit the
            processors, so that the cores become negative.
        releasing: reserved for tasks that are being stopped.
        active_tasks: tasks that are not being stopped, including those that
            the plan starts.
    """

    worker: Worker
    free: task_rows.ResourceVector
    releasing: task_rows.ResourceVector = task_rows.NO_RESOURCES
    active_tasks: list[PlacedTask] = dataclasses.field(default_factory=list)
    starts: int = 0

    def accepts_starts(self) -> bool:
        """Returns whether the worker may get another task.

        A worker on which no task is known to run yet gets only a few.
        """
        return (
            self.worker.is_proven or len(self.active_tasks) < MAX_UNPROVEN_TASKS
        )

    def reserve(self, task: PendingTask) -> None:
        """Reserves the resources of a task."""
        self.free = self.free.minus(task.need)
        self.active_tasks.append(
            PlacedTask(task.name, self.worker.name, task.need, task.urgent)
        )

    def free_with_throttling(self) -> task_rows.ResourceVector:
        """Returns what is free once all tasks but urgent ones are throttled."""
        cores = sum(t.need.cores for t in self.active_tasks if not t.urgent)
        gained = task_rows.ResourceVector(cores * (1 - MIN_CPU_SHARE), 0)
        return self.free.plus(gained)


Order = Callable[
    [Sequence[WorkerCapacity], task_rows.ResourceVector], WorkerCapacity
]
"""Chooses one of several workers that all have capacity, sorted by name."""

ORDERS: registry.Registry[Order] = registry.Registry("placement order")


@ORDERS.register("first-fit")
def first_fit(
    candidates: Sequence[WorkerCapacity], need: task_rows.ResourceVector
) -> WorkerCapacity:
    """Returns the first worker by name; the baseline."""
    del need
    return candidates[0]


@ORDERS.register("best-fit")
def best_fit(
    candidates: Sequence[WorkerCapacity], need: task_rows.ResourceVector
) -> WorkerCapacity:
    """Returns the worker with the least left over.

    This keeps large blocks of capacity unfragmented.
    """

    def left_over(candidate: WorkerCapacity) -> float:
        left = candidate.free.minus(need)
        capacity = candidate.worker.capacity
        return left.cores / capacity.cores + left.memory_mb / capacity.memory_mb

    return min(candidates, key=left_over)
