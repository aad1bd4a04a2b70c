"""What an owner inherits: runs that the one before recorded.

Rows name the instance of each run, and say nothing of whether it still runs;
accounts tell, once instances answer. Jobs may be read later than the rest,
where their part of the store is away.
"""

from vanillaswitch.coordination.fleet.instances import accounts
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet


class Inheritance(accounts.Accounts):
    """Accounts for the runs of earlier owners."""

    def inherit_runs(self, now: float, lapses_at: float) -> list[str]:
        """Accounts for the runs that an earlier owner recorded.

        Args:
            now: monotonic seconds.
            lapses_at: by then the lease of all that runs on an instance that
                can't be reached has lapsed.

        Returns:
            Ids of instances that run something and are in no list.
        """
        unlisted = []
        for entry in self.book.live.values():
            for step in entry.open.values():
                for task in step.tasks:
                    if task.state is books.TaskState.ASSIGNED:
                        name = task.instance
                        if name not in self.instances:
                            unlisted.append(name)
                            self._add_unlisted(name, now)
                        self._inherit(step, task, now)
        for instance in self.instances.values():
            instance.lapses_at = lapses_at
        for entry in list(self.book.live.values()):
            self._judge_inherited(entry, now)
        return unlisted

    def inherit_late(
        self, entry: books.Entry, now: float, lapses_at: float
    ) -> None:
        """Accounts for the runs of a job that could not be read before.

        Where an instance has answered meanwhile, its accounts tell of each
        run: it is listed, its end was, or it never began and its order is
        void, since this owner's token is higher.
        """
        for step in entry.open.values():
            for task in step.tasks:
                if task.state is books.TaskState.ASSIGNED:
                    self._inherit_late(step, task, now, lapses_at)
        for instance in self.instances.values():
            self._note_unread_ends(instance, entry.job.job_id, now)
            for run in list(instance.runs.values()):
                if run.unread and run.task.job_id == entry.job.job_id:
                    self._settle_unread(instance, entry, run, now)
        self._judge_inherited(entry, now)

    def _settle_unread(
        self,
        instance: rooms.Instance,
        entry: books.Entry,
        run: rooms.Run,
        now: float,
    ) -> None:
        """Decides on a run that the rows of its job, now read, don't name."""
        row = fleet.Running(
            run.task, run.run, run.saved, run.percent, run.gauge
        )
        if not accounts.may_go_on(entry, row):
            self.stop_run(instance, run, now, "not in the book")
            return
        instance.remove(run.key)
        self._take_back(instance, entry, row, now).take_listing(run)

    def _inherit_late(
        self,
        step: books.OpenStep,
        task: books.Task,
        now: float,
        lapses_at: float,
    ) -> None:
        instance = self.instances.get(task.instance)
        if instance is None:
            self._add_unlisted(task.instance, now)
            instance = self.instances[task.instance]
            instance.lapses_at = lapses_at
        found = instance.remove((task.name, task.run))
        self._inherit(step, task, now)
        run = instance.runs[task.name, task.run]
        if found is not None:
            run.inherited = False
            run.take_listing(found)
        elif instance.adopted and not any(
            (end.task, end.run) == run.key for end in instance.unread_ends
        ):
            self._release(instance, run)

    def _note_unread_ends(
        self, instance: rooms.Instance, job_id: str, now: float
    ) -> None:
        ends = [e for e in instance.unread_ends if e.task.job_id == job_id]
        for end in ends:
            instance.unread_ends.remove(end)
            self._ended(instance, end, now)

    def _add_unlisted(self, name: str, now: float) -> None:
        """Adds an instance of which nothing but its id is known.

        It gets no work, since it is silent and unlisted. It does not count as
        draining: what drains takes its tasks with it, so all of them may be
        stopped at once, and this one may be sound and register again.
        """
        unknown = fleet.Registration(
            name, "", "", "", False, fleet.Resources(0, 0), ()
        )
        instance = rooms.Instance(unknown, now)
        instance.listed = False
        instance.silent = True
        self.instances[name] = instance

    def _inherit(
        self, step: books.OpenStep, task: books.Task, now: float
    ) -> None:
        run = rooms.Run(
            task.name, task.run, step.step, books.need(step.step), now
        )
        run.sent = True
        run.inherited = run.in_doubt = True
        run.born_ms = task.born_ms
        run.apart = task.suspect
        run.proof_s = crash_evidence.proof_s(task.crashes)
        self.instances[task.instance].add(run)
