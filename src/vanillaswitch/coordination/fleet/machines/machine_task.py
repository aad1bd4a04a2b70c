"""The owner's task that reads the list of machines and acts on it."""

from collections.abc import Callable
from collections.abc import Set

import gevent.event

from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.machines import capacity
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import wave_driver
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet
from vanillaswitch.state import deployment as deployments

LIST_S = 0.25
"""How often the list is read. Upkeep follows the list, and a machine that has
arrived is seen there, so this is time lost for each; each reading is priced
and the platform allows some dozens a second."""


class MachineTask:
    """Owns the calls that concern machines during one term."""

    def __init__(
        self,
        core: cores.Core,
        machines: fleet.Machines,
        board: wave_driver.WaveBoard,
        recorder: recorders.Recorder,
        settings: deployments.Deployment,
        clock: clocks.Clock,
        wake: gevent.event.Event,
        emit: Callable[[object], None],
        policy: capacity.Policy = capacity.DEFAULT_POLICY,
    ):
        self._core = core
        self._machines = machines
        self._recorder = recorder
        self._clock = clock
        self._wake = wake
        self._seen: Set[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._listed: dict[str, fleet.Machine] = {}
        self._mover = mover.Mover(
            core,
            machines,
            recorder,
            settings.machine_orders_per_s,
            lambda: self._driver.reserved,
            clock,
            emit,
            policy,
        )
        self._driver = wave_driver.WaveDriver(
            core,
            machines,
            board,
            recorder,
            settings.bounds,
            lambda: self._mover.wanted,
            lambda: self._mover.moving,
            clock,
            emit,
        )

    @property
    def mover(self) -> mover.Mover:
        """Decides and orders moves; its owner runs it in a task of its own."""
        return self._mover

    def run(self) -> None:
        """Reads the list and acts on it until the term is over."""
        while not self._recorder.deposed:
            self.look()
            self._clock.sleep(LIST_S)

    def look(self) -> None:
        """Reads the list once and acts on it."""
        if self._read():
            self._step()

    def _read(self) -> bool:
        began = self._clock.monotonic()
        listed = self._machines.list()
        if isinstance(listed, fleet.NoAnswer):
            logs.warning("the list of machines: {}", listed.reason)
            return False
        self._listed = {machine.name: machine for machine in listed}
        for machine in listed:
            self._core.room_listed(machine.instance, machine.capacity)
        self._judge_instances(began)
        return True

    def _judge_instances(self, began: float) -> None:
        """Finds instances that are over because their machine says so.

        A machine that runs another instance, or is gone, runs nothing of the
        earlier one: its tasks can start elsewhere at once instead of after
        their lease. Of an instance that went quiet one reading is believed.
        One that was listed before and is not in two readings in a row, with
        nothing heard of it since the first, is over as well: a rack that goes
        dark is found 2 s before its instances are found silent.
        """
        alive = {machine.instance for machine in self._listed.values()}
        self._missing_since = {
            name: self._missing_since.get(name, began)
            for name in self._seen - alive
            if name in self._core.instances
        }
        self._seen = self._core.instances.keys() & (self._seen | alive)
        now = self._clock.monotonic()
        for instance in list(self._core.instances.values()):
            quiet = instance.silent or not instance.listed or instance.leaving
            since = self._missing_since.get(instance.name, began)
            over = since < began and instance.heard_at < since
            quiet_over = quiet and instance.heard_at < began
            if instance.name not in alive and (over or quiet_over):
                self._core.gone(instance.name, now, "no machine runs it")
                self._wake.set()

    def _step(self) -> None:
        self._driver.step(self._listed)
        evacuation.evacuate_all(self._core, self._clock.monotonic())
        self._wake.set()
        self._mover.listed(self._listed)
