"""What came of a modelled day."""

import dataclasses

from hdrh.histogram import HdrHistogram

from standins.model import workload

LONGEST_START_MS = 60_000
"""Later first starts count as so late; a day lasts about a minute."""


@dataclasses.dataclass(frozen=True)
class Sample:
    """The fleet at one moment.

    Attributes:
        wanted: machines' worth of processors that tasks use and wait for.
        machines: that stand in pools.
        waiting: jobs without a running task.
    """

    at: float
    wanted: float
    machines: int
    waiting: int


@dataclasses.dataclass
class Day:
    """What came of a day.

    Attributes:
        made: all jobs.
        ended: when each that was completed was, by its id.
        at_work: shares of lasting tasks at work, by sample.
        thrown_away: core-seconds of runs that did not end as done.
        starts: milliseconds from hand-in to first start.
        decisions_s: processor time of the decisions.
        bad: jobs with a task that crashes the instances that start it.
        given_up: jobs that were shown as failed.
        instances_lost: instances that tasks crashed.
        runs_lost: runs of other jobs that were lost with them.
        late_waves: tenths of a wave that were late, summed.
    """

    made: list[workload.Made]
    seconds: float
    ended: dict[str, float] = dataclasses.field(default_factory=dict)
    at_work: list[float] = dataclasses.field(default_factory=list)
    samples: list[Sample] = dataclasses.field(default_factory=list)
    machine_seconds: float = 0.0
    moves: int = 0
    thrown_away: float = 0.0
    decisions_s: float = 0.0
    late_waves: int = 0
    bad: set[str] = dataclasses.field(default_factory=set)
    given_up: set[str] = dataclasses.field(default_factory=set)
    instances_lost: int = 0
    runs_lost: int = 0
    starts: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(1, LONGEST_START_MS, 2)
    )
