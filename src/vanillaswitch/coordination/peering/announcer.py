"""Sends a process's own heartbeats, each peer in its turn."""

from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who this process is towards its peers."""

    process: str
    boot: str
    role: peers.Role
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Own:
    """What a process tells of itself in each heartbeat."""

    config_version: int
    view_version: int
    leaving: bool
    loads: Mapping[str, int]


class Announcer:
    """The heartbeats of one process; owned by one task."""

    def __init__(
        self, identity: Identity, streams: peer_transport.PeerTransport
    ):
        self._identity = identity
        self._streams = streams
        self._ticks = 0
        self._sequence = 0
        self._greeted: frozenset[str] = frozenset()
        self._left = False

    def tick(self, state: peer_membership.MembershipState, own: Own) -> None:
        """Sends the heartbeats of the next tick."""
        self._ticks += 1
        near, far = self._groups(state)
        if own.leaving and not self._left:
            # Peers have to stop counting on us at once, not at their turn.
            self._left = True
            self._send(state, own, _all_of(near, far))
            return
        due = (
            *heartbeat_schedule.due(near, self._ticks),
            *heartbeat_schedule.due(far, self._ticks),
        )
        self._send(state, own, due)

    def greet(self, state: peer_membership.MembershipState, own: Own) -> None:
        """Sends to newly known addresses at once, closes forgotten ones."""
        known = frozenset(peer_membership.addresses(state))
        if known == self._greeted:
            return
        new = known - self._greeted
        self._greeted = known
        self._streams.close_all_except(known)
        everyone = _all_of(*self._groups(state))
        greeted = tuple(one for one in everyone if one.address in new)
        self._send(state, own, greeted)

    def _groups(
        self, state: peer_membership.MembershipState
    ) -> tuple[heartbeat_schedule.Group, heartbeat_schedule.Group]:
        ours = {
            member.last.address
            for member in state.members.values()
            if member.last.role is self._identity.role
            and member.standing is not peer_membership.Standing.GONE
        }
        known = peer_membership.addresses(state)
        return (
            heartbeat_schedule.near([one for one in known if one in ours]),
            heartbeat_schedule.far([one for one in known if one not in ours]),
        )

    def _send(
        self,
        state: peer_membership.MembershipState,
        own: Own,
        targets: tuple[heartbeat_schedule.Target, ...],
    ) -> None:
        self._sequence += 1
        heartbeat = peers.Heartbeat(
            process=self._identity.process,
            boot=self._identity.boot,
            role=self._identity.role,
            address=state.address,
            data_centre=self._identity.data_centre,
            sequence=self._sequence,
            config_version=own.config_version,
            view_version=own.view_version,
            leaving=own.leaving,
            loads=own.loads,
            peers=peer_membership.gossip(state),
        )
        for target in targets:
            promised = dataclasses.replace(
                heartbeat, interval_s=target.interval_s
            )
            self._streams.send(target.address, promised)


def _all_of(
    *groups: heartbeat_schedule.Group,
) -> tuple[heartbeat_schedule.Target, ...]:
    return tuple(
        target
        for group in groups
        for target in heartbeat_schedule.all_of(group)
    )
