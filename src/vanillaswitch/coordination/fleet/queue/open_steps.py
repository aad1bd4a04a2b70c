"""Open steps of jobs, and the tasks of these steps."""

from collections.abc import Sequence
import enum
from typing import TYPE_CHECKING

from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import task_counts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

if TYPE_CHECKING:
    from vanillaswitch.coordination.fleet.queue import job_tracker


class TaskState(enum.StrEnum):
    """State of a task."""

    WAITING = "w"
    ASSIGNED = "a"
    DONE = "d"


class Task:
    """One task of an open step.

    Attributes:
        instance: where the current run is; empty while the task waits.
        failed_runs: number of runs that ended as failed.
        last_counted_run: highest run whose failure was counted.
        avoided_instances: instances on which the task failed.
        crashes: crashes of instances during its runs.
        is_suspect: whether it may crash the instance that starts it next; see
            ``crash_evidence``.
        not_before: monotonic seconds before which the task must not start. The
            owner waits until it knows which other instances were lost together
            with the task's last one.
        born_ms: boot time of the instance incarnation that its run was
            assigned to.
    """

    __slots__ = (
        "avoided_instances",
        "born_ms",
        "crashes",
        "failed_runs",
        "instance",
        "is_suspect",
        "last_counted_run",
        "name",
        "not_before",
        "_checkpoint",
        "_counts",
        "_run",
        "_state",
    )

    def __init__(self, name: jobs.TaskName, counts: task_counts.TaskCounts):
        """Creates a task that waits for its first run.

        Args:
            name: its name.
            counts: counts the tasks of its step, this one included; updated
                whenever the task changes.
        """
        self.name = name
        self.instance = ""
        self.failed_runs = 0
        self.last_counted_run = 0
        self.avoided_instances: set[str] = set()
        self.crashes: list[crash_evidence.Crash] = []
        self.is_suspect = False
        self.not_before = 0.0
        self.born_ms: int | None = None
        self._counts = counts
        self._state = TaskState.WAITING
        self._run = 0
        self._checkpoint = ""

    @property
    def state(self) -> TaskState:
        """Whether it waits, has a current run or is done."""
        return self._state

    @state.setter
    def state(self, state: TaskState) -> None:
        self._update(state, self._run, self._checkpoint)

    @property
    def run(self) -> int:
        """Number of the current or the last run; 0 before the first start."""
        return self._run

    @run.setter
    def run(self, run: int) -> None:
        self._update(self._state, run, self._checkpoint)

    @property
    def checkpoint(self) -> str:
        """Newest known checkpoint; empty for none."""
        return self._checkpoint

    @checkpoint.setter
    def checkpoint(self, checkpoint: str) -> None:
        self._update(self._state, self._run, checkpoint)

    def assign(self, run: int, instance: str, born_ms: int | None) -> None:
        """Assigns a new run of the task to an instance.

        Args:
            run: number of the run.
            instance: where it is to run.
            born_ms: boot time of the instance's incarnation, if it is known.
        """
        self._update(TaskState.ASSIGNED, run, self._checkpoint)
        self.instance = instance
        self.born_ms = born_ms

    def _update(self, state: TaskState, run: int, checkpoint: str) -> None:
        self._counts.remove(self._kind)
        self._state, self._run, self._checkpoint = state, run, checkpoint
        self._counts.add(self._kind)

    @property
    def _kind(self) -> task_counts.Kind:
        return task_counts.Kind(
            self._state is TaskState.WAITING,
            self._state is TaskState.DONE,
            self._run > 0,
            len(self._checkpoint),
        )

    def is_current(self, run: int, instance: str) -> bool:
        """Whether a run is the one that the task is assigned to.

        Args:
            run: number of the run.
            instance: where it is.
        """
        return (
            self.state is TaskState.ASSIGNED
            and self.run == run
            and self.instance == instance
        )

    def is_superseded(self, run: int) -> bool:
        """Whether a newer run of the task was assigned after a run.

        Args:
            run: number of the run.
        """
        return run < self.run

    def record_crash(self, crash: crash_evidence.Crash) -> bool:
        """Records a crash, once per run.

        Returns:
            Whether no crash was recorded for that run before.
        """
        if any(known.run == crash.run for known in self.crashes):
            return False
        self.crashes.append(crash)
        self.is_suspect = crash_evidence.is_suspect(self.crashes)
        return True

    def remove_crash(self, run: int) -> None:
        """Removes the crash of a run that its instance reports after all."""
        remaining = [known for known in self.crashes if known.run != run]
        if len(remaining) < len(self.crashes):
            self.crashes = remaining
            self.is_suspect = crash_evidence.is_suspect(remaining)


class OpenStep:
    """A step of one occurrence whose tasks may run.

    Attributes:
        reserved_instance: name of the instance that is reserved for a task of
            it; empty for none.
        has_crashed: whether an instance was lost while it ran one of the step's
            tasks, or a task of another job with the same image.
        demand: resources that each task reserves.
        counts: its tasks by state, always up to date.
        has_proven_task: whether one of its tasks is done or has had a proven
            run; see ``crash_evidence``.
    """

    __slots__ = (
        "counts",
        "demand",
        "has_crashed",
        "entry",
        "reserved_instance",
        "number",
        "occurrence",
        "step",
        "has_proven_task",
        "_opened",
    )

    def __init__(
        self,
        entry: "job_tracker.JobEntry",
        occurrence: int,
        number: int,
        step: jobs.Step,
    ):
        self.entry = entry
        self.occurrence = occurrence
        self.number = number
        self.step = step
        self.demand = task_demand(step)
        self.reserved_instance = ""
        self.has_crashed = False
        self.has_proven_task = False
        self.counts = task_counts.TaskCounts(step.count, entry.counts)
        self._opened: list[Task] = []

    @property
    def key(self) -> tuple[str, int, int]:
        """Job, occurrence and number of the step."""
        return self.entry.job.job_id, self.occurrence, self.number

    @property
    def is_open(self) -> bool:
        """Whether its job has not ended and not all of its tasks are done."""
        key = (self.occurrence, self.number)
        return self.entry.open_steps_by_key.get(key) is self

    @property
    def tasks(self) -> Sequence[Task]:
        """All tasks, in order of their index."""
        self._open_to(self.step.count)
        return self._opened

    @property
    def opened_tasks(self) -> Sequence[Task]:
        """The first tasks, in order; the others have never been started.

        A step may have thousands of tasks, of which few start at a time. So a
        task is created when it is first needed.
        """
        return self._opened

    def task(self, index: int) -> Task:
        """Returns a task by its index."""
        self._open_to(index + 1)
        return self._opened[index]

    def _open_to(self, stop: int) -> None:
        """Creates the tasks below an index."""
        job_id = self.entry.job.job_id
        for index in range(len(self._opened), stop):
            name = jobs.TaskName(job_id, self.occurrence, self.number, index)
            self._opened.append(Task(name, self.counts))

    @property
    def first_waiting_task(self) -> Task:
        """The first task without a current run, which must exist."""
        for task in self._opened:
            if task.state is TaskState.WAITING:
                return task
        return self.task(len(self._opened))

    @property
    def waiting_tasks(self) -> list[Task]:
        """Tasks without a current run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    @property
    def waiting_count(self) -> int:
        """Number of tasks without a current run."""
        return self.counts.waiting

    @property
    def suspect_tasks(self) -> list[Task]:
        """Waiting tasks to start in isolation, most crashes first."""
        if not self.has_crashed or not self.has_waiting_task:
            return []
        found = [
            task
            for task in self._opened
            if task.is_suspect and task.state is TaskState.WAITING
        ]
        return sorted(found, key=lambda task: -len(task.crashes))

    def startable_tasks(self, limit: int) -> list[Task]:
        """Returns waiting tasks that may start without isolation.

        Tasks of a step behave alike. Until one of them is proven, suspect tasks
        run in isolation one at a time and the others wait. A gang runs in
        isolation as a whole.

        Args:
            limit: how many the caller needs; there may be more.
        """
        if not self.has_crashed:
            return self._restarts_first(self._open_waiting(limit))
        suspected = any(task.is_suspect for task in self._opened)
        if suspected and (self.step.gang or not self.has_proven_task):
            return []
        return self._restarts_first(
            [task for task in self.waiting_tasks if not task.is_suspect]
        )

    def _open_waiting(self, limit: int) -> list[Task]:
        """Returns up to ``limit`` waiting tasks at least, creating some."""
        unopened = self.step.count - len(self._opened)
        missing = limit - (self.counts.waiting - unopened)
        if missing > 0:
            self._open_to(len(self._opened) + min(missing, unopened))
        return [
            task for task in self._opened if task.state is TaskState.WAITING
        ]

    def _restarts_first(self, tasks: list[Task]) -> list[Task]:
        """Returns tasks of a wide job with those that were started first.

        Starting these again does not make the job's document larger.
        """
        if not self.entry.is_wide:
            return tasks
        return sorted(tasks, key=lambda task: task.run == 0)

    @property
    def has_waiting_task(self) -> bool:
        """Whether any task has no current run."""
        return self.counts.waiting > 0

    @property
    def has_startable_task(self) -> bool:
        """Whether any waiting task may start without isolation."""
        if not self.has_crashed:
            return self.has_waiting_task
        return bool(self.startable_tasks(1))

    @property
    def is_done(self) -> bool:
        """Whether every task is done."""
        return self.counts.done == self.step.count

    @property
    def failure_count(self) -> int:
        """Failed runs of a gang in total, else of the task with the most."""
        counts = [task.failed_runs for task in self._opened]
        return sum(counts) if self.step.gang else max(counts, default=0)


def task_demand(step: jobs.Step) -> fleet.Resources:
    """Returns the resources that a task of a step reserves.

    Filler tasks reserve no processor time, because they use only what others
    leave unused.
    """
    return fleet.Resources(0 if step.fills else step.cpu, step.mem_mb, step.gpu)
