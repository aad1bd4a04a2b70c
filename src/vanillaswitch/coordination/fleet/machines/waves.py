"""Which machine of a wave goes into upkeep next.

Load pattern: a wave names about half of the machines and gives each only
about as long as an upkeep takes, one or a few at a time. So the next machines
are emptied while the present ones are in upkeep, and an empty one goes first.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum

from vanillaswitch.protocol import fleet


class Phase(enum.StrEnum):
    """How far a machine of a wave has come."""

    WAITING = "waiting"
    IN_DOUBT = "in-doubt"
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


@dataclasses.dataclass(frozen=True)
class Reserved:
    """Machines that waves have a claim on.

    Attributes:
        taken: emptied for their upkeep, or in it.
        due: their upkeep has not begun.
    """

    taken: frozenset[str] = frozenset()
    due: frozenset[str] = frozenset()


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

    An ordered machine is done when its upkeep is over. It is done already
    when the same instance still runs on it: an earlier owner gave the order,
    and the platform accepts it a second time without doing anything. One
    that left the list for good needs no upkeep.
    """
    for item in wave.machines.values():
        machine = listed.get(item.machine)
        if machine is None:
            item.phase = Phase.DONE
        elif machine.state is fleet.MachineState.UPKEEP:
            if item.phase is not Phase.ORDERED:
                item.phase = Phase.ORDERED
                item.ordered_at = now
        elif item.phase is Phase.ORDERED:
            unchanged = item.instance and item.instance == machine.instance
            if unchanged or now - item.ordered_at >= upkeep_s:
                item.phase = Phase.DONE


def down(wave: Wave) -> int:
    """Returns how many machines of a wave are, or may be, in upkeep."""
    return sum(
        item.phase in (Phase.ORDERED, Phase.IN_DOUBT)
        for item in wave.machines.values()
    )


def next_machines(
    wave: Wave,
    listed: Mapping[str, fleet.Machine],
    cost: Callable[[str], float],
    ahead: int,
    moving: Collection[str] = (),
) -> Sequence[str]:
    """Returns the machines to empty now, the cheapest first.

    Args:
        wave: the wave.
        listed: the machines as last listed.
        cost: what is thrown away when a machine goes now.
        ahead: how many to empty beyond those that may go at once.
        moving: machines on their way to another pool, whatever is listed.
    """
    waiting = [
        item.machine
        for item in wave.machines.values()
        if item.phase is Phase.WAITING
        and item.machine not in moving
        and listed[item.machine].state is fleet.MachineState.UP
    ]
    room = wave.order.max_count - down(wave) + ahead
    return sorted(waiting, key=lambda name: (cost(name), name))[: max(0, room)]
