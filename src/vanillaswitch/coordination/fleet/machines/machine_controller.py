"""Control loop of the fleet's owner over the platform's list of machines."""

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
"""Interval between reads of the list. The list shows the end of maintenance and
the arrival of a moved machine, so each is detected up to this much later. Each
read costs money, and the platform allows a few dozen reads per second."""


class MachineController:
    """Moves and maintains machines during one owner's term.

    A term is the period in which a process is the owner.
    """

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        machines: fleet.Machines,
        wave_store: wave_controller.WaveStore,
        writer: fenced_writer.FencedWriter,
        settings: deployments.Deployment,
        clock: clocks.Clock,
        replan_event: gevent.event.Event,
        emit: Callable[[object], None],
        policy: capacity_planner.ScalingPolicy = (
            capacity_planner.DEFAULT_POLICY
        ),
    ):
        self._scheduler = scheduler
        self._machines = machines
        self._writer = writer
        self._clock = clock
        self._replan_event = replan_event
        self._previously_listed: Set[str] = frozenset()
        self._missing_since: dict[str, float] = {}
        self._listed: dict[str, fleet.Machine] = {}
        self._mover = mover.MachineMover(
            scheduler,
            machines,
            writer,
            settings.machine_orders_per_s,
            lambda: self._wave_controller.reserved_machines,
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
            lambda: self._mover.moving_machines,
            clock,
            emit,
        )

    @property
    def mover(self) -> mover.MachineMover:
        """Plans and orders moves; the owner runs it in a separate greenlet."""
        return self._mover

    def run(self) -> None:
        """Reconciles periodically until the owner's term ends."""
        while not self._writer.is_term_over:
            self.reconcile()
            self._clock.sleep(LIST_INTERVAL_S)

    def reconcile(self) -> None:
        """Reads the list of machines once and, if that succeeds, acts on it."""
        if self._read_list():
            self._apply()

    def _read_list(self) -> bool:
        read_started_at = self._clock.monotonic()
        listed = self._machines.list()
        if isinstance(listed, fleet.NoAnswer):
            logs.warning("cannot read the list of machines: {}", listed.reason)
            return False
        self._listed = {machine.name: machine for machine in listed}
        for machine in listed:
            self._scheduler.update_listed_capacity(
                machine.instance, machine.capacity
            )
        self._remove_dead_instances(read_started_at)
        return True

    def _remove_dead_instances(self, read_started_at: float) -> None:
        """Removes instances that no listed machine runs any more.

        Their tasks can then start elsewhere at once instead of after the lease
        has expired. An unreachable, unlisted or terminating instance is removed
        if it is missing from one read of the list and has not reported since
        that read started. Any other instance must have been in the list before,
        be missing from two reads in a row and have not reported since the first
        of them started. This detects the loss of a rack 2 s before calls to its
        instances time out.

        Args:
            read_started_at: monotonic seconds at which this read was sent.
        """
        listed_instances = {
            machine.instance for machine in self._listed.values()
        }
        self._missing_since = {
            name: self._missing_since.get(name, read_started_at)
            for name in self._previously_listed - listed_instances
            if name in self._scheduler.instances
        }
        self._previously_listed = self._scheduler.instances.keys() & (
            self._previously_listed | listed_instances
        )
        now = self._clock.monotonic()
        for instance in list(self._scheduler.instances.values()):
            is_unreachable = (
                instance.is_unresponsive
                or not instance.is_listed
                or instance.is_terminating
            )
            since = self._missing_since.get(instance.name, read_started_at)
            is_missing_repeatedly = (
                since < read_started_at and instance.last_contact_at < since
            )
            is_unreachable_and_silent = (
                is_unreachable and instance.last_contact_at < read_started_at
            )
            if instance.name not in listed_instances and (
                is_missing_repeatedly or is_unreachable_and_silent
            ):
                self._scheduler.remove_instance(
                    instance.name, now, "no machine runs it"
                )
                self._replan_event.set()

    def _apply(self) -> None:
        self._wave_controller.step(self._listed)
        evacuation.evacuate_instances(self._scheduler, self._clock.monotonic())
        self._replan_event.set()
        self._mover.update_machines(self._listed)
