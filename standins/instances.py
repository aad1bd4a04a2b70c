"""Instances in memory: a lagging list, drains, reboots and failures."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from standins import faults as faults_module
from vanillaswitch.internal import clock as clock_module
from vanillaswitch.protocol import platform

OnPhase = Callable[[str, platform.MaintenancePhase], None]
"""Called with an instance's name and the phase that it entered."""

Outcome = (
    platform.Done
    | platform.Missing
    | platform.Unavailable
    | platform.OutcomeUnknown
)


@dataclasses.dataclass
class _Machine:
    """One instance as it really is, whatever the list says."""

    listing: platform.Listing
    phase: platform.MaintenancePhase = platform.MaintenancePhase.SERVING
    operation: str = ""
    operations: set[str] = dataclasses.field(default_factory=set)
    boots: int = 1
    reboot_ends: float = 0.0
    comes_back: bool = True
    frozen: bool = False
    vanished: bool = False
    in_flight: int = 0
    waiting: list[Callable[[], object]] = dataclasses.field(
        default_factory=list
    )
    listed: list[tuple[float, platform.ListedState | None]] = dataclasses.field(
        default_factory=list
    )

    def listed_at(self, when: float) -> platform.ListedState | None:
        """Returns what the list says as of ``when``; None when left out."""
        state: platform.ListedState | None = platform.ListedState.LIVE
        for since, changed in self.listed:
            if since <= when:
                state = changed
        return state


class MemoryInstances:
    """Implements ``platform.Instances``.

    Time passes when someone asks: a reboot that is over by the clock ends at
    the next call. The list leaves out instances that are down or gone.

    Attributes:
        faults: the switches that make the calls fail.
    """

    def __init__(
        self,
        listings: Sequence[platform.Listing],
        clock: clock_module.Clock,
        *,
        lag_s: float = 2.0,
        reboot_s: float = 30.0,
        faults: faults_module.Faults | None = None,
        on_phase: OnPhase | None = None,
    ):
        """Makes instances that all serve.

        Args:
            listings: the instances.
            clock: tells the time.
            lag_s: age of what ``list`` says.
            reboot_s: how long a reboot takes.
            faults: switches, own ones when not given.
            on_phase: told of each phase that an instance enters.
        """
        self.faults = faults or faults_module.Faults()
        self._clock = clock
        self._lag_s = lag_s
        self._reboot_s = reboot_s
        self._machines = {one.instance: _Machine(one) for one in listings}
        self._listeners = [on_phase] if on_phase else []
        self._loads: list[Callable[[str], int]] = []
        self._reboots_in_use = 0

    @property
    def reboots_in_use(self) -> int:
        """Reboots that cut off work in flight."""
        return self._reboots_in_use

    def add_listener(self, on_phase: OnPhase) -> None:
        """Also tells ``on_phase`` of each phase that an instance enters."""
        self._listeners.append(on_phase)

    def add_load(self, load: Callable[[str], int]) -> None:
        """Also counts ``load(instance)`` as in flight."""
        self._loads.append(load)

    def list(self) -> platform.Listings | platform.Unavailable:
        """Reads the list as it was ``lag_s`` ago."""
        return self.faults.read(self._list)

    def status(
        self, names: Sequence[str]
    ) -> tuple[platform.InstanceStatus, ...] | platform.Unavailable:
        """Asks instances; the frozen and vanished ones are left out."""
        return self.faults.read(lambda: self._statuses(names))

    def drain(self, instance: str, operation: str) -> Outcome:
        """Takes no new work; drained when nothing is in flight."""
        return self._operate(instance, operation, self._begin_drain)

    def reboot(self, instance: str, operation: str) -> Outcome:
        """Reboots; what is in flight is cut off."""
        return self._operate(instance, operation, self._begin_reboot)

    def resume(self, instance: str, operation: str) -> Outcome:
        """Serves again; no effect while it reboots."""
        return self._operate(instance, operation, self._resume)

    def is_up(self, instance: str) -> bool:
        """Whether it answers and runs tasks."""
        machine = self._machines.get(instance)
        if machine is None or machine.frozen or machine.vanished:
            return False
        self._pass_time(machine)
        return machine.phase not in (
            platform.MaintenancePhase.REBOOTING,
            platform.MaintenancePhase.DOWN,
        )

    def phase(self, instance: str) -> platform.MaintenancePhase:
        """Returns the true phase, for tests."""
        machine = self._machines[instance]
        self._pass_time(machine)
        return machine.phase

    def tick(self) -> None:
        """Lets what is due by the clock happen, and listeners hear of it."""
        for machine in self._machines.values():
            self._pass_time(machine)

    def kill(self, instance: str, vanish: bool = False) -> None:
        """Breaks an instance for good: DOWN, or no answer any more."""
        machine = self._machines[instance]
        machine.vanished = vanish
        self._go_down(machine, self._clock.monotonic())

    def leave(self, instance: str) -> None:
        """The platform lists an instance as leaving; it still serves."""
        self._machines[instance].listed.append(
            (self._clock.monotonic(), platform.ListedState.LEAVING)
        )

    def freeze(self, instance: str) -> None:
        """The instance stops answering; calls reach it when it thaws."""
        self._machines[instance].frozen = True

    def thaw(self, instance: str) -> None:
        """A frozen instance goes on, and takes the calls that waited."""
        machine = self._machines[instance]
        machine.frozen = False
        waiting, machine.waiting = machine.waiting, []
        for effect in waiting:
            effect()

    def fail_to_return(self, instance: str) -> None:
        """The next reboot of the instance ends DOWN."""
        self._machines[instance].comes_back = False

    def set_in_flight(self, instance: str, count: int) -> None:
        """Sets how many requests are in flight on an instance."""
        self._machines[instance].in_flight = count

    def _list(self) -> platform.Listings:
        self.tick()
        when = self._clock.monotonic() - self._lag_s
        lines = []
        for machine in self._machines.values():
            state = machine.listed_at(when)
            if state is not None:
                lines.append(dataclasses.replace(machine.listing, state=state))
        return platform.Listings(tuple(lines))

    def _statuses(
        self, names: Sequence[str]
    ) -> tuple[platform.InstanceStatus, ...]:
        answering = [
            self._machines[name]
            for name in names
            if name in self._machines
            and not self._machines[name].frozen
            and not self._machines[name].vanished
        ]
        for machine in answering:
            self._pass_time(machine)
        return tuple(
            platform.InstanceStatus(
                machine.listing.instance,
                machine.phase,
                machine.operation,
                self._load(machine),
                machine.boots,
            )
            for machine in answering
        )

    def _operate(
        self,
        instance: str,
        operation: str,
        effect: Callable[[_Machine], None],
    ) -> Outcome:
        machine = self._machines.get(instance)
        if machine is None or machine.vanished:
            return self.faults.read(platform.Missing)
        if machine.frozen:
            machine.waiting.append(
                lambda: self._once(machine, operation, effect)
            )
            return platform.OutcomeUnknown(f"{instance} does not answer")
        return self.faults.write(lambda: self._once(machine, operation, effect))

    def _once(
        self,
        machine: _Machine,
        operation: str,
        effect: Callable[[_Machine], None],
    ) -> platform.Done | platform.Unavailable:
        self._pass_time(machine)
        if operation in machine.operations:
            return platform.Done()
        if machine.phase is platform.MaintenancePhase.DOWN:
            return platform.Unavailable("the instance is down")
        machine.operations.add(operation)
        machine.operation = operation
        effect(machine)
        self._pass_time(machine)
        return platform.Done()

    def _begin_drain(self, machine: _Machine) -> None:
        if machine.phase is platform.MaintenancePhase.SERVING:
            self._enter(machine, platform.MaintenancePhase.DRAINING)

    def _begin_reboot(self, machine: _Machine) -> None:
        if self._load(machine):
            self._reboots_in_use += 1
        machine.in_flight = 0
        machine.reboot_ends = self._clock.monotonic() + self._reboot_s
        self._enter(machine, platform.MaintenancePhase.REBOOTING)

    def _resume(self, machine: _Machine) -> None:
        if machine.phase is not platform.MaintenancePhase.REBOOTING:
            self._enter(machine, platform.MaintenancePhase.SERVING)

    def _pass_time(self, machine: _Machine) -> None:
        draining = machine.phase is platform.MaintenancePhase.DRAINING
        rebooting = machine.phase is platform.MaintenancePhase.REBOOTING
        if draining and not self._load(machine):
            self._enter(machine, platform.MaintenancePhase.DRAINED)
        if rebooting and self._clock.monotonic() >= machine.reboot_ends:
            self._end_reboot(machine)

    def _end_reboot(self, machine: _Machine) -> None:
        if not machine.comes_back:
            self._go_down(machine, machine.reboot_ends)
            return
        machine.boots += 1
        self._enter(machine, platform.MaintenancePhase.DRAINED)

    def _go_down(self, machine: _Machine, when: float) -> None:
        machine.listed.append((when, None))
        self._enter(machine, platform.MaintenancePhase.DOWN)

    def _enter(
        self, machine: _Machine, phase: platform.MaintenancePhase
    ) -> None:
        machine.phase = phase
        for listener in self._listeners:
            listener(machine.listing.instance, phase)

    def _load(self, machine: _Machine) -> int:
        name = machine.listing.instance
        return machine.in_flight + sum(load(name) for load in self._loads)
