"""Orders the moves of machines that were decided, and follows them."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.fleet import capacity
from vanillaswitch.coordination.fleet import core as cores
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import recorder as recorders
from vanillaswitch.coordination.fleet import rooms
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

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
    """

    move: capacity.Move
    at: float
    certain: bool


class Mover:
    """Owns the orders to move machines during one term."""

    def __init__(
        self,
        core: cores.Core,
        machines: fleet.Machines,
        recorder: recorders.Recorder,
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._core = core
        self._machines = machines
        self._recorder = recorder
        self._clock = clock
        self._capacity = capacity.Capacity()
        self._ordered: dict[str, _Ordered] = {}
        self._impossible: set[capacity.Move] = set()

    @property
    def wanted(self) -> Mapping[str, int]:
        """Machines that each pool needs."""
        return self._capacity.wanted

    def step(
        self, listed: Mapping[str, fleet.Machine], busy: Iterable[str]
    ) -> None:
        """Decides and orders moves.

        Args:
            listed: the machines as just listed.
            busy: machines that a wave is about to take.
        """
        now = self._clock.monotonic()
        self._settle(listed, now)
        for order in list(self._ordered.values()):
            if not order.certain:
                self._order(order.move, listed, now)
        loads = self._loads(listed, set(busy) | set(self._ordered))
        for move in self._capacity.plan(loads, now):
            if move not in self._impossible:
                self._order(move, listed, now)

    def _settle(self, listed: Mapping[str, fleet.Machine], now: float) -> None:
        """Forgets orders whose effect the list and the instances show."""
        for name, order in list(self._ordered.items()):
            machine = listed.get(name)
            expired = order.certain and now - order.at > EXPIRY_S
            if machine is None or expired:
                del self._ordered[name]
                continue
            arrived = (
                machine.pool == order.move.pool
                and machine.state is fleet.MachineState.UP
            )
            if arrived and order.certain and self._serves(machine, order, now):
                del self._ordered[name]

    def _serves(
        self, machine: fleet.Machine, order: _Ordered, now: float
    ) -> bool:
        pool = self._core.pools.get(machine.pool)
        if pool is not None and pool.standby:
            return True
        instance = self._core.instances.get(machine.instance)
        late = now - order.at > ARRIVAL_S
        return late or (instance is not None and instance.adopted)

    def _loads(
        self, listed: Mapping[str, fleet.Machine], busy: set[str]
    ) -> list[capacity.PoolLoad]:
        return [
            self._load(pool, listed, busy) for pool in self._core.pools.values()
        ]

    def _load(
        self,
        pool: fleet.Pool,
        listed: Mapping[str, fleet.Machine],
        busy: set[str],
    ) -> capacity.PoolLoad:
        have = 0
        idle: list[str] = []
        cpu = 0
        for machine in listed.values():
            order = self._ordered.get(machine.name)
            place = order.move.pool if order else machine.pool
            if place != pool.name:
                continue
            cpu = max(cpu, machine.capacity.cpu)
            if order is not None:
                have += 1
            elif self._counts(machine, pool):
                have += 1
                if machine.name not in busy and self._idle(machine, pool):
                    idle.append(machine.name)
        instances = self._core.pool_instances(pool.name)
        used = sum(instance.used_cpu for instance in instances)
        return capacity.PoolLoad(
            name=pool.name,
            need_cpu=used + self._core.waiting_cpu.get(pool.name, 0),
            least=self._core.least_instances(pool.name),
            have=have,
            idle=idle,
            machine_cpu=cpu,
            standby=pool.standby,
        )

    def _instance(self, machine: fleet.Machine) -> rooms.Instance | None:
        return self._core.instances.get(machine.instance)

    def _counts(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        """Whether a machine serves its pool or soon will."""
        if pool.standby:
            return machine.state is fleet.MachineState.UP
        if machine.state is not fleet.MachineState.UP:
            return False
        instance = self._instance(machine)
        if instance is None:
            return False
        return not (
            instance.silent
            or instance.leaving
            or instance.cordoned
            or instance.registration.draining
        )

    def _idle(self, machine: fleet.Machine, pool: fleet.Pool) -> bool:
        if pool.standby:
            return True
        instance = self._instance(machine)
        return instance is not None and instance.adopted and not instance.runs

    def _order(
        self,
        move: capacity.Move,
        listed: Mapping[str, fleet.Machine],
        now: float,
    ) -> None:
        if not self._recorder.may_order():
            return
        instance = self._instance(listed[move.machine])
        if instance is not None:
            if instance.runs:
                return
            # Nothing may be started there from here on.
            instance.leaving = True
        outcome = self._machines.move(
            move.machine, move.pool, self._recorder.newest
        )
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
            self._ordered[move.machine] = _Ordered(move, now, False)
        else:
            self._refused(move, outcome, instance)

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
