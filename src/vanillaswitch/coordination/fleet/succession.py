"""When a process may take the fleet over from its owner.

The owner writes its row at least every ``RENEW_S``. It has lost the fleet
when the row stays the same for ``term_s`` while the store answers: time in
which the store could not be asked does not count, since the owner could not
write either, and after an outage it has the first turn.
"""

from vanillaswitch.coordination.fleet import recorder

RENEW_S = 0.5
"""Longest pause between two writes of the owner; several fit into a term."""

TERM_MARGIN_S = 0.3
"""A term is longer than the deployment's shortest time between the orders of
two owners by so much."""

READ_EVERY_S = 0.5
"""How often a process that does not own the fleet reads the owner's row."""


class Succession:
    """Watches the owner's row for one process."""

    def __init__(self, term_s: float):
        """Begins to watch.

        Args:
            term_s: a row that is unchanged for so long has no living owner.
        """
        self._term_s = term_s
        self._row = recorder.OwnerRow("", "", "")
        self._version = 0
        self._since: float | None = None
        self._dead_boot = ""

    @property
    def row(self) -> recorder.OwnerRow:
        """Who owned the fleet when the row was last read."""
        return self._row

    @property
    def version(self) -> int:
        """The row's version when it was last read; 0 when there was none."""
        return self._version

    def observed(
        self, row: recorder.OwnerRow | None, version: int, now: float
    ) -> None:
        """Takes note of the row as it was read; None when there is none."""
        if self._since is None or version != self._version:
            self._since = now
        self._version = version
        self._row = row or recorder.OwnerRow("", "", "")

    def unread(self) -> None:
        """Takes note that the row could not be read."""
        self._since = None

    def process_ended(self, boot: str) -> None:
        """Takes note that the owner's process has surely ended."""
        self._dead_boot = boot

    def may_take_over(self, now: float) -> bool:
        """Whether the fleet has no living owner."""
        if self._since is None:
            return False
        if not self._row.holder or self._row.boot == self._dead_boot:
            return True
        return now - self._since >= self._term_s
