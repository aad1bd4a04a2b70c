"""Instances that start again under their id, and what follows from it."""

from collections.abc import Collection

from vanillaswitch.coordination.fleet.instances import crashes
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import lives
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet

CLOCK_BACK_MS = 2000.0
"""A clock further behind than this belongs to a new life of its instance: an
answer is 0.7 s on its way at most, and a slow clock falls behind by 0.1 s
between two accounts."""


class Restarts(crashes.Crashes):
    """Tells the starts of an instance apart."""

    def registered(self, registration: fleet.Registration, now: float) -> bool:
        """Takes note of an instance; returns whether it is a new one."""
        known = self.instances.get(registration.instance)
        if known is not None:
            told = known.lives.of_entry(registration.born_ms)
            if told is lives.Told.FORMER:
                return False
            if told is lives.Told.NEW:
                self._restarted(known, registration.born_ms, now)
        return super().registered(registration, now)

    def _is_of_now(
        self,
        instance: rooms.Instance,
        held: fleet.Held,
        began_at: float,
        now: float,
    ) -> bool:
        """Whether an account is about the instance that runs now.

        It may be the first word of a new start, which is taken note of.
        """
        told = instance.lives.of_account(held.born_ms, began_at)
        if told is lives.Told.FORMER:
            why = f"an account of the start at {held.born_ms} is not used"
            self._emit_instance(instance, "former", why, now)
            return False
        if told is lives.Told.NEW:
            said = {(row.task, row.run) for row in held.running}
            said |= {(end.task, end.run) for end in held.ended}
            self._restarted(instance, held.born_ms, now, said)
        return True

    def _restarted(
        self,
        instance: rooms.Instance,
        born_ms: int | None,
        now: float,
        said: Collection[rooms.RunKey] = (),
    ) -> None:
        """Ends what ran before an instance started again.

        Its id is the same, so nothing else tells: its empty account looked
        like one that is older than the starts, its tasks stayed at work in
        the book for good, and its new ends, whose numbers begin at 1, like
        ends heard before.

        Args:
            instance: the one that started again.
            born_ms: when it started again.
            now: monotonic seconds.
            said: runs that its account names; it accepted them since.
        """
        why = f"started at {instance.lives.current}, again at {born_ms}"
        self._emit_instance(instance, "restarted", why, now)
        runs = list(instance.runs.values())
        crashed = [run for run in runs if run.key not in said]
        self._crashed(instance, crashed, why, now)
        instance.lives.begin(born_ms, now)
        # Calls of before that reach the new start name times of another
        # clock; it shortens such a lease to the longest that it takes.
        longest_s = self._bounds.max_hold_s
        instance.start_anew(now, lease_times.lapses_at(now, longest_s))
        self._stops = [s for s in self._stops if s.instance != instance.name]
        self._forget_tickets(instance.name)
        for run in runs:
            if run.key in said or run.inherited:
                continue
            if _may_still_come(run):
                run.begin_doubt()
                self.stop_run(instance, run, now, "its instance started again")
            else:
                self._release(instance, run)
        self._changed = True

    def _heed_clock(
        self, instance: rooms.Instance, clock_ms: float, now: float
    ) -> None:
        """Finds by its clock that an instance has started again.

        The answer to a start names no life. The deadline in that start was on
        the clock of the former one, so what runs there now may go on for as
        long as an instance grants; taken as lapsed before, it ran twice. No
        more is sent there until an account tells.
        """
        behind_ms = instance.clock_now_ms(now) - clock_ms
        if not instance.adopted or behind_ms <= CLOCK_BACK_MS:
            return
        longest_s = self._bounds.max_hold_s
        lapses_at = lease_times.lapses_at(now, longest_s)
        instance.lapses_at = max(instance.lapses_at, lapses_at)
        instance.doubtful = True

    def _stop_copies(self, instance: rooms.Instance, now: float) -> None:
        """Stops runs that are over and whose starts may still arrive.

        Asked for when a new start is first heard: it would not refuse them as
        old, and a quote that is done would run again.
        """
        self._stops.extend(
            term_state.StopOrder(instance.name, task, run)
            for task, run in instance.copies_under_way(now)
        )

    def _forget_tickets(self, name: str) -> None:
        """Drops an instance's tickets, which are good for one start of it."""
        for step, tickets in list(self.tickets.items()):
            if name in tickets:
                self.tickets[step] = {
                    other: ticket
                    for other, ticket in tickets.items()
                    if other != name
                }


def _may_still_come(run: rooms.Run) -> bool:
    """Whether a run may be at the new start, or may yet arrive there.

    That one knows no token and no run, so it would carry out a copy of a start
    that had no answer, or had accepted a start that the former one was meant
    for, while the task had begun elsewhere. It has to accept a stop first. A
    run that the former one listed began there and is over.
    """
    return run.unanswered or (run.sent and not run.was_listed)
