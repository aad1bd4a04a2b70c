"""Keeps a copy of a table up to date from its changes.

If parts of the table are unavailable, the readable parts are used and the
missing ones are read once they are available again.
"""

from collections.abc import Callable
from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform

LONG_POLL_S = 1.0
"""Longest wait of one call for a change. A dead connection is noticed only when
the call times out, so this limits the age of the copy: configurations and
cancels have to take effect within 2 to 3 s."""

RETRY_S = 0.25
"""Pause after a failed call, and between attempts to read missing parts."""

OnSnapshot = Callable[[change_feeds.Snapshot], None]
OnChanges = Callable[[Iterable[change_feeds.RowChange]], None]


class Follower:
    """Follows one table in its own task."""

    def __init__(
        self,
        feed: change_feeds.ChangeFeed,
        table: str,
        clock: clocks.Clock,
        on_snapshot: OnSnapshot,
        on_changes: OnChanges,
        emit: Callable[[object], None],
        pause_s: float = 0.0,
        wait_s: float = LONG_POLL_S,
        resync_after_failure: bool = False,
    ):
        """Creates a follower.

        Args:
            feed: reads the table and its changes.
            table: name of the table.
            clock: times the calls.
            on_snapshot: receives all rows, at first and after history was lost.
            on_changes: receives changed rows.
            emit: receives events when the table is lost or back.
            pause_s: pause between two calls, in which changes are batched.
            wait_s: longest wait of one call for a change.
            resync_after_failure: read the whole table after a failed call. This
                suits a table of few rows that change often: the changes of an
                outage may be too much for a slow link within the timeout of a
                call, and each retry would fail the same way.
        """
        self._feed = feed
        self._table = table
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._emit = emit
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._rereads = resync_after_failure
        self._version: int | None = None
        self._missing: tuple[str, ...] = ()
        self._failing = False
        self._back_at = 0.0

    @property
    def recovered_at(self) -> float:
        """Monotonic seconds of the first answer after the last failure."""
        return self._back_at

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._failing

    @property
    def is_complete(self) -> bool:
        """Whether every part of the table has been read."""
        return self._version is not None and not self._missing

    def resume_from(self, snapshot: change_feeds.Snapshot) -> None:
        """Resumes from a snapshot that was read before."""
        self._version = snapshot.version
        self._update_missing(snapshot)

    def run(self) -> None:
        """Follows the table; does not return."""
        while True:
            if self._poll():
                if self._pause_s:
                    self._clock.sleep(self._pause_s)
            else:
                self._clock.sleep(RETRY_S)

    def _poll(self) -> bool:
        if self._version is None:
            return self._read_snapshot()
        if self._missing:
            self._read_missing()
        wait_s = RETRY_S if self._missing else self._wait_s
        outcome = self._feed.changes(self._table, self._version, wait_s)
        if isinstance(outcome, platform.Unavailable):
            self._on_failure(outcome.reason)
            if self._rereads:
                self._version = None
            return False
        self._on_answer()
        if isinstance(outcome, change_feeds.HistoryTruncated):
            self._report_state(
                "back", "the history of changes is lost; reading all rows"
            )
            self._version = None
            return True
        self._version = outcome.version
        if outcome.changes:
            self._on_changes(outcome.changes)
        return True

    def _read_snapshot(self) -> bool:
        outcome = self._feed.snapshot(self._table)
        if isinstance(outcome, platform.Unavailable):
            self._on_failure(outcome.reason)
            return False
        self._on_answer()
        self._version = outcome.version
        self._update_missing(outcome)
        self._on_snapshot(outcome)
        return True

    def _read_missing(self) -> None:
        """Reads the missing parts; their later changes arrive as usual."""
        outcome = self._feed.snapshot(self._table, self._missing)
        if isinstance(outcome, platform.Unavailable):
            return
        self._update_missing(outcome)
        self._on_changes(outcome.rows)

    def _update_missing(self, snapshot: change_feeds.Snapshot) -> None:
        if snapshot.unreadable_partitions:
            parts = ", ".join(snapshot.unreadable_partitions)
            self._report_state(
                "lost in part", f"{parts}: {snapshot.unreadable_reason}"
            )
        elif self._missing:
            self._report_state("back", "all parts have been read")
        self._missing = snapshot.unreadable_partitions

    def _on_failure(self, reason: str) -> None:
        if not self._failing:
            self._report_state("lost", reason)
        self._failing = True

    def _on_answer(self) -> None:
        if self._failing:
            self._report_state("back", "")
            self._back_at = self._clock.monotonic()
        self._failing = False

    def _report_state(self, state: str, why: str) -> None:
        self._emit(events.Dependency(f"table {self._table}", state, why))
