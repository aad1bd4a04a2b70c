"""Decides which instances are kept free for tasks that need more room.

Load pattern: a pool is full of short tasks, and a larger long-running task
waits. Short tasks use up any capacity that becomes free, so the larger one
would starve while small ones arrive. An instance that is reserved for it gets
no other new work and has room once the short tasks that run there have ended.

A reserved instance serves nobody meanwhile, so lack of room has to be the only
thing that keeps the task from starting. A task that waits for a limit, for room
in the row of its job or for the other members of its gang reserves nothing. A
plan reserves instances after it has placed what fits. So a task that still
waits beside an instance with room for it waits for something else, whatever
that is.
"""

from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import tickets as ticket_book

MAX_RESERVED_SHARE = 0.5
"""Largest share of a pool that is reserved at a time, one instance at least.
The rest of the pool goes on with work that can start."""

TICKET_WAIT_S = 3.0
"""How long an instance is reserved for a step without a ticket. An advisor that
answers does so within a second; one that does not may be away for minutes."""


@dataclasses.dataclass(frozen=True)
class KnownTickets:
    """What the advisor of a step said of the instances.

    Attributes:
        usable: instances for which there is a usable ticket.
        unsuitable: instances that may not run the step.
    """

    usable: Collection[str]
    unsuitable: Collection[str]


class TicketWaits:
    """How long steps have waited for their first usable ticket."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self._since: dict[ticket_book.StepKey, float] = {}

    def may_reserve(
        self, step: ticket_book.StepKey, has_ticket: bool, now: float
    ) -> bool:
        """Whether an instance may be reserved for a step.

        Args:
            step: the step, which has an advisor.
            has_ticket: whether it has a usable ticket.
            now: monotonic seconds.
        """
        if has_ticket:
            self._since.pop(step, None)
            return True
        return now - self._since.setdefault(step, now) < TICKET_WAIT_S

    def retain(self, steps: Collection[ticket_book.StepKey]) -> None:
        """Forgets all other steps."""
        self._since = {
            step: since for step, since in self._since.items() if step in steps
        }


class PoolReservations:
    """The reserved instances of one pool during a plan."""

    def __init__(self, pool_size: int):
        """Creates the record of a pool without reserved instances.

        Args:
            pool_size: number of its instances that take new work.
        """
        self._max_count = max(1, int(pool_size * MAX_RESERVED_SHARE))
        self.by_step: dict[ticket_book.StepKey, instance_state.Instance] = {}

    @property
    def is_full(self) -> bool:
        """Whether no more instances may be reserved."""
        return len(self.by_step) >= self._max_count

    def allows(self, step: open_steps.OpenStep) -> bool:
        """Whether an instance may be reserved for a step."""
        return step.key not in self.by_step and not self.is_full

    def add(
        self, step: open_steps.OpenStep, instance: instance_state.Instance
    ) -> None:
        """Records the instance that is reserved for a step."""
        self.by_step[step.key] = instance


def choose_instance(
    step: open_steps.OpenStep,
    instances: Sequence[instance_state.Instance],
    tickets: KnownTickets | None,
    now: float,
) -> instance_state.Instance | None:
    """Returns an instance to reserve until a long-running task fits on it.

    The instance with the most unreserved capacity has enough of it soon: once
    the short tasks that run on it have ended.

    Args:
        step: a step of which tasks wait and may start. The plan has placed
            those for which it found room.
        instances: the instances of its pool that are not reserved.
        tickets: what its advisor said; None if it has none.
        now: monotonic seconds.

    Returns:
        The instance. None if none would have room once its short tasks have
        ended, or if something else than room keeps the tasks from starting.
    """
    task = step.first_waiting_task
    candidates = [
        instance
        for instance in instances
        if instance.fits_beside_long_running_tasks(
            step.step, task.name, step.demand, now
        )
        and (tickets is None or instance.name not in tickets.unsuitable)
    ]
    startable = candidates
    if tickets is not None:
        startable = [item for item in candidates if item.name in tickets.usable]
        candidates = startable or candidates
    if step.step.gang:
        if step.waiting_count < step.step.count:
            return None
        if _gang_fits(step, startable, beside_short_tasks=True):
            return None
        if not _gang_fits(step, candidates, beside_short_tasks=False):
            return None
    elif any(item.has_capacity_for(step.demand) for item in startable):
        return None
    return max(
        candidates,
        # Keep the same instance unless another one has more free capacity. If
        # the reservation alternated between two, small tasks would fill both of
        # them.
        key=lambda item: (
            item.free_share(step.demand),
            item.name == step.reserved_instance,
        ),
        default=None,
    )


def _gang_fits(
    step: open_steps.OpenStep,
    instances: Sequence[instance_state.Instance],
    *,
    beside_short_tasks: bool,
) -> bool:
    """Whether some instances have room for all tasks of a gang.

    Args:
        step: the step.
        instances: the instances that may run it.
        beside_short_tasks: whether the short tasks that run there keep their
            capacity.
    """
    missing = step.step.count
    limit = step.step.anti_affinity
    for instance in instances:
        fitting = instance.fitting_count(
            step.demand, beside_short_tasks=beside_short_tasks
        )
        if limit:
            present = instance.count_step_runs(step.task(0).name)
            fitting = min(fitting, limit - present)
        missing -= max(0, fitting)
        if missing <= 0:
            return True
    return False
