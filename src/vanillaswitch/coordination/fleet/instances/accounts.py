"""What instances say of themselves, and what is inferred from silence."""

from collections.abc import Collection

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import restarts
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import progress
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class Accounts(restarts.Restarts):
    """Takes note of instances' accounts."""

    def held(
        self, name: str, held: fleet.Held, began_at: float, now: float
    ) -> None:
        """Takes note of an instance's own account.

        Args:
            name: the instance.
            held: its account.
            began_at: monotonic seconds at which it was asked.
            now: monotonic seconds.
        """
        instance = self.instances.get(name)
        if instance is None:
            return
        if not self._is_of_now(instance, held, began_at, now):
            return
        instance.heard_at = now
        instance.clock_ms, instance.clock_at = held.clock_ms, now
        if not instance.adopted or instance.silent or instance.doubtful:
            self._changed = True
        instance.silent = instance.doubtful = False
        for end in held.ended:
            if end.number > instance.last_end:
                instance.last_end = end.number
                self._end_heard(instance, end, now)
        listed = {(row.task, row.run) for row in held.running}
        for row in held.running:
            if not instance.adopted:
                self._drop_replacement(instance, row, listed)
            self._listed(instance, row, began_at, now)
        for run in list(instance.runs.values()):
            if run.key not in listed:
                self._missing(instance, run, began_at, now)
        if not instance.adopted:
            instance.adopted = True
            instance.adopted_at = now
            self._stop_copies(instance, now)

    def _end_heard(
        self, instance: rooms.Instance, end: fleet.End, now: float
    ) -> None:
        """Takes note of an end, or keeps it until its job can be read.

        Noted now, it would be forgotten by its instance and say nothing to
        the job, whose task would run a second time.
        """
        if end.task.job_id in self.unread:
            instance.unread_ends.append(end)
            instance.remove((end.task, end.run))
        else:
            self._ended(instance, end, now)

    def _drop_replacement(
        self,
        instance: rooms.Instance,
        row: fleet.Running,
        listed: Collection[rooms.RunKey],
    ) -> None:
        """Forgets a newer run of a listed task that never began here.

        The owner before had recorded it in place of the listed one, as after
        it had taken that as over. Its order is void by this owner's token, and
        nobody else was told its number; so the listed run is the task's own.
        Stopped as an older one, it was away beside as many as are spared.
        """
        entry = self.book.get(row.task.job_id)
        task = entry.task(row.task) if entry else None
        if entry is None or task is None or task.instance != instance.name:
            return
        gang = entry.job.steps[row.task.step].gang
        newer = instance.runs.get((row.task, task.run))
        if newer is None or not newer.inherited or newer.key in listed:
            return
        if gang or row.run >= newer.run:
            return
        instance.remove(newer.key)
        task.state = books.TaskState.WAITING
        task.run = row.run

    def _listed(
        self,
        instance: rooms.Instance,
        row: fleet.Running,
        began_at: float,
        now: float,
    ) -> None:
        run = instance.runs.get((row.task, row.run))
        if run is None:
            run = self._found(instance, row, now)
            if run is None:
                return
        run.begin(now)
        run.begun_before = run.begun_before or run.inherited
        run.inherited = False
        # Orders of the owner before are void since the instance was adopted; a
        # stop that it accepted until then ends its run within ``stop_s``.
        if began_at >= instance.adopted_at + self._bounds.stop_s:
            run.in_doubt = False
        self._begun(row.task.job_id)
        progress.observe(instance, run, row.percent, now)
        run.gauge = row.gauge
        if not run.cleared:
            self._note_work(instance, run)
        run.saved = row.saved or run.saved

    def _found(
        self, instance: rooms.Instance, row: fleet.Running, now: float
    ) -> rooms.Run | None:
        """Accounts for a run that is not in the book; most are stopped.

        It may be listed by an answer that was on its way while its end was
        taken note of: such a run is over and takes no room.
        """
        if row.task.job_id in self.unread:
            return self._found_unread(instance, row, now)
        entry = self.book.get(row.task.job_id)
        if entry is not None and may_go_on(entry, row):
            return self._take_back(instance, entry, row, now)
        if entry is None or row.task.step >= len(entry.job.steps):
            step = jobs.Step(count=1)
        else:
            step = entry.job.steps[row.task.step]
        if instance.adopted:
            self.tell_stop(
                instance, row.task, row.run, now, "listed, not in the book"
            )
            self._stops.append(
                term_state.StopOrder(instance.name, row.task, row.run)
            )
            return None
        run = rooms.Run(row.task, row.run, step, books.need(step), now)
        run.sent = run.confirmed = True
        instance.add(run)
        self.stop_run(instance, run, now, "not in the book")
        return run

    def _take_back(
        self,
        instance: rooms.Instance,
        entry: books.Entry,
        row: fleet.Running,
        now: float,
    ) -> rooms.Run:
        """Lets a run go on that was taken as over.

        A lease that counts as lapsed, or an entry of a machine that names no
        instance, is a judgement from outside; the account of the instance
        goes before it. Runs that were judged so were all stopped in the moment
        their instances were heard of again, however many of a service.
        """
        open_step = entry.open[row.task.occurrence, row.task.step]
        step, task = open_step.step, open_step.tasks[row.task.index]
        task.state = books.TaskState.ASSIGNED
        task.instance = instance.name
        task.withdraw_crash(row.run)
        task.counted_run = min(task.counted_run, row.run - 1)
        run = rooms.Run(row.task, row.run, step, books.need(step), now)
        run.sent = run.in_doubt = run.begun_before = True
        # It has begun, so it can't begin again: an account that does not list
        # it any more tells that it is over.
        run.void_since = now
        instance.add(run)
        self.book.touch(entry)
        self._emit(
            events.RunTakenBack(
                row.task.job_id,
                row.task.label,
                row.run,
                instance.name,
                row.percent,
            )
        )
        return run

    def _found_unread(
        self, instance: rooms.Instance, row: fleet.Running, now: float
    ) -> rooms.Run:
        """Accounts for a run whose job can't be read yet; it goes on.

        What it needs is not known. All the room that is free now would be too
        little: other runs may turn out to have never begun, and give theirs
        back.
        """
        step = jobs.Step(count=1)
        whole = instance.registration.capacity
        run = rooms.Run(row.task, row.run, step, whole, now)
        run.sent = run.unread = True
        instance.add(run)
        return run

    def _missing(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        began_at: float,
        now: float,
    ) -> None:
        """Judges a run that an instance's account does not show.

        An account may be older than a start that was sent meanwhile, so that
        a run is missing proves nothing by itself. It does where the run can't
        start any more since before the account was asked for, and where an
        earlier owner's order is void because this owner's token is higher.
        """
        inherited = run.inherited and not instance.adopted
        if inherited and _meant_for_former(instance, run):
            why = "its instance started again"
            self._crashed(instance, [run], why, now, sure=False)
        void = run.void_since is not None and run.void_since < began_at
        if inherited or void or _is_too_late(run, began_at):
            self._release(instance, run)

    def unanswered(self, name: str, began_at: float) -> None:
        """Takes note that a call to an instance got no answer.

        Until it is heard of again it gets no more work: a rack that went dark
        was given tasks for 3 s, each of which then waited for its lease.

        Args:
            name: the instance.
            began_at: monotonic seconds at which the call was made.
        """
        instance = self.instances.get(name)
        if instance is not None and instance.heard_at < began_at:
            instance.doubtful = True

    def silent(self, name: str, now: float) -> None:
        """Takes note that an instance does not answer."""
        instance = self.instances.get(name)
        if instance is not None and not instance.silent:
            instance.silent = True
            self._emit_instance(instance, "silent", "no answer", now)

    def lapse(self, now: float) -> None:
        """Frees what ran on silent instances once its lease has lapsed."""
        for instance in list(self.instances.values()):
            if not instance.silent or not instance.lapsed(now):
                continue
            if instance.runs:
                self._emit_instance(instance, "lapsed", "its lease", now)
                self._crashed(
                    instance,
                    list(instance.runs.values()),
                    "its lease lapsed",
                    now,
                    sure=False,
                )
                for run in list(instance.runs.values()):
                    self._release(instance, run)
            if not instance.listed:
                self.gone(instance.name, now, "unlisted and silent")


def _is_too_late(run: rooms.Run, asked_at: float) -> bool:
    """Whether a run is to be stopped and no start of it may arrive any more.

    No copy leaves once it is to be stopped, and the stop may have to wait: it
    could end one task more than its job spares, while the others of its step
    wait in the same way.
    """
    if run.stopping is None:
        return False
    return asked_at - run.stopping >= rooms.LATE_S


def _meant_for_former(instance: rooms.Instance, run: rooms.Run) -> bool:
    """Whether an instance has started again since a run was decided."""
    known = (run.born_ms, instance.lives.current)
    return None not in known and run.born_ms != instance.lives.current


def may_go_on(entry: books.Entry, row: fleet.Running) -> bool:
    """Whether a listed run is its task's newest, and nothing replaced it.

    A gang starts and ends together: one member by itself is of no use.
    """
    task = entry.task(row.task)
    if task is None or entry.job.steps[row.task.step].gang:
        return False
    return task.state is books.TaskState.WAITING and row.run == task.run
