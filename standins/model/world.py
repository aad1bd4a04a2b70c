"""One day in virtual time: the real decisions against modelled machines.

Each tick of 20 ms lets tasks end, jobs come, machines arrive and faults begin
and end, and then has the owner's decisions plan as the owner's tasks would:
starts follow a write of the store, ends are heard of as they are listed, moves
are decided ten times a second. No sockets, no real time; a seed fixes it all.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import time

import gevent
import gevent.event

from standins import leased_instance
from standins.model import day as days_lib
from standins.model import machines as modelled
from standins.model import outside
from standins.model import scenario as scenarios
from standins.model import workload
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import machine_controller
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import registry
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.02
"""Time between two plans; about what a transaction and a start take."""

TAIL_S = 30.0
"""Longest time after the last hand-in until the day is over."""

SAMPLE_S = 0.25
"""Time between two points of the series."""

CRASH_DOWN_S = 3.0
"""Time for which an instance is down that a task has crashed."""

DOUBT_S = 1.0
SILENT_S = 2.0
"""When a call to an instance that went dark has found no answer, and a second
one as well (see ``instance_client``)."""

PLAN_EVERY_S = 0.1
"""Time between two plans while nothing happens, as the owner's tick."""

MACHINE_STEP_S = 0.1
HOLD_EVERY_S = 0.5
TRY_AGAIN_S = 1.0
PATIENCE_S = 3.0
"""Clients that are refused come back after a second, for three seconds."""

Act = Callable[["World", scenarios.Fault], Callable[[], None]]
"""Begins a fault and returns what ends it."""

FAULTS: registry.Registry[Act] = registry.Registry("fault of the model")


class World:
    """Plays one day of one policy."""

    def __init__(
        self,
        scenario: scenarios.Scenario,
        policy: scenarios.Policy,
        size: float,
        seed: int,
    ):
        self.scenario = scenario
        self.clock = outside.Clock()
        self.machines = modelled.Machines(scenario, size)
        self.store_away = False
        self.owner_lost = False
        self.waves: list[fleet.WaveOrder] = []
        self._crashing: tuple[float, bool] = (0.0, False)
        self._whole: dict[str, bool] = {}
        self._random = random.Random(seed)
        self.day = days_lib.Day(
            workload.day(scenario, size, seed), scenario.seconds
        )
        self._policy = policy
        self._board = outside.WaveStore(self.clock, self.waves)
        self._made = {made.job.job_id: made for made in self.day.made}
        self._unstarted = set(self._made)
        self._coming = list(reversed(self.day.made))
        self._taken: dict[str, jobs.Job] = {}
        self._rows: dict[str, dict[str, object]] = {}
        self._again: list[tuple[float, int, workload.Made]] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._noted: dict[str, int] = {}
        self._spans: dict[instance_state.RunKey, tuple[float, float]] = {}
        self._token = 0
        self._sampled_at = -SAMPLE_S
        self._stepped_at = 0.0
        self._listed_at = 0.0
        self._held_at = 0.0
        self._planned_at = 0.0
        self._scheduler, self._tasks = self._new_owner()
        for fault in scenario.fault:
            self._at(fault.at, self._begin, fault)
        for number, wave in enumerate(scenario.wave, 1):
            self._at(wave.at, self._order_wave, number, wave)

    def _new_owner(
        self,
    ) -> tuple[schedulers.Scheduler, machine_controller.MachineController]:
        self._token += 1
        scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(self._policy.order), lambda _: None
        )
        scheduler.apply_config(self._config())
        tasks = machine_controller.MachineController(
            scheduler,
            self.machines,
            self._board,
            outside.Recorder(self._token, lambda: not self.store_away),  # type: ignore[arg-type]
            outside.settings(self.scenario),
            self.clock,
            gevent.event.Event(),
            lambda _: None,
            self._policy.capacity,
        )
        return scheduler, tasks

    def _config(self) -> fleet.FleetConfig:
        queues = tuple(
            fleet.Queue(
                queue.name,
                "",
                "/",
                queue.name,
                priority=queue.priority,
                stretch=queue.stretch,
                target_duration_ms=queue.target_ms,
                max_attempts=4,
            )
            for queue in self.scenario.queue
        )
        names = [queue.name for queue in queues]
        pools = {name: fleet.Pool(name, False, False) for name in names}
        pools[modelled.STANDBY] = fleet.Pool(modelled.STANDBY, False, True)
        return fleet.FleetConfig(1, queues, pools, 0)

    def _at(self, at: float, act: Callable[..., None], *args: object) -> None:
        heapq.heappush(
            self._events, (at, next(self._order), lambda: act(*args))
        )

    def play(self) -> days_lib.Day:
        """Plays the day to its end."""
        end = self.scenario.seconds + TAIL_S
        while self.clock.now < end and not self._over():
            self._tick()
        self.day.machine_seconds = self.machines.seconds
        self.day.moves = self.machines.moves
        self.day.late_waves = self._late_waves()
        return self.day

    def _over(self) -> bool:
        """Whether all short jobs have ended and no more will come."""
        short = [made for made in self.day.made if made.durations]
        ended = len(self.day.ended) + len(self.day.given_up)
        return self.clock.now >= self.scenario.seconds and ended == len(short)

    def _late_waves(self) -> int:
        late = 0
        for number, wave in enumerate(self.scenario.wave, 1):
            done_at = self._board.completed_at.get(f"wave-{number}")
            if done_at is None or done_at > wave.at + wave.for_s:
                late += 1
        return late

    def _tick(self) -> None:
        self.clock.now += TICK_S
        now = self.clock.now
        while self._events and self._events[0][0] <= now:
            heapq.heappop(self._events)[2]()
        for machine in self.machines.advance(now):
            assert machine.instance is not None
            self._at(now + self.scenario.seen_s, self._see, machine.instance)
        self._hand_in(now)
        if not self.owner_lost:
            began = time.process_time()
            self._decide(now)
            self.day.decisions_s += time.process_time() - began
        if now - self._sampled_at >= SAMPLE_S:
            self._sampled_at = now
            self._sample(now)

    # Clients.

    def _hand_in(self, now: float) -> None:
        while self._coming and self._coming[-1].at <= now:
            self._try(self._coming.pop(), now)
        while self._again and self._again[0][0] <= now:
            self._try(heapq.heappop(self._again)[2], now)

    def _try(self, made: workload.Made, now: float) -> None:
        if not self.store_away:
            self._taken[made.job.job_id] = made.job
            share, whole = self._crashing
            if made.durations and self._random.random() < share:
                self.day.bad.add(made.job.job_id)
                self._whole[made.job.job_id] = whole
            if not self.owner_lost:
                self._scheduler.add_job(made.job, now, self._age_s(made.job))
        elif now + TRY_AGAIN_S <= made.at + PATIENCE_S:
            again = (now + TRY_AGAIN_S, next(self._order), made)
            heapq.heappush(self._again, again)

    def _age_s(self, job: jobs.Job) -> float:
        return self.clock.now - job.submitted_ms / 1000

    # The owner.

    def _decide(self, now: float) -> None:
        scheduler = self._scheduler
        if now - self._held_at >= HOLD_EVERY_S:
            self._held_at = now
            for machine in self.machines.machines.values():
                if machine.instance is not None and not machine.down:
                    self._hold(machine.instance)
        if scheduler.needs_plan or now - self._planned_at >= PLAN_EVERY_S:
            self._planned_at = now
            scheduler.release_expired_leases(now)
            scheduler.resend_stops(now)
            scheduler.stop_stalled_runs(now)
            scheduler.plan(now, now * 1000)
        for stop in scheduler.take_stops():
            self._stop(stop)
        if not self.store_away:
            self._record(now)
        if now - self._listed_at >= machine_controller.LIST_INTERVAL_S:
            self._listed_at = now
            self._tasks.reconcile()
        if now - self._stepped_at >= MACHINE_STEP_S:
            self._stepped_at = now
            self._tasks.mover.step()
            # Orders go out in tasks of their own.
            gevent.sleep(0)
            gevent.sleep(0)

    def _record(self, now: float) -> None:
        batch = self._scheduler.take_batch(len(self._taken) + 1)
        for entry in batch.entries:
            self._rows[entry.job.job_id] = entry.to_document(now * 1000)
            entry.recorded_state = entry.state
            if entry.ended is jobs.JobState.COMPLETED:
                self.day.ended.setdefault(entry.job.job_id, now)
            elif entry.ended is jobs.JobState.FAILED:
                self.day.given_up.add(entry.job.job_id)
        for name, number in batch.recorded_ends.items():
            known = self._scheduler.instances.get(name)
            if (
                known is not None
                and known.incarnation == batch.incarnations[name]
            ):
                self._noted[name] = number
        for start in batch.starts:
            self._start(start, now)

    def _start(self, order: term_state.StartOrder, now: float) -> None:
        instance = self._instance(order.instance)
        machine = self._machine_of(order.instance)
        if instance is None or machine is None or machine.down:
            self._at(now + DOUBT_S, self._unanswered, order, now)
            return
        if not self._scheduler.may_send_start(order):
            return
        made = self._made[order.task.job_id]
        step = made.job.steps[order.task.step]
        known = self._scheduler.instances[order.instance]
        deadline = (
            known.estimated_clock_ms(now) + lease_times.RUN_LEASE_S * 1000
        )
        known.lease_expires_at = max(
            known.lease_expires_at, lease_times.lease_expiry(now)
        )
        start = fleet.StartRequest(
            order.task, order.run, "", "", self._token, int(deadline)
        )
        outcome = instance.start(start, open_steps.task_demand(step))
        if not isinstance(outcome, fleet.Accepted):
            raise AssertionError(f"a start was refused: {outcome}")
        self._scheduler.handle_start_accepted(
            order.instance, (order.task, order.run)
        )
        self._note_start(made, now)
        if not step.long_running:
            self._run(instance, machine, order, made, now)
        else:
            instance.running[order.task].percent = 100.0
        if self._is_bad(order.task):
            self._at(now, self._crash, machine, instance)

    def _is_bad(self, task: jobs.TaskName) -> bool:
        """Whether a task crashes the instance that starts it."""
        whole = self._whole.get(task.job_id)
        if whole is None or task.step:
            return False
        return whole or task.index == 0

    def _crash(
        self,
        machine: modelled.Machine,
        instance: leased_instance.LeasedInstance,
    ) -> None:
        """Crashes an instance; its machine is down for a while."""
        if machine.instance is not instance:
            return
        self.day.instances_lost += 1
        self.day.runs_lost += sum(
            task.job_id not in self.day.bad for task in instance.running
        )
        machine.down = True
        self.machines.end_instance(machine, None)
        self.unheard(instance.registration.instance, self.clock.now)
        self._at(self.clock.now + CRASH_DOWN_S, self._come_back, machine)

    def _come_back(self, machine: modelled.Machine) -> None:
        machine.down = False
        machine.back_at = self.clock.now

    def _note_start(self, made: workload.Made, now: float) -> None:
        if made.durations and made.job.job_id in self._unstarted:
            self._unstarted.discard(made.job.job_id)
            took_ms = max(1, round((now - made.at) * 1000))
            self.day.starts.record_value(
                min(took_ms, days_lib.LONGEST_START_MS)
            )

    def _run(
        self,
        instance: leased_instance.LeasedInstance,
        machine: modelled.Machine,
        order: term_state.StartOrder,
        made: workload.Made,
        now: float,
    ) -> None:
        seconds = made.durations[order.task.step] * machine.slow
        how = (
            fleet.RunOutcome.FAILED
            if machine.failing
            else fleet.RunOutcome.DONE
        )
        if machine.failing:
            seconds = 0.1
        cpu = made.job.steps[order.task.step].cpu / 1000

        def end() -> None:
            run = instance.running.get(order.task)
            if not instance.up or run is None or run.run != order.run:
                self.day.thrown_away += cpu * (self.clock.now - now)
                return
            if how is fleet.RunOutcome.FAILED:
                self.day.thrown_away += cpu * seconds
            instance.end(order.task, how)
            if not machine.down:
                self._hold(instance)

        self._spans[order.task, order.run] = (now, seconds)
        self._at(now + seconds, end)

    def _unanswered(self, order: term_state.StartOrder, began: float) -> None:
        self._scheduler.handle_unanswered_call(order.instance, began)
        key = (order.task, order.run)
        self._scheduler.handle_start_unanswered(
            order.instance, key, True, began + 2.0
        )

    def _stop(self, order: term_state.StopOrder) -> None:
        instance = self._instance(order.instance)
        machine = self._machine_of(order.instance)
        if instance is None or machine is None or machine.down:
            return
        instance.stop(order.task, order.run, self._token)
        key = (order.task, order.run)
        self._scheduler.handle_stop_accepted(
            order.instance, key, self.clock.now
        )
        self._hold(instance)

    def _hold(self, instance: leased_instance.LeasedInstance) -> None:
        if self.owner_lost or not instance.up:
            return
        name = instance.registration.instance
        known = self._scheduler.instances.get(name)
        if known is None:
            return
        now = self.clock.now
        deadline = None
        if known.has_reported:
            deadline = int(
                known.estimated_clock_ms(now) + lease_times.RUN_LEASE_S * 1e3
            )
            known.lease_expires_at = max(
                known.lease_expires_at, lease_times.lease_expiry(now)
            )
        self._show_progress(instance, now)
        held = instance.renew_lease(
            self._token, self._noted.get(name, 0), deadline
        )
        if isinstance(held, fleet.StatusReport):
            self._scheduler.handle_status_report(name, held, now, now)

    def _show_progress(
        self, instance: leased_instance.LeasedInstance, now: float
    ) -> None:
        for run in instance.running.values():
            span = self._spans.get((run.task, run.run))
            if span is not None:
                began, seconds = span
                run.percent = min(99.0, 100 * (now - began) / seconds)

    def _see(self, instance: leased_instance.LeasedInstance) -> None:
        if instance.up and not self.owner_lost:
            self._scheduler.handle_registration(
                instance.registration, self.clock.now
            )
            self._hold(instance)

    def _instance(self, name: str) -> leased_instance.LeasedInstance | None:
        machine = self._machine_of(name)
        return machine.instance if machine else None

    def _machine_of(self, name: str) -> modelled.Machine | None:
        for machine in self.machines.machines.values():
            instance = machine.instance
            if instance and instance.registration.instance == name:
                return machine
        return None

    # Faults and waves.

    def _begin(self, fault: scenarios.Fault) -> None:
        end = FAULTS.get(fault.kind)(self, fault)
        self._at(fault.at + fault.for_s, end)

    def hit(self, fault: scenarios.Fault) -> list[modelled.Machine]:
        """Returns the machines that a fault hits: of one rack first."""
        pool = [
            machine
            for machine in self.machines.machines.values()
            if machine.instance is not None
            and fault.queue in ("", machine.pool)
        ]
        pool.sort(key=lambda machine: (machine.rack, machine.name))
        return pool[: fault.count]

    def restart(self, instance: leased_instance.LeasedInstance) -> None:
        """Starts an instance again under its id; it holds nothing of before."""
        registration = instance.registration
        instance.restart((registration.born_ms or 0) + 1)
        self._noted.pop(registration.instance, None)
        self._hold(instance)

    def begin_crashing(
        self, share: float, *, whole: bool
    ) -> Callable[[], None]:
        """Has a share of the jobs that come crash instances."""
        self._crashing = (share, whole)

        def end() -> None:
            self._crashing = (0.0, False)

        return end

    def resize(self, machine: modelled.Machine, smaller: float) -> None:
        """Changes the room of a machine, of which its instance tells."""
        machine.smaller = smaller
        instance = machine.instance
        if instance is not None:
            instance.registration = dataclasses.replace(
                instance.registration, capacity=self.machines.room(machine)
            )
            self._at(self.clock.now + self.scenario.seen_s, self._see, instance)

    def take_over(self) -> None:
        """Has another process own the fleet, from the rows alone."""
        now = self.clock.now
        self.owner_lost = False
        self._scheduler, self._tasks = self._new_owner()
        self._noted = {}
        for machine in self.machines.machines.values():
            if machine.instance is not None:
                self._scheduler.handle_registration(
                    machine.instance.registration, now
                )
        for job_id, job in self._taken.items():
            row = self._rows.get(job_id)
            if row is None:
                self._scheduler.add_job(job, now, self._age_s(job))
            else:
                self._scheduler.restore(job, row, 1, now, self._age_s(job))
        self._scheduler.recover_runs(
            now, lease_times.inherited_lease_expiry(now)
        )
        for machine in self.machines.machines.values():
            if machine.instance is not None and not machine.down:
                self._hold(machine.instance)

    def unheard(self, instance: str, began: float) -> None:
        """Has the owner find that a call to an instance got no answer."""
        self._at(
            began + DOUBT_S,
            lambda: self._scheduler.handle_unanswered_call(
                instance, self.clock.now
            ),
        )
        self._at(
            began + SILENT_S,
            lambda: self._scheduler.mark_unresponsive(instance, self.clock.now),
        )

    def _order_wave(self, number: int, wave: scenarios.Wave) -> None:
        names = sorted(self.machines.machines)
        chosen = names[:: max(1, round(1 / wave.share))]
        self.waves.append(
            fleet.WaveOrder(
                f"wave-{number}",
                number,
                tuple(chosen),
                wave.for_s,
                wave.count,
            )
        )

    # What is seen.

    def _sample(self, now: float) -> None:
        used = sum(
            instance.used.cpu
            for machine in self.machines.machines.values()
            if (instance := machine.instance) is not None
        )
        waiting_cpu = sum(self._scheduler.backlog_cpu.values())
        pooled = sum(
            machine.pool != modelled.STANDBY
            for machine in self.machines.machines.values()
        )
        waiting = sum(
            not entry.was_assigned
            for entry in self._scheduler.tracker.unfinished.values()
        )
        wanted = (used + waiting_cpu) / self.scenario.machine_cpu
        self.day.samples.append(days_lib.Sample(now, wanted, pooled, waiting))
        lasting = sum(
            made.job.steps[0].count
            for made in self.day.made
            if not made.durations
        )
        if lasting and now <= self.scenario.seconds:
            self.day.at_work.append(self._lasting_at_work() / lasting)

    def _lasting_at_work(self) -> int:
        return sum(
            not self._made[task.job_id].durations
            for machine in self.machines.machines.values()
            if machine.instance is not None
            for task in machine.instance.running
        )
