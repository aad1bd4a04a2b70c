"""Where the events of a process go: its log, its counters, its histograms."""

from collections.abc import Callable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import histograms
from vanillaswitch.internal import metrics

MAX_SERIES = 64
"""Histograms of one kind; names beyond it share one. A queue has two."""

_US_PER_MS = 1000


class Telemetry:
    """Takes each event once; ``emit`` never blocks."""

    def __init__(self, write: Callable[[object], None]):
        """Makes counters at zero.

        Args:
            write: writes an event into the log.
        """
        self._write = write
        self._counters = metrics.Counters()
        self._hand_in = histograms.Histograms(MAX_SERIES)
        self._jobs = histograms.Histograms(MAX_SERIES)

    @property
    def counters(self) -> metrics.Counters:
        """Events by kind and outcome."""
        return self._counters

    @property
    def latencies(self) -> dict[str, histograms.Histograms]:
        """Histograms by what they measure, in each by name of the queue."""
        return {"hand_in": self._hand_in, "job": self._jobs}

    def emit(self, event: object) -> None:
        """Logs, counts and measures an event."""
        self._write(event)
        self._counters.add(type(event).__name__ + _outcome(event))
        if isinstance(event, events.HandedIn):
            self._hand_in.record(event.queue, event.waited_ms * _US_PER_MS)
        elif isinstance(event, events.JobEnded):
            self._jobs.record(event.queue, event.age_ms * _US_PER_MS)


def _outcome(event: object) -> str:
    """Returns the part of an event by which it is counted, after a dot."""
    match event:
        case events.HandedIn(verdict=outcome):
            return f".{outcome}"
        case events.Refused(code=outcome):
            return f".{outcome}"
        case events.JobEnded(state=outcome):
            return f".{outcome}"
        case events.TaskEnded(how=outcome):
            return f".{outcome}"
        case events.RunCrashed(queue=queue, apart=apart):
            return f".{queue}" + (".apart" if apart else "")
        case events.JobGivenUp(queue=outcome):
            return f".{outcome}"
        case events.StartRefused(reason=outcome):
            return f".{outcome}"
        case events.InstanceChanged(change=outcome):
            return f".{outcome}"
        case events.OwnerChanged(change=outcome):
            return f".{outcome}"
        case events.Dependency(name=name, state=outcome):
            return f".{name}.{outcome}"
        case events.MachineMoved(outcome=outcome):
            return f".{outcome}"
        case _:
            return ""
