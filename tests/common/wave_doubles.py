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
    """Store of one wave with one machine at a time.

    Attributes:
        reports: the reported states: the wave and whether it was completed.
    """

    def __init__(self, *machines: str):
        self._order = fleet.WaveOrder("wave/1", 1, machines, 60.0, 1)
        self.reports: list[tuple[str, bool]] = []

    def wave_orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that operators have ordered."""
        return (self._order,)

    def start_wave(self, wave: str) -> wave_controller.WaveProgress:
        """Returns the stored state of a wave: nothing is finished."""
        del wave
        return wave_controller.WaveProgress((), 0.0)

    def save_finished(self, wave: str, machines: Iterable[str]) -> bool:
        """Accepts finished machines and drops them."""
        del wave, machines
        return True

    def report_status(self, wave: str, completed: bool) -> bool:
        """Adds a status to ``reports``."""
        self.reports.append((wave, completed))
        return True


class Machines:
    """Platform whose machines are all up; ``m-1`` runs instance ``i-1``.

    Attributes:
        names: names of the listed machines.
        ordered: machines whose maintenance was ordered, in order.
        lost: how many of the first orders get no answer.
    """

    def __init__(self, names: Iterable[str]):
        self.names = list(names)
        self.ordered: list[str] = []
        self.lost = 0

    def list(self) -> list[fleet.Machine]:
        """Returns the list of machines."""
        return [
            fleet.Machine(
                name,
                "berthing",
                fleet.MachineState.UP,
                "zone-1",
                name.replace("m", "i"),
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
    ) -> fleet.Accepted | fleet.NoAnswer:
        """Records a maintenance order."""
        del wave, token
        self.ordered.append(machine)
        if len(self.ordered) <= self.lost:
            return fleet.NoAnswer(True, "no answer")
        return fleet.Accepted(0.0)


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
