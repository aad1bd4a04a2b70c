"""Simulates tasks that crash their instances, in short time steps.

An owner decides, and simulated instances run tasks, complete them and crash.
The tests check counts that are taken on the instances: how many of them crashed
under a task, and how often the task was started afterwards.
"""

from collections.abc import Collection
import dataclasses
import random
from typing import Any

from standins import leased_instance
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.05
DETECTION_S = 0.25
"""Time until the list of machines shows a crash."""

RESTART_S = 3.0
"""Time until a crashed instance runs again."""

TASK_DURATION_S = 0.6
"""How long a task runs that ends by itself."""

MAX_CRASHES = 3
MAX_STARTS_AFTERWARDS = 2
"""How often a task may start once it has crashed ``MAX_CRASHES`` instances."""


@dataclasses.dataclass
class Tally:
    """Starts and crashes of one task, counted on the instances.

    Attributes:
        starts_afterwards: starts after ``MAX_CRASHES`` crashes.
    """

    starts: int = 0
    crashes: int = 0
    starts_afterwards: int = 0

    def start(self) -> None:
        """Counts a start."""
        self.starts += 1
        self.starts_afterwards += self.crashes >= MAX_CRASHES


class Simulation:
    """Simulates a pool of instances, its jobs and its owners.

    Attributes:
        emitted: events that the owners emitted.
        tallies: starts and crashes by task.
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
        """Starts a simulation without jobs.

        Args:
            instances: number of instances in the pool.
            same_id: whether a crashed instance restarts under its id.
            cpu: thousandths of a core of each instance.
            crash_after_s: time from the start of a crashing task to the crash.
        """
        self.now = 1.0
        self.token = 0
        self.emitted: list[object] = []
        self.tallies: dict[jobs.TaskName, Tally] = {}
        self.instances_lost = 0
        self.models: dict[str, leased_instance.LeasedInstance] = {}
        self._same_id = same_id
        self._cpu = cpu
        self._crash_after_s = crash_after_s
        self._boots = 0
        self._crashing_tasks: set[jobs.TaskName] = set()
        self._jobs: dict[str, jobs.Job] = {}
        self._rows: dict[str, dict[str, object]] = {}
        self._recorded_ends: dict[str, tuple[int, int]] = {}
        self._crash_at: dict[str, float] = {}
        self._detect_at: dict[str, float] = {}
        self._restart_at: list[tuple[float, str]] = []
        self._ends_at: dict[tuple[str, jobs.TaskName], float] = {}
        self._unsent_starts: list[term_state.StartOrder] = []
        for _ in range(instances):
            self._boot(f"i-{self._boots + 1}")
        self.scheduler = self._new_owner()

    def submit(
        self, job: jobs.Job, crashing: Collection[tuple[int, int]] = ()
    ) -> None:
        """Submits a job; its tasks (step, index) in ``bad`` crash instances."""
        self._jobs[job.job_id] = job
        self._crashing_tasks.update(
            jobs.TaskName(job.job_id, 0, step, index)
            for step, index in crashing
        )
        self.scheduler.add_job(job, self.now)

    def advance(self, seconds: float) -> None:
        """Advances the simulation by this time."""
        until = self.now + seconds
        while self.now < until:
            self._tick()

    def take_over(self) -> None:
        """Replaces the owner by one that knows only the stored rows."""
        self.scheduler = self._new_owner()

    def state(self, job: jobs.Job) -> jobs.JobState:
        """Returns the state of a job that clients see."""
        entry = self.scheduler.tracker.get(job.job_id)
        assert entry is not None
        return entry.recorded_state

    def tally(self, job: jobs.Job, step: int = 0, index: int = 0) -> Tally:
        """Returns the starts and crashes of a task."""
        return self.tallies[jobs.TaskName(job.job_id, 0, step, index)]

    def crashes_instances(self, task: jobs.TaskName) -> bool:
        """Whether a task crashes its instances."""
        return task in self._crashing_tasks

    def crash_rack(self, rack: str) -> None:
        """Crashes all instances of a rack."""
        for name, model in list(self.models.items()):
            if model.up and model.registration.rack == rack:
                self.crash(name)

    def crash(self, name: str) -> None:
        """Crashes an instance with all its runs."""
        model = self.models[name]
        for task in model.running:
            self.tallies[task].crashes += 1
        model.crash()
        self.instances_lost += 1
        self._crash_at.pop(name, None)
        self._detect_at[name] = self.now + DETECTION_S
        self._restart_at.append((self.now + RESTART_S, name))

    def _boot(self, name: str) -> None:
        self._boots += 1
        registration = dataclasses.replace(
            fleet_builders.registration(
                name, rack=f"r{self._boots % 3}", cpu=self._cpu
            ),
            born_ms=self._boots,
        )
        self.models[name] = leased_instance.LeasedInstance(registration)

    def _tick(self) -> None:
        self.now = round(self.now + TICK_S, 3)
        self._advance_instances()
        self._report_to_owner()
        self._plan()

    def _advance_instances(self) -> None:
        for name, at in list(self._crash_at.items()):
            if self.now >= at:
                self.crash(name)
        for (name, task), at in list(self._ends_at.items()):
            if self.now >= at:
                del self._ends_at[name, task]
                if self.models[name].up and task in self.models[name].running:
                    self.models[name].end(task, fleet.RunOutcome.DONE)
        for at, name in list(self._restart_at):
            if self.now >= at:
                self._restart_at.remove((at, name))
                again = name if self._same_id else f"i-{self._boots + 1}"
                self._boot(again)
                self.scheduler.handle_registration(
                    self.models[again].registration, self.now
                )
        for model in self.models.values():
            if model.up:
                model.advance(TICK_S * 1000)

    def _new_owner(self) -> schedulers.Scheduler:
        self.token += 1
        self._unsent_starts.clear()
        scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
            self.emitted.append,
        )
        scheduler.apply_config(fleet_builders.config())
        for model in self.models.values():
            if model.up:
                scheduler.handle_registration(model.registration, self.now)
        for job in self._jobs.values():
            row = self._rows.get(job.job_id)
            if row is None:
                scheduler.add_job(job, self.now)
            else:
                scheduler.restore(job, row, 1, self.now)
        scheduler.recover_runs(
            self.now, lease_times.inherited_lease_expiry(self.now)
        )
        self._recorded_ends.clear()
        return scheduler

    def _report_to_owner(self) -> None:
        for name in list(self.scheduler.instances):
            model = self.models.get(name)
            if model is not None and model.up:
                self._poll_instance(name, model)
            else:
                self.scheduler.handle_unanswered_call(name, self.now)
        for name, at in list(self._detect_at.items()):
            if self.now >= at:
                del self._detect_at[name]
                if not self._same_id:
                    self.scheduler.remove_instance(
                        name, self.now, "no machine runs it"
                    )
        for name in list(self.scheduler.instances):
            if name not in self.models:
                self.scheduler.remove_instance(
                    name, self.now, "no machine runs it"
                )

    def _poll_instance(
        self, name: str, model: leased_instance.LeasedInstance
    ) -> None:
        known = self.scheduler.instances[name]
        deadline = None
        if known.has_reported:
            deadline = int(
                known.estimated_clock_ms(self.now)
                + lease_times.RUN_LEASE_S * 1000
            )
        incarnation, seen = self._recorded_ends.get(name, (0, 0))
        outcome = model.renew_lease(
            self.token,
            seen if incarnation == known.incarnation else 0,
            deadline,
        )
        if isinstance(outcome, fleet.StatusReport):
            self.scheduler.handle_status_report(
                name, outcome, self.now, self.now
            )

    def _plan(self) -> None:
        scheduler = self.scheduler
        scheduler.release_expired_leases(self.now)
        scheduler.resend_stops(self.now)
        scheduler.plan(self.now, fleet_builders.WALL_MS + self.now * 1000)
        for stop in scheduler.take_stops():
            model = self.models.get(stop.instance)
            if model is not None and model.up:
                model.stop(stop.task, stop.run, self.token)
                key = (stop.task, stop.run)
                scheduler.handle_stop_accepted(stop.instance, key, self.now)
        batch = scheduler.take_batch(1000)
        for entry in batch.entries:
            self._rows[entry.job.job_id] = entry.to_document()
            entry.recorded_state = entry.state
        for name, number in batch.recorded_ends.items():
            self._recorded_ends[name] = batch.incarnations[name], number
        for order in batch.starts:
            self._start(order)

    def _start(self, order: term_state.StartOrder) -> None:
        model = self.models.get(order.instance)
        if not self.scheduler.may_send_start(order) or model is None:
            return
        if not model.up:
            self.scheduler.handle_unanswered_call(order.instance, self.now)
            return
        job = self._jobs[order.task.job_id]
        step = job.steps[order.task.step]
        known = self.scheduler.instances[order.instance]
        deadline = int(
            known.estimated_clock_ms(self.now) + lease_times.RUN_LEASE_S * 1000
        )
        start = fleet.StartRequest(
            order.task, order.run, "", "", self.token, deadline
        )
        outcome = model.start(start, open_steps.task_demand(step))
        assert isinstance(outcome, fleet.Accepted), outcome
        self.scheduler.handle_start_accepted(
            order.instance,
            (order.task, order.run),
            outcome.clock_ms,
            self.now,
        )
        self.tallies.setdefault(order.task, Tally()).start()
        if order.task in self._crashing_tasks:
            self._crash_at.setdefault(
                order.instance, self.now + self._crash_after_s
            )
        elif step.long_running:
            model.running[order.task].percent = 100.0
        else:
            self._ends_at[order.instance, order.task] = (
                self.now + TASK_DURATION_S
            )


@dataclasses.dataclass(frozen=True)
class Faults:
    """Faults of a random simulation.

    Attributes:
        crashing_share: share of the jobs with a task that crashes instances.
        entire_steps: whether all tasks of such a step crash instances.
        owner_change_rate: probability of a change of owner in each tick.
        rack_loss_rate: probability in each tick that a rack crashes, which is
            a third of the pool.
    """

    crashing_share: float = 0.05
    entire_steps: bool = False
    owner_change_rate: float = 0.0
    rack_loss_rate: float = 0.0


@dataclasses.dataclass
class Scenario:
    """A simulation with random jobs and faults.

    Attributes:
        simulation: the simulated pool.
        healthy: jobs whose tasks crash no instance.
        crashing: jobs with a task that crashes instances.
    """

    simulation: Simulation
    healthy: list[jobs.Job] = dataclasses.field(default_factory=list)
    crashing: list[jobs.Job] = dataclasses.field(default_factory=list)

    @property
    def wrongly_failed(self) -> list[jobs.Job]:
        """Healthy jobs that are shown as failed."""
        return [
            job
            for job in self.healthy
            if self.simulation.state(job) is jobs.JobState.FAILED
        ]

    @property
    def most_starts_afterwards(self) -> int:
        """Most starts of a crashing task after its third crash."""
        return max(
            (
                tally.starts_afterwards
                for task, tally in self.simulation.tallies.items()
                if self.simulation.crashes_instances(task)
            ),
            default=0,
        )


DURATION_S = 25.0
QUIET_END_S = 8.0
"""No jobs are submitted in this last part of a random simulation."""


def simulate_scenario(seed: int, faults: Faults, **fields: Any) -> Scenario:
    """Simulates short jobs beside a long-running one.

    Args:
        seed: seed of all random choices.
        faults: faults to inject.
        fields: arguments of the ``Day``.
    """
    rng = random.Random(seed)
    scenario = Scenario(Simulation(9, cpu=16_000, **fields))
    long_running_step = jobs.Step(
        count=5, cpu=1300, long_running=True, may_miss=1, anti_affinity=1
    )
    scenario.healthy.append(fleet_builders.job(1000, (long_running_step,)))
    scenario.simulation.submit(scenario.healthy[0])
    for tick in range(round(DURATION_S / TICK_S)):
        if tick * TICK_S < DURATION_S - QUIET_END_S and rng.random() < 0.2:
            _submit_random_job(scenario, tick + 1, faults, rng)
        if rng.random() < faults.owner_change_rate:
            scenario.simulation.take_over()
        if rng.random() < faults.rack_loss_rate:
            scenario.simulation.crash_rack(f"r{rng.randrange(3)}")
        scenario.simulation.advance(TICK_S)
    return scenario


def _submit_random_job(
    scenario: Scenario, number: int, faults: Faults, rng: random.Random
) -> None:
    count = rng.randint(1, 12)
    cpu = rng.choice((600, 1100, 2500))
    step = jobs.Step(count=count, cpu=cpu, estimate_ms=600)
    job = fleet_builders.job(number, (step,))
    indices = [rng.randrange(count)]
    if faults.entire_steps:
        indices = list(range(count))
    if rng.random() < faults.crashing_share:
        scenario.crashing.append(job)
        scenario.simulation.submit(job, [(0, index) for index in indices])
    else:
        scenario.healthy.append(job)
        scenario.simulation.submit(job)
