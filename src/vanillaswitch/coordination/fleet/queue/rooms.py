"""The owner's record of each instance and of the runs that it reserves.

Instances start whatever they are ordered to, so only the owner keeps them
within their capacity. A run reserves resources from the decision to start it
until its end is reported, or until it is certain that it never started.
"""

import dataclasses
import itertools

from vanillaswitch.coordination.fleet.instances import lives
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import known_room
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

RunKey = tuple[jobs.TaskName, int]
"""A task and the number of one of its runs."""


_INCARNATION_NUMBERS = itertools.count(1)
"""Numbers of incarnations, unique over all instances."""

LATE_S = 15.0
"""Longest delay after which an unanswered order may still be executed. The
platform only specifies that it takes seconds."""

_NEVER = float("-inf")

FULL_PACE = 100
"""Pace, in percent, of a task that is not slowed down."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run on one instance, from the decision to start it to its end.

    Attributes:
        need: the resources that it reserves.
        sent: its start was recorded and may be sent.
        confirmed: the instance has accepted the start or reports the run.
        unanswered: a copy of its start was sent and got no answer.
        inherited: an earlier owner recorded it, and no instance has reported
            it to this owner yet.
        in_doubt: an earlier owner may have ordered its stop. Its instance
            would report it as at work until it has stopped.
        unread: its job's row can't be read, as a part of the store is
            unavailable. Its need is unknown, so it reserves a whole instance,
            even if the capacity of the instance grows meanwhile.
        stopping: monotonic seconds at which its stop was requested; None if
            it is not to be stopped.
        stop_sent_at: when the last order to stop it was sent.
        void_since: monotonic seconds since which it is certain that it can't
            start any more; None before.
        decided_at: monotonic seconds at which its start was decided.
        percent: last reported progress.
        progress_at: when ``percent`` last changed; at first when the owner
            created this record.
        listed_at: when its instance last reported it.
        begun_at: when the owner first knew that it had started; None before.
        stalled_s: how long consecutive status reports have shown no progress.
            A gap between reports resets it.
        saved: newest reported checkpoint.
        apart: its task is suspected of crashing instances, so nothing else
            starts on its instance until it has worked for a while.
        cleared: no crashes count against its task any more.
        proof_s: how long it has to work to show that it does not crash its
            instance.
        begun_before: it started before this owner first learned of it.
        unsent: the last attempt to send its start sent no copy of it.
        born_ms: boot time of the instance incarnation that it was assigned
            to.
        gauge: see ``fleet.Running``.
        pace: percent of its speed at which it may work.
    """

    task: jobs.TaskName
    run: int
    step: jobs.Step
    need: fleet.Resources
    decided_at: float
    sent: bool = False
    confirmed: bool = False
    unanswered: bool = False
    inherited: bool = False
    in_doubt: bool = False
    unread: bool = False
    stopping: float | None = None
    stop_sent_at: float = 0.0
    void_since: float | None = None
    percent: float = 0.0
    progress_at: float = dataclasses.field(init=False)
    listed_at: float = _NEVER
    begun_at: float | None = None
    stalled_s: float = 0.0
    saved: str = ""
    apart: bool = False
    begun_before: bool = False
    unsent: bool = False
    cleared: bool = False
    proof_s: float = crash_evidence.PROVEN_S
    born_ms: int | None = None
    gauge: float = 0.0
    pace: int = FULL_PACE

    def __post_init__(self) -> None:
        """Measures progress from the creation of the record."""
        self.progress_at = self.decided_at

    @property
    def key(self) -> RunKey:
        """The task and the run number."""
        return self.task, self.run

    @property
    def was_listed(self) -> bool:
        """Whether its instance has reported it in its current incarnation."""
        return self.listed_at > _NEVER

    @property
    def proven(self) -> bool:
        """Whether it has worked for ``proof_s``."""
        if self.begun_at is None:
            return False
        return self.worked_s >= self.proof_s

    @property
    def worked_s(self) -> float:
        """Seconds between its start and the last report that lists it."""
        if self.begun_at is None:
            return 0.0
        return max(0.0, self.listed_at - self.begun_at)

    def begin(self, now: float) -> None:
        """Records that its instance confirmed its start.

        Args:
            now: monotonic seconds.
        """
        self.confirmed = True
        if self.begun_at is None:
            self.begun_at = now

    def take_listing(self, other: "Run") -> None:
        """Copies the reported state from another record of the same run."""
        self.confirmed, self.begun_at = other.confirmed, other.begun_at
        self.percent, self.progress_at = other.percent, other.progress_at
        self.listed_at, self.stalled_s = other.listed_at, other.stalled_s
        self.saved, self.gauge = other.saved, other.gauge

    def begin_doubt(self) -> None:
        """Drops what its instance reported before the instance restarted."""
        self.confirmed = False
        self.begun_at = None
        self.percent = 0.0
        self.listed_at = _NEVER
        self.void_since = None


class Instance:
    """The owner's record of one instance.

    Attributes:
        registration: its newest registration.
        lives: its incarnations under this id.
        life: number of its current incarnation, unique over all instances.
        listed: it is in the platform's list.
        distrusted: its registration can't be read.
        cordoned: a maintenance wave or a move needs it empty.
        due: a maintenance wave will need it empty later.
        leaving: an order that ends all its runs was given for its machine.
        heard_at: monotonic seconds of its last status report.
        runs: the runs that reserve resources on it.
        adopted: it has answered this owner, so that no order of an earlier
            owner can take effect any more.
        adopted_at: monotonic seconds of that answer.
        silent: it does not answer.
        doubtful: a call to it got no answer, and it has not reported since.
        suspended_until: monotonic seconds until which it gets no work, since
            it failed tasks, stalled one or refused a start.
        failures_in_row: ids of the jobs that failed there in a row.
        suspensions: how often it was suspended for them.
        capacity: its current capacity, as far as it is certain.
        last_end: number of the last end that it reported.
        unread_ends: reported ends whose jobs can't be read yet.
        clock_ms: its clock at ``clock_at``.
        clock_at: monotonic seconds at which ``clock_ms`` arrived.
        speed: work per second relative to the estimates of its tasks.
        speed_samples: how many samples ``speed`` averages.
        slow: it is slow compared with its pool.
        last_paced_at: when filler tasks on it were last paced.
        below_target_since: since when no serving task was near its target.
        lapses_at: monotonic seconds at which its lease expires, unless it is
            renewed: all its runs have ended by then. Covers finished calls
            only.
    """

    def __init__(self, registration: fleet.Registration, now: float):
        self.registration = registration
        self.lives = lives.Lives(registration.born_ms, now)
        self.listed = True
        self.distrusted = False
        self.cordoned = False
        self.due = False
        self.leaving = False
        self.heard_at = now
        self._known_capacity = known_room.KnownCapacity(registration.capacity)
        self.runs: dict[RunKey, Run] = {}
        self._pending_renewals: list[float] = []
        self._undelivered: dict[RunKey, float] = {}
        self._reserved_cpu = 0
        self._reserved_mem = 0
        self._reserved_gpu = 0
        self._short_load = fleet.Load()
        self._runs_per_step: dict[tuple[str, int, int], int] = {}
        self._isolated: set[RunKey] = set()
        self._unread: set[RunKey] = set()
        self.start_anew(now, now)

    def start_anew(self, now: float, lapses_at: float) -> None:
        """Resets the state of one incarnation; keeps runs and machine state.

        Args:
            now: monotonic seconds.
            lapses_at: see the attribute.
        """
        self.life = next(_INCARNATION_NUMBERS)
        self.adopted = False
        self.adopted_at = float("inf")
        self.silent = False
        self.doubtful = False
        self.suspended_until = 0.0
        self.failures_in_row: set[str] = set()
        self.suspensions = 0
        self.speed = 1.0
        self.speed_samples = 0
        self.slow = False
        self.last_paced_at = 0.0
        self.below_target_since = now
        self.last_end = 0
        self.unread_ends: list[fleet.End] = []
        self.clock_ms = 0.0
        self.clock_at = now
        self.lapses_at = lapses_at
        self._known_capacity.reset(self.registration.capacity)
        self.capacity = self._known_capacity.current

    def register(self, registration: fleet.Registration) -> None:
        """Stores its newest registration."""
        self.registration = registration
        self._known_capacity.update_registered(registration.capacity)
        self.capacity = self._known_capacity.current

    def list_room(self, capacity: fleet.Resources) -> bool:
        """Stores its capacity in the platform's machine list.

        Returns:
            Whether this changed ``capacity``.
        """
        changed = self._known_capacity.update_listed(capacity)
        self.capacity = self._known_capacity.current
        return changed

    def age_room(self, stale: bool) -> None:
        """Sets whether its registration may be out of date."""
        self._known_capacity.set_stale(stale)
        self.capacity = self._known_capacity.current

    @property
    def name(self) -> str:
        """The id of the instance."""
        return self.registration.instance

    @property
    def full_cpu(self) -> int:
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
    def noted_end(self) -> int:
        """Number of the last end up to which all ends were processed."""
        if self.unread_ends:
            return self.unread_ends[0].number - 1
        return self.last_end

    @property
    def apart(self) -> bool:
        """Whether a run in isolation is here, beside which nothing starts."""
        return bool(self._isolated)

    @property
    def tries(self) -> bool:
        """Whether a run in isolation is here that is not to be stopped."""
        return any(self.runs[key].stopping is None for key in self._isolated)

    @property
    def unproven(self) -> list[Run]:
        """Runs that have not worked long enough to be proven."""
        return [run for run in self.runs.values() if not run.proven]

    def clear_apart(self, run: Run) -> None:
        """Ends the isolation of a run."""
        run.apart = False
        self._isolated.discard(run.key)

    @property
    def short_load(self) -> fleet.Load:
        """Load of its tasks that end by themselves."""
        return self._short_load

    def copies_under_way(self, now: float) -> list[RunKey]:
        """Returns runs that are over and whose starts may still arrive.

        The current incarnation rejects such starts as old. The next one would
        accept them, since it knows no earlier run.

        Args:
            now: monotonic seconds.
        """
        self._undelivered = {
            key: decided_at
            for key, decided_at in self._undelivered.items()
            if now - decided_at <= LATE_S
        }
        return list(self._undelivered)

    def begin_grant(self, until: float) -> None:
        """Records that a call which renews its lease has begun.

        Args:
            until: monotonic seconds to which the call renews the lease.
        """
        self._pending_renewals.append(until)

    def end_grant(self, until: float, left: bool) -> None:
        """Records that a call which renews its lease is over.

        Args:
            until: the value given to ``begin_grant``.
            left: whether any byte of the call may have reached the instance.
        """
        self._pending_renewals.remove(until)
        if left:
            self.lapses_at = max(self.lapses_at, until)

    def lapsed(self, now: float) -> bool:
        """Whether its lease has expired, so that all its runs have ended."""
        return now >= max([self.lapses_at, *self._pending_renewals])

    def usable(self, now: float) -> bool:
        """Whether new work may be assigned to it."""
        return (
            self.adopted
            and self.listed
            and not self.silent
            and not self.doubtful
            and not self.distrusted
            and not self.cordoned
            and not self.leaving
            and not self._isolated
            and not self._unread
            and not self.registration.draining
            and now >= self.suspended_until
        )

    def fits(self, need: fleet.Resources) -> bool:
        """Whether its unreserved capacity is enough for a need."""
        capacity = self.capacity
        return (
            self._reserved_cpu + need.cpu <= capacity.cpu
            and self._reserved_mem + need.mem_mb <= capacity.mem_mb
            and self._reserved_gpu + need.gpu <= capacity.gpu
        )

    def has_room_for(self, run: Run) -> bool:
        """Whether a run fits beside the runs whose starts may have been sent.

        The capacity may have shrunk since the start was decided.
        """
        if self._unread:
            return False
        if self._is_within_capacity():
            return True
        capacity = self.capacity
        needs = [
            other.need
            for other in self.runs.values()
            if other.sent or other is run
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

    def takes_over(self, run: Run, now: float) -> bool:
        """Whether a run of another instance could start here now."""
        return self.fits(run.need) and self._allows(run.step, run.task, now)

    def makes_room(
        self,
        step: jobs.Step,
        task: jobs.TaskName,
        need: fleet.Resources,
        now: float,
    ) -> bool:
        """Whether a task could run here once the short tasks have ended."""
        capacity = self.capacity
        long_running = [
            run.need for run in self.runs.values() if run.step.long_running
        ]
        wanted = [need, *long_running]
        fits = (
            sum(item.cpu for item in wanted) <= capacity.cpu
            and sum(item.mem_mb for item in wanted) <= capacity.mem_mb
            and sum(item.gpu for item in wanted) <= capacity.gpu
        )
        return fits and self._allows(step, task, now)

    def free_share(self, need: fleet.Resources) -> float:
        """Returns the unreserved share of a need, of the scarcest resource."""
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

    def _allows(self, step: jobs.Step, task: jobs.TaskName, now: float) -> bool:
        if not self.usable(now):
            return False
        if step.anti_affinity and self.count_of(task) >= step.anti_affinity:
            return False
        return not step.requires or step.requires in self.registration.labels

    def count_of(self, task: jobs.TaskName) -> int:
        """Returns how many runs of the task's step it has reserved."""
        return self._runs_per_step.get(step_key(task), 0)

    def add(self, run: Run) -> None:
        """Reserves resources for a run."""
        self.runs[run.key] = run
        if run.apart:
            self._isolated.add(run.key)
        if run.unread:
            self._unread.add(run.key)
        self._reserved_cpu += run.need.cpu
        self._reserved_mem += run.need.mem_mb
        self._reserved_gpu += run.need.gpu
        self._short_load = self._short_load.plus(run.step, 1)
        key = step_key(run.task)
        self._runs_per_step[key] = self._runs_per_step.get(key, 0) + 1

    def remove(self, key: RunKey) -> Run | None:
        """Releases the resources of a run.

        Returns:
            The run, None if there is no such run.
        """
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self._isolated.discard(key)
        self._unread.discard(key)
        if run.unanswered:
            self._undelivered[key] = run.decided_at
        self._reserved_cpu -= run.need.cpu
        self._reserved_mem -= run.need.mem_mb
        self._reserved_gpu -= run.need.gpu
        self._short_load = self._short_load.plus(run.step, -1)
        step = step_key(run.task)
        self._runs_per_step[step] -= 1
        if not self._runs_per_step[step]:
            del self._runs_per_step[step]
        return run

    def clock_now_ms(self, now: float) -> float:
        """Returns an estimate of its clock that is never ahead of it.

        The last answer was in transit for a while, so it shows an earlier time.
        """
        return self.clock_ms + (now - self.clock_at) * 1000


def step_key(task: jobs.TaskName) -> tuple[str, int, int]:
    """Returns a key that identifies the step of a task."""
    return task.job_id, task.occurrence, task.step
