"""Watches the registrations of instances in the platform's list."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import follow
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable

READ_PAUSE_S = 0.2
"""Pause between reads of the table. Heartbeats change it all the time but
rarely contain anything new."""

UNLIST_DELAY_S = 2.5
"""A missing registration counts as removed only this long after the store
recovered. Live instances register again within about 2 s."""

Decode = Callable[
    [str, Mapping[str, Any]], fleet.Registration | unusable.Unusable
]
"""Decodes a row of the table of instances."""


class Listing:
    """Watches the table of instances during one term of ownership."""

    def __init__(
        self,
        core: cores.Core,
        feed: feeds.Feed,
        table: str,
        decode: Decode,
        clock: clocks.Clock,
        emit: Callable[[object], None],
        on_change: Callable[[], None],
        stale_after_s: float,
    ):
        """Creates a watcher that has read nothing yet.

        Args:
            core: receives the registrations.
            feed: reads the table.
            table: name of the table of instances.
            decode: decodes the rows of the table.
            clock: clock that times the reads.
            emit: receives events.
            on_change: called when a registration may have changed.
            stale_after_s: time without a successful read after which the
                registered capacity may be out of date.
        """
        self._core = core
        self._table = table
        self._decode = decode
        self._clock = clock
        self._emit = emit
        self._on_change = on_change
        self._stale_after_s = stale_after_s
        self._last_read_at = clock.monotonic()
        self._unusable: dict[str, str] = {}
        self._missing: set[str] = set()
        self._follower = follow.Follower(
            feed,
            table,
            clock,
            self._on_snapshot,
            self._on_rows,
            emit,
            READ_PAUSE_S,
        )

    def start_from(self, snapshot: feeds.Snapshot) -> None:
        """Applies a snapshot that was read before and continues from it."""
        self._on_snapshot(snapshot)
        self._follower.start_from(snapshot)

    def run(self) -> None:
        """Watches the table until its greenlet is killed."""
        self._follower.run()

    def judge_missing(self, now: float) -> None:
        """Marks instances as unlisted whose registrations stay missing."""
        settled = now - self._follower.back_at >= UNLIST_DELAY_S
        if self._follower.failing or not settled:
            return
        for name in self._missing:
            self._core.unlisted(name)
        self._missing.clear()

    def judge_rooms(self, now: float) -> None:
        """Updates whether the registered capacity may be out of date."""
        if not self._follower.failing:
            self._last_read_at = now
        self._core.entries_are_old(
            now - self._last_read_at >= self._stale_after_s
        )

    def _on_snapshot(self, snapshot: feeds.Snapshot) -> None:
        present = {row.key for row in snapshot.rows}
        self._missing |= self._core.instances.keys() - present
        self._on_rows(snapshot.rows)

    def _on_rows(self, changes: Iterable[feeds.Change]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            self._apply_row(change, now)
        self._on_change()

    def _apply_row(self, change: feeds.Change, now: float) -> None:
        if change.value is None and not change.damage:
            self._missing.add(change.key)
            self._unusable.pop(change.key, None)
            return
        self._missing.discard(change.key)
        found = self._decode_change(change)
        if isinstance(found, unusable.Unusable):
            self._emit_unusable(change, found.reason)
            self._core.distrusted(change.key, found.reason, now)
            return
        self._unusable.pop(change.key, None)
        known = self._core.instances.get(change.key)
        same = known is not None and known.registration == found
        if known and same and known.listed and not known.distrusted:
            return
        self._core.registered(found, now)

    def _decode_change(
        self, change: feeds.Change
    ) -> fleet.Registration | unusable.Unusable:
        if change.value is None:
            return unusable.Unusable(change.damage)
        return self._decode(change.key, change.value)

    def _emit_unusable(self, change: feeds.Change, why: str) -> None:
        """Emits an event for an unusable row, once for each reason."""
        if self._unusable.get(change.key) == why:
            return
        self._unusable[change.key] = why
        self._emit(
            events.RowUnusable(self._table, change.key, change.version, why)
        )
