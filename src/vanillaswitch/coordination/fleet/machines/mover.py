"""Orders the moves of machines that were decided, and follows them.

Load pattern: a queue's turn begins within a moment and wants dozens of
machines, each of which serves 1.5 s after its order at the earliest. Given one
after the other, orders of 16 ms each and the readings of the list between them
spread the arrival of 128 machines over 5 s of a turn of 8 s. So moves are
decided from the tasks that wait, more often than the list is read, and many
orders are under way at once.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import gevent.pool

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.machines import capacity
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

STEP_S = 0.1
"""How often moves are decided: a tenth of the time that a machine needs to
arrive, so that deciding adds little to it."""

MAX_ORDERS = 16
"""Orders under way at once. At 16 ms each they would make 1,000 a second, so
the platform's own limit binds; what it turns away is decided again."""

RETRY_S = 0.4
"""Pause after an order that got no answer or was turned away."""

UPKEEP_EXTRA = 3
"""Machines that a pool gets besides, while machines of it are due for upkeep.
Where lasting tasks may not share an instance, none can be emptied without
another one for them. Chosen by one play, in which one to six machines of a wave
were late without it and none was with it; more would stand idle."""

ARRIVAL_S = 3.0
"""A machine that was moved counts for its new pool for so long before its
instance has to be seen: the move, its start and its first heartbeat."""


EXPIRY_S = 10.0
"""A move that shows no effect for so long is forgotten: its machine went down
on the way, and would be counted for its new pool for good."""


@dataclasses.dataclass(frozen=True)
class _Ordered:
    """A move that was ordered.

    Attributes:
        certain: the platform accepted it.
        in_doubt: a copy of it was sent and may take effect at any moment.
    """

    move: capacity.Move
    at: float
    certain: bool
    in_doubt: bool = False


class Mover:
    """Owns the orders to move machines during one term."""

    def __init__(
        self,
        core: cores.Core,
        machines: fleet.Machines,
        recorder: recorders.Recorder,
        orders_per_s: float,
        upkeep: Callable[[], waves.Reserved],
        clock: clocks.Clock,
        emit: Callable[[object], None],
        policy: capacity.Policy = capacity.DEFAULT_POLICY,
    ):
        """Makes a mover that knows no machine yet.

        Args:
            core: what runs where and what waits.
            machines: takes the orders.
            recorder: says whether the term is certain.
            orders_per_s: how many orders the platform accepts.
            upkeep: returns the machines that waves have a claim on.
            clock: paces the decisions.
            emit: takes events.
            policy: figures by which machines follow the load.
        """
        self._orders_a_step = max(1, int(orders_per_s * STEP_S))
        self._upkeep = upkeep
        self._paused_until = 0.0
        self._emit = emit
        self._core = core
        self._machines = machines
        self._recorder = recorder
        self._clock = clock
        self._capacity = capacity.Capacity(policy)
        self._listed: Mapping[str, fleet.Machine] = {}
        self._ordered: dict[str, _Ordered] = {}
        self._unseen_since: dict[str, float] = {}
        self._under_way: set[str] = set()
        self._orders = gevent.pool.Pool(MAX_ORDERS)
        self._impossible: set[capacity.Move] = set()

    @property
    def wanted(self) -> Mapping[str, int]:
        """Machines that each pool needs."""
        return self._capacity.wanted

    @property
    def moving(self) -> Collection[str]:
        """Machines whose move was ordered and is not over."""
        return self._ordered.keys()

    def listed(self, machines: Mapping[str, fleet.Machine]) -> None:
        """Takes note of the list of machines, by name."""
        self._listed = machines
        now = self._clock.monotonic()
        self._settle(machines, now)
        self._note_unseen(machines, now)

    def run(self) -> None:
        """Decides and orders moves until the term is over."""
        while not self._recorder.deposed:
            self.step()
            self._clock.sleep(STEP_S)

    def step(self) -> None:
        """Decides moves once and gives the orders that follow."""
        if not self._listed:
            # What a machine can carry is not known before the first reading.
            return
        now = self._clock.monotonic()
        if not self._recorder.may_order():
            self._capacity.forget_idle()
        loads = self._loads(self._upkeep())
        again = [
            order.move for order in self._ordered.values() if order.in_doubt
        ]
        decided = [
            move
            for move in self._capacity.plan(loads, now)
            if move not in self._impossible
        ]
        if now < self._paused_until:
            return
        for move in (again + decided)[: self._orders_a_step]:
            self._begin(move, now)

    def _settle(self, listed: Mapping[str, fleet.Machine], now: float) -> None:
        """Forgets orders whose effect the list and the instances show."""
        for name, order in list(self._ordered.items()):
            machine = listed.get(name)
            expired = order.certain and now - order.at > EXPIRY_S
            if name in self._under_way:
                continue
            if machine is None or expired:
                del self._ordered[name]
                continue
            arrived = (
                machine.pool == order.move.pool
                and machine.state is fleet.MachineState.UP
            )
            if arrived and order.certain and self._serves(machine, order, now):
                del self._ordered[name]

    def _note_unseen(
        self, listed: Mapping[str, fleet.Machine], now: float
    ) -> None:
        """Notes since when machines are up whose instance is not known."""
        self._unseen_since = {
            name: self._unseen_since.get(name, now)
            for name, machine in listed.items()
            if machine.state is fleet.MachineState.UP
            and machine.instance not in self._core.instances
        }

    def _serves(
        self, machine: fleet.Machine, order: _Ordered, now: float
    ) -> bool:
        pool = self._core.pools.get(machine.pool)
        if pool is not None and pool.standby:
            return True
        instance = self._core.instances.get(machine.instance)
        late = now - order.at > ARRIVAL_S
        return late or (instance is not None and instance.adopted)

    def _loads(self, upkeep: waves.Reserved) -> list[capacity.PoolLoad]:
        placed = self._placed()
        instances = self._core.by_pool()
        least = self._core.least_instances()
        return [
            self._load(
                pool,
                placed.get(pool.name, []),
                instances.get(pool.name, []),
                least.get(pool.name, 1),
                upkeep,
            )
            for pool in self._core.pools.values()
        ]

    def _placed(self) -> dict[str, list[fleet.Machine]]:
        """Returns machines by the pool that they are in or on the way to."""
        placed: dict[str, list[fleet.Machine]] = {}
        for machine in self._listed.values():
            order = self._ordered.get(machine.name)
            pool = order.move.pool if order else machine.pool
            placed.setdefault(pool, []).append(machine)
        return placed

    def _load(
        self,
        pool: fleet.Pool,
        machines: Iterable[fleet.Machine],
        instances: Iterable[rooms.Instance],
        least: int,
        upkeep: waves.Reserved,
    ) -> capacity.PoolLoad:
        have = 0
        due = 0
        idle: list[str] = []
        cpu = 0
        lost_cpu = 0
        for machine in machines:
            order = self._ordered.get(machine.name)
            cpu = max(cpu, self._full_cpu(machine))
            due += machine.name in upkeep.due
            if order is not None:
                have += 1
            elif self._counts(machine, pool):
                have += 1
                lost_cpu += self._lost_cpu(machine)
                taken = machine.name in upkeep.taken
                if not taken and self._idle(machine, pool):
                    idle.append(machine.name)
        # Upkeep of a machine that serves no pool costs nobody anything.
        idle.sort(key=lambda name: name in upkeep.due)
        used = sum(instance.used_cpu for instance in instances)
        load = self._core.waiting_load.get(pool.name, fleet.Load())
        for instance in instances:
            load += instance.short_load
        return capacity.PoolLoad(
            name=pool.name,
            need_cpu=used + self._core.waiting_cpu.get(pool.name, 0),
            least=least,
            have=have,
            idle=idle,
            machine_cpu=cpu,
            lost_cpu=lost_cpu,
            task_s=load.task_s,
            arriving_cpu_s=self._arriving(pool.name),
            extra=0 if pool.standby else min(due, UPKEEP_EXTRA),
            standby=pool.standby,
        )

    def _arriving(self, pool: str) -> float:
        arrivals = self._core.arrivals.get(pool)
        if arrivals is None:
            return 0.0
        now = self._clock.monotonic()
        return arrivals.growth(self._capacity.growth_window_s, now)

    def _instance(self, machine: fleet.Machine) -> rooms.Instance | None:
        return self._core.instances.get(machine.instance)

    def _full_cpu(self, machine: fleet.Machine) -> int:
        """Returns what a machine has where its room has not shrunk."""
        instance = self._instance(machine)
        known = 0 if instance is None else instance.full_cpu
        return max(known, machine.capacity.cpu)

    def _lost_cpu(self, machine: fleet.Machine) -> int:
        """Returns by how much the room of a machine has shrunk."""
        instance = self._instance(machine)
        if instance is None:
            return 0
        return instance.full_cpu - instance.capacity.cpu

    def _counts(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        """Whether a machine serves its pool or soon will."""
        if pool.standby:
            return machine.state is fleet.MachineState.UP
        if machine.state is not fleet.MachineState.UP:
            return False
        instance = self._instance(machine)
        if instance is None:
            return self._will_register(machine)
        return not (
            instance.silent
            or instance.leaving
            or instance.cordoned
            or instance.registration.draining
        )

    def _will_register(self, machine: fleet.Machine) -> bool:
        """Whether an instance that is not known yet may just be starting.

        When a whole fleet starts, its instances register over some seconds. A
        pool that counted none of them took machines from standby in place of
        those that it had, for as long as it kept them.
        """
        now = self._clock.monotonic()
        since = self._unseen_since.get(machine.name, now)
        return now - since <= ARRIVAL_S

    def _idle(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        if pool.standby:
            return True
        instance = self._instance(machine)
        return instance is not None and instance.adopted and not instance.runs

    def _begin(self, move: capacity.Move, now: float) -> None:
        """Gives an order, in a task of its own, unless one is under way."""
        machine = self._listed.get(move.machine)
        if machine is None or move.machine in self._under_way:
            return
        if not self._recorder.may_order():
            return
        instance = self._instance(machine)
        if instance is not None:
            if instance.runs:
                return
            # Nothing may be started there from here on.
            instance.leaving = True
        self._ordered.setdefault(move.machine, _Ordered(move, now, False))
        self._under_way.add(move.machine)
        self._orders.spawn(self._order, move, instance, now)

    def _order(
        self,
        move: capacity.Move,
        instance: rooms.Instance | None,
        now: float,
    ) -> None:
        try:
            # The pool may have made this order wait for others.
            if self._recorder.may_order():
                outcome = self._machines.move(
                    move.machine, move.pool, self._recorder.newest
                )
            else:
                outcome = fleet.NoAnswer(False, "the term is not certain")
        finally:
            self._under_way.discard(move.machine)
        self._emit(
            events.MachineMoved(
                move.machine,
                move.pool,
                self.wanted.get(move.pool, 0),
                type(outcome).__name__.lower(),
            )
        )
        if isinstance(outcome, fleet.Accepted):
            self._ordered[move.machine] = _Ordered(move, now, True)
        elif isinstance(outcome, fleet.NoAnswer) and outcome.sent:
            # It may be carried out at any moment. The same order is sent
            # again with a higher token until it is answered, which also
            # voids the first copy where tokens are checked.
            self._ordered[move.machine] = _Ordered(move, now, False, True)
            self._pause(now)
        elif isinstance(outcome, fleet.NoAnswer):
            self._pause(now)
            if not self._ordered[move.machine].in_doubt:
                self._refused(move, outcome, instance)
        else:
            self._refused(move, outcome, instance)

    def _pause(self, now: float) -> None:
        """Gives no orders for a moment to a platform that is in trouble.

        Without this each decision would send dozens of orders anew, of which
        every one counts against the platform's limit.
        """
        self._paused_until = now + RETRY_S

    def _refused(
        self,
        move: capacity.Move,
        outcome: object,
        instance: rooms.Instance | None,
    ) -> None:
        self._ordered.pop(move.machine, None)
        if instance is not None:
            instance.leaving = False
        if fleet.is_fenced(outcome):
            self._recorder.depose()
        elif isinstance(outcome, fleet.Refused):
            self._impossible.add(move)
