"""Chooses instances for the tasks of a step.

Load pattern: many short tasks of a step become ready together, and some larger
ones wait behind them. Best-fit packing puts each task on the fullest instance
that it fits on. That keeps whole instances free for large tasks, for
maintenance and for moves to other pools. It also keeps work off an instance
that fails everything it starts, because that instance is always the emptiest.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

Assignments = list[tuple[open_steps.Task, instance_state.Instance]]


def eligible_instances(
    step: open_steps.OpenStep,
    instances: Sequence[instance_state.Instance],
    tickets: Mapping[str, str] | None,
) -> Sequence[instance_state.Instance]:
    """Returns the instances that may run a step, whatever their capacity.

    Args:
        step: the step whose tasks are to be placed.
        instances: the instances of the step's pool that take new work.
        tickets: permits of the queue's advisor by instance; only these
            instances may run the step. None for no restriction.
    """
    requires = step.step.requires
    if not requires and tickets is None:
        return instances
    return [
        instance
        for instance in instances
        if (not requires or requires in instance.registration.labels)
        and (tickets is None or instance.name in tickets)
    ]


class MaxFreeCapacity:
    """The largest unreserved amount of each resource over some instances.

    A task that needs more fits on none of them. In a burst that demands more
    than the capacity, hundreds of steps wait for a full pool. Without this
    check each of them would look at every instance of the pool.

    Instances may be filled and taken away after the maximum was computed. It
    is an upper bound then.
    """

    def __init__(self, instances: Iterable[instance_state.Instance]):
        """Computes the maximum over the current state of some instances."""
        self._unfit: list[fleet.Resources] = []
        self.update(instances)

    def update(self, instances: Iterable[instance_state.Instance]) -> None:
        """Computes the maximum again, over the same or fewer instances."""
        self._cpu = self._mem = self._gpu = -1
        for instance in instances:
            free = instance.free
            self._cpu = max(self._cpu, free.cpu)
            self._mem = max(self._mem, free.mem_mb)
            self._gpu = max(self._gpu, free.gpu)

    def may_fit(self, need: fleet.Resources) -> bool:
        """Whether some instance may be able to fit a need.

        If this is false, none fits it. If it is true, there may still be no
        single instance with enough of every resource.
        """
        return (
            need.cpu <= self._cpu
            and need.mem_mb <= self._mem
            and need.gpu <= self._gpu
            and not any(_covers(need, unfit) for unfit in self._unfit)
        )

    def mark_unfit(self, need: fleet.Resources) -> None:
        """Records that no single instance fits a need."""
        self._unfit.append(need)


def _covers(a: fleet.Resources, b: fleet.Resources) -> bool:
    """Whether ``a`` is at least ``b`` in every resource."""
    return a.cpu >= b.cpu and a.mem_mb >= b.mem_mb and a.gpu >= b.gpu


def is_unrestricted(step: jobs.Step) -> bool:
    """Whether a task of a step may run wherever its demand fits."""
    return not (step.gang or step.requires or step.anti_affinity)


def choose_instances(
    step: open_steps.OpenStep,
    candidates: Sequence[instance_state.Instance],
    max_tasks: int,
) -> Assignments:
    """Chooses an instance for each waiting task that fits on one.

    Either all tasks of a gang get an instance or none of them does.

    Args:
        step: the step whose tasks are to be placed.
        candidates: the instances to choose from.
        max_tasks: how many of its tasks may start.
    """
    if step.step.gang:
        return place_gang(step, candidates) if step.has_startable_task else []
    chosen: Assignments = []
    reservations = _TentativeReservations()
    best_fit = _BestFit(step, candidates)
    for task in step.startable_tasks(max_tasks):
        if len(chosen) >= max_tasks:
            break
        instance = best_fit.choose(task)
        if instance is None:
            if not task.avoided_instances:
                break
            continue
        reservations.add(step, task, instance)
        chosen.append((task, instance))
    reservations.undo()
    return chosen


class _TentativeReservations:
    """Reservations made while instances are chosen, and undone afterwards."""

    def __init__(self) -> None:
        self._added: list[
            tuple[instance_state.Instance, instance_state.RunKey]
        ] = []

    def add(
        self,
        step: open_steps.OpenStep,
        task: open_steps.Task,
        instance: instance_state.Instance,
    ) -> None:
        """Reserves resources for a task."""
        # Run numbers start at 1, so this key differs from that of any real run.
        run = instance_state.Run(task.name, 0, step.step, step.demand, 0.0)
        instance.add_run(run)
        self._added.append((instance, run.key))

    def undo(self) -> None:
        """Releases all reservations."""
        for instance, key in self._added:
            instance.remove_run(key)


def place_gang(
    step: open_steps.OpenStep, candidates: Sequence[instance_state.Instance]
) -> Assignments:
    """Places a whole gang, on one rack if the step prefers it and one fits.

    If only some tasks of a gang were placed, they would block capacity while
    they wait for the others.
    """
    if step.waiting_count < step.step.count:
        return []
    groups: list[Sequence[instance_state.Instance]] = [candidates]
    if step.step.same_rack:
        racks = sorted({item.registration.rack for item in candidates})
        groups = [
            [item for item in candidates if item.registration.rack == rack]
            for rack in racks
        ] + groups
    for group in groups:
        chosen = _choose_all_or_none(step, group)
        if chosen:
            return chosen
    return []


def _choose_all_or_none(
    step: open_steps.OpenStep, candidates: Sequence[instance_state.Instance]
) -> Assignments:
    chosen: Assignments = []
    reservations = _TentativeReservations()
    best_fit = _BestFit(step, candidates)
    for task in step.tasks:
        instance = best_fit.choose(task)
        if instance is None:
            reservations.undo()
            return []
        reservations.add(step, task, instance)
        chosen.append((task, instance))
    reservations.undo()
    return chosen


def preference(
    step: open_steps.OpenStep,
    task: open_steps.Task,
    instance: instance_state.Instance,
) -> tuple[bool, bool, bool, int, str]:
    """Returns a key by which instances are sorted, the best one first.

    Args:
        step: the step of the task.
        task: the task to place.
        instance: an instance that the task fits on.
    """
    preferred_rack = step.step.affinity
    return (
        instance.name in task.avoided_instances or instance.is_straggler,
        # A wave would soon evict a long-running task from it.
        step.step.long_running and instance.is_maintenance_due,
        bool(preferred_rack)
        and preferred_rack not in instance.registration.labels,
        instance.free_cpu,
        instance.name,
    )


class _BestFit:
    """Chooses instances for the tasks of one step, one task after the other."""

    def __init__(
        self,
        step: open_steps.OpenStep,
        candidates: Sequence[instance_state.Instance],
    ):
        """Begins with the first task.

        Args:
            step: the step.
            candidates: the instances to choose from.
        """
        self._step = step
        self._candidates = candidates
        self._last: instance_state.Instance | None = None
        self._avoided: Set[str] = frozenset()

    def choose(self, task: open_steps.Task) -> instance_state.Instance | None:
        """Returns the best instance that a task fits on, None for none.

        The caller reserves the resources on it before it chooses for the next
        task. As fuller instances are better, the last one stays the best while
        another task fits on it. So most tasks of a wide step look at a single
        instance.
        """
        if (
            self._last is None
            or task.avoided_instances != self._avoided
            or not self._fits(self._last)
        ):
            self._avoided = set(task.avoided_instances)
            self._last = min(
                filter(self._fits, self._candidates),
                key=lambda instance: preference(self._step, task, instance),
                default=None,
            )
        return self._last

    def _fits(self, instance: instance_state.Instance) -> bool:
        limit = self._step.step.anti_affinity
        return instance.has_capacity_for(self._step.demand) and not (
            limit and instance.count_step_runs(self._step.task(0).name) >= limit
        )
