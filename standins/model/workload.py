"""Jobs of a day: turns, sizes, and what their clients do not know."""

from collections.abc import Iterator
import dataclasses

import numpy as np

from standins.model import scenario as scenarios
from vanillaswitch.protocol import jobs

LASTING_MS = 90_000.0
"""What a client guesses for tasks that last; nothing depends on it."""


@dataclasses.dataclass(frozen=True)
class Made:
    """A job, when it comes, and how long its tasks really take.

    Attributes:
        durations: seconds of a task, by step; empty where they last.
    """

    job: jobs.Job
    queue: scenarios.Queue
    at: float
    durations: tuple[float, ...]

    @property
    def work(self) -> float:
        """Core-seconds."""
        return sum(
            step.count * step.cpu / 1000 * seconds
            for step, seconds in zip(
                self.job.steps, self.durations, strict=True
            )
        )

    @property
    def objective_s(self) -> float:
        """Within which it should end."""
        chain = sum(self.durations)
        return self.queue.stretch * chain + self.queue.target_ms / 1000


def day(scenario: scenarios.Scenario, size: float, seed: int) -> list[Made]:
    """Returns all jobs of a day in the order in which they come."""
    rng = np.random.default_rng(seed)
    made: list[Made] = []
    for queue in scenario.queue:
        if queue.lasting:
            made.append(_lasting(queue, size))
        for at in _arrivals(scenario, queue, size, rng):
            made.append(_short(queue, at, rng))
    made.sort(key=lambda item: item.at)
    return [_named(item, number) for number, item in enumerate(made, 1)]


def _arrivals(
    scenario: scenarios.Scenario,
    queue: scenarios.Queue,
    size: float,
    rng: np.random.Generator,
) -> Iterator[float]:
    """Yields times of hand-ins: a Poisson process, thinned between turns."""
    turns = 1 + max(item.turn for item in scenario.queue)
    highest = queue.jobs_per_s * size * max(scenario.peak, scenario.swing)
    at = rng.exponential(1 / highest)
    while at < scenario.seconds:
        on_turn = int(at // scenario.turn_s) % turns == queue.turn
        share = 1.0 if on_turn else scenario.swing / scenario.peak
        if rng.random() < share:
            yield at
        at += rng.exponential(1 / highest)


def _spread(
    rng: np.random.Generator, mean: float, sigma: float, most: float
) -> float:
    """Draws from a lognormal distribution of this mean, cut at ``most``."""
    drawn = rng.lognormal(np.log(mean) - sigma * sigma / 2, sigma)
    return float(min(drawn, most))


def _short(queue: scenarios.Queue, at: float, rng: np.random.Generator) -> Made:
    steps = []
    durations = []
    count = max(1, round(_spread(rng, queue.steps, 0.4, 2.5 * queue.steps)))
    twice = bool(rng.random() < queue.twice)
    for index in range(count):
        seconds = _spread(rng, queue.task_s, 0.5, 2.5 * queue.task_s)
        guessed = seconds * rng.lognormal(0.0, queue.estimate_off)
        steps.append(
            jobs.Step(
                count=max(
                    1, round(_spread(rng, queue.width, 0.6, 4 * queue.width))
                ),
                cpu=round(_spread(rng, queue.cpu, 0.45, 3 * queue.cpu)),
                mem_mb=round(_spread(rng, queue.mem_mb, 0.6, 3 * queue.mem_mb)),
                estimate_ms=round(guessed * 1000),
                after=(index - 1,) if index else (),
                speculative=twice,
            )
        )
        durations.append(seconds)
    return Made(_job(queue, tuple(steps), at), queue, at, tuple(durations))


def _lasting(queue: scenarios.Queue, size: float) -> Made:
    step = jobs.Step(
        count=max(1, round(queue.lasting * size)),
        cpu=queue.lasting_cpu,
        mem_mb=2400,
        estimate_ms=LASTING_MS,
        anti_affinity=1,
        long_running=True,
        may_miss=queue.may_miss,
    )
    return Made(_job(queue, (step,), 0.0), queue, 0.0, ())


def _job(
    queue: scenarios.Queue, steps: tuple[jobs.Step, ...], at: float
) -> jobs.Job:
    return jobs.Job("", queue.name, queue.name, "text", steps, round(at * 1000))


def _named(made: Made, number: int) -> Made:
    job = dataclasses.replace(made.job, job_id=f"{number:016x}")
    return dataclasses.replace(made, job=job)
