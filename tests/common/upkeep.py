"""Test doubles for maintenance waves: the wave store and the platform."""

from collections.abc import Iterable

import gevent.event

from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.machines import machine_task
from vanillaswitch.coordination.fleet.machines import wave_driver
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet


class Recorder:
    """Recorder of an owner whose term is confirmed."""

    deposed = False
    newest = 9

    def may_order(self) -> bool:
        """Whether orders for machines may be sent now."""
        return True


class Board:
    """Store of one wave with one machine at a time.

    Attributes:
        reports: the reported states: the wave and whether it was completed.
    """

    def __init__(self, *machines: str):
        self._order = fleet.WaveOrder("wave/1", 1, machines, 60.0, 1)
        self.reports: list[tuple[str, bool]] = []

    def orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that operators have ordered."""
        return (self._order,)

    def begin(self, wave: str) -> wave_driver.WaveRecord:
        """Returns the stored state of a wave: nothing is finished."""
        del wave
        return wave_driver.WaveRecord((), 0.0)

    def save_finished(self, wave: str, machines: Iterable[str]) -> bool:
        """Accepts finished machines and drops them."""
        del wave, machines
        return True

    def report(self, wave: str, completed: bool) -> bool:
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
    core: cores.Core, machines: Machines, board: Board, clock: clocks.Clock
) -> machine_task.MachineTask:
    """Returns a machine task with a confirmed term."""
    return machine_task.MachineTask(
        core,
        machines,
        board,
        Recorder(),  # type: ignore[arg-type]
        fleets.deployment(),
        clock,
        gevent.event.Event(),
        lambda _: None,
    )
