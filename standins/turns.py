"""Replays a queue's turn on the owner's decisions, without input or output.

Load pattern: a queue asks several times its mean for some seconds. Its pool is
small when the turn begins; machines from elsewhere arrive a few seconds later
and then are a little more than what is asked for, so the backlog of the first
seconds decides how many of the later jobs are in time.

Instances run each task for its true duration; the owner is told estimates that
are off. Nothing fails here: the replay compares orders of the queue.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import heapq
import math
import random
import statistics

import click

from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

TICK_S = 0.02
"""Time between two plans; about what a transaction and a start take."""

MAX_RETRIES = 4
"""How often the client of a refused job returns."""

QUEUE = "quotes"
STRETCH = 1.6
TARGET_MS = 600.0
LATE_FACTOR = 3.0
LATE_SHARE = 1 / 14
"""A late job is worth so much of what one in time is."""


@dataclasses.dataclass(frozen=True)
class Turn:
    """One turn and the machines that it meets.

    Attributes:
        length_s: how long the queue asks.
        jobs_per_s: how much it asks.
        instances: how many its pool has when the turn begins.
        more: how many it has once others have arrived.
        more_at_s: when that is.
        task_ms: mean duration of a task.
        task_cpu: mean thousandths of a core of a task.
        estimate_off: spread of the logarithm of estimate over duration.
        accounts: client accounts that ask alike; 0 for none.
        hot_x: how many times its usual the first of them asks, beside what the
            others ask.
        share_x: weight of an account over what it asks usually; 0 for none.
        limit_at_s: when the limit of the last account is lowered.
        limit_cpu: to how many thousandths of a core.
        new_owner_at_s: when the owner is replaced.
    """

    length_s: float = 8.0
    jobs_per_s: float = 70.0
    instances: int = 6
    more: int = 60
    more_at_s: float = 2.6
    task_ms: float = 640.0
    task_cpu: float = 1500.0
    estimate_off: float = 0.5
    accounts: int = 0
    hot_x: float = 1.0
    share_x: float = 0.0
    limit_at_s: float = math.inf
    limit_cpu: int = 0
    new_owner_at_s: float = math.inf

    @property
    def usual_per_s(self) -> float:
        """What an account asks usually, in jobs a second."""
        return self.jobs_per_s / self.accounts if self.accounts else 0.0

    @property
    def asked_per_s(self) -> float:
        """What all accounts ask together."""
        return self.jobs_per_s + (self.hot_x - 1.0) * self.usual_per_s

    def draw_account(self, rng: random.Random) -> str:
        """Returns the account of a job; empty if there are none."""
        if not self.accounts:
            return ""
        shares = [self.hot_x, *[1.0] * (self.accounts - 1)]
        (number,) = rng.choices(range(self.accounts), shares)
        return f"account-{number}"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of the jobs of a turn, as shares.

    Attributes:
        credit: of what all jobs in time would be worth.
        in_time: jobs that met their objective.
        late: jobs that ended within three times their objective.
        large_in_time: the same as ``in_time`` of the largest tenth.
        last_s: when the last job ended.
        others_in_time: the same as ``in_time`` of all but the first account.
        others_credit: the same as ``credit`` of all but the first account.
    """

    credit: float
    in_time: float
    late: float
    large_in_time: float
    last_s: float
    others_in_time: float
    others_credit: float


@dataclasses.dataclass(frozen=True)
class Made:
    """A job with what its client does not know.

    Attributes:
        durations: true seconds of a task, by step.
    """

    job: jobs.Job
    at: float
    durations: tuple[float, ...]

    @property
    def work(self) -> float:
        """Core-seconds."""
        return sum(
            step.count * step.cpu / 1000 * duration
            for step, duration in zip(
                self.job.steps, self.durations, strict=True
            )
        )

    @property
    def objective_s(self) -> float:
        """Within which it should end."""
        return STRETCH * sum(self.durations) + TARGET_MS / 1000


def _spread(
    rng: random.Random, mean: float, sigma: float, most: float
) -> float:
    drawn = rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
    return min(drawn, most)


def _jobs(turn: Turn, rng: random.Random) -> Iterator[Made]:
    at = rng.expovariate(turn.asked_per_s)
    number = 0
    while at < turn.length_s:
        number += 1
        steps = []
        durations = []
        for index in range(rng.choice((1, 1, 1, 2, 2, 3))):
            duration = _spread(rng, turn.task_ms, 0.5, 2.5 * turn.task_ms)
            estimate = duration * rng.lognormvariate(0.0, turn.estimate_off)
            steps.append(
                jobs.Step(
                    count=max(1, round(_spread(rng, 8, 0.6, 32))),
                    cpu=round(
                        _spread(rng, turn.task_cpu, 0.45, 3 * turn.task_cpu)
                    ),
                    mem_mb=round(_spread(rng, 3200, 0.6, 9500)),
                    estimate_ms=round(estimate),
                    after=(index - 1,) if index else (),
                )
            )
            durations.append(duration / 1000)
        job = jobs.Job(
            f"{number:016x}",
            QUEUE,
            QUEUE,
            "text",
            tuple(steps),
            round(at * 1000),
            account=turn.draw_account(rng),
        )
        yield Made(job, at, tuple(durations))
        at += rng.expovariate(turn.asked_per_s)


def _registration(name: str) -> fleet.Registration:
    room = fleet.Resources(16_000, 65_536)
    return fleet.Registration(name, QUEUE, "a", "z", False, room, ("a",))


class _Pool:
    """Instances that run what they are told to."""

    def __init__(self, scheduler: schedulers.Scheduler):
        self._scheduler = scheduler
        self._running: list[tuple[float, int, str, jobs.TaskName, int]] = []
        self._ends = dict[str, int]()
        self._count = 0

    def grow(self, size: int, now: float) -> None:
        """Adds instances until there are so many."""
        for index in range(len(self._ends), size):
            name = f"i-{index}"
            self._scheduler.handle_registration(_registration(name), now)
            self._scheduler.handle_status_report(
                name, fleet.StatusReport(0.0, (), ()), now, now
            )
            self._ends[name] = 0

    def take_over(self, scheduler: schedulers.Scheduler, now: float) -> None:
        """Reports what runs to a new owner."""
        self._scheduler = scheduler
        running: dict[str, list[fleet.RunStatus]] = {}
        for _, _, instance, task, run in self._running:
            status = fleet.RunStatus(task, run, "", 0.0)
            running.setdefault(instance, []).append(status)
        for name in self._ends:
            scheduler.handle_registration(_registration(name), now)
        for entry in list(scheduler.tracker):
            scheduler.set_spec(entry.job.job_id, "text")
        scheduler.recover_runs(now, now + 10.0)
        for name in self._ends:
            scheduler.handle_status_report(
                name,
                fleet.StatusReport(0.0, tuple(running.get(name, ())), ()),
                now,
                now,
            )

    def start(
        self, instance: str, task: jobs.TaskName, run: int, ends_at: float
    ) -> None:
        """Runs a task."""
        self._count += 1
        heapq.heappush(
            self._running, (ends_at, self._count, instance, task, run)
        )

    def end(self, now: float) -> None:
        """Lists the tasks that are done."""
        while self._running and self._running[0][0] <= now:
            _, _, instance, task, run = heapq.heappop(self._running)
            self._ends[instance] += 1
            end = fleet.RunEnd(
                self._ends[instance], task, run, fleet.RunOutcome.DONE, ""
            )
            self._scheduler.handle_status_report(
                instance, fleet.StatusReport(0.0, (), (end,)), now, now
            )


def _scheduler(
    order: str, turn: Turn, overload: deployments.OverloadControls
) -> schedulers.Scheduler:
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(order),
        lambda _: None,
        overload=dataclasses.replace(
            overload, fair_order=order == queue_order.FAIR_ORDER
        ),
    )
    scheduler.apply_config(_config(turn, is_limited=False))
    return scheduler


def _config(turn: Turn, is_limited: bool) -> fleet.FleetConfig:
    queue = fleet.Queue(
        QUEUE, "", "/", QUEUE, stretch=STRETCH, target_duration_ms=TARGET_MS
    )
    pool = fleet.Pool(QUEUE, enforces_capacity=False, is_standby=False)
    directory = accounts.AccountDirectory(
        accounts.ClientAccount(
            f"account-{number}",
            weight=turn.share_x * turn.usual_per_s,
            limit=accounts.ResourceLimit(
                cpu=turn.limit_cpu
                if is_limited and number == turn.accounts - 1
                else 0
            ),
        )
        for number in range(turn.accounts)
    )
    return fleet.FleetConfig(1, (queue,), {QUEUE: pool}, 0, directory)


Admit = Callable[[schedulers.Scheduler, jobs.Job, float], float]
"""Returns after how many seconds a job is submitted again; 0 accepts it."""


def replay(
    order: str,
    turn: Turn,
    seed: int,
    overload: deployments.OverloadControls = term_state.NO_OVERLOAD_CONTROLS,
) -> Outcome:
    """Plays one turn with one order of the queue."""
    made, ended = play(order, turn, seed, lambda *_: 0.0, overload)
    return _judge(made, ended)


def play(
    order: str,
    turn: Turn,
    seed: int,
    admit: Admit,
    overload: deployments.OverloadControls = term_state.NO_OVERLOAD_CONTROLS,
) -> tuple[list[Made], dict[str, float]]:
    """Plays one turn; returns all jobs, and when those accepted ended."""
    scheduler = _scheduler(order, turn, overload)
    pool = _Pool(scheduler)
    made = list(_jobs(turn, random.Random(seed)))
    by_id = {item.job.job_id: item for item in made}
    waiting = [(item.at, number, item) for number, item in enumerate(made)]
    tries = dict.fromkeys(by_id, 0)
    ended: dict[str, float] = {}
    now = 0.0
    is_limited = is_replaced = False
    while waiting or scheduler.tracker.unfinished:
        now += TICK_S
        if now >= turn.limit_at_s and not is_limited:
            is_limited = True
            scheduler.apply_config(_config(turn, is_limited))
        if now >= turn.new_owner_at_s and not is_replaced:
            is_replaced = True
            entries = list(scheduler.tracker)
            scheduler = _scheduler(order, turn, overload)
            scheduler.apply_config(_config(turn, is_limited))
            for entry in reversed(entries):
                scheduler.restore(
                    entry.job,
                    entry.to_document(),
                    entry.version,
                    now,
                    now - by_id[entry.job.job_id].at,
                )
            pool.take_over(scheduler, now)
        pool.grow(turn.more if now >= turn.more_at_s else turn.instances, now)
        pool.end(now)
        while waiting and waiting[0][0] <= now:
            _, number, due = heapq.heappop(waiting)
            job_id = due.job.job_id
            retry_after_s = admit(scheduler, due.job, now)
            tries[job_id] += 1
            if not retry_after_s:
                scheduler.add_job(due.job, now, now - due.at)
            elif tries[job_id] <= MAX_RETRIES:
                heapq.heappush(waiting, (now + retry_after_s, number, due))
        scheduler.plan(now, now * 1000)
        batch = scheduler.take_batch(len(made))
        for start in batch.starts:
            scheduler.may_send_start(start)
            scheduler.handle_start_accepted(
                start.instance, (start.task, start.run), now=now
            )
            duration = by_id[start.task.job_id].durations[start.task.step]
            pool.start(start.instance, start.task, start.run, now + duration)
        for entry in batch.entries:
            if entry.ended is not None:
                ended[entry.job.job_id] = now
    return made, ended


def _judge(made: list[Made], ended: dict[str, float]) -> Outcome:
    mean = sum(item.work for item in made) / len(made)
    large = sorted(made, key=lambda item: -item.work)[: len(made) // 10]
    others = [item for item in made if item.job.account != "account-0"]
    owed = earned = others_owed = others_earned = 0.0
    in_time: set[str] = set()
    late = 0
    for item in made:
        worth = 0.3 + 0.7 * item.work / mean
        age = ended[item.job.job_id] - item.at
        paid = 0.0
        if age <= item.objective_s:
            paid = worth
            in_time.add(item.job.job_id)
        elif age <= LATE_FACTOR * item.objective_s:
            paid = worth * LATE_SHARE
            late += 1
        owed += worth
        earned += paid
        if item.job.account != "account-0":
            others_owed += worth
            others_earned += paid
    return Outcome(
        earned / owed,
        len(in_time) / len(made),
        late / len(made),
        sum(item.job.job_id in in_time for item in large) / len(large),
        max(ended.values()),
        sum(item.job.job_id in in_time for item in others) / len(others),
        others_earned / others_owed,
    )


ROOMS = (60, 54, 45, 36)
"""Instances at which orders are compared: enough, and a tenth, a quarter and
two fifths less."""

SEEDS = range(10, 14)


def _table() -> str:
    """Returns the mean credit of each order at each of ``ROOMS``."""
    lines = ["order      " + "".join(f"{room:>8}" for room in ROOMS)]
    for order in queue_order.ORDERS.names:
        means = [
            statistics.mean(
                replay(order, Turn(more=room), seed).credit for seed in SEEDS
            )
            for room in ROOMS
        ]
        lines.append(f"{order:11}" + "".join(f"{mean:8.3f}" for mean in means))
    return "\n".join(lines)


if __name__ == "__main__":
    click.echo(_table())
