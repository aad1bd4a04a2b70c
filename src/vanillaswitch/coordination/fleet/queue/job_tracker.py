"""The owner's records of all accepted jobs and their tasks.

These records do not decide where tasks run. They track which tasks may run now
and how runs ended. The state that a later owner needs is stored as one document
per job.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
from typing import Any

from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import duration_estimates
from vanillaswitch.coordination.fleet.queue import occurrences
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import task_counts
from vanillaswitch.coordination.fleet.queue import wide_progress
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

MAX_UNSTARTED_OCCURRENCES = 32
"""Occurrences of a job that are open at once without a started task. A plan
visits each of them. The next ones open as these start, so the limit also bounds
how many occurrences one plan starts."""

MAX_OPEN_STEPS = 512
"""Limit on the steps of a job's open occurrences, done ones included. A row of
the store holds the progress of so many."""

MAX_OPEN_TASKS = 20_000
"""The same for their tasks: two occurrences of the largest job that is
accepted."""


class JobEntry:
    """Record of one accepted job.

    Attributes:
        received_at: monotonic seconds at which the owner received it.
        submitted_at: monotonic seconds at which it was accepted from the
            client.
        ended: final state; None until the job has ended.
        recorded_state: state that was last written to the store.
        ended_store_ms: when its end was written, on the store's steady clock; 0
            if unknown.
        was_assigned: whether a task of it was assigned to an instance.
        last_assigned_at: monotonic seconds at which this owner last assigned
            one; negative infinity before.
        has_started: whether an instance confirmed that a task of it has
            started. While an owner can't send its start orders, jobs are
            assigned but not started.
        spec: opaque text from the client that is sent to the instances with
            each start; None until it is read.
        critical_path_ms: estimated duration of its longest chain of steps; None
            until it is computed.
        counts: the tasks of its open steps by state, always up to date.
        remaining_path_ms: cache of the remaining critical path by open
            occurrence; loses an occurrence when a step of it is done.
        remaining_work: the same of the remaining work, in thousandths of a core
            x ms.
        fatal_crashes: the crashes that made the job fail.
        is_over_share: its client account had submitted more than its share.
        durations: learned durations of its tasks; None to use the declared
            ones.
        is_wide: it has more tasks than a plain document holds.
    """

    def __init__(self, job: jobs.Job, now: float, age_s: float = 0.0):
        """Creates the record of a job without any open step.

        Args:
            job: the job.
            now: monotonic seconds at which the owner received it.
            age_s: seconds between its acceptance from the client and ``now``.
        """
        self.job = job
        self.spec = None if job.spec_digest else job.spec
        self.received_at = now
        self.submitted_at = now - age_s
        self.ended: jobs.JobState | None = None
        self.was_assigned = False
        self.last_assigned_at = float("-inf")
        self.has_started = False
        self.recorded_state = jobs.JobState.QUEUED
        self.version = 0
        self.ended_store_ms = 0.0
        self.critical_path_ms: float | None = None
        self.remaining_path_ms: dict[int, float] = {}
        self.remaining_work: dict[int, float] = {}
        self.counts = task_counts.TaskCounts()
        self.open_steps_by_key: dict[tuple[int, int], open_steps.OpenStep] = {}
        self.fatal_crashes: tuple[crash_evidence.Crash, ...] = ()
        self.is_over_share = False
        self.durations: duration_estimates.JobDurations | None = None
        self.is_wide = (
            job.occurrence_count * sum(step.count for step in job.steps)
            > wide_progress.MAX_PLAIN_TASKS
        )
        self._paths_revision = 0
        self._progress = occurrences.Occurrences(
            job.occurrence_count, len(job.steps)
        )
        self._tasks_per_occurrence = sum(step.count for step in job.steps)
        self._first_steps = tuple(
            number for number, step in enumerate(job.steps) if not step.after
        )
        # Open occurrences without a started task, and those in which further
        # steps may open.
        self._unstarted: set[int] = set()
        self._changed: set[int] = set()

    @property
    def state(self) -> jobs.JobState:
        """The current state; may be newer than ``recorded_state``."""
        if self.ended is not None:
            return self.ended
        return (
            jobs.JobState.RUNNING if self.was_assigned else jobs.JobState.QUEUED
        )

    @property
    def max_document_bytes(self) -> int:
        """Largest usual size of its document, in bytes of JSON."""
        return wide_progress.max_bytes(self._document_load)

    def fresh_start_count(self, max_bytes: int) -> int:
        """Returns how many tasks its document has room for, besides its own.

        Tasks that were started before are in the document already.

        Args:
            max_bytes: limit on the document, in bytes of JSON.
        """
        return wide_progress.free_tasks(self._document_load, max_bytes)

    @property
    def _document_load(self) -> wide_progress.DocumentLoad:
        counts, progress = self.counts, self._progress
        as_ranges = progress.done_count > wide_progress.MAX_PLAIN_OCCURRENCES
        return wide_progress.DocumentLoad(
            counts.total,
            counts.started,
            counts.unfinished,
            counts.longest_checkpoint,
            progress.max_done_ranges if as_ranges else 0,
        )

    def _started_tasks(
        self,
    ) -> Iterator[tuple[open_steps.OpenStep, open_steps.Task]]:
        for step in self.open_steps_by_key.values():
            for task in step.opened_tasks:
                if task.run:
                    yield step, task

    def expected_ms(self, number: int) -> float:
        """Returns the estimated duration of a step's tasks in milliseconds.

        This is the declared duration unless durations are learned.

        Args:
            number: number of the step.
        """
        if self.durations is None:
            return self.job.steps[number].estimate_ms
        return self.durations.expected_ms(number)

    def drop_outdated_paths(self) -> None:
        """Empties the caches of critical paths if an estimate has changed."""
        if self.durations is None:
            return
        revision = self.durations.revision
        if revision != self._paths_revision:
            self._paths_revision = revision
            self.critical_path_ms = None
            self.remaining_path_ms.clear()
            self.remaining_work.clear()

    def open_due_steps(self, wall_ms: float) -> Collection[open_steps.OpenStep]:
        """Opens steps that may run by now and returns all open ones.

        Of the occurrences that are due, only some are opened: those that have
        started, and a few that may start next. The others follow in order.

        Args:
            wall_ms: time of day in milliseconds since 1970.
        """
        if self.ended is not None:
            return ()
        due_count = self.job.due_count(wall_ms)
        self._drop_started()
        while self._may_open_next(due_count):
            occurrence = self._progress.open_next()
            self._changed.add(occurrence)
            if not self._progress.open[occurrence]:
                self._unstarted.add(occurrence)
        for occurrence in sorted(self._changed):
            self._open_steps(occurrence)
        self._changed.clear()
        return self.open_steps_by_key.values()

    def has_more_due(self, wall_ms: float) -> bool:
        """Whether ``open_due_steps`` would open another occurrence.

        Args:
            wall_ms: time of day in milliseconds since 1970.
        """
        self._drop_started()
        return self._may_open_next(self.job.due_count(wall_ms))

    def _may_open_next(self, due_count: int) -> bool:
        following = self._progress.next_unopened
        if following is None or following >= due_count:
            return False
        open_count = len(self._progress.open) + 1
        return open_count == 1 or (
            len(self._unstarted) < MAX_UNSTARTED_OCCURRENCES
            and open_count * len(self.job.steps) <= MAX_OPEN_STEPS
            and open_count * self._tasks_per_occurrence <= MAX_OPEN_TASKS
        )

    def _drop_started(self) -> None:
        """Removes the occurrences that have started from ``_unstarted``."""
        self._unstarted = {
            occurrence
            for occurrence in self._unstarted
            if not self._has_started_task(occurrence)
        }

    def unopened_tasks(self, wall_ms: float) -> list[tuple[int, int]]:
        """Returns the tasks that wait in due occurrences that are not open.

        Args:
            wall_ms: time of day in milliseconds since 1970.

        Returns:
            Number of each step without dependencies, and of its tasks over all
            these occurrences. Empty if all due occurrences are open.
        """
        count = self._progress.count_unopened(self.job.due_count(wall_ms))
        if self.ended is not None or not count:
            return []
        return [
            (number, self.job.steps[number].count * count)
            for number in self._first_steps
        ]

    def _has_started_task(self, occurrence: int) -> bool:
        steps = (
            self.open_steps_by_key.get((occurrence, number))
            for number in self._first_steps
        )
        return any(step is None or step.counts.started for step in steps)

    def task(self, name: jobs.TaskName) -> open_steps.Task | None:
        """Returns a task of an open step, None if there is no such task."""
        step = self.open_steps_by_key.get((name.occurrence, name.step))
        if step is None or not 0 <= name.index < step.step.count:
            return None
        return step.task(name.index)

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Whether all tasks of a step are done."""
        return self._progress.is_step_done(occurrence, number)

    @property
    def done_ranges(self) -> list[list[int]]:
        """Steps that are done: rows of step, first and last occurrence."""
        return self._progress.done_ranges()

    def close_step(self, step: open_steps.OpenStep) -> None:
        """Marks a step as done, and the job as completed with its last one."""
        occurrence = step.occurrence
        del self.open_steps_by_key[occurrence, step.number]
        step.counts.detach()
        self._progress.complete_step(occurrence, step.number)
        if occurrence in self._progress.open:
            self._changed.add(occurrence)
        self.remaining_path_ms.pop(occurrence, None)
        self.remaining_work.pop(occurrence, None)
        if self._progress.is_finished:
            self.ended = jobs.JobState.COMPLETED

    def end_early(self, state: jobs.JobState) -> None:
        """Ends the job early and drops its open steps."""
        self.ended = state
        for step in self.open_steps_by_key.values():
            step.counts.detach()
        self.open_steps_by_key.clear()

    def _open_steps(self, occurrence: int) -> None:
        """Opens the steps of an open occurrence that may run."""
        done = self._progress.open.get(occurrence)
        if done is None:
            return
        for number, step in enumerate(self.job.steps):
            key = (occurrence, number)
            if (
                number not in done
                and key not in self.open_steps_by_key
                and all(other in done for other in step.after)
            ):
                self.open_steps_by_key[key] = open_steps.OpenStep(
                    self, occurrence, number, step
                )

    def to_document(self, store_ms: float = 0.0) -> dict[str, Any]:
        """Returns the state that a later owner needs as a document.

        Args:
            store_ms: the store's steady clock, used as the end time of a
                job that has just ended; 0 if unknown.
        """
        if self.ended is not None and not self.ended_store_ms:
            self.ended_store_ms = store_ms
        started = list(self._started_tasks())
        is_compact = len(started) > wide_progress.MAX_PLAIN_TASKS
        document: dict[str, Any] = {
            "ended": self.ended.value if self.ended else "",
            "ended_store_ms": self.ended_store_ms,
            "started": self.was_assigned,
        }
        if self._progress.done_count > wide_progress.MAX_PLAIN_OCCURRENCES:
            document["done_ranges"] = self._progress.done_ranges()
        else:
            document["done"] = [
                list(key) for key in self._progress.done_steps()
            ]
        if is_compact:
            document["wide"] = wide_progress.encode(
                _to_started_task(step, task) for step, task in started
            )
        else:
            document["tasks"] = [
                _encode_task(step, task) for step, task in started
            ]
        # Earlier versions of this program read ``tasks`` too and expect rows of
        # this length, so crashes are stored separately.
        evidence = [
            row
            for step in self.open_steps_by_key.values()
            for row in ([] if is_compact else _encode_evidence(step))
        ]
        if evidence:
            document["evidence"] = evidence
        if self.fatal_crashes:
            document["given_up"] = crash_evidence.encode_crashes(
                self.fatal_crashes
            )
        return document

    def load_document(
        self, document: Mapping[str, Any]
    ) -> unusable.Unusable | None:
        """Restores the state from a document that ``to_document`` returned.

        Returns:
            None on success; otherwise why the document is invalid. The record
            must not be used then.
        """
        try:
            self._load(document)
        except unusable.FIELD_ERRORS as error:
            return unusable.Unusable(f"invalid progress document: {error!r}")
        return None

    def _load(self, document: Mapping[str, Any]) -> None:
        self.was_assigned = bool(document.get("started"))
        self._progress.restore(
            [
                *document.get("done_ranges", ()),
                *((row[1], row[0], row[0]) for row in document.get("done", ())),
            ]
        )
        self.has_started = self._progress.done_count > 0
        ended = document.get("ended")
        self.ended = jobs.JobState(ended) if ended else None
        self.recorded_state = self.state
        self.ended_store_ms = float(document.get("ended_store_ms", 0.0))
        self.fatal_crashes = crash_evidence.decode_crashes(
            document.get("given_up", ())
        )
        if self.ended is not None:
            return
        for row in document.get("tasks", ()):
            self._restore_task(*row)
        for row in document.get("evidence", ()):
            self._restore_evidence(*row)
        if "wide" in document:
            self._restore_wide(document["wide"])
        for step in self.open_steps_by_key.values():
            step.has_proven_task = step.counts.done > 0

    def _restore_task(
        self,
        occurrence: int,
        number: int,
        index: int,
        state: str,
        run: int,
        instance: str,
        failed: int,
        checkpoint: str,
    ) -> None:
        key = (occurrence, number)
        if key not in self.open_steps_by_key:
            step = self.job.steps[number]
            self._progress.open_at(occurrence)
            self._changed.add(occurrence)
            self.open_steps_by_key[key] = open_steps.OpenStep(
                self, occurrence, number, step
            )
        task = self._task_at(self.open_steps_by_key[key], index)
        task.state = open_steps.TaskState(state)
        task.run = run
        task.instance = instance
        task.failed_runs = failed
        task.last_counted_run = (
            run if task.state is open_steps.TaskState.WAITING else run - 1
        )
        task.checkpoint = checkpoint

    @staticmethod
    def _task_at(step: open_steps.OpenStep, index: int) -> open_steps.Task:
        """Returns the task that a row of a document names.

        Raises:
            LookupError: there is no such task.
        """
        if not 0 <= index < step.step.count:
            raise LookupError(f"no task {index} of step {step.number}")
        return step.task(index)

    def _restore_wide(self, document: Mapping[str, Any]) -> None:
        for found in wide_progress.decode(document):
            key = (found.occurrence, found.step, found.index)
            self._restore_task(
                *key,
                found.state,
                found.run,
                found.instance,
                found.failed_runs,
                found.checkpoint,
            )
            self._restore_evidence(*key, found.born_ms, found.crashes)

    def _restore_evidence(
        self,
        occurrence: int,
        number: int,
        index: int,
        born_ms: int | None,
        crashes: Iterable[Sequence[Any]],
    ) -> None:
        step = self.open_steps_by_key[occurrence, number]
        task = self._task_at(step, index)
        task.born_ms = born_ms
        for crash in crash_evidence.decode_crashes(crashes):
            task.record_crash(crash)
        step.has_crashed = step.has_crashed or bool(task.crashes)


def _encode_task(step: open_steps.OpenStep, task: open_steps.Task) -> list[Any]:
    """Returns a task's row in a job's document.

    Every change of a job rewrites its whole document, so the row leaves out
    what nobody needs once the task is done: where it ran, unless it failed or
    crashed an instance, and its checkpoint.
    """
    is_done = task.state is open_steps.TaskState.DONE
    has_failures = bool(task.failed_runs or task.crashes)
    return [
        step.occurrence,
        step.number,
        task.name.index,
        task.state.value,
        task.run,
        "" if is_done and not has_failures else task.instance,
        task.failed_runs,
        "" if is_done else task.checkpoint,
    ]


def _to_started_task(
    step: open_steps.OpenStep, task: open_steps.Task
) -> wide_progress.StartedTask:
    """Returns what a later owner needs to know of a task."""
    return wide_progress.StartedTask(
        step.occurrence,
        step.number,
        task.name.index,
        task.state.value,
        task.run,
        task.instance,
        task.failed_runs,
        task.checkpoint,
        task.born_ms,
        crash_evidence.encode_crashes(task.crashes),
    )


def _encode_evidence(step: open_steps.OpenStep) -> list[list[Any]]:
    """Returns rows with the crashes and boot times of a step's tasks.

    Earlier versions of this program take a step with done tasks as proven only
    if it has such a row.
    """
    tasks = [
        task
        for task in step.opened_tasks
        if task.crashes
        or (
            task.born_ms is not None
            and task.state is not open_steps.TaskState.DONE
        )
    ]
    if not tasks:
        done = (
            task
            for task in step.opened_tasks
            if task.run and task.state is open_steps.TaskState.DONE
        )
        tasks = list(itertools.islice(done, 1))
    return [
        [
            step.occurrence,
            step.number,
            task.name.index,
            task.born_ms,
            crash_evidence.encode_crashes(task.crashes),
        ]
        for task in tasks
    ]


class JobTracker:
    """All accepted jobs, and those whose rows have to be written."""

    def __init__(self) -> None:
        self._entries: dict[str, JobEntry] = {}
        self._unfinished: dict[str, JobEntry] = {}
        self._dirty: dict[str, JobEntry] = {}
        # Ids of jobs without a schedule that wait to start, by queue.
        self._pending: dict[str, set[str]] = {}

    @property
    def unfinished(self) -> Mapping[str, JobEntry]:
        """The jobs that have not ended."""
        return self._unfinished

    def __iter__(self) -> Iterator[JobEntry]:
        return iter(self._entries.values())

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, job_id: str) -> JobEntry | None:
        """Returns the record of a job, None for an unknown job."""
        return self._entries.get(job_id)

    def add(self, entry: JobEntry) -> None:
        """Adds a job."""
        self._entries[entry.job.job_id] = entry
        if entry.ended is None:
            self._unfinished[entry.job.job_id] = entry
            if not entry.has_started and not entry.job.repeat_count:
                pending = self._pending.setdefault(entry.job.queue, set())
                pending.add(entry.job.job_id)

    def mark_started(self, entry: JobEntry) -> None:
        """Marks a job as started: one of its tasks runs or has run."""
        entry.has_started = True
        self._drop_pending(entry)

    def _drop_pending(self, entry: JobEntry) -> None:
        pending = self._pending.get(entry.job.queue, set())
        pending.discard(entry.job.job_id)

    def remove(self, job_id: str) -> None:
        """Removes an ended job whose rows were deleted."""
        entry = self._entries.pop(job_id, None)
        self._unfinished.pop(job_id, None)
        if entry is not None:
            self._drop_pending(entry)

    def mark_dirty(self, entry: JobEntry) -> None:
        """Marks a job whose row has to be written, because it changed."""
        self._dirty[entry.job.job_id] = entry
        if entry.ended is not None:
            self._unfinished.pop(entry.job.job_id, None)
            self._drop_pending(entry)
            # The entry is kept for status queries, which need no estimates.
            entry.durations = None

    def take_dirty(self, limit: int, max_bytes: int) -> list[JobEntry]:
        """Removes the marks of up to ``limit`` jobs, oldest marks first.

        Args:
            limit: maximum number of jobs.
            max_bytes: limit on the size of their documents together, in bytes
                of JSON; the first one is taken in any case.

        Returns:
            The jobs whose rows the caller has to write.
        """
        taken: list[JobEntry] = []
        for entry in itertools.islice(self._dirty.values(), limit):
            max_bytes -= entry.max_document_bytes
            if max_bytes < 0 and taken:
                break
            taken.append(entry)
        for entry in taken:
            del self._dirty[entry.job.job_id]
        return taken

    @property
    def has_dirty(self) -> bool:
        """Whether any row has to be written."""
        return bool(self._dirty)

    def count_pending(self, queue: str) -> int:
        """Returns how many jobs without a schedule wait to start.

        A job counts until an instance confirms the start of one of its tasks.
        If assigned tasks counted as started, a queue would look empty while
        its owner can't write or send the start orders. That would mislead
        clients that check the queue before they submit.
        """
        return len(self._pending.get(queue, ()))


def has_ended(document: Mapping[str, Any]) -> bool:
    """Whether a document of ``JobEntry.to_document`` shows an ended job."""
    return bool(document.get("ended"))
