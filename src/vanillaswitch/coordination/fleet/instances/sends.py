"""Whether a start that was decided may leave.

Load pattern: the room of an instance shrinks between a decision and its order,
by the row that has to be written first or by copies of an order that had no
answer. An instance that does not guard its room starts whatever it is told
to, so each start is weighed again where it leaves.
"""

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import inheritance
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet


class Sends(inheritance.Inheritance):
    """Weighs starts where they leave."""

    def may_send(self, start: term_state.StartOrder) -> bool:
        """Whether a recorded start is still wanted; it then counts as sent."""
        instance = self.instances.get(start.instance)
        run = self._run(start.instance, (start.task, start.run))
        if instance is None or run is None or run.stopping is not None:
            return False
        if not run.sent and not instance.has_room_for(run):
            self._withhold(instance, run)
            return False
        run.sent = True
        return True

    def holds_back(self, start: term_state.StartOrder) -> bool:
        """Whether no further copy of a start may leave now.

        The first one may have crashed its instance, or may yet be carried
        out: a copy to the instance that is back is one crash more, and one to
        a room that has shrunk fills it.
        """
        instance = self.instances.get(start.instance)
        run = self._run(start.instance, (start.task, start.run))
        if instance is None or run is None:
            return False
        unheard = instance.doubtful or instance.silent
        return (run.apart and unheard) or not instance.has_room_for(run)

    def _withhold(self, instance: rooms.Instance, run: rooms.Run) -> None:
        """Puts back a task whose start no longer fits, with all its gang."""
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
                    why = "a start of its gang no longer fits"
                    self.stop_run(other, member, run.decided_at, why)
                else:
                    self._release(other, member, how="withheld")

    def room_listed(self, name: str, room: fleet.Resources) -> None:
        """Takes note of the room that the list of machines names."""
        instance = self.instances.get(name)
        if instance is not None and instance.list_room(room):
            self._changed = True

    def entries_are_old(self, old: bool) -> None:
        """Takes note of whether entries may no longer tell the room of now."""
        if not old and not self._entries_old:
            return
        self._entries_old = old
        for instance in self.instances.values():
            instance.age_room(old)
