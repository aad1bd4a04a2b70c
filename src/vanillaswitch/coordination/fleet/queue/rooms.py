"""The owner's exact account of what each instance runs.

Instances start whatever they are told to, so nobody else guards their room.
A run takes room from the moment at which its start is decided until its end
is listed, or until it is certain that it never started.
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


_LIVES = itertools.count(1)
"""Numbers of the lives of instances, over all of them."""

LATE_S = 15.0
"""An order without an answer may be carried out for so long; the platform
says no more than that it takes seconds."""

_NEVER = float("-inf")

FULL_PACE = 100
"""Percent at which a task works when nobody paces it."""


@dataclasses.dataclass(slots=True)
class Run:
    """One run on one instance, from decision to end.

    Attributes:
        need: the room it takes.
        sent: its start was recorded and may be sent.
        confirmed: the instance has accepted it or lists it.
        unanswered: a copy of its start left and got no answer.
        inherited: an earlier owner recorded it; not yet seen by this one.
        in_doubt: an earlier owner may have told it to stop, and it would still
            be listed as at work.
        unread: its job lies in a part of the store that is away. What it
            needs is not known, so it takes a whole instance, also one whose
            room grows meanwhile.
        stopping: it is to be stopped, since this monotonic second.
        stop_sent_at: when the last order to stop it was sent.
        void_since: since then it is certain that it can't start any more.
        decided_at: monotonic seconds at which it was decided.
        percent: how far it is, as last listed.
        percent_at: when ``percent`` last changed, at first when the owner
            heard of the run.
        listed_at: when its instance last listed it.
        begun_at: when it was first known to have begun there; None before.
        still_s: for how long its accounts have shown no progress, but for
            gaps between them.
        saved: newest checkpoint listed.
        apart: its task is suspected to crash its instance, so that nothing
            else starts there until it has worked for a while.
        cleared: nothing speaks against its task any more.
        proof_s: it has to work for so long to show that it does not crash
            its instance.
        begun_before: it was listed when this owner first heard of it, so it
            began some time before.
        unsent: no copy of its start has left, by the last word of one.
        born_ms: start of the life of its instance that it was meant for.
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
    percent_at: float = dataclasses.field(init=False)
    listed_at: float = _NEVER
    begun_at: float | None = None
    still_s: float = 0.0
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
        """Counts progress from when the run was decided or heard of."""
        self.percent_at = self.decided_at

    @property
    def key(self) -> RunKey:
        """The task and the run's number."""
        return self.task, self.run

    @property
    def was_listed(self) -> bool:
        """Whether its instance has listed it in its present life."""
        return self.listed_at > _NEVER

    @property
    def proven(self) -> bool:
        """Whether its instance has listed it for long enough."""
        if self.begun_at is None:
            return False
        return self.worked_s >= self.proof_s

    @property
    def worked_s(self) -> float:
        """For how long its instance has listed it, in seconds."""
        if self.begun_at is None:
            return 0.0
        return max(0.0, self.listed_at - self.begun_at)

    def begin(self, now: float) -> None:
        """Takes note that it has begun, by the word of its instance."""
        self.confirmed = True
        if self.begun_at is None:
            self.begun_at = now

    def take_listing(self, other: "Run") -> None:
        """Takes over what its instance has listed of it under another entry."""
        self.confirmed, self.begun_at = other.confirmed, other.begun_at
        self.percent, self.percent_at = other.percent, other.percent_at
        self.listed_at, self.still_s = other.listed_at, other.still_s
        self.saved, self.gauge = other.saved, other.gauge

    def begin_doubt(self) -> None:
        """Forgets what its instance said of it before it started again."""
        self.confirmed = False
        self.begun_at = None
        self.percent = 0.0
        self.listed_at = _NEVER
        self.void_since = None


class Instance:
    """One instance as the owner knows it.

    Attributes:
        registration: what it says of itself.
        lives: its starts under this id.
        life: number of its present life; no other life of any instance has
            the same.
        listed: it stands in the platform's list.
        adopted: it has answered this owner, so that no order of an earlier
            owner can take effect any more.
        adopted_at: monotonic seconds of that answer.
        silent: it did not answer lately.
        doubtful: a call to it got no answer and it was not heard of since.
        distrusted: its entry in the list can't be read.
        capacity: its room, as far as it is known to be there now.
        cordoned: a wave or a move wants it empty.
        due: a wave will want it empty later.
        leaving: an order that ends all it runs was given for its machine.
        suspended_until: it gets no work until then, since it failed some.
        last_end: number of the last end that was heard of.
        unread_ends: those among them whose jobs can't be read yet.
        clock_ms: its clock at ``clock_at``.
        clock_at: monotonic seconds at which ``clock_ms`` arrived.
        speed: work done a second as against what tasks were estimated at.
        slow: it is slow among its pool.
        paced_at: when fills on it were last paced.
        calm_since: since then no task that serves was near its target.
        lapses_at: by then all that it runs has ended unless it is held on, as
            far as calls go that are over.
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
        self._room = known_room.KnownRoom(registration.capacity)
        self.runs: dict[RunKey, Run] = {}
        self._granting: list[float] = []
        self._unanswered: dict[RunKey, float] = {}
        self._cpu = 0
        self._mem = 0
        self._gpu = 0
        self._short = fleet.Load()
        self._per_step: dict[tuple[str, int, int], int] = {}
        self._apart: set[RunKey] = set()
        self._unread: set[RunKey] = set()
        self.start_anew(now, now)

    def start_anew(self, now: float, lapses_at: float) -> None:
        """Forgets what holds for one life of it; its runs and machine stay.

        Args:
            now: monotonic seconds.
            lapses_at: see the attribute.
        """
        self.life = next(_LIVES)
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
        self.paced_at = 0.0
        self.calm_since = now
        self.last_end = 0
        self.unread_ends: list[fleet.End] = []
        self.clock_ms = 0.0
        self.clock_at = now
        self.lapses_at = lapses_at
        self._room.begin_life(self.registration.capacity)
        self.capacity = self._room.now

    def register(self, registration: fleet.Registration) -> None:
        """Takes note of what it says of itself now."""
        self.registration = registration
        self._room.entry_names(registration.capacity)
        self.capacity = self._room.now

    def list_room(self, room: fleet.Resources) -> bool:
        """Takes note of its room by the list of machines.

        Returns:
            Whether it has another one now.
        """
        changed = self._room.list_names(room)
        self.capacity = self._room.now
        return changed

    def age_room(self, old: bool) -> None:
        """Takes note of whether its entry may no longer tell its room."""
        self._room.age(old)
        self.capacity = self._room.now

    @property
    def name(self) -> str:
        """Its id."""
        return self.registration.instance

    @property
    def full_cpu(self) -> int:
        """Thousandths of a core that it has where its room has not shrunk."""
        return self._room.full.cpu

    @property
    def free_cpu(self) -> int:
        """Thousandths of a core that nothing has taken."""
        return self.capacity.cpu - self._cpu

    @property
    def free(self) -> fleet.Resources:
        """Room that nothing has taken."""
        capacity = self.capacity
        return fleet.Resources(
            capacity.cpu - self._cpu,
            capacity.mem_mb - self._mem,
            capacity.gpu - self._gpu,
        )

    @property
    def used_cpu(self) -> int:
        """Thousandths of a core that are taken."""
        return self._cpu

    @property
    def noted_end(self) -> int:
        """Number of the last end up to which all were taken note of."""
        if self.unread_ends:
            return self.unread_ends[0].number - 1
        return self.last_end

    @property
    def apart(self) -> bool:
        """Whether a suspected task runs here, beside which nothing starts."""
        return bool(self._apart)

    @property
    def tries(self) -> bool:
        """Whether a suspected task runs here that is not to be stopped."""
        return any(self.runs[key].stopping is None for key in self._apart)

    @property
    def unproven(self) -> list[Run]:
        """Runs that were not seen to work here for a while."""
        return [run for run in self.runs.values() if not run.proven]

    def clear_apart(self, run: Run) -> None:
        """Takes note that a suspected task works."""
        run.apart = False
        self._apart.discard(run.key)

    @property
    def short_load(self) -> fleet.Load:
        """What its tasks take that end by themselves."""
        return self._short

    def copies_under_way(self, now: float) -> list[RunKey]:
        """Returns runs that are over and whose starts may still arrive.

        Its present life refuses them as old; a next one knows no run.
        """
        self._unanswered = {
            key: decided_at
            for key, decided_at in self._unanswered.items()
            if now - decided_at <= LATE_S
        }
        return list(self._unanswered)

    def begin_grant(self, until: float) -> None:
        """Takes note of a call under way that extends the lease there."""
        self._granting.append(until)

    def end_grant(self, until: float, left: bool) -> None:
        """Takes note that such a call is over.

        Args:
            until: as when it began.
            left: whether any byte of it may have reached the instance.
        """
        self._granting.remove(until)
        if left:
            self.lapses_at = max(self.lapses_at, until)

    def lapsed(self, now: float) -> bool:
        """Whether all that ran there has surely ended."""
        return now >= max([self.lapses_at, *self._granting])

    def usable(self, now: float) -> bool:
        """Whether it may be given work."""
        return (
            self.adopted
            and self.listed
            and not self.silent
            and not self.doubtful
            and not self.distrusted
            and not self.cordoned
            and not self.leaving
            and not self._apart
            and not self._unread
            and not self.registration.draining
            and now >= self.suspended_until
        )

    def fits(self, need: fleet.Resources) -> bool:
        """Whether there is room besides all that may run there."""
        capacity = self.capacity
        return (
            self._cpu + need.cpu <= capacity.cpu
            and self._mem + need.mem_mb <= capacity.mem_mb
            and self._gpu + need.gpu <= capacity.gpu
        )

    def has_room_for(self, run: Run) -> bool:
        """Whether a decided run fits beside all whose starts may have left."""
        if self._unread:
            return False
        if self._is_within():
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

    def _is_within(self) -> bool:
        """Whether all that may run here, decided or sent, fits."""
        capacity = self.capacity
        return (
            self._cpu <= capacity.cpu
            and self._mem <= capacity.mem_mb
            and self._gpu <= capacity.gpu
        )

    def takes_over(self, run: Run, now: float) -> bool:
        """Whether it may run now what another instance runs."""
        return self.fits(run.need) and self._suits(run.step, run.task, now)

    def makes_room(
        self,
        step: jobs.Step,
        task: jobs.TaskName,
        need: fleet.Resources,
        now: float,
    ) -> bool:
        """Whether a task may run here once the short tasks have ended."""
        capacity = self.capacity
        lasting = [
            run.need for run in self.runs.values() if run.step.long_running
        ]
        wanted = [need, *lasting]
        fits = (
            sum(item.cpu for item in wanted) <= capacity.cpu
            and sum(item.mem_mb for item in wanted) <= capacity.mem_mb
            and sum(item.gpu for item in wanted) <= capacity.gpu
        )
        return fits and self._suits(step, task, now)

    def free_share(self, need: fleet.Resources) -> float:
        """Returns which part of a need it has free of what it lacks most."""
        capacity = self.capacity
        shares = [
            free / wanted
            for free, wanted in (
                (capacity.cpu - self._cpu, need.cpu),
                (capacity.mem_mb - self._mem, need.mem_mb),
                (capacity.gpu - self._gpu, need.gpu),
            )
            if wanted
        ]
        return min(shares, default=1.0)

    def _suits(self, step: jobs.Step, task: jobs.TaskName, now: float) -> bool:
        if not self.usable(now):
            return False
        if step.anti_affinity and self.count_of(task) >= step.anti_affinity:
            return False
        return not step.requires or step.requires in self.registration.labels

    def count_of(self, task: jobs.TaskName) -> int:
        """Returns how many tasks of this one's step it may run."""
        return self._per_step.get(step_key(task), 0)

    def add(self, run: Run) -> None:
        """Takes room for a run."""
        self.runs[run.key] = run
        if run.apart:
            self._apart.add(run.key)
        if run.unread:
            self._unread.add(run.key)
        self._cpu += run.need.cpu
        self._mem += run.need.mem_mb
        self._gpu += run.need.gpu
        self._short = self._short.plus(run.step, 1)
        key = step_key(run.task)
        self._per_step[key] = self._per_step.get(key, 0) + 1

    def remove(self, key: RunKey) -> Run | None:
        """Frees a run's room."""
        run = self.runs.pop(key, None)
        if run is None:
            return None
        self._apart.discard(key)
        self._unread.discard(key)
        if run.unanswered:
            self._unanswered[key] = run.decided_at
        self._cpu -= run.need.cpu
        self._mem -= run.need.mem_mb
        self._gpu -= run.need.gpu
        self._short = self._short.plus(run.step, -1)
        step = step_key(run.task)
        self._per_step[step] -= 1
        if not self._per_step[step]:
            del self._per_step[step]
        return run

    def clock_now_ms(self, now: float) -> float:
        """Returns its clock as estimated, never ahead of the true one.

        Its last answer was already on its way when it arrived here.
        """
        return self.clock_ms + (now - self.clock_at) * 1000


def step_key(task: jobs.TaskName) -> tuple[str, int, int]:
    """Returns what tells the step of a task from any other."""
    return task.job_id, task.occurrence, task.step
