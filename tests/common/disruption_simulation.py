"""Simulates long-running tasks under random faults, in steps of 0.1 s.

Ownership changes hands; instances are partitioned, crash and answer late;
machines are drained and maintained. Each order that ends a task is checked
against the disruption budget and against what the instances really run.
"""

import dataclasses
import random

from standins import leased_instance
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.1
NOTICE_S = 4.5
"""Time after which a task that is not serving counts as unavailable, whatever
the cause. A task that an order ended counts at once."""

WARM_UP_S = 0.7
FIRST_TIMEOUT_S = 1.8
RETRY_TIMEOUT_S = 0.5
RENEWAL_INTERVAL_S = 0.5
START_RESEND_S = 0.8
MAINTENANCE_S = 2.0

INSTANCES = 8
STEPS = (
    jobs.Step(count=5, cpu=600, long_running=True, may_miss=2),
    jobs.Step(count=4, cpu=500, long_running=True, may_miss=1, anti_affinity=1),
    jobs.Step(count=5, cpu=400, long_running=True, may_miss=2, anti_affinity=2),
)


@dataclasses.dataclass
class _Call:
    """State of the lease renewals of one instance.

    Attributes:
        next_at: time of the next renewal.
        times_out_at: timeout of the unanswered renewal in flight; None if
            there is none.
        began_at: time at which that renewal was sent.
        failures: consecutive unanswered renewals.
    """

    next_at: float = 0.0
    times_out_at: float | None = None
    began_at: float = 0.0
    failures: int = 0


@dataclasses.dataclass
class _PendingStart:
    """A start that is sent again until its outcome is known."""

    order: term_state.StartOrder
    first_at: float
    next_at: float
    unanswered: bool = False


class Term:
    """A term of ownership, as assumed by one process.

    Attributes:
        ends_at: time at which the process notices that its term is over.
    """

    def __init__(self, scheduler: schedulers.Scheduler, token: int):
        self.scheduler = scheduler
        self.token = token
        self.calls: dict[str, _Call] = {}
        self.pending_starts: list[_PendingStart] = []
        self.recorded_ends: dict[str, tuple[int, int]] = {}
        self.ends_at = float("inf")


class Simulation:
    """A fleet with long-running tasks, its owners and its faults.

    Attributes:
        violations: a line for each order that ended a task beyond the budget,
            and for each task that ran on several instances.
        emitted: events that the owners logged, with their times.
    """

    def __init__(self, seed: int, restarts_per_s: float = 0.0):
        """Creates a fleet with one owner.

        Args:
            seed: seed of the random faults.
            restarts_per_s: how often an instance crashes and restarts under
                its id.
        """
        self.rng = random.Random(seed)
        self._restart_rng = random.Random(seed)
        self._restart_probability = restarts_per_s * TICK_S
        self._faults_disabled = False
        self.now = 1.0
        self.token = 0
        self.incarnations = 0
        self.violations: list[str] = []
        self.emitted: list[tuple[float, object]] = []
        self.instances: dict[str, leased_instance.LeasedInstance] = {}
        self.jobs: dict[str, jobs.Job] = {}
        self.rows: dict[str, dict[str, object]] = {}
        self.partitioned_until: dict[str, float] = {}
        self.gone_at: dict[str, float] = {}
        self.boot_times: list[float] = []
        self.drained_since: dict[str, float] = {}
        self.began_at: dict[tuple[str, jobs.TaskName, int], float] = {}
        self.not_serving_since: dict[jobs.TaskName, float] = {}
        self.ended_by_order: set[jobs.TaskName] = set()
        self.delayed_starts: list[tuple[float, str, fleet.StartRequest]] = []
        self.terms: list[Term] = []
        for _ in range(INSTANCES):
            self._boot()
        for number, step in enumerate(STEPS, 1):
            job = fleet_builders.job(number, (step,))
            self.jobs[job.job_id] = job
        self._take_over()

    def run(self, seconds: float) -> None:
        """Simulates some seconds."""
        until = self.now + seconds
        while self.now < until:
            self._tick()

    def run_without_faults(self, seconds: float) -> None:
        """Simulates some seconds without new faults.

        Partitions that have begun end at their random times.
        """
        self._faults_disabled = True
        self.run(seconds)

    @property
    def serving(self) -> set[jobs.TaskName]:
        """Tasks that are really serving."""
        return {
            run.task
            for model in self.instances.values()
            if model.up
            for run in model.running.values()
            if run.percent >= disruption_budget.SERVING_PERCENT
        }

    def _tick(self) -> None:
        self.now = round(self.now + TICK_S, 3)
        self._advance_instances()
        self._deliver_delayed_starts()
        if self._faults_disabled:
            self.drained_since.clear()
            self.partitioned_until = {
                n: at
                for n, at in self.partitioned_until.items()
                if at > self.now
            }
        else:
            self._inject_faults()
        for term in list(self.terms):
            self._run_owner(term)
        self.terms = [term for term in self.terms if self.now < term.ends_at]

    # Instances.

    def _boot(self) -> None:
        self.incarnations += 1
        name = f"i-{self.incarnations}"
        self.instances[name] = leased_instance.LeasedInstance(
            dataclasses.replace(
                fleet_builders.registration(
                    name, rack=f"r{self.incarnations % 3}"
                ),
                born_ms=self.incarnations,
            )
        )
        for term in self.terms:
            term.scheduler.handle_registration(
                self.instances[name].registration, self.now
            )

    def _advance_instances(self) -> None:
        for number, model in enumerate(self.instances.values()):
            if model.up:
                model.advance(TICK_S * 1000 * (0.98 if number % 2 else 1.0))
        for name, model in self.instances.items():
            for run in model.running.values():
                began = self.began_at.setdefault(
                    (name, run.task, run.run), self.now
                )
                if self.now - began >= WARM_UP_S:
                    run.percent = disruption_budget.SERVING_PERCENT
        self.ended_by_order -= self.serving
        for job in self.jobs.values():
            for index in range(job.steps[0].count):
                task = jobs.TaskName(job.job_id, 0, 0, index)
                if task in self.serving:
                    self.not_serving_since.pop(task, None)
                else:
                    self.not_serving_since.setdefault(task, self.now)
        while self.boot_times and self.now >= self.boot_times[0]:
            del self.boot_times[0]
            self._boot()

    def _deliver_delayed_starts(self) -> None:
        for item in list(self.delayed_starts):
            at, name, start = item
            if self.now >= at:
                self.delayed_starts.remove(item)
                if self.instances[name].up and self._is_known(name):
                    self._execute_start(name, start)

    def _is_known(self, name: str) -> bool:
        """Whether the newest owner knows an instance's current incarnation.

        If a delayed start arrives earlier, the owner can't know of the run,
        which may last for the longest lease that the instance grants.
        """
        known = self.terms[-1].scheduler.instances.get(name)
        born_ms = self.instances[name].registration.born_ms
        return known is None or known.incarnations.current_ms == born_ms

    def _execute_start(
        self, name: str, start: fleet.StartRequest
    ) -> fleet.OrderOutcome:
        step = self.jobs[start.task.job_id].steps[0]
        outcome = self.instances[name].start(
            start, open_steps.task_demand(step)
        )
        hosts = [
            other
            for other, model in self.instances.items()
            if model.up and start.task in model.running
        ]
        if len(hosts) > 1:
            self.violations.append(
                f"{self.now} {start.task.path_in_job} of"
                f" {start.task.job_id[-1]} runs on {hosts}"
            )
        return outcome

    # Faults.

    def _inject_faults(self) -> None:
        rng = self.rng
        up = [name for name, model in self.instances.items() if model.up]
        if rng.random() < 0.03:
            for name in rng.sample(up, rng.randint(1, 2)):
                self.partitioned_until[name] = self.now + rng.uniform(1.0, 9.0)
        self.partitioned_until = {
            n: at for n, at in self.partitioned_until.items() if at > self.now
        }
        if rng.random() < 0.01 and len(up) > INSTANCES // 2:
            self._crash(rng.choice(up))
        if rng.random() < 0.02:
            self._fail_task(rng.choice(up))
        if self._restart_rng.random() < self._restart_probability:
            left = [name for name in up if self.instances[name].up]
            self._restart(self._restart_rng.choice(left))
        if rng.random() < 0.015:
            self._take_over()
        if rng.random() < 0.05:
            self.drained_since[rng.choice(up)] = self.now
        self.drained_since = {
            name: at
            for name, at in self.drained_since.items()
            if self.now - at < 6.0 and self.instances[name].up
        }

    def _crash(self, name: str) -> None:
        self.instances[name].crash()
        self.gone_at[name] = self.now + self.rng.uniform(0.5, 2.0)
        self.boot_times.append(self.now + MAINTENANCE_S)

    def _restart(self, name: str) -> None:
        """Restarts an instance under its id; the calls to it fail."""
        self.incarnations += 1
        self.instances[name].restart(self.incarnations)
        self.delayed_starts = [
            item for item in self.delayed_starts if item[1] != name
        ]
        self.began_at = {
            key: at for key, at in self.began_at.items() if key[0] != name
        }
        for term in self.terms:
            call = term.calls.setdefault(name, _Call())
            call.times_out_at = None
            call.next_at = self.now + self._restart_rng.uniform(0.1, 0.6)
            call.failures += 1

    def _fail_task(self, name: str) -> None:
        model = self.instances[name]
        for task in sorted(model.running)[:1]:
            model.end(task, fleet.RunOutcome.FAILED)

    # Owners.

    def _take_over(self) -> None:
        self.token += 1
        scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
            lambda event: self.emitted.append((self.now, event)),
        )
        scheduler.apply_config(fleet_builders.config())
        for model in self.instances.values():
            if model.up:
                scheduler.handle_registration(model.registration, self.now)
        for job in self.jobs.values():
            row = self.rows.get(job.job_id)
            if row is None:
                scheduler.add_job(job, self.now)
            else:
                scheduler.restore(job, row, 1, self.now)
        scheduler.recover_runs(
            self.now, lease_times.inherited_lease_expiry(self.now)
        )
        for term in self.terms:
            # The former owner does not know yet that it lost ownership.
            term.ends_at = min(
                term.ends_at, self.now + self.rng.uniform(0.0, 1.2)
            )
        self.terms.append(Term(scheduler, self.token))

    def _run_owner(self, term: Term) -> None:
        scheduler = term.scheduler
        for name in list(scheduler.instances):
            self._renew_lease(term, name)
        for name, at in self.gone_at.items():
            if self.now >= at:
                scheduler.remove_instance(name, self.now, "no machine runs it")
        scheduler.release_expired_leases(self.now)
        scheduler.resend_stops(self.now)
        self._operate_machines(term)
        scheduler.plan(self.now, fleet_builders.WALL_MS + self.now * 1000)
        self._send_stops(term)
        if term is self.terms[-1]:
            self._write_batch(term)
        self._send_starts(term)

    def _write_batch(self, term: Term) -> None:
        batch = term.scheduler.take_batch(100)
        for entry in batch.entries:
            self.rows[entry.job.job_id] = entry.to_document()
        for name, number in batch.recorded_ends.items():
            term.recorded_ends[name] = (batch.incarnations[name], number)
        term.pending_starts.extend(
            _PendingStart(order, self.now, self.now) for order in batch.starts
        )

    def _renew_lease(self, term: Term, name: str) -> None:
        call = term.calls.setdefault(name, _Call())
        if call.times_out_at is not None:
            if self.now >= call.times_out_at:
                term.scheduler.handle_unanswered_call(name, call.began_at)
                call.failures += 1
                if call.failures >= instance_client.SILENT_AFTER_CALLS:
                    term.scheduler.mark_unresponsive(name, self.now)
                call.times_out_at, call.next_at = None, self.now
            return
        if self.now < call.next_at or not term.scheduler.should_poll(name):
            return
        known = term.scheduler.instances[name]
        # The first call in a partition leaves on the kept connection. Later
        # ones need a new connection, which can't be established.
        is_sent = self._is_reachable(name) or not call.failures
        deadline = None
        if known.has_reported:
            deadline = int(
                known.estimated_clock_ms(self.now)
                + lease_times.RUN_LEASE_S * 1000
            )
            until = lease_times.lease_expiry(self.now)
            known.begin_lease_renewal(until)
            known.end_lease_renewal(until, is_sent)
        if not self._is_reachable(name):
            wait = RETRY_TIMEOUT_S if call.failures else FIRST_TIMEOUT_S
            call.times_out_at, call.began_at = self.now + wait, self.now
            return
        life, seen = term.recorded_ends.get(name, (0, 0))
        if call.failures or known.incarnation != life:
            seen = 0
        call.next_at = self.now + RENEWAL_INTERVAL_S
        call.failures = 0
        outcome = self.instances[name].renew_lease(term.token, seen, deadline)
        if isinstance(outcome, fleet.StatusReport):
            term.scheduler.handle_status_report(
                name, outcome, self.now, self.now
            )
        else:
            term.ends_at = self.now

    def _is_reachable(self, name: str) -> bool:
        return self.instances[name].up and name not in self.partitioned_until

    def _send_stops(self, term: Term) -> None:
        for stop in term.scheduler.take_stops():
            if not self._is_reachable(stop.instance):
                continue
            model = self.instances[stop.instance]
            run = model.running.get(stop.task)
            is_obeyed = term.token >= model.token
            if is_obeyed and run is not None and run.run == stop.run:
                self._check_budget(stop.task, stop.instance, "stopped")
            outcome = model.stop(stop.task, stop.run, term.token)
            if isinstance(outcome, fleet.Accepted):
                key = (stop.task, stop.run)
                term.scheduler.handle_stop_accepted(
                    stop.instance, key, self.now
                )

    def _send_starts(self, term: Term) -> None:
        for pending in list(term.pending_starts):
            if self.now >= pending.next_at and self._send_start(term, pending):
                term.pending_starts.remove(pending)

    def _send_start(self, term: Term, pending: _PendingStart) -> bool:
        """Sends a start; returns whether it need not be sent again."""
        order = pending.order
        if not term.scheduler.may_send_start(order):
            return True
        known = term.scheduler.instances[order.instance]
        deadline = int(
            known.estimated_clock_ms(self.now) + lease_times.RUN_LEASE_S * 1000
        )
        roll = self.rng.random()
        until = lease_times.lease_expiry(self.now)
        known.begin_lease_renewal(until)
        known.end_lease_renewal(
            until, roll < 0.1 or self._is_reachable(order.instance)
        )
        start = fleet.StartRequest(
            order.task, order.run, "", "", term.token, deadline
        )
        key = (order.task, order.run)
        if roll < 0.1 or not self._is_reachable(order.instance):
            pending.unanswered = pending.unanswered or roll < 0.1
            if roll < 0.1:
                at = self.now + self.rng.uniform(0.0, 4.0)
                self.delayed_starts.append((at, order.instance, start))
            pending.next_at = self.now + START_RESEND_S
            return not term.scheduler.handle_start_unanswered(
                order.instance,
                key,
                pending.unanswered,
                self.now,
                pending.first_at,
            )
        outcome: fleet.OrderOutcome = fleet.Refused(
            fleet.RefusalReason.UNHEALTHY
        )
        if roll > 0.15:
            outcome = self._execute_start(order.instance, start)
        if isinstance(outcome, fleet.Accepted):
            term.scheduler.handle_start_accepted(
                order.instance, key, outcome.clock_ms, self.now
            )
        elif isinstance(outcome, fleet.Refused) and not fleet.is_fenced(
            outcome
        ):
            pending.next_at = self.now + START_RESEND_S
            return not term.scheduler.handle_start_refused(
                order.instance,
                key,
                outcome.reason,
                not pending.unanswered,
                self.now,
            )
        return True

    def _operate_machines(self, term: Term) -> None:
        """Drains and maintains random machines."""
        for name, instance in term.scheduler.instances.items():
            instance.is_cordoned = name in self.drained_since
        evacuation.evacuate_instances(term.scheduler, self.now)
        for name, since in list(self.drained_since.items()):
            instance = term.scheduler.instances.get(name)
            model = self.instances[name]
            if instance is None or not model.up or self.now - since < 2.5:
                continue
            if not evacuation.allows_disruption_of_all(
                term.scheduler, instance, self.now
            ):
                continue
            for task in sorted(model.running):
                self._check_budget(task, name, "ended by maintenance")
            instance.machine_orders.add("maintenance")
            self._crash(name)

    # Invariants.

    def _check_budget(self, task: jobs.TaskName, name: str, how: str) -> None:
        """Records a violation if ending a task exceeds its step's budget."""
        if task not in self.serving:
            return
        step = self.jobs[task.job_id].steps[0]
        unavailable = [
            index
            for index in range(step.count)
            if index != task.index
            and self._is_unavailable(jobs.TaskName(task.job_id, 0, 0, index))
        ]
        if len(unavailable) >= step.may_miss:
            why = [
                (event.why, event.away, event.unheard_ms)
                for _, event in self.emitted
                if isinstance(event, events.RunStopped)
                and (event.job, event.task) == (task.job_id, task.path_in_job)
            ]
            self.violations.append(
                f"{self.now} {task.path_in_job} of {task.job_id[-1]}"
                f" on {name} {how}, {unavailable} are unavailable,"
                f" logged {why[-1:]}"
            )
        self.ended_by_order.add(task)

    def _is_unavailable(self, task: jobs.TaskName) -> bool:
        since = self.not_serving_since.get(task, self.now)
        return task in self.ended_by_order or self.now - since >= NOTICE_S
