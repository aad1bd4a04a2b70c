"""When a process may take the fleet over from its owner.

The owner writes its row at least every ``RENEW_S``. It has lost the fleet
when the row stays the same for ``TERM_S`` while the store answers: time in
which the store could not be asked does not count, since the owner could not
write either, and after an outage it has the first turn.
"""

from vanillaswitch.coordination.fleet.ownership import recorder

RENEW_S = 0.4
"""Longest pause between two writes of the owner; several fit into a term."""

TERM_S = 1.6
"""A row that is unchanged for so long has no living owner: three writes are
missed then. A term that is ended too early costs a change of owner, and
breaks nothing."""

SILENT_TERM_S = 1.0
"""The same for an owner that answers no question either, as one whose machine
lost power: nothing refuses a connection there. It shortens the time without an
owner by 0.6 s. A living owner that can't write answers, and gives way."""

SLOW_FACTOR = 4.0
"""Each wait for the owner is longer by so many times what the last reading
took. A write takes about two readings, so a store that answers 60 times slower
(0.25 s a reading) shows a write in more than a second; without this the owner
was replaced again and again while such a store was slow."""

READ_EVERY_S = 0.5
"""How often a process that does not own the fleet reads the owner's row."""

SUSPECT_S = 0.7
"""An owner that wrote nothing for so long is asked whether it lives, and its
row is read more often."""

READ_SUSPECT_S = 0.2
"""How often the row of a suspect owner is read."""


class Succession:
    """Watches the owner's row for one process."""

    def __init__(self) -> None:
        """Begins to watch."""
        self._row = recorder.OwnerRow("", "", "")
        self._version = 0
        self._since: float | None = None
        self._dead_boot = ""
        self._is_over = False
        self._silent_boot = ""
        self._reading_s = 0.0

    @property
    def suspect_after_s(self) -> float:
        """How long the row may stay the same before the owner is suspect."""
        return SUSPECT_S + SLOW_FACTOR * self._reading_s

    @property
    def row(self) -> recorder.OwnerRow:
        """Who owned the fleet when the row was last read."""
        return self._row

    @property
    def _has_no_term(self) -> bool:
        """Whether nobody owns the fleet, as far as that is known."""
        dead = self._row.boot == self._dead_boot
        return not self._row.holder or dead or self._is_over

    @property
    def is_read(self) -> bool:
        """Whether the row could be read when it was last asked for."""
        return self._since is not None

    @property
    def is_silent(self) -> bool:
        """Whether the owner that wrote the row last answers no question."""
        return bool(self._row.boot) and self._row.boot == self._silent_boot

    @property
    def version(self) -> int:
        """The row's version when it was last read; 0 when there was none."""
        return self._version

    def observed(
        self,
        row: recorder.OwnerRow | None,
        version: int,
        asked_at: float,
        now: float,
    ) -> None:
        """Takes note of the row as it was read; None when there is none."""
        self._reading_s = now - asked_at
        if self._since is None or version != self._version:
            self._since = now
            self._is_over = False
            self._silent_boot = ""
        self._version = version
        self._row = row or recorder.OwnerRow("", "", "")

    def unread(self) -> None:
        """Takes note that the row could not be read."""
        self._since = None

    def unchanged_s(self, now: float) -> float:
        """Returns for how long the row has stayed the same; 0 if unknown."""
        return 0.0 if self._since is None else now - self._since

    def orders_from(self, lease_s: float, now: float) -> float:
        """Returns from when a new owner may order machines.

        An owner that was only slow may have ordered one just before it lost
        the fleet; two owners keep a distance of ``lease_s``. One whose process
        ended, or which gave the fleet up, orders nothing any more.
        """
        if self._has_no_term:
            return now
        return now - self.unchanged_s(now) + lease_s

    def has_ended(self, boot: str) -> bool:
        """Whether the owner's process is known to have ended."""
        return boot == self._dead_boot

    def process_ended(self, boot: str) -> None:
        """Takes note that the owner's process has surely ended."""
        self._dead_boot = boot

    def term_ended(self) -> None:
        """Takes note that the term that wrote the row last is over.

        Its process lives and may own the fleet again. Taken for ended
        processes, two that had once given way took the fleet from each other
        twice a second.
        """
        self._is_over = True

    def process_silent(self, boot: str) -> None:
        """Takes note that the owner's process answers no question."""
        self._silent_boot = boot

    def may_take_over(self, now: float) -> bool:
        """Whether the fleet has no living owner."""
        if self._since is None:
            return False
        if self._has_no_term:
            return True
        term_s = SILENT_TERM_S if self.is_silent else TERM_S
        return now - self._since >= term_s + SLOW_FACTOR * self._reading_s

    def suspect(self, now: float) -> bool:
        """Whether the owner should be looked for."""
        return self.unchanged_s(now) >= self.suspect_after_s
