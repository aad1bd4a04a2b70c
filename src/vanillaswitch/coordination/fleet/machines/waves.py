"""State of a maintenance wave and the choice of its next machines.

Load pattern: a wave contains about half of the machines. Only one or a few may
be down at a time, and the wave has little more time than their maintenance
takes. So the next machines are drained while the current ones are in
maintenance, and empty machines go first.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from vanillaswitch.protocol import fleet


class MachinePhase(enum.StrEnum):
    """Progress of a machine of a wave."""

    WAITING = "waiting"
    OUTCOME_UNKNOWN = "in-doubt"
    IN_MAINTENANCE = "ordered"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class MachineProgress:
    """Progress of one machine of a wave.

    Attributes:
        instance: the instance that ran on it when the order was sent.
        ordered_at: monotonic seconds at which the order was accepted.
    """

    machine: str
    phase: MachinePhase = MachinePhase.WAITING
    instance: str = ""
    ordered_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class ReservedMachines:
    """Machines that waves have reserved.

    Attributes:
        unavailable: machines that are draining, or may be in maintenance.
        pending: machines whose maintenance was not ordered yet.
    """

    unavailable: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()


@dataclasses.dataclass
class Wave:
    """A maintenance wave in progress.

    Attributes:
        first_seen_at: monotonic seconds at which an owner first saw it.
        machines: progress of its machines, by name.
        reported: the last status written for the operators, True for
            completed; None before the first.
    """

    order: fleet.WaveOrder
    first_seen_at: float
    machines: dict[str, MachineProgress]
    reported: bool | None = None

    @property
    def completed(self) -> bool:
        """Whether each machine has been maintained or was removed."""
        return all(
            progress.phase is MachinePhase.DONE
            for progress in self.machines.values()
        )


def new_wave(order: fleet.WaveOrder, now: float) -> Wave:
    """Returns a wave with all its machines waiting."""
    machines = {name: MachineProgress(name) for name in order.machines}
    return Wave(order, now, machines)


def update_progress(
    wave: Wave, listed: Mapping[str, fleet.Machine], upkeep_s: float, now: float
) -> None:
    """Updates the progress of a wave from the list of machines.

    An ordered machine is done when its maintenance is over. It is also done
    when the same instance still runs on it: an earlier owner had ordered the
    maintenance, and the platform accepts the repeated order without effect. A
    machine that was removed from the list needs no maintenance.

    Args:
        wave: the wave to update.
        listed: machines by name.
        upkeep_s: duration of the maintenance of a machine.
        now: monotonic seconds.
    """
    for progress in wave.machines.values():
        machine = listed.get(progress.machine)
        if machine is None:
            progress.phase = MachinePhase.DONE
        elif machine.state is fleet.MachineState.MAINTENANCE:
            if progress.phase is not MachinePhase.IN_MAINTENANCE:
                progress.phase = MachinePhase.IN_MAINTENANCE
                progress.ordered_at = now
        elif progress.phase is MachinePhase.IN_MAINTENANCE:
            unchanged = (
                progress.instance and progress.instance == machine.instance
            )
            if unchanged or now - progress.ordered_at >= upkeep_s:
                progress.phase = MachinePhase.DONE


def count_in_maintenance(wave: Wave) -> int:
    """Returns how many machines of a wave are, or may be, in maintenance."""
    return sum(
        progress.phase
        in (MachinePhase.IN_MAINTENANCE, MachinePhase.OUTCOME_UNKNOWN)
        for progress in wave.machines.values()
    )


def next_machines(
    wave: Wave,
    listed: Mapping[str, fleet.Machine],
    cost: Callable[[str], float],
    drain_ahead: int,
    moving: Collection[str] = (),
) -> Sequence[str]:
    """Returns the machines to drain now, those with the lowest cost first.

    Args:
        wave: the wave.
        listed: the machines as last listed.
        cost: returns the cost of draining a machine now.
        drain_ahead: how many to drain besides those that may be down at once.
        moving: machines on their way to another pool, even if they are listed
            as up.
    """
    waiting = [
        progress.machine
        for progress in wave.machines.values()
        if progress.phase is MachinePhase.WAITING
        and progress.machine not in moving
        and listed[progress.machine].state is fleet.MachineState.UP
    ]
    limit = wave.order.max_count - count_in_maintenance(wave) + drain_ahead
    return sorted(waiting, key=lambda name: (cost(name), name))[: max(0, limit)]
