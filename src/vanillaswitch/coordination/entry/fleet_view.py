"""The minions that may get new work, as known to this process.

The view combines four sources: the platform's instance list, which lags, the
budget rows in its table, drain notices from peers, and minions that decline
work. During an outage the last view stays in use.
"""

import math

from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

PAUSE_THRESHOLD_S = 2.0
"""Time without a tick after which the process counts as paused."""

DECLINE_BACKOFF_S = 1.0
"""How long a minion gets no new work after it declined some."""


class FleetView:
    """The fleet view in memory; its methods never switch to another task."""

    def __init__(self) -> None:
        self._instances: tuple[platform.Listing, ...] | None = None
        self._listed_at = -math.inf
        self._drains: dict[str, peers.DrainNotice] = {}
        self._backoff_until: dict[str, float] = {}
        self._cache: dict[str, tuple[minions_lib.Minion, ...]] = {}
        self._cache_config: config_lib.Config | None = None
        self._last_tick_at: float | None = None
        self._refreshed_at: float | None = None
        self._pause_count = 0
        self._refreshed_pause_count = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the instance list was read at least once."""
        return self._instances is not None

    @property
    def is_current(self) -> bool:
        """Whether a refresh was attempted since the last pause."""
        return self._refreshed_pause_count == self._pause_count

    @property
    def pause_count(self) -> int:
        """Number of detected pauses of the process."""
        return self._pause_count

    @property
    def drain_version(self) -> int:
        """Highest commit number of the drains in the view."""
        return max(
            (notice.version for notice in self._drains.values()), default=0
        )

    @property
    def drains(self) -> tuple[peers.DrainNotice, ...]:
        """The drains in the view, one for each service.

        They are never removed while the process runs, because budget rows are
        emptied but never deleted.
        """
        return tuple(self._drains.values())

    def age_s(self, now: float) -> float | None:
        """Returns the age of the view; None before the first refresh."""
        return None if self._refreshed_at is None else now - self._refreshed_at

    def check_for_pause(self, now: float) -> bool:
        """Detects pauses of the process; returns whether the view is current.

        After a pause, for example of its virtual machine, a process continues
        as if no time had passed, and would send work to minions that were
        drained meanwhile. A pause shows as a gap between ticks, which come
        several times a second. Senders tick before each send too, so the first
        task to run after a pause detects it.
        """
        if (
            self._last_tick_at is not None
            and now - self._last_tick_at > PAUSE_THRESHOLD_S
        ):
            self._pause_count += 1
        self._last_tick_at = now
        return self.is_current

    def finish_refresh(
        self, pauses: int, now: float, is_complete: bool
    ) -> None:
        """Records the end of a refresh, which may have failed.

        Args:
            pauses: ``pause_count`` when the refresh began. A refresh that was
                under way during a pause may return data from before the pause.
            now: monotonic seconds at which the refresh began.
            is_complete: whether all sources answered.
        """
        if is_complete:
            self._refreshed_at = now
        self._refreshed_pause_count = max(self._refreshed_pause_count, pauses)

    def update_instances(
        self, listed: tuple[platform.Listing, ...], requested_at: float
    ) -> None:
        """Updates the list of instances unless a later one was read already.

        A read that hung during a pause ends after the read that replaced it,
        and would add minions again that are leaving.

        Args:
            listed: the instances.
            requested_at: monotonic seconds at which the read began.
        """
        if requested_at < self._listed_at:
            return
        self._listed_at = requested_at
        self._instances = listed
        self._cache.clear()

    def update_drain(self, notice: peers.DrainNotice) -> bool:
        """Applies a drain from a peer or the table; returns whether it is new.

        Notices arrive late and out of order, and a read of the table may be
        older than a notice. The one with the higher commit number is newer.
        """
        latest = self._drains.get(notice.service)
        if latest is not None and notice.version <= latest.version:
            return False
        self._drains[notice.service] = notice
        self._cache.clear()
        return True

    def back_off_from(self, instance: str, now: float) -> None:
        """Excludes a minion that declined work, for a short time."""
        self._backoff_until = {
            name: until
            for name, until in self._backoff_until.items()
            if now < until
        }
        self._backoff_until[instance] = now + DECLINE_BACKOFF_S

    def available_minions(
        self, service: str, config: config_lib.Config, now: float
    ) -> tuple[minions_lib.Minion, ...]:
        """Returns the minions of a service that may get new work.

        If all of them declined work lately, all are returned: one of them may
        accept work again, and a declined request is not run.
        """
        allowed = self._accepting(service, config)
        ready = tuple(
            minion
            for minion in allowed
            if self._backoff_until.get(minion.instance, now) <= now
        )
        return ready or allowed

    def is_available(
        self, minion: minions_lib.Minion, config: config_lib.Config
    ) -> bool:
        """Whether a minion chosen earlier may still get new work."""
        return minion in self._accepting(minion.service, config)

    def _accepting(
        self, service: str, config: config_lib.Config
    ) -> tuple[minions_lib.Minion, ...]:
        if config is not self._cache_config:
            self._cache.clear()
            self._cache_config = config
        if service not in self._cache:
            self._cache[service] = self._select_accepting(service, config)
        return self._cache[service]

    def _select_accepting(
        self, service: str, config: config_lib.Config
    ) -> tuple[minions_lib.Minion, ...]:
        limits = config.services.get(service)
        if limits is None:
            return ()
        drained = self._drained_instances()
        return tuple(
            _minion(listing, limits)
            for listing in self._instances or ()
            if listing.kind is platform.InstanceKind.MINION
            and listing.service == service
            and listing.state is platform.ListedState.LIVE
            and listing.instance not in drained
        )

    def _drained_instances(self) -> frozenset[str]:
        return frozenset(
            instance
            for notice in self._drains.values()
            for instance in notice.instances
        )


def _minion(
    listing: platform.Listing, limits: config_lib.Service
) -> minions_lib.Minion:
    return minions_lib.Minion(
        instance=listing.instance,
        service=listing.service,
        address=listing.address,
        data_centre=listing.data_centre,
        rack=listing.rack,
        slots=limits.slots_per_minion,
        max_connections=limits.connections_per_minion,
    )


def drain_from_budget(row: platform.Row) -> peers.DrainNotice:
    """Returns the drain that a budget row describes."""
    service = keys.name_of(keys.BUDGETS, row.key)
    budget = rows.load(rows.Budget, row.value)
    return peers.DrainNotice(service, row.version, tuple(sorted(budget.down)))
