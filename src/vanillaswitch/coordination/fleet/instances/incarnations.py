"""Tells apart the incarnations of an instance that restarts under its id.

A restarted instance keeps nothing of its previous incarnation. Its
registration and its status reports both contain the time at which it started
(``born_ms``). They reach the owner on different paths, so either can show a new
incarnation first while the other still describes the former one for a while.
"""

import enum


class Origin(enum.Enum):
    """Incarnation that a registration or a status report comes from."""

    CURRENT = "current"
    NEW = "new"
    FORMER = "former"


class IncarnationHistory:
    """The known incarnations of one instance, identified by start time."""

    def __init__(self, born_ms: int | None, now: float):
        """Starts with the incarnation of the first registration.

        Args:
            born_ms: start time in the first registration, in milliseconds since
                1970; None if it contains none.
            now: monotonic seconds.
        """
        self._current = born_ms
        self._current_since = now
        self._former: set[int] = set()

    @property
    def current_ms(self) -> int | None:
        """Start time of the current incarnation; None if not known."""
        return self._current

    def classify_report(
        self, born_ms: int | None, requested_at: float
    ) -> Origin:
        """Returns the incarnation that a status report comes from.

        A report that was requested after the current incarnation became known
        comes from the current or a newer one, whatever its start time: the
        start time can be lower if the clock was set back in between.

        Args:
            born_ms: the start time in the report.
            requested_at: monotonic seconds at which it was requested.
        """
        if born_ms is None or born_ms == self._current:
            return Origin.CURRENT
        if self._current is None:
            self._current = born_ms
            return Origin.CURRENT
        if born_ms in self._former:
            return Origin.FORMER
        is_older = (
            born_ms < self._current and requested_at < self._current_since
        )
        return Origin.FORMER if is_older else Origin.NEW

    def classify_registration(self, born_ms: int | None) -> Origin:
        """Returns the incarnation that a registration comes from.

        A registration may have been written long before it is read. One with
        a lower start time therefore counts as old, and the next status report
        decides.
        """
        if born_ms is None or born_ms == self._current:
            return Origin.CURRENT
        if self._current is None:
            self._current = born_ms
            return Origin.CURRENT
        if born_ms in self._former or born_ms < self._current:
            return Origin.FORMER
        return Origin.NEW

    def set_current(self, born_ms: int | None, now: float) -> None:
        """Makes a new incarnation the current one."""
        if self._current is not None:
            self._former.add(self._current)
        self._current, self._current_since = born_ms, now
