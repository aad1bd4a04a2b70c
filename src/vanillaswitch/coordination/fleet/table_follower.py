"""Reads a table, and then polls for its changes.

If some partitions of the table are unavailable, the others are used, and the
missing ones are read once they are available again.
"""

from collections.abc import Callable
from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform

LONG_POLL_S = 1.0
"""Longest time that one call waits for a change. A dead connection is noticed
only when the call times out, so this limits how old the copy gets:
configurations and cancellations have to take effect within 2 to 3 s."""

RETRY_S = 0.25
"""Pause after a failed call, and between reads of missing partitions."""

MAX_CHANGES_BYTES = 1_048_576
"""Largest answer with changes that a follower reads if it prefers snapshots.
Instead of a larger one it reads the table: changes contain every version of a
row, and while they arrive over a slow link, more are written."""

OnSnapshot = Callable[[change_feeds.Snapshot], None]
OnChanges = Callable[[Iterable[change_feeds.RowChange]], None]


class Follower:
    """Follows one table in a greenlet of its own."""

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
        prefers_snapshots: bool = False,
        on_current: Callable[[float], None] | None = None,
        on_read_begins: Callable[[], None] = lambda: None,
    ):
        """Creates a follower.

        Args:
            feed: reads the table and its changes.
            table: name of the table.
            clock: times the calls.
            on_snapshot: receives all rows, at first and whenever the whole
                table is read again.
            on_changes: receives changed rows.
            emit: receives events when the table becomes unavailable or
                recovers.
            pause_s: pause between two calls, which batches changes.
            wait_s: longest time that one call waits for a change.
            prefers_snapshots: read the whole table instead of large changes,
                and after a failed call. Use it for a table of few rows that
                change often.
            on_current: called whenever the copy is complete, with the monotonic
                seconds up to which it has all acknowledged changes.
            on_read_begins: called before all rows, or those of missing
                partitions, are read. If the read succeeds, no other changes
                are reported before its rows.
        """
        self._feed = feed
        self._table = table
        self._clock = clock
        self._on_snapshot = on_snapshot
        self._on_changes = on_changes
        self._emit = emit
        self._pause_s = pause_s
        self._wait_s = wait_s
        self._prefers_snapshots = prefers_snapshots
        self._on_current = on_current
        self._on_read_begins = on_read_begins
        self._version: int | None = None
        self._missing_partitions: tuple[str, ...] = ()
        self._is_failing = False
        self._recovered_at = 0.0
        self._is_confirmation_due = False

    @property
    def recovered_at(self) -> float:
        """Monotonic seconds of the first answer after a failure; 0 if none."""
        return self._recovered_at

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._is_failing

    @property
    def is_complete(self) -> bool:
        """Whether every partition of the table has been read."""
        return self._version is not None and not self._missing_partitions

    def resume_from(self, snapshot: change_feeds.Snapshot) -> None:
        """Follows changes from a snapshot that the caller has read."""
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
        if self._missing_partitions:
            self._read_missing_partitions()
        wait_s = RETRY_S if self._missing_partitions else self._wait_s
        if self._is_confirmation_due:
            wait_s = 0.0
        sent_at = self._clock.monotonic()
        outcome = self._read_changes(self._version, wait_s)
        if isinstance(outcome, platform.Unavailable):
            self._on_failure(outcome.reason)
            if self._prefers_snapshots:
                self._version = None
            return False
        self._on_answer()
        if isinstance(outcome, change_feeds.HistoryTruncated):
            self._report_state(
                "back", "the store has dropped some changes; reading all rows"
            )
            self._version = None
            return True
        if isinstance(outcome, change_feeds.ChangesTooLarge):
            self._report_state(
                "back", "the changes are too large; reading all rows"
            )
            self._version = None
            return True
        self._version = outcome.version
        if outcome.changes:
            self._on_changes(outcome.changes)
        self._report_current(sent_at, bool(outcome.changes))
        return True

    def _read_changes(
        self, after: int, wait_s: float
    ) -> change_feeds.ChangesOutcome:
        if not self._prefers_snapshots:
            return self._feed.changes(self._table, after, wait_s)
        return self._feed.changes(self._table, after, wait_s, MAX_CHANGES_BYTES)

    def _report_current(self, sent_at: float, has_rows: bool) -> None:
        """Reports the time up to which the copy is complete.

        This is when the call was sent. If its answer took long, the next call
        does not wait, so that it confirms the copy soon.
        """
        if self._on_current is None:
            return
        elapsed_s = self._clock.monotonic() - sent_at
        self._is_confirmation_due = has_rows and elapsed_s > self._wait_s
        if not self._missing_partitions:
            self._on_current(sent_at)

    def _read_snapshot(self) -> bool:
        self._on_read_begins()
        sent_at = self._clock.monotonic()
        outcome = self._feed.snapshot(self._table)
        if isinstance(outcome, platform.Unavailable):
            self._on_failure(outcome.reason)
            return False
        self._on_answer()
        self._version = outcome.version
        self._update_missing(outcome)
        self._on_snapshot(outcome)
        self._report_current(sent_at, True)
        return True

    def _read_missing_partitions(self) -> None:
        """Reads the missing partitions; later changes arrive as usual."""
        self._on_read_begins()
        outcome = self._feed.snapshot(self._table, self._missing_partitions)
        if isinstance(outcome, platform.Unavailable):
            return
        self._update_missing(outcome)
        self._on_changes(outcome.rows)

    def _update_missing(self, snapshot: change_feeds.Snapshot) -> None:
        if snapshot.unreadable_partitions:
            partitions = ", ".join(snapshot.unreadable_partitions)
            self._report_state(
                "lost in part", f"{partitions}: {snapshot.unreadable_reason}"
            )
        elif self._missing_partitions:
            self._report_state("back", "all partitions have been read")
        self._missing_partitions = snapshot.unreadable_partitions

    def _on_failure(self, reason: str) -> None:
        if not self._is_failing:
            self._report_state("lost", reason)
        self._is_failing = True

    def _on_answer(self) -> None:
        if self._is_failing:
            self._report_state("back", "")
            self._recovered_at = self._clock.monotonic()
        self._is_failing = False

    def _report_state(self, state: str, reason: str) -> None:
        self._emit(events.Dependency(f"table {self._table}", state, reason))
