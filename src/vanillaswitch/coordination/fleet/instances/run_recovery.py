"""Recovers the runs that previous owners recorded.

The stored rows name the instance of each run but don't show whether it still
runs. The status reports of the instances show that. If a part of the store is
unavailable, its jobs are read later than the rest ("late jobs" below).
"""

from vanillaswitch.coordination.fleet.instances import status_reports
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import fleet


class RunRecovery(status_reports.StatusReports):
    """Recovers the runs of previous owners."""

    def recover_runs(self, now: float, lease_expires_at: float) -> list[str]:
        """Recovers the runs that a previous owner recorded.

        Args:
            now: monotonic seconds.
            lease_expires_at: monotonic seconds at which every lease on an
                unreachable instance has expired.

        Returns:
            Ids of instances that have runs but are not registered.
        """
        unregistered = []
        self._inherited_starts_until = now + instance_state.MAX_ORDER_DELAY_S
        for entry in self.tracker.unfinished.values():
            for step in entry.open_steps_by_key.values():
                for task in step.opened_tasks:
                    if task.state is open_steps.TaskState.ASSIGNED:
                        name = task.instance
                        if name not in self.instances:
                            unregistered.append(name)
                            self._add_unregistered(name, now)
                        self._recover_run(step, task, now)
        for instance in self.instances.values():
            instance.lease_expires_at = lease_expires_at
        for entry in list(self.tracker.unfinished.values()):
            self._evaluate_recovered_crashes(entry, now)
        return unregistered

    def recover_late_job(
        self, entry: job_tracker.JobEntry, now: float, lease_expires_at: float
    ) -> None:
        """Recovers the runs of a job that could not be read before.

        If an instance has sent a status report meanwhile, the state of each of
        its runs is known. Either it reported the run or its end, or the run
        never started and can't start any more, since the instance refuses
        orders with a lower fencing token than this owner's. If it has not
        listed all ends yet, a later report tells.
        """
        for step in entry.open_steps_by_key.values():
            for task in step.opened_tasks:
                if task.state is open_steps.TaskState.ASSIGNED:
                    self._recover_late_task(step, task, now, lease_expires_at)
        for instance in self.instances.values():
            self._apply_unprocessed_ends(instance, entry.job.job_id, now)
            for run in list(instance.runs.values()):
                if (
                    run.has_unknown_demand
                    and run.task.job_id == entry.job.job_id
                ):
                    self._resolve_run_of_late_job(instance, entry, run, now)
        self._evaluate_recovered_crashes(entry, now)

    def _resolve_run_of_late_job(
        self,
        instance: instance_state.Instance,
        entry: job_tracker.JobEntry,
        run: instance_state.Run,
        now: float,
    ) -> None:
        """Reinstates or stops a run that is not in the rows of its job."""
        run_status = fleet.RunStatus(
            run.task, run.run, run.checkpoint, run.percent, run.gauge
        )
        if not status_reports.can_reinstate(entry, run_status):
            self.stop_run(
                instance, run, now, "not a current run of a known job"
            )
            return
        instance.remove_run(run.key)
        self._reinstate_run(
            instance, entry, run_status, now
        ).copy_reported_state(run)

    def _recover_late_task(
        self,
        step: open_steps.OpenStep,
        task: open_steps.Task,
        now: float,
        lease_expires_at: float,
    ) -> None:
        """Recovers a run of a job that was read late.

        Merges it with what its instance has reported meanwhile. Releases it if
        the instance has reported neither the run nor its end.
        """
        instance = self.instances.get(task.instance)
        if instance is None:
            self._add_unregistered(task.instance, now)
            instance = self.instances[task.instance]
            instance.lease_expires_at = lease_expires_at
        reported_run = instance.remove_run((task.name, task.run))
        self._recover_run(step, task, now)
        run = instance.runs[task.name, task.run]
        if reported_run is not None:
            run.awaits_first_report = False
            run.copy_reported_state(reported_run)
        elif instance.has_listed_former_ends and not any(
            (end.task, end.run) == run.key for end in instance.unprocessed_ends
        ):
            self._release_run(instance, run, now)

    def _apply_unprocessed_ends(
        self, instance: instance_state.Instance, job_id: str, now: float
    ) -> None:
        """Applies the ends that were kept until their job could be read."""
        ends = [e for e in instance.unprocessed_ends if e.task.job_id == job_id]
        for end in ends:
            instance.unprocessed_ends.remove(end)
            self._apply_end(instance, end, now)

    def _add_unregistered(self, name: str, now: float) -> None:
        """Adds an instance of which only the id is known.

        It gets no work, since it is unresponsive and not registered. It does
        not count as draining: all tasks of a draining instance may be stopped
        at once, while this one may be healthy and register again.
        """
        unknown = fleet.Registration(
            name, "", "", "", False, fleet.Resources(0, 0), ()
        )
        instance = instance_state.Instance(unknown, now, self.account_usage)
        instance.is_listed = False
        instance.is_unresponsive = True
        self.instances[name] = instance

    def _recover_run(
        self, step: open_steps.OpenStep, task: open_steps.Task, now: float
    ) -> None:
        """Adds the recorded run of a task to its instance."""
        run = instance_state.Run(
            task.name,
            task.run,
            step.step,
            open_steps.task_demand(step.step),
            now,
        )
        run.is_start_sent = True
        run.awaits_first_report = run.may_be_stopping = True
        run.born_ms = task.born_ms
        run.account = step.entry.job.account
        run.is_isolated = task.is_suspect
        run.required_run_time_s = crash_evidence.required_run_time_s(
            task.crashes
        )
        self.instances[task.instance].add_run(run)
