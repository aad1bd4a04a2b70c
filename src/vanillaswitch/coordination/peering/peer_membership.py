"""Liveness of peers as one process sees it from their heartbeats.

The functions are pure: they take a state and an event and return the next
state. All times are monotonic seconds of the local clock; clocks of different
processes are never compared. Ownership depends on the leases in the table
only; this is soft state for routing and load.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import ipaddress

from vanillaswitch.protocol import peers

MIN_INTERVAL_S = 0.5
MAX_INTERVAL_S = 10.0
SUSPECT_INTERVALS = 3.0
GONE_INTERVALS = 6.0
LOAD_VALID_INTERVALS = 3.0
FORGET_AFTER_S = 60.0
PAUSE_THRESHOLD_S = 1.5
MAX_MEMBERS = 256
MAX_LEARNED_ADDRESSES = 256
MAX_PREVIOUS_BOOTS = 4


class Liveness(enum.StrEnum):
    """Liveness of a member as seen from here."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class PreviousBoot:
    """An earlier start of a process, replaced by a later one.

    Attributes:
        boot: random id of that start.
        sequence: of its newest heartbeat.
        replaced_at: when a heartbeat of another boot replaced it.
    """

    boot: str
    sequence: int
    replaced_at: float


@dataclasses.dataclass(frozen=True)
class Member:
    """A process that sent at least one heartbeat.

    Attributes:
        last_heartbeat: its newest heartbeat.
        liveness: liveness as of the last tick or heartbeat.
        received_at: when ``last_heartbeat`` was received.
        silent_since: start of its silence: ``received_at`` plus the time for
            which this process was paused since.
        previous_boots: its earlier boots, the latest one last.
    """

    last_heartbeat: peers.Heartbeat
    liveness: Liveness
    received_at: float
    silent_since: float
    previous_boots: tuple[PreviousBoot, ...] = ()


@dataclasses.dataclass(frozen=True)
class MembershipState:
    """What one process knows about its peers.

    Attributes:
        process: name of this process; it is not one of its own members.
        address: peer address of this process.
        seeds: addresses from the settings, never forgotten.
        last_tick_at: when ``with_liveness_checked`` last ran.
        members: by process.
        learned: addresses from peers' heartbeats, with the time of the first.
        name_conflicts: number of heartbeats from other processes that use this
            process's name.
    """

    process: str
    address: str
    seeds: tuple[str, ...]
    last_tick_at: float
    members: Mapping[str, Member] = dataclasses.field(default_factory=dict)
    learned: Mapping[str, float] = dataclasses.field(default_factory=dict)
    name_conflicts: int = 0


def announced_interval_s(heartbeat: peers.Heartbeat) -> float:
    """Returns the announced time to the next heartbeat, within bounds."""
    announced = max(MIN_INTERVAL_S, heartbeat.interval_s)
    return min(announced, MAX_INTERVAL_S)


def with_heartbeat(
    state: MembershipState, heartbeat: peers.Heartbeat, now: float
) -> MembershipState:
    """Applies a heartbeat; an old or duplicate one changes nothing."""
    if heartbeat.process == state.process:
        return dataclasses.replace(
            state, name_conflicts=state.name_conflicts + 1
        )
    known = state.members.get(heartbeat.process)
    if known is None and len(state.members) >= MAX_MEMBERS:
        return state
    if known is not None and not _is_newer(known, heartbeat):
        return state
    member = Member(
        last_heartbeat=heartbeat,
        liveness=Liveness.GONE if heartbeat.leaving else Liveness.ALIVE,
        received_at=now,
        silent_since=now,
        previous_boots=_previous_boots(known, heartbeat.boot, now),
    )
    members = {**state.members, heartbeat.process: member}
    state = dataclasses.replace(state, members=members)
    return _with_learned(state, heartbeat.peers, now)


def _is_newer(known: Member, heartbeat: peers.Heartbeat) -> bool:
    """Whether a heartbeat is newer than the last known one.

    Boot ids are random and have no order, so a late message of an older boot
    looks like a restart. Two rules handle this. A replaced boot is not accepted
    again while its successor is alive. If a late message of an unknown old boot
    replaced the current one, no more messages of the old boot follow. Once the
    silence makes it suspect, the current boot is accepted again, because its
    sequence has grown since.
    """
    last = known.last_heartbeat
    if heartbeat.boot == last.boot:
        return heartbeat.sequence > last.sequence and not (
            last.leaving and not heartbeat.leaving
        )
    for retired in known.previous_boots:
        if retired.boot == heartbeat.boot:
            is_sequence_newer = heartbeat.sequence > retired.sequence
            return is_sequence_newer and known.liveness is not Liveness.ALIVE
    return True


def _previous_boots(
    known: Member | None, boot: str, now: float
) -> tuple[PreviousBoot, ...]:
    if known is None:
        return ()
    last = known.last_heartbeat
    if last.boot == boot:
        return known.previous_boots
    previous = [one for one in known.previous_boots if one.boot != boot]
    previous.append(PreviousBoot(last.boot, last.sequence, now))
    return tuple(previous[-MAX_PREVIOUS_BOOTS:])


def _with_learned(
    state: MembershipState, addresses: Iterable[str], now: float
) -> MembershipState:
    learned = dict(state.learned)
    for address in addresses:
        if len(learned) >= MAX_LEARNED_ADDRESSES:
            break
        if address not in learned and is_peer_address(address):
            learned[address] = now
    return dataclasses.replace(state, learned=learned)


def is_peer_address(address: str) -> bool:
    """Whether a text is "ip:port" with an IPv4 address and a valid port."""
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
        return 0 < int(port) < 65_536
    except ValueError:
        return False


def with_liveness_checked(
    state: MembershipState, now: float
) -> MembershipState:
    """Updates the liveness of all members; call it at least twice a second.

    A paused process receives nothing, so all its peers would look gone when it
    resumes. Only time in which this process ran counts as silence: a long gap
    between two ticks moves ``silent_since`` of every member forward.
    """
    since_last_tick_s = now - state.last_tick_at
    pause_s = (
        since_last_tick_s if since_last_tick_s > PAUSE_THRESHOLD_S else 0.0
    )
    members = {}
    for process, member in state.members.items():
        silent_since = min(now, member.silent_since + pause_s)
        if now - silent_since > FORGET_AFTER_S:
            continue
        members[process] = _with_liveness(member, silent_since, now)
    learned = {
        address: learned_at
        for address, learned_at in state.learned.items()
        if now - learned_at <= FORGET_AFTER_S
    }
    return dataclasses.replace(
        state, members=members, learned=learned, last_tick_at=now
    )


def _with_liveness(member: Member, silent_since: float, now: float) -> Member:
    return dataclasses.replace(
        member,
        silent_since=silent_since,
        liveness=_liveness(member.last_heartbeat, now - silent_since),
        previous_boots=tuple(
            one
            for one in member.previous_boots
            if now - one.replaced_at <= FORGET_AFTER_S
        ),
    )


def _liveness(last: peers.Heartbeat, silence_s: float) -> Liveness:
    missed_intervals = silence_s / announced_interval_s(last)
    if last.leaving or missed_intervals > GONE_INTERVALS:
        return Liveness.GONE
    if missed_intervals > SUSPECT_INTERVALS:
        return Liveness.SUSPECT
    return Liveness.ALIVE


def live_heartbeats(
    state: MembershipState, role: peers.Role | None = None
) -> tuple[peers.Heartbeat, ...]:
    """Returns the newest heartbeats of live members, ordered by process."""
    return tuple(
        member.last_heartbeat
        for _, member in sorted(state.members.items())
        if member.liveness is Liveness.ALIVE
        and (role is None or member.last_heartbeat.role is role)
    )


def known_addresses(state: MembershipState) -> tuple[str, ...]:
    """Returns every address to send heartbeats to, sorted.

    Gone members are included until they are forgotten. After a network
    partition ends, both sides would otherwise wait for each other's heartbeat.
    """
    known = {*state.seeds, *state.learned}
    known.update(one.last_heartbeat.address for one in state.members.values())
    known.discard(state.address)
    return tuple(sorted(filter(is_peer_address, known)))


def gossip_addresses(state: MembershipState) -> tuple[str, ...]:
    """Returns the addresses to send to peers in heartbeats.

    These are the addresses of live members only. If learned addresses were
    passed on too, peers would keep sending a dead one to each other for ever.
    """
    return tuple(
        sorted({one.address for one in live_heartbeats(state) if one.address})
    )


def peer_in_flight(state: MembershipState, now: float) -> Mapping[str, int]:
    """Returns the peers' requests in flight, summed by minion.

    A reported load expires after a few intervals without a new heartbeat: its
    sender has exited or has no requests in flight any more. The requests of a
    leaving member still run, so they count while it sends heartbeats.
    """
    total: dict[str, int] = {}
    for member in state.members.values():
        last = member.last_heartbeat
        if (
            now - member.received_at
            > LOAD_VALID_INTERVALS * announced_interval_s(last)
        ):
            continue
        for minion, in_flight in last.loads.items():
            total[minion] = total.get(minion, 0) + max(0, in_flight)
    return total
