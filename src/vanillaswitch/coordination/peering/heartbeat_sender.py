"""Sends a process's own heartbeats to its peers on a schedule."""

from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers


@dataclasses.dataclass(frozen=True)
class ProcessIdentity:
    """What identifies this process to its peers.

    Attributes:
        process: name of the process.
        boot: random id of this process start.
    """

    process: str
    boot: str
    role: peers.Role
    data_centre: str


@dataclasses.dataclass(frozen=True)
class LocalStatus:
    """The part of a heartbeat that changes while the process runs.

    Attributes:
        config_version: number of the configuration in force.
        view_version: version of the drains in the fleet view.
        is_leaving: whether the process is shutting down.
        loads: own requests in flight by minion instance.
    """

    config_version: int
    view_version: int
    is_leaving: bool
    loads: Mapping[str, int]


class HeartbeatSender:
    """Sends the heartbeats of one process; used by a single task."""

    def __init__(
        self, identity: ProcessIdentity, transport: peer_transport.PeerTransport
    ):
        self._identity = identity
        self._transport = transport
        self._tick_number = 0
        self._sequence = 0
        self._known_addresses: frozenset[str] = frozenset()
        self._leave_sent = False

    def send_due(
        self, state: peer_membership.MembershipState, status: LocalStatus
    ) -> None:
        """Advances by one tick and sends the heartbeats that are due."""
        self._tick_number += 1
        same_role, other_roles = self._groups(state)
        if status.is_leaving and not self._leave_sent:
            # Peers must stop sending work to this process at once, not only
            # when their next heartbeat is due.
            self._leave_sent = True
            self._send(state, status, _all_targets(same_role, other_roles))
            return
        due = (
            *heartbeat_schedule.due_targets(same_role, self._tick_number),
            *heartbeat_schedule.due_targets(other_roles, self._tick_number),
        )
        self._send(state, status, due)

    def send_to_new_addresses(
        self, state: peer_membership.MembershipState, status: LocalStatus
    ) -> None:
        """Sends to new addresses at once; closes streams to dropped ones."""
        known = frozenset(peer_membership.known_addresses(state))
        if known == self._known_addresses:
            return
        new = known - self._known_addresses
        self._known_addresses = known
        self._transport.close_all_except(known)
        all_targets = _all_targets(*self._groups(state))
        targets = tuple(one for one in all_targets if one.address in new)
        self._send(state, status, targets)

    def _groups(
        self, state: peer_membership.MembershipState
    ) -> tuple[heartbeat_schedule.PeerGroup, heartbeat_schedule.PeerGroup]:
        same_role_addresses = {
            member.last_heartbeat.address
            for member in state.members.values()
            if member.last_heartbeat.role is self._identity.role
            and member.liveness is not peer_membership.Liveness.GONE
        }
        known = peer_membership.known_addresses(state)
        return (
            heartbeat_schedule.same_role_group(
                [one for one in known if one in same_role_addresses]
            ),
            heartbeat_schedule.other_roles_group(
                [one for one in known if one not in same_role_addresses]
            ),
        )

    def _send(
        self,
        state: peer_membership.MembershipState,
        status: LocalStatus,
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
            config_version=status.config_version,
            view_version=status.view_version,
            leaving=status.is_leaving,
            loads=status.loads,
            peers=peer_membership.gossip_addresses(state),
        )
        for target in targets:
            announced = dataclasses.replace(
                heartbeat, interval_s=target.interval_s
            )
            self._transport.send(target.address, announced)


def _all_targets(
    *groups: heartbeat_schedule.PeerGroup,
) -> tuple[heartbeat_schedule.Target, ...]:
    return tuple(
        target
        for group in groups
        for target in heartbeat_schedule.all_targets(group)
    )
