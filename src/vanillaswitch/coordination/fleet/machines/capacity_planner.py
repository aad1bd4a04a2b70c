"""Decides which machines move to another pool, and when.

Load pattern: each queue has its tasks run by one pool. Queues have bursts, one
queue after the other. During a burst, which takes some seconds, a queue needs
several times its mean capacity, more than its pool has. Otherwise it needs a
fraction of the mean. The fleet as a whole has enough capacity. A moving machine
is out of service for one to two seconds, and a move costs as much as one to two
seconds of a machine. A machine in a pool costs money whether it is used or not.
A machine in the standby pool is off. So the planner moves machines as soon as
the load rises, takes them from pools where they are idle, and moves them to
standby when no pool has needed them for a while.

The demand of a pool is the CPU that its running and waiting tasks request, plus
the expected growth until a machine arrives. Recent growth is the first sign of
a burst, seconds before the pool is full.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from vanillaswitch.coordination.fleet.machines import pool_allocation
from vanillaswitch.coordination.fleet.queue import queue_order


@dataclasses.dataclass(frozen=True)
class ScalingPolicy:
    """Parameters of the capacity planner.

    Attributes:
        utilisation: target share of a pool's CPU that is in use. Below 1,
            since tasks of one to five cores leave gaps on 16 cores.
        growth_window_s: window over which growth is measured. Several jobs of a
            burst arrive in that time.
        look_ahead_s: minimum time over which growth is extrapolated. It is
            about half of the duration of a move: short tasks that end during
            the move free capacity for the rest.
        longest_look_ahead_s: maximum of the same, for tasks that run longer
            than a machine takes to arrive (1.5 s for the move, 0.5 s until it
            is listed). Such tasks, started now, still run when it arrives.
        most_growth: limit on the growth, as a multiple of
            ``PoolLoad.arrival_growth``. One large job is not a burst: without
            the limit a pool of 19 machines briefly required 52, and kept seven
            too many for 3 to 5 s.
        idle_s: how long a pool must have a surplus before a machine moves to
            standby. Over that time an idle machine costs as much as a move.
        settle_s: how long a planner that sees no short tasks moves no machine
            to standby. Until then, the pools in which operators placed the
            machines are the best estimate of the coming load.
        familiar_s: delay from the first short tasks that the planner sees until
            it may move machines to standby. A new owner receives all running
            tasks within half a second. The rest of the delay is for instances
            that answer late: until they do, their machines seem idle.
    """

    utilisation: float = 0.9
    growth_window_s: float = 0.5
    look_ahead_s: float = 0.8
    longest_look_ahead_s: float = 2.0
    most_growth: float = 1.0
    idle_s: float = 1.5
    settle_s: float = 15.0
    familiar_s: float = 2.0


DEFAULT_POLICY = ScalingPolicy()


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """Load and capacity of one pool.

    Attributes:
        demand_cpu: thousandths of a core that tasks use or wait for.
        min_machines: machines that the pool needs at any load, for tasks that
            may not share an instance.
        machine_count: machines that serve the pool or are moving to it.
        idle_machines: its machines that run nothing. Machines at the start are
            moved to other pools first, machines at the end to standby.
        machine_cpu: full capacity of one machine, thousandths of a core.
        mean_task_s: mean estimated duration of its short tasks, seconds.
        surge_machines: machines that the pool gets in addition to those it
            needs, to replace machines that are drained for maintenance.
        standby: whether this is the standby pool, whose machines are off.
        arrival_growth: growth of demand if each of the recent jobs had the
            average size, thousandths of a core per second; None for no limit
            on the measured growth.
        lost_cpu: the difference between the full and the current capacity of
            its machines, thousandths of a core.
        demand: ``demand_cpu`` by group of urgency; None if machines are not
            allocated by it.
    """

    name: str
    demand_cpu: int
    min_machines: int
    machine_count: int
    idle_machines: Sequence[str]
    machine_cpu: int
    mean_task_s: float = 0.0
    surge_machines: int = 0
    standby: bool = False
    arrival_growth: float | None = None
    lost_cpu: int = 0
    demand: pool_allocation.Demand | None = None


@dataclasses.dataclass(frozen=True)
class Move:
    """A planned move of a machine to a pool."""

    machine: str
    pool: str


class CapacityPlanner:
    """Plans moves from successive observations of the pools' loads."""

    def __init__(self, policy: ScalingPolicy = DEFAULT_POLICY):
        self._policy = policy
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self._surplus_since: dict[str, float] = {}
        self._required: dict[str, int] = {}
        self._needs: dict[str, pool_allocation.Machines] = {}
        self._allocations: dict[str, pool_allocation.Allocation] = {}
        self._is_constrained = False
        self._first_plan_at: float | None = None
        self._first_work_at: float | None = None

    @property
    def growth_window_s(self) -> float:
        """Window over which growth is measured, seconds."""
        return self._policy.growth_window_s

    @property
    def required_machines(self) -> Mapping[str, int]:
        """Machines that each pool needs, according to the last plan."""
        return self._required

    @property
    def allocations(self) -> Mapping[str, pool_allocation.Allocation]:
        """Machines of each pool by level; empty if not allocated by level."""
        return self._allocations

    @property
    def is_constrained(self) -> bool:
        """Whether the pools need more machines than exist."""
        return self._is_constrained

    def reset_surplus_timers(self) -> None:
        """Restarts the timers that measure how long pools have had a surplus.

        Call this while the load can't be observed. During an outage of the
        store clients are refused, and all of them return when it ends.
        """
        self._surplus_since.clear()

    def plan(self, loads: Iterable[PoolLoad], now: float) -> list[Move]:
        """Returns the moves to order now.

        Args:
            loads: the loads of all pools.
            now: monotonic seconds.
        """
        by_name = {load.name: load for load in loads}
        self._record_first_times(by_name.values(), now)
        self._required = {
            name: 0 if load.standby else self._count_required(load, now)
            for name, load in by_name.items()
        }
        self._allocate(by_name)
        available = self._available_machines(by_name, now)
        shortages = {
            name: -self._surplus(load)
            for name, load in by_name.items()
            if self._surplus(load) < 0
        }
        if self._is_constrained:
            moves = self._distribute_by_level(
                available, shortages, by_name, now
            )
        else:
            moves = _distribute(available, shortages)
        moves.extend(self._move_to_standby(by_name, moves, now))
        return moves

    def _allocate(self, loads: Mapping[str, PoolLoad]) -> None:
        """Divides the machines if the loads are known by group."""
        needs = {
            name: tuple(
                count + loads[name].surge_machines
                for count in self._needs[name]
            )
            for name in self._needs.keys() & loads.keys()
            if not loads[name].standby
        }
        machine_count = sum(
            len(load.idle_machines) if load.standby else load.machine_count
            for load in loads.values()
        )
        self._allocations = pool_allocation.allocate(needs, machine_count)
        self._is_constrained = any(
            allocation.granted != allocation.needs
            for allocation in self._allocations.values()
        )

    def _distribute_by_level(
        self,
        available: Sequence[str],
        shortages: Mapping[str, int],
        loads: Mapping[str, PoolLoad],
        now: float,
    ) -> list[Move]:
        """Assigns available machines to work that can be in time first.

        Idle machines of a pool move to other work only after its surplus has
        lasted, since it may need them again in the next second.
        """
        level = queue_order.Group.IN_TIME
        urgent = {
            name: lacking
            for name in shortages
            if (
                lacking := self._allocations[name].granted[level]
                - loads[name].machine_count
            )
            > 0
        }
        moves = _distribute(available, urgent)
        moved = {move.machine for move in moves}
        brief = {
            machine
            for name, since in self._surplus_since.items()
            if name in loads and now - since < pool_allocation.SURPLUS_S
            for machine in loads[name].idle_machines
        }
        arriving = collections.Counter(move.pool for move in moves)
        lacking_later = {
            name: count - arriving[name]
            for name, count in shortages.items()
            if count > arriving[name]
        }
        rest = [item for item in available if item not in moved | brief]
        return moves + _distribute(rest, lacking_later)

    def _record_first_times(
        self, loads: Iterable[PoolLoad], now: float
    ) -> None:
        """Records the times of the first plan and of the first short tasks."""
        if self._first_plan_at is None:
            self._first_plan_at = now
        if self._first_work_at is None and any(
            load.mean_task_s for load in loads
        ):
            self._first_work_at = now

    def _is_load_known(self, now: float) -> bool:
        """Whether this planner has observed the load for long enough.

        Before that, a machine may seem idle because its instance has not
        answered the new owner yet.
        """
        started_at = now if self._first_plan_at is None else self._first_plan_at
        if now - started_at >= self._policy.settle_s:
            return True
        if self._first_work_at is None:
            return False
        return now - self._first_work_at >= self._policy.familiar_s

    def _surplus(self, load: PoolLoad) -> int:
        """Returns a pool's surplus of machines; negative for a shortage."""
        if self._is_constrained and load.name in self._allocations:
            allocation = self._allocations[load.name]
            return load.machine_count - allocation.machine_count
        return (
            load.machine_count - self._required[load.name] - load.surge_machines
        )

    def _count_required(self, load: PoolLoad, now: float) -> int:
        policy = self._policy
        max_s = policy.longest_look_ahead_s
        look_ahead_s = min(max(policy.look_ahead_s, load.mean_task_s), max_s)
        growth = self._growth(load, now)
        if load.arrival_growth is not None:
            growth = min(growth, policy.most_growth * load.arrival_growth)
        demand = load.demand_cpu + growth * look_ahead_s
        demand += load.lost_cpu * policy.utilisation
        usable_cpu = max(1, load.machine_cpu) * policy.utilisation
        if load.demand is not None:
            needs = pool_allocation.count_needs(
                load.demand,
                load.min_machines,
                growth * look_ahead_s,
                load.lost_cpu * policy.utilisation,
                usable_cpu,
            )
            self._needs[load.name] = needs
            return needs[-1]
        return max(load.min_machines, math.ceil(demand / usable_cpu))

    def _growth(self, load: PoolLoad, now: float) -> float:
        """Returns the growth of demand per second, at least zero."""
        history = self._history.setdefault(load.name, collections.deque())
        history.append((now, load.demand_cpu))
        window_s = self._policy.growth_window_s
        while len(history) > 2 and history[1][0] <= now - window_s:
            history.popleft()
        window_start, initial_demand = history[0]
        if now <= window_start:
            return 0.0
        return max(
            0.0, (load.demand_cpu - initial_demand) / (now - window_start)
        )

    def _available_machines(
        self, loads: Mapping[str, PoolLoad], now: float
    ) -> list[str]:
        """Returns machines that can move now, those in pools first.

        An idle machine in a pool already costs money. A machine on standby
        costs nothing until it is used.
        """
        pooled: list[str] = []
        standby: list[str] = []
        for name, load in sorted(loads.items()):
            if load.standby:
                standby.extend(load.idle_machines)
                continue
            surplus = self._surplus(load)
            if surplus <= 0:
                self._surplus_since.pop(name, None)
                continue
            self._surplus_since.setdefault(name, now)
            pooled.extend(load.idle_machines[:surplus])
        return pooled + standby

    def _move_to_standby(
        self, loads: Mapping[str, PoolLoad], moves: Sequence[Move], now: float
    ) -> list[Move]:
        """Returns moves to standby from pools with a lasting surplus."""
        if not self._is_load_known(now):
            return []
        target = next(
            (name for name, load in loads.items() if load.standby), None
        )
        if target is None:
            return []
        already_moved = {move.machine for move in moves}
        moves_to_standby: list[Move] = []
        for name, since in sorted(self._surplus_since.items()):
            load = loads.get(name)
            if load is None or now - since < self._policy.idle_s:
                continue
            unassigned = [
                machine
                for machine in load.idle_machines
                if machine not in already_moved
            ]
            assigned_count = len(load.idle_machines) - len(unassigned)
            surplus = self._surplus(load) - assigned_count
            # Takes from the end: see ``PoolLoad.idle_machines``.
            surplus_machines = (
                unassigned[max(0, len(unassigned) - surplus) :]
                if surplus > 0
                else []
            )
            moves_to_standby.extend(
                Move(machine, target) for machine in surplus_machines
            )
        return moves_to_standby


def _distribute(
    available: Sequence[str], shortages: Mapping[str, int]
) -> list[Move]:
    """Assigns available machines to pools with a shortage, round robin.

    A burst can need a hundred machines and more, which is all of them. If its
    pool got all machines first, other pools would lack one or two machines for
    13 s. They need these for the long-running tasks of machines that are due
    for maintenance.
    """
    moves: list[Move] = []
    remaining = dict(shortages)
    machines = iter(available)
    while remaining:
        for name in sorted(remaining):
            machine = next(machines, None)
            if machine is None:
                return moves
            moves.append(Move(machine, name))
            remaining[name] -= 1
            if not remaining[name]:
                del remaining[name]
    return moves
