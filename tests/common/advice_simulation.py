"""An owner, its instances and the advice service in virtual time."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import hashlib
import random

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import advice_calls
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.01
QUEUE_LIMIT = 32
"""Calls that may wait at the service; further ones are refused."""

CPU = 4000
"""Capacity of each instance in thousandths of a core."""


@dataclasses.dataclass
class Service:
    """A service that handles one call at a time, also abandoned ones.

    Attributes:
        slowdown: factor on the duration of a call; 0 while it handles none.
        loses_answers: calls are handled and not answered.
        refused: calls beyond those that may wait.
        received: calls that were accepted.
    """

    slowdown: float = 1.0
    loses_answers: bool = False
    refused: int = 0
    received: int = 0

    def __post_init__(self) -> None:
        """Starts with an empty queue."""
        self._queue: collections.deque[advice_calls.Call] = collections.deque()
        self._worked_s = 0.0

    def receive(self, call: advice_calls.Call) -> bool:
        """Takes a call; returns whether it may wait."""
        if len(self._queue) > QUEUE_LIMIT:
            self.refused += 1
            return False
        self.received += 1
        self._queue.append(call)
        return True

    def advance(self, seconds: float) -> list[advice_calls.Call]:
        """Works for a while; returns the calls that it answers."""
        if not self._queue or not self.slowdown:
            return []
        self._worked_s += seconds / self.slowdown
        if self._worked_s < self._queue[0].request.expected_s:
            return []
        self._worked_s = 0.0
        call = self._queue.popleft()
        return [] if self.loses_answers else [call]


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A job that is submitted at a time in seconds."""

    at: float
    job: jobs.Job
    task_s: float


class Simulation:
    """One owner whose only queue has an advisor.

    Attributes:
        completed_at: when each job ended, by id.
        refused_starts: starts whose ticket had expired.
    """

    def __init__(
        self,
        instances: int,
        advice: fleet.AdvisorConfig,
        good_share: float,
        seed: int,
    ):
        self.now = 0.0
        self.service = Service()
        self.completed_at: dict[str, float] = {}
        self.refused_starts = 0
        self._advice = advice
        self._good_share = good_share
        self._seed = seed
        self._calls = advice_calls.AdviceCalls()
        self._valid_until: dict[str, float] = {}
        self._ends: list[tuple[float, term_state.StartOrder]] = []
        self._end_counts: collections.Counter[str] = collections.Counter()
        self._task_s: dict[str, float] = {}
        self.scheduler = fleet_builders.new_scheduler()
        self.scheduler.apply_config(fleet_builders.config(advice=advice))
        self.names = [f"i-{number:03}" for number in range(instances)]
        fleet_builders.add_instances(self.scheduler, *self.names, cpu=CPU)

    def is_good(self, step: str, name: str) -> bool:
        """Whether an instance may run a step."""
        text = f"{self._seed} {step} {name}".encode()
        share = hashlib.sha256(text).digest()[0] / 256
        return name == self.names[-1] or share < self._good_share

    def run(self, arrivals: Sequence[Arrival], until: float) -> None:
        """Submits jobs and runs the owner until a time."""
        pending = collections.deque(sorted(arrivals, key=lambda item: item.at))
        for _ in self._ticks(until):
            while pending and pending[0].at <= self.now:
                arrival = pending.popleft()
                self._task_s[arrival.job.job_id] = arrival.task_s
                self.scheduler.add_job(arrival.job, self.now)
            self._answer_calls()
            self._end_runs()
            wall_ms = fleet_builders.WALL_MS + self.now * 1000
            self.scheduler.plan(self.now, wall_ms)
            self._start()
            self._calls.update_requests(
                self.scheduler.missing_tickets(fleet_builders.moment(self.now))
            )
            self._send_calls()

    def _ticks(self, until: float) -> Iterator[None]:
        while self.now < until:
            yield
            self.now += TICK_S

    def _send_calls(self) -> None:
        while isinstance(
            call := self._calls.next_call(self.now), advice_calls.Call
        ):
            if not self.service.receive(call):
                expected_s = call.request.expected_s
                self._calls.record_failure(call, self.now, expected_s)

    def _answer_calls(self) -> None:
        for call in self.service.advance(TICK_S):
            step = call.request.step
            key = f"{step.key}"
            good = {
                name: f"{key} {name}"
                for name in call.request.instances
                if self.is_good(key, name)
            }
            validity_s = self._advice.validity_ms / 1000
            for ticket in good.values():
                self._valid_until[ticket] = self.now + validity_s
            self._calls.record_answer(call, self.now)
            self.scheduler.record_advice(
                step, call.request.instances, good, self.now, validity_s
            )

    def _start(self) -> None:
        batch = self.scheduler.take_batch(1000)
        for start in batch.starts:
            if not self.scheduler.may_send_start(start):
                continue
            key = (start.task, start.run)
            if self._valid_until.get(start.ticket, 0.0) <= self.now:
                self.refused_starts += 1
                reason = fleet.RefusalReason.INVALID_TICKET
                self.scheduler.handle_start_refused(
                    start.instance, key, reason, True, self.now
                )
                continue
            self.scheduler.handle_start_accepted(
                start.instance, key, None, self.now
            )
            ends_at = self.now + self._task_s[start.task.job_id]
            self._ends.append((ends_at, start))

    def _end_runs(self) -> None:
        ended = [item for item in self._ends if item[0] <= self.now]
        self._ends = [item for item in self._ends if item[0] > self.now]
        by_instance: dict[str, list[fleet.RunEnd]] = {}
        for _, start in ended:
            self._end_counts[start.instance] += 1
            end = fleet.RunEnd(
                self._end_counts[start.instance],
                start.task,
                start.run,
                fleet.RunOutcome.DONE,
                "",
            )
            by_instance.setdefault(start.instance, []).append(end)
        for name, ends in by_instance.items():
            running = tuple(
                fleet.RunStatus(start.task, start.run, "", 50.0)
                for _, start in self._ends
                if start.instance == name
            )
            report = fleet_builders.status_report(tuple(ends), running)
            self.scheduler.handle_status_report(
                name, report, self.now, self.now
            )
        for job_id in {start.task.job_id for _, start in ended}:
            entry = self.scheduler.tracker.get(job_id)
            if entry is not None and entry.ended is not None:
                self.completed_at.setdefault(job_id, self.now)


def draw_jobs(
    rng: random.Random, count: int, seconds: float, instances: int
) -> list[Arrival]:
    """Returns jobs of all shapes that fit on the pool, also at once."""
    arrivals = []
    for number in range(1, count + 1):
        is_gang = rng.random() < 0.1
        tasks = min(rng.choice((1, 1, 2, 2, 4, 8)), instances)
        step = jobs.Step(
            count=1 if instances == 1 else tasks,
            cpu=rng.choice((100, 500, 500, 2000)),
            estimate_ms=300.0,
            gang=is_gang and tasks <= 2,
            anti_affinity=rng.choice((0, 0, 0, 8)),
        )
        job = fleet_builders.job(number, steps=(step,))
        task_s = rng.uniform(0.1, 0.6)
        arrivals.append(Arrival(rng.uniform(0.0, seconds), job, task_s))
    return arrivals
