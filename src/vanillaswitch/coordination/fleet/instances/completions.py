"""Handles the ends of runs and jobs, and suspends failing instances."""

import copy

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import stop_orders
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

SUSPEND_AFTER_JOBS = 3
"""An instance is suspended when tasks of this many jobs in a row failed on it.
One job is not enough, since it may fail on every instance."""

FIRST_SUSPENSION_S = 2.0
"""First suspension; each further one is twice as long."""

MAX_SUSPENSION_DOUBLINGS = 4
"""Limits a suspension to 32 s, since the instance may work again."""


class RunCompletion(stop_orders.StopOrders):
    """Applies the ends of runs to their tasks, jobs and instances."""

    def _finish_job(
        self,
        entry: job_tracker.JobEntry,
        state: jobs.JobState,
        cause: str,
        now: float,
    ) -> None:
        """Ends a job and stops all its runs."""
        entry.end_early(state)
        self._emit_job_end(entry, cause, now)
        self.tracker.mark_dirty(entry)
        for instance in self.instances.values():
            for run in list(instance.runs.values()):
                if run.task.job_id == entry.job.job_id:
                    self.stop_run(instance, run, now, cause)

    def _apply_end(
        self, instance: instance_state.Instance, end: fleet.RunEnd, now: float
    ) -> None:
        """Applies the end of a run that an instance reported."""
        run = instance.remove_run((end.task, end.run))
        self._needs_plan = True
        self._mark_job_started(end.task.job_id)
        entry = self.tracker.get(end.task.job_id)
        if entry is None or entry.ended is not None:
            return
        task = entry.task(end.task)
        if task is None:
            return
        # The instance reports the end, so the run did not crash it.
        task.remove_crash(end.run)
        if task.is_current(end.run, instance.name):
            self._apply_newest_end(instance, entry, task, end, run, now)
            return
        before = copy.copy(task)
        if task.is_superseded(end.run):
            self._apply_superseded_end(entry, task, end, now)
        else:
            self._apply_newest_end(instance, entry, task, end, run, now)
        self._emit_late_end(before, task, end, instance)

    def _apply_superseded_end(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        end: fleet.RunEnd,
        now: float,
    ) -> None:
        """Applies the end of a run that a newer run of its task has replaced.

        The run had been considered to be over, for example because its lease
        had expired. A task that is done is done whichever run did it. Any other
        end changes nothing: it does not concern the newer run, it is no failed
        attempt, since the attempt had been given up before, and it is too old
        to tell how its instance works now.
        """
        step = entry.job.steps[task.name.step]
        if end.outcome is fleet.RunOutcome.DONE and not step.long_running:
            self._complete_task(entry, task, end.run, now)

    def _apply_newest_end(
        self,
        instance: instance_state.Instance,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        end: fleet.RunEnd,
        run: instance_state.Run | None,
        now: float,
    ) -> None:
        """Applies the end of a task's newest run."""
        task.is_suspect = False
        if end.outcome is fleet.RunOutcome.DONE:
            if run is not None:
                _record_duration(entry, task, run, instance, now)
            self._apply_success(entry, task, end.run, instance, now)
            return
        self._emit_run_end(task, end.run, instance, end.outcome.value)
        if end.outcome is fleet.RunOutcome.FAILED:
            self._count_failure(entry, task, end, instance, now)
            if entry.ended is not None:
                return
        checkpoint = end.checkpoint or (run.checkpoint if run else "")
        self._requeue_after(entry, task, end.run, instance, checkpoint, now)

    def _emit_run_end(
        self,
        task: open_steps.Task,
        run: int,
        instance: instance_state.Instance,
        outcome: str,
    ) -> None:
        self._emit(
            events.TaskEnded(
                task.name.job_id,
                task.name.path_in_job,
                run,
                instance.name,
                outcome,
                task.failed_runs,
            )
        )

    def _emit_late_end(
        self,
        before: open_steps.Task,
        task: open_steps.Task,
        end: fleet.RunEnd,
        instance: instance_state.Instance,
    ) -> None:
        self._emit(
            events.LateRunEnd(
                task.name.job_id,
                task.name.path_in_job,
                end.run,
                instance.name,
                end.outcome.value,
                before.run,
                before.instance,
                before.state.name.lower(),
                task.state.name.lower(),
            )
        )

    def _emit_job_end(
        self, entry: job_tracker.JobEntry, cause: str, now: float
    ) -> None:
        self._emit(
            events.JobEnded(
                entry.job.job_id,
                entry.job.queue,
                entry.state.value,
                int((now - entry.received_at) * 1000),
                cause,
            )
        )

    def _apply_success(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        run: int,
        instance: instance_state.Instance,
        now: float,
    ) -> None:
        """Applies the end of a task's newest run as done.

        Completes the task, or requeues it if it is long-running.
        """
        if task.state is open_steps.TaskState.DONE:
            return
        instance.consecutive_failed_jobs.clear()
        instance.suspension_count = 0
        name = task.name
        step = entry.open_steps_by_key[name.occurrence, name.step]
        if step.step.long_running:
            step.has_proven_task = True
            # It has to run until its job is cancelled, whatever the outcome of
            # a run.
            self._requeue_after(entry, task, run, instance, "", now)
        else:
            self._complete_task(entry, task, run, now)

    def _complete_task(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        run: int,
        now: float,
    ) -> None:
        """Marks a task as done by one of its runs.

        The end of one member completes the whole gang. Runs that have replaced
        the completed one are stopped.
        """
        if task.state is open_steps.TaskState.DONE:
            return
        name = task.name
        step = entry.open_steps_by_key[name.occurrence, name.step]
        step.has_proven_task = True
        for member in step.tasks if step.step.gang else [task]:
            if member.is_superseded(run):
                self._stop_current_run(member, now)
            member.state = open_steps.TaskState.DONE
        if step.is_done:
            entry.close_step(step)
            if entry.ended is not None:
                self._emit_job_end(entry, "all tasks are done", now)
        self.tracker.mark_dirty(entry)

    def _stop_current_run(self, task: open_steps.Task, now: float) -> None:
        """Stops the current run of a task that an earlier run has completed."""
        instance = self.instances.get(task.instance)
        if instance is None:
            return
        run = instance.runs.get((task.name, task.run))
        if run is not None:
            self.stop_run(
                instance, run, now, "an earlier run of the task completed"
            )

    def _count_failure(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        end: fleet.RunEnd,
        instance: instance_state.Instance,
        now: float,
    ) -> None:
        """Counts a failed run; fails the job after too many of them."""
        if end.run <= task.last_counted_run:
            return
        task.last_counted_run = end.run
        task.failed_runs += 1
        task.avoided_instances.add(instance.name)
        self.tracker.mark_dirty(entry)
        name = task.name
        step = entry.open_steps_by_key[name.occurrence, name.step]
        self._suspend_if_failing(instance, entry.job.job_id, now)
        max_failures = self.max_attempts_of(entry)
        if not step.step.long_running and step.failure_count >= max_failures:
            cause = (
                f"a task {end.outcome} {step.failure_count} times, "
                f"most recently on {instance.name}"
            )
            self._finish_job(entry, jobs.JobState.FAILED, cause, now)

    def _suspend_if_failing(
        self, instance: instance_state.Instance, job_id: str, now: float
    ) -> None:
        """Counts a failed job; suspends an instance with several in a row."""
        instance.consecutive_failed_jobs.add(job_id)
        if len(instance.consecutive_failed_jobs) < SUSPEND_AFTER_JOBS:
            return
        instance.consecutive_failed_jobs.clear()
        wait_s = FIRST_SUSPENSION_S * 2 ** min(
            instance.suspension_count, MAX_SUSPENSION_DOUBLINGS
        )
        instance.suspension_count += 1
        instance.suspended_until = now + wait_s
        why = (
            f"suspended for {wait_s} s after {SUSPEND_AFTER_JOBS} jobs failed "
            "in a row"
        )
        self._emit_instance_changed(instance, "suspended", why, now)

    def _requeue_after(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        run: int,
        instance: instance_state.Instance,
        checkpoint: str,
        now: float,
    ) -> None:
        """Returns a task to the queue because one of its runs is over.

        Does nothing unless that was the task's current run. Another run of the
        task may go on, and the task must not run twice.

        Args:
            entry: the job.
            task: the task.
            run: number of the run that is over.
            instance: where that run was.
            checkpoint: newest checkpoint of the run; empty for none.
            now: monotonic seconds.
        """
        if not task.is_current(run, instance.name):
            return
        self._requeue(entry, task, now)
        name = task.name
        if checkpoint and entry.job.steps[name.step].checkpointable:
            self._save_checkpoint(entry, task, checkpoint)
        self.tracker.mark_dirty(entry)
        self._needs_plan = True

    def _requeue(
        self, entry: job_tracker.JobEntry, task: open_steps.Task, now: float
    ) -> None:
        """Returns a task whose current run is over to the queue.

        Args:
            entry: the job.
            task: the task.
            now: monotonic seconds.
        """
        del entry, now
        task.state = open_steps.TaskState.WAITING
        task.instance = ""

    def _save_checkpoint(
        self,
        entry: job_tracker.JobEntry,
        task: open_steps.Task,
        checkpoint: str,
    ) -> None:
        """Stores a checkpoint; that of a gang member is valid for the gang."""
        name = task.name
        step = entry.open_steps_by_key[name.occurrence, name.step]
        for member in step.tasks if step.step.gang else [task]:
            member.checkpoint = checkpoint

    def _release_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
        outcome: str = "lost",
    ) -> None:
        """Removes a run that is certainly over but has no reported end.

        Requeues its task if this was the newest run of the task.

        Args:
            instance: where the run was.
            run: the run.
            now: monotonic seconds.
            outcome: how it ended, for the log.
        """
        instance.remove_run(run.key)
        self._needs_plan = True
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None:
            return
        if task.is_current(run.run, instance.name):
            self._emit_run_end(task, run.run, instance, outcome)
        self._requeue_after(entry, task, run.run, instance, run.checkpoint, now)


def _record_duration(
    entry: job_tracker.JobEntry,
    task: open_steps.Task,
    run: instance_state.Run,
    instance: instance_state.Instance,
    now: float,
) -> None:
    """Records how long a run took that is done.

    Runs without a known start or end, on a slow instance, slowed down or
    resumed from a checkpoint say nothing about the duration of other tasks.
    """
    if (
        entry.durations is None
        or run.started_at is None
        or run.started_before_term
        or run.has_unanswered_start
        or run.step.long_running
        or run.step.fills
        or run.pace != instance_state.FULL_PACE
        or instance.is_straggler
        or instance.is_report_late
        or task.checkpoint
    ):
        return
    entry.durations.record_end(run.task.step, (now - run.started_at) * 1000)
