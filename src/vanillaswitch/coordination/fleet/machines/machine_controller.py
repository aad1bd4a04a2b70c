"""The owner's control loop over the platform's list of machines."""

from collections.abc import Callable
from collections.abc import Set

import gevent.event

from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import capacity_planner
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet
from vanillaswitch.state import deployment as deployments

LIST_INTERVAL_S = 0.25
"""Interval between reads of the list. Maintenance and the arrival of a moved
machine are detected there, so each of them is delayed by up to this time. Each
read costs money, and the platform allows a few dozen per second."""


class MachineController:
    """Moves and maintains machines during one term of an owner."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        machines: fleet.Machines,
        wave_store: wave_controller.WaveStore,
        writer: fenced_writer.FencedWriter,
        settings: deployments.Deployment,
        clock: clocks.Clock,
        wake: gevent.event.Event,
        emit: Callable[[object], None],
        policy: capacity_planner.ScalingPolicy = (
            capacity_planner.DEFAULT_POLICY
        ),
    ):
        self._scheduler = scheduler
        self._machines = machines
        self._writer = writer
        self._clock = clock
        self._wake = wake
        self._known: Set[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._listed: dict[str, fleet.Machine] = {}
        self._mover = mover.MachineMover(
            scheduler,
            machines,
            writer,
            settings.machine_orders_per_s,
            lambda: self._wave_controller.reserved,
            clock,
            emit,
            policy,
        )
        self._wave_controller = wave_controller.WaveController(
            scheduler,
            machines,
            wave_store,
            writer,
            settings.bounds,
            lambda: self._mover.required_machines,
            lambda: self._mover.moving,
            clock,
            emit,
        )

    @property
    def mover(self) -> mover.MachineMover:
        """Plans and orders moves; runs in a separate task of the owner."""
        return self._mover

    def run(self) -> None:
        """Reconciles with the list of machines until the term ends."""
        while not self._writer.is_term_over:
            self.reconcile()
            self._clock.sleep(LIST_INTERVAL_S)

    def reconcile(self) -> None:
        """Reads the list once and, if that succeeds, acts on it."""
        if self._read_list():
            self._apply()

    def _read_list(self) -> bool:
        began = self._clock.monotonic()
        listed = self._machines.list()
        if isinstance(listed, fleet.NoAnswer):
            logs.warning("cannot read the list of machines: {}", listed.reason)
            return False
        self._listed = {machine.name: machine for machine in listed}
        for machine in listed:
            self._scheduler.update_listed_capacity(
                machine.instance, machine.capacity
            )
        self._remove_dead_instances(began)
        return True

    def _remove_dead_instances(self, began: float) -> None:
        """Removes instances that no machine of the list runs any more.

        Their tasks can start elsewhere at once instead of after the lease. For
        an unreachable, unlisted or leaving instance one read of the list is
        enough. A healthy one must have been in the list before, be missing
        from two reads in a row and have sent nothing since the first of them.
        This detects the loss of a rack 2 s before calls to its instances time
        out.
        """
        alive = {machine.instance for machine in self._listed.values()}
        self._missing_since = {
            name: self._missing_since.get(name, began)
            for name in self._known - alive
            if name in self._scheduler.instances
        }
        self._known = self._scheduler.instances.keys() & (self._known | alive)
        now = self._clock.monotonic()
        for instance in list(self._scheduler.instances.values()):
            is_unreachable = (
                instance.is_unresponsive
                or not instance.is_listed
                or instance.is_terminating
            )
            since = self._missing_since.get(instance.name, began)
            is_missing = since < began and instance.last_contact_at < since
            is_silent_and_missing = (
                is_unreachable and instance.last_contact_at < began
            )
            if instance.name not in alive and (
                is_missing or is_silent_and_missing
            ):
                self._scheduler.remove_instance(
                    instance.name, now, "no machine runs it"
                )
                self._wake.set()

    def _apply(self) -> None:
        self._wave_controller.step(self._listed)
        evacuation.evacuate_instances(self._scheduler, self._clock.monotonic())
        self._wake.set()
        self._mover.update_machines(self._listed)
