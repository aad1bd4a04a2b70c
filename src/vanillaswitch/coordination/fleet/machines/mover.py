"""Orders planned moves of machines and tracks them until they complete.

Load pattern: a burst of a queue starts suddenly and needs dozens of machines.
Each of them is in service 1.5 s after its order at the earliest. If orders were
sent one by one, at 16 ms per order and with reads of the list in between, 128
machines would arrive over 5 s of a burst of 8 s. So moves are planned from the
waiting tasks, more often than the list is read, and many orders are sent
concurrently.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import gevent.pool

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import capacity_planner
from vanillaswitch.coordination.fleet.machines import machine_releases
from vanillaswitch.coordination.fleet.machines import pool_allocation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

STEP_INTERVAL_S = 0.1
"""Interval between plans. It is less than a tenth of the time that a machine
takes to arrive, so planning adds little to that time."""

MAX_CONCURRENT_ORDERS = 16
"""Limit on concurrent orders. At 16 ms per order it allows 1,000 orders per
second, more than the platform accepts. Orders that exceed the platform's rate
limit are planned again."""

RETRY_DELAY_S = 0.4
"""How long no orders are sent after one that got no answer, and how long an
unanswered one is not repeated, counted from when the order was planned."""

MAINTENANCE_SURGE = 3
"""Maximum number of additional machines of a pool while some of its machines
are due for maintenance. Where long-running tasks may not share an instance, a
machine can be drained only if another one takes its tasks. In a simulated wave,
one to six machines were late without additional machines, and none was late
with them. More machines would stay idle."""

ARRIVAL_GRACE_S = 3.0
"""How long a machine counts for its pool while its instance is unknown: the
time for the move, the start of the instance and its first heartbeat."""

MOVE_EXPIRY_S = 10.0
"""An accepted move that has not completed is dropped after this time. Its
machine failed during the move and would otherwise count for the new pool
forever."""


@dataclasses.dataclass(frozen=True)
class _PendingMove:
    """A move that was ordered and has not completed.

    Attributes:
        ordered_at: monotonic seconds at which it was ordered.
        accepted: the platform accepted it.
        outcome_unknown: a copy of the order was sent and got no answer, so it
            may take effect at any moment.
    """

    move: capacity_planner.Move
    ordered_at: float
    accepted: bool
    outcome_unknown: bool = False


class MachineMover:
    """Orders moves of machines during one term of an owner."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        machines: fleet.Machines,
        writer: fenced_writer.FencedWriter,
        orders_per_s: float,
        reserved_machines: Callable[[], waves.ReservedMachines],
        clock: clocks.Clock,
        emit: Callable[[object], None],
        policy: capacity_planner.ScalingPolicy = (
            capacity_planner.DEFAULT_POLICY
        ),
    ):
        """Creates a mover with an empty list of machines.

        Args:
            scheduler: the owner's state of instances, runs and waiting tasks.
            machines: client for orders to the platform.
            writer: tells whether this owner may still send orders.
            orders_per_s: how many orders the platform accepts per second.
            reserved_machines: returns the machines that waves have reserved.
            clock: source of time.
            emit: receives events.
            policy: parameters of the capacity planner.
        """
        self._orders_per_step = max(1, int(orders_per_s * STEP_INTERVAL_S))
        self._reserved_machines = reserved_machines
        self._paused_until = 0.0
        self._emit = emit
        self._scheduler = scheduler
        self._machines = machines
        self._writer = writer
        self._clock = clock
        self._planner = capacity_planner.CapacityPlanner(policy)
        self._listed: Mapping[str, fleet.Machine] = {}
        self._pending_moves: dict[str, _PendingMove] = {}
        self._unregistered_since: dict[str, float] = {}
        self._in_flight: set[str] = set()
        self._order_pool = gevent.pool.Pool(MAX_CONCURRENT_ORDERS)
        self._rejected_moves: set[capacity_planner.Move] = set()
        self._releases = machine_releases.MachineReleases(
            scheduler, emit, policy.utilisation
        )

    @property
    def required_machines(self) -> Mapping[str, int]:
        """Machines that each pool needs."""
        return self._planner.required_machines

    @property
    def moving_machines(self) -> Collection[str]:
        """Names of machines whose move was ordered and has not completed."""
        return self._pending_moves.keys()

    @property
    def arriving_cpu(self) -> Mapping[str, int]:
        """Thousandths of a core on machines that move to a pool, by pool."""
        arriving: dict[str, int] = {}
        for name, pending_move in self._pending_moves.items():
            machine = self._listed.get(name)
            if machine is not None:
                pool = pending_move.move.pool
                arriving[pool] = arriving.get(pool, 0) + self._full_cpu(machine)
        return arriving

    @property
    def standby_cpu(self) -> int:
        """Thousandths of a core on standby machines that a pool can get."""
        standby = {
            pool.name
            for pool in self._scheduler.pools.values()
            if pool.is_standby
        }
        return sum(
            self._full_cpu(machine)
            for machine in self._listed.values()
            if machine.pool in standby
            and machine.state is fleet.MachineState.UP
            and machine.name not in self._pending_moves
        )

    def update_machines(self, machines: Mapping[str, fleet.Machine]) -> None:
        """Updates the list of machines.

        Args:
            machines: all machines by name, as just read.
        """
        self._listed = machines
        now = self._clock.monotonic()
        self._remove_completed(machines, now)
        self._track_unregistered(machines, now)

    def run(self) -> None:
        """Plans and orders moves until the term ends."""
        while not self._writer.is_term_over:
            self.step()
            self._clock.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Plans moves once and starts to send the orders."""
        if not self._listed:
            # The capacity of a machine is unknown before the first read.
            return
        now = self._clock.monotonic()
        may_operate = self._writer.may_operate_machines()
        if not may_operate:
            self._planner.reset_surplus_timers()
        reserved = self._reserved_machines()
        loads = self._pool_loads(reserved)
        unanswered = [
            pending_move.move
            for pending_move in self._pending_moves.values()
            if pending_move.outcome_unknown
            and now - pending_move.ordered_at >= RETRY_DELAY_S
        ]
        planned = [
            move
            for move in self._planner.plan(loads, now)
            if move not in self._rejected_moves
        ]
        if now < self._paused_until or not may_operate:
            self._releases.cancel_all(now)
        if now < self._paused_until:
            return
        if may_operate and self._scheduler.overload.pool_allocation:
            serving = self._serving_machines(reserved)
            self._releases.update(self._planner, loads, planned, serving, now)
        for move in (unanswered + planned)[: self._orders_per_step]:
            self._start_order(move, now)

    def _remove_completed(
        self, listed: Mapping[str, fleet.Machine], now: float
    ) -> None:
        """Drops moves that completed or expired, and moves of removed machines.

        Moves whose order is in flight are kept. An unanswered order counts as
        accepted once its machine is listed in the new pool: no copy of it has
        an effect any more.
        """
        for name, pending_move in list(self._pending_moves.items()):
            machine = listed.get(name)
            is_expired = (
                pending_move.accepted
                and now - pending_move.ordered_at > MOVE_EXPIRY_S
            )
            if name in self._in_flight:
                continue
            if machine is None:
                del self._pending_moves[name]
                continue
            if is_expired:
                self._end_move(machine, pending_move.move, "expired", now)
                continue
            if not _is_in_target_pool(machine, pending_move.move):
                continue
            if pending_move.outcome_unknown:
                pending_move = dataclasses.replace(
                    pending_move, accepted=True, outcome_unknown=False
                )
                self._pending_moves[name] = pending_move
            if pending_move.accepted and self._counts_as_arrived(
                machine, pending_move, now
            ):
                self._end_move(machine, pending_move.move, "completed", now)
                self._releases.record_move(name, now)

    def _end_move(
        self,
        machine: fleet.Machine,
        move: capacity_planner.Move,
        why: str,
        now: float,
    ) -> None:
        """Drops a move whose order has no effect on the machine any more."""
        del self._pending_moves[machine.name]
        instance = self._instance_on(machine)
        if instance is not None:
            self._scheduler.settle_machine_order(
                instance, _order_name(move), why, now
            )

    def _track_unregistered(
        self, listed: Mapping[str, fleet.Machine], now: float
    ) -> None:
        """Records since when machines have been up without a known instance."""
        self._unregistered_since = {
            name: self._unregistered_since.get(name, now)
            for name, machine in listed.items()
            if machine.state is fleet.MachineState.UP
            and machine.instance not in self._scheduler.instances
        }

    def _counts_as_arrived(
        self, machine: fleet.Machine, pending_move: _PendingMove, now: float
    ) -> bool:
        pool = self._scheduler.pools.get(machine.pool)
        if pool is not None and pool.is_standby:
            return True
        instance = self._scheduler.instances.get(machine.instance)
        is_grace_over = now - pending_move.ordered_at > ARRIVAL_GRACE_S
        return is_grace_over or (instance is not None and instance.has_reported)

    def _pool_loads(
        self, reserved: waves.ReservedMachines
    ) -> list[capacity_planner.PoolLoad]:
        by_pool = self._machines_by_pool()
        instances = self._scheduler.instances_by_pool()
        min_machines = self._scheduler.min_instances()
        demands: dict[str, pool_allocation.Demand] = {}
        if self._scheduler.overload.pool_allocation:
            running = self._scheduler.running_cpu_by_group()
            waiting = self._scheduler.backlog_cpu_by_group
            demands = {
                name: pool_allocation.Demand(
                    running.get(name, {}), waiting.get(name, {})
                )
                for name in self._scheduler.pools
            }
        return [
            self._pool_load(
                pool,
                by_pool.get(pool.name, []),
                instances.get(pool.name, []),
                min_machines.get(pool.name, 1),
                reserved,
                demands.get(pool.name),
            )
            for pool in self._scheduler.pools.values()
        ]

    def _serving_machines(
        self, reserved: waves.ReservedMachines
    ) -> list[machine_releases.ServingMachine]:
        """Returns machines in service that may move to another pool."""
        serving = []
        for machine in self._listed.values():
            pool = self._scheduler.pools.get(machine.pool)
            instance = self._instance_on(machine)
            if (
                pool is not None
                and not pool.is_standby
                and instance is not None
                and machine.name not in self._pending_moves
                and machine.name not in reserved.unavailable
                and self._is_in_service(machine, pool)
            ):
                serving.append(
                    machine_releases.ServingMachine(
                        machine.name, machine.pool, instance
                    )
                )
        return serving

    def _machines_by_pool(self) -> dict[str, list[fleet.Machine]]:
        """Groups the machines by the pool that they are in or moving to."""
        by_pool: dict[str, list[fleet.Machine]] = {}
        for machine in self._listed.values():
            pending_move = self._pending_moves.get(machine.name)
            pool = pending_move.move.pool if pending_move else machine.pool
            by_pool.setdefault(pool, []).append(machine)
        return by_pool

    def _pool_load(
        self,
        pool: fleet.Pool,
        machines: Iterable[fleet.Machine],
        instances: Iterable[instance_state.Instance],
        min_machines: int,
        reserved: waves.ReservedMachines,
        demand: pool_allocation.Demand | None,
    ) -> capacity_planner.PoolLoad:
        machine_count = 0
        awaiting_maintenance = 0
        idle_machines: list[str] = []
        machine_cpu = 0
        lost_cpu = 0
        for machine in machines:
            pending_move = self._pending_moves.get(machine.name)
            machine_cpu = max(machine_cpu, self._full_cpu(machine))
            awaiting_maintenance += (
                machine.name in reserved.awaiting_maintenance
            )
            if pending_move is not None:
                machine_count += 1
            elif self._is_in_service(machine, pool):
                machine_count += 1
                lost_cpu += self._lost_cpu(machine)
                is_reserved = machine.name in reserved.unavailable
                if not is_reserved and self._is_idle(machine, pool):
                    idle_machines.append(machine.name)
        # Machines due for maintenance come last, so that they move to standby
        # first: maintenance of a machine on standby takes no capacity. Released
        # machines come first, since the others can still get work.
        idle_machines.sort(
            key=lambda name: (
                name not in self._releases.names,
                name in reserved.awaiting_maintenance,
            )
        )
        used_cpu = sum(instance.used_cpu for instance in instances)
        load = self._scheduler.backlog_load.get(pool.name, fleet.Load())
        for instance in instances:
            load += instance.finite_load
        return capacity_planner.PoolLoad(
            name=pool.name,
            demand_cpu=used_cpu + self._scheduler.backlog_cpu.get(pool.name, 0),
            min_machines=min_machines,
            machine_count=machine_count,
            idle_machines=idle_machines,
            machine_cpu=machine_cpu,
            lost_cpu=lost_cpu,
            mean_task_s=load.mean_task_s,
            arrival_growth=self._arrival_growth(pool.name),
            surge_machines=0
            if pool.is_standby
            else min(awaiting_maintenance, MAINTENANCE_SURGE),
            standby=pool.is_standby,
            demand=demand,
        )

    def _arrival_growth(self, pool: str) -> float:
        arrivals = self._scheduler.arrivals.get(pool)
        if arrivals is None:
            return 0.0
        now = self._clock.monotonic()
        return arrivals.demand_growth(self._planner.growth_window_s, now)

    def _instance_on(
        self, machine: fleet.Machine
    ) -> instance_state.Instance | None:
        return self._scheduler.instances.get(machine.instance)

    def _full_cpu(self, machine: fleet.Machine) -> int:
        """Returns the full capacity of a machine, thousandths of a core."""
        instance = self._instance_on(machine)
        instance_cpu = 0 if instance is None else instance.max_cpu
        return max(instance_cpu, machine.capacity.cpu)

    def _lost_cpu(self, machine: fleet.Machine) -> int:
        """Returns the difference of a machine's full and current capacity."""
        instance = self._instance_on(machine)
        if instance is None:
            return 0
        return instance.max_cpu - instance.capacity.cpu

    def _is_in_service(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        """Whether a machine serves its pool or probably will soon."""
        if pool.is_standby:
            return machine.state is fleet.MachineState.UP
        if machine.state is not fleet.MachineState.UP:
            return False
        instance = self._instance_on(machine)
        if instance is None:
            return self._may_register_soon(machine)
        return not (
            instance.is_unresponsive
            or instance.is_terminating
            or instance.is_cordoned
            or instance.registration.is_draining
        )

    def _may_register_soon(self, machine: fleet.Machine) -> bool:
        """Whether the unknown instance of a machine may still be starting.

        When a whole fleet starts, its instances register over some seconds. If
        their machines did not count, their pool would take machines from
        standby without need.
        """
        now = self._clock.monotonic()
        since = self._unregistered_since.get(machine.name, now)
        return now - since <= ARRIVAL_GRACE_S

    def _is_idle(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        if pool.is_standby:
            return True
        instance = self._instance_on(machine)
        return (
            instance is not None and instance.has_reported and not instance.runs
        )

    def _start_order(self, move: capacity_planner.Move, now: float) -> None:
        """Sends an order in a new greenlet unless one is in flight.

        Does nothing for a machine that still runs tasks, since a move would end
        them, and for one that is not up or has arrived: an earlier copy of the
        order was carried out, and a new instance may run there.
        """
        machine = self._listed.get(move.machine)
        if machine is None or move.machine in self._in_flight:
            return
        if machine.state is not fleet.MachineState.UP or _is_in_target_pool(
            machine, move
        ):
            return
        if not self._writer.may_operate_machines():
            return
        instance = self._instance_on(machine)
        if instance is not None:
            if instance.runs:
                return
            # No new task may start on the instance from now on.
            self._scheduler.begin_machine_order(
                instance, _order_name(move), now
            )
        self._releases.end(move.machine, "moved", now)
        self._pending_moves.setdefault(
            move.machine, _PendingMove(move, now, False)
        )
        self._in_flight.add(move.machine)
        self._order_pool.spawn(self._send_order, move, instance, now)

    def _send_order(
        self,
        move: capacity_planner.Move,
        instance: instance_state.Instance | None,
        ordered_at: float,
    ) -> None:
        try:
            # The order may have waited for a free greenlet, so check again.
            if self._writer.may_operate_machines():
                outcome = self._machines.move(
                    move.machine, move.pool, self._writer.last_written_version
                )
            else:
                outcome = fleet.NoAnswer(
                    False, "this owner may not operate machines now"
                )
        finally:
            self._in_flight.discard(move.machine)
        self._emit(
            events.MachineMoved(
                move.machine,
                move.pool,
                self.required_machines.get(move.pool, 0),
                type(outcome).__name__.lower(),
            )
        )
        if isinstance(outcome, fleet.Accepted):
            self._pending_moves[move.machine] = _PendingMove(
                move, ordered_at, True
            )
        elif isinstance(outcome, fleet.NoAnswer) and outcome.may_take_effect:
            # The order may take effect at any moment. It is sent again with the
            # newest version as a higher fencing token until it is answered. If
            # the platform checks tokens, this invalidates the earlier copy.
            self._pending_moves[move.machine] = _PendingMove(
                move, ordered_at, False, True
            )
            self._back_off(ordered_at)
        else:
            if isinstance(outcome, fleet.NoAnswer):
                self._back_off(ordered_at)
            earlier = self._pending_moves[move.machine]
            if earlier.outcome_unknown and not isinstance(
                outcome, fleet.Refused
            ):
                # This copy had no effect, but an earlier one may have one.
                self._pending_moves[move.machine] = dataclasses.replace(
                    earlier, ordered_at=ordered_at
                )
            else:
                self._drop_order(move, outcome, instance)

    def _back_off(self, ordered_at: float) -> None:
        """Pauses all orders after one that got no usable answer.

        Without the pause, each plan would resend dozens of orders to a failing
        platform, and each of them counts against the platform's rate limit.
        """
        self._paused_until = ordered_at + RETRY_DELAY_S

    def _drop_order(
        self,
        move: capacity_planner.Move,
        outcome: object,
        instance: instance_state.Instance | None,
    ) -> None:
        self._pending_moves.pop(move.machine, None)
        if instance is not None:
            self._scheduler.settle_machine_order(
                instance,
                _order_name(move),
                type(outcome).__name__.lower(),
                self._clock.monotonic(),
            )
        if fleet.is_fenced(outcome):
            self._writer.end_term()
        elif isinstance(outcome, fleet.Refused):
            self._rejected_moves.add(move)


def _is_in_target_pool(
    machine: fleet.Machine, move: capacity_planner.Move
) -> bool:
    return machine.pool == move.pool and machine.state is fleet.MachineState.UP


def _order_name(move: capacity_planner.Move) -> str:
    """Returns the name of an order to move a machine."""
    return f"move to {move.pool}"
