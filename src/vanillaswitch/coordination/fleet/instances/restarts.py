"""Detects instances that restart under their id; ends their previous runs."""

from collections.abc import Collection

from vanillaswitch.coordination.fleet.instances import crashes
from vanillaswitch.coordination.fleet.instances import incarnations
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import fleet

CLOCK_RESET_MS = 2000.0
"""An instance whose clock is further behind than this has restarted. A response
takes at most 0.7 s to arrive, and a slow clock loses 0.1 s between two status
reports."""


class RestartDetection(crashes.CrashTracking):
    """Distinguishes the incarnations of an instance."""

    def handle_registration(
        self, registration: fleet.Registration, now: float
    ) -> bool:
        """Adds or updates an instance; returns whether it is new."""
        known = self.instances.get(registration.instance)
        if known is not None:
            origin = known.incarnations.classify_registration(
                registration.born_ms
            )
            if origin is incarnations.Origin.FORMER:
                return False
            if origin is incarnations.Origin.NEW:
                self._handle_restart(known, registration.born_ms, now)
        return super().handle_registration(registration, now)

    def _is_current_report(
        self,
        instance: instance_state.Instance,
        report: fleet.StatusReport,
        began_at: float,
        now: float,
    ) -> bool:
        """Whether a status report comes from the running incarnation.

        If it is the first report of a new incarnation, the runs of the former
        one end here.
        """
        origin = instance.incarnations.classify_report(report.born_ms, began_at)
        if origin is incarnations.Origin.FORMER:
            why = (
                "ignored a status report of the incarnation started at "
                f"{report.born_ms}"
            )
            self._emit_instance_changed(instance, "former", why, now)
            return False
        if origin is incarnations.Origin.NEW:
            reported_keys = {
                (run_status.task, run_status.run)
                for run_status in report.running
            }
            reported_keys |= {(end.task, end.run) for end in report.ended_runs}
            self._handle_restart(instance, report.born_ms, now, reported_keys)
        return True

    def _handle_restart(
        self,
        instance: instance_state.Instance,
        born_ms: int | None,
        now: float,
        reported_keys: Collection[instance_state.RunKey] = (),
    ) -> None:
        """Ends the runs of the former incarnation.

        The id stays the same, so the new start time is the only sign. Without
        this, the empty report of the new incarnation would be taken for one
        that is older than the starts, and its tasks would count as running
        forever. The run ends of the new incarnation, numbered from 1, would be
        taken for ends that are already known.

        Args:
            instance: the one that restarted.
            born_ms: start time of the new incarnation.
            now: monotonic seconds.
            reported_keys: runs in its report; the new incarnation accepted
                them.
        """
        why = (
            f"started at {instance.incarnations.current_ms}, "
            f"restarted at {born_ms}"
        )
        self._emit_instance_changed(instance, "restarted", why, now)
        runs = list(instance.runs.values())
        crashed = [
            run
            for run in runs
            if run.key not in reported_keys and run.held_until is None
        ]
        self._count_loss(instance, crashed, why, now)
        instance.incarnations.set_current(born_ms, now)
        # A call that was sent before the restart and reaches the new
        # incarnation states its deadline on the clock of the former one. The
        # instance shortens such a lease to the longest one that it grants.
        max_lease_s = self._bounds.max_lease_s
        instance.reset_incarnation(
            now, lease_times.lease_expiry(now, max_lease_s)
        )
        self._pending_stops = [
            s for s in self._pending_stops if s.instance != instance.name
        ]
        self.tickets.forget_instance(instance.name)
        for run in runs:
            if run.key in reported_keys or run.awaits_first_report:
                continue
            self._release_or_hold(
                instance,
                run,
                now,
                "its instance restarted",
                may_be_running=True,
            )
        self._needs_plan = True

    def _check_for_clock_reset(
        self, instance: instance_state.Instance, clock_ms: float, now: float
    ) -> None:
        """Detects a restart of an instance by its clock.

        The response to a start does not identify the incarnation. The deadline
        in that start was on the clock of the former one, so the run may last
        for the longest lease that an instance grants. If the lease counted as
        expired earlier, the task could run twice. The instance gets no more
        work until it sends a status report.
        """
        behind_ms = instance.estimated_clock_ms(now) - clock_ms
        if not instance.has_reported or behind_ms <= CLOCK_RESET_MS:
            return
        self._assume_longest_lease(instance, now)
        instance.has_unanswered_call = True

    def _allow_for_late_renewals(
        self, instance: instance_state.Instance, now: float
    ) -> None:
        """Allows for calls to former incarnations that extend a lease.

        Until an incarnation refuses such a call, it executes it, whatever the
        owner knew of it then. The deadline in the call is on the clock of a
        former incarnation, so the instance shortens it to the longest lease.

        Args:
            instance: it has just answered a call, and did not refuse calls to
                former incarnations before.
            now: monotonic seconds.
        """
        if self._ids_recur:
            self._assume_longest_lease(instance, now)

    def _assume_longest_lease(
        self, instance: instance_state.Instance, now: float
    ) -> None:
        max_lease_s = self._bounds.max_lease_s
        instance.lease_expires_at = max(
            instance.lease_expires_at,
            lease_times.lease_expiry(now, max_lease_s),
        )

    def _stop_undelivered_starts(
        self, instance: instance_state.Instance, now: float
    ) -> None:
        """Stops runs that are over but whose starts may still arrive.

        Called at the first status report of an incarnation. A new incarnation
        does not refuse such a start as outdated; it would run a finished task
        again.
        """
        self._pending_stops.extend(
            term_state.StopOrder(instance.name, *key)
            for key in self._late_starts.of_instance(instance.name, now)
            if key not in instance.runs
        )
