"""Simulates maintenance waves that share machines, with random answers.

The owners' real control loop orders maintenance from a platform that carries
orders out, loses answers, rejects orders and delays them. See
``disruption_simulation`` for the other faults.
"""

from collections.abc import Iterable
import dataclasses

import gevent
import gevent.event

from tests.common import disruption_simulation
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.machines import machine_controller
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.protocol import fleet

_ANSWERS = fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer

_LIST_TICKS = 3
"""Ticks between two reads of the list of machines."""

_NOT_SENT = fleet.NoAnswer(False, "status 429")
_LOST = fleet.NoAnswer(True, "no answer")


@dataclasses.dataclass(frozen=True)
class _LateOrder:
    """An unanswered order that the platform carries out later."""

    at: float
    machine: str
    wave: int
    token: int


class _Writer:
    """The writer of an owner, whose token is the number of its term.

    An owner operates on machines only until another process may own the fleet,
    and not before orders of the former owner have ended.
    """

    def __init__(
        self,
        simulation: "WaveSimulation",
        term: disruption_simulation.Term,
        operates_from: float,
    ):
        self._simulation = simulation
        self._term = term
        self._operates_from = operates_from
        self.last_written_version = term.token
        self.is_term_over = False

    def may_operate_machines(self) -> bool:
        return (
            not self.is_term_over
            and self._term is self._simulation.terms[-1]
            and self._simulation.now >= self._operates_from
        )

    def end_term(self) -> None:
        self.is_term_over = True
        self._term.ends_at = 0.0


class WaveSimulation(disruption_simulation.Simulation):
    """A fleet whose machines are due for maintenance by several waves.

    Serves the platform, the store of the waves and the clock to all owners. A
    violation is also a wave that exceeds its limit of machines, or that is
    reported as completed before each of its machines had its own maintenance.
    """

    def __init__(self, seed: int):
        self._machines: dict[str, str] = {}
        self._in_maintenance: dict[str, int] = {}
        self._booting: list[str] = []
        self._begun: set[tuple[str, int]] = set()
        self._tokens: dict[str, int] = {}
        self._late_orders: list[_LateOrder] = []
        self._orders: dict[str, fleet.WaveOrder] = {}
        self._finished: dict[str, set[str]] = {}
        self._controllers: dict[int, machine_controller.MachineController] = {}
        self._tick_count = 0
        self.completed: set[str] = set()
        super().__init__(seed)

    @property
    def waves(self) -> set[str]:
        """Names of the waves that were ordered."""
        return set(self._orders)

    @property
    def instances_without_work(self) -> list[str]:
        """Instances that the newest owner gives no work for good."""
        return [
            instance.name
            for instance in self.terms[-1].scheduler.instances.values()
            if instance.is_terminating or instance.is_cordoned
        ]

    def order_wave(self) -> None:
        """Orders a wave over most machines."""
        number = len(self._orders) + 1
        machines = self.rng.sample(
            sorted(self._machines),
            self.rng.randint(len(self._machines) // 2, len(self._machines)),
        )
        name = f"wave/{number}"
        self._orders[name] = fleet.WaveOrder(
            name,
            number,
            tuple(machines),
            self.rng.uniform(8.0, 20.0),
            self.rng.randint(1, 3),
        )

    # The owner.

    def _take_over(self) -> None:
        super()._take_over()
        term = self.terms[-1]
        deployment = fleet_builders.deployment()
        wait_s = deployment.bounds.lease_s if self._controllers else 0.0
        self._controllers[term.token] = machine_controller.MachineController(
            term.scheduler,
            self,
            self,
            _Writer(self, term, self.now + wait_s),  # type: ignore[arg-type]
            deployment,
            self,  # type: ignore[arg-type]
            gevent.event.Event(),
            lambda event: self.emitted.append((self.now, event)),
        )

    def _operate_machines(self, term: disruption_simulation.Term) -> None:
        self._tick_count += 1
        controller = self._controllers[term.token]
        controller.mover.step()
        # Moves are sent in greenlets of their own.
        gevent.sleep(0)
        if self._tick_count % _LIST_TICKS == 0:
            controller.reconcile()

    def monotonic(self) -> float:
        """Returns the simulated time; the owners' clock."""
        return self.now

    # Machines.

    def _boot(self) -> None:
        super()._boot()
        number = len(self._machines)
        machine = self._booting.pop(0) if self._booting else f"m-{number}"
        self._machines[machine] = next(reversed(self.instances))
        self._in_maintenance.pop(machine, None)

    def _crash(self, name: str) -> None:
        super()._crash(name)
        machine = next(m for m, i in self._machines.items() if i == name)
        self._machines[machine] = ""
        self._booting.append(machine)

    def _inject_faults(self) -> None:
        super()._inject_faults()
        if self.rng.random() < 0.015:
            self.order_wave()

    def _advance_instances(self) -> None:
        super()._advance_instances()
        for order in list(self._late_orders):
            if self.now >= order.at:
                self._late_orders.remove(order)
                self._carry_out(order.machine, order.wave, order.token, True)

    def list(self) -> list[fleet.Machine] | fleet.NoAnswer:
        """Returns the list of machines."""
        if self.rng.random() < 0.05:
            return _NOT_SENT
        return [
            fleet.Machine(
                machine,
                "berthing",
                self._state(machine),
                "zone-1",
                instance,
                fleet.Resources(4000, 32_000),
            )
            for machine, instance in self._machines.items()
        ]

    def _state(self, machine: str) -> fleet.MachineState:
        if machine in self._in_maintenance:
            return fleet.MachineState.MAINTENANCE
        return (
            fleet.MachineState.UP
            if self._machines[machine]
            else fleet.MachineState.DOWN
        )

    def move(self, machine: str, pool: str, token: int) -> fleet.Busy:
        """Rejects a move."""
        del machine, pool, token
        return fleet.Busy()

    def maintain(self, machine: str, wave: int, token: int) -> _ANSWERS:
        """Carries out a maintenance order, unless a fault prevents it."""
        roll = self.rng.random()
        if roll < 0.1:
            return _NOT_SENT
        if roll < 0.2:
            at = self.now + self.rng.uniform(0.2, 2.0)
            self._late_orders.append(_LateOrder(at, machine, wave, token))
            return _LOST
        outcome = self._carry_out(machine, wave, token, False)
        return _LOST if roll < 0.35 else outcome

    def _carry_out(
        self, machine: str, wave: int, token: int, is_late: bool
    ) -> _ANSWERS:
        if token < self._tokens.get(machine, 0):
            return fleet.Refused(fleet.RefusalReason.FENCED)
        self._tokens[machine] = token
        if (machine, wave) in self._begun:
            return fleet.Accepted(0.0)
        if self._state(machine) is not fleet.MachineState.UP:
            return fleet.Busy()
        instance = self._machines[machine]
        if not is_late:
            self._check_limit(machine, wave)
            for task in sorted(self.instances[instance].running):
                self._check_budget(task, instance, f"ended by wave {wave}")
        self._begun.add((machine, wave))
        self._crash(instance)
        self._in_maintenance[machine] = wave
        return fleet.Accepted(0.0)

    def _check_limit(self, machine: str, wave: int) -> None:
        down = list(self._in_maintenance.values()).count(wave)
        if down >= self._orders[f"wave/{wave}"].max_count:
            self.violations.append(
                f"{self.now} maintenance of {machine} begins while {down}"
                f" machines of wave {wave} are down"
            )

    # The store of the waves.

    def wave_orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that operators have ordered."""
        return tuple(self._orders.values())

    def start_wave(self, wave: str) -> wave_controller.WaveProgress:
        """Returns the stored state of a wave."""
        finished = tuple(self._finished.get(wave, ()))
        return wave_controller.WaveProgress(finished, 0.0)

    def save_finished(self, wave: str, machines: Iterable[str]) -> bool:
        """Adds finished machines of a wave."""
        self._finished.setdefault(wave, set()).update(machines)
        return True

    def report_status(self, wave: str, completed: bool) -> bool:
        """Checks and stores the status of a wave."""
        order = self._orders[wave]
        missing = [
            machine
            for machine in order.machines
            if (machine, order.number) not in self._begun
        ]
        if completed:
            self.completed.add(wave)
            if missing:
                self.violations.append(
                    f"{self.now} {wave} is completed without {missing}"
                )
        return True
