"""Holds lost runs whose start may still be executed.

A run on an instance that restarted or disappeared is over. Its task may start
again elsewhere, unless a copy of its start is still on its way: the next
incarnation under the same id would execute it beside the new run, and so would
every later one (see ``late_starts``). Such a run is held: it keeps its task and
its resources. It is released when no copy can arrive any more. If the instance
returns earlier, the task restarts there, as a new run: whatever happens to the
instance until then ends both that run and any late one.

A run that was refused, or that its instance reports as ended, holds nothing.
Its task is deferred instead: for as long as a copy of its start may arrive, it
starts nowhere else either.

The start of a task that needs a ticket is not held. A ticket is valid for one
incarnation only, so the next one refuses the start.
"""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import completions
from vanillaswitch.coordination.fleet.instances import late_starts
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class HeldRuns(completions.RunCompletion):
    """Knows the starts without an answer, and what waits because of them."""

    def _record_unanswered_start(
        self, name: str, key: instance_state.RunKey, now: float
    ) -> None:
        """Keeps a start of which a copy was sent and got no answer."""
        if self._late_starts.add(name, key, now):
            until = now + instance_state.MAX_ORDER_DELAY_S
            self._emit_late_start("kept", name, key, until, now)

    def _late_start_until(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> float | None:
        """Returns until when a later incarnation may execute a run's start.

        A start that was sent and not answered yet counts as sent now. A new
        owner does not know which starts of the former one were answered. It
        assumes that none was, but for long-running tasks, which were most
        likely started long before.

        Args:
            instance: where the run was.
            run: the lost run.
            now: monotonic seconds.

        Returns:
            Monotonic seconds; None if no incarnation may execute it.
        """
        if not self._is_accepted_by_next(run.task):
            return None
        until = self._late_starts.until(instance.name, run.task)
        if run.held_until is not None:
            until = max(until, run.held_until)
        elif run.awaits_first_report:
            if not run.step.long_running:
                until = max(until, self._inherited_starts_until)
        elif (
            run.is_start_sent and not run.is_start_unsent and not run.confirmed
        ):
            until = max(until, now + instance_state.MAX_ORDER_DELAY_S)
        return until if until > now else None

    def _is_accepted_by_next(self, task: jobs.TaskName) -> bool:
        """Whether the next incarnation would accept a start of a task."""
        entry = self.tracker.get(task.job_id)
        queue = self.queue_of(entry) if entry else None
        needs_ticket = queue is not None and queue.advice is not None
        return self._ids_recur and not needs_ticket

    def _release_or_hold(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
        why: str,
        *,
        may_be_running: bool = False,
    ) -> None:
        """Releases a lost run, or holds it while its start may be executed.

        Args:
            instance: where the run was.
            run: the lost run.
            now: monotonic seconds.
            why: how the loss was detected.
            may_be_running: whether the new incarnation may have answered the
                start. Its next status report shows that.
        """
        until = self._late_start_until(instance, run, now)
        if until is None and may_be_running and run.is_start_sent:
            until = None if run.was_reported else now
        if until is None:
            self._release_run(instance, run, now)
            return
        if run.held_until is None:
            self._emit_late_start("held", instance.name, run.key, until, now)
        self._holding_instances.add(instance.name)
        run.held_until = until
        run.awaits_first_report = False
        run.reset_reported_state()
        if run.stop_requested_at is None:
            self.stop_run(instance, run, now, why)

    def _hold_stopped_start(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> None:
        """Holds a run whose unanswered start was stopped, if it may be late.

        The current incarnation will refuse the start. If it restarts soon, the
        next one would execute it. The task restarts once on the same instance.
        If that start gets no answer either, it waits, and avoids the instance,
        which may answer no starts at all.
        """
        until = self._late_starts.until(instance.name, run.task)
        if until <= now or not self._is_accepted_by_next(run.task):
            return
        self._emit_late_start("held", instance.name, run.key, until, now)
        self._holding_instances.add(instance.name)
        run.held_until = until
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if task is not None and run.is_restart:
            task.avoided_instances.add(instance.name)

    def _keep_held_runs(
        self, gone: instance_state.Instance, now: float
    ) -> None:
        """Keeps the held runs of an instance that was removed.

        Its new record has no address, so it gets neither calls nor work until
        an instance registers under the id.

        Args:
            gone: the former record, with held runs only.
            now: monotonic seconds.
        """
        nowhere = fleet.Registration(
            gone.name, "", "", "", False, fleet.Resources(0, 0), ()
        )
        kept = instance_state.Instance(nowhere, now, self.account_usage)
        kept.is_listed = False
        kept.is_unresponsive = kept.is_gone = True
        for run in list(gone.runs.values()):
            gone.remove_run(run.key)
            run.is_isolated = False
            kept.add_run(run)
        self.instances[gone.name] = kept

    def _rule_out(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        *,
        may_restart: bool,
    ) -> None:
        """Notes that the current incarnation will not execute a held run.

        Args:
            instance: where the run was.
            run: the held run.
            may_restart: whether its task may restart on this incarnation.
        """
        if run.is_ruled_out:
            return
        run.is_ruled_out = True
        instance.end_isolation(run)
        if may_restart:
            self._ruled_out_runs[run.key] = instance.name
            self._needs_plan = True

    def _requeue(
        self, entry: job_tracker.JobEntry, task: open_steps.Task, now: float
    ) -> None:
        """Returns a task to the queue, or defers it.

        The incarnation that had the run refuses further copies of its start.
        The next one would execute them.
        """
        until = self._late_starts.until(task.instance, task.name)
        if until <= now or not self._is_accepted_by_next(task.name):
            super()._requeue(entry, task, now)
            return
        deferred = late_starts.DeferredTask(task.instance, task.run, until)
        self._deferred_tasks[task.name] = deferred
        self._emit_late_start(
            "held", task.instance, (task.name, task.run), until, now
        )

    def _deferred_task(
        self, name: jobs.TaskName
    ) -> tuple[job_tracker.JobEntry, open_steps.Task] | None:
        """Returns a deferred task and its job.

        Returns:
            None if the task needs no other run any more.
        """
        deferred = self._deferred_tasks[name]
        entry = self.tracker.get(name.job_id)
        task = entry.task(name) if entry else None
        if entry is None or task is None or entry.ended is not None:
            return None
        is_current = task.is_current(deferred.run, deferred.instance)
        return (entry, task) if is_current else None

    def _release_deferred_tasks(self, now: float) -> None:
        """Requeues tasks whose start can't be executed any more."""
        for name, deferred in list(self._deferred_tasks.items()):
            if now < deferred.until:
                continue
            found = self._deferred_task(name)
            del self._deferred_tasks[name]
            if found is None:
                continue
            entry, task = found
            key = (name, deferred.run)
            self._emit_late_start(
                "released", deferred.instance, key, deferred.until, now
            )
            super()._requeue(entry, task, now)
            self.tracker.mark_dirty(entry)
            self._needs_plan = True

    def _release_held_runs(self, now: float) -> None:
        """Releases runs and tasks whose start can't be executed any more."""
        for late in self._late_starts.drop_expired(now):
            self._emit_late_start(
                "dropped", late.instance, late.key, late.until, now
            )
        self._release_deferred_tasks(now)
        for name in list(self._holding_instances):
            instance = self.instances.get(name)
            runs = list(instance.runs.values()) if instance else []
            held = [run for run in runs if run.held_until is not None]
            if not held:
                self._holding_instances.remove(name)
            if instance is None:
                continue
            for run in held:
                self._release_if_over(instance, run, now)
            if instance.is_gone and not instance.runs:
                del self.instances[name]

    def _release_if_over(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> None:
        """Releases a held run if no copy of its start can be executed."""
        until = run.held_until
        if until is None or now < until:
            return
        # A start that was executed late has to be stopped first.
        is_over = instance.is_gone or run.is_ruled_out
        if is_over and not instance.has_other_run(run):
            self._emit_late_start(
                "released", instance.name, run.key, until, now
            )
            self._release_run(instance, run, now)

    def _emit_late_start(
        self,
        change: str,
        name: str,
        key: instance_state.RunKey,
        until: float,
        now: float,
    ) -> None:
        task, run = key
        self._emit(
            events.LateStart(
                task.job_id,
                task.path_in_job,
                run,
                name,
                change,
                round((now - until + instance_state.MAX_ORDER_DELAY_S) * 1000),
            )
        )
