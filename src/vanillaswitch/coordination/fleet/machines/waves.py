"""State of a maintenance wave and the choice of its next machines.

Load pattern: a wave contains about half of the machines. Only one or a few may
be in maintenance at a time, and the wave has little more time than the
maintenance of all its machines takes. So the next machines are drained while
others are in maintenance, and empty machines are maintained first.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from vanillaswitch.protocol import fleet


class MachinePhase(enum.StrEnum):
    """Phase of the maintenance of a machine of a wave.

    Attributes:
        WAITING: maintenance was not ordered yet.
        OUTCOME_UNKNOWN: maintenance was ordered without an answer and may start
            at any moment.
        IN_MAINTENANCE: maintenance was ordered and accepted, or has started.
        DONE: maintenance is finished, or the machine was removed.
    """

    WAITING = "waiting"
    OUTCOME_UNKNOWN = "in-doubt"
    IN_MAINTENANCE = "ordered"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class MachineProgress:
    """Progress of one machine of a wave.

    Attributes:
        instance: the instance that the machine ran when maintenance was
            ordered.
        ordered_at: monotonic seconds at which the order was accepted, or the
            maintenance was first seen.
        is_down: it is listed as in maintenance, of this wave or another one.
    """

    machine: str
    phase: MachinePhase = MachinePhase.WAITING
    instance: str = ""
    ordered_at: float = 0.0
    is_down: bool = False


@dataclasses.dataclass(frozen=True)
class ReservedMachines:
    """Machines that waves have reserved.

    Attributes:
        unavailable: machines that are draining, or may be in maintenance.
        awaiting_maintenance: machines of waves whose maintenance was not
            ordered yet.
    """

    unavailable: frozenset[str] = frozenset()
    awaiting_maintenance: frozenset[str] = frozenset()


@dataclasses.dataclass
class Wave:
    """A maintenance wave in progress.

    Attributes:
        first_seen_at: monotonic seconds at which an owner first saw it.
        machines: progress of its machines, by name.
        reported_completed: the last status written for the operators: True for
            completed, False for running, None before the first.
    """

    order: fleet.WaveOrder
    first_seen_at: float
    machines: dict[str, MachineProgress]
    reported_completed: bool | None = None

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
    wave: Wave,
    listed: Mapping[str, fleet.Machine],
    maintenance_s: float,
    now: float,
    shared: Collection[str] = (),
) -> None:
    """Updates the progress of a wave from the list of machines.

    A machine is done when its maintenance is over. It is also done if the
    platform accepted the order but the machine still runs the same instance:
    then an earlier owner had ordered the maintenance, and the platform accepted
    the repeated order without effect. A machine that is not in the list any
    more counts as done.

    The list does not tell for which wave a machine is in maintenance. If
    another wave may have ordered it, the machine still waits for the order of
    this one.

    Args:
        wave: the wave to update.
        listed: machines by name.
        maintenance_s: duration of the maintenance of a machine.
        now: monotonic seconds.
        shared: machines of the wave that another one may have in maintenance.
    """
    for progress in wave.machines.values():
        machine = listed.get(progress.machine)
        progress.is_down = (
            machine is not None
            and machine.state is fleet.MachineState.MAINTENANCE
        )
        if machine is None:
            progress.phase = MachinePhase.DONE
        elif progress.is_down:
            is_unfinished = progress.phase in (
                MachinePhase.WAITING,
                MachinePhase.OUTCOME_UNKNOWN,
            )
            if is_unfinished and progress.machine not in shared:
                progress.phase = MachinePhase.IN_MAINTENANCE
                progress.ordered_at = now
        elif progress.phase is MachinePhase.IN_MAINTENANCE:
            is_same_instance = (
                progress.instance and progress.instance == machine.instance
            )
            if is_same_instance or now - progress.ordered_at >= maintenance_s:
                progress.phase = MachinePhase.DONE


def count_in_maintenance(wave: Wave) -> int:
    """Returns how many machines of a wave are, or may be, in maintenance."""
    return sum(
        progress.is_down
        or progress.phase
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
        listed: machines by name.
        cost: returns the cost of draining a machine now.
        drain_ahead: how many machines to drain in advance, in addition to those
            that may be in maintenance at once.
        moving: machines that are moving to another pool, even if they are
            listed as up.
    """
    waiting_machines = [
        progress.machine
        for progress in wave.machines.values()
        if progress.phase is MachinePhase.WAITING
        and progress.machine not in moving
        and listed[progress.machine].state is fleet.MachineState.UP
    ]
    limit = wave.order.max_count - count_in_maintenance(wave) + drain_ahead
    return sorted(waiting_machines, key=lambda name: (cost(name), name))[
        : max(0, limit)
    ]
