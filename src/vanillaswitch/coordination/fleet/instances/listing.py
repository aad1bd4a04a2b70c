"""The owner's view of the platform's list of instances."""

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

PAUSE_S = 0.2
"""Pause between reads of the instances' heartbeats, which come all the time
and rarely say anything new."""

UNLISTED_S = 2.5
"""An entry that is missing counts as gone only so long after the store came
back: living instances register again within about 2 s."""

Decode = Callable[
    [str, Mapping[str, Any]], fleet.Registration | unusable.Unusable
]
"""Decodes a row of the table of instances."""


class Listing:
    """Follows the registrations of instances for one term."""

    def __init__(
        self,
        core: cores.Core,
        feed: feeds.Feed,
        table: str,
        decode: Decode,
        clock: clocks.Clock,
        emit: Callable[[object], None],
        on_change: Callable[[], None],
        old_s: float,
    ):
        """Makes a listing that has read nothing.

        Args:
            core: is told of instances.
            feed: where to read.
            table: name of the table of instances.
            decode: decodes its rows.
            clock: paces the reads.
            emit: takes events.
            on_change: called when something may have changed.
            old_s: entries that can't be read for so long may no longer tell
                the room of now.
        """
        self._core = core
        self._table = table
        self._decode = decode
        self._clock = clock
        self._emit = emit
        self._on_change = on_change
        self._old_s = old_s
        self._read_at = clock.monotonic()
        self._unusable: dict[str, str] = {}
        self._missing: set[str] = set()
        self._follower = follow.Follower(
            feed, table, clock, self._on_snapshot, self._on_rows, emit, PAUSE_S
        )

    def start_from(self, snapshot: feeds.Snapshot) -> None:
        """Takes a snapshot that was read before, and goes on from there."""
        self._on_snapshot(snapshot)
        self._follower.start_from(snapshot)

    def run(self) -> None:
        """Follows the table for good."""
        self._follower.run()

    def judge_missing(self, now: float) -> None:
        """Takes instances as gone from the list that are missing for good."""
        settled = now - self._follower.back_at >= UNLISTED_S
        if self._follower.failing or not settled:
            return
        for name in self._missing:
            self._core.unlisted(name)
        self._missing.clear()

    def judge_rooms(self, now: float) -> None:
        """Tells whether entries may be too old to tell the room of now."""
        if not self._follower.failing:
            self._read_at = now
        self._core.entries_are_old(now - self._read_at >= self._old_s)

    def _on_snapshot(self, snapshot: feeds.Snapshot) -> None:
        present = {row.key for row in snapshot.rows}
        self._missing |= self._core.instances.keys() - present
        self._on_rows(snapshot.rows)

    def _on_rows(self, changes: Iterable[feeds.Change]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            self._on_row(change, now)
        self._on_change()

    def _on_row(self, change: feeds.Change, now: float) -> None:
        if change.value is None and not change.damage:
            self._missing.add(change.key)
            self._unusable.pop(change.key, None)
            return
        self._missing.discard(change.key)
        found = self._read(change)
        if isinstance(found, unusable.Unusable):
            self._tell_unusable(change, found.reason)
            self._core.distrusted(change.key, found.reason, now)
            return
        self._unusable.pop(change.key, None)
        known = self._core.instances.get(change.key)
        same = known is not None and known.registration == found
        if known and same and known.listed and not known.distrusted:
            return
        self._core.registered(found, now)

    def _read(
        self, change: feeds.Change
    ) -> fleet.Registration | unusable.Unusable:
        if change.value is None:
            return unusable.Unusable(change.damage)
        return self._decode(change.key, change.value)

    def _tell_unusable(self, change: feeds.Change, why: str) -> None:
        """Tells of a row once, however often it is written like that."""
        if self._unusable.get(change.key) == why:
            return
        self._unusable[change.key] = why
        self._emit(
            events.RowUnusable(self._table, change.key, change.version, why)
        )
