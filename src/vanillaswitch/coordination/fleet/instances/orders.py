"""Handles the outcomes of start and stop orders sent to instances."""

from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import endings
from vanillaswitch.coordination.fleet.instances import sends
from vanillaswitch.coordination.fleet.instances import sparing
from vanillaswitch.coordination.fleet.queue import progress
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet

REFUSAL_BACKOFF_S = 0.5
"""An instance gets no starts for this long after it refused one because it is
unhealthy or lacks capacity."""

DOUBT_S = 1.5
"""Time after which the owner gives up on an unanswered start. It stops the
run; the task may start elsewhere once the run certainly can't start."""


class Orders(sends.Sends):
    """Handles answered and unanswered orders, and stops stalled runs."""

    def started(
        self,
        name: str,
        key: rooms.RunKey,
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
            self._heed_clock(instance, clock_ms, now)
        run = self._run(name, key)
        if run is not None:
            run.begin(now)
            self._begun(key[0].job_id)

    def start_refused(
        self,
        name: str,
        key: rooms.RunKey,
        reason: fleet.Reason,
        certain: bool,
        now: float,
    ) -> bool:
        """Handles a refused start.

        Args:
            name: the instance.
            key: task and run.
            reason: reason that the instance gave.
            certain: no earlier copy of the start can still take effect.
            now: monotonic seconds.

        Returns:
            Whether to send the start again.
        """
        instance = self.instances.get(name)
        run = self._run(name, key)
        if instance is None or run is None:
            return False
        self._emit(
            events.StartRefused(
                key[0].job_id,
                key[0].label,
                key[1],
                name,
                reason.value,
                certain,
            )
        )
        if reason in (fleet.Reason.UNHEALTHY, fleet.Reason.NO_ROOM):
            instance.suspended_until = max(
                instance.suspended_until, now + REFUSAL_BACKOFF_S
            )
        if reason is fleet.Reason.TICKET:
            step = key[0].job_id, key[0].occurrence, key[0].step
            self._ticket_until.pop(step, None)
        if reason is fleet.Reason.OLD:
            run.void_since = now
        elif certain:
            self._release(instance, run)
        elif not run.confirmed:
            why = "start refused while an earlier copy is unanswered"
            return not self._stop_unconfirmed(instance, run, now, why)
        return False

    def _stop_unconfirmed(
        self, instance: rooms.Instance, run: rooms.Run, now: float, why: str
    ) -> bool:
        """Stops a run whose start may have taken effect, if the budget allows.

        The task may already be serving, so stopping it counts against the
        disruption budget of its step. If the stop has to wait, the next status
        report or the answer to another copy settles whether the run started.

        Returns:
            Whether the run is stopped; False if the budget does not allow it.
        """
        if not sparing.may_end(self, [run], now):
            return False
        self.stop_run(instance, run, now, why)
        return True

    def start_unanswered(
        self,
        name: str,
        key: rooms.RunKey,
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
            first_at: when the first copy was sent, which a slow owner does
                long after the decision. Defaults to the time of the decision.

        Returns:
            Whether to send the start again.
        """
        instance = self.instances.get(name)
        run = self._run(name, key)
        if instance is None or run is None or run.stopping is not None:
            return False
        run.unanswered = run.unanswered or sent
        run.unsent = not sent
        if run.confirmed:
            return False
        since = run.decided_at if first_at is None else first_at
        if now - since < DOUBT_S:
            return True
        if not sent:
            self._release(instance, run)
            return False
        why = "start unanswered"
        return not self._stop_unconfirmed(instance, run, now, why)

    def stopped(self, name: str, key: rooms.RunKey, now: float) -> None:
        """Records that a stop was accepted, so the run can't start any more.

        If the run is executing, the instance reports its end once it stopped.
        """
        run = self._run(name, key)
        if run is not None and run.void_since is None:
            run.void_since = now

    def stop_stalled(self, now: float) -> None:
        """Stops stalled runs that another instance has capacity for."""
        for instances in self.by_pool().values():
            progress.mark_slow(instances)
            for instance in instances:
                if instance.silent:
                    continue
                for run in list(instance.runs.values()):
                    if progress.stalled(run, now):
                        self._move_stalled(instance, run, instances, now)

    def _move_stalled(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        others: Iterable[rooms.Instance],
        now: float,
    ) -> None:
        """Stops a stalled run if another instance can run its task.

        The instance gets no starts for a while, and this task avoids it.
        """
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        has_capacity = any(
            other is not instance and other.takes_over(run, now)
            for other in others
        )
        if task is None or not has_capacity:
            return
        task.avoid.add(instance.name)
        instance.suspended_until = max(
            instance.suspended_until, now + endings.SUSPEND_S
        )
        self.stop_run(instance, run, now, "no progress")
