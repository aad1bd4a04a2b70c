"""Replays turns of a queue with different admission control.

    python -m standins.admitted_turns

Compares no admission control, the prediction of ``admission_control`` and a
delay target: refuse while the shortest wait for a first start stayed over a
target for half a second.
"""

from collections.abc import Callable
import dataclasses
import functools
import statistics

import click

from standins import turns
from vanillaswitch.coordination.fleet.admission import admission_control
from vanillaswitch.coordination.fleet.admission import backlog
from vanillaswitch.coordination.fleet.admission import load_reports
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.protocol import jobs

CORES = 16_000
"""Thousandths of a core of an instance in ``turns``."""

DELAY_WINDOW_S = 0.5
DELAY_TARGET_S = 2.0
"""A job of ``turns`` is late after about as long a wait. Targets of 0.8 and
0.3 s gave the same results at two and four times the demand: the order of the
queue starts some new jobs at once, so the shortest wait was at most 0.29 s."""

RETRY_AFTER_S = 2.0
"""What the delay target tells refused clients."""


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of the jobs of a turn, as shares.

    Attributes:
        credit: of what all jobs in time would be worth.
        served: jobs that ended within three times their objective.
        wasted: jobs that were accepted and ended later.
        refused: jobs that were never accepted.
        wrong: jobs that were refused and not served, but are served without
            admission control.
        others_served: the same as ``served`` of all but the first account.
    """

    credit: float
    served: float
    wasted: float
    refused: float
    wrong: float
    others_served: float


class Prediction:
    """Asks what the processes ask, with reports as old as theirs."""

    def __init__(self, turn: turns.Turn):
        self._turn = turn
        self._meter: backlog.BacklogMeter | None = None
        self._retries = admission_control.RetrySchedule()

    def __call__(
        self, scheduler: schedulers.Scheduler, job: jobs.Job, now: float
    ) -> float:
        """Returns when a job returns; 0 if it is accepted."""
        meter = self._measure(scheduler, now)
        queue = scheduler.queues[job.queue]
        age_ms = now * 1000 - job.submitted_ms
        need = admission_control.need_of(job, queue, age_ms, meter.accounts)
        if need is None or not meter.pools:
            return 0.0
        found = meter.pools[0]
        overload = admission_control.find_overload(need, found)
        if overload is None:
            return 0.0
        return float(self._retries.assign(need, overload, found.rate, 1, now))

    def _measure(
        self, scheduler: schedulers.Scheduler, now: float
    ) -> backlog.BacklogMeter:
        if self._meter is None:
            self._meter = backlog.BacklogMeter(
                scheduler,
                lambda: backlog.Machines({}, self._standby_cpu(scheduler)),
                False,
                lambda _: None,
            )
        measured_at = self._meter.measured_at
        if (
            measured_at is None
            or now - measured_at >= load_reports.REFRESH_AFTER_S
        ):
            self._meter.measure(now, now * 1000)
        return self._meter

    def _standby_cpu(self, scheduler: schedulers.Scheduler) -> int:
        missing = self._turn.more - len(scheduler.instances)
        return max(0, missing) * CORES


class DelayTarget:
    """Refuses while the shortest wait over half a second is too long."""

    def __init__(self, turn: turns.Turn):
        del turn
        self._started: set[str] = set()
        self._waits: list[tuple[float, float]] = []

    def __call__(
        self, scheduler: schedulers.Scheduler, job: jobs.Job, now: float
    ) -> float:
        """Returns when a job returns; 0 if it is accepted."""
        del job
        for entry in scheduler.tracker:
            if entry.was_assigned and entry.job.job_id not in self._started:
                self._started.add(entry.job.job_id)
                self._waits.append((now, now - entry.submitted_at))
        since = now - DELAY_WINDOW_S
        self._waits = [item for item in self._waits if item[0] > since]
        shortest = min((wait for _, wait in self._waits), default=0.0)
        return RETRY_AFTER_S if shortest > DELAY_TARGET_S else 0.0


POLICIES: dict[str, Callable[[turns.Turn], turns.Admit]] = {
    "none": lambda _: lambda *_: 0.0,
    "prediction": Prediction,
    "delay": DelayTarget,
}


@functools.cache
def _play_freely(turn: turns.Turn, seed: int) -> dict[str, float]:
    """Plays a turn without admission control; returns when jobs ended."""
    _, ended = turns.play("headroom", turn, seed, POLICIES["none"](turn))
    return ended


def replay(policy: str, turn: turns.Turn, seed: int) -> Result:
    """Plays one turn with one admission control."""
    admit = POLICIES[policy](turn)
    refused_once: set[str] = set()

    def recorded(
        scheduler: schedulers.Scheduler, job: jobs.Job, now: float
    ) -> float:
        retry_after_s = admit(scheduler, job, now)
        if retry_after_s:
            refused_once.add(job.job_id)
        return retry_after_s

    made, ended = turns.play("headroom", turn, seed, recorded)
    free_ended = _play_freely(turn, seed)
    mean = sum(item.work for item in made) / len(made)
    owed = earned = 0.0
    served: set[str] = set()
    could = {item.job.job_id for item in made if _is_served(item, free_ended)}
    for item in made:
        worth = 0.3 + 0.7 * item.work / mean
        owed += worth
        if not _is_served(item, ended):
            continue
        served.add(item.job.job_id)
        in_time = ended[item.job.job_id] - item.at <= item.objective_s
        earned += worth * (1.0 if in_time else turns.LATE_SHARE)
    refused = {item.job.job_id for item in made} - ended.keys()
    others = [
        item.job.job_id in served
        for item in made
        if item.job.account != "account-0"
    ]
    return Result(
        earned / owed,
        len(served) / len(made),
        (len(ended) - len(served)) / len(made),
        len(refused) / len(made),
        len((refused_once & could) - served) / len(made),
        sum(others) / len(others),
    )


def _is_served(item: turns.Made, ended: dict[str, float]) -> bool:
    at = ended.get(item.job.job_id)
    limit_s = turns.LATE_FACTOR * item.objective_s
    return at is not None and at - item.at <= limit_s


DEMANDS = (0.5, 1.0, 2.0, 4.0)
"""Demand of a turn over the capacity of 60 instances."""

SEEDS = range(10, 12)


def _turn(demand: float, hot: bool, estimate_off: float) -> turns.Turn:
    more = round(60 / demand)
    turn = turns.Turn(more=more, estimate_off=estimate_off)
    if not hot:
        return turn
    return dataclasses.replace(turn, accounts=10, hot_x=6.0, share_x=1.2)


@click.command()
@click.option("--hot", is_flag=True, help="one of ten accounts asks six times")
@click.option("--demand", multiple=True, type=float, default=DEMANDS)
@click.option("--policy", multiple=True, default=tuple(POLICIES))
@click.option("--estimate-off", default=0.5, help="spread of the estimates")
def main(
    hot: bool,
    demand: tuple[float, ...],
    policy: tuple[str, ...],
    estimate_off: float,
) -> None:
    """Prints the mean results of each policy at each demand."""
    names = [field.name for field in dataclasses.fields(Result)]
    click.echo(
        f"{'demand':>6} {'policy':10}"
        + "".join(f"{name:>14}" for name in names)
    )
    for times in demand:
        for name in policy:
            results = [
                dataclasses.astuple(
                    replay(name, _turn(times, hot, estimate_off), seed)
                )
                for seed in SEEDS
            ]
            means = [statistics.mean(row) for row in zip(*results, strict=True)]
            click.echo(
                f"{times:6} {name:10}"
                + "".join(f"{mean:14.3f}" for mean in means)
            )


if __name__ == "__main__":
    main()
