"""What the owner knows of every accepted job and of its tasks.

The book decides nothing about where tasks run. It knows which tasks may run
now, takes note of how runs ended, and packs what must outlive the owner into
one row for each job.
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
    """Where a task stands."""

    WAITING = "w"
    ASSIGNED = "a"
    DONE = "d"


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a step that has begun its turn.

    Attributes:
        run: highest run number given out; 0 before the first start.
        instance: where the current run is; empty while it waits.
        failed: runs that ended as failed.
        counted_run: highest run whose failure was counted.
        saved: newest checkpoint known.
        avoid: instances on which it failed.
        crashes: instances that were lost under its runs.
        suspect: it may crash the instance that starts it next.
        judged_at: monotonic seconds until which it does not start: what else
            was lost with its last instance is not known before.
        born_ms: start of the life of the instance that its run was meant for.
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
        """Takes note of a crash, once for each run; whether it is new."""
        if any(known.run == crash.run for known in self.crashes):
            return False
        self.crashes.append(crash)
        self.suspect = crash_evidence.makes_suspect(self.crashes)
        return True

    def withdraw_crash(self, run: int) -> None:
        """Drops the crash under a run that its instance tells of after all."""
        self.crashes = [known for known in self.crashes if known.run != run]
        self.suspect = crash_evidence.makes_suspect(self.crashes)


class OpenStep:
    """A step of one occurrence whose tasks may run.

    Attributes:
        held: instance that is kept free for it; empty for none.
        crashed: an instance was lost under a task of it, or under one of a
            job with the same image.
        works: a task of it has worked for a while, or is done.
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
        """The tasks that have no run."""
        return [task for task in self.tasks if task.state is TaskState.WAITING]

    @property
    def suspects(self) -> list[Task]:
        """Waiting tasks that start apart, the most suspected first."""
        if not self.crashed:
            return []
        found = [task for task in self.waiting if task.suspect]
        return sorted(found, key=lambda task: -len(task.crashes))

    @property
    def startable(self) -> list[Task]:
        """Waiting tasks that may start anywhere.

        Tasks of a step behave alike: as long as none of them was seen to
        work, one after the other is tried, and the others wait. A gang is
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
        """Whether any task has no run."""
        return any(task.state is TaskState.WAITING for task in self.tasks)

    @property
    def done(self) -> bool:
        """Whether every task has ended as done."""
        return all(task.state is TaskState.DONE for task in self.tasks)

    @property
    def failures(self) -> int:
        """Failed runs of the task, or of the gang, that failed most."""
        counts = [task.failed for task in self.tasks]
        return sum(counts) if self.step.gang else max(counts)


class Entry:
    """One accepted job.

    Attributes:
        heard_at: monotonic seconds at which the owner heard of it.
        handed_in_at: monotonic seconds at which its entry took it in.
        ended_ms: when its end was written, on the store's steady clock; 0
            where that is not known.
        started: a task of it was given to an instance.
        begun: a task of it has begun, by the word of its instance. An owner
            that can't send what it decided has jobs started and not begun.
        spec: text that its instances are given; None until it is read.
        whole_ms: its longest chain of work; None until it is worked out.
        left_ms: the longest chain that is left, by occurrence, as far as it
            was worked out since a step was last done.
        given_up: crashes for which it was given up.
    """

    def __init__(self, job: jobs.Job, now: float, age_s: float = 0.0):
        """Makes an entry for a job none of whose steps is open yet.

        Args:
            job: the job.
            now: monotonic seconds at which the owner heard of it.
            age_s: how long before that its entry took it in.
        """
        self.job = job
        self.spec = None if job.spec_digest else job.spec
        self.heard_at = now
        self.handed_in_at = now - age_s
        self.ended: jobs.JobState | None = None
        self.started = False
        self.begun = False
        self.shown = jobs.JobState.QUEUED
        self.version = 0
        self.ended_ms = 0.0
        self.whole_ms: float | None = None
        self.left_ms: dict[int, float] = {}
        self.open: dict[tuple[int, int], OpenStep] = {}
        self.given_up: tuple[crash_evidence.Crash, ...] = ()
        self._may_open = True
        self._done: set[tuple[int, int]] = set()
        self._opened: set[tuple[int, int]] = set()

    @property
    def state(self) -> jobs.JobState:
        """The state that is true now; ``shown`` is the one recorded."""
        if self.ended is not None:
            return self.ended
        return jobs.JobState.RUNNING if self.started else jobs.JobState.QUEUED

    def open_steps(self, wall_ms: float) -> Iterable[OpenStep]:
        """Opens the steps whose turn has come and returns all open ones."""
        if self.ended is not None:
            return ()
        # Only time or the end of a step opens another one; looked for at each
        # plan, that took a quarter of a plan of 400 waiting jobs.
        if self._may_open or self.job.repeat_count:
            self._may_open = False
            for occurrence in range(self.job.occurrences):
                if self.job.due_ms(occurrence) > wall_ms:
                    break
                self._open_occurrence(occurrence)
        return self.open.values()

    def next_due_ms(self) -> float | None:
        """Returns when the next occurrence that has not begun is due."""
        for occurrence in range(self.job.occurrences):
            if (occurrence, 0) not in self._opened:
                return self.job.due_ms(occurrence)
        return None

    def task(self, name: jobs.TaskName) -> Task | None:
        """Returns a task of an open step."""
        step = self.open.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < len(step.tasks):
            return None
        return step.tasks[name.index]

    def is_done(self, occurrence: int, number: int) -> bool:
        """Whether a step has been done as a whole."""
        return (occurrence, number) in self._done

    def close_step(self, step: OpenStep) -> None:
        """Takes note that a step is done; the job may be done with it."""
        key = (step.occurrence, step.number)
        del self.open[key]
        self._done.add(key)
        self._may_open = True
        self.left_ms.clear()
        if len(self._done) == self.job.occurrences * len(self.job.steps):
            self.ended = jobs.JobState.COMPLETED

    def end(self, state: jobs.JobState) -> None:
        """Ends the job early; its open steps are no longer wanted."""
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
        """Returns what a later owner has to know, as a document.

        Args:
            store_ms: the store's steady clock, taken as the end of a job that
                has just ended; 0 where it is not known.
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
        # Apart from the rows of tasks, which earlier versions read as well.
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
        """Restores what ``pack`` returned.

        Returns:
            Why it can't be; the entry is of no use then.
        """
        try:
            self._unpack(document)
        except unusable.WRONG_FIELDS as error:
            return unusable.Unusable(f"no progress of ours: {error!r}")
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
            self._restore(*row)
        for row in document.get("evidence", ()):
            self._restore_evidence(*row)

    def _restore(
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
    """All accepted jobs, and which of them have to be written."""

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
        """Returns a job's entry."""
        return self._entries.get(job_id)

    def add(self, entry: Entry) -> None:
        """Takes a job in."""
        self._entries[entry.job.job_id] = entry
        if entry.ended is None:
            self._live[entry.job.job_id] = entry

    def remove(self, job_id: str) -> None:
        """Forgets an ended job whose rows were removed."""
        self._entries.pop(job_id, None)
        self._live.pop(job_id, None)

    def touch(self, entry: Entry) -> None:
        """Notes that an entry's row has to be written."""
        self._dirty[entry.job.job_id] = entry
        if entry.ended is not None:
            self._live.pop(entry.job.job_id, None)

    def take_dirty(self, limit: int) -> list[Entry]:
        """Returns entries to be written, at most ``limit``, oldest first."""
        taken = list(self._dirty.values())[:limit]
        for entry in taken:
            del self._dirty[entry.job.job_id]
        return taken

    @property
    def has_dirty(self) -> bool:
        """Whether any entry has to be written."""
        return bool(self._dirty)

    def pending(self, queue: str) -> int:
        """Returns how many jobs without times wait for their first start.

        A job counts until a task of it has begun. Counted by what was decided,
        a queue looked empty while its owner could not send or write its
        starts, and clients that ask before they hand in were misled.
        """
        return sum(
            1
            for entry in self._live.values()
            if entry.job.queue == queue
            and not entry.begun
            and not entry.job.repeat_count
        )


def has_ended(document: Mapping[str, Any]) -> bool:
    """Whether the job had ended whose row ``Entry.pack`` returned."""
    return bool(document.get("ended"))


def need(step: jobs.Step) -> fleet.Resources:
    """Returns what a task of a step takes of an instance's room."""
    return fleet.Resources(0 if step.fills else step.cpu, step.mem_mb, step.gpu)
