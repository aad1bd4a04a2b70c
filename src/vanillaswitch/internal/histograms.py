"""A bounded set of latency histograms, each made on first use."""

from collections.abc import Mapping
import dataclasses

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
OTHER = "other"


@dataclasses.dataclass(frozen=True)
class Summary:
    """What a histogram says, in microseconds."""

    count: int
    p50_us: int
    p99_us: int
    max_us: int


class Histograms:
    """Histograms by name; names beyond the limit share one called "other".

    Names may come from callers. A histogram takes about 21 KB, so without a
    limit any caller could exhaust the memory with new names.
    """

    def __init__(self, limit: int):
        """Makes an empty set.

        Args:
            limit: how many names get a histogram of their own.
        """
        self._limit = limit
        self._by_name: dict[str, histogram.HdrHistogram] = {}

    def record(self, name: str, duration_us: int) -> None:
        """Counts one duration; it is clipped to what a histogram holds."""
        clipped = min(HIGHEST_US, max(LOWEST_US, duration_us))
        self._of(name).record_value(clipped)

    def summaries(self) -> Mapping[str, Summary]:
        """Returns a summary of each histogram by name."""
        return {name: _summary(found) for name, found in self._by_name.items()}

    def _of(self, name: str) -> histogram.HdrHistogram:
        found = self._by_name.get(name)
        if found is not None:
            return found
        own = sum(1 for known in self._by_name if known != OTHER)
        kept = name if own < self._limit else OTHER
        if kept not in self._by_name:
            self._by_name[kept] = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, DIGITS
            )
        return self._by_name[kept]


def _summary(found: histogram.HdrHistogram) -> Summary:
    return Summary(
        count=found.get_total_count(),
        p50_us=found.get_value_at_percentile(50),
        p99_us=found.get_value_at_percentile(99),
        max_us=found.get_max_value(),
    )
