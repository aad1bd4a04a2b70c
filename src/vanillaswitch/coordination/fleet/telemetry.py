"""Sends the events of a process to its log, counters and histograms."""

from collections.abc import Callable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import histograms
from vanillaswitch.internal import metrics

MAX_SERIES = 64
"""Maximum number of histograms of one kind; further queues share one. Each
queue has a histogram of submissions, one of jobs and, if it has an advisor, one
of answered calls to it."""

_US_PER_MS = 1000


class Telemetry:
    """Logs, counts and measures events; ``emit`` never blocks."""

    def __init__(self, write: Callable[[object], None]):
        """Creates empty counters and histograms.

        Args:
            write: writes an event to the log.
        """
        self._write = write
        self._counters = metrics.Counters()
        self._submissions = histograms.Histograms(MAX_SERIES)
        self._jobs = histograms.Histograms(MAX_SERIES)
        self._advice = histograms.Histograms(MAX_SERIES)

    @property
    def counters(self) -> metrics.Counters:
        """Number of events by kind and outcome."""
        return self._counters

    @property
    def latencies(self) -> dict[str, histograms.Histograms]:
        """Histograms by measured quantity, each keyed by queue name."""
        return {
            "hand_in": self._submissions,
            "job": self._jobs,
            "advice": self._advice,
        }

    def emit(self, event: object) -> None:
        """Logs, counts and measures an event."""
        self._write(event)
        self._counters.add(type(event).__name__ + _counter_suffix(event))
        if isinstance(event, events.HandedIn):
            self._submissions.record(event.queue, event.waited_ms * _US_PER_MS)
        elif isinstance(event, events.JobEnded):
            self._jobs.record(event.queue, event.age_ms * _US_PER_MS)
        elif (
            isinstance(event, events.AdviceCall) and event.outcome == "answered"
        ):
            self._advice.record(event.queue, event.waited_ms * _US_PER_MS)


def _counter_suffix(event: object) -> str:
    """Returns the suffix of an event's counter name, with a leading dot."""
    match event:
        case events.HandedIn(verdict=outcome):
            return f".{outcome}"
        case events.Refused(code=outcome):
            return f".{outcome}"
        case events.JobEnded(state=outcome):
            return f".{outcome}"
        case events.TaskEnded(how=outcome):
            return f".{outcome}"
        case events.LateRunEnd(how=outcome):
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
        case events.SubmissionRefused(queue=outcome):
            return f".{outcome}"
        case events.LoadReport(change=outcome):
            return f".{outcome}"
        case events.AdviceCall(outcome=outcome):
            return f".{outcome}"
        case events.MachineMoved(outcome=outcome):
            return f".{outcome}"
        case events.MachineReleaseEnded(how=outcome):
            return f".{outcome}"
        case _:
            return ""
