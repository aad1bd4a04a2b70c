"""Chooses instances for the tasks of a step.

Load pattern: many short tasks of a step become ready together and some larger
ones wait behind them. Packing each onto the fullest instance with room keeps
whole instances free for what is large, and empty ones free to be maintained
or moved; it also keeps work off an instance that fails everything it starts,
which is always the emptiest.
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
    """Returns the instances that may run a step at all now.

    Args:
        step: whose tasks are to be placed.
        instances: those of the step's pool.
        now: monotonic seconds.
        tickets: by instance, where only these may run it; None for no limit.
    """
    requires = step.step.requires
    return [
        instance
        for instance in instances
        if instance.usable(now)
        and (not requires or requires in instance.registration.labels)
        and (tickets is None or instance.name in tickets)
    ]


class Widest:
    """The most room that any of some instances has free, of each kind.

    In a turn that asks for more than there is, hundreds of steps wait for a
    pool without room, and each would look at each of its instances. What needs
    more than this fits on none of them.
    """

    def __init__(self, instances: Iterable[rooms.Instance]):
        """Looks at instances as they are now."""
        self._cpu = self._mem = self._gpu = -1
        for instance in instances:
            free = instance.free
            self._cpu = max(self._cpu, free.cpu)
            self._mem = max(self._mem, free.mem_mb)
            self._gpu = max(self._gpu, free.gpu)

    def admits(self, need: fleet.Resources) -> bool:
        """Whether one of them may have room for a need."""
        return (
            need.cpu <= self._cpu
            and need.mem_mb <= self._mem
            and need.gpu <= self._gpu
        )


def choose(step: book.OpenStep, candidates: Sequence[rooms.Instance]) -> Chosen:
    """Chooses an instance for each waiting task that finds room.

    A gang gets places for all its tasks or none.
    """
    if step.step.gang:
        return gang(step, candidates) if step.startable else []
    chosen: Chosen = []
    taken = _Tentative()
    for task in step.startable:
        instance = _best(step, task, candidates)
        if instance is None:
            if not task.avoid:
                break
            continue
        taken.add(step, task, instance)
        chosen.append((task, instance))
    taken.undo()
    return chosen


class _Tentative:
    """Room taken while a choice is being made, given back afterwards."""

    def __init__(self) -> None:
        self._added: list[tuple[rooms.Instance, rooms.RunKey]] = []

    def add(
        self, step: book.OpenStep, task: book.Task, instance: rooms.Instance
    ) -> None:
        """Takes room for a task."""
        # Run numbers begin at 1, so this key meets no real run.
        run = rooms.Run(task.name, 0, step.step, book.need(step.step), 0.0)
        instance.add(run)
        self._added.append((instance, run.key))

    def undo(self) -> None:
        """Gives all room back."""
        for instance, key in self._added:
            instance.remove(key)


def gang(step: book.OpenStep, candidates: Sequence[rooms.Instance]) -> Chosen:
    """Places a whole gang, on one rack where that serves it and is possible.

    A part of a gang would only hold room while it waits for the others.
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
    taken = _Tentative()
    for task in step.tasks:
        instance = _best(step, task, candidates)
        if instance is None:
            taken.undo()
            return []
        taken.add(step, task, instance)
        chosen.append((task, instance))
    taken.undo()
    return chosen


def _best(
    step: book.OpenStep,
    task: book.Task,
    candidates: Sequence[rooms.Instance],
) -> rooms.Instance | None:
    wanted = book.need(step.step)
    apart = step.step.anti_affinity
    near = step.step.affinity
    best: rooms.Instance | None = None
    best_rank: tuple[bool, bool, bool, int, str] | None = None
    for instance in candidates:
        if not instance.fits(wanted):
            continue
        if apart and instance.count_of(task.name) >= apart:
            continue
        rank = (
            instance.name in task.avoid or instance.slow,
            # A lasting task would soon have to leave it again.
            step.step.long_running and instance.due,
            bool(near) and near not in instance.registration.labels,
            instance.free_cpu,
            instance.name,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = instance, rank
    return best
