"""Assigns runs of tasks to instances, and held tasks to their own instance."""

from vanillaswitch import errors
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import order_outcomes
from vanillaswitch.coordination.fleet.instances import suspect_placement
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps


class Assignment(order_outcomes.OrderOutcomes):
    """Assigns tasks; the caller chooses the instances."""

    def _assign(
        self,
        step: open_steps.OpenStep,
        task: open_steps.Task,
        instance: instance_state.Instance,
        number: int,
        ticket: str,
        now: float,
        *,
        isolated: bool = False,
    ) -> None:
        spec = step.entry.spec
        if spec is None:
            raise errors.InvariantError(
                "a task was assigned before its spec was read"
            )
        task.assign(number, instance.name, instance.incarnations.current_ms)
        step.entry.last_assigned_at = now
        run = instance_state.Run(
            task.name,
            number,
            step.step,
            step.demand,
            now,
        )
        run.born_ms = task.born_ms
        run.account = step.entry.job.account
        run.expected_ms = step.entry.expected_ms(step.number)
        run.is_isolated = isolated
        run.required_run_time_s = crash_evidence.required_run_time_s(
            task.crashes
        )
        instance.add_run(run)
        self._emit(
            events.TaskAssigned(
                task.name.job_id,
                task.name.path_in_job,
                number,
                instance.name,
                instance.free_cpu,
                task.failed_runs,
            )
        )
        self._pending_starts.append(
            term_state.StartOrder(
                instance.name,
                task.name,
                number,
                spec,
                task.checkpoint,
                ticket,
            )
        )

    def _has_active_suspect_run(self, step: open_steps.OpenStep) -> bool:
        """Whether a suspect task of a step has a run that is not to be stopped.

        Such a run will show whether the task crashes its instance. A run that
        is to be stopped may not show it. Its stop may also have to wait until
        other tasks of the step are serving, so they must not wait for it.
        """
        suspect_runs = [
            self._find_run(task.instance, (task.name, task.run))
            for task in step.opened_tasks
            if task.is_suspect and task.state is open_steps.TaskState.ASSIGNED
        ]
        return any(
            run is not None and run.stop_requested_at is None
            for run in suspect_runs
        )

    def _restart_ruled_out_runs(self, now: float) -> None:
        """Starts held tasks on the next incarnation of their instance.

        A task that can't start there stays held.
        """
        for key, name in list(self._ruled_out_runs.items()):
            instance = self.instances.get(name)
            run = instance.runs.get(key) if instance else None
            if (
                instance is None
                or run is None
                or not run.is_ruled_out
                or self._restart_held_run(instance, run, now)
            ):
                del self._ruled_out_runs[key]

    def _restart_held_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> bool:
        """Starts a held task again on its instance, if it may start there.

        Returns:
            Whether the run is no longer held.
        """
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if (
            entry is None
            or task is None
            or entry.ended is not None
            or not task.is_current(run.run, instance.name)
        ):
            self._release_run(instance, run, now)
            return True
        step = entry.open_steps_by_key[run.task.occurrence, run.task.step]
        if (
            step.step.gang
            or entry.spec is None
            or now < task.not_before
            or instance.registration.service != self.pool_name_of(entry)
            or instance.has_other_run(run)
            or _is_last_chance(task, instance, step)
        ):
            return False
        instance.remove_run(run.key)
        if not self._may_restart(instance, step, task, run, now):
            instance.add_run(run)
            return False
        self._emit_run_end(task, run.run, instance, "lost")
        until = now if run.held_until is None else run.held_until
        self._emit_late_start("again", instance.name, run.key, until, now)
        number = task.run + 1
        isolated = task.is_suspect
        self._assign(step, task, instance, number, "", now, isolated=isolated)
        instance.runs[run.task, number].is_restart = True
        entry.was_assigned = True
        self.tracker.mark_dirty(entry)
        return True

    def _may_restart(
        self,
        instance: instance_state.Instance,
        step: open_steps.OpenStep,
        task: open_steps.Task,
        run: instance_state.Run,
        now: float,
    ) -> bool:
        """Whether a held task may start on its instance, without its old run.

        A suspect task starts as any other one: beside no new run, and alone as
        long as no task of its step is proven.
        """
        if not instance.could_start(run, now):
            return False
        if not task.is_suspect:
            return True
        return suspect_placement.can_start_suspect(step, task, instance) and (
            step.has_proven_task or not self._has_active_suspect_run(step)
        )


def _is_last_chance(
    task: open_steps.Task,
    instance: instance_state.Instance,
    step: open_steps.OpenStep,
) -> bool:
    """Whether another crash of an instance would fail the job of a task.

    The instance may go down and up by itself. The crashes that it causes must
    not fail a sound job.
    """
    crash = crash_evidence.Crash(
        task.run + 1, instance.name, crash_evidence.CrashKind.SOLE_NEW_RUN
    )
    return crash_evidence.exceeds_crash_limit(
        [*task.crashes, crash], long_running=step.step.long_running
    )
