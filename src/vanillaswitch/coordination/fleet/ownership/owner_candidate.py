"""One process's part in the leader election.

Every process watches the owner's row. When the fleet has no live owner, it
tries to become the owner, and runs an ``Owner`` until its term is over.
"""

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
"""A process waits a random part of this time before it takes over, so that few
processes try at the same time."""

WEAK_MACHINE_DELAY_S = 1.5
"""Additional wait before a weak machine takes over: this time, multiplied by
the difference between its weakness and that of the best machine that has owned
the fleet. It is twice the time that other processes need to notice that there
is no owner, so that a stronger machine takes over if there is one. An owner
keeps the fleet even if its machine is weak: in a test with 179 instances, a
weak owner completed 0.23 of the work and a strong one 0.99 (one run each)."""

SUFFICIENT_CORES = 1.0
"""At 1,400 task starts per second an owner uses 0.46 of a core; weak machines
have only half a core."""

SUFFICIENT_MBPS = 50.0
"""540 task starts per second of 2.4 KB each need 10 Mbit/s on average, and
peaks need up to five times the average."""

STREAM_CHECK_INTERVAL_S = 0.1
"""Interval at which a process checks whether its stream (a connection that
stays open) to the owner has closed. It is a tenth of the time after which the
owner's row would show the loss."""

RELEASE_TIMEOUT_S = 1.0
"""Timeout for the owner's last write, and for releasing the fleet."""

Probe = Callable[[str], int]
"""Opens a TCP connection to "ip:port"; returns the errno, or 0 on success."""

AskTermEnded = Callable[[str, str, float], bool | None]
"""Asks an owner whether its term is over. The arguments are its address, the
boot id in its row, and a number of seconds: it ends its term if the store has
answered none of its writes for that long. Returns None without an answer."""


class OwnerCandidate:
    """Takes over the fleet when it has no live owner."""

    def __init__(
        self,
        dependencies: owners.Dependencies,
        operator_table_: operator_table.OperatorTable,
        settings: deployments.Deployment,
        boot: str,
        clock: clocks.Clock,
        rng: random.Random,
        probe: Probe,
        ask_term_ended: AskTermEnded,
        keep_stream_open: Callable[[str], None],
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._dependencies = dependencies
        self._operator_table = operator_table_
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._probe = probe
        self._ask_term_ended = ask_term_ended
        self._keep_stream_open = keep_stream_open
        self._stream_address = ""
        self._stream_ended = False
        self._own_row = fenced_writer.OwnerRow(
            settings.process, settings.internal_address, boot
        )
        self._monitor = owner_monitor.OwnerMonitor()
        self._owner: owners.Owner | None = None
        self._writer: fenced_writer.FencedWriter | None = None
        self._is_shutting_down = False
        self._is_owner_checked = False
        self._unreachable_boot = ""
        self._store_answered_at = -1e9

    @property
    def owner(self) -> owners.Owner | None:
        """The running owner; None while this process does not own the fleet."""
        return self._owner

    @property
    def owner_address(self) -> str:
        """Address of the owner; empty if no owner is known."""
        return self._monitor.row.address

    @property
    def store_answered_at(self) -> float:
        """Monotonic seconds at which the store was last known to answer.

        For an owner this is when its last successful write was sent.
        """
        writer = self._writer
        if self._owner is not None and writer is not None:
            return writer.last_write_sent_at
        return self._store_answered_at

    def shut_down(self) -> None:
        """Ends this process's term, if any; it never takes over again."""
        self._is_shutting_down = True

    def run(self) -> None:
        """Watches the owner and takes over when there is none."""
        while not self._is_shutting_down:
            self._read_and_check_owner()
            if self._may_take_over():
                self._take_over()
                continue
            self._open_owner_stream()
            now = self._clock.monotonic()
            poll_faster = (
                self._monitor.is_suspect(now)
                or self._monitor.is_unresponsive
                or bool(self._unreachable_boot)
            )
            self._wait_for_next_read(
                owner_monitor.SUSPECT_READ_INTERVAL_S
                if poll_faster
                else owner_monitor.READ_INTERVAL_S
            )

    def _wait_for_next_read(self, seconds: float) -> None:
        """Sleeps, but returns early when the stream to the owner closes.

        A closed stream shortens only one pause. The owner stays unchecked until
        its row is read, so a store that can't be read would otherwise be read
        again without any pause.
        """
        until = self._clock.monotonic() + seconds
        while self._clock.monotonic() < until and not self._stream_ended:
            self._clock.sleep(min(STREAM_CHECK_INTERVAL_S, seconds))
        self._stream_ended = False

    def on_stream_closed(self, address: str) -> None:
        """Handles a closed stream, which suggests that its process ended.

        If it was the owner's, checks the owner immediately. When only the row
        was checked, a killed owner went unnoticed for 1.0 s, during which no
        task started.
        """
        if address and address == self._monitor.row.address:
            self._stream_address = ""
            self._is_owner_checked = False
            self._stream_ended = True

    def _open_owner_stream(self) -> None:
        """Opens a stream to a new owner, to notice when its process ends."""
        address = self._monitor.row.address
        if address and address not in (
            self._stream_address,
            self._own_row.address,
        ):
            self._stream_address = address
            self._keep_stream_open(address)

    def _read_and_check_owner(self) -> None:
        """Reads the owner's row, and checks whether the owner is alive.

        Checks only an owner that is suspect, that was not checked before, or
        whose row is readable again.
        """
        requested_at = self._clock.monotonic()
        read = self._dependencies.table.read([fenced_writer.OWNER_KEY])
        now = self._clock.monotonic()
        if isinstance(read, platform.Unavailable):
            self._monitor.on_read_failed()
            return
        self._store_answered_at = now
        was_unreadable = not self._monitor.is_row_readable
        version = read.rows[0].version if read.rows else platform.ABSENT
        row = (
            fenced_writer.decode_owner_row(read.rows[0].value)
            if read.rows
            else None
        )
        self._monitor.on_row_read(row, version, requested_at, now)
        # A process that has just started checks the owner immediately. All
        # processes may have been lost, and no task would start for the second
        # until the owner is suspect.
        is_suspect = self._monitor.is_suspect(now)
        if (
            not self._is_owner_checked
            or is_suspect
            and not self._monitor.is_unresponsive
        ):
            self._is_owner_checked = True
            self._check_owner(self._monitor.row)
        elif was_unreadable:
            # A live owner may write first after an outage, so this only probes
            # it and does not ask it to step down.
            self._probe_owner(self._monitor.row)
            if self._monitor.has_process_ended(self._monitor.row.boot):
                self._report_term_over(self._monitor.row)

    def _probe_owner(self, row: fenced_writer.OwnerRow) -> None:
        """Records whether the owner's process accepts connections."""
        self._unreachable_boot = ""
        if not row.address or row.boot == self._own_row.boot:
            return
        error = self._probe(row.address)
        if error == errno.ECONNREFUSED:
            self._monitor.on_process_ended(row.boot)
        elif error:
            self._unreachable_boot = row.boot

    def _check_owner(self, row: fenced_writer.OwnerRow) -> None:
        """Finds out whether the owner's term is over, and records it.

        The owner's process has ended if nothing listens at its address, or if
        this process does. Otherwise this asks it to step down if it can't
        write, because this process can reach the store and work is waiting.
        """
        if not row.address or row.boot == self._own_row.boot:
            return
        if row.address == self._own_row.address:
            self._monitor.on_process_ended(row.boot)
        elif row.boot != self._unreachable_boot:
            self._probe_owner(row)
        self._unreachable_boot = ""
        if not self._monitor.has_process_ended(row.boot):
            max_answer_age_s = self._monitor.suspect_after_s
            ended = self._ask_term_ended(
                row.address, row.boot, max_answer_age_s
            )
            if ended is None:
                self._monitor.on_process_unresponsive(row.boot)
            if not ended:
                return
            self._monitor.on_term_ended()
        self._report_term_over(row)

    def _report_term_over(self, row: fenced_writer.OwnerRow) -> None:
        age_s = self._monitor.unchanged_for_s(self._clock.monotonic())
        self._emit_owner_changed("found-over", row.holder, 0, age_s)

    def _emit_owner_changed(
        self, change: str, holder: str, token: int, age_s: float
    ) -> None:
        age_ms = int(age_s * 1000)
        self._emit(events.OwnerChanged(change, holder, token, age_ms))

    def step_down_if_stale(self, max_answer_age_s: float) -> bool:
        """Ends this process's term if the store does not answer its writes.

        Args:
            max_answer_age_s: the term continues if the store answered a write
                in this time.

        Returns:
            Whether this process does not own the fleet now.
        """
        # Checks the writer instead of ``owner``, because a term begins with its
        # first write, before the rows are loaded. A process that stepped down
        # while loading would never get to plan.
        writer = self._writer
        if writer is None or writer.is_term_over:
            return True
        # Counts from the answer, not from when the write was sent. Otherwise an
        # owner whose store is 45 times slower would step down whenever a
        # process starts and checks it.
        age_s = self._clock.monotonic() - writer.last_write_answered_at
        if age_s < max_answer_age_s:
            return False
        self._emit_owner_changed(
            "yielded", self._own_row.holder, writer.token, age_s
        )
        writer.end_term()
        return True

    def _may_take_over(self) -> bool:
        """Returns whether to take over the fleet now.

        If so, it first waits, longer on a weak machine.
        """
        if self._operator_table.config is None:
            return False
        if not self._monitor.may_take_over(self._clock.monotonic()):
            return False
        wait_s = self._rng.random() * TAKE_OVER_JITTER_S
        # A weak machine waits longer only if a stronger one has owned the fleet
        # before. Otherwise there may be none, and no task starts meanwhile.
        extra_weakness = (
            machine_weakness(self._settings) - self._monitor.row.weakness
        )
        self._clock.sleep(
            wait_s + max(0.0, extra_weakness) * WEAK_MACHINE_DELAY_S
        )
        return True

    def _row_to_write(self) -> fenced_writer.OwnerRow:
        """Returns the row that this process writes as the owner."""
        recorded_weakness = self._monitor.row.weakness
        own_weakness = machine_weakness(self._settings)
        lowest_weakness = (
            min(recorded_weakness, own_weakness)
            if self._monitor.version
            else own_weakness
        )
        return dataclasses.replace(self._own_row, weakness=lowest_weakness)

    def _take_over(self) -> None:
        """Tries to become the owner; if so, runs until the term is over."""
        writer = fenced_writer.FencedWriter(
            self._dependencies.table, self._clock, self._row_to_write()
        )
        now = self._clock.monotonic()
        operations_allowed_from = self._monitor.operations_allowed_from(
            self._settings.bounds.lease_s, now
        )
        if not writer.take_over(self._monitor.version, operations_allowed_from):
            return
        self._writer = writer
        self._emit_owner_changed(
            "began", self._own_row.holder, writer.token, 0.0
        )
        owner = owners.Owner(
            self._dependencies,
            writer,
            self._settings,
            lambda: self._operator_table.config,
            self._clock,
            self._emit,
        )
        if not owner.load(lambda: self._is_shutting_down):
            logs.warning(
                "cannot load the tables of instances and jobs; releasing the"
                " fleet so that another process can take over"
            )
            writer.release(RELEASE_TIMEOUT_S)
            return
        self._owner = owner
        try:
            with owner.serving():
                owner.wait(lambda: self._is_shutting_down)
                owner.finish(RELEASE_TIMEOUT_S)
        finally:
            self._owner = None
            age_s = self._clock.monotonic() - writer.last_write_sent_at
            self._emit_owner_changed(
                "ended", self._own_row.holder, writer.token, age_s
            )
        if not writer.is_term_over:
            writer.release(RELEASE_TIMEOUT_S)


def machine_weakness(settings: deployments.Deployment) -> float:
    """Returns the share of the needed resources that this machine lacks.

    Returns:
        From 0 for a machine that can manage a large fleet to 1.
    """
    cores = settings.cores / SUFFICIENT_CORES
    link = settings.link_mbps / SUFFICIENT_MBPS
    return max(0.0, 1.0 - min(cores, link))
