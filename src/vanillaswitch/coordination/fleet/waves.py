"""Which machine of a wave goes into upkeep next.

Load pattern: a wave names about half of the machines and gives each only
about as long as an upkeep takes, one or a few at a time. So the next machines
are emptied while the present ones are in upkeep, and an empty one goes first.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from vanillaswitch.protocol import fleet


class Phase(enum.StrEnum):
    """How far a machine of a wave has come."""

    WAITING = "waiting"
    ORDERED = "ordered"
    DONE = "done"


@dataclasses.dataclass(slots=True)
class Progress:
    """One machine of one wave.

    Attributes:
        instance: the instance that ran on it when the order was given.
        ordered_at: monotonic seconds at which the order was accepted.
    """

    machine: str
    phase: Phase = Phase.WAITING
    instance: str = ""
    ordered_at: float = 0.0


@dataclasses.dataclass
class Wave:
    """A wave under way.

    Attributes:
        seen_at: monotonic seconds at which this owner first saw it.
    """

    order: fleet.WaveOrder
    seen_at: float
    machines: dict[str, Progress]
    reported: bool | None = None

    @property
    def completed(self) -> bool:
        """Whether each machine has had its upkeep or is gone for good."""
        return all(item.phase is Phase.DONE for item in self.machines.values())


def begin(order: fleet.WaveOrder, now: float) -> Wave:
    """Returns a wave none of whose machines has begun."""
    machines = {name: Progress(name) for name in order.machines}
    return Wave(order, now, machines)


def observe(
    wave: Wave, listed: Mapping[str, fleet.Machine], upkeep_s: float, now: float
) -> None:
    """Takes note of what the list of machines shows.

    An ordered machine is done when it is up again with another instance. One
    that left the list for good needs no upkeep.
    """
    for item in wave.machines.values():
        machine = listed.get(item.machine)
        if machine is None:
            item.phase = Phase.DONE
            continue
        if item.phase is not Phase.ORDERED:
            if machine.state is fleet.MachineState.UPKEEP:
                item.phase = Phase.ORDERED
                item.ordered_at = now
            continue
        waited = now - item.ordered_at >= upkeep_s
        if waited and machine.state is not fleet.MachineState.UPKEEP:
            item.phase = Phase.DONE


def down(wave: Wave) -> int:
    """Returns how many machines of a wave are in upkeep."""
    return sum(item.phase is Phase.ORDERED for item in wave.machines.values())


def next_machines(
    wave: Wave,
    listed: Mapping[str, fleet.Machine],
    cost: Callable[[str], float],
    ahead: int,
) -> Sequence[str]:
    """Returns the machines to empty now, the cheapest first.

    Args:
        wave: the wave.
        listed: the machines as last listed.
        cost: what is thrown away when a machine goes now.
        ahead: how many to empty beyond those that may go at once.
    """
    waiting = [
        item.machine
        for item in wave.machines.values()
        if item.phase is Phase.WAITING
        and listed[item.machine].state is fleet.MachineState.UP
    ]
    room = wave.order.max_count - down(wave) + ahead
    return sorted(waiting, key=lambda name: (cost(name), name))[: max(0, room)]
