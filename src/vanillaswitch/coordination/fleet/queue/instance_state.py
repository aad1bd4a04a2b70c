"""The owner's record of each instance and of the runs assigned to it.

Instances start whatever they are ordered to, so only the owner keeps them
within their capacity. A run reserves resources from the decision to start it
until its end is reported, or until it is certain that it never started.

Long-running tasks run until their job is cancelled. All others are called
short or finite: they end by themselves.
"""

import dataclasses
import itertools

from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.coordination.fleet.instances import incarnations
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import known_capacity
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

RunKey = tuple[jobs.TaskName, int]
"""A task and the number of one of its runs."""


_INCARNATION_NUMBERS = itertools.count(1)
"""Numbers of incarnations, unique over all instances."""

MAX_ORDER_DELAY_S = 15.0
"""Longest delay after which an unanswered order may still be executed. The
platform only specifies that it takes seconds."""

_NEVER_REPORTED = float("-inf")

FULL_PACE = 100
"""Pace of a task that is not slowed down. A pace limits the speed at which a
task works, in percent of its full speed."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run on one instance, from the decision to start it to its end.

    Attributes:
        demand: the resources that it reserves.
        is_start_sent: its start was recorded and may have been sent.
        confirmed: the instance has accepted the start or reports the run.
        has_unanswered_start: a copy of its start was sent and got no answer.
        held_until: monotonic seconds until which a copy of a start of its task
            may still be executed on its instance, by this or a later
            incarnation. The task starts nowhere else before. None unless the
            run was lost or its unanswered start was stopped.
        is_restart: it replaces a held run.
        is_ruled_out: it is held, and the current incarnation of its instance
            neither runs it nor will start it.
        awaits_first_report: an earlier owner decided to start it, and no
            instance has reported it to this owner yet.
        may_be_stopping: an earlier owner may have ordered its stop. Its
            instance would report it as running until it has stopped.
        has_unknown_demand: its job's row can't be read, because a part of the
            store is unavailable. Its demand is unknown, so it reserves a whole
            instance, even if the capacity of the instance grows meanwhile.
        stop_requested_at: monotonic seconds at which its stop was requested;
            None if it is not to be stopped.
        stop_sent_at: when the last order to stop it was sent.
        cannot_start_since: monotonic seconds since which it is certain that it
            can't start any more; None before.
        decided_at: monotonic seconds at which its start was decided.
        percent: last reported progress.
        progress_at: when ``percent`` last changed; ``decided_at`` before the
            first change.
        reported_at: when its instance last reported it.
        started_at: when the owner first knew that it had started; None if it
            does not know.
        stalled_s: how long consecutive status reports have shown no progress.
            A gap between reports resets it.
        checkpoint: newest reported checkpoint.
        is_isolated: its task is suspected of crashing instances, so nothing
            else starts on its instance until it is proven.
        crashes_cleared: no earlier crashes count against its task any more.
        required_run_time_s: how long it has to last to be proven. A proven run
            did not crash its instance by starting; see ``crash_evidence``.
        started_before_term: it started before this owner first learned of it.
        is_start_unsent: the last attempt to send its start failed without
            sending anything.
        born_ms: boot time of the instance incarnation that it was assigned
            to.
        gauge: last reported tail latency or processor usage; see
            ``fleet.RunStatus``.
        pace: highest speed at which it may work, in percent of full speed.
        account: client account of its job; empty if it has none or is unknown.
        expected_ms: its estimated duration when it was assigned; the declared
            one unless durations are learned.
    """

    task: jobs.TaskName
    run: int
    step: jobs.Step
    demand: fleet.Resources
    decided_at: float
    is_start_sent: bool = False
    confirmed: bool = False
    has_unanswered_start: bool = False
    held_until: float | None = None
    is_restart: bool = False
    is_ruled_out: bool = False
    awaits_first_report: bool = False
    may_be_stopping: bool = False
    has_unknown_demand: bool = False
    stop_requested_at: float | None = None
    stop_sent_at: float = 0.0
    cannot_start_since: float | None = None
    percent: float = 0.0
    progress_at: float = dataclasses.field(init=False)
    expected_ms: float = dataclasses.field(init=False)
    reported_at: float = _NEVER_REPORTED
    started_at: float | None = None
    stalled_s: float = 0.0
    checkpoint: str = ""
    is_isolated: bool = False
    started_before_term: bool = False
    is_start_unsent: bool = False
    crashes_cleared: bool = False
    required_run_time_s: float = crash_evidence.MIN_REQUIRED_RUN_TIME_S
    born_ms: int | None = None
    gauge: float = 0.0
    pace: int = FULL_PACE
    account: str = ""

    def __post_init__(self) -> None:
        """Sets ``progress_at`` and ``expected_ms`` to their first values."""
        self.progress_at = self.decided_at
        self.expected_ms = self.step.estimate_ms

    @property
    def key(self) -> RunKey:
        """The task and the run number."""
        return self.task, self.run

    @property
    def was_reported(self) -> bool:
        """Whether the current incarnation of its instance has reported it."""
        return self.reported_at > _NEVER_REPORTED

    @property
    def is_proven(self) -> bool:
        """Whether it has lasted for ``required_run_time_s``."""
        if self.started_at is None:
            return False
        return self.run_time_s >= self.required_run_time_s

    @property
    def run_time_s(self) -> float:
        """Seconds between its start and the last report that lists it."""
        if self.started_at is None:
            return 0.0
        return max(0.0, self.reported_at - self.started_at)

    def mark_started(self, now: float) -> None:
        """Records that its instance confirmed its start.

        Args:
            now: monotonic seconds.
        """
        self.confirmed = True
        if self.started_at is None:
            self.started_at = now

    def copy_reported_state(self, other: "Run") -> None:
        """Copies the reported state from another record of the same run."""
        self.confirmed, self.started_at = other.confirmed, other.started_at
        self.percent, self.progress_at = other.percent, other.progress_at
        self.reported_at, self.stalled_s = other.reported_at, other.stalled_s
        self.checkpoint, self.gauge = other.checkpoint, other.gauge

    def reset_reported_state(self) -> None:
        """Drops what its instance reported before the instance restarted."""
        self.confirmed = False
        self.started_at = None
        self.percent = 0.0
        self.reported_at = _NEVER_REPORTED
        self.cannot_start_since = None
        self.is_ruled_out = False


class Instance:
    """The owner's record of one instance.

    Attributes:
        registration: its newest registration.
        incarnations: its known incarnations. An instance that restarts under
            the same id is a new incarnation.
        incarnation: number of its current incarnation, unique over all
            instances.
        is_listed: it is in the platform's list.
        is_gone: it was removed. Its record only has runs that are held.
        has_unreadable_registration: its registration can't be read.
        is_cordoned: a maintenance wave needs it without runs, or its machine is
            to move to another pool.
        is_maintenance_due: a maintenance wave will need it without runs later.
        is_released: its machine is to move to another pool once its runs have
            ended.
        machine_orders: names of the orders for its machine that may end all its
            runs. Each one stays until it is certain that it does not.
        last_contact_at: monotonic seconds of its last status report.
        runs: the runs that reserve resources on it.
        has_reported: its current incarnation has answered this owner. From then
            on it rejects the orders of earlier owners.
        is_fenced: its current incarnation has answered a call whose fencing
            token was higher than that of any call to a former one. From then on
            it rejects the calls to former incarnations.
        first_report_at: monotonic seconds of its first answer to this owner.
        is_unresponsive: it does not answer.
        has_unanswered_call: a call to it got no answer, and it has not reported
            since.
        is_report_late: a call to it got no answer since the report before the
            last one, so the ends in its last report may be old.
        suspended_until: monotonic seconds until which it gets no new work,
            because tasks failed or stalled on it or it refused a start.
        consecutive_failed_jobs: ids of the jobs of which a task has failed on
            it since a task last succeeded there or it was last suspended.
        suspension_count: how often it was suspended for them.
        capacity: its current capacity; see ``known_capacity``.
        last_end_number: sequence number of the last ended run that it reported;
            see ``fleet.RunEnd``.
        has_listed_former_ends: every run that had ended there before its first
            report to this owner has been listed as ended. Until then, a run of
            an earlier owner that it does not list may have ended as well.
        unprocessed_ends: reported ends of runs whose jobs can't be read yet.
        clock_ms: its clock at ``clock_at``.
        clock_at: monotonic seconds at which ``clock_ms`` arrived.
        relative_speed: work per second relative to the estimates of its tasks.
        speed_samples: number of samples in ``relative_speed``.
        is_straggler: it is slow compared with its pool.
        last_paced_at: when the pace of filler tasks on it last changed.
        low_latency_since: since when the tail latency of all its serving tasks
            has been low compared with their targets.
        lease_expires_at: monotonic seconds at which its lease expires, unless
            it is renewed. All its runs have ended by then. Calls in progress
            that may renew the lease are not included.
    """

    def __init__(
        self,
        registration: fleet.Registration,
        now: float,
        account_usage: limits.AccountUsage | None = None,
    ):
        """Creates the record of an instance without runs.

        Args:
            registration: its registration.
            now: monotonic seconds.
            account_usage: counts its runs for their client accounts.
        """
        self._account_usage = account_usage or limits.AccountUsage()
        self.registration = registration
        self.incarnations = incarnations.IncarnationHistory(
            registration.born_ms, now
        )
        self.is_listed = True
        self.is_gone = False
        self.has_unreadable_registration = False
        self.is_cordoned = False
        self.is_maintenance_due = False
        self.is_released = False
        self.machine_orders: set[str] = set()
        self.last_contact_at = now
        self._known_capacity = known_capacity.KnownCapacity(
            registration.capacity
        )
        self.runs: dict[RunKey, Run] = {}
        self._pending_renewals: list[float] = []
        self._reserved_cpu = 0
        self._reserved_mem = 0
        self._reserved_gpu = 0
        self._long_running_demand = fleet.Resources(0, 0)
        self._finite_load = fleet.Load()
        self._runs_per_step: dict[tuple[str, int, int], int] = {}
        self._isolated: set[RunKey] = set()
        self._unknown_demand: set[RunKey] = set()
        self.reset_incarnation(now, now)

    def reset_incarnation(self, now: float, lease_expires_at: float) -> None:
        """Resets what depends on the incarnation; keeps runs and machine state.

        Args:
            now: monotonic seconds.
            lease_expires_at: see the attribute.
        """
        self.incarnation = next(_INCARNATION_NUMBERS)
        self.has_reported = False
        self.is_fenced = False
        self.first_report_at = float("inf")
        self.is_unresponsive = False
        self.has_unanswered_call = False
        self.is_report_late = False
        self.suspended_until = 0.0
        self.consecutive_failed_jobs: set[str] = set()
        self.suspension_count = 0
        self.relative_speed = 1.0
        self.speed_samples = 0
        self.is_straggler = False
        self.last_paced_at = 0.0
        self.low_latency_since = now
        self.last_end_number = 0
        self.has_listed_former_ends = False
        self.unprocessed_ends: list[fleet.RunEnd] = []
        self.clock_ms = 0.0
        self.clock_at = now
        self.lease_expires_at = lease_expires_at
        self._known_capacity.reset(self.registration.capacity)
        self.capacity = self._known_capacity.current

    def update_registration(self, registration: fleet.Registration) -> None:
        """Stores its newest registration."""
        self.registration = registration
        self._known_capacity.update_registered(registration.capacity)
        self.capacity = self._known_capacity.current

    def update_listed_capacity(self, capacity: fleet.Resources) -> bool:
        """Stores its capacity in the platform's machine list.

        Returns:
            Whether this changed ``capacity``.
        """
        changed = self._known_capacity.update_listed(capacity)
        self.capacity = self._known_capacity.current
        return changed

    def set_registration_stale(self, stale: bool) -> None:
        """Sets whether its registration may be out of date."""
        self._known_capacity.set_stale(stale)
        self.capacity = self._known_capacity.current

    @property
    def name(self) -> str:
        """The id of the instance."""
        return self.registration.instance

    @property
    def is_terminating(self) -> bool:
        """Whether an order for its machine may end all its runs."""
        return bool(self.machine_orders)

    @property
    def max_cpu(self) -> int:
        """Largest capacity so far, in thousandths of a core."""
        return self._known_capacity.largest.cpu

    @property
    def free_cpu(self) -> int:
        """Unreserved capacity in thousandths of a core."""
        return self.capacity.cpu - self._reserved_cpu

    @property
    def free(self) -> fleet.Resources:
        """Unreserved capacity."""
        capacity = self.capacity
        return fleet.Resources(
            capacity.cpu - self._reserved_cpu,
            capacity.mem_mb - self._reserved_mem,
            capacity.gpu - self._reserved_gpu,
        )

    @property
    def used_cpu(self) -> int:
        """Reserved capacity in thousandths of a core."""
        return self._reserved_cpu

    @property
    def long_running_cpu(self) -> int:
        """What its long-running tasks reserve, in thousandths of a core."""
        return self._long_running_demand.cpu

    @property
    def acknowledged_end(self) -> int:
        """Sequence number up to which all reported ends were processed."""
        if self.unprocessed_ends:
            return self.unprocessed_ends[0].number - 1
        return self.last_end_number

    @property
    def has_isolated_run(self) -> bool:
        """Whether it has a run in isolation, beside which nothing starts."""
        return bool(self._isolated)

    @property
    def has_active_isolated_run(self) -> bool:
        """Whether it has a run in isolation that is not to be stopped."""
        return any(
            self.runs[key].stop_requested_at is None for key in self._isolated
        )

    @property
    def has_unproven_run(self) -> bool:
        """Whether any run has not lasted long enough to be proven."""
        # The newest run is the most likely one.
        return any(
            not run.is_proven and not run.is_ruled_out
            for run in reversed(self.runs.values())
        )

    def end_isolation(self, run: Run) -> None:
        """Ends the isolation of a run."""
        run.is_isolated = False
        self._isolated.discard(run.key)

    @property
    def finite_load(self) -> fleet.Load:
        """Load of its short tasks, which end by themselves."""
        return self._finite_load

    def begin_lease_renewal(self, until: float) -> None:
        """Records that a call which renews its lease has begun.

        Args:
            until: monotonic seconds until which the call extends the lease.
        """
        self._pending_renewals.append(until)

    def end_lease_renewal(self, until: float, may_have_arrived: bool) -> None:
        """Records that a call which renews its lease is over.

        Args:
            until: the value given to ``begin_lease_renewal``.
            may_have_arrived: whether any byte of the call may have reached the
                instance.
        """
        self._pending_renewals.remove(until)
        if may_have_arrived:
            self.lease_expires_at = max(self.lease_expires_at, until)

    def is_lease_expired(self, now: float) -> bool:
        """Whether its lease has expired, so that all its runs have ended."""
        return now >= max([self.lease_expires_at, *self._pending_renewals])

    def is_schedulable(self, now: float) -> bool:
        """Whether new work may be assigned to it."""
        return (
            self.has_reported
            and self.is_listed
            and not self.is_unresponsive
            and not self.has_unanswered_call
            and not self.has_unreadable_registration
            and not self.is_cordoned
            and not self.is_released
            and not self.is_terminating
            and not self._isolated
            and not self._unknown_demand
            and not self.registration.is_draining
            and now >= self.suspended_until
        )

    def has_capacity_for(self, need: fleet.Resources) -> bool:
        """Whether its unreserved capacity covers a need."""
        capacity = self.capacity
        return (
            self._reserved_cpu + need.cpu <= capacity.cpu
            and self._reserved_mem + need.mem_mb <= capacity.mem_mb
            and self._reserved_gpu + need.gpu <= capacity.gpu
        )

    def can_send_start(self, run: Run) -> bool:
        """Whether a run fits beside the runs whose starts may have been sent.

        The capacity may have shrunk since the start was decided.
        """
        if self._unknown_demand:
            return False
        if self._is_within_capacity():
            return True
        capacity = self.capacity
        needs = [
            other.demand
            for other in self.runs.values()
            if other.is_start_sent or other is run
        ]
        return (
            sum(need.cpu for need in needs) <= capacity.cpu
            and sum(need.mem_mb for need in needs) <= capacity.mem_mb
            and sum(need.gpu for need in needs) <= capacity.gpu
        )

    def _is_within_capacity(self) -> bool:
        """Whether all reservations, sent or not, are within the capacity."""
        capacity = self.capacity
        return (
            self._reserved_cpu <= capacity.cpu
            and self._reserved_mem <= capacity.mem_mb
            and self._reserved_gpu <= capacity.gpu
        )

    def could_start(self, run: Run, now: float) -> bool:
        """Whether a run of another instance could start here now."""
        return self.has_capacity_for(
            run.demand
        ) and self._meets_placement_rules(run.step, run.task, now)

    def fits_beside_long_running_tasks(
        self,
        step: jobs.Step,
        task: jobs.TaskName,
        need: fleet.Resources,
        now: float,
    ) -> bool:
        """Whether a task could run here once the short tasks have ended."""
        capacity = self.capacity
        reserved = self._long_running_demand
        fits = (
            reserved.cpu + need.cpu <= capacity.cpu
            and reserved.mem_mb + need.mem_mb <= capacity.mem_mb
            and reserved.gpu + need.gpu <= capacity.gpu
        )
        return fits and self._meets_placement_rules(step, task, now)

    def fitting_count(
        self, need: fleet.Resources, *, beside_short_tasks: bool
    ) -> int:
        """Returns how many tasks with the same need have room here.

        Args:
            need: what each of them needs.
            beside_short_tasks: whether the short tasks that run here keep their
                capacity; otherwise only the long-running ones do.
        """
        room = self.free
        if not beside_short_tasks:
            kept = self._long_running_demand
            room = fleet.Resources(
                self.capacity.cpu - kept.cpu,
                self.capacity.mem_mb - kept.mem_mb,
                self.capacity.gpu - kept.gpu,
            )
        return room.fitting_count(need)

    def free_share(self, need: fleet.Resources) -> float:
        """Returns the share of a need that its unreserved capacity covers.

        The share is that of the scarcest resource; more than 1 if all of them
        are more than enough.
        """
        capacity = self.capacity
        shares = [
            free / wanted
            for free, wanted in (
                (capacity.cpu - self._reserved_cpu, need.cpu),
                (capacity.mem_mb - self._reserved_mem, need.mem_mb),
                (capacity.gpu - self._reserved_gpu, need.gpu),
            )
            if wanted
        ]
        return min(shares, default=1.0)

    def _meets_placement_rules(
        self, step: jobs.Step, task: jobs.TaskName, now: float
    ) -> bool:
        if not self.is_schedulable(now):
            return False
        if (
            step.anti_affinity
            and self.count_step_runs(task) >= step.anti_affinity
        ):
            return False
        return not step.requires or step.requires in self.registration.labels

    def count_step_runs(self, task: jobs.TaskName) -> int:
        """Returns how many runs of the task's step are assigned to it."""
        return self._runs_per_step.get(step_key(task), 0)

    def add_run(self, run: Run) -> None:
        """Reserves resources for a run."""
        self.runs[run.key] = run
        if run.is_isolated:
            self._isolated.add(run.key)
        if run.has_unknown_demand:
            self._unknown_demand.add(run.key)
        self._reserved_cpu += run.demand.cpu
        self._reserved_mem += run.demand.mem_mb
        self._reserved_gpu += run.demand.gpu
        if run.step.long_running:
            self._long_running_demand = self._sum_long_running_demand()
        self._finite_load = self._finite_load.with_tasks(
            run.step, 1, run.expected_ms
        )
        self._account_usage.add_tasks(run.account, run.step, 1)
        key = step_key(run.task)
        self._runs_per_step[key] = self._runs_per_step.get(key, 0) + 1

    def has_other_run(self, run: Run) -> bool:
        """Whether another run of a run's task is assigned to it."""
        return any(
            other.task == run.task and other is not run
            for other in self.runs.values()
        )

    def remove_run(self, key: RunKey) -> Run | None:
        """Releases the resources of a run.

        Returns:
            The run, None if there is no such run.
        """
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self._isolated.discard(key)
        self._unknown_demand.discard(key)
        self._reserved_cpu -= run.demand.cpu
        self._reserved_mem -= run.demand.mem_mb
        self._reserved_gpu -= run.demand.gpu
        if run.step.long_running:
            self._long_running_demand = self._sum_long_running_demand()
        self._finite_load = self._finite_load.with_tasks(
            run.step, -1, run.expected_ms
        )
        self._account_usage.add_tasks(run.account, run.step, -1)
        step = step_key(run.task)
        self._runs_per_step[step] -= 1
        if not self._runs_per_step[step]:
            del self._runs_per_step[step]
        return run

    def _sum_long_running_demand(self) -> fleet.Resources:
        """Returns what its long-running tasks reserve."""
        demands = [
            run.demand for run in self.runs.values() if run.step.long_running
        ]
        return fleet.Resources(
            sum(demand.cpu for demand in demands),
            sum(demand.mem_mb for demand in demands),
            sum(demand.gpu for demand in demands),
        )

    def estimated_clock_ms(self, now: float) -> float:
        """Returns an estimate of its clock that is never ahead of it.

        The estimate is late by the time that the last answer was in transit.
        """
        return self.clock_ms + (now - self.clock_at) * 1000


def step_key(task: jobs.TaskName) -> tuple[str, int, int]:
    """Returns a key that identifies the step of a task."""
    return task.job_id, task.occurrence, task.step
