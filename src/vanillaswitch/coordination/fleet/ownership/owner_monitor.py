"""Decides when a process may take over the fleet from its owner.

The owner writes its row at least every ``RENEW_INTERVAL_S``. Its term times
out when the row stays unchanged for ``TERM_TIMEOUT_S`` while the store answers.
This time starts again after each failed read: the owner can't write during an
outage either, and must be able to write first after it.
"""

from vanillaswitch.coordination.fleet.ownership import fenced_writer

RENEW_INTERVAL_S = 0.4
"""Longest pause between two writes of the owner. It is a quarter of
``TERM_TIMEOUT_S``."""

TERM_TIMEOUT_S = 1.6
"""The owner counts as lost when its row stays unchanged for this long, which
is three missed writes. A timeout that is too short only costs unnecessary
changes of owner: writes of the former owner are rejected."""

UNRESPONSIVE_TIMEOUT_S = 1.0
"""Replaces ``TERM_TIMEOUT_S`` for an owner that did not answer whether its term
is over, for example because its machine lost power and so does not even refuse
connections. It shortens the time without an owner by 0.6 s. A live owner that
can't write answers, and steps down."""

READ_LATENCY_FACTOR = 4.0
"""Each timeout after which the owner is suspect or lost grows by this factor
times the duration of the last read. A write takes about as long as two reads.
When the store is 60 times slower (0.25 s per read), a write becomes visible
only after more than a second. Without this allowance, the owner was replaced
repeatedly."""

READ_INTERVAL_S = 0.5
"""Pause between two reads of the owner's row by each other process."""

SUSPECT_AFTER_S = 0.7
"""An owner that has written nothing for this long is suspect: other processes
ask it whether its term is over, and read its row more often."""

SUSPECT_READ_INTERVAL_S = 0.2
"""Pause between two reads of the row of a suspect owner."""


class OwnerMonitor:
    """Tracks the owner's row and its process, as seen by one process."""

    def __init__(self) -> None:
        """Creates the state before the first read."""
        self._row = fenced_writer.OwnerRow("", "", "")
        self._version = 0
        self._unchanged_since: float | None = None
        self._ended_boot = ""
        self._is_term_over = False
        self._unresponsive_boot = ""
        self._read_latency_s = 0.0

    @property
    def suspect_after_s(self) -> float:
        """How long the row may stay unchanged before the owner is suspect."""
        return SUSPECT_AFTER_S + READ_LATENCY_FACTOR * self._read_latency_s

    @property
    def row(self) -> fenced_writer.OwnerRow:
        """The owner's row as of the last successful read."""
        return self._row

    @property
    def _has_no_owner(self) -> bool:
        """Whether the fleet is known to have no owner."""
        process_ended = self._row.boot == self._ended_boot
        return not self._row.holder or process_ended or self._is_term_over

    @property
    def is_row_readable(self) -> bool:
        """Whether the last read of the row succeeded."""
        return self._unchanged_since is not None

    @property
    def is_unresponsive(self) -> bool:
        """Whether the owner did not answer whether its term is over."""
        return (
            bool(self._row.boot) and self._row.boot == self._unresponsive_boot
        )

    @property
    def version(self) -> int:
        """The row's version as of the last successful read; 0 for no row."""
        return self._version

    def on_row_read(
        self,
        row: fenced_writer.OwnerRow | None,
        version: int,
        requested_at: float,
        now: float,
    ) -> None:
        """Records the row as read.

        Args:
            row: the row; None when there is none.
            version: of the row.
            requested_at: monotonic seconds when the read was sent.
            now: monotonic seconds when it was answered.
        """
        self._read_latency_s = now - requested_at
        if self._unchanged_since is None or version != self._version:
            self._unchanged_since = now
            self._is_term_over = False
            self._unresponsive_boot = ""
        self._version = version
        self._row = row or fenced_writer.OwnerRow("", "", "")

    def on_read_failed(self) -> None:
        """Records that the row could not be read."""
        self._unchanged_since = None

    def unchanged_for_s(self, now: float) -> float:
        """Returns how long the row has stayed unchanged; 0 if unknown."""
        return (
            0.0
            if self._unchanged_since is None
            else now - self._unchanged_since
        )

    def operations_allowed_from(self, lease_s: float, now: float) -> float:
        """Returns the time from which a new owner may operate on machines.

        A previous owner that is slow but alive may have operated on a machine
        just before it lost the fleet, so this is ``lease_s`` after the row's
        last change. There is no wait if the previous owner's process ended, if
        its term is over, or if it released the fleet.
        """
        if self._has_no_owner:
            return now
        return now - self.unchanged_for_s(now) + lease_s

    def has_process_ended(self, boot: str) -> bool:
        """Returns whether a process is known to have ended.

        Args:
            boot: random id that the process chose when it started.
        """
        return boot == self._ended_boot

    def on_process_ended(self, boot: str) -> None:
        """Records that the process with this boot id has ended."""
        self._ended_boot = boot

    def on_term_ended(self) -> None:
        """Records that the owner in the row has ended its term.

        Its process is alive and may become the owner again, so this does not
        record that the process ended. Otherwise two processes that had both
        stepped down once would take over from each other twice a second.
        """
        self._is_term_over = True

    def on_process_unresponsive(self, boot: str) -> None:
        """Records that an owner did not answer whether its term is over."""
        self._unresponsive_boot = boot

    def may_take_over(self, now: float) -> bool:
        """Returns whether the fleet has no live owner."""
        if self._unchanged_since is None:
            return False
        if self._has_no_owner:
            return True
        timeout_s = (
            UNRESPONSIVE_TIMEOUT_S if self.is_unresponsive else TERM_TIMEOUT_S
        )
        return (
            now - self._unchanged_since
            >= timeout_s + READ_LATENCY_FACTOR * self._read_latency_s
        )

    def is_suspect(self, now: float) -> bool:
        """Returns whether the owner has not written for too long."""
        return self.unchanged_for_s(now) >= self.suspect_after_s
