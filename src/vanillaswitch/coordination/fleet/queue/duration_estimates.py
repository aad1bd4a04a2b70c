"""Corrects the declared durations of tasks by observed ones.

Load pattern: clients declare durations that are off by half to nine tenths,
some of them always in the same direction. The order of a queue compares the
remaining work of jobs with the time that is left. While there is capacity for
all jobs, such errors cost little. While there is not, they decide which jobs
are given up.

Steps of the same queue, number and image have durations that scatter around a
common mean, and the tasks of one step behave alike. So two sources correct a
declared duration: the tasks of the same step that have ended, and earlier steps
of the same kind. Durations scatter by factors, so all means are means of
logarithms.

In replays of bursts with declared durations off by nine tenths, jobs ended with
0.85, 0.72 and 0.61 of their total value with enough capacity, a quarter and two
fifths less, and with 0.81, 0.68 and 0.57 without correction (six seeds each).
Earlier steps alone gave 0.5 to 0.7 of the gain, and tasks of the same step
alone 0.2 to 0.6 (three seeds each).

An observed duration lasts from when the owner learns that a run has started
until it learns that the run is done. It contains the delay of the report of the
end, less the delay of the answer to the start order. The former includes up to
0.3 s in which the instance's earlier ends are written. Nothing is subtracted,
since neither delay is known. Runs with an unanswered start, and ends reported
after an unanswered call, are left out. Medians and a limit on outliers keep
other long delays out of the estimates.
"""

import bisect
import collections
from collections.abc import Mapping
import dataclasses
import math

from vanillaswitch.protocol import jobs

MAX_KEYS = 256
"""Kinds of steps that are remembered. A deployment has about ten queues with up
to five steps; more would be images that each job names anew."""

MIN_STEPS = 8
"""Steps of a kind that must have been observed before its mean counts. At a
spread of 0.5, the mean of fewer is off by more than a sixth and their spread by
more than a quarter."""

MEMORY_STEPS = 200
"""Number of steps over which means are taken. In a burst of 70 jobs per second
they are 3 s, so estimates follow a change within one turn of a queue."""

REFRESH_S = 0.5
"""Shortest time between two changes of the estimates of all jobs. After each
change the critical paths of all waiting jobs are computed again. A plan with
400 waiting jobs of three steps then takes 7 to 10 ms instead of 3 to 5 ms."""

MAX_DEVIATION = 3.0
"""Observations further from the mean than this multiple of the spread count as
this far. A run on an instance that is not yet known to be slow takes four times
as long and more."""

MAX_KEPT_ENDS = 15
"""Ends of tasks of one step that are kept for its median."""

EVENT_INTERVAL_S = 10.0
"""Shortest time between two reports about the same kind of step."""

EVENT_CHANGE = math.log(1.25)
"""Smallest change of the logarithm of a factor that is reported."""

_MIN_SPREAD = 0.02
"""Smallest spread that is assumed; durations are whole milliseconds and contain
delays, so no source is exact."""

_FIRST_SPREAD = 1.0
"""Assumed spread before it was observed, used only to limit outliers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What steps with similar durations have in common.

    Attributes:
        queue: name of their queue.
        number: their number in the job.
        image: the program that their tasks run; empty if unknown.
    """

    queue: str
    number: int
    image: str


@dataclasses.dataclass(frozen=True, slots=True)
class Correction:
    """How the durations of a kind of step are estimated.

    Attributes:
        log_mean: mean logarithm of the observed milliseconds.
        log_factor: mean logarithm of observed over declared durations.
        trust: weight of the declared duration, from 0 to 1; the mean has the
            rest.
    """

    log_mean: float
    log_factor: float
    trust: float

    def apply(self, declared_ms: float) -> float:
        """Returns the estimate for a declared duration in milliseconds."""
        if declared_ms <= 0:
            return math.exp(self.log_mean)
        declared = math.log(declared_ms) + self.log_factor
        return math.exp(
            self.trust * declared + (1 - self.trust) * self.log_mean
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A correction that has changed enough to be reported.

    Attributes:
        kind: the kind of step.
        correction: its correction.
        steps: number of steps observed.
    """

    kind: Kind
    correction: Correction
    steps: int


class _Spread:
    """Moving mean and variance; the first values count alike."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self._variance = 0.0

    @property
    def variance(self) -> float:
        """Variance around the mean, at least that of ``_MIN_SPREAD``."""
        return max(self._variance, _MIN_SPREAD**2)

    def add(self, value: float) -> None:
        if self.count:
            known = self.count >= MIN_STEPS
            spread = math.sqrt(self.variance) if known else _FIRST_SPREAD
            limit = MAX_DEVIATION * spread
            difference = max(-limit, min(limit, value - self.mean))
        else:
            difference = value
        self.count += 1
        weight = 1 / min(self.count, MEMORY_STEPS)
        self.mean += weight * difference
        if self.count > 1:
            self._variance += weight * (
                (1 - weight) * difference**2 - self._variance
            )


class _Observed:
    """What was observed of one kind of step.

    Attributes:
        actual: logarithms of the observed milliseconds.
        factor: logarithms of observed over declared milliseconds.
        reported: factor that was last reported.
        reported_at: monotonic seconds of that report.
    """

    def __init__(self) -> None:
        self.actual = _Spread()
        self.factor = _Spread()
        self.reported = 0.0
        self.reported_at = float("-inf")

    def correction(self) -> Correction | None:
        """Returns the correction, None before enough was observed."""
        if self.actual.count < MIN_STEPS:
            return None
        if self.factor.count < MIN_STEPS:
            return Correction(self.actual.mean, 0.0, 0.0)
        actual, factor = self.actual.variance, self.factor.variance
        return Correction(
            self.actual.mean, self.factor.mean, actual / (actual + factor)
        )


class DurationEstimates:
    """What an owner has learned about durations during its term.

    Attributes:
        generation: grows whenever estimates may have changed.
    """

    def __init__(self) -> None:
        """Starts without any observation."""
        self.generation = 0
        self._observed: collections.OrderedDict[Kind, _Observed] = (
            collections.OrderedDict()
        )
        self._corrections: Mapping[Kind, Correction] = {}
        self._has_new = False
        self._refreshed_at = float("-inf")

    def __len__(self) -> int:
        return len(self._observed)

    def record_step(
        self, kind: Kind, declared_ms: float, actual_ms: float
    ) -> None:
        """Records the duration of the tasks of a step.

        Args:
            kind: the kind of step.
            declared_ms: declared duration in milliseconds; 0 if unknown.
            actual_ms: observed duration in milliseconds.
        """
        observed = self._observed.setdefault(kind, _Observed())
        self._observed.move_to_end(kind)
        if len(self._observed) > MAX_KEYS:
            self._observed.popitem(last=False)
        log_actual = math.log(max(1.0, actual_ms))
        observed.actual.add(log_actual)
        if declared_ms > 0:
            observed.factor.add(log_actual - math.log(declared_ms))
        self._has_new = True

    def refresh(self, now: float) -> list[Change]:
        """Applies what was recorded to the estimates, now and then.

        Args:
            now: monotonic seconds.

        Returns:
            The corrections that changed enough to be reported.
        """
        if not self._has_new or now - self._refreshed_at < REFRESH_S:
            return []
        self._has_new = False
        self._refreshed_at = now
        self._corrections = {
            kind: correction
            for kind, observed in self._observed.items()
            if (correction := observed.correction())
        }
        self.generation += 1
        return [
            change
            for kind, correction in self._corrections.items()
            if (change := self._find_change(kind, correction, now))
        ]

    def _find_change(
        self, kind: Kind, correction: Correction, now: float
    ) -> Change | None:
        """Returns a change to report, None if it is small or too early."""
        observed = self._observed[kind]
        if (
            abs(correction.log_factor - observed.reported) < EVENT_CHANGE
            or now - observed.reported_at < EVENT_INTERVAL_S
        ):
            return None
        observed.reported = correction.log_factor
        observed.reported_at = now
        return Change(kind, correction, observed.actual.count)

    def expected_ms(self, kind: Kind, declared_ms: float) -> float:
        """Returns the estimated duration of a task in milliseconds."""
        correction = self._corrections.get(kind)
        return correction.apply(declared_ms) if correction else declared_ms


class JobDurations:
    """Estimated durations of the tasks of one job.

    All occurrences of a job share them, since its steps behave alike each time.
    """

    def __init__(self, estimates: DurationEstimates, job: jobs.Job):
        """Starts without ended tasks.

        Args:
            estimates: what the owner has learned about other jobs.
            job: the job.
        """
        self._estimates = estimates
        self._steps = job.steps
        self._queue = job.queue
        self._ends: dict[int, list[float]] = {}
        self._end_count = 0
        self._computed_at = -1
        self._expected_ms: list[float] = []

    @property
    def revision(self) -> int:
        """Grows whenever an estimate may have changed."""
        return self._estimates.generation + self._end_count

    def expected_ms(self, number: int) -> float:
        """Returns the estimated duration of a step's tasks in milliseconds."""
        revision = self.revision
        if revision != self._computed_at:
            self._computed_at = revision
            self._expected_ms = [
                self._estimate_ms(index) for index in range(len(self._steps))
            ]
        return self._expected_ms[number]

    def _estimate_ms(self, number: int) -> float:
        step = self._steps[number]
        ends = self._ends.get(number)
        if ends:
            return ends[(len(ends) - 1) // 2]
        if step.long_running or step.fills:
            return step.estimate_ms
        return self._estimates.expected_ms(self._kind(number), step.estimate_ms)

    def _kind(self, number: int) -> Kind:
        return Kind(self._queue, number, self._steps[number].image)

    def record_end(self, number: int, actual_ms: float) -> None:
        """Records that a task of a step is done.

        The first end of a step also counts for the steps of its kind. Its other
        tasks would repeat it, and a step with many tasks would outweigh others.

        Args:
            number: number of the step.
            actual_ms: its observed duration in milliseconds.
        """
        ends = self._ends.setdefault(number, [])
        if not ends:
            self._estimates.record_step(
                self._kind(number), self._steps[number].estimate_ms, actual_ms
            )
        if len(ends) < MAX_KEPT_ENDS:
            bisect.insort(ends, actual_ms)
            self._end_count += 1
