"""Keeps track of the busy machines that their pools have released.

An instance on a released machine gets no new work. Its machine counts for its
pool until it is empty and is ordered to move. Nothing of this is stored: a new
owner starts without releases, and its instances get work again.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import capacity_planner
from vanillaswitch.coordination.fleet.machines import pool_allocation
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import queue_order

EVENT_PAUSE_S = 1.0
"""Minimum time between two events on the allocation of a pool."""


@dataclasses.dataclass(frozen=True)
class _Release:
    """A released machine.

    Attributes:
        since: monotonic seconds at which it was released.
    """

    pool: str
    instance: instance_state.Instance
    since: float


@dataclasses.dataclass(frozen=True)
class ServingMachine:
    """A machine that serves a pool and may be moved, with its instance."""

    name: str
    pool: str
    instance: instance_state.Instance


class MachineReleases:
    """Releases of machines during one term of an owner."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        emit: Callable[[object], None],
        utilisation: float,
    ):
        """Starts without any release.

        Args:
            scheduler: the owner's state of instances and runs.
            emit: receives events.
            utilisation: target share of a pool's CPU that is in use.
        """
        self._scheduler = scheduler
        self._emit = emit
        self._utilisation = utilisation
        self._planner = pool_allocation.ReleasePlanner()
        self._released: dict[str, _Release] = {}
        self._settled_since: dict[str, float] = {}
        self._reported: dict[str, events.PoolAllocation] = {}
        self._reported_at: dict[str, float] = {}

    @property
    def names(self) -> Collection[str]:
        """Names of the released machines."""
        return self._released.keys()

    def record_move(self, machine: str, now: float) -> None:
        """Records that a machine has completed a move."""
        self._settled_since = {
            name: at
            for name, at in self._settled_since.items()
            if now - at < pool_allocation.SETTLE_S
        }
        self._settled_since[machine] = now

    def end(self, machine: str, how: str, now: float) -> None:
        """Ends a release, if there is one.

        Args:
            machine: name of the machine.
            how: see ``events.MachineReleaseEnded``.
            now: monotonic seconds.
        """
        release = self._released.pop(machine, None)
        if release is None:
            return
        release.instance.is_released = False
        released_ms = int((now - release.since) * 1000)
        self._emit(
            events.MachineReleaseEnded(machine, release.pool, how, released_ms)
        )

    def cancel_all(self, now: float) -> None:
        """Gives all released machines work again."""
        for name in list(self._released):
            self.end(name, "cancelled", now)

    def update(
        self,
        planner: capacity_planner.CapacityPlanner,
        loads: Iterable[capacity_planner.PoolLoad],
        moves: Sequence[capacity_planner.Move],
        machines: Iterable[ServingMachine],
        now: float,
    ) -> None:
        """Releases machines and cancels releases after a plan of moves.

        Args:
            planner: has just planned.
            loads: the loads that it planned for.
            moves: the moves that it planned.
            machines: the machines that serve a pool and that no maintenance
                wave has reserved, but those on standby.
            now: monotonic seconds.
        """
        serving = {machine.name: machine for machine in machines}
        for name, release in list(self._released.items()):
            machine = serving.get(name)
            runs = release.instance.runs.values()
            if machine is None or machine.instance is not release.instance:
                self.end(name, "lost", now)
            elif (
                now - release.since > pool_allocation.MAX_RELEASE_S
                or not pool_allocation.end_soon(runs)
            ):
                # A run may have been found on the instance only now.
                self.end(name, "cancelled", now)
                self._settled_since[name] = now
        pools = [load for load in loads if not load.standby]
        self._report(planner.allocations, pools, now)
        if not planner.is_constrained:
            self.cancel_all(now)
        leaving = {move.machine for move in moves}
        shares = self._shares(planner.allocations, pools, moves)
        plan = self._planner.plan(
            shares,
            [
                self._candidate(serving[name], now)
                for name in self._released
                if name not in leaving
            ],
            self._candidates(serving, planner.is_constrained, now),
            now,
        )
        for name in plan.cancellations:
            self.end(name, "cancelled", now)
        for item in plan.releases:
            self._release(serving[item.machine], item, now)

    def _release(
        self,
        machine: ServingMachine,
        candidate: pool_allocation.Candidate,
        now: float,
    ) -> None:
        machine.instance.is_released = True
        self._released[machine.name] = _Release(
            machine.pool, machine.instance, now
        )
        self._emit(
            events.MachineReleased(
                machine.name,
                machine.pool,
                len(machine.instance.runs),
                int(candidate.free_s * 1000),
            )
        )

    def _candidate(
        self, machine: ServingMachine, now: float
    ) -> pool_allocation.Candidate:
        free_s = pool_allocation.expected_free_s(
            machine.instance.runs.values(), now
        )
        return pool_allocation.Candidate(machine.name, machine.pool, free_s)

    def _candidates(
        self,
        serving: Mapping[str, ServingMachine],
        is_constrained: bool,
        now: float,
    ) -> list[pool_allocation.Candidate]:
        """Returns busy machines that may be released."""
        if not is_constrained:
            return []
        reserved = self._scheduler.reserved_instances()
        return [
            self._candidate(machine, now)
            for machine in serving.values()
            if machine.instance.runs
            and machine.name not in self._released
            and machine.instance.name not in reserved
            and now - self._settled_since.get(machine.name, float("-inf"))
            >= pool_allocation.SETTLE_S
            and machine.instance.is_schedulable(now)
            and pool_allocation.end_soon(machine.instance.runs.values())
        ]

    def _shares(
        self,
        allocations: Mapping[str, pool_allocation.Allocation],
        loads: Iterable[capacity_planner.PoolLoad],
        moves: Iterable[capacity_planner.Move],
    ) -> list[pool_allocation.PoolShare]:
        """Returns what the pools will have after the planned moves."""
        arriving = collections.Counter(move.pool for move in moves)
        leaving = {move.machine for move in moves}
        released = collections.Counter(
            release.pool
            for name, release in self._released.items()
            if name not in leaving
        )
        return [
            pool_allocation.PoolShare(
                load.name,
                load.machine_count
                + arriving[load.name]
                - len(leaving.intersection(load.idle_machines))
                - released[load.name],
                allocations[load.name],
                self._durations(load),
            )
            for load in loads
            if load.name in allocations
        ]

    def _durations(
        self, load: capacity_planner.PoolLoad
    ) -> dict[queue_order.Group, float]:
        """Returns how long the demand of a pool lasts; see ``PoolShare``."""
        if load.demand is None:
            return {}
        lasting = queue_order.Group.LONG_RUNNING
        full_cpu = load.machine_count * load.machine_cpu - load.lost_cpu
        capacity_cpu = full_cpu * self._utilisation - load.demand.running.get(
            lasting, 0
        )
        return {
            level: pool_allocation.expected_duration_s(
                load.demand.waiting_until(level),
                load.arrival_growth or 0.0,
                max(1.0, capacity_cpu),
                load.mean_task_s,
            )
            for level in (queue_order.Group.IN_TIME, queue_order.Group.LATE)
        }

    def _report(
        self,
        allocations: Mapping[str, pool_allocation.Allocation],
        loads: Iterable[capacity_planner.PoolLoad],
        now: float,
    ) -> None:
        """Emits allocations that have changed."""
        for load in loads:
            allocation = allocations.get(load.name)
            if allocation is None:
                continue
            previous = 0
            added: list[int] = []
            for count in allocation.needs:
                added.append(count - previous)
                previous = count
            event = events.PoolAllocation(
                load.name, load.machine_count, allocation.machine_count, *added
            )
            reported_at = self._reported_at.get(load.name, float("-inf"))
            if (
                event != self._reported.get(load.name)
                and now - reported_at >= EVENT_PAUSE_S
            ):
                self._reported[load.name] = event
                self._reported_at[load.name] = now
                self._emit(event)
