"""Refreshes the fleet view from the platform."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import gevent
import gevent.pool

from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import logs
from vanillaswitch.internal import supervision
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys

TICK_S = 0.25


class FleetRefresher:
    """Reads instance list and budgets regularly, and at once after a pause."""

    def __init__(
        self,
        view: fleet_view.FleetView,
        instances: platform.Instances,
        table: platform.Table,
        clock: clock_lib.Clock,
        poll_interval_s: Callable[[], float],
    ):
        """Initializes a task that is not running yet.

        Args:
            view: the view to refresh.
            instances: the platform's instance list, which lags.
            table: holds the budget rows.
            clock: paces polls and ticks.
            poll_interval_s: returns the seconds between two polls, by the
                configuration in force.
        """
        self._view = view
        self._instances = instances
        self._table = table
        self._clock = clock
        self._poll_interval_s = poll_interval_s
        self._refreshes = gevent.pool.Group()
        self._pause_refresh: gevent.Greenlet | None = None
        self._pause_refresh_count = -1
        self._is_available = True

    @contextlib.contextmanager
    def run_refresher(self) -> Iterator[None]:
        """Polls and ticks until the context exits."""
        with supervision.running(self._tick_forever, self._poll_forever):
            try:
                yield
            finally:
                self._refreshes.kill()

    def poll(self) -> bool:
        """Refreshes the view once; returns whether all reads succeeded."""
        pauses = self._view.pause_count
        requested_at = self._clock.monotonic()
        listed = self._instances.list()
        if isinstance(listed, platform.Listings):
            self._view.update_instances(listed.instances, requested_at)
        budgets = self._table.scan(keys.BUDGETS)
        if isinstance(budgets, platform.Rows):
            for row in budgets.rows:
                self._view.update_drain(fleet_view.drain_from_budget(row))
        is_complete = isinstance(listed, platform.Listings) and isinstance(
            budgets, platform.Rows
        )
        self._view.finish_refresh(pauses, requested_at, is_complete)
        self._log_availability(is_complete)
        return is_complete

    def refresh_after_pause(self, timeout_s: float) -> bool:
        """Refreshes once after a pause; returns whether the view is current.

        All senders after the same pause share one refresh. It does not wait
        for a poll that was under way during the pause, because the connection
        of that poll may be dead.

        If the platform doesn't answer, the view counts as current after this
        one refresh: only the last view and the peers' notices are available,
        and requests must be served during an outage.
        """
        pauses = self._view.pause_count
        if self._pause_refresh is None or self._pause_refresh_count != pauses:
            self._pause_refresh = self._refreshes.spawn(self.poll)
            self._pause_refresh_count = pauses
        self._pause_refresh.join(timeout_s)
        return self._view.is_current

    def _tick_forever(self) -> None:
        while True:
            self._view.check_for_pause(self._clock.monotonic())
            if not self._view.is_current:
                self.refresh_after_pause(0)
            self._clock.sleep(TICK_S)

    def _poll_forever(self) -> None:
        while True:
            self.poll()
            self._clock.sleep(self._poll_interval_s())

    def _log_availability(self, is_available: bool) -> None:
        if is_available == self._is_available:
            return
        self._is_available = is_available
        if is_available:
            logs.info("platform available again; fleet view refreshed")
        else:
            logs.warning("platform unavailable; keeping the last fleet view")
