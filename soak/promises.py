"""What callers and instances must see, whatever fails.

Everything is judged from outside: what clients were answered, and what
instances were told to start and listed as ended.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses

from standins import edge_http
from standins import leased_instance
from standins import relays
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import requests

CANCEL_S = 3.0
"""Time after which tasks of a cancelled job start no more. One may where a link
held its start back from before the cancel was acknowledged until after it."""

NOTICE_S = 4.5
"""A lasting task that was not at work for so long is away; one that an order
ended is away at once. As the settings of the processes say by default."""

AT_WORK = 100.0
"""Percent that a lasting task shows while it serves."""

CAPACITY = fleet.Resources(16_000, 32_768)
"""Room of each instance of the stand-in platform."""

ROOM_S = 3.0 + edge_http.HEARTBEAT_S
"""Time in which a room that has shrunk becomes known."""

MAX_BLOCKING_S = owner_monitor.TERM_TIMEOUT_S / 16
"""Processor time for which a process may answer nobody. On an eighth of a core
it takes half of the time after which an owner counts as lost."""

MOST_CRASHES = 3
MOST_STARTS_AFTERWARDS = 2
"""After so many crashes under it a task is started so often more at most."""

OVERLOADED = 429
REFUSALS = (OVERLOADED, 503)
"""Answers by which a job does not run."""

GIVE_UP_CRASHES = 2
"""Crashes after which a job may be shown as failed."""


@dataclasses.dataclass
class JobRecord:
    """A job and what its client was told.

    Attributes:
        accepted_at: when the first acceptance arrived; None for never.
        refusals: hand-ins that were answered "not run".
        unknown: hand-ins without such an answer or an acceptance.
        last_status: of the answer to the last hand-in; 0 without one.
        cancelled_at: when the acknowledgement of its cancel arrived.
        shown: the newest state that was read.
        crashes: its tasks crash the instances that start them.
    """

    job: jobs.Job
    accepted_at: float | None = None
    refusals: int = 0
    unknown: int = 0
    last_status: int = 0
    cancel_sent: bool = False
    cancelled_at: float | None = None
    shown: str = ""
    crashes: bool = False


JudgeAnswer = Callable[[JobRecord, requests.Answer, float, bool], None]
"""Judges an answer to a copy of a job; see ``overload.Overload``."""


class Promises(edge_http.Observer):
    """Collects what is seen, and says what was broken."""

    def __init__(self, clock: "Clock"):
        self._clock = clock
        self._broken: list[str] = []
        self._instances: dict[str, leased_instance.LeasedInstance] = {}
        self._started: dict[jobs.TaskName, int] = {}
        self._idle_since: dict[jobs.TaskName, float] = {}
        self._by_order: set[jobs.TaskName] = set()
        self._crashes: dict[jobs.TaskName, int] = {}
        self._after_crashes: dict[jobs.TaskName, int] = {}
        self._rooms: dict[str, tuple[fleet.Resources, float]] = {}
        self._orders: dict[jobs.TaskName, list[str]] = {}
        self.records: dict[str, JobRecord] = {}
        self.judge_answer: JudgeAnswer = lambda *_: None
        self.judge_start: Callable[[fleet.StartRequest], None] = lambda _: None

    @property
    def now(self) -> float:
        """Seconds since the soak began."""
        return self._clock.now

    @property
    def broken(self) -> list[str]:
        """What was broken, in order."""
        return self._broken

    def watch(self, model: leased_instance.LeasedInstance) -> None:
        """Watches one more instance."""
        self._instances[model.registration.instance] = model

    def breach(self, promise: str, text: str) -> None:
        """Takes note of a broken promise."""
        self._broken.append(f"{self._clock.now:.2f} s {promise}: {text}")

    def need(self, order: fleet.StartRequest) -> fleet.Resources:
        """Returns the room that a task takes."""
        record = self.records.get(order.task.job_id)
        if record is None:
            return fleet.Resources(0, 0)
        step = record.job.steps[order.task.step]
        return fleet.Resources(step.cpu, step.mem_mb)

    def crashes(self, order: fleet.StartRequest) -> bool:
        """Whether a task crashes its instance; counts those that do."""
        record = self.records.get(order.task.job_id)
        if record is None or not record.crashes:
            return False
        self._crashes[order.task] = self._crashes.get(order.task, 0) + 1
        return True

    def shrink(self, instance: str, room: fleet.Resources) -> None:
        """Takes note that an instance has less room from now on."""
        self._rooms[instance] = (room, self.now + ROOM_S)

    def grow(self, instance: str) -> None:
        """Takes note that an instance has its usual room again."""
        self._rooms.pop(instance, None)

    def _room(self, instance: str) -> fleet.Resources:
        room, counts_at = self._rooms.get(instance, (CAPACITY, 0.0))
        return room if self.now >= counts_at else CAPACITY

    @property
    def at_work(self) -> set[jobs.TaskName]:
        """Lasting tasks that serve."""
        return {
            run.task
            for model in self._instances.values()
            if model.up
            for run in list(model.running.values())
            if run.percent >= AT_WORK
        }

    def look(self) -> None:
        """Takes note of which lasting tasks are at work."""
        at_work = self.at_work
        self._by_order -= at_work
        for record in list(self.records.values()):
            if not _lasts(record.job):
                continue
            for index in range(record.job.steps[0].count):
                task = jobs.TaskName(record.job.job_id, 0, 0, index)
                if task in at_work:
                    self._idle_since.pop(task, None)
                else:
                    self._idle_since.setdefault(task, self.now)

    def lasts(self, order: fleet.StartRequest) -> bool:
        """Whether a task runs until it is stopped."""
        return self.is_long_running(order.task)

    def is_long_running(self, task: jobs.TaskName) -> bool:
        """Whether a task has to run until its job is cancelled."""
        record = self.records.get(task.job_id)
        return record is not None and _lasts(record.job)

    def ends_by_order(self, instance: str, task: jobs.TaskName) -> None:
        """Judges an order that ends a task."""
        record = self.records.get(task.job_id)
        if record is None or not _lasts(record.job) or record.cancel_sent:
            return
        if task not in self.at_work:
            return
        step = record.job.steps[0]
        others = [
            dataclasses.replace(task, index=index)
            for index in range(step.count)
            if index != task.index
        ]
        away = [name.path_in_job for name in others if self._is_away(name)]
        if len(away) >= step.may_miss:
            self.breach("spared", f"{task} on {instance} ends beside {away}")
        self._by_order.add(task)

    def _is_away(self, task: jobs.TaskName) -> bool:
        since = self._idle_since.get(task, self.now)
        return task in self._by_order or self.now - since >= NOTICE_S

    def received(
        self,
        instance: str,
        task: jobs.TaskName,
        order: str,
        passage: relays.Passage | None,
    ) -> None:
        """Takes note of an order that reached an instance."""
        sent = f", sent {passage.arrived_at:.2f}" if passage else ""
        passed = f", passed {passage.passed_at:.2f}" if passage else ""
        self._orders.setdefault(task, []).append(
            f"{order} on {instance} at {self.now:.2f}{sent}{passed}"
        )

    def started(
        self,
        instance: str,
        order: fleet.StartRequest,
        passage: relays.Passage | None = None,
    ) -> None:
        """Judges a start by all that was seen before it."""
        record = self.records.get(order.task.job_id)
        task = order.task
        self._started[task] = self._started.get(task, 0) + 1
        if record is None or task.step >= len(record.job.steps):
            self.breach("asked", f"{task} was never handed in")
            return
        if order.spec != record.job.spec:
            self.breach("asked", f"{task} with another spec")
        self._judge_cancel(record, task, passage)
        self._judge_once(instance, task)
        self._judge_order(record, task)
        self._judge_crashes(task)
        used, room = self._instances[instance].used, self._room(instance)
        if used.cpu > room.cpu or used.mem_mb > room.mem_mb:
            self.breach("room", f"{instance} holds {used} of {room}")
        self.judge_start(order)

    def running_steps(self) -> Iterator[tuple[jobs.Job, jobs.Step]]:
        """Yields the job and the step of each task that runs."""
        for model in self._instances.values():
            for run in list(model.running.values()) if model.up else ():
                record = self.records.get(run.task.job_id)
                if record is not None:
                    yield record.job, record.job.steps[run.task.step]

    def _judge_crashes(self, task: jobs.TaskName) -> None:
        if self._crashes.get(task, 0) < MOST_CRASHES:
            return
        starts = self._after_crashes.get(task, 0) + 1
        self._after_crashes[task] = starts
        if starts > MOST_STARTS_AFTERWARDS:
            self.breach("crashes", f"{task} starts again, time {starts}")

    def _may_fail(self, record: JobRecord) -> bool:
        """Whether instances enough have crashed under a task of a job."""
        return any(
            task.job_id == record.job.job_id and crashes >= GIVE_UP_CRASHES
            for task, crashes in self._crashes.items()
        )

    def _judge_cancel(
        self,
        record: JobRecord,
        task: jobs.TaskName,
        passage: relays.Passage | None,
    ) -> None:
        since = record.cancelled_at
        if since is None or self._clock.now <= since + CANCEL_S:
            return
        # The platform may carry out an unanswered call after newer ones.
        if passage and passage.arrived_at < since < passage.passed_at:
            return
        self.breach(
            "cancel",
            f"{task} started after its cancel at {since:.2f};"
            f" orders: {'; '.join(self._orders.get(task, []))}",
        )

    def _judge_once(self, instance: str, task: jobs.TaskName) -> None:
        for name, model in self._instances.items():
            if name != instance and model.up and task in model.running:
                self.breach("once", f"{task} on {instance} and {name}")
        # A long-running task has to start again however it ends.
        if self._is_done(task) and not self.is_long_running(task):
            self.breach("once", f"{task} on {instance} after it was done")

    def _judge_order(self, record: JobRecord, task: jobs.TaskName) -> None:
        for number in record.job.steps[task.step].after:
            for index in range(record.job.steps[number].count):
                name = dataclasses.replace(task, step=number, index=index)
                if not self._has_ended_done(name):
                    self.breach("order", f"{task} before {name}")

    def _is_done(self, task: jobs.TaskName) -> bool:
        """Whether an end as done was taken note of."""
        return any(
            end.task == task and end.outcome is fleet.RunOutcome.DONE
            for model in self._instances.values()
            for end in model.noted
        )

    def _has_ended_done(self, task: jobs.TaskName) -> bool:
        return any(
            end.task == task and end.outcome is fleet.RunOutcome.DONE
            for model in self._instances.values()
            for end in model.listed
        )

    def answered(self, record: JobRecord, state: str | None) -> None:
        """Judges the state of an accepted job; None when it is unknown."""
        job_id = record.job.job_id
        if state is None:
            self.breach("kept", f"{job_id} was accepted and is not known")
            return
        record.shown = state
        if state == jobs.JobState.FAILED and not self._may_fail(record):
            self.breach("kept", f"{job_id} failed and no task of it did")
        if state == jobs.JobState.CANCELLED and not record.cancel_sent:
            self.breach("kept", f"{job_id} was cancelled by nobody")
        if state == jobs.JobState.COMPLETED and not self._all_done(record):
            self.breach("shown", f"{job_id} as completed too early")

    def _all_done(self, record: JobRecord) -> bool:
        return all(
            self._has_ended_done(jobs.TaskName(record.job.job_id, 0, at, index))
            for at, step in enumerate(record.job.steps)
            for index in range(step.count)
        )

    def judge_refusals(self, by_last: bool = False) -> None:
        """Finds jobs that ran although every hand-in was refused.

        Args:
            by_last: a last hand-in that was refused for load counts for all of
                them, also for those without an answer. A process that refuses
                one because it can't check the API key or reach the store knows
                nothing of the others.
        """
        ran = {task.job_id for task in self._started}
        for record in self.records.values():
            refused = record.refusals and not record.unknown
            if by_last and record.last_status == OVERLOADED:
                refused = True
            accepted = record.accepted_at is not None
            if refused and not accepted and record.job.job_id in ran:
                self.breach(
                    "refused",
                    f"{record.job.job_id} ran; its last answer was "
                    f"{record.last_status}, {record.unknown} copies had none",
                )


def _lasts(job: jobs.Job) -> bool:
    return job.steps[0].long_running


@dataclasses.dataclass
class Clock:
    """Seconds since the soak began; moved by the world."""

    now: float = 0.0
