"""Checks, just before a start is sent, whether it may still be sent.

Load pattern: the capacity of an instance shrinks between the decision on a
start and its sending, because the row has to be written first or because
unanswered copies are sent again. An instance that does not enforce its
capacity starts everything it is ordered to. So the owner checks each start
again right before sending it.
"""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import inheritance
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet


class Sends(inheritance.Inheritance):
    """Checks starts again right before they are sent."""

    def may_send(self, start: term_state.StartOrder) -> bool:
        """Whether a recorded start may be sent; if so, marks it as sent.

        Returns False if the run is gone or being stopped. If the instance has
        no capacity for it any more, its task is queued again.
        """
        instance = self.instances.get(start.instance)
        run = self._run(start.instance, (start.task, start.run))
        if instance is None or run is None or run.stopping is not None:
            return False
        if not run.sent and not instance.has_room_for(run):
            self._withhold_start(instance, run)
            return False
        run.sent = True
        return True

    def holds_back(self, start: term_state.StartOrder) -> bool:
        """Whether no further copy of a start may be sent for now.

        The first copy may have crashed the instance, or may still take
        effect. Another copy could crash the recovered instance again, or
        overcommit an instance whose capacity has shrunk.
        """
        instance = self.instances.get(start.instance)
        run = self._run(start.instance, (start.task, start.run))
        if instance is None or run is None:
            return False
        is_unresponsive = instance.doubtful or instance.silent
        return (run.apart and is_unresponsive) or not instance.has_room_for(run)

    def _withhold_start(self, instance: rooms.Instance, run: rooms.Run) -> None:
        """Queues a task again whose start no longer fits, with its gang."""
        self._emit(
            events.StartWithheld(
                run.task.job_id,
                run.task.label,
                run.run,
                instance.name,
                instance.free_cpu,
            )
        )
        self._release(instance, run, how="withheld")
        if not run.step.gang:
            return
        for other in self.instances.values():
            for member in list(other.runs.values()):
                if rooms.step_key(member.task) != rooms.step_key(run.task):
                    continue
                if member.sent:
                    why = "start of another gang member no longer fits"
                    self.stop_run(other, member, run.decided_at, why)
                else:
                    self._release(other, member, how="withheld")

    def room_listed(self, name: str, room: fleet.Resources) -> None:
        """Updates an instance's capacity from the platform's machine list."""
        instance = self.instances.get(name)
        if instance is not None and instance.list_room(room):
            self._changed = True

    def entries_are_old(self, old: bool) -> None:
        """Sets whether registrations may state an outdated capacity."""
        if not old and not self._entries_old:
            return
        self._entries_old = old
        for instance in self.instances.values():
            instance.age_room(old)
