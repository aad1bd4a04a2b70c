"""Session leases of controllers, which need no synchronized clocks.

Each controller renews one row. The holder measures its term from before it
sends the renewal. A watcher measures from after it first reads the renewed
row. The lease therefore expires for the holder before any watcher considers
the holder dead.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

EXPIRY_FACTOR = 1.1
"""Terms that a watcher waits; above 1 because clock rates may differ."""

RENEWALS_PER_TERM = 3


@dataclasses.dataclass(frozen=True)
class Lease:
    """The holder's view of its own session lease.

    Attributes:
        session: content that its row has, or gets with the next renewal.
        version: version of its row as last read.
        expires_at: monotonic seconds at which the lease expires; None before
            the first grant.
        superseded: whether another start took the row; if so, the lease is
            never renewed again.
    """

    session: rows.Session
    version: int = platform.ABSENT
    expires_at: float | None = None
    superseded: bool = False

    def is_held(self, now: float) -> bool:
        """Returns whether the holder may still act under this lease."""
        is_granted = self.expires_at is not None and now < self.expires_at
        return is_granted and not self.superseded


def prepare_renewal(lease: Lease, name: str) -> tuple[Lease, platform.Put]:
    """Returns the lease with the next renewal number, and the renewal."""
    session = dataclasses.replace(
        lease.session, renewals=lease.session.renewals + 1
    )
    put = platform.Put(keys.session(name), lease.version, rows.dump(session))
    return dataclasses.replace(lease, session=session), put


def apply_renewal(
    lease: Lease,
    outcome: platform.CommitOutcome,
    sent_at: float,
    term_s: float,
) -> Lease:
    """Returns the lease after a renewal.

    Args:
        lease: as ``prepare_renewal`` returned it.
        outcome: outcome of the write.
        sent_at: monotonic seconds from before the write was sent. The answer
            may be arbitrarily late, while watchers count from the write.
        term_s: term of the lease.
    """
    if isinstance(outcome, platform.Committed):
        return dataclasses.replace(
            lease, version=outcome.version, expires_at=sent_at + term_s
        )
    if isinstance(outcome, platform.Conflict):
        return _resolve_conflict(lease, outcome.found)
    return lease


def _resolve_conflict(lease: Lease, found: tuple[platform.Row, ...]) -> Lease:
    """Takes over the row's version, or marks the lease as superseded.

    A renewal whose answer was lost may still take effect. The next renewal
    then conflicts with the controller's own row. That row does not extend the
    lease, as the time at which its renewal was sent is no longer known.
    """
    for row in found:
        is_first = lease.version == platform.ABSENT
        if row.version == platform.ABSENT or is_first:
            return dataclasses.replace(lease, version=row.version)
        if rows.load(rows.Session, row.value).boot != lease.session.boot:
            return dataclasses.replace(lease, superseded=True)
        return dataclasses.replace(lease, version=row.version)
    return lease


@dataclasses.dataclass(frozen=True)
class Observation:
    """A session row as read by a watcher.

    Attributes:
        session: content of the row.
        version: version of the row.
        since: monotonic seconds after the first read with this version.
    """

    session: rows.Session
    version: int
    since: float


@dataclasses.dataclass(frozen=True)
class Watch:
    """What a watcher knows of every session row.

    Attributes:
        observations: by the controller's name.
        read_answered_at: monotonic seconds after the last answered read.
        read_sent_at: monotonic seconds before that read was sent.
    """

    observations: Mapping[str, Observation] = dataclasses.field(
        default_factory=dict
    )
    read_answered_at: float = 0.0
    read_sent_at: float = 0.0


def observe(
    watch: Watch,
    found: Iterable[platform.Row],
    sent_at: float,
    answered_at: float,
    term_s: float,
) -> Watch:
    """Returns the watch after one read of all session rows.

    If the table could not be read for a while, no controller could renew
    either. All sessions would then look dead to the first reader. After such a
    gap the watch starts counting again, so that an outage moves no duty.

    Args:
        watch: the watch before the read.
        found: all session rows.
        sent_at: monotonic seconds before the read was sent.
        answered_at: monotonic seconds after it was answered.
        term_s: term of the leases.
    """
    has_gap = sent_at - watch.read_answered_at > term_s / 2
    observations = {}
    for row in found:
        name = keys.name_of(keys.SESSIONS, row.key)
        observation = watch.observations.get(name)
        if observation is None or observation.version != row.version or has_gap:
            session = rows.load(rows.Session, row.value)
            observation = Observation(session, row.version, answered_at)
        observations[name] = observation
    return Watch(
        observations, read_answered_at=answered_at, read_sent_at=sent_at
    )


def unchanged_s(watch: Watch, name: str) -> float:
    """Returns for how many seconds a session has certainly not changed."""
    return watch.read_sent_at - watch.observations[name].since


def live_controllers(watch: Watch, term_s: float) -> dict[str, str]:
    """Returns the boot id of each controller whose lease may be valid."""
    return {
        name: observation.session.boot
        for name, observation in watch.observations.items()
        if unchanged_s(watch, name) <= term_s * EXPIRY_FACTOR
    }


def dead_session_deletes(watch: Watch, after_s: float) -> list[platform.Put]:
    """Returns writes that delete sessions unchanged for ``after_s``."""
    return [
        platform.Put(keys.session(name), observation.version, None)
        for name, observation in sorted(watch.observations.items())
        if unchanged_s(watch, name) > after_s
    ]
