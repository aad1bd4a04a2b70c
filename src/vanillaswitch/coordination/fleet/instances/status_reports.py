"""Processes status reports and unanswered calls; expires leases."""

from collections.abc import Collection

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import listed_ends
from vanillaswitch.coordination.fleet.instances import restarts
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import stragglers
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class StatusReports(restarts.RestartDetection):
    """Updates runs and instances from status reports."""

    def handle_status_report(
        self,
        name: str,
        report: fleet.StatusReport,
        began_at: float,
        now: float,
        incarnation: int | None = None,
    ) -> None:
        """Processes a status report of an instance.

        Args:
            name: the instance.
            report: its status report.
            began_at: monotonic seconds at which the report was requested.
            now: monotonic seconds.
            incarnation: number of the incarnation for whose fencing token it
                was requested. Defaults to the current one.
        """
        instance = self.instances.get(name)
        if instance is None or instance.is_gone:
            return
        if incarnation is None:
            incarnation = instance.incarnation
        if not self._is_current_report(instance, report, began_at, now):
            return
        if not instance.is_fenced:
            self._allow_for_late_renewals(instance, now)
        instance.is_fenced |= incarnation == instance.incarnation
        instance.last_contact_at = now
        instance.clock_ms, instance.clock_at = report.clock_ms, now
        if (
            not instance.has_reported
            or instance.is_unresponsive
            or instance.has_unanswered_call
        ):
            self._needs_plan = True
        instance.is_report_late = (
            instance.is_unresponsive or instance.has_unanswered_call
        )
        instance.is_unresponsive = instance.has_unanswered_call = False
        ends = listed_ends.read(instance, report)
        settles_inherited_runs = (
            ends.includes_former and not instance.has_listed_former_ends
        )
        instance.has_listed_former_ends = ends.includes_former
        for end in ends.new:
            instance.last_end_number = end.number
            self._process_end(instance, end, now)
        listed = {
            (run_status.task, run_status.run) for run_status in report.running
        }
        for run_status in report.running:
            if not instance.has_reported:
                self._drop_newer_run(instance, run_status, listed)
            self._process_listed_run(instance, run_status, began_at, now)
        for run in list(instance.runs.values()):
            if run.key in listed:
                continue
            if settles_inherited_runs and run.awaits_first_report:
                self._release_inherited_run(instance, run, now)
            elif ends.is_complete:
                self._process_missing_run(instance, run, began_at, now)
        if not instance.has_reported:
            instance.has_reported = True
            instance.first_report_at = now
            self._stop_undelivered_starts(instance, now)

    def _process_end(
        self, instance: instance_state.Instance, end: fleet.RunEnd, now: float
    ) -> None:
        """Applies the end of a run, or keeps it until its job can be read.

        An end that was applied now would be acknowledged, so the instance would
        forget it. The unread job would not have the end, and its task would run
        a second time.
        """
        if end.task.job_id in self.unreadable_jobs:
            instance.unprocessed_ends.append(end)
            instance.remove_run((end.task, end.run))
        else:
            self._apply_end(instance, end, now)

    def _drop_newer_run(
        self,
        instance: instance_state.Instance,
        run_status: fleet.RunStatus,
        listed: Collection[instance_state.RunKey],
    ) -> None:
        """Drops a newer run of a listed task that never started.

        The previous owner recorded the newer run after it considered the listed
        one to be over. The instance refuses that start because this owner's
        fencing token is higher, and no other instance was sent the newer run.
        So the listed run is the current one. If it were stopped as outdated,
        its task would become unavailable in addition to those that the
        disruption budget already covers.
        """
        entry = self.tracker.get(run_status.task.job_id)
        task = entry.task(run_status.task) if entry else None
        if entry is None or task is None or task.instance != instance.name:
            return
        gang = entry.job.steps[run_status.task.step].gang
        newer = instance.runs.get((run_status.task, task.run))
        if (
            newer is None
            or not newer.awaits_first_report
            or newer.key in listed
        ):
            return
        if gang or run_status.run >= newer.run:
            return
        instance.remove_run(newer.key)
        task.state = open_steps.TaskState.WAITING
        task.run = run_status.run

    def _process_listed_run(
        self,
        instance: instance_state.Instance,
        run_status: fleet.RunStatus,
        began_at: float,
        now: float,
    ) -> None:
        """Updates a run from its entry in a status report."""
        run = instance.runs.get((run_status.task, run_status.run))
        if run is None:
            run = self._process_unknown_run(instance, run_status, now)
            if run is None:
                return
        if run.held_until is not None:
            self._emit_late_start(
                "found", instance.name, run.key, run.held_until, now
            )
            run.held_until = None
        self._stop_if_superseded(instance, run, now)
        run.mark_started(now)
        run.started_before_term = (
            run.started_before_term or run.awaits_first_report
        )
        run.awaits_first_report = False
        # Since its first report to this owner, the instance refuses orders of
        # the previous one. A stop that it accepted before ends its run within
        # ``stop_s``.
        if began_at >= instance.first_report_at + self._bounds.stop_s:
            run.may_be_stopping = False
        self._mark_job_started(run_status.task.job_id)
        stragglers.record_progress(instance, run, run_status.percent, now)
        run.gauge = run_status.gauge
        if not run.crashes_cleared:
            self._clear_if_proven(instance, run)
        run.checkpoint = run_status.checkpoint or run.checkpoint

    def _stop_if_superseded(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> None:
        """Stops a listed run if a newer run of its task was assigned.

        Its lease would otherwise be renewed for as long as its instance
        answers, and the task would run twice.
        """
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if (
            task is not None
            and task.is_superseded(run.run)
            and run.stop_requested_at is None
        ):
            self.stop_run(instance, run, now, "a newer run has replaced it")

    def _process_unknown_run(
        self,
        instance: instance_state.Instance,
        run_status: fleet.RunStatus,
        now: float,
    ) -> instance_state.Run | None:
        """Handles a listed run that this owner does not know; stops most.

        Returns:
            The run if it reserves capacity. None if the instance has reported
            to this owner before: this report may have been in transit while the
            end of the run was processed, so the run is over.
        """
        if run_status.task.job_id in self.unreadable_jobs:
            return self._add_run_of_unreadable_job(instance, run_status, now)
        entry = self.tracker.get(run_status.task.job_id)
        if entry is not None and can_reinstate(entry, run_status):
            return self._reinstate_run(instance, entry, run_status, now)
        if entry is None or run_status.task.step >= len(entry.job.steps):
            step = jobs.Step(count=1)
        else:
            step = entry.job.steps[run_status.task.step]
        if instance.has_reported:
            self.emit_stop(
                instance,
                run_status.task,
                run_status.run,
                now,
                "reported, but not a current run of a known job",
            )
            self._pending_stops.append(
                term_state.StopOrder(
                    instance.name, run_status.task, run_status.run
                )
            )
            return None
        run = instance_state.Run(
            run_status.task,
            run_status.run,
            step,
            open_steps.task_demand(step),
            now,
        )
        run.is_start_sent = run.confirmed = True
        instance.add_run(run)
        self.stop_run(instance, run, now, "not a current run of a known job")
        return run

    def _reinstate_run(
        self,
        instance: instance_state.Instance,
        entry: job_tracker.JobEntry,
        run_status: fleet.RunStatus,
        now: float,
    ) -> instance_state.Run:
        """Restores a listed run that this owner had considered to be over.

        An expired lease, or a machine listed without an instance, is indirect
        evidence that a run is over. The status report of the instance takes
        precedence. Otherwise all such runs, however many belong to one
        service, would be stopped as soon as their instances report again.
        """
        open_step = entry.open_steps_by_key[
            run_status.task.occurrence, run_status.task.step
        ]
        step, task = open_step.step, open_step.task(run_status.task.index)
        task.state = open_steps.TaskState.ASSIGNED
        task.instance = instance.name
        task.remove_crash(run_status.run)
        task.last_counted_run = min(task.last_counted_run, run_status.run - 1)
        run = instance_state.Run(
            run_status.task,
            run_status.run,
            step,
            open_steps.task_demand(step),
            now,
        )
        run.account = entry.job.account
        run.is_start_sent = run.may_be_stopping = run.started_before_term = True
        # It has started and can't start again, so a status report that does not
        # list it shows that it is over.
        run.cannot_start_since = now
        instance.add_run(run)
        self.tracker.mark_dirty(entry)
        self._emit(
            events.RunTakenBack(
                run_status.task.job_id,
                run_status.task.path_in_job,
                run_status.run,
                instance.name,
                run_status.percent,
            )
        )
        return run

    def _add_run_of_unreadable_job(
        self,
        instance: instance_state.Instance,
        run_status: fleet.RunStatus,
        now: float,
    ) -> instance_state.Run:
        """Adds a run whose job can't be read yet; it continues.

        Its resource need is unknown, so it takes the whole instance. The
        capacity that is free now could be too little: some of the other runs
        may never have started, and their capacity becomes free later.
        """
        step = jobs.Step(count=1)
        full_capacity = instance.registration.capacity
        run = instance_state.Run(
            run_status.task, run_status.run, step, full_capacity, now
        )
        run.is_start_sent = run.has_unknown_demand = True
        instance.add_run(run)
        return run

    def _release_inherited_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> None:
        """Releases a run of a previous owner that never started or is over.

        The instance lists it neither as running nor as ended, and now refuses
        that owner's orders, because this owner's fencing token is higher.
        """
        if _targets_former_incarnation(instance, run):
            why = "its instance restarted"
            self._count_loss(instance, [run], why, now, crash_confirmed=False)
        self._release_run(instance, run, now)

    def _process_missing_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        began_at: float,
        now: float,
    ) -> None:
        """Releases a run that a status report does not list, if it is over.

        The report may be older than a start that was sent meanwhile, so a
        missing run proves nothing by itself. The run is over if it could no
        longer start before the report was requested.

        Call it only if all ends have been listed; see ``listed_ends``.

        Args:
            instance: the instance.
            run: the missing run.
            began_at: monotonic seconds at which the report was requested.
            now: monotonic seconds.
        """
        was_ruled_out = (
            run.cannot_start_since is not None
            and run.cannot_start_since < began_at
        )
        if run.held_until is not None:
            was_ruled_out |= instance.is_fenced
        if not was_ruled_out and not _can_no_longer_start(run, began_at):
            return
        may_restart = True
        if run.held_until is None and not run.confirmed:
            self._hold_stopped_start(instance, run, now)
            may_restart = not run.is_restart
        if run.held_until is not None and (
            now < run.held_until or instance.has_other_run(run)
        ):
            self._rule_out(instance, run, may_restart=may_restart)
        else:
            self._release_run(instance, run, now)

    def handle_unanswered_call(self, name: str, began_at: float) -> None:
        """Marks an instance to which a call got no response.

        It gets no work until its next status report. Otherwise an unreachable
        rack would be given tasks for 3 s, each of which would then wait for its
        lease to expire.

        Args:
            name: the instance.
            began_at: monotonic seconds at which the call was made.
        """
        instance = self.instances.get(name)
        if instance is not None and instance.last_contact_at < began_at:
            instance.has_unanswered_call = True

    def mark_unresponsive(self, name: str, now: float) -> None:
        """Marks an instance that answers no calls."""
        instance = self.instances.get(name)
        if instance is not None and not instance.is_unresponsive:
            instance.is_unresponsive = True
            self._emit_instance_changed(
                instance, "silent", "calls get no response", now
            )

    def release_expired_leases(self, now: float) -> None:
        """Releases runs on unresponsive instances whose lease has expired."""
        self._release_held_runs(now)
        for instance in list(self.instances.values()):
            if instance.is_gone:
                continue
            if not instance.is_unresponsive or not instance.is_lease_expired(
                now
            ):
                continue
            runs = list(instance.runs.values())
            lost = [run for run in runs if run.held_until is None]
            why = "the lease on its runs expired"
            if lost:
                self._emit_instance_changed(instance, "lapsed", why, now)
                self._count_loss(
                    instance, lost, why, now, crash_confirmed=False
                )
            for run in runs:
                self._release_or_hold(instance, run, now, why)
            if not instance.is_listed:
                self.remove_instance(
                    instance.name,
                    now,
                    "no longer registered and unresponsive",
                )


def _can_no_longer_start(run: instance_state.Run, requested_at: float) -> bool:
    """Whether a run is being stopped and no start of it can still arrive.

    No copy of the start is sent once the run is being stopped. The stop itself
    may be delayed, because it could exceed the disruption budget of its job
    while the stops of other tasks of the step are delayed in the same way.
    """
    if run.stop_requested_at is None:
        return False
    return (
        requested_at - run.stop_requested_at >= instance_state.MAX_ORDER_DELAY_S
    )


def _targets_former_incarnation(
    instance: instance_state.Instance, run: instance_state.Run
) -> bool:
    """Whether an instance has restarted since a run was assigned to it."""
    known = (run.born_ms, instance.incarnations.current_ms)
    return None not in known and run.born_ms != instance.incarnations.current_ms


def can_reinstate(
    entry: job_tracker.JobEntry, run_status: fleet.RunStatus
) -> bool:
    """Whether a listed run is its task's newest and nothing replaced it.

    Never true for a gang, which starts and ends as a whole: a single member is
    useless.
    """
    task = entry.task(run_status.task)
    if task is None or entry.job.steps[run_status.task.step].gang:
        return False
    return (
        task.state is open_steps.TaskState.WAITING
        and run_status.run == task.run
    )
