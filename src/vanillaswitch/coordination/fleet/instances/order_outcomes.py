"""Handles the outcomes of start and stop orders sent to instances."""

from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import completions
from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import start_checks
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import stragglers
from vanillaswitch.protocol import fleet

REFUSAL_BACKOFF_S = 0.5
"""An instance gets no starts for this long after it refused one because it is
unhealthy or lacks capacity."""

START_ANSWER_TIMEOUT_S = 1.5
"""Time after which the owner gives up on an unanswered start. It stops the
run; the task may start elsewhere once the run can no longer start."""


class OrderOutcomes(start_checks.StartChecks):
    """Handles answered and unanswered orders, and stops stalled runs."""

    def handle_start_accepted(
        self,
        name: str,
        key: instance_state.RunKey,
        clock_ms: float | None = None,
        now: float = 0.0,
    ) -> None:
        """Records that an instance accepted a start.

        Args:
            name: the instance.
            key: task and run.
            clock_ms: the instance's clock in its answer, if it sent one.
            now: monotonic seconds.
        """
        instance = self.instances.get(name)
        if instance is not None and clock_ms is not None:
            self._check_for_clock_reset(instance, clock_ms, now)
        run = self._find_run(name, key)
        if run is not None and run.held_until is None:
            run.mark_started(now)
            self._mark_job_started(key[0].job_id)

    def handle_start_refused(
        self,
        name: str,
        key: instance_state.RunKey,
        reason: fleet.RefusalReason,
        no_copy_pending: bool,
        now: float,
    ) -> bool:
        """Handles a refused start.

        Args:
            name: the instance.
            key: task and run.
            reason: reason that the instance gave.
            no_copy_pending: no earlier copy of the start can still take effect.
            now: monotonic seconds.

        Returns:
            Whether to send the start again.
        """
        instance = self.instances.get(name)
        run = self._find_run(name, key)
        if instance is None or run is None:
            return False
        self._emit(
            events.StartRefused(
                key[0].job_id,
                key[0].path_in_job,
                key[1],
                name,
                reason.value,
                no_copy_pending,
            )
        )
        if reason in (
            fleet.RefusalReason.UNHEALTHY,
            fleet.RefusalReason.NO_CAPACITY,
        ):
            instance.suspended_until = max(
                instance.suspended_until, now + REFUSAL_BACKOFF_S
            )
        if reason is fleet.RefusalReason.INVALID_TICKET:
            self._handle_refused_ticket(run, name)
        if reason is fleet.RefusalReason.STALE_RUN:
            run.cannot_start_since = now
        elif run.held_until is not None:
            # The next status report shows whether an incarnation runs it.
            return False
        elif no_copy_pending:
            self._release_run(instance, run, now)
        elif not run.confirmed:
            why = "start refused while an earlier copy is unanswered"
            return not self._stop_unconfirmed(instance, run, now, why)
        return False

    def _handle_refused_ticket(
        self, run: instance_state.Run, name: str
    ) -> None:
        """Requests a new ticket for one instance, and prefers other instances.

        The tickets for other instances stay valid.
        """
        step_key = instance_state.step_key(run.task)
        is_newest = self.tickets.expire(step_key, name, run.decided_at)
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if is_newest and task is not None:
            task.avoided_instances.add(name)

    def _stop_unconfirmed(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        now: float,
        why: str,
    ) -> bool:
        """Stops a run whose start may have taken effect, if the budget allows.

        The task may already be serving, so stopping it counts against the
        disruption budget of its step. If the stop has to wait, the next status
        report or the answer to another copy shows whether the run started.

        Returns:
            Whether the run is stopped; False if the budget does not allow it.
        """
        if not disruption_budget.allows_disruption(self, [run], now):
            return False
        self.stop_run(instance, run, now, why)
        return True

    def handle_start_unanswered(
        self,
        name: str,
        key: instance_state.RunKey,
        sent: bool,
        now: float,
        first_at: float | None = None,
    ) -> bool:
        """Handles a start that got no answer.

        Args:
            name: the instance.
            key: task and run.
            sent: whether any copy of the start left this process.
            now: monotonic seconds.
            first_at: monotonic seconds at which the first copy was sent. A slow
                owner sends it long after the decision. Defaults to the time of
                the decision.

        Returns:
            Whether to send the start again.
        """
        if sent:
            self._record_unanswered_start(name, key, now)
        instance = self.instances.get(name)
        run = self._find_run(name, key)
        if instance is None or run is None:
            return False
        if run.held_until is not None and not sent:
            # It was held because this copy could have arrived.
            run.held_until, run.is_start_unsent = None, True
            self._release_or_hold(instance, run, now, "start not sent")
        if run.stop_requested_at is not None:
            return False
        run.has_unanswered_start |= sent
        run.is_start_unsent = not sent
        if run.confirmed:
            return False
        waiting_since = run.decided_at if first_at is None else first_at
        if now - waiting_since < START_ANSWER_TIMEOUT_S:
            return True
        if not sent:
            self._release_run(instance, run, now)
            return False
        why = "start unanswered"
        return not self._stop_unconfirmed(instance, run, now, why)

    def handle_stop_accepted(
        self, name: str, key: instance_state.RunKey, now: float
    ) -> None:
        """Records that a stop was accepted, so the run can't start any more.

        If the run is executing, the instance reports its end once it stopped.
        """
        run = self._find_run(name, key)
        if run is not None and run.cannot_start_since is None:
            run.cannot_start_since = now

    def stop_stalled_runs(self, now: float) -> None:
        """Stops stalled runs that another instance has capacity for."""
        for instances in self.instances_by_pool().values():
            stragglers.mark_stragglers(instances)
            for instance in instances:
                if instance.is_unresponsive:
                    continue
                for run in list(instance.runs.values()):
                    if stragglers.is_stalled(run, now):
                        self._stop_stalled_run(instance, run, instances, now)

    def _stop_stalled_run(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        pool_instances: Iterable[instance_state.Instance],
        now: float,
    ) -> None:
        """Stops a stalled run if another instance can run its task.

        The instance gets no starts for a while, and this task avoids it.
        """
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        has_capacity = any(
            other is not instance and other.could_start(run, now)
            for other in pool_instances
        )
        if task is None or not has_capacity:
            return
        task.avoided_instances.add(instance.name)
        instance.suspended_until = max(
            instance.suspended_until, now + completions.FIRST_SUSPENSION_S
        )
        self.stop_run(instance, run, now, "no progress")
