"""The owner's decisions, without input or output.

Events come in as method calls with the time; what is to be done is collected
until it is taken: rows to write, starts to send once they are written, stops
to send at once, ends that may be forgotten once they are written.

Three rules keep a task from running twice whatever fails:

* A start is sent only after the row that names its run and its instance was
  written under the owner's condition. So a later owner knows every run that
  may exist, and an earlier owner can start nothing new.
* An end may be forgotten by its instance only after it was written.
* A run that may exist keeps its task from starting elsewhere until its end is
  listed, or it is certain that it can't start any more: its instance refused
  it for good, is gone, or its lease has lapsed by any clock.
"""

from collections.abc import Mapping

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.queue import arrivals
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import planning
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable


class Core(planning.Planning):
    """The owner's state and decisions; takes in jobs and cancels."""

    def job_added(self, job: jobs.Job, now: float, age_s: float = 0.0) -> None:
        """Takes in a job; one that is known already changes nothing.

        Args:
            job: the job.
            now: monotonic seconds.
            age_s: how long ago its entry took it in.
        """
        if self.book.get(job.job_id) is not None:
            return
        entry = books.Entry(job, now, age_s)
        self.book.add(entry)
        self._changed = True
        self._count_arrival(entry, now)
        self._emit(
            events.JobTakenIn(
                job.job_id,
                job.queue,
                int(age_s * 1000),
                self.book.pending(job.queue),
            )
        )
        if job.job_id in self._early_cancels:
            self._early_cancels.remove(job.job_id)
            self._cancel(entry, now)

    def _count_arrival(self, entry: books.Entry, now: float) -> None:
        cpu = sum(
            books.need(step).cpu * step.count
            for step in entry.job.steps
            if not step.after and not step.long_running
        )
        if cpu and not entry.job.repeat_count:
            pool = self.service_of(entry)
            counted = self.arrivals.setdefault(pool, arrivals.Arrivals())
            counted.observe(cpu, now)

    def restore(
        self,
        job: jobs.Job,
        document: Mapping[str, object],
        version: int,
        now: float,
        age_s: float = 0.0,
    ) -> unusable.Unusable | None:
        """Takes in a job with the row that an earlier owner wrote.

        Returns:
            Why the row can't be used; the job is not taken in then.
        """
        entry = books.Entry(job, now, age_s)
        wrong = entry.unpack(document)
        if wrong is not None:
            return wrong
        entry.version = version
        self.book.add(entry)
        return None

    def restore_late(
        self,
        job: jobs.Job,
        document: Mapping[str, object],
        version: int,
        now: float,
        lapses_at: float,
        age_s: float = 0.0,
    ) -> unusable.Unusable | None:
        """Takes in a job whose own row could not be read before.

        Args:
            job: the job; it is no longer among those that are unread.
            document: its progress as an earlier owner wrote it.
            version: of that row.
            now: monotonic seconds.
            lapses_at: by then the lease of all that runs on an instance that
                can't be reached has lapsed.
            age_s: how long ago its entry took it in.

        Returns:
            Why the row can't be used; the job is not taken in then.
        """
        wrong = self.restore(job, document, version, now, age_s)
        entry = self.book.get(job.job_id)
        if entry is None or entry.ended is not None:
            return wrong
        self.inherit_late(entry, now, lapses_at)
        self._changed = True
        if job.job_id in self._early_cancels:
            self._early_cancels.remove(job.job_id)
            self._cancel(entry, now)
        return None

    def spec_read(self, job_id: str, spec: str) -> unusable.Unusable | None:
        """Takes in the spec of a job; its tasks may start from now on.

        Returns:
            Why it can't be used; the job waits then.
        """
        entry = self.book.get(job_id)
        if entry is None or entry.spec is not None:
            return None
        if jobs.digest(spec) != entry.job.spec_digest:
            return unusable.Unusable("it is not what was handed in")
        entry.spec = spec
        self._changed = True
        return None

    def cancelled(self, job_id: str, now: float) -> None:
        """Takes note that a client cancelled a job.

        Jobs and cancels are heard of on different ways. A cancel that comes
        first, as after the history of one table was lost, has to wait for its
        job: the job would run although its cancel was confirmed.
        """
        entry = self.book.get(job_id)
        if entry is None:
            self._early_cancels.add(job_id)
        elif entry.ended is None:
            self._cancel(entry, now)

    def _cancel(self, entry: books.Entry, now: float) -> None:
        cause = "its client cancelled it"
        self._end_job(entry, jobs.JobState.CANCELLED, cause, now)
