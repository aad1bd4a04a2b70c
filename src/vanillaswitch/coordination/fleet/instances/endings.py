"""Handles the ends of runs and jobs, and suspends failing instances."""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import stops
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

SUSPEND_AFTER_JOBS = 3
"""An instance is suspended when tasks of this many jobs in a row failed on it.
One job is not enough, since it may fail on every instance."""

SUSPEND_S = 2.0
"""First suspension; each further one is twice as long."""

MAX_SUSPENSION_DOUBLINGS = 4
"""Limits a suspension to 32 s, since the instance may work again."""


class RunCompletion(stops.Stops):
    """Applies the ends of runs to their tasks, jobs and instances."""

    def _end_job(
        self,
        entry: books.Entry,
        state: jobs.JobState,
        cause: str,
        now: float,
    ) -> None:
        """Ends a job and stops all its runs."""
        entry.end(state)
        self._emit_job_end(entry, cause, now)
        self.book.touch(entry)
        for instance in self.instances.values():
            for run in list(instance.runs.values()):
                if run.task.job_id == entry.job.job_id:
                    self.stop_run(instance, run, now, cause)

    def _apply_end(
        self, instance: rooms.Instance, end: fleet.End, now: float
    ) -> None:
        """Applies the end of a run that an instance listed."""
        run = instance.remove((end.task, end.run))
        self._changed = True
        self._begun(end.task.job_id)
        entry = self.book.get(end.task.job_id)
        if entry is None or entry.ended is not None:
            return
        task = entry.task(end.task)
        if task is None:
            return
        # The instance reports the end, so the run did not crash it.
        task.withdraw_crash(end.run)
        if end.run == task.run:
            task.suspect = False
        if end.how is fleet.How.DONE:
            self._complete_task(entry, task, instance, now)
            return
        self._emit_run_end(task, end.run, instance, end.how.value)
        if end.how is fleet.How.FAILED:
            self._count_failure(entry, task, end, instance, now)
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

    def _emit_job_end(self, entry: books.Entry, cause: str, now: float) -> None:
        self._emit(
            events.JobEnded(
                entry.job.job_id,
                entry.job.queue,
                entry.state.value,
                int((now - entry.heard_at) * 1000),
                cause,
            )
        )

    def _complete_task(
        self,
        entry: books.Entry,
        task: books.Task,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        """Marks a task as done; requeues it if it is long-running."""
        if task.state is books.TaskState.DONE:
            return
        instance.failures_in_row.clear()
        instance.suspensions = 0
        name = task.name
        step = entry.open[name.occurrence, name.step]
        step.works = True
        if step.step.long_running:
            # It has to run until its job is cancelled, however a run ends.
            self._requeue(entry, task, "")
            return
        # The end of one member completes the whole gang.
        completed = step.tasks if step.step.gang else [task]
        for member in completed:
            if member is not task:
                member.state = books.TaskState.DONE
                continue
            if task.state is books.TaskState.ASSIGNED:
                self._stop_current_run(task, now)
            member.state = books.TaskState.DONE
        if step.done:
            entry.close_step(step)
            if entry.ended is not None:
                self._emit_job_end(entry, "all tasks are done", now)
        self.book.touch(entry)

    def _stop_current_run(self, task: books.Task, now: float) -> None:
        """Stops the current run of a task that an earlier run has completed."""
        other = self.instances.get(task.instance)
        if other is None:
            return
        run = other.runs.get((task.name, task.run))
        if run is not None:
            self.stop_run(
                other, run, now, "an earlier run of the task completed"
            )

    def _count_failure(
        self,
        entry: books.Entry,
        task: books.Task,
        end: fleet.End,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        """Counts a failed run; fails the job after too many of them."""
        if end.run <= task.counted_run:
            return
        task.counted_run = end.run
        task.failed += 1
        task.avoid.add(instance.name)
        self.book.touch(entry)
        name = task.name
        step = entry.open[name.occurrence, name.step]
        self._suspend_if_failing(instance, entry.job.job_id, now)
        queue = self.queues.get(entry.job.queue)
        allowed = queue.max_attempts if queue else 1
        if not step.step.long_running and step.failures >= allowed:
            cause = (
                f"a task {end.how} {step.failures} times, most recently on "
                f"{instance.name}"
            )
            self._end_job(entry, jobs.JobState.FAILED, cause, now)

    def _suspend_if_failing(
        self, instance: rooms.Instance, job_id: str, now: float
    ) -> None:
        """Counts a failed job; suspends an instance with several in a row."""
        instance.failures_in_row.add(job_id)
        if len(instance.failures_in_row) < SUSPEND_AFTER_JOBS:
            return
        instance.failures_in_row.clear()
        wait_s = SUSPEND_S * 2 ** min(
            instance.suspensions, MAX_SUSPENSION_DOUBLINGS
        )
        instance.suspensions += 1
        instance.suspended_until = now + wait_s
        why = (
            f"suspended for {wait_s} s after {SUSPEND_AFTER_JOBS} jobs failed "
            "in a row"
        )
        self._emit_instance_changed(instance, "suspended", why, now)

    def _requeue(
        self, entry: books.Entry, task: books.Task, saved: str
    ) -> None:
        """Returns a task to the queue and keeps its checkpoint, if any."""
        task.state = books.TaskState.WAITING
        task.instance = ""
        name = task.name
        if saved and entry.job.steps[name.step].checkpointable:
            self._save_checkpoint(entry, task, saved)
        self.book.touch(entry)
        self._changed = True

    def _save_checkpoint(
        self, entry: books.Entry, task: books.Task, saved: str
    ) -> None:
        """Stores a checkpoint; one member's is valid for its whole gang."""
        name = task.name
        step = entry.open[name.occurrence, name.step]
        for member in step.tasks if step.step.gang else [task]:
            member.saved = saved

    def _release(
        self, instance: rooms.Instance, run: rooms.Run, how: str = "lost"
    ) -> None:
        """Removes a run that is certainly over without a listed end.

        Requeues its task if this was the current run.
        """
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
