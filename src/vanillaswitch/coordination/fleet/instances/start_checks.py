"""Checks, just before a start is sent, whether it may still be sent.

The capacity of an instance may shrink between the decision on a start and its
sending. The row has to be written first, and unanswered starts are sent again
later. An instance that does not enforce its capacity starts everything that it
is ordered to start. So the owner checks each start again right before sending
it.
"""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import run_recovery
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import fleet


class StartChecks(run_recovery.RunRecovery):
    """Checks starts again right before they are sent."""

    def may_send_start(self, start: term_state.StartOrder) -> bool:
        """Whether a recorded start may be sent; if so, marks it as sent.

        Returns False if the run is gone or being stopped. If the instance has
        no capacity for it any more, its task is queued again.
        """
        instance = self.instances.get(start.instance)
        run = self._find_run(start.instance, (start.task, start.run))
        if instance is None or run is None or run.stop_requested_at is not None:
            return False
        if instance.is_gone:
            return False
        if not run.is_start_sent and not instance.can_send_start(run):
            self._withhold_start(instance, run)
            return False
        run.is_start_sent = True
        return True

    def must_defer_resend(self, start: term_state.StartOrder) -> bool:
        """Whether no further copy of a start may be sent for now.

        The first copy may have crashed the instance, or may still take
        effect. Another copy could crash the recovered instance again, or
        overcommit an instance whose capacity has shrunk.
        """
        instance = self.instances.get(start.instance)
        run = self._find_run(start.instance, (start.task, start.run))
        if instance is None or run is None:
            return False
        is_unresponsive = (
            instance.has_unanswered_call or instance.is_unresponsive
        )
        return (
            run.is_isolated and is_unresponsive
        ) or not instance.can_send_start(run)

    def _withhold_start(
        self, instance: instance_state.Instance, run: instance_state.Run
    ) -> None:
        """Requeues a task whose start no longer fits, and its gang."""
        self._emit(
            events.StartWithheld(
                run.task.job_id,
                run.task.path_in_job,
                run.run,
                instance.name,
                instance.free_cpu,
            )
        )
        # It was decided moments ago.
        now = run.decided_at
        self._release_run(instance, run, now, outcome="withheld")
        if not run.step.gang:
            return
        for other in self.instances.values():
            for member in list(other.runs.values()):
                if instance_state.step_key(
                    member.task
                ) != instance_state.step_key(run.task):
                    continue
                if member.is_start_sent:
                    why = "start of another gang member no longer fits"
                    self.stop_run(other, member, now, why)
                else:
                    self._release_run(other, member, now, outcome="withheld")

    def update_listed_capacity(
        self, name: str, capacity: fleet.Resources
    ) -> None:
        """Updates an instance's capacity from the platform's machine list."""
        instance = self.instances.get(name)
        if instance is not None and instance.update_listed_capacity(capacity):
            self._needs_plan = True

    def set_registrations_stale(self, is_stale: bool) -> None:
        """Sets whether registrations may state an outdated capacity."""
        if not is_stale and not self._registrations_stale:
            return
        self._registrations_stale = is_stale
        for instance in self.instances.values():
            instance.set_registration_stale(is_stale)
