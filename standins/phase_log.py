"""Counts what instances went through, as they themselves saw it."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any

from vanillaswitch.protocol import platform

_MAINTAINED = frozenset(
    {
        platform.MaintenancePhase.DRAINING,
        platform.MaintenancePhase.DRAINED,
        platform.MaintenancePhase.REBOOTING,
    }
)


class PhaseLog:
    """Listens to the phases of all instances; see ``instances.OnPhase``."""

    def __init__(self, listings: Iterable[platform.Listing]):
        """Begins with all instances serving."""
        self._listings = {one.instance: one for one in listings}
        self._phases = dict.fromkeys(
            self._listings, platform.MaintenancePhase.SERVING
        )
        self._drains: collections.Counter[str] = collections.Counter()
        self._reboots: collections.Counter[str] = collections.Counter()
        self._most_down: collections.Counter[str] = collections.Counter()
        self._most_domains: collections.Counter[str] = collections.Counter()

    def on_phase(self, instance: str, phase: platform.MaintenancePhase) -> None:
        """Notes that an instance entered a phase."""
        self._phases[instance] = phase
        if phase is platform.MaintenancePhase.DRAINING:
            self._drains[instance] += 1
        if phase is platform.MaintenancePhase.REBOOTING:
            self._reboots[instance] += 1
        service = self._listings[instance].service
        if service:
            self._note_service(service)

    def document(self) -> Mapping[str, Any]:
        """Returns all counts as a JSON document.

        It has the phase, drains and reboots of each instance; the most
        instances of a service that did not serve at once; and the most data
        centres in which a service was maintained at once.
        """
        return {
            "phases": self._phases,
            "drains": self._drains,
            "reboots": self._reboots,
            "most_down": self._most_down,
            "most_data_centres": self._most_domains,
        }

    def _note_service(self, service: str) -> None:
        down = [
            (listing.data_centre, self._phases[name])
            for name, listing in self._listings.items()
            if listing.service == service
            and self._phases[name] is not platform.MaintenancePhase.SERVING
        ]
        domains = {place for place, phase in down if phase in _MAINTAINED}
        self._most_down[service] = max(self._most_down[service], len(down))
        self._most_domains[service] = max(
            self._most_domains[service], len(domains)
        )
