"""Simulates an owner that is slower than its fleet, in virtual time.

The decisions are those of the real scheduler. Around them stand an owner that
plans, writes and sends at limited rates, and instances that run every task for
its true duration and report its end. Nothing fails and nothing is random, so a
run depends on the submitted jobs and the speeds only.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TICK_S = 0.01
INSTANCE_CPU = 16_000


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSpeed:
    """How fast the owner and its calls are.

    Attributes:
        plan_interval_s: time between two plans.
        write_s: duration of a write; there is one at a time.
        starts_per_s: how many starts it can send, over all instances.
        report_s: time from the end of a run until its instance reports it.
    """

    plan_interval_s: float = 0.1
    write_s: float = 0.1
    starts_per_s: float = 1e6
    report_s: float = 0.02


@dataclasses.dataclass(slots=True)
class JobRecord:
    """What a job's client could see, and what the owner decided.

    Attributes:
        started: number of its tasks that have started.
        ended_at: when its last task ended; None before.
        longest_idle_s: longest time with a waiting task and no running one.
        longest_breach_s: longest part of such a time in which its pool had
            capacity for two of its tasks and was used to less than half.
    """

    job: jobs.Job
    duration_s: float
    submitted_at: float
    started: int = 0
    running: int = 0
    ended_at: float | None = None
    idle_s: float = 0.0
    longest_idle_s: float = 0.0
    breach_s: float = 0.0
    longest_breach_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Machine:
    """An instance as it is, beside the owner's record of it."""

    known: instance_state.Instance
    used_cpu: int = 0
    end_count: int = 0
    acknowledged_end: int = 0
    reported_at: float = 0.0
    unreported: list[fleet.RunEnd] = dataclasses.field(default_factory=list)


class Simulation:
    """One owner, the instances of some pools and the jobs submitted to them.

    Attributes:
        now: virtual seconds since the beginning.
        records: the submitted jobs by id.
        booked: reserved share of a pool's capacity, averaged over a second, by
            pool and second.
        used: share that really running tasks use, in the same way.
    """

    def __init__(
        self,
        speed: OwnerSpeed,
        instances: Mapping[str, int],
        order: str = queue_order.DEFAULT_ORDER,
    ):
        self.now = 0.0
        self.records: dict[str, JobRecord] = {}
        self.booked: dict[tuple[str, int], float] = {}
        self.used: dict[tuple[str, int], float] = {}
        self._speed = speed
        self._events: list[tuple[float, int, Callable[[], object]]] = []
        self._event_count = 0
        self._scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(order), lambda _: None
        )
        self._scheduler.apply_config(_config(instances))
        self._machines: dict[str, _Machine] = {}
        self._pools = {
            pool: [
                self._add_instance(f"{pool}-{number}", pool)
                for number in range(count)
            ]
            for pool, count in instances.items()
        }
        self._is_writing = False
        self._outbox = collections.deque[term_state.StartOrder]()
        self._send_credit = 0.0
        self._planned_at = -1.0

    def submit(
        self, at: float, pool: str, count: int, cpu: int, duration_s: float
    ) -> str:
        """Lets a client submit a job of one step; returns its id."""
        number = len(self.records) + 1
        step = jobs.Step(count, cpu=cpu, estimate_ms=round(duration_s * 1000))
        job = fleet_builders.job(number, (step,), queue=pool, service=pool)
        record = JobRecord(job, duration_s, at)
        self.records[job.job_id] = record
        self._at(at, lambda: self._scheduler.add_job(job, self.now))
        return job.job_id

    def run_until(self, until: float) -> None:
        """Advances the virtual time."""
        while self.now < until:
            self.now += TICK_S
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            self._report_ends()
            if self.now - self._planned_at >= self._speed.plan_interval_s:
                self._planned_at = self.now
                wall_ms = fleet_builders.WALL_MS + self.now * 1000
                self._scheduler.plan(self.now, wall_ms)
            self._write()
            self._send()
            self._observe()

    @property
    def unfinished(self) -> list[JobRecord]:
        """The submitted jobs that have not ended, oldest first."""
        return [one for one in self.records.values() if one.ended_at is None]

    def _add_instance(self, name: str, pool: str) -> "_Machine":
        registration = dataclasses.replace(
            fleet_builders.registration(name, cpu=INSTANCE_CPU), service=pool
        )
        self._scheduler.handle_registration(registration, 0.0)
        self._scheduler.handle_status_report(
            name, fleet_builders.status_report(), 0.0, 0.0
        )
        known = self._scheduler.instances[name]
        return self._machines.setdefault(name, _Machine(known))

    def _at(self, at: float, event: Callable[[], object]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, event))

    def _end_run(self, order: term_state.StartOrder) -> None:
        machine = self._machines[order.instance]
        record = self.records[order.task.job_id]
        step = record.job.steps[0]
        machine.used_cpu -= step.cpu
        machine.end_count += 1
        record.running -= 1
        if record.started == step.count and not record.running:
            record.ended_at = self.now
        end = fleet.RunEnd(
            machine.end_count, order.task, order.run, fleet.RunOutcome.DONE, ""
        )
        report_at = self.now + self._speed.report_s
        self._at(report_at, lambda: machine.unreported.append(end))

    def _report_ends(self) -> None:
        """Reports ends, once the ends of the last report are recorded."""
        for name, machine in self._machines.items():
            is_recorded = (
                machine.acknowledged_end >= machine.known.last_end_number
                or self.now - machine.reported_at
                >= instance_client.MAX_RECORD_WAIT_S
            )
            if machine.unreported and is_recorded:
                machine.reported_at = self.now
                ends, machine.unreported = machine.unreported, []
                report = fleet_builders.status_report(tuple(ends))
                self._scheduler.handle_status_report(
                    name, report, self.now, self.now
                )

    def _write(self) -> None:
        if not self._is_writing and self._scheduler.has_rows_to_write:
            self._is_writing = True
            batch = self._scheduler.take_batch(fenced_writer.MAX_ROWS_PER_WRITE)
            written_at = self.now + self._speed.write_s
            self._at(written_at, lambda: self._finish_write(batch))

    def _finish_write(self, batch: term_state.WriteBatch) -> None:
        self._is_writing = False
        self._outbox.extend(batch.starts)
        for name, number in batch.recorded_ends.items():
            self._machines[name].acknowledged_end = number

    def _send(self) -> None:
        self._send_credit += self._speed.starts_per_s * TICK_S
        while self._outbox and self._send_credit >= 1:
            self._send_credit -= 1
            order = self._outbox.popleft()
            if self._scheduler.may_send_start(order):
                self._start(order)
        if not self._outbox:
            self._send_credit = 0.0

    def _start(self, order: term_state.StartOrder) -> None:
        key = order.task, order.run
        self._scheduler.handle_start_accepted(
            order.instance, key, None, self.now
        )
        record = self.records[order.task.job_id]
        record.started += 1
        record.running += 1
        self._machines[order.instance].used_cpu += record.job.steps[0].cpu
        ends_at = self.now + record.duration_s
        self._at(ends_at, lambda: self._end_run(order))

    def _observe(self) -> None:
        used = {}
        for pool, machines in self._pools.items():
            capacity = len(machines) * INSTANCE_CPU
            used[pool] = sum(one.used_cpu for one in machines) / capacity
            booked = sum(one.known.used_cpu for one in machines) / capacity
            second = pool, int(self.now)
            self.booked[second] = self.booked.get(second, 0) + booked * TICK_S
            self.used[second] = self.used.get(second, 0) + used[pool] * TICK_S
        for record in self.records.values():
            if record.ended_at is None and record.submitted_at <= self.now:
                self._observe_job(record, used[record.job.queue])

    def _observe_job(self, record: JobRecord, used: float) -> None:
        step = record.job.steps[0]
        is_idle = not record.running and record.started < step.count
        record.idle_s = record.idle_s + TICK_S if is_idle else 0.0
        record.longest_idle_s = max(record.longest_idle_s, record.idle_s)
        places = sum(
            (INSTANCE_CPU - one.used_cpu) // step.cpu
            for one in self._pools[record.job.queue]
        )
        breaks = is_idle and used < 0.5 and places >= 2
        record.breach_s = record.breach_s + TICK_S if breaks else 0.0
        record.longest_breach_s = max(record.longest_breach_s, record.breach_s)


def _config(pools: Iterable[str]) -> fleet.FleetConfig:
    queue = fleet_builders.config().queues[0]
    queues = [
        dataclasses.replace(queue, name=name, service=name) for name in pools
    ]
    configured = {
        name: fleet.Pool(name, enforces_capacity=False, is_standby=False)
        for name in pools
    }
    return fleet.FleetConfig(1, tuple(queues), configured, 262_144)
