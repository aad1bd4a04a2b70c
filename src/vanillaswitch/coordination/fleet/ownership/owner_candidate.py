"""A process's part in leader election: watch, take over and serve."""

from collections.abc import Callable
import dataclasses
import errno
import random

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

TAKE_OVER_JITTER_S = 0.15
"""A process that takes over first waits a random part of this, so that most
processes find the fleet already taken."""

WEAK_MACHINE_DELAY_S = 1.5
"""A machine that is too weak for a large fleet waits longer by this times its
weakness, so that a stronger machine takes over where one has been the owner.
That is twice the time others need to find out that there is no owner. A weak
owner keeps the fleet: in a test day with 179 instances it served 0.23 of the
work, a strong one 0.99 (one run each)."""

SUFFICIENT_CORES = 1.0
"""At 1,400 task starts per second an owner uses 0.46 of a core; weak machines
have only half a core."""

SUFFICIENT_MBPS = 50.0
"""540 starts per second of 2.4 KB each need 10 Mbit/s on average, and peaks
need up to five times the average."""

HINT_POLL_S = 0.1
"""How often a process checks whether its stream to the owner has ended: a tenth
of the time after which the row alone would show it."""

RELEASE_TIMEOUT_S = 1.0
"""Timeout for finishing the owner's last write, and for releasing the fleet."""

Probe = Callable[[str], int]
"""Connects to "ip:port" and returns the error number, 0 for none."""

AskTermEnded = Callable[[str, str, float], bool | None]
"""Asks the process at "ip:port" whether the term of a boot is over. The process
ends the term unless it could write in the last so many seconds. Returns None
without an answer."""


class OwnerCandidate:
    """Takes the fleet over when it has no live owner."""

    def __init__(
        self,
        outside: owners.Dependencies,
        operator: operator_table.OperatorTable,
        settings: deployments.Deployment,
        boot: str,
        clock: clocks.Clock,
        rng: random.Random,
        probe: Probe,
        ask_term_ended: AskTermEnded,
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
        self._ask_term_ended = ask_term_ended
        self._watch = watch
        self._watched_address = ""
        self._stream_ended = False
        self._own_row = fenced_writer.OwnerRow(
            settings.process, settings.internal_address, boot
        )
        self._monitor = owner_monitor.OwnerMonitor()
        self._owner: owners.Owner | None = None
        self._writer: fenced_writer.FencedWriter | None = None
        self._shutting_down = False
        self._owner_checked = False
        self._unreachable_boot = ""
        self._store_answered_at = -1e9

    @property
    def owner(self) -> owners.Owner | None:
        """This process's term, while it owns the fleet."""
        return self._owner

    @property
    def owner_address(self) -> str:
        """Address of the owner; empty if no owner is known."""
        return self._monitor.row.address

    @property
    def store_answered_at(self) -> float:
        """Monotonic seconds when the store last answered."""
        writer = self._writer
        if self._owner is not None and writer is not None:
            return writer.confirmed_at
        return self._store_answered_at

    def shut_down(self) -> None:
        """Ends this process's term, if any, and stops taking over."""
        self._shutting_down = True

    def run(self) -> None:
        """Watches the owner and takes over when there is none."""
        while not self._shutting_down:
            self._read_owner_row()
            if self._may_take_over():
                self._take_over()
                continue
            self._watch_owner()
            now = self._clock.monotonic()
            poll_faster = (
                self._monitor.is_suspect(now)
                or self._monitor.is_unresponsive
                or bool(self._unreachable_boot)
            )
            self._pause(
                owner_monitor.SUSPECT_READ_INTERVAL_S
                if poll_faster
                else owner_monitor.READ_INTERVAL_S
            )

    def _pause(self, seconds: float) -> None:
        """Sleeps, but returns early when the stream to the owner ends.

        The end of a stream shortens only one pause. Otherwise a store that
        can't be read would be read again without any pause, since the owner is
        still to be checked.
        """
        until = self._clock.monotonic() + seconds
        while self._clock.monotonic() < until and not self._stream_ended:
            self._clock.sleep(min(HINT_POLL_S, seconds))
        self._stream_ended = False

    def on_stream_closed(self, address: str) -> None:
        """Handles the end of a stream, a hint that its process ended.

        The owner's process is checked at once. By its row alone, a killed owner
        went unnoticed for 1.0 s, in which no task started.
        """
        if address and address == self._monitor.row.address:
            self._watched_address = ""
            self._owner_checked = False
            self._stream_ended = True

    def _watch_owner(self) -> None:
        """Opens a stream to a new owner, whose end hints at its loss."""
        address = self._monitor.row.address
        if address and address not in (
            self._watched_address,
            self._own_row.address,
        ):
            self._watched_address = address
            self._watch(address)

    def _read_owner_row(self) -> None:
        """Reads the owner's row, and checks its process if that is due."""
        asked_at = self._clock.monotonic()
        read = self._outside.table.read([fenced_writer.OWNER_KEY])
        now = self._clock.monotonic()
        if isinstance(read, platform.Unavailable):
            self._monitor.on_read_failed()
            return
        self._store_answered_at = now
        store_was_down = not self._monitor.is_row_readable
        version = read.rows[0].version if read.rows else platform.ABSENT
        row = (
            fenced_writer.decode_owner_row(read.rows[0].value)
            if read.rows
            else None
        )
        self._monitor.on_row_read(row, version, asked_at, now)
        # A process that has just started checks the owner at once. All
        # processes may have been lost, and waiting until the row is suspect
        # would cost a second in which no task starts.
        suspect = self._monitor.is_suspect(now)
        if (
            not self._owner_checked
            or suspect
            and not self._monitor.is_unresponsive
        ):
            self._owner_checked = True
            self._check_owner(self._monitor.row)
        elif store_was_down:
            # A live owner gets the chance to write first, so it is only
            # probed here and not asked to step down.
            self._probe_owner(self._monitor.row)
            if self._monitor.has_process_ended(self._monitor.row.boot):
                self._report_term_over(self._monitor.row)

    def _probe_owner(self, row: fenced_writer.OwnerRow) -> None:
        """Records whether a connection to the owner can be opened."""
        self._unreachable_boot = ""
        if not row.address or row.boot == self._own_row.boot:
            return
        error = self._probe(row.address)
        if error == errno.ECONNREFUSED:
            self._monitor.on_process_ended(row.boot)
        elif error:
            self._unreachable_boot = row.boot

    def _check_owner(self, row: fenced_writer.OwnerRow) -> None:
        """Finds out whether the term of a suspect owner is over.

        Its process has ended if nothing listens at its address, or if this
        process does. A live process that can't write ends its term when asked:
        this process can reach the store, and work is waiting.
        """
        if not row.address or row.boot == self._own_row.boot:
            return
        if row.address == self._own_row.address:
            self._monitor.on_process_ended(row.boot)
        elif row.boot != self._unreachable_boot:
            self._probe_owner(row)
        self._unreachable_boot = ""
        if not self._monitor.has_process_ended(row.boot):
            patience_s = self._monitor.suspect_after_s
            ended = self._ask_term_ended(row.address, row.boot, patience_s)
            if ended is None:
                self._monitor.on_process_unresponsive(row.boot)
            if not ended:
                return
            self._monitor.on_term_ended()
        self._report_term_over(row)

    def _report_term_over(self, row: fenced_writer.OwnerRow) -> None:
        age_s = self._monitor.unchanged_for_s(self._clock.monotonic())
        self._emit_owner("found-over", row.holder, 0, age_s)

    def _emit_owner(
        self, change: str, holder: str, token: int, age_s: float
    ) -> None:
        age_ms = int(age_s * 1000)
        self._emit(events.OwnerChanged(change, holder, token, age_ms))

    def step_down_if_stale(self, patience_s: float) -> bool:
        """Ends this process's term if its writes have gone unanswered.

        Args:
            patience_s: the term goes on if a write was answered in this time.

        Returns:
            Whether this process has no term now.
        """
        writer = self._writer
        # A term begins with its first write, before the rows are loaded. An
        # owner that stepped down while loading would never serve.
        if writer is None or writer.is_term_over:
            return True
        # Counts from the answer. Counted from when the write was sent, an
        # owner on a store 45 times slower would step down for every process
        # that has just started.
        age = self._clock.monotonic() - writer.answered_at
        if age < patience_s:
            return False
        self._emit_owner("yielded", self._own_row.holder, writer.token, age)
        writer.end_term()
        return True

    def _may_take_over(self) -> bool:
        """Returns whether to take over, after waiting for better machines."""
        if self._operator.config is None:
            return False
        if not self._monitor.may_take_over(self._clock.monotonic()):
            return False
        wait_s = self._rng.random() * TAKE_OVER_JITTER_S
        # Waits only if a stronger machine has owned the fleet before: there
        # may be none otherwise, and no task starts during the wait.
        shortfall = (
            machine_weakness(self._settings) - self._monitor.row.weakness
        )
        self._clock.sleep(wait_s + max(0.0, shortfall) * WEAK_MACHINE_DELAY_S)
        return True

    def _row_to_write(self) -> fenced_writer.OwnerRow:
        """Returns the owner's row as this process would write it."""
        known_weakness = self._monitor.row.weakness
        own_weakness = machine_weakness(self._settings)
        strongest = (
            min(known_weakness, own_weakness)
            if self._monitor.version
            else own_weakness
        )
        return dataclasses.replace(self._own_row, weakness=strongest)

    def _take_over(self) -> None:
        """Tries to take over, and serves until the term is over."""
        writer = fenced_writer.FencedWriter(
            self._outside.table, self._clock, self._row_to_write()
        )
        now = self._clock.monotonic()
        orders_from = self._monitor.operations_allowed_from(
            self._settings.bounds.lease_s, now
        )
        if not writer.take_over(self._monitor.version, orders_from):
            return
        self._writer = writer
        self._emit_owner("began", self._own_row.holder, writer.token, 0.0)
        owner = owners.Owner(
            self._outside,
            writer,
            self._settings,
            lambda: self._operator.config,
            self._clock,
            self._emit,
        )
        if not owner.load(lambda: self._shutting_down):
            logs.warning(
                "the fleet's rows could not be loaded; releasing the fleet"
                " to another process"
            )
            writer.release(RELEASE_TIMEOUT_S)
            return
        self._owner = owner
        try:
            with owner.serving():
                owner.wait(lambda: self._shutting_down)
                owner.finish(RELEASE_TIMEOUT_S)
        finally:
            self._owner = None
            age_s = self._clock.monotonic() - writer.confirmed_at
            self._emit_owner("ended", self._own_row.holder, writer.token, age_s)
        if not writer.is_term_over:
            writer.release(RELEASE_TIMEOUT_S)


def machine_weakness(settings: deployments.Deployment) -> float:
    """Returns the missing share of the resources needed for a large fleet.

    Returns:
        From 0 for a sufficient machine to 1.
    """
    cores = settings.cores / SUFFICIENT_CORES
    link = settings.link_mbps / SUFFICIENT_MBPS
    return max(0.0, 1.0 - min(cores, link))
