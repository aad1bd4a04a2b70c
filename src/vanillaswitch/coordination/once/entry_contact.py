"""Tracks since when an entry has been in contact with all other entries."""

from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import peers

MISSING_RETENTION_S = 3600.0
"""How long an entry that stopped sending heartbeats may still serve callers.

It may have lost the connection to its peers only. The other entries then
don't know which requests it runs.
"""

MAX_OBSERVATION_GAP_S = 5.0
"""If two observations lie further apart, this process was paused."""

Members = Mapping[str, peer_membership.Member]


@dataclasses.dataclass(frozen=True)
class EntryContact:
    """The contact of one entry with the other entries.

    Attributes:
        unbroken_since: monotonic seconds since which no entry was missing.
        observed_at: when ``observe`` last ran; None before the first time.
        last_heartbeats: the last heartbeats of the entries that are members.
        missing_since: by address, when an entry was dropped from the members
            although it had not announced that it leaves.
    """

    unbroken_since: float
    observed_at: float | None = None
    last_heartbeats: tuple[peers.Heartbeat, ...] = ()
    missing_since: Mapping[str, float] = dataclasses.field(default_factory=dict)


def observe(
    contact: EntryContact, members: Members, now: float
) -> EntryContact:
    """Updates the contact from the current members.

    This guards against the following failure: an entry runs a request and
    disappears, and the remaining entries, which don't know of the request, are
    taken for all entries that there are. Each entry that is suspect, leaving,
    replaced or dropped interrupts the contact. A member stays in ``members``
    for longer than ``MAX_OBSERVATION_GAP_S`` after it stopped sending, so
    observations that are this far apart miss none.

    Args:
        contact: as of the previous observation.
        members: all members, including controllers.
        now: monotonic seconds.
    """
    entries = [
        member
        for member in members.values()
        if member.last_heartbeat.role is peers.Role.ENTRY
    ]
    missing_since = _update_missing(contact, entries, now)
    is_away = any(
        member.liveness is not peer_membership.Liveness.ALIVE
        or member.previous_boots
        for member in entries
    )
    previous = now if contact.observed_at is None else contact.observed_at
    was_paused = now - previous > MAX_OBSERVATION_GAP_S
    return EntryContact(
        unbroken_since=now
        if missing_since or is_away or was_paused
        else contact.unbroken_since,
        observed_at=now,
        last_heartbeats=tuple(member.last_heartbeat for member in entries),
        missing_since=missing_since,
    )


def _update_missing(
    contact: EntryContact, entries: list[peer_membership.Member], now: float
) -> Mapping[str, float]:
    # Only one process can listen at an address. A heartbeat from an address
    # shows that the process that used it before is gone. Its successor reports
    # itself since when it has been running.
    present = {member.last_heartbeat.address for member in entries}
    missing_since = {
        address: since
        for address, since in contact.missing_since.items()
        if address not in present and now - since <= MISSING_RETENTION_S
    }
    for heartbeat in contact.last_heartbeats:
        if heartbeat.address not in present and not heartbeat.leaving:
            missing_since[heartbeat.address] = now
    return missing_since


def live_entry_heartbeats(members: Members) -> tuple[peers.Heartbeat, ...]:
    """Returns the newest heartbeat of each live entry, sorted by process."""
    return tuple(
        member.last_heartbeat
        for _, member in sorted(members.items())
        if member.last_heartbeat.role is peers.Role.ENTRY
        and member.liveness is peer_membership.Liveness.ALIVE
    )
