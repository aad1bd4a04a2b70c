"""The owner's records of all accepted jobs and their tasks.

These records do not decide where tasks run. They track which tasks may run now
and how runs ended, and pack the state that a later owner needs into one row
per job.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any

from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable


class TaskState(enum.StrEnum):
    """State of a task."""

    WAITING = "w"
    ASSIGNED = "a"
    DONE = "d"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of an open step.

    Attributes:
        run: highest run number assigned so far; 0 before the first start.
        instance: where the current run is; empty while the task waits.
        failed: number of runs that ended as failed.
        counted_run: highest run whose failure was counted.
        saved: newest known checkpoint.
        avoid: instances on which the task failed.
        crashes: crashes of instances during its runs.
        suspect: whether it may crash the instance that starts it next.
        judged_at: monotonic seconds before which the task must not start.
            Which other instances were lost with its last one is not known
            earlier.
        born_ms: boot time of the instance incarnation that its run was
            assigned to.
    """

    name: jobs.TaskName
    state: TaskState = TaskState.WAITING
    run: int = 0
    instance: str = ""
    failed: int = 0
    counted_run: int = 0
    saved: str = ""
    avoid: set[str] = dataclasses.field(default_factory=set)
    crashes: list[crash_evidence.Crash] = dataclasses.field(
        default_factory=list
    )
    suspect: bool = False
    judged_at: float = 0.0
    born_ms: int | None = None

    def add_crash(self, crash: crash_evidence.Crash) -> bool:
        """Records a crash, once per run.

        Returns:
            Whether no crash was recorded for that run before.
        """
        if any(known.run == crash.run for known in self.crashes):
            return False
        self.crashes.append(crash)
        self.suspect = crash_evidence.is_suspect(self.crashes)
        return True

    def withdraw_crash(self, run: int) -> None:
        """Removes the crash of a run that its instance reports after all."""
        self.crashes = [known for known in self.crashes if known.run != run]
        self.suspect = crash_evidence.is_suspect(self.crashes)


class OpenStep:
    """A step of one occurrence whose tasks may run.

    Attributes:
        held: name of the instance that is reserved for it; empty for none.
        crashed: whether an instance was lost while it ran one of the step's
            tasks, or a task of another job with the same image.
        works: whether one of its tasks is done or ran long enough to show
            that it does not crash its instance.
    """

    __slots__ = (
        "crashed",
        "entry",
        "held",
        "number",
        "occurrence",
        "step",
        "tasks",
        "works",
    )

    def __init__(
        self, entry: "Entry", occurrence: int, number: int, step: jobs.Step
    ):
        self.entry = entry
        self.occurrence = occurrence
        self.number = number
        self.step = step
        self.held = ""
        self.crashed = False
        self.works = False
        job_id = entry.job.job_id
        self.tasks = [
            Task(jobs.TaskName(job_id, occurrence, number, index))
            for index in range(step.count)
        ]

    @property
    def waiting(self) -> list[Task]:
        """Tasks without a current run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    @property
    def suspects(self) -> list[Task]:
        """Waiting tasks to start in isolation, most crashes first."""
        if not self.crashed:
            return []
        found = [task for task in self.waiting if task.suspect]
        return sorted(found, key=lambda task: -len(task.crashes))

    @property
    def startable_tasks(self) -> list[Task]:
        """Waiting tasks that may start without isolation.

        Tasks of a step behave alike. Until one of them has run long enough,
        suspect tasks are tried one at a time and the others wait. A gang is
        tried as a whole.
        """
        if not self.crashed:
            return self.waiting
        suspected = any(task.suspect for task in self.tasks)
        if suspected and (self.step.gang or not self.works):
            return []
        return [task for task in self.waiting if not task.suspect]

    @property
    def waits(self) -> bool:
        """Whether any task has no current run."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    @property
    def done(self) -> bool:
        """Whether every task is done."""
        return all(task.state is TaskState.DONE for task in self.tasks)

    @property
    def failures(self) -> int:
        """Failed runs of a gang in total, else of the task with the most."""
        counts = [task.failed for task in self.tasks]
        return sum(counts) if self.step.gang else max(counts)


class Entry:
    """Record of one accepted job.

    Attributes:
        heard_at: monotonic seconds at which the owner received it.
        submitted_at: monotonic seconds at which an entry process accepted it.
        ended: final state; None until the job has ended.
        shown: state that was last written to the store.
        ended_ms: when its end was written, on the store's steady clock; 0
            if unknown.
        started: whether a task of it was assigned to an instance.
        begun: whether an instance confirmed that a task of it has started.
            While an owner can't send its decisions, jobs are assigned but not
            started.
        spec: text that its instances are given; None until it is read.
        critical_path_ms: its critical path; None until it is computed.
        remaining_path_ms: remaining critical path by occurrence, as far as
            computed since a step was last done.
        given_up: the crashes that made the job fail.
    """

    def __init__(self, job: jobs.Job, now: float, age_s: float = 0.0):
        """Creates the record of a job without any open step.

        Args:
            job: the job.
            now: monotonic seconds at which the owner received it.
            age_s: seconds between its acceptance by an entry process and
                ``now``.
        """
        self.job = job
        self.spec = None if job.spec_digest else job.spec
        self.heard_at = now
        self.submitted_at = now - age_s
        self.ended: jobs.JobState | None = None
        self.started = False
        self.begun = False
        self.shown = jobs.JobState.QUEUED
        self.version = 0
        self.ended_ms = 0.0
        self.critical_path_ms: float | None = None
        self.remaining_path_ms: dict[int, float] = {}
        self.open: dict[tuple[int, int], OpenStep] = {}
        self.given_up: tuple[crash_evidence.Crash, ...] = ()
        self._may_open_steps = True
        self._done: set[tuple[int, int]] = set()
        self._opened: set[tuple[int, int]] = set()

    @property
    def state(self) -> jobs.JobState:
        """The current state; ``shown`` is the recorded one."""
        if self.ended is not None:
            return self.ended
        return jobs.JobState.RUNNING if self.started else jobs.JobState.QUEUED

    def open_steps(self, wall_ms: float) -> Iterable[OpenStep]:
        """Opens the steps that may run by now and returns all open ones.

        Args:
            wall_ms: time of day in milliseconds since 1970.
        """
        if self.ended is not None:
            return ()
        # Only a due time or the end of a step opens another one. Looking for
        # them in each plan took a quarter of a plan with 400 waiting jobs.
        if self._may_open_steps or self.job.repeat_count:
            self._may_open_steps = False
            for occurrence in range(self.job.occurrences):
                if self.job.due_ms(occurrence) > wall_ms:
                    break
                self._open_occurrence(occurrence)
        return self.open.values()

    def next_due_ms(self) -> float | None:
        """Returns when the next unopened occurrence is due, None for none."""
        for occurrence in range(self.job.occurrences):
            if (occurrence, 0) not in self._opened:
                return self.job.due_ms(occurrence)
        return None

    def task(self, name: jobs.TaskName) -> Task | None:
        """Returns a task of an open step, None if there is no such task."""
        step = self.open.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step.tasks[name.index]

    def is_done(self, occurrence: int, number: int) -> bool:
        """Whether all tasks of a step are done."""
        return (occurrence, number) in self._done

    def close_step(self, step: OpenStep) -> None:
        """Marks a step as done, and the job as completed with its last one."""
        key = (step.occurrence, step.number)
        del self.open[key]
        self._done.add(key)
        self._may_open_steps = True
        self.remaining_path_ms.clear()
        if len(self._done) == self.job.occurrences * len(self.job.steps):
            self.ended = jobs.JobState.COMPLETED

    def end(self, state: jobs.JobState) -> None:
        """Ends the job early and drops its open steps."""
        self.ended = state
        self.open.clear()

    def _open_occurrence(self, occurrence: int) -> None:
        for number, step in enumerate(self.job.steps):
            key = (occurrence, number)
            if key in self._opened:
                continue
            if all((occurrence, first) in self._done for first in step.after):
                self._opened.add(key)
                self.open[key] = OpenStep(self, occurrence, number, step)

    def pack(self, store_ms: float = 0.0) -> dict[str, Any]:
        """Returns the state that a later owner needs as a document.

        Args:
            store_ms: the store's steady clock, used as the end time of a
                job that has just ended; 0 if unknown.
        """
        if self.ended is not None and not self.ended_ms:
            self.ended_ms = store_ms
        tasks = [
            [
                step.occurrence,
                step.number,
                task.name.index,
                task.state.value,
                task.run,
                task.instance,
                task.failed,
                task.saved,
            ]
            for step in self.open.values()
            for task in step.tasks
            if task.run
        ]
        document: dict[str, Any] = {
            "ended": self.ended.value if self.ended else "",
            "ended_store_ms": self.ended_ms,
            "started": self.started,
            "done": [list(key) for key in sorted(self._done)],
            "tasks": tasks,
        }
        # Earlier versions read the rows of tasks too, so evidence is separate.
        evidence = [
            [
                step.occurrence,
                step.number,
                task.name.index,
                task.born_ms,
                _pack_crashes(task.crashes),
            ]
            for step in self.open.values()
            for task in step.tasks
            if task.crashes or task.born_ms is not None
        ]
        if evidence:
            document["evidence"] = evidence
        if self.given_up:
            document["given_up"] = _pack_crashes(self.given_up)
        return document

    def unpack(self, document: Mapping[str, Any]) -> unusable.Unusable | None:
        """Restores the state from a document that ``pack`` returned.

        Returns:
            None on success; otherwise why the document is invalid. The record
            must not be used then.
        """
        try:
            self._unpack(document)
        except unusable.WRONG_FIELDS as error:
            return unusable.Unusable(f"invalid progress document: {error!r}")
        return None

    def _unpack(self, document: Mapping[str, Any]) -> None:
        self.started = bool(document.get("started"))
        self._done = {(row[0], row[1]) for row in document.get("done", ())}
        self.begun = bool(self._done)
        self._opened = set(self._done)
        ended = document.get("ended")
        self.ended = jobs.JobState(ended) if ended else None
        self.shown = self.state
        self.ended_ms = float(document.get("ended_store_ms", 0.0))
        self.given_up = _unpack_crashes(document.get("given_up", ()))
        if self.ended is not None:
            return
        for row in document.get("tasks", ()):
            self._restore_task(*row)
        for row in document.get("evidence", ()):
            self._restore_evidence(*row)

    def _restore_task(
        self,
        occurrence: int,
        number: int,
        index: int,
        state: str,
        run: int,
        instance: str,
        failed: int,
        saved: str,
    ) -> None:
        key = (occurrence, number)
        if key not in self.open:
            self._opened.add(key)
            step = self.job.steps[number]
            self.open[key] = OpenStep(self, occurrence, number, step)
        task = self.open[key].tasks[index]
        task.state = TaskState(state)
        task.run = run
        task.instance = instance
        task.failed = failed
        task.counted_run = run if task.state is TaskState.WAITING else run - 1
        task.saved = saved

    def _restore_evidence(
        self,
        occurrence: int,
        number: int,
        index: int,
        born_ms: int | None,
        crashes: Iterable[Sequence[Any]],
    ) -> None:
        step = self.open[occurrence, number]
        task = step.tasks[index]
        task.born_ms = born_ms
        for crash in _unpack_crashes(crashes):
            task.add_crash(crash)
        step.crashed = step.crashed or bool(task.crashes)
        step.works = any(item.state is TaskState.DONE for item in step.tasks)


def _pack_crashes(
    crashes: Iterable[crash_evidence.Crash],
) -> list[list[Any]]:
    return [
        [crash.run, crash.instance, crash.kind, round(crash.worked_s, 2)]
        for crash in crashes
    ]


def _unpack_crashes(
    rows: Iterable[Sequence[Any]],
) -> tuple[crash_evidence.Crash, ...]:
    return tuple(
        crash_evidence.Crash(
            run, instance, crash_evidence.Kind(kind), float(worked_s)
        )
        for run, instance, kind, worked_s in rows
    )


class Book:
    """All accepted jobs, and those whose rows have to be written."""

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._live: dict[str, Entry] = {}
        self._dirty: dict[str, Entry] = {}

    @property
    def live(self) -> Mapping[str, Entry]:
        """The jobs that have not ended."""
        return self._live

    def __iter__(self) -> Iterator[Entry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, job_id: str) -> Entry | None:
        """Returns the record of a job, None for an unknown job."""
        return self._entries.get(job_id)

    def add(self, entry: Entry) -> None:
        """Adds a job."""
        self._entries[entry.job.job_id] = entry
        if entry.ended is None:
            self._live[entry.job.job_id] = entry

    def remove(self, job_id: str) -> None:
        """Removes an ended job whose rows were deleted."""
        self._entries.pop(job_id, None)
        self._live.pop(job_id, None)

    def touch(self, entry: Entry) -> None:
        """Marks a job's row as to be written."""
        self._dirty[entry.job.job_id] = entry
        if entry.ended is not None:
            self._live.pop(entry.job.job_id, None)

    def take_dirty(self, limit: int) -> list[Entry]:
        """Removes up to ``limit`` jobs to be written, longest marked first.

        Args:
            limit: highest number of jobs.

        Returns:
            The jobs whose rows the caller has to write.
        """
        taken = list(self._dirty.values())[:limit]
        for entry in taken:
            del self._dirty[entry.job.job_id]
        return taken

    @property
    def has_dirty(self) -> bool:
        """Whether any row has to be written."""
        return bool(self._dirty)

    def pending(self, queue: str) -> int:
        """Returns how many jobs without a schedule wait to start.

        A job counts until an instance confirms the start of one of its tasks.
        If assigned tasks counted as started, a queue would look empty while
        its owner can't send or write its starts. That would mislead clients
        that check the queue before they submit.
        """
        return sum(
            1
            for entry in self._live.values()
            if entry.job.queue == queue
            and not entry.begun
            and not entry.job.repeat_count
        )


def has_ended(document: Mapping[str, Any]) -> bool:
    """Whether a document of ``Entry.pack`` is of a job that has ended."""
    return bool(document.get("ended"))


def need(step: jobs.Step) -> fleet.Resources:
    """Returns the resources that a task of a step reserves."""
    return fleet.Resources(0 if step.fills else step.cpu, step.mem_mb, step.gpu)
