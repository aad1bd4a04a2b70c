"""Watches the registrations of instances in the platform's list."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable

READ_PAUSE_S = 0.2
"""Pause between reads of the table. Heartbeats change it all the time but
rarely contain anything new."""

UNLIST_DELAY_S = 2.5
"""A missing registration counts as removed only if the store has worked again
for this long. Live instances register again within about 2 s."""

RegistrationDecoder = Callable[
    [str, Mapping[str, Any]], fleet.Registration | unusable.Unusable
]
"""Decodes a row of the table of instances."""


class RegistrationWatcher:
    """Watches the table of instances during one term of ownership."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        feed: change_feeds.ChangeFeed,
        table: str,
        decode: RegistrationDecoder,
        clock: clocks.Clock,
        emit: Callable[[object], None],
        on_change: Callable[[], None],
        stale_after_s: float,
    ):
        """Creates a watcher that has read nothing yet.

        Args:
            scheduler: receives the registrations.
            feed: reads the table.
            table: name of the table of instances.
            decode: decodes the rows of the table.
            clock: clock that times the reads.
            emit: receives events.
            on_change: called when a registration may have changed.
            stale_after_s: time without a successful read after which the
                registered capacity may be out of date.
        """
        self._scheduler = scheduler
        self._table = table
        self._decode = decode
        self._clock = clock
        self._emit = emit
        self._on_change = on_change
        self._stale_after_s = stale_after_s
        self._last_read_at = clock.monotonic()
        self._unusable: dict[str, str] = {}
        self._missing: set[str] = set()
        self._follower = table_follower.Follower(
            feed,
            table,
            clock,
            self._on_snapshot,
            self._on_rows,
            emit,
            READ_PAUSE_S,
        )

    def resume_from(self, snapshot: change_feeds.Snapshot) -> None:
        """Applies a snapshot that was read before and continues from it."""
        self._on_snapshot(snapshot)
        self._follower.resume_from(snapshot)

    def run(self) -> None:
        """Watches the table until its greenlet is killed."""
        self._follower.run()

    def mark_missing_unlisted(self, now: float) -> None:
        """Marks instances as not listed if their registrations stay missing."""
        has_settled = now - self._follower.recovered_at >= UNLIST_DELAY_S
        if self._follower.is_failing or not has_settled:
            return
        for name in self._missing:
            self._scheduler.mark_unlisted(name)
        self._missing.clear()

    def check_registration_age(self, now: float) -> None:
        """Updates whether the registered capacity may be out of date."""
        if not self._follower.is_failing:
            self._last_read_at = now
        self._scheduler.set_registrations_stale(
            now - self._last_read_at >= self._stale_after_s
        )

    def _on_snapshot(self, snapshot: change_feeds.Snapshot) -> None:
        present = {row.key for row in snapshot.rows}
        self._missing |= self._scheduler.instances.keys() - present
        self._on_rows(snapshot.rows)

    def _on_rows(self, changes: Iterable[change_feeds.RowChange]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            self._apply_row(change, now)
        self._on_change()

    def _apply_row(self, change: change_feeds.RowChange, now: float) -> None:
        if change.value is None and not change.read_error:
            self._missing.add(change.key)
            self._unusable.pop(change.key, None)
            return
        self._missing.discard(change.key)
        decoded = self._decode_change(change)
        if isinstance(decoded, unusable.Unusable):
            self._emit_unusable(change, decoded.reason)
            self._scheduler.mark_registration_unreadable(
                change.key, decoded.reason, now
            )
            return
        self._unusable.pop(change.key, None)
        known = self._scheduler.instances.get(change.key)
        is_unchanged = known is not None and known.registration == decoded
        if (
            known
            and is_unchanged
            and known.is_listed
            and not known.has_unreadable_registration
        ):
            return
        self._scheduler.handle_registration(decoded, now)

    def _decode_change(
        self, change: change_feeds.RowChange
    ) -> fleet.Registration | unusable.Unusable:
        if change.value is None:
            return unusable.Unusable(change.read_error)
        return self._decode(change.key, change.value)

    def _emit_unusable(self, change: change_feeds.RowChange, why: str) -> None:
        """Emits an event for an unusable row, once for each reason."""
        if self._unusable.get(change.key) == why:
            return
        self._unusable[change.key] = why
        self._emit(
            events.RowUnusable(self._table, change.key, change.version, why)
        )
