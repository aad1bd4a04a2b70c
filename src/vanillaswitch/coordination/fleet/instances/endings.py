"""How runs, jobs and instances end, and what follows from it."""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import stops
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

SUSPEND_FAILURES = 3
"""An instance is suspended when tasks of so many jobs in a row failed on it:
a single job may be one that can never be done."""

SUSPEND_S = 2.0
"""First suspension; each further one lasts twice as long."""

MAX_SUSPENSIONS = 4
"""Doublings of the suspension: 16 s at most, since it may be sound again."""


class Endings(stops.Stops):
    """Takes note of ends."""

    def _end_job(
        self,
        entry: books.Entry,
        state: jobs.JobState,
        cause: str,
        now: float,
    ) -> None:
        entry.end(state)
        self._emit_end(entry, cause, now)
        self.book.touch(entry)
        for instance in self.instances.values():
            for run in list(instance.runs.values()):
                if run.task.job_id == entry.job.job_id:
                    self.stop_run(instance, run, now, cause)

    def _ended(
        self, instance: rooms.Instance, end: fleet.End, now: float
    ) -> None:
        """Takes note of one listed end."""
        run = instance.remove((end.task, end.run))
        self._changed = True
        self._begun(end.task.job_id)
        entry = self.book.get(end.task.job_id)
        if entry is None or entry.ended is not None:
            return
        task = entry.task(end.task)
        if task is None:
            return
        # An instance that tells of the end was not crashed by the run.
        task.withdraw_crash(end.run)
        if end.run == task.run:
            task.suspect = False
        if end.how is fleet.How.DONE:
            self._done(entry, task, instance, now)
            return
        self._emit_run_end(task, end.run, instance, end.how.value)
        if end.how is fleet.How.FAILED:
            self._failed(entry, task, end, instance, now)
            if entry.ended is not None:
                return
        current = task.run == end.run and task.state is books.TaskState.ASSIGNED
        if current and task.instance == instance.name:
            self._requeue(entry, task, end.saved or (run.saved if run else ""))

    def _emit_run_end(
        self, task: books.Task, run: int, instance: rooms.Instance, how: str
    ) -> None:
        self._emit(
            events.TaskEnded(
                task.name.job_id,
                task.name.label,
                run,
                instance.name,
                how,
                task.failed,
            )
        )

    def _emit_end(self, entry: books.Entry, cause: str, now: float) -> None:
        self._emit(
            events.JobEnded(
                entry.job.job_id,
                entry.job.queue,
                entry.state.value,
                int((now - entry.heard_at) * 1000),
                cause,
            )
        )

    def _done(
        self,
        entry: books.Entry,
        task: books.Task,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        if task.state is books.TaskState.DONE:
            return
        instance.failures_in_row.clear()
        instance.suspensions = 0
        name = task.name
        step = entry.open[name.occurrence, name.step]
        step.works = True
        if step.step.long_running:
            # It is to run until it is cancelled, however it ends.
            self._requeue(entry, task, "")
            return
        # One member's end stands for the whole gang.
        ended = step.tasks if step.step.gang else [task]
        for member in ended:
            if member is not task:
                member.state = books.TaskState.DONE
                continue
            if task.state is books.TaskState.ASSIGNED:
                self._stop_other_run(task, now)
            member.state = books.TaskState.DONE
        if step.done:
            entry.close_step(step)
            if entry.ended is not None:
                self._emit_end(entry, "all its tasks are done", now)
        self.book.touch(entry)

    def _stop_other_run(self, task: books.Task, now: float) -> None:
        """Stops a run that goes on although an earlier one is done."""
        other = self.instances.get(task.instance)
        if other is None:
            return
        run = other.runs.get((task.name, task.run))
        if run is not None:
            self.stop_run(other, run, now, "an earlier run is done")

    def _failed(
        self,
        entry: books.Entry,
        task: books.Task,
        end: fleet.End,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        if end.run <= task.counted_run:
            return
        task.counted_run = end.run
        task.failed += 1
        task.avoid.add(instance.name)
        self.book.touch(entry)
        name = task.name
        step = entry.open[name.occurrence, name.step]
        self._judge_instance(instance, entry.job.job_id, now)
        queue = self.queues.get(entry.job.queue)
        allowed = queue.max_attempts if queue else 1
        if not step.step.long_running and step.failures >= allowed:
            cause = f"{end.how} {step.failures} times on {instance.name} last"
            self._end_job(entry, jobs.JobState.FAILED, cause, now)

    def _judge_instance(
        self, instance: rooms.Instance, job_id: str, now: float
    ) -> None:
        """Suspends an instance on which job after job fails."""
        instance.failures_in_row.add(job_id)
        if len(instance.failures_in_row) < SUSPEND_FAILURES:
            return
        instance.failures_in_row.clear()
        wait = SUSPEND_S * 2 ** min(instance.suspensions, MAX_SUSPENSIONS)
        instance.suspensions += 1
        instance.suspended_until = now + wait
        why = f"{SUSPEND_FAILURES} jobs failed in a row, for {wait} s"
        self._emit_instance(instance, "suspended", why, now)

    def _requeue(
        self, entry: books.Entry, task: books.Task, saved: str
    ) -> None:
        task.state = books.TaskState.WAITING
        task.instance = ""
        name = task.name
        if saved and entry.job.steps[name.step].checkpointable:
            self._save(entry, task, saved)
        self.book.touch(entry)
        self._changed = True

    def _save(self, entry: books.Entry, task: books.Task, saved: str) -> None:
        """Keeps a checkpoint; one member's is valid for its whole gang."""
        name = task.name
        step = entry.open[name.occurrence, name.step]
        for member in step.tasks if step.step.gang else [task]:
            member.saved = saved

    def _release(
        self, instance: rooms.Instance, run: rooms.Run, how: str = "lost"
    ) -> None:
        """Frees a run that is surely over without a listed end."""
        instance.remove(run.key)
        self._changed = True
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None:
            return
        current = task.run == run.run and task.instance == instance.name
        if current and task.state is books.TaskState.ASSIGNED:
            self._emit_run_end(task, run.run, instance, how)
            self._requeue(entry, task, run.saved)
