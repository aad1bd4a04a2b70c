"""Chooses instances for the tasks of a step.

Load pattern: many short tasks of a step become ready together, and some larger
ones wait behind them. Best-fit packing puts each task on the fullest instance
that can hold it. That keeps whole instances free for large tasks, and empty
ones free for maintenance or moves. It also keeps work off an instance that
fails everything it starts, since that instance is always the emptiest.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from vanillaswitch.coordination.fleet.queue import book
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet

Chosen = list[tuple[book.Task, rooms.Instance]]


def eligible(
    step: book.OpenStep,
    instances: Iterable[rooms.Instance],
    now: float,
    tickets: Mapping[str, str] | None,
) -> list[rooms.Instance]:
    """Returns the instances that may run a step now, whatever their capacity.

    Args:
        step: the step whose tasks are to be placed.
        instances: the instances of the step's pool.
        now: monotonic seconds.
        tickets: tickets by instance; only these instances may run the step.
            None for no restriction.
    """
    requires = step.step.requires
    return [
        instance
        for instance in instances
        if instance.usable(now)
        and (not requires or requires in instance.registration.labels)
        and (tickets is None or instance.name in tickets)
    ]


class MaxFree:
    """The largest unreserved amount of each resource over some instances.

    A task that needs more fits on none of them. In a burst that demands more
    than the capacity, hundreds of steps wait for a full pool. Without this
    check each of them would look at every instance of the pool.
    """

    def __init__(self, instances: Iterable[rooms.Instance]):
        """Takes the maximum over the current state of some instances."""
        self._cpu = self._mem = self._gpu = -1
        for instance in instances:
            free = instance.free
            self._cpu = max(self._cpu, free.cpu)
            self._mem = max(self._mem, free.mem_mb)
            self._gpu = max(self._gpu, free.gpu)

    def may_fit(self, need: fleet.Resources) -> bool:
        """Whether a need may fit on one of the instances."""
        return (
            need.cpu <= self._cpu
            and need.mem_mb <= self._mem
            and need.gpu <= self._gpu
        )


def choose(step: book.OpenStep, candidates: Sequence[rooms.Instance]) -> Chosen:
    """Chooses an instance for each waiting task that fits on one.

    Either all tasks of a gang get an instance or none of them does.
    """
    if step.step.gang:
        return place_gang(step, candidates) if step.startable_tasks else []
    chosen: Chosen = []
    reservations = _TentativeReservations()
    for task in step.startable_tasks:
        instance = _best(step, task, candidates)
        if instance is None:
            if not task.avoid:
                break
            continue
        reservations.add(step, task, instance)
        chosen.append((task, instance))
    reservations.undo()
    return chosen


class _TentativeReservations:
    """Reservations made while instances are chosen, and undone afterwards."""

    def __init__(self) -> None:
        self._added: list[tuple[rooms.Instance, rooms.RunKey]] = []

    def add(
        self, step: book.OpenStep, task: book.Task, instance: rooms.Instance
    ) -> None:
        """Reserves resources for a task."""
        # Run numbers start at 1, so this key differs from that of any real run.
        run = rooms.Run(task.name, 0, step.step, book.need(step.step), 0.0)
        instance.add(run)
        self._added.append((instance, run.key))

    def undo(self) -> None:
        """Releases all reservations."""
        for instance, key in self._added:
            instance.remove(key)


def place_gang(
    step: book.OpenStep, candidates: Sequence[rooms.Instance]
) -> Chosen:
    """Places a whole gang, on one rack if the step prefers it and one fits.

    A part of a gang would only block capacity while it waits for the others.
    """
    if any(task.state is not book.TaskState.WAITING for task in step.tasks):
        return []
    groups: list[Sequence[rooms.Instance]] = [candidates]
    if step.step.same_rack:
        racks = sorted({item.registration.rack for item in candidates})
        groups = [
            [item for item in candidates if item.registration.rack == rack]
            for rack in racks
        ] + groups
    for group in groups:
        chosen = _all_or_none(step, group)
        if chosen:
            return chosen
    return []


def _all_or_none(
    step: book.OpenStep, candidates: Sequence[rooms.Instance]
) -> Chosen:
    chosen: Chosen = []
    reservations = _TentativeReservations()
    for task in step.tasks:
        instance = _best(step, task, candidates)
        if instance is None:
            reservations.undo()
            return []
        reservations.add(step, task, instance)
        chosen.append((task, instance))
    reservations.undo()
    return chosen


def _best(
    step: book.OpenStep,
    task: book.Task,
    candidates: Sequence[rooms.Instance],
) -> rooms.Instance | None:
    need = book.need(step.step)
    max_per_instance = step.step.anti_affinity
    preferred_rack = step.step.affinity
    best: rooms.Instance | None = None
    best_rank: tuple[bool, bool, bool, int, str] | None = None
    for instance in candidates:
        if not instance.fits(need):
            continue
        if (
            max_per_instance
            and instance.count_of(task.name) >= max_per_instance
        ):
            continue
        rank = (
            instance.name in task.avoid or instance.slow,
            # A wave would soon evict a long-running task from it.
            step.step.long_running and instance.due,
            bool(preferred_rack)
            and preferred_rack not in instance.registration.labels,
            instance.free_cpu,
            instance.name,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = instance, rank
    return best
