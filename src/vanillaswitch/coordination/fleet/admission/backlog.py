"""Measures the work that waits for each pool, and how fast the pool can do it.

A queue's turn begins with a nearly empty pool, and machines arrive from standby
and from other pools within 2 s. So the rate of a pool counts what it can still
get, without the time that this takes, and what several pools could get counts
for each of them. Too high a rate lets through some jobs that come to nothing;
too low a rate refuses jobs that could have been served.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.admission import admission_control
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import planning
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers

SPEED_WINDOW_S = 2.0
"""Time over which completed work is compared with the processor time that it
took: several tasks of a scan queue (1.7 s each, on many instances)."""

MIN_SPEED_SAMPLE = 10_000_000.0
"""Processor time (thousandths of a core times milliseconds) below which that
comparison says nothing: 10 s of a core are a few tasks."""

MAX_SPEED = 3.0
"""Limit on the measured speed, against one wrong sample. Declared durations
that are off by nine tenths are 1.5 times too long in the mean."""

LIMITED_HORIZON_MS = 5000.0
"""The work of an account with a limit counts at most as what it may run in this
time. An account whose limit was lowered has a long backlog that holds up only
its own jobs. Waits that lead to a refusal are longer, so this is optimistic."""

_WorkKey = tuple[queue_order.Group, int]


@dataclasses.dataclass(frozen=True)
class Machines:
    """Capacity of machines that run no tasks yet, thousandths of a core.

    Attributes:
        arriving_cpu: on machines that move to a pool, by pool.
        standby_cpu: on standby machines.
    """

    arriving_cpu: Mapping[str, int]
    standby_cpu: int


@dataclasses.dataclass
class _PoolUse:
    """What a pool has and what asks for it.

    Attributes:
        cpu: usable by short tasks, thousandths of a core.
        short_cpu: of it, in use.
        in_time_cpu: asked for by open steps that can be in time.
        open_cpu: asked for by all open steps.
        work: work that is not done, by group and priority.
        limited: the same of accounts with a limit, by account.
    """

    cpu: int = 0
    short_cpu: int = 0
    in_time_cpu: int = 0
    open_cpu: int = 0
    work: dict[_WorkKey, float] = dataclasses.field(default_factory=dict)
    limited: dict[str, dict[_WorkKey, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class _Sample:
    """Progress of a pool between two measurements."""

    at: float
    completed: float
    used: float


class BacklogMeter:
    """Measures the backlog of all pools during one owner's term."""

    def __init__(
        self,
        state: term_state.TermState,
        machines: Callable[[], Machines],
        moves_busy_machines: bool,
        emit: Callable[[object], None],
    ):
        """Creates a meter without any measurement.

        Args:
            state: jobs and instances as the owner knows them.
            machines: returns the capacity of machines that run no tasks yet.
            moves_busy_machines: whether machines that are busy with work that
                is late go to pools whose work can be in time.
            emit: receives events.
        """
        self._state = state
        self._machines = machines
        self._moves_busy_machines = moves_busy_machines
        self._emit = emit
        self._left: dict[str, tuple[str, float]] = {}
        self._samples: dict[str, collections.deque[_Sample]] = {}
        self._measured_at: float | None = None
        self._overloaded: set[str] = set()
        self.pools: tuple[peers.PoolBacklog, ...] = ()
        self.accounts: tuple[str, ...] = ()

    @property
    def measured_at(self) -> float | None:
        """Monotonic seconds of the last measurement; None before it."""
        return self._measured_at

    def measure(
        self,
        now: float,
        wall_ms: float,
        pause: planning.Pause = planning.no_pause,
    ) -> None:
        """Measures ``pools`` and ``accounts`` anew.

        Args:
            now: monotonic seconds.
            wall_ms: time of day in milliseconds since 1970.
            pause: called between two jobs; see ``Planning.plan``.
        """
        uses = self._measure_instances()
        plan_time = queue_order.PlanTime(now, wall_ms)
        left = self._measure_jobs(uses, plan_time, pause)
        self._record_progress(uses, left, now)
        found = []
        machines = self._machines()
        for name, use in uses.items():
            rate = self._obtainable_cpu(name, uses, machines)
            rate *= max(1.0, self._speed(name))
            backlog = self._backlog(name, use, rate)
            total = sum(item.work for item in backlog.groups)
            wait_ms = total / rate if rate > 0 else 0.0
            is_overloaded = wait_ms >= admission_control.MIN_WAIT_MS
            self._report_change(name, is_overloaded, wait_ms, rate)
            if is_overloaded:
                found.append(backlog)
        self.pools = tuple(found)
        self.accounts = self._state.accounts_with_used_up_share(now)

    def _measure_instances(self) -> dict[str, _PoolUse]:
        uses = {
            pool.name: _PoolUse()
            for pool in self._state.pools.values()
            if not pool.is_standby
        }
        for instance in self._state.instances.values():
            use = uses.get(instance.registration.service)
            if use is not None:
                use.short_cpu += instance.used_cpu - instance.long_running_cpu
                if _is_usable(instance):
                    use.cpu += max(
                        0, instance.capacity.cpu - instance.long_running_cpu
                    )
        return uses

    def _measure_jobs(
        self,
        uses: Mapping[str, _PoolUse],
        plan_time: queue_order.PlanTime,
        pause: planning.Pause,
    ) -> dict[str, tuple[str, float]]:
        """Adds the work of the unfinished jobs; returns it by job."""
        left: dict[str, tuple[str, float]] = {}
        for entry in list(self._state.tracker.unfinished.values()):
            pause()
            pool = self._state.pool_name_of(entry)
            use = uses.get(pool)
            if use is None or entry.job.repeat_count:
                continue
            steps = entry.open_due_steps(plan_time.wall_ms)
            first = next(iter(steps), None)
            if first is None or any(
                step.long_running or step.fills for step in entry.job.steps
            ):
                continue
            queue = self._state.queue_of(entry)
            group = queue_order.classify(first, queue, plan_time)
            priority = queue.priority if queue else 0
            work, open_cpu = _undone(entry)
            left[entry.job.job_id] = (pool, work)
            use.open_cpu += open_cpu
            if group is queue_order.Group.IN_TIME:
                use.in_time_cpu += open_cpu
            account = entry.job.account
            works = use.work
            if self._state.account_limit(account).cpu:
                works = use.limited.setdefault(account, {})
            key = (group, priority)
            works[key] = works.get(key, 0.0) + work
        return left

    def _record_progress(
        self,
        uses: Mapping[str, _PoolUse],
        left: dict[str, tuple[str, float]],
        now: float,
    ) -> None:
        """Records the work done since the last measurement."""
        last_at, self._measured_at = self._measured_at, now
        before, self._left = self._left, left
        if last_at is None or now - last_at > SPEED_WINDOW_S:
            self._samples.clear()
            return
        completed: dict[str, float] = {}
        for job_id, (pool, work) in before.items():
            rest = left.get(job_id)
            entry = self._state.tracker.get(job_id)
            if rest is not None:
                done = work - rest[1]
            elif entry and entry.ended is jobs.JobState.COMPLETED:
                done = work
            else:
                done = 0.0
            completed[pool] = completed.get(pool, 0.0) + max(0.0, done)
        for name, use in uses.items():
            samples = self._samples.setdefault(name, collections.deque())
            used = use.short_cpu * (now - last_at) * 1000
            samples.append(_Sample(now, completed.get(name, 0.0), used))
            while samples[0].at < now - SPEED_WINDOW_S:
                samples.popleft()

    def _speed(self, pool: str) -> float:
        """Returns work completed per processor time; 1 if unknown.

        It is above 1 if declared durations are too long in the mean.
        """
        samples = self._samples.get(pool, ())
        used = sum(sample.used for sample in samples)
        if used < MIN_SPEED_SAMPLE:
            return 1.0
        completed = sum(sample.completed for sample in samples)
        return min(MAX_SPEED, completed / used)

    def _obtainable_cpu(
        self, pool: str, uses: Mapping[str, _PoolUse], machines: Machines
    ) -> float:
        """Returns what a pool has or can still get, thousandths of a core."""
        own = uses[pool]
        cpu = own.cpu + machines.arriving_cpu.get(pool, 0)
        cpu += machines.standby_cpu
        for name, use in uses.items():
            if name != pool:
                needed = (
                    use.in_time_cpu
                    if self._moves_busy_machines
                    else max(use.short_cpu, use.open_cpu)
                )
                cpu += max(0, use.cpu - needed)
        if not self._moves_busy_machines:
            return cpu
        in_time_cpu = sum(use.in_time_cpu for use in uses.values())
        total = sum(use.cpu for use in uses.values()) + machines.standby_cpu
        total += sum(machines.arriving_cpu.values())
        return max(cpu, total * own.in_time_cpu / max(1, in_time_cpu))

    def _backlog(
        self, pool: str, use: _PoolUse, rate: float
    ) -> peers.PoolBacklog:
        work = dict(use.work)
        for account, limited in use.limited.items():
            most = self._state.account_limit(account).cpu * LIMITED_HORIZON_MS
            share = min(1.0, most / max(1.0, sum(limited.values())))
            for key, value in limited.items():
                work[key] = work.get(key, 0.0) + share * value
        groups = (
            peers.GroupBacklog(int(group), priority, value)
            for (group, priority), value in sorted(work.items())
        )
        return peers.PoolBacklog(pool, rate, tuple(groups))

    def _report_change(
        self, pool: str, is_overloaded: bool, wait_ms: float, rate: float
    ) -> None:
        if is_overloaded == (pool in self._overloaded):
            return
        self._overloaded ^= {pool}
        self._emit(
            events.LoadReport(
                pool,
                "overloaded" if is_overloaded else "none",
                int(wait_ms),
                int(rate),
            )
        )


def _is_usable(instance: instance_state.Instance) -> bool:
    """Whether an instance counts as capacity.

    One that can't get work for a moment only, or that has not reported to a
    new owner yet, counts.
    """
    return instance.is_listed and not (
        instance.is_unresponsive
        or instance.is_cordoned
        or instance.is_terminating
        or instance.registration.is_draining
    )


def _undone(entry: job_tracker.JobEntry) -> tuple[float, int]:
    """Returns the work of a job's undone tasks, and the cpu of open steps.

    Running tasks are on average half done.
    """
    work = 0.0
    open_cpu = 0
    for number, step in enumerate(entry.job.steps):
        if entry.is_step_done(0, number):
            continue
        open_step = entry.open_steps_by_key.get((0, number))
        if open_step is None or not entry.was_assigned:
            work += step.count * step.cpu * entry.expected_ms(number)
            if open_step is not None:
                open_cpu += step.count * step.cpu
            continue
        undone = step.count - open_step.counts.done
        tasks = (undone + open_step.waiting_count) / 2
        work += tasks * step.cpu * entry.expected_ms(number)
        open_cpu += undone * step.cpu
    return work, open_cpu
