"""Decides which peers get a heartbeat on which tick.

A heartbeat to every peer on every tick would cost traffic in proportion to the
number of peers. Peers of the same role need this process's load and get
heartbeats often; the others get them less often. Each group is served
round-robin with a bounded number of heartbeats per tick, so the traffic of a
process stays bounded for any number of peers. Each heartbeat announces the
interval to the next one; its receiver measures silence against that interval.
"""

from collections.abc import Sequence
import dataclasses

TICK_S = 0.5
SAME_ROLE_PER_TICK = 4
OTHER_ROLES_PER_TICK = 2
OTHER_ROLES_MIN_PERIOD_TICKS = 8
INTERVAL_SLACK = 1.1
"""Factor of the announced interval over the mean one; allows for jitter."""


@dataclasses.dataclass(frozen=True)
class PeerGroup:
    """Peers with the same heartbeat schedule.

    Attributes:
        addresses: of the peers.
        max_per_tick: most heartbeats to the group per tick.
        min_period_ticks: fewest ticks between two heartbeats to one peer.
    """

    addresses: Sequence[str]
    max_per_tick: int
    min_period_ticks: int

    @property
    def period_ticks(self) -> int:
        """Ticks between two heartbeats to one peer."""
        needed = -(-len(self.addresses) // self.max_per_tick)
        return max(self.min_period_ticks, needed)


@dataclasses.dataclass(frozen=True)
class Target:
    """One heartbeat to send.

    Attributes:
        address: of the peer.
        interval_s: announced time to the next heartbeat to this peer.
    """

    address: str
    interval_s: float


def same_role_group(addresses: Sequence[str]) -> PeerGroup:
    """Returns the group of peers of this process's role."""
    return PeerGroup(addresses, SAME_ROLE_PER_TICK, 1)


def other_roles_group(addresses: Sequence[str]) -> PeerGroup:
    """Returns the group of peers of other roles."""
    return PeerGroup(
        addresses, OTHER_ROLES_PER_TICK, OTHER_ROLES_MIN_PERIOD_TICKS
    )


def due_targets(group: PeerGroup, tick: int) -> tuple[Target, ...]:
    """Returns the heartbeats that are due on one tick."""
    period = group.period_ticks
    interval_s = period * TICK_S * INTERVAL_SLACK
    return tuple(
        Target(address, interval_s)
        for index, address in enumerate(group.addresses)
        if (tick + index) % period == 0
    )


def all_targets(group: PeerGroup) -> tuple[Target, ...]:
    """Returns a heartbeat to each peer of a group, due or not."""
    interval_s = group.period_ticks * TICK_S * INTERVAL_SLACK
    return tuple(Target(address, interval_s) for address in group.addresses)
