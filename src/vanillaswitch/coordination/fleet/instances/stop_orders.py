"""Decides on stop orders and logs the availability they were based on."""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import jobs

STOP_RESEND_S = 0.5
"""A stop that has not taken effect is sent again after this time."""


class StopOrders(term_state.TermState):
    """Decides which stop orders are sent."""

    def stop_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
        why: str,
    ) -> None:
        """Queues a stop order for a run and logs its cause.

        A repeated stop is logged again only for steps with a disruption
        budget.
        """
        is_repeat = run.stop_requested_at is not None
        if not is_repeat or run.step.may_miss:
            self.emit_stop(instance, run.task, run.run, now, why)
        if not is_repeat:
            run.stop_requested_at = now
        run.stop_sent_at = now
        self._pending_stops.append(
            term_state.StopOrder(instance.name, run.task, run.run)
        )

    def resend_stops(self, now: float) -> None:
        """Sends stops again that have not taken effect yet."""
        for instance in self.instances.values():
            if instance.is_gone:
                continue
            for run in instance.runs.values():
                is_stopping = run.stop_requested_at is not None
                is_due = now - run.stop_sent_at >= STOP_RESEND_S
                if is_stopping and is_due and self.may_stop(instance, run, now):
                    self.stop_run(instance, run, now, "again")

    def may_stop(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
    ) -> bool:
        """Whether a decided stop is still within the disruption budget.

        The budget is checked at each sending, not only at the decision. A
        stop that does not reach its instance is repeated; meanwhile other
        tasks of the step may crash, and the stop would end one task too many.

        The budget does not apply to a job that has ended, to an instance that
        is draining, since its tasks end with it anyway, and to a run that is
        not the task's newest one and would execute the task a second time.
        """
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        is_current = task is not None and task.run == run.run
        if instance.registration.is_draining or not is_current:
            return True
        siblings = disruption_budget.sibling_status(self, run.task, now)
        return (
            not siblings.max_unavailable
            or siblings.unavailable < siblings.max_unavailable
        )

    def may_send_stop(self, stop: term_state.StopOrder, now: float) -> bool:
        """Whether a queued stop may be sent now.

        A process that was paused after its decision would otherwise act on
        outdated status reports. A stop that is not sent is tried again later.
        """
        instance = self.instances.get(stop.instance)
        run = self._find_run(stop.instance, (stop.task, stop.run))
        if instance is None or run is None:
            return True
        return self.may_stop(instance, run, now)

    def emit_maintenance_stops(
        self, instance: instance_state.Instance, now: float
    ) -> None:
        """Logs the long-running tasks that a machine's maintenance ends."""
        for run in instance.runs.values():
            if run.step.may_miss:
                why = "machine maintenance"
                self.emit_stop(instance, run.task, run.run, now, why)

    def emit_stop(
        self,
        instance: instance_state.Instance,
        task: jobs.TaskName,
        run: int,
        now: float,
        why: str,
    ) -> None:
        """Logs a stop with the assumed availability of the sibling tasks."""
        siblings = disruption_budget.sibling_status(self, task, now)
        self._emit(
            events.RunStopped(
                task.job_id,
                task.path_in_job,
                run,
                instance.name,
                why,
                siblings.unavailable,
                siblings.max_unavailable,
                round(siblings.oldest_report_s * 1000),
            )
        )
