"""Counters and latency histograms of one process."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.internal import histograms

MAX_CALLERS = 64
MAX_CLASSES = 64


class Counters:
    """Numbers that only grow, by name.

    Names come from the code and the configuration, never from callers, so
    their number is bounded.
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}

    def add(self, name: str, count: int = 1) -> None:
        """Adds to a counter, which begins at zero."""
        self._counts[name] = self._counts.get(name, 0) + count

    def get(self, name: str) -> int:
        """Returns a counter's value."""
        return self._counts.get(name, 0)

    def snapshot(self) -> Mapping[str, int]:
        """Returns a copy of all counters."""
        return dict(self._counts)


class Metrics:
    """What one process measures of itself."""

    def __init__(self) -> None:
        self._counters = Counters()
        self._classes = histograms.Histograms(MAX_CLASSES)
        self._callers = histograms.Histograms(MAX_CALLERS)

    @property
    def counters(self) -> Counters:
        """The counters."""
        return self._counters

    def record(self, request_class: str, caller: str, duration_us: int) -> None:
        """Records how long a request took, under its class and its caller."""
        self._classes.record(request_class, duration_us)
        self._callers.record(caller, duration_us)

    def snapshot(self) -> Mapping[str, Any]:
        """Returns all that was measured as a JSON-compatible mapping."""
        return {
            "counters": self._counters.snapshot(),
            "classes": _plain(self._classes),
            "callers": _plain(self._callers),
        }


def _plain(source: histograms.Histograms) -> dict[str, dict[str, int]]:
    return {
        name: dataclasses.asdict(summary)
        for name, summary in source.summaries().items()
    }
