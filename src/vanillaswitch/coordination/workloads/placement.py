"""Plans where tasks run: urgent tasks first, within the teams' quotas.

Tasks are sized by their observed usage rather than by their declaration.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import worker_capacity
from vanillaswitch.state import config as config_lib


@dataclasses.dataclass(frozen=True)
class PlannerInput:
    """Everything that a plan depends on.

    Attributes:
        quotas: by team.
        used: resources by team, over all pools.
    """

    workers: tuple[worker_capacity.Worker, ...]
    placed: tuple[worker_capacity.PlacedTask, ...]
    pending: tuple[worker_capacity.PendingTask, ...]
    quotas: Mapping[str, task_rows.ResourceVector]
    used: Mapping[str, task_rows.ResourceVector]


@dataclasses.dataclass(frozen=True)
class Plan:
    """The decisions of one plan.

    Attributes:
        starts: worker by task.
        evictions: reason by task. An evicted task writes a checkpoint if it
            can, and is then stopped.
        cpu_shares: share of its processors by task, for throttled tasks.
        wait_reasons: reason by job that has tasks without a worker.
    """

    starts: Mapping[str, str]
    evictions: Mapping[str, str]
    cpu_shares: Mapping[str, float]
    wait_reasons: Mapping[str, str]


def plan(view: PlannerInput, config: config_lib.Config) -> Plan:
    """Returns what to start, evict and throttle now.

    Raises:
        errors.UnknownVariantError: the configuration names an order that is
            not registered.
    """
    planner = _Planner(
        view, worker_capacity.ORDERS.get(config.policies.placement)
    )
    planner.evict_from_overloaded_workers()
    for task in sorted(view.pending, key=_sort_key):
        planner.place(task)
    return planner.result()


def _sort_key(task: worker_capacity.PendingTask) -> tuple[bool, float, str]:
    """Sorts urgent tasks first, then large ones, which are harder to fit."""
    return (not task.urgent, -task.need.cores, task.name)


class _Planner:
    """Builds one plan step by step."""

    def __init__(self, view: PlannerInput, order: worker_capacity.Order):
        self._order = order
        self._quotas = view.quotas
        self._used = dict(view.used)
        self._capacities = {
            w.name: worker_capacity.WorkerCapacity(w, w.capacity)
            for w in view.workers
        }
        self._pools: dict[str, list[worker_capacity.WorkerCapacity]] = {}
        for _, capacity in sorted(self._capacities.items()):
            self._pools.setdefault(capacity.worker.pool, []).append(capacity)
        for placed in view.placed:
            self._add_placed(placed)
        self._starts: dict[str, str] = {}
        self._evictions: dict[str, str] = {}
        self._wait_reasons: dict[str, str] = {}

    def _add_placed(self, placed: worker_capacity.PlacedTask) -> None:
        capacity = self._capacities.get(placed.worker)
        if capacity is None:
            return
        capacity.free = capacity.free.minus(placed.need)
        if placed.is_stopping:
            capacity.releasing = capacity.releasing.plus(placed.need)
        else:
            capacity.active_tasks.append(placed)

    def evict_from_overloaded_workers(self) -> None:
        """Evicts tasks where the memory used exceeds that of the worker."""
        for capacity in self._capacities.values():
            used = sum(task.memory_mb_used for task in capacity.active_tasks)
            by_usage = sorted(
                capacity.active_tasks,
                key=lambda task: (task.urgent, -task.memory_mb_used),
            )
            for victim in by_usage[:-1]:
                if used <= capacity.worker.capacity.memory_mb:
                    break
                used -= victim.memory_mb_used
                self._evict(capacity, victim, "worker is out of memory")

    def place(self, task: worker_capacity.PendingTask) -> None:
        """Chooses a worker for one task, or records why its job waits."""
        # All tasks of a job are the same size: if one does not fit, neither
        # do the others.
        if task.job in self._wait_reasons:
            return
        used = self._used.get(task.team, task_rows.NO_RESOURCES).plus(task.need)
        if not used.fits_within(
            self._quotas.get(task.team, task_rows.NO_RESOURCES)
        ):
            self._wait_reasons[task.job] = f"quota of team {task.team} is used"
            return
        capacity = self._choose_worker(task)
        if capacity is None:
            self._wait_reasons[task.job] = f"pool {task.pool} has no room"
            return
        self._used[task.team] = used
        if task.need.fits_within(capacity.free) or _fits_with_throttling(
            task, capacity
        ):
            capacity.reserve(task)
            self._starts[task.name] = capacity.worker.name
            return
        self._preempt(task, capacity)

    def _choose_worker(
        self, task: worker_capacity.PendingTask
    ) -> worker_capacity.WorkerCapacity | None:
        schedulable = [
            c for c in self._pools.get(task.pool, []) if _is_schedulable(c)
        ]
        preferred = [
            c for c in schedulable if c.worker.name not in task.avoided_workers
        ]
        for candidates in (preferred, schedulable):
            fitting = [c for c in candidates if task.need.fits_within(c.free)]
            if fitting:
                return self._order(fitting, task.need)
        if not task.urgent:
            return None
        throttled = [c for c in schedulable if _fits_with_throttling(task, c)]
        if throttled:
            return max(throttled, key=lambda c: c.free_with_throttling().cores)
        return _choose_fewest_evictions(task, schedulable)

    def _preempt(
        self,
        task: worker_capacity.PendingTask,
        capacity: worker_capacity.WorkerCapacity,
    ) -> None:
        """Evicts tasks for an urgent one, which starts once they are gone."""
        self._wait_reasons.setdefault(task.job, "room is being made")
        for victim in _victims(task, capacity):
            self._evict(capacity, victim, f"makes room for urgent {task.name}")
        capacity.free = capacity.free.minus(task.need)

    def _evict(
        self,
        capacity: worker_capacity.WorkerCapacity,
        victim: worker_capacity.PlacedTask,
        reason: str,
    ) -> None:
        self._evictions[victim.name] = reason
        capacity.active_tasks.remove(victim)
        capacity.releasing = capacity.releasing.plus(victim.need)

    def result(self) -> Plan:
        """Returns the finished plan."""
        cpu_shares: dict[str, float] = {}
        for capacity in self._capacities.values():
            cpu_shares.update(_cpu_shares(capacity))
        return Plan(
            self._starts, self._evictions, cpu_shares, self._wait_reasons
        )


def _is_schedulable(capacity: worker_capacity.WorkerCapacity) -> bool:
    return capacity.worker.is_schedulable and capacity.accepts_starts()


def _fits_with_throttling(
    task: worker_capacity.PendingTask, capacity: worker_capacity.WorkerCapacity
) -> bool:
    return task.urgent and task.need.fits_within(
        capacity.free_with_throttling()
    )


def _victims(
    task: worker_capacity.PendingTask, capacity: worker_capacity.WorkerCapacity
) -> list[worker_capacity.PlacedTask]:
    """Returns the tasks to evict so that an urgent task fits.

    There are none where the tasks being stopped already free enough.
    """
    available = capacity.free_with_throttling().plus(capacity.releasing)
    victims = []
    for placed in sorted(
        capacity.active_tasks, key=lambda p: -p.need.memory_mb
    ):
        if task.need.fits_within(available):
            break
        if not placed.urgent:
            # ``available`` already counts the cores that throttling frees.
            throttling_gain = task_rows.ResourceVector(
                placed.need.cores * (1 - worker_capacity.MIN_CPU_SHARE), 0
            )
            available = available.plus(placed.need).minus(throttling_gain)
            victims.append(placed)
    return victims


def _choose_fewest_evictions(
    task: worker_capacity.PendingTask,
    candidates: Sequence[worker_capacity.WorkerCapacity],
) -> worker_capacity.WorkerCapacity | None:
    """Returns the worker where an urgent task evicts the fewest others."""
    feasible = []
    for capacity in candidates:
        kept = [t.need for t in capacity.active_tasks if t.urgent]
        left = capacity.worker.capacity
        for need in kept:
            left = left.minus(need)
        if task.need.fits_within(left):
            feasible.append(capacity)
    if not feasible:
        return None
    return min(feasible, key=lambda capacity: len(_victims(task, capacity)))


def _cpu_shares(capacity: worker_capacity.WorkerCapacity) -> dict[str, float]:
    """Returns the processor shares of a worker's throttled tasks.

    Urgent tasks are never throttled. The others all get the same share.
    """
    urgent = sum(t.need.cores for t in capacity.active_tasks if t.urgent)
    others = [task for task in capacity.active_tasks if not task.urgent]
    needed = sum(task.need.cores for task in others)
    left = capacity.worker.capacity.cores - urgent
    if needed <= left or not others:
        return {}
    share = max(worker_capacity.MIN_CPU_SHARE, left / needed)
    return {task.name: share for task in others}
