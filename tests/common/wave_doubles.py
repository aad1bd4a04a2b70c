"""Test doubles for maintenance waves: the wave store and the platform."""

from collections.abc import Iterable

import gevent.event

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import machine_controller
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet


class Recorder:
    """Recorder of an owner whose term is confirmed."""

    is_term_over = False
    last_written_version = 9

    def may_operate_machines(self) -> bool:
        """Whether orders for machines may be sent now."""
        return True


class WaveStore:
    """Store of waves with one machine at a time.

    Attributes:
        duration_s: time in which each wave is to be completed.
        reports: the reported states: the wave and whether it was completed.
        finished: machines that are stored as finished at first, by wave.
    """

    def __init__(self, *machines: str, duration_s: float = 60.0):
        self._orders: list[fleet.WaveOrder] = []
        self.duration_s = duration_s
        self.reports: list[tuple[str, bool]] = []
        self.finished: dict[str, tuple[str, ...]] = {}
        self.add_wave(*machines)

    def add_wave(self, *machines: str) -> None:
        """Adds a wave, named by its number."""
        number = len(self._orders) + 1
        self._orders.append(
            fleet.WaveOrder(
                f"wave/{number}", number, machines, self.duration_s, 1
            )
        )

    def wave_orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that operators have ordered."""
        return tuple(self._orders)

    def start_wave(self, wave: str) -> wave_controller.WaveProgress:
        """Returns the stored state of a wave."""
        return wave_controller.WaveProgress(self.finished.get(wave, ()), 0.0)

    def save_finished(self, wave: str, machines: Iterable[str]) -> bool:
        """Accepts finished machines and drops them."""
        del wave, machines
        return True

    def report_status(self, wave: str, completed: bool) -> bool:
        """Adds a status to ``reports``."""
        self.reports.append((wave, completed))
        return True


class Machines:
    """Platform whose machine ``m-1`` runs instance ``i-1``, and so on.

    Attributes:
        names: names of the listed machines.
        in_maintenance: names of those that are listed as in maintenance.
        ordered: machines whose maintenance was ordered, in order.
        answers: answers to the first orders; the others are accepted.
    """

    def __init__(self, names: Iterable[str]):
        self.names = list(names)
        self.in_maintenance: set[str] = set()
        self.ordered: list[str] = []
        self.answers: list[fleet.Accepted | fleet.Busy | fleet.NoAnswer] = []

    def list(self) -> list[fleet.Machine]:
        """Returns the list of machines."""
        return [
            fleet.Machine(
                name,
                "berthing",
                fleet.MachineState.MAINTENANCE
                if name in self.in_maintenance
                else fleet.MachineState.UP,
                "zone-1",
                "" if name in self.in_maintenance else name.replace("m", "i"),
                fleet.Resources(4000, 32_000),
            )
            for name in self.names
        ]

    def move(self, machine: str, pool: str, token: int) -> fleet.Busy:
        """Rejects a move as busy."""
        del machine, pool, token
        return fleet.Busy()

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> fleet.Accepted | fleet.Busy | fleet.NoAnswer:
        """Records a maintenance order."""
        del wave, token
        self.ordered.append(machine)
        return self.answers.pop(0) if self.answers else fleet.Accepted(0.0)


def task(
    scheduler: schedulers.Scheduler,
    machines: Machines,
    wave_store: WaveStore,
    clock: clocks.Clock,
) -> machine_controller.MachineController:
    """Returns a machine task with a confirmed term."""
    return machine_controller.MachineController(
        scheduler,
        machines,
        wave_store,
        Recorder(),  # type: ignore[arg-type]
        fleet_builders.deployment(),
        clock,
        gevent.event.Event(),
        lambda _: None,
    )
