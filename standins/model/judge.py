"""What a modelled day was worth."""

import collections
import dataclasses

import numpy as np

from standins.model import day as days_lib
from standins.model import scenario as scenarios
from standins.model import workload

LATE_FACTOR = 3.0
LATE_SHARE = 1 / 14
"""A job that ends within three times its objective earns so much of what it
would have earned in time (the users' sheet)."""

WINDOW_S = 2.0
PARTS = (0.75, 0.15, 0.10)
"""Weights of the whole day, the two worst windows and the worst queue."""

FEWEST = 5
"""Windows with fewer jobs don't count among the worst."""

DUTY = 0.025
"""Price of a wave that ends late."""


@dataclasses.dataclass(frozen=True)
class Verdict:
    """One day in figures; shares are of the credit owed.

    Attributes:
        worth: credit by its parts, less prices.
        credit: of the whole day.
        windows: of its two worst windows.
        in_time: jobs that met their objective.
        largest: the same of the largest tenth.
        prices: share of the credit that machines, moves and waste cost.
        start_ms: percentiles 50, 95 and 99 from hand-in to first start.
        decisions_ms: processor time of the decisions for a second of the day.
        bad: jobs with a task that crashes the instances that start it.
        instances_lost: instances that such tasks crashed.
        runs_lost: runs of other jobs that were lost with them.
        wronged: other jobs that were given up.
    """

    worth: float
    credit: float
    windows: float
    in_time: float
    largest: float
    prices: float
    machine_seconds: float
    moves: int
    thrown_away: float
    start_ms: tuple[float, float, float]
    decisions_ms: float
    bad: float
    instances_lost: float
    runs_lost: float
    wronged: float


@dataclasses.dataclass(frozen=True)
class _Job:
    made: workload.Made
    owed: float
    earned: float
    in_time: bool


def judge(scenario: scenarios.Scenario, day: days_lib.Day) -> Verdict:
    """Returns what a day was worth."""
    found = _jobs(day)
    owed = sum(job.owed for job in found)
    credit = sum(job.earned for job in found) / owed
    lasting = float(np.mean(day.at_work)) if day.at_work else 1.0
    windows = _worst_windows(found)
    queue = min([lasting, *_by_queue(found).values()])
    prices = (
        scenario.prices.machine_s * day.machine_seconds
        + scenario.prices.move * day.moves
        + scenario.prices.waste_core_s * day.thrown_away
    ) / owed + DUTY * day.late_waves
    parts = (credit, windows, queue)
    worth = sum(
        weight * part for weight, part in zip(PARTS, parts, strict=True)
    )
    large = sorted(found, key=lambda job: -job.made.work)[: len(found) // 10]
    return Verdict(
        worth=worth - prices,
        credit=credit,
        windows=windows,
        in_time=float(np.mean([job.in_time for job in found])),
        largest=float(np.mean([job.in_time for job in large])),
        prices=prices,
        machine_seconds=day.machine_seconds,
        moves=day.moves,
        thrown_away=day.thrown_away,
        start_ms=(
            day.starts.get_value_at_percentile(50),
            day.starts.get_value_at_percentile(95),
            day.starts.get_value_at_percentile(99),
        ),
        decisions_ms=day.decisions_s / day.seconds * 1000,
        bad=len(day.bad),
        instances_lost=day.instances_lost,
        runs_lost=day.runs_lost,
        wronged=len(day.given_up - day.bad),
    )


def _jobs(day: days_lib.Day) -> list[_Job]:
    # A job that can't be done is neither owed nor missed.
    short = [
        made
        for made in day.made
        if made.durations and made.job.job_id not in day.bad
    ]
    works: dict[str, list[float]] = collections.defaultdict(list)
    for made in short:
        works[made.queue.name].append(made.work)
    return [_job(made, day, works[made.queue.name]) for made in short]


def _job(made: workload.Made, day: days_lib.Day, works: list[float]) -> _Job:
    share = min(4.0, 0.3 + 0.7 * made.work / float(np.mean(works)))
    owed = made.queue.worth * share
    ended = day.ended.get(made.job.job_id)
    if ended is None:
        return _Job(made, owed, 0.0, False)
    age_s = ended - made.at
    if age_s <= made.objective_s:
        return _Job(made, owed, owed, True)
    late = age_s <= LATE_FACTOR * made.objective_s
    return _Job(made, owed, owed * LATE_SHARE if late else 0.0, False)


def _worst_windows(found: list[_Job]) -> float:
    windows: dict[int, list[_Job]] = collections.defaultdict(list)
    for job in found:
        windows[int(job.made.at // WINDOW_S)].append(job)
    shares = sorted(
        _share(jobs) for jobs in windows.values() if len(jobs) >= FEWEST
    )
    return float(np.mean(shares[:2])) if shares else 1.0


def _by_queue(found: list[_Job]) -> dict[str, float]:
    queues: dict[str, list[_Job]] = collections.defaultdict(list)
    for job in found:
        queues[job.made.queue.name].append(job)
    return {name: _share(jobs) for name, jobs in queues.items()}


def _share(jobs: list[_Job]) -> float:
    return sum(job.earned for job in jobs) / sum(job.owed for job in jobs)
