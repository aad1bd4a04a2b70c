"""The platform's machines: pools, moves, upkeep and the instances they run."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from standins import leased_instance
from standins.model import scenario as scenarios
from vanillaswitch.protocol import fleet

STANDBY = "standby"


@dataclasses.dataclass
class Machine:
    """One machine.

    Attributes:
        back_at: virtual seconds at which it runs an instance again; None
            while it does, or while nobody knows.
        down: it is dark.
        slow: how many times longer tasks take on it.
        failing: each task on it fails.
        smaller: how many times smaller its room is than usual.
    """

    name: str
    pool: str
    rack: str
    instance: leased_instance.LeasedInstance | None = None
    back_at: float | None = 0.0
    down: bool = False
    upkeep: bool = False
    slow: float = 1.0
    failing: bool = False
    smaller: float = 1.0

    @property
    def state(self) -> fleet.MachineState:
        """What the platform's list shows."""
        if self.down:
            return fleet.MachineState.DOWN
        if self.back_at is None:
            return fleet.MachineState.UP
        if self.upkeep:
            return fleet.MachineState.MAINTENANCE
        return fleet.MachineState.MOVING


class Machines:
    """All machines; implements ``fleet.Machines`` in virtual time."""

    def __init__(self, scenario: scenarios.Scenario, size: float):
        self._scenario = scenario
        self._lives = 0
        self.now = 0.0
        self.moves = 0
        self.seconds = 0.0
        self.standby_seconds = 0.0
        self.ended: list[leased_instance.LeasedInstance] = []
        self.machines: dict[str, Machine] = {}
        pools = [(queue.name, queue.machines) for queue in scenario.queue]
        for pool, count in [*pools, (STANDBY, scenario.standby)]:
            self._add(pool, max(1, round(count * size)))

    def _add(self, pool: str, count: int) -> None:
        for number in range(count):
            name = f"{pool}-{number}"
            rack = f"{pool}-r{number // self._scenario.rack}"
            self.machines[name] = Machine(name, pool, rack)

    def advance(self, now: float) -> Iterator[Machine]:
        """Lets time pass; yields machines whose instance has just begun."""
        step = now - self.now
        self.now = now
        for machine in self.machines.values():
            if machine.pool == STANDBY:
                self.standby_seconds += step
            else:
                self.seconds += step
            if machine.instance is not None:
                machine.instance.advance(step * 1000)
            arrived = machine.back_at is not None and machine.back_at <= now
            if arrived and not machine.down and machine.pool != STANDBY:
                yield self._begin(machine)
            elif arrived and not machine.down:
                machine.back_at = None

    def _begin(self, machine: Machine) -> Machine:
        self._lives += 1
        machine.back_at = None
        machine.upkeep = False
        machine.instance = leased_instance.LeasedInstance(
            fleet.Registration(
                f"i-{self._lives}",
                machine.pool,
                "10.0.0.1:1",
                "zone",
                False,
                self.room(machine),
                ("a", machine.rack),
                born_ms=0,
            )
        )
        return machine

    def room(self, machine: Machine) -> fleet.Resources:
        """Returns the room that a machine has now."""
        return fleet.Resources(
            int(self._scenario.machine_cpu / machine.smaller),
            int(self._scenario.machine_mem_mb / machine.smaller),
        )

    def end_instance(self, machine: Machine, back_at: float | None) -> None:
        """Ends what a machine runs; it runs an instance again then."""
        if machine.instance is not None:
            self.ended.append(machine.instance)
            machine.instance.crash()
        machine.instance = None
        machine.back_at = back_at

    # What the decisions call.

    def list(self) -> Sequence[fleet.Machine] | fleet.NoAnswer:
        """Returns all machines."""
        return [
            fleet.Machine(
                machine.name,
                machine.pool,
                machine.state,
                "zone",
                machine.instance.registration.instance
                if machine.instance
                else "",
                self.room(machine),
            )
            for machine in self.machines.values()
        ]

    def move(
        self, machine: str, pool: str, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Moves a machine; everything on it ends at once."""
        del token
        found = self.machines[machine]
        if found.state is not fleet.MachineState.UP:
            return fleet.Busy()
        if found.pool != pool:
            self.moves += 1
            found.pool = pool
            self.end_instance(found, self.now + self._scenario.move_s)
        return fleet.Accepted(0.0)

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Begins a machine's upkeep; everything on it ends at once."""
        del wave, token
        found = self.machines[machine]
        if found.state is not fleet.MachineState.UP:
            return fleet.Busy()
        found.upkeep = True
        self.end_instance(found, self.now + self._scenario.upkeep_s)
        return fleet.Accepted(0.0)
