"""A process's part in owning the fleet: waiting, taking over, serving."""

from collections.abc import Callable
import dataclasses
import errno
import random

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import operators
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

SPREAD_S = 0.15
"""Takers-over wait a random part of this, so that most find it done."""

WEAK_S = 1.5
"""A machine that is too weak for a large fleet waits longer by this times what
it lacks, so that a stronger one becomes the owner where one has been: twice as
long as others take to find out that there is no owner. A weak owner stays, and
on a played day with 179 instances it served 0.23 of the work, a strong one
0.99 (one play each)."""

ENOUGH_CORES = 1.0
"""At 1,400 task starts a second an owner takes 0.46 of a core; half a core is
all that weak machines have."""

ENOUGH_MBPS = 50.0
"""Computed, not measured: starts of 2.4 KB each, 540 a second, are 10 Mbit/s in
the mean, and a turn asks for up to five times the mean."""

HINT_S = 0.1
"""How often a process that watches the owner looks whether their stream has
ended: a tenth of the time that the row alone would take to show it."""

LEAVE_S = 1.0
"""Longest wait for the owner's last write on leaving."""

Probe = Callable[[str], int]
"""Connects to "ip:port" and returns the error number, 0 for none."""

TermEnded = Callable[[str, str, float], bool | None]
"""Asks the process at "ip:port" whether the term of a boot is over, which it
ends unless it could write in the last so many seconds; None without an
answer."""


class Member:
    """Takes the fleet over when it has no living owner."""

    def __init__(
        self,
        outside: owners.Outside,
        operator: operators.Operators,
        settings: deployments.Deployment,
        boot: str,
        clock: clocks.Clock,
        rng: random.Random,
        probe: Probe,
        term_ended: TermEnded,
        watch: Callable[[str], None],
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._outside = outside
        self._operator = operator
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._probe = probe
        self._term_ended = term_ended
        self._watch = watch
        self._watched = ""
        self._hinted = False
        self._me = recorders.OwnerRow(
            settings.process, settings.internal_address, boot
        )
        self._succession = succession.Succession()
        self._owner: owners.Owner | None = None
        self._recorder: recorders.Recorder | None = None
        self._leaving = False
        self._looked = False
        self._unreached = ""
        self._store_answered_at = -1e9

    @property
    def owner(self) -> owners.Owner | None:
        """This process's term, while it owns the fleet."""
        return self._owner

    @property
    def owner_address(self) -> str:
        """Where the owner listens; empty when nobody is known to own it."""
        return self._succession.row.address

    @property
    def store_answered_at(self) -> float:
        """Monotonic seconds at which the store last answered."""
        recorder = self._recorder
        if self._owner is not None and recorder is not None:
            return recorder.confirmed_at
        return self._store_answered_at

    def leave(self) -> None:
        """Gives the fleet up and takes it no more."""
        self._leaving = True

    def run(self) -> None:
        """Watches the owner and takes over when there is none."""
        while not self._leaving:
            self._read()
            if self._may_take_over():
                self._take_over()
                continue
            self._watch_owner()
            now = self._clock.monotonic()
            soon = (
                self._succession.suspect(now)
                or self._succession.is_silent
                or bool(self._unreached)
            )
            self._pause(
                succession.READ_SUSPECT_S if soon else succession.READ_EVERY_S
            )

    def _pause(self, seconds: float) -> None:
        """Sleeps, less long where the owner's stream ends meanwhile.

        Each end shortens one pause: a store that can't be read leaves the
        owner to be looked for, and would be read again without any pause.
        """
        until = self._clock.monotonic() + seconds
        while self._clock.monotonic() < until and not self._hinted:
            self._clock.sleep(min(HINT_S, seconds))
        self._hinted = False

    def stream_closed(self, address: str) -> None:
        """Takes the end of a stream as a hint that a process ended.

        That of the owner is looked at right away: found by its row alone, an
        owner that was killed was missed for 1.0 s, in which nothing started.
        """
        if address and address == self._succession.row.address:
            self._watched = ""
            self._looked = False
            self._hinted = True

    def _watch_owner(self) -> None:
        address = self._succession.row.address
        if address and address not in (self._watched, self._me.address):
            self._watched = address
            self._watch(address)

    def _read(self) -> None:
        asked_at = self._clock.monotonic()
        read = self._outside.table.read([recorders.OWNER_KEY])
        now = self._clock.monotonic()
        if isinstance(read, platform.Unavailable):
            self._succession.unread()
            return
        self._store_answered_at = now
        was_away = not self._succession.is_read
        version = read.rows[0].version if read.rows else platform.ABSENT
        row = recorders.owner_row(read.rows[0].value) if read.rows else None
        self._succession.observed(row, version, asked_at, now)
        # A process that has just started may follow the loss of all; it
        # looks at once, instead of after the pause of an owner that it has
        # seen writing, which costs a second of nothing being started.
        suspect = self._succession.suspect(now)
        if not self._looked or suspect and not self._succession.is_silent:
            self._looked = True
            self._look_for(self._succession.row)
        elif was_away:
            # An owner that lives has the first turn, and is not asked yet.
            self._reach(self._succession.row)
            if self._succession.has_ended(self._succession.row.boot):
                self._tell_over(self._succession.row)

    def _reach(self, row: recorders.OwnerRow) -> None:
        """Finds out whether a connection to the owner can be opened."""
        self._unreached = ""
        if not row.address or row.boot == self._me.boot:
            return
        error = self._probe(row.address)
        if error == errno.ECONNREFUSED:
            self._succession.process_ended(row.boot)
        elif error:
            self._unreached = row.boot

    def _look_for(self, row: recorders.OwnerRow) -> None:
        """Finds out whether a suspect owner's term is over.

        Its process has ended when nothing listens where it did, or another
        one does. A process that lives ends its term when asked if it can't
        write: this one can reach the store, and work waits.
        """
        if not row.address or row.boot == self._me.boot:
            return
        if row.address == self._me.address:
            self._succession.process_ended(row.boot)
        elif row.boot != self._unreached:
            self._reach(row)
        self._unreached = ""
        if not self._succession.has_ended(row.boot):
            patience_s = self._succession.suspect_after_s
            ended = self._term_ended(row.address, row.boot, patience_s)
            if ended is None:
                self._succession.process_silent(row.boot)
            if not ended:
                return
            self._succession.term_ended()
        self._tell_over(row)

    def _tell_over(self, row: recorders.OwnerRow) -> None:
        age_s = self._succession.unchanged_s(self._clock.monotonic())
        self._emit_owner("found-over", row.holder, 0, age_s)

    def _emit_owner(
        self, change: str, holder: str, token: int, age_s: float
    ) -> None:
        age_ms = int(age_s * 1000)
        self._emit(events.OwnerChanged(change, holder, token, age_ms))

    def yield_term(self, patience_s: float) -> bool:
        """Ends this process's term if it could not write lately.

        Args:
            patience_s: a write in the last so many seconds is lately.

        Returns:
            Whether it has no term now.
        """
        recorder = self._recorder
        # A term begins with the first write, while the rows are still read:
        # an owner that gave way then would never get to serve.
        if recorder is None or recorder.deposed:
            return True
        # Counted from the answer: from when that write was sent, an owner on
        # a store 45 times slower gave way to any process that had just begun.
        age = self._clock.monotonic() - recorder.answered_at
        if age < patience_s:
            return False
        self._emit_owner("yielded", self._me.holder, recorder.token, age)
        recorder.depose()
        return True

    def _may_take_over(self) -> bool:
        if self._operator.config is None:
            return False
        if not self._succession.may_take_over(self._clock.monotonic()):
            return False
        wait_s = self._rng.random() * SPREAD_S
        # Where no stronger machine has ever owned the fleet there is none to
        # leave it to, and nothing starts meanwhile.
        weaker = weakness(self._settings) - self._succession.row.weakness
        self._clock.sleep(wait_s + max(0.0, weaker) * WEAK_S)
        return True

    def _row_to_write(self) -> recorders.OwnerRow:
        """Returns what this process writes as the next owner."""
        known = self._succession.row.weakness
        mine = weakness(self._settings)
        strongest = min(known, mine) if self._succession.version else mine
        return dataclasses.replace(self._me, weakness=strongest)

    def _take_over(self) -> None:
        recorder = recorders.Recorder(
            self._outside.table, self._clock, self._row_to_write()
        )
        now = self._clock.monotonic()
        orders_from = self._succession.orders_from(
            self._settings.bounds.lease_s, now
        )
        if not recorder.take_over(self._succession.version, orders_from):
            return
        self._recorder = recorder
        self._emit_owner("began", self._me.holder, recorder.token, 0.0)
        owner = owners.Owner(
            self._outside,
            recorder,
            self._settings,
            lambda: self._operator.config,
            self._clock,
            self._emit,
        )
        if not owner.load(lambda: self._leaving):
            logs.warning("the fleet's rows can't be read")
            recorder.release(LEAVE_S)
            return
        self._owner = owner
        try:
            with owner.serving():
                owner.wait(lambda: self._leaving)
                owner.finish(LEAVE_S)
        finally:
            self._owner = None
            age_s = self._clock.monotonic() - recorder.confirmed_at
            self._emit_owner("ended", self._me.holder, recorder.token, age_s)
        if not recorder.deposed:
            recorder.release(LEAVE_S)


def weakness(settings: deployments.Deployment) -> float:
    """Returns what a machine lacks to own a large fleet, from 0 to 1."""
    cores = settings.cores / ENOUGH_CORES
    link = settings.link_mbps / ENOUGH_MBPS
    return max(0.0, 1.0 - min(cores, link))
