"""Keeps a copy of a table fresh by its changes.

A table may be away in part: what could be read is used, and the missing parts
are read as soon as they are back.
"""

from collections.abc import Callable
from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import platform

WAIT_S = 1.0
"""How long one call waits for a change. A connection that went silent is
found when the call runs out, so this bounds how old the copy may get:
configurations and cancels have to be in force within 2 to 3 s."""

RETRY_S = 0.25
"""Pause after a call that failed, and between looks for missing parts."""

OnSnapshot = Callable[[feeds.Snapshot], None]
OnChanges = Callable[[Iterable[feeds.Change]], None]


class Follower:
    """Follows one table in a task of its own."""

    def __init__(
        self,
        feed: feeds.Feed,
        table: str,
        clock: clocks.Clock,
        on_snapshot: OnSnapshot,
        on_changes: OnChanges,
        emit: Callable[[object], None],
        pause_s: float = 0.0,
        wait_s: float = WAIT_S,
        rereads: bool = False,
    ):
        """Makes a follower.

        Args:
            feed: where to read.
            table: which table.
            clock: paces the calls.
            on_snapshot: takes all rows, at first and after history was lost.
            on_changes: takes rows that changed.
            emit: takes the events of a table that is lost or back.
            pause_s: time between two calls, in which changes gather.
            wait_s: how long one call waits for a change.
            rereads: a table that was lost is read anew. For one of few rows
                that change often: all that changed in an outage may be more
                than a slow link carries within the limit of a call, which
                would fail again and again.
        """
        self._feed = feed
        self._table = table
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._emit = emit
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._rereads = rereads
        self._version: int | None = None
        self._missing: tuple[str, ...] = ()
        self._failing = False
        self._back_at = 0.0

    @property
    def back_at(self) -> float:
        """Monotonic seconds of the first answer after the last failure."""
        return self._back_at

    @property
    def failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing

    @property
    def whole(self) -> bool:
        """Whether every part of the table has been read."""
        return self._version is not None and not self._missing

    def start_from(self, snapshot: feeds.Snapshot) -> None:
        """Continues from a snapshot that was read before."""
        self._version = snapshot.version
        self._missed(snapshot)

    def run(self) -> None:
        """Follows the table for good."""
        while True:
            if self._step():
                if self._pause_s:
                    self._clock.sleep(self._pause_s)
            else:
                self._clock.sleep(RETRY_S)

    def _step(self) -> bool:
        if self._version is None:
            return self._read_all()
        if self._missing:
            self._read_missing()
        wait_s = RETRY_S if self._missing else self._wait_s
        outcome = self._feed.changes(self._table, self._version, wait_s)
        if isinstance(outcome, platform.Unavailable):
            self._failed(outcome.reason)
            if self._rereads:
                self._version = None
            return False
        self._answered()
        if isinstance(outcome, feeds.HistoryLost):
            self._tell("back", "its history is lost, read anew")
            self._version = None
            return True
        self._version = outcome.version
        if outcome.changes:
            self._on_changes(outcome.changes)
        return True

    def _read_all(self) -> bool:
        outcome = self._feed.snapshot(self._table)
        if isinstance(outcome, platform.Unavailable):
            self._failed(outcome.reason)
            return False
        self._answered()
        self._version = outcome.version
        self._missed(outcome)
        self._on_snapshot(outcome)
        return True

    def _read_missing(self) -> None:
        """Reads the parts that were away; changes since then come as usual."""
        outcome = self._feed.snapshot(self._table, self._missing)
        if isinstance(outcome, platform.Unavailable):
            return
        self._missed(outcome)
        self._on_changes(outcome.rows)

    def _missed(self, snapshot: feeds.Snapshot) -> None:
        if snapshot.missing:
            parts = ", ".join(snapshot.missing)
            self._tell("lost in part", f"{parts}: {snapshot.reason}")
        elif self._missing:
            self._tell("back", "all parts are read")
        self._missing = snapshot.missing

    def _failed(self, reason: str) -> None:
        if not self._failing:
            self._tell("lost", reason)
        self._failing = True

    def _answered(self) -> None:
        if self._failing:
            self._tell("back", "")
            self._back_at = self._clock.monotonic()
        self._failing = False

    def _tell(self, state: str, why: str) -> None:
        self._emit(events.Dependency(f"table {self._table}", state, why))
