"""Decides when a process may take the fleet over from its owner.

The owner writes its row at least every ``RENEW_INTERVAL_S``. Its term times
out when the row stays unchanged for ``TERM_S`` while the store answers. Time in
which the store can't be read does not count: the owner can't write then either,
and gets the chance to write first after an outage.
"""

from vanillaswitch.coordination.fleet.ownership import fenced_writer

RENEW_INTERVAL_S = 0.4
"""Longest pause between two writes of the owner; several fit into
``TERM_S``."""

TERM_TIMEOUT_S = 1.6
"""The owner counts as lost when its row stays unchanged for this long, which
is three missed writes. Ending a term too early costs a change of owner, but is
safe."""

UNRESPONSIVE_TERM_S = 1.0
"""Replaces ``TERM_S`` for an owner that also leaves questions unanswered, for
example because its machine lost power and nothing there refuses connections. It
shortens the time without an owner by 0.6 s. A live owner that can't write does
answer, and steps down."""

READ_LATENCY_FACTOR = 4.0
"""Every timeout for the owner grows by this factor times the duration of the
last read. A write takes about two reads. When the store is 60 times slower
(0.25 s per read), a write takes more than a second to show up, and without this
allowance the owner was replaced again and again."""

READ_INTERVAL_S = 0.5
"""Pause between two reads of the owner's row by any other process."""

SUSPECT_AFTER_S = 0.7
"""An owner that wrote nothing for this long is asked whether its term is over,
and its row is read more often."""

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
        """Whether no process is known to own the fleet."""
        process_ended = self._row.boot == self._ended_boot
        return not self._row.holder or process_ended or self._is_term_over

    @property
    def is_row_readable(self) -> bool:
        """Whether the last read of the row succeeded."""
        return self._unchanged_since is not None

    @property
    def is_unresponsive(self) -> bool:
        """Whether the owner left its last question unanswered."""
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
        asked_at: float,
        now: float,
    ) -> None:
        """Records the row as read.

        Args:
            row: the row; None when there is none.
            version: of the row.
            asked_at: monotonic seconds when the read was sent.
            now: monotonic seconds when it was answered.
        """
        self._read_latency_s = now - asked_at
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

        An owner that was only slow may have operated on a machine just before
        it lost the fleet, so this is ``lease_s`` after the row's last change.
        An owner whose process ended, or which released the fleet, does nothing
        any more.
        """
        if self._has_no_owner:
            return now
        return now - self.unchanged_for_s(now) + lease_s

    def has_process_ended(self, boot: str) -> bool:
        """Returns whether a process is known to have ended.

        Args:
            boot: random id of the process's start.
        """
        return boot == self._ended_boot

    def on_process_ended(self, boot: str) -> None:
        """Records that the owner's process has certainly ended."""
        self._ended_boot = boot

    def on_term_ended(self) -> None:
        """Records that the term that wrote the row is over.

        Its process is alive and may own the fleet again, so it does not count
        as ended: two processes that had both stepped down once would otherwise
        take the fleet from each other twice a second.
        """
        self._is_term_over = True

    def on_process_unresponsive(self, boot: str) -> None:
        """Records that the owner's process left a question unanswered."""
        self._unresponsive_boot = boot

    def may_take_over(self, now: float) -> bool:
        """Returns whether the fleet has no live owner."""
        if self._unchanged_since is None:
            return False
        if self._has_no_owner:
            return True
        timeout_s = (
            UNRESPONSIVE_TERM_S if self.is_unresponsive else TERM_TIMEOUT_S
        )
        return (
            now - self._unchanged_since
            >= timeout_s + READ_LATENCY_FACTOR * self._read_latency_s
        )

    def is_suspect(self, now: float) -> bool:
        """Returns whether the owner has not written for too long."""
        return self.unchanged_for_s(now) >= self.suspect_after_s
