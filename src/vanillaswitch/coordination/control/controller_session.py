"""A controller's session: renews its own lease and watches the others."""

import dataclasses
import random

from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.control import session_leases
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.state import settings as settings_lib

DELETE_AFTER_TERMS = 20
"""A session is deleted if it is unchanged for this many terms."""

MAX_DELETES_PER_TRANSACTION = 64
"""Limit on the sessions that one transaction deletes."""


class ControllerSession:
    """The session of one start of a controller."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        table: platform.Table,
        clock: clock_lib.Clock,
        rng: random.Random,
    ):
        """Creates a session without a lease."""
        self._name = settings.process
        self._term_s = settings.lease_s
        self._table = table
        self._clock = clock
        self._rng = rng
        session = rows.Session(
            boot=ids.new_id(rng),
            address=settings.peer_listen,
            data_centre=settings.data_centre,
            renewals=0,
        )
        self._lease = session_leases.Lease(session)
        self._first_granted_at: float | None = None
        self._watch = session_leases.Watch()

    @property
    def name(self) -> str:
        """The controller's name."""
        return self._name

    @property
    def boot(self) -> str:
        """Random id of this start."""
        return self._lease.session.boot

    @property
    def has_lease(self) -> bool:
        """Whether the session lease is held right now."""
        return self._lease.is_held(self._clock.monotonic())

    @property
    def may_rebalance(self) -> bool:
        """Whether one renewal interval has passed since the first grant.

        Without this wait, the first of several controllers that start at the
        same time would take every duty and then hand most of them over.
        """
        if self._first_granted_at is None:
            return False
        waited_s = self._clock.monotonic() - self._first_granted_at
        return waited_s >= self._term_s / session_leases.RENEWALS_PER_TERM

    def renew(self) -> None:
        """Renews the lease, unless another start has taken the row."""
        if self._lease.superseded:
            return
        sent_at = self._clock.monotonic()
        self._lease, put = session_leases.prepare_renewal(
            self._lease, self._name
        )
        outcome = self.commit((put,))
        self._lease = session_leases.apply_renewal(
            self._lease, outcome, sent_at, self._term_s
        )
        if self._first_granted_at is None and self.has_lease:
            self._first_granted_at = self._clock.monotonic()

    def read_sessions(self) -> bool:
        """Reads every session row; returns whether the table answered."""
        sent_at = self._clock.monotonic()
        found = self._table.scan(keys.SESSIONS)
        if isinstance(found, platform.Unavailable):
            return False
        answered_at = self._clock.monotonic()
        self._watch = session_leases.observe(
            self._watch, found.rows, sent_at, answered_at, self._term_s
        )
        return True

    def live_controllers(self) -> dict[str, str]:
        """Returns the boot id of each controller whose lease may be valid."""
        return session_leases.live_controllers(self._watch, self._term_s)

    def delete_dead_sessions(self) -> None:
        """Deletes the rows of controllers that have been dead for long.

        The live controller with the first name does this for all. It is
        harmless if another controller tries as well.
        """
        puts = session_leases.dead_session_deletes(
            self._watch, DELETE_AFTER_TERMS * self._term_s
        )
        first = min(self.live_controllers(), default="")
        if puts and self.has_lease and self._name == first:
            self.commit(tuple(puts[:MAX_DELETES_PER_TRANSACTION]))

    def delete_session(self) -> None:
        """Deletes the session's row and stops renewing it."""
        key = keys.session(self._name)
        self.commit((platform.Put(key, self._lease.version, None),))
        self._lease = dataclasses.replace(self._lease, superseded=True)

    def commit(self, puts: tuple[platform.Put, ...]) -> platform.CommitOutcome:
        """Commits writes; gives up after one renewal interval."""
        transaction = platform.Transaction(ids.new_id(self._rng), puts)
        timeout_s = self._term_s / session_leases.RENEWALS_PER_TERM
        deadline = self._clock.monotonic() + timeout_s
        return commit_retries.commit_with_retries(
            self._table, transaction, self._clock, deadline
        )
