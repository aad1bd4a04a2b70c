"""A process's part in owning the fleet: waiting, taking over, serving."""

from collections.abc import Callable
import errno
import random

from vanillaswitch.coordination.fleet import operators
from vanillaswitch.coordination.fleet import owner as owners
from vanillaswitch.coordination.fleet import recorder as recorders
from vanillaswitch.coordination.fleet import succession
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

SUSPECT_S = 1.1
"""An owner that wrote nothing for so long, two writes, is looked for at its
address: where nothing listens its process has ended, and the rest of its
term need not be waited for. A cut may refuse connections too, so this alone,
with an owner that goes on writing, is no reason to take over."""

SPREAD_S = 0.15
"""Takers-over wait a random part of this, so that most find it done."""

LEAVE_S = 1.0
"""Longest wait for the owner's last write on leaving."""

Probe = Callable[[str], int]
"""Connects to "ip:port" and returns the error number, 0 for none."""


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
    ):
        self._outside = outside
        self._operator = operator
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._probe = probe
        self._me = recorders.OwnerRow(
            settings.process, settings.internal_address, boot
        )
        term_s = settings.bounds.lease_s + succession.TERM_MARGIN_S
        self._succession = succession.Succession(term_s)
        self._owner: owners.Owner | None = None
        self._recorder: recorders.Recorder | None = None
        self._leaving = False
        self._store_answered_at = -1e9
        self._changed_at = 0.0

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
            else:
                self._clock.sleep(succession.READ_EVERY_S)

    def _read(self) -> None:
        read = self._outside.table.read([recorders.OWNER_KEY])
        now = self._clock.monotonic()
        if isinstance(read, platform.Unavailable):
            self._succession.unread()
            return
        self._store_answered_at = now
        version = read.rows[0].version if read.rows else platform.ABSENT
        row = recorders.owner_row(read.rows[0].value) if read.rows else None
        if version != self._succession.version:
            self._changed_at = now
        self._succession.observed(row, version, now)
        if now - self._changed_at >= SUSPECT_S:
            self._look_for(self._succession.row)

    def _look_for(self, row: recorders.OwnerRow) -> None:
        if not row.address or self._probe(row.address) != errno.ECONNREFUSED:
            return
        logs.info("the owner {} has ended", row.holder)
        self._succession.process_ended(row.boot)

    def _may_take_over(self) -> bool:
        if self._operator.config is None:
            return False
        if not self._succession.may_take_over(self._clock.monotonic()):
            return False
        self._clock.sleep(self._rng.random() * SPREAD_S)
        return True

    def _take_over(self) -> None:
        recorder = recorders.Recorder(
            self._outside.table, self._clock, self._me
        )
        if not recorder.take_over(self._succession.version):
            return
        logs.info("owns the fleet with token {}", recorder.token)
        self._recorder = recorder
        owner = owners.Owner(
            self._outside,
            recorder,
            self._settings,
            lambda: self._operator.config,
            self._clock,
        )
        if not owner.load():
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
            logs.info("owns the fleet no more")
        if not recorder.deposed:
            recorder.release(LEAVE_S)
