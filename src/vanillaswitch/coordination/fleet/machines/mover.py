"""Orders planned moves of machines and tracks them until they complete.

Load pattern: a burst of a queue starts at once and needs dozens of machines,
each of which is in service 1.5 s after its order at the earliest. Sent one by
one, with 16 ms per order and reads of the list in between, the orders would
spread the arrival of 128 machines over 5 s of a burst of 8 s. So moves are
planned from the waiting tasks, more often than the list is read, and many
orders are sent concurrently.
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
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

STEP_INTERVAL_S = 0.1
"""Interval between plans: less than a tenth of the time that a machine needs to
arrive, so that planning adds little to it."""

MAX_CONCURRENT_ORDERS = 16
"""Limit on concurrent orders. At 16 ms each it allows 1,000 orders per second,
more than the platform accepts. Orders that the platform rejects are planned
again."""

RETRY_DELAY_S = 0.4
"""Pause of all orders after one that failed or got no answer."""

MAINTENANCE_SURGE = 3
"""Additional machines of a pool while machines of it are due for maintenance.
Where long-running tasks may not share an instance, a machine can be drained
only if another one takes its tasks. In a simulated wave, one to six machines
were late without it and none with it. A larger surge would stand idle."""

ARRIVAL_GRACE_S = 3.0
"""How long a moved machine counts for its new pool without a known instance:
the time for the move, the start of the instance and its first heartbeat."""


MOVE_EXPIRY_S = 10.0
"""An accepted move without effect is dropped after this time. Its machine
failed on the way and would otherwise count for the new pool forever."""


@dataclasses.dataclass(frozen=True)
class _PendingMove:
    """A move that was ordered and is not complete.

    Attributes:
        ordered_at: monotonic seconds at which it was ordered.
        accepted: the platform accepted it.
        in_doubt: a copy of the order was sent and got no answer, so it may
            take effect at any moment.
    """

    move: capacity_planner.Move
    ordered_at: float
    accepted: bool
    in_doubt: bool = False


class MachineMover:
    """Orders moves of machines during one term of an owner."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        machines: fleet.Machines,
        writer: fenced_writer.FencedWriter,
        orders_per_s: float,
        reserved: Callable[[], waves.ReservedMachines],
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
            writer: tells whether the term of this owner is confirmed.
            orders_per_s: how many orders the platform accepts per second.
            reserved: returns the machines that waves have reserved.
            clock: paces the plans.
            emit: receives events.
            policy: parameters of the capacity planner.
        """
        self._orders_per_step = max(1, int(orders_per_s * STEP_INTERVAL_S))
        self._reserved = reserved
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

    @property
    def required_machines(self) -> Mapping[str, int]:
        """Machines that each pool needs."""
        return self._planner.required_machines

    @property
    def moving(self) -> Collection[str]:
        """Machines whose move was ordered and is not complete."""
        return self._pending_moves.keys()

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
        """Plans moves once and starts to order them."""
        if not self._listed:
            # The capacity of a machine is unknown before the first read.
            return
        now = self._clock.monotonic()
        if not self._writer.may_operate_machines():
            self._planner.reset_surplus_timers()
        loads = self._pool_loads(self._reserved())
        unconfirmed = [
            order.move
            for order in self._pending_moves.values()
            if order.in_doubt
        ]
        planned = [
            move
            for move in self._planner.plan(loads, now)
            if move not in self._rejected_moves
        ]
        if now < self._paused_until:
            return
        for move in (unconfirmed + planned)[: self._orders_per_step]:
            self._start_order(move, now)

    def _remove_completed(
        self, listed: Mapping[str, fleet.Machine], now: float
    ) -> None:
        """Removes moves that are complete, expired or of removed machines."""
        for name, order in list(self._pending_moves.items()):
            machine = listed.get(name)
            expired = order.accepted and now - order.ordered_at > MOVE_EXPIRY_S
            if name in self._in_flight:
                continue
            if machine is None or expired:
                del self._pending_moves[name]
                continue
            arrived = (
                machine.pool == order.move.pool
                and machine.state is fleet.MachineState.UP
            )
            if (
                arrived
                and order.accepted
                and self._has_arrived(machine, order, now)
            ):
                del self._pending_moves[name]

    def _track_unregistered(
        self, listed: Mapping[str, fleet.Machine], now: float
    ) -> None:
        """Updates since when machines have been up without a known instance."""
        self._unregistered_since = {
            name: self._unregistered_since.get(name, now)
            for name, machine in listed.items()
            if machine.state is fleet.MachineState.UP
            and machine.instance not in self._scheduler.instances
        }

    def _has_arrived(
        self, machine: fleet.Machine, order: _PendingMove, now: float
    ) -> bool:
        pool = self._scheduler.pools.get(machine.pool)
        if pool is not None and pool.is_standby:
            return True
        instance = self._scheduler.instances.get(machine.instance)
        is_grace_over = now - order.ordered_at > ARRIVAL_GRACE_S
        return is_grace_over or (instance is not None and instance.is_adopted)

    def _pool_loads(
        self, reserved: waves.ReservedMachines
    ) -> list[capacity_planner.PoolLoad]:
        by_pool = self._machines_by_pool()
        instances = self._scheduler.instances_by_pool()
        min_machines = self._scheduler.min_instances()
        return [
            self._pool_load(
                pool,
                by_pool.get(pool.name, []),
                instances.get(pool.name, []),
                min_machines.get(pool.name, 1),
                reserved,
            )
            for pool in self._scheduler.pools.values()
        ]

    def _machines_by_pool(self) -> dict[str, list[fleet.Machine]]:
        """Groups the machines by the pool that they are in or moving to."""
        by_pool: dict[str, list[fleet.Machine]] = {}
        for machine in self._listed.values():
            order = self._pending_moves.get(machine.name)
            pool = order.move.pool if order else machine.pool
            by_pool.setdefault(pool, []).append(machine)
        return by_pool

    def _pool_load(
        self,
        pool: fleet.Pool,
        machines: Iterable[fleet.Machine],
        instances: Iterable[instance_state.Instance],
        min_machines: int,
        reserved: waves.ReservedMachines,
    ) -> capacity_planner.PoolLoad:
        machine_count = 0
        pending = 0
        idle_machines: list[str] = []
        cpu = 0
        lost_cpu = 0
        for machine in machines:
            order = self._pending_moves.get(machine.name)
            cpu = max(cpu, self._full_cpu(machine))
            pending += machine.name in reserved.pending
            if order is not None:
                machine_count += 1
            elif self._is_in_service(machine, pool):
                machine_count += 1
                lost_cpu += self._lost_cpu(machine)
                is_reserved = machine.name in reserved.unavailable
                if not is_reserved and self._is_idle(machine, pool):
                    idle_machines.append(machine.name)
        # Machines due for maintenance come last, so they go to standby first:
        # maintenance of a machine that serves no pool takes no capacity.
        idle_machines.sort(key=lambda name: name in reserved.pending)
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
            machine_cpu=cpu,
            lost_cpu=lost_cpu,
            mean_task_s=load.mean_task_s,
            arrival_growth=self._arrival_growth(pool.name),
            surge_machines=0
            if pool.is_standby
            else min(pending, MAINTENANCE_SURGE),
            standby=pool.is_standby,
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
        known = 0 if instance is None else instance.max_cpu
        return max(known, machine.capacity.cpu)

    def _lost_cpu(self, machine: fleet.Machine) -> int:
        """Returns how much of its full capacity a machine lacks now."""
        instance = self._instance_on(machine)
        if instance is None:
            return 0
        return instance.max_cpu - instance.capacity.cpu

    def _is_in_service(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        """Whether a machine serves its pool or soon will."""
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
        they did not count, their pool would take machines from standby to
        replace machines that it already has.
        """
        now = self._clock.monotonic()
        since = self._unregistered_since.get(machine.name, now)
        return now - since <= ARRIVAL_GRACE_S

    def _is_idle(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        if pool.is_standby:
            return True
        instance = self._instance_on(machine)
        return (
            instance is not None and instance.is_adopted and not instance.runs
        )

    def _start_order(self, move: capacity_planner.Move, now: float) -> None:
        """Sends an order in a new greenlet unless one is in flight.

        Does nothing for a machine that still runs tasks: a move ends them.
        """
        machine = self._listed.get(move.machine)
        if machine is None or move.machine in self._in_flight:
            return
        if not self._writer.may_operate_machines():
            return
        instance = self._instance_on(machine)
        if instance is not None:
            if instance.runs:
                return
            # No task may start there from here on.
            instance.is_terminating = True
        self._pending_moves.setdefault(
            move.machine, _PendingMove(move, now, False)
        )
        self._in_flight.add(move.machine)
        self._order_pool.spawn(self._send_order, move, instance, now)

    def _send_order(
        self,
        move: capacity_planner.Move,
        instance: instance_state.Instance | None,
        now: float,
    ) -> None:
        try:
            # The order may have waited for a free greenlet, so check again.
            if self._writer.may_operate_machines():
                outcome = self._machines.move(
                    move.machine, move.pool, self._writer.newest_version
                )
            else:
                outcome = fleet.NoAnswer(
                    False, "the owner's term is unconfirmed"
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
            self._pending_moves[move.machine] = _PendingMove(move, now, True)
        elif isinstance(outcome, fleet.NoAnswer) and outcome.may_take_effect:
            # The order may take effect at any moment. It is sent again with a
            # higher fencing token until it is answered. Where tokens are
            # checked, this also invalidates the earlier copy.
            self._pending_moves[move.machine] = _PendingMove(
                move, now, False, True
            )
            self._back_off(now)
        elif isinstance(outcome, fleet.NoAnswer):
            self._back_off(now)
            if not self._pending_moves[move.machine].in_doubt:
                self._drop_order(move, outcome, instance)
        else:
            self._drop_order(move, outcome, instance)

    def _back_off(self, now: float) -> None:
        """Pauses all orders after one that failed or got no answer.

        Without the pause each plan would resend dozens of orders to a failing
        platform, and each of them counts against its rate limit.
        """
        self._paused_until = now + RETRY_DELAY_S

    def _drop_order(
        self,
        move: capacity_planner.Move,
        outcome: object,
        instance: instance_state.Instance | None,
    ) -> None:
        self._pending_moves.pop(move.machine, None)
        if instance is not None:
            instance.is_terminating = False
        if fleet.is_fenced(outcome):
            self._writer.end_term()
        elif isinstance(outcome, fleet.Refused):
            self._rejected_moves.add(move)
