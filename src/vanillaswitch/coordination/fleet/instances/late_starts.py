"""Starts that got no answer and may still be executed.

An instance executes an order that it did not answer up to ``MAX_ORDER_DELAY_S``
later, or does not execute it at all. As long as it stays up it refuses the
order if the run is over. If it has restarted under its id meanwhile, it knows
of no earlier run and no fencing token, and executes the order. This is also the
case if another copy of the start was answered, and after several restarts. So
the starts are kept by the id of the instance, and not in the record of one of
its incarnations.
"""

import dataclasses

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import jobs

MAX_STARTS_PER_INSTANCE = 1000
"""Starts that are kept for one instance. If there are more, all tasks count as
if a copy of their start could still be executed there."""


@dataclasses.dataclass(frozen=True)
class LateStart:
    """A start that may still be executed.

    Attributes:
        instance: id of the instance that it was sent to.
        key: task and run.
        until: monotonic seconds after which it can't be executed any more.
    """

    instance: str
    key: instance_state.RunKey
    until: float


@dataclasses.dataclass(frozen=True)
class DeferredTask:
    """A task whose run is over and whose start may still be executed.

    Attributes:
        instance: id of the instance that may execute it, if it restarts.
        run: number of the run that is over.
        until: monotonic seconds after which it can't be executed any more.
    """

    instance: str
    run: int
    until: float


class LateStarts:
    """The starts that may still be executed, by id of their instance."""

    def __init__(self) -> None:
        """Starts without any."""
        self._until: dict[str, dict[instance_state.RunKey, float]] = {}
        self._any_task_until: dict[str, float] = {}

    def add(
        self, instance: str, key: instance_state.RunKey, sent_at: float
    ) -> bool:
        """Keeps a start until it can't be executed any more.

        Args:
            instance: id of the instance.
            key: task and run.
            sent_at: monotonic seconds by which a copy was sent.

        Returns:
            Whether it was not kept before.
        """
        until = sent_at + instance_state.MAX_ORDER_DELAY_S
        starts = self._until.setdefault(instance, {})
        is_new = key not in starts
        if is_new and len(starts) >= MAX_STARTS_PER_INSTANCE:
            self._any_task_until[instance] = until
            return False
        starts[key] = max(until, starts.get(key, until))
        return is_new

    def until(self, instance: str, task: jobs.TaskName) -> float:
        """Returns until when a start of a task may still be executed.

        Args:
            instance: id of the instance.
            task: the task.

        Returns:
            Monotonic seconds, also if they are over; minus infinity for none.
        """
        ends = [
            until
            for (of, _), until in self._until.get(instance, {}).items()
            if of == task
        ]
        ends.append(self._any_task_until.get(instance, float("-inf")))
        return max(ends)

    def of_instance(
        self, instance: str, now: float
    ) -> list[instance_state.RunKey]:
        """Returns the runs whose start an instance may still execute."""
        starts = self._until.get(instance, {})
        return [key for key, until in starts.items() if now <= until]

    def drop_expired(self, now: float) -> list[LateStart]:
        """Removes and returns the starts that can't be executed any more."""
        expired = [
            LateStart(instance, key, until)
            for instance, starts in self._until.items()
            for key, until in starts.items()
            if now > until
        ]
        for late in expired:
            starts = self._until[late.instance]
            del starts[late.key]
            if not starts:
                del self._until[late.instance]
        self._any_task_until = {
            instance: until
            for instance, until in self._any_task_until.items()
            if now <= until
        }
        return expired
