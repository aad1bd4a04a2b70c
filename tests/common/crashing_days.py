"""Days of tasks that crash the instances that start them, in short steps.

An owner decides; instances carry out, end and crash. What the rules ask is
counted from what instances were told: how many of them went down under a task,
and how often it was started afterwards.
"""

from collections.abc import Collection
import dataclasses
import random
from typing import Any

from standins import leased_instance
from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.05
FOUND_S = 0.25
"""Time after which a crash is found by the list of machines."""

BACK_S = 3.0
"""Time after which an instance is there again."""

TASK_S = 0.6
"""How long a task that ends by itself works."""

MOST_CRASHES = 3
MOST_STARTS_AFTERWARDS = 2
"""After so many crashes under it a task is started so often more at most."""


@dataclasses.dataclass
class Tally:
    """What became of one task, as the instances saw it."""

    starts: int = 0
    crashes: int = 0
    starts_afterwards: int = 0

    def start(self) -> None:
        """Counts a start."""
        self.starts += 1
        self.starts_afterwards += self.crashes >= MOST_CRASHES


class Day:
    """A pool of instances, its jobs and its owners.

    Attributes:
        told: what the owners wrote into their logs.
        tallies: by task.
        instances_lost: how many instances crashed.
    """

    def __init__(
        self,
        instances: int = 8,
        *,
        same_id: bool = False,
        cpu: int = 4000,
        crash_after_s: float = 0.01,
    ):
        """Makes a day without jobs.

        Args:
            instances: of the pool.
            same_id: whether a crashed one starts again under its id.
            cpu: thousandths of a core of each.
            crash_after_s: time from a start until it crashes its instance.
        """
        self.now = 1.0
        self.token = 0
        self.told: list[object] = []
        self.tallies: dict[jobs.TaskName, Tally] = {}
        self.instances_lost = 0
        self.models: dict[str, leased_instance.LeasedInstance] = {}
        self._same_id = same_id
        self._cpu = cpu
        self._crash_after_s = crash_after_s
        self._lives = 0
        self._bad: set[jobs.TaskName] = set()
        self._jobs: dict[str, jobs.Job] = {}
        self._rows: dict[str, dict[str, object]] = {}
        self._noted: dict[str, tuple[int, int]] = {}
        self._crash_at: dict[str, float] = {}
        self._found_at: dict[str, float] = {}
        self._back_at: list[tuple[float, str]] = []
        self._ends_at: dict[tuple[str, jobs.TaskName], float] = {}
        self._untried: list[term_state.StartOrder] = []
        for _ in range(instances):
            self._boot(f"i-{self._lives + 1}")
        self.core = self._owner()

    def hand_in(
        self, job: jobs.Job, bad: Collection[tuple[int, int]] = ()
    ) -> None:
        """Hands a job in; tasks (step, index) of ``bad`` crash instances."""
        self._jobs[job.job_id] = job
        self._bad.update(
            jobs.TaskName(job.job_id, 0, step, index) for step, index in bad
        )
        self.core.job_added(job, self.now)

    def run(self, seconds: float) -> None:
        """Plays so much time."""
        until = self.now + seconds
        while self.now < until:
            self._tick()

    def take_over(self) -> None:
        """Has another process own the fleet, from the rows alone."""
        self.core = self._owner()

    def state(self, job: jobs.Job) -> jobs.JobState:
        """Returns what a client is told of a job."""
        entry = self.core.book.get(job.job_id)
        assert entry is not None
        return entry.shown

    def tally(self, job: jobs.Job, step: int = 0, index: int = 0) -> Tally:
        """Returns what became of a task."""
        return self.tallies[jobs.TaskName(job.job_id, 0, step, index)]

    def is_bad(self, task: jobs.TaskName) -> bool:
        """Whether a task crashes its instances."""
        return task in self._bad

    def crash_rack(self, rack: str) -> None:
        """Crashes all instances of a rack."""
        for name, model in list(self.models.items()):
            if model.up and model.registration.rack == rack:
                self.crash(name)

    def crash(self, name: str) -> None:
        """Crashes an instance with all it runs."""
        model = self.models[name]
        for task in model.running:
            self.tallies[task].crashes += 1
        model.crash()
        self.instances_lost += 1
        self._crash_at.pop(name, None)
        self._found_at[name] = self.now + FOUND_S
        self._back_at.append((self.now + BACK_S, name))

    # Instances.

    def _boot(self, name: str) -> None:
        self._lives += 1
        registration = dataclasses.replace(
            fleets.registration(
                name, rack=f"r{self._lives % 3}", cpu=self._cpu
            ),
            born_ms=self._lives,
        )
        self.models[name] = leased_instance.LeasedInstance(registration)

    def _tick(self) -> None:
        self.now = round(self.now + TICK_S, 3)
        self._instances_go_on()
        self._tell_owner()
        self._plan()

    def _instances_go_on(self) -> None:
        for name, at in list(self._crash_at.items()):
            if self.now >= at:
                self.crash(name)
        for (name, task), at in list(self._ends_at.items()):
            if self.now >= at:
                del self._ends_at[name, task]
                if self.models[name].up and task in self.models[name].running:
                    self.models[name].end(task, fleet.How.DONE)
        for at, name in list(self._back_at):
            if self.now >= at:
                self._back_at.remove((at, name))
                again = name if self._same_id else f"i-{self._lives + 1}"
                self._boot(again)
                self.core.registered(self.models[again].registration, self.now)
        for model in self.models.values():
            if model.up:
                model.advance(TICK_S * 1000)

    # The owner.

    def _owner(self) -> cores.Core:
        self.token += 1
        self._untried.clear()
        core = cores.Core(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), self.told.append
        )
        core.configured(fleets.config())
        for model in self.models.values():
            if model.up:
                core.registered(model.registration, self.now)
        for job in self._jobs.values():
            row = self._rows.get(job.job_id)
            if row is None:
                core.job_added(job, self.now)
            else:
                core.restore(job, row, 1, self.now)
        core.inherit_runs(self.now, lease_times.inherited_lapse_at(self.now))
        self._noted.clear()
        return core

    def _tell_owner(self) -> None:
        for name in list(self.core.instances):
            model = self.models.get(name)
            if model is not None and model.up:
                self._hold(name, model)
            else:
                self.core.unanswered(name, self.now)
        for name, at in list(self._found_at.items()):
            if self.now >= at:
                del self._found_at[name]
                if not self._same_id:
                    self.core.gone(name, self.now, "no machine runs it")
        for name in list(self.core.instances):
            if name not in self.models:
                self.core.gone(name, self.now, "no machine runs it")

    def _hold(self, name: str, model: leased_instance.LeasedInstance) -> None:
        known = self.core.instances[name]
        deadline = None
        if known.adopted:
            deadline = int(
                known.clock_now_ms(self.now) + lease_times.HOLD_S * 1000
            )
        life, seen = self._noted.get(name, (0, 0))
        outcome = model.hold(
            self.token, seen if life == known.life else 0, deadline
        )
        if isinstance(outcome, fleet.Held):
            self.core.held(name, outcome, self.now, self.now)

    def _plan(self) -> None:
        core = self.core
        core.lapse(self.now)
        core.stop_again(self.now)
        core.plan(self.now, fleets.WALL_MS + self.now * 1000)
        for stop in core.take_stops():
            model = self.models.get(stop.instance)
            if model is not None and model.up:
                model.stop(stop.task, stop.run, self.token)
                key = (stop.task, stop.run)
                core.stopped(stop.instance, key, self.now)
        batch = core.take_batch(1000)
        for entry in batch.entries:
            self._rows[entry.job.job_id] = entry.pack()
            entry.shown = entry.state
        for name, number in batch.seen.items():
            self._noted[name] = batch.lives[name], number
        for order in batch.starts:
            self._start(order)

    def _start(self, order: term_state.StartOrder) -> None:
        model = self.models.get(order.instance)
        if not self.core.may_send(order) or model is None:
            return
        if not model.up:
            self.core.unanswered(order.instance, self.now)
            return
        job = self._jobs[order.task.job_id]
        step = job.steps[order.task.step]
        known = self.core.instances[order.instance]
        deadline = int(known.clock_now_ms(self.now) + lease_times.HOLD_S * 1000)
        start = fleet.Start(order.task, order.run, "", "", self.token, deadline)
        outcome = model.start(start, books.need(step))
        assert isinstance(outcome, fleet.Accepted), outcome
        self.core.started(
            order.instance,
            (order.task, order.run),
            outcome.clock_ms,
            self.now,
        )
        self.tallies.setdefault(order.task, Tally()).start()
        if order.task in self._bad:
            self._crash_at.setdefault(
                order.instance, self.now + self._crash_after_s
            )
        elif step.long_running:
            model.running[order.task].percent = 100.0
        else:
            self._ends_at[order.instance, order.task] = self.now + TASK_S


@dataclasses.dataclass(frozen=True)
class Trouble:
    """What a drawn day holds.

    Attributes:
        bad_share: share of the jobs with a task that crashes its instances.
        whole_steps: whether all tasks of such a step do.
        owner_changes: chance of a change of owner in each tick.
        lost_racks: chance in each tick that a third of the pool crashes.
    """

    bad_share: float = 0.05
    whole_steps: bool = False
    owner_changes: float = 0.0
    lost_racks: float = 0.0


@dataclasses.dataclass
class Drawn:
    """A drawn day and its jobs."""

    day: Day
    sound: list[jobs.Job] = dataclasses.field(default_factory=list)
    bad: list[jobs.Job] = dataclasses.field(default_factory=list)

    @property
    def given_up(self) -> list[jobs.Job]:
        """Sound jobs that are shown as failed."""
        return [
            job
            for job in self.sound
            if self.day.state(job) is jobs.JobState.FAILED
        ]

    @property
    def most_starts_afterwards(self) -> int:
        """Starts of a bad task after the third crash under it, at most."""
        return max(
            (
                tally.starts_afterwards
                for task, tally in self.day.tallies.items()
                if self.day.is_bad(task)
            ),
            default=0,
        )


DAY_S = 25.0
QUIET_S = 8.0
"""No jobs come so long before the end of a drawn day."""


def draw(seed: int, trouble: Trouble, **fields: Any) -> Drawn:
    """Plays a day of short jobs beside a lasting one.

    Args:
        seed: of all that is drawn.
        trouble: what comes.
        fields: of the ``Day``.
    """
    chooser = random.Random(seed)
    drawn = Drawn(Day(9, cpu=16_000, **fields))
    lasting = jobs.Step(
        count=5, cpu=1300, long_running=True, may_miss=1, anti_affinity=1
    )
    drawn.sound.append(fleets.job(1000, (lasting,)))
    drawn.day.hand_in(drawn.sound[0])
    for tick in range(round(DAY_S / TICK_S)):
        if tick * TICK_S < DAY_S - QUIET_S and chooser.random() < 0.2:
            _hand_in_drawn(drawn, tick + 1, trouble, chooser)
        if chooser.random() < trouble.owner_changes:
            drawn.day.take_over()
        if chooser.random() < trouble.lost_racks:
            drawn.day.crash_rack(f"r{chooser.randrange(3)}")
        drawn.day.run(TICK_S)
    return drawn


def _hand_in_drawn(
    drawn: Drawn, number: int, trouble: Trouble, chooser: random.Random
) -> None:
    count = chooser.randint(1, 12)
    cpu = chooser.choice((600, 1100, 2500))
    step = jobs.Step(count=count, cpu=cpu, estimate_ms=600)
    job = fleets.job(number, (step,))
    guilty = [chooser.randrange(count)]
    if trouble.whole_steps:
        guilty = list(range(count))
    if chooser.random() < trouble.bad_share:
        drawn.bad.append(job)
        drawn.day.hand_in(job, [(0, index) for index in guilty])
    else:
        drawn.sound.append(job)
        drawn.day.hand_in(job)
