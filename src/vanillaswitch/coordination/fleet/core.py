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

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.fleet import book as books
from vanillaswitch.coordination.fleet import placement
from vanillaswitch.coordination.fleet import progress
from vanillaswitch.coordination.fleet import queue_order
from vanillaswitch.coordination.fleet import rooms
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

SUSPEND_FAILURES = 3
"""An instance is suspended when tasks of so many jobs in a row failed on it:
a single job may be one that can never be done."""

SUSPEND_S = 2.0
"""First suspension; each further one lasts twice as long."""

MAX_SUSPENSIONS = 4
"""Doublings of the suspension: 16 s at most, since it may be sound again."""

UNHEALTHY_S = 0.5
"""Pause after an instance refused a start because it is not well."""

STOP_AGAIN_S = 0.5
"""A stop without effect is sent again after so long."""

DOUBT_S = 1.5
"""A start without answer is given up after so long: its run is stopped, and
the task may start elsewhere once that is certain."""


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A start that may be sent once its row is written."""

    instance: str
    task: jobs.TaskName
    run: int
    spec: str
    saved: str
    ticket: str


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """A run that is to be stopped."""

    instance: str
    task: jobs.TaskName
    run: int


@dataclasses.dataclass(frozen=True)
class Batch:
    """What is written together and what may be done afterwards.

    Attributes:
        entries: jobs whose rows are written.
        starts: to be sent afterwards.
        seen: number of the last end taken note of, by instance.
    """

    entries: tuple[books.Entry, ...]
    starts: tuple[StartOrder, ...]
    seen: Mapping[str, int]


class Core:
    """The owner's state and decisions."""

    def __init__(
        self, order: queue_order.Order, log: Callable[..., None] = logs.info
    ):
        self._order = order
        self._log = log
        self.book = books.Book()
        self.instances: dict[str, rooms.Instance] = {}
        self.queues: Mapping[str, fleet.Queue] = {}
        self.pools: Mapping[str, fleet.Pool] = {}
        self.tickets: dict[tuple[str, int, int], Mapping[str, str]] = {}
        self._ticket_until: dict[tuple[str, int, int], float] = {}
        self.waiting_cpu: Mapping[str, int] = {}
        self._early_cancels: set[str] = set()
        self._starts: list[StartOrder] = []
        self._stops: list[StopOrder] = []
        self._changed = True

    # Configuration and membership.

    def configured(self, config: fleet.FleetConfig) -> None:
        """Takes a configuration into force."""
        self.queues = {queue.name: queue for queue in config.queues}
        self.pools = config.pools
        self._changed = True

    def registered(self, registration: fleet.Registration, now: float) -> bool:
        """Takes note of an instance; returns whether it is a new one."""
        self._changed = True
        known = self.instances.get(registration.instance)
        if known is None:
            instance = rooms.Instance(registration, now)
            self.instances[registration.instance] = instance
            return True
        known.registration = registration
        known.listed = True
        return False

    def unlisted(self, name: str) -> None:
        """Takes note that an instance left the platform's list.

        That is no proof that it stopped: it may be cut off and run on.
        """
        if name in self.instances:
            self.instances[name].listed = False

    # Jobs.

    def job_added(self, job: jobs.Job, now: float) -> None:
        """Takes in a job; one that is known already changes nothing."""
        if self.book.get(job.job_id) is not None:
            return
        entry = books.Entry(job, now)
        self.book.add(entry)
        self._changed = True
        if job.job_id in self._early_cancels:
            self._early_cancels.remove(job.job_id)
            self._end_job(entry, jobs.JobState.CANCELLED, now)

    def restore(
        self,
        job: jobs.Job,
        document: Mapping[str, object],
        version: int,
        now: float,
    ) -> None:
        """Takes in a job with the row that an earlier owner wrote."""
        entry = books.Entry(job, now)
        entry.unpack(document)
        entry.version = version
        self.book.add(entry)

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
                            self._add_ghost(name, now)
                        self._inherit(step, task, now)
        for instance in self.instances.values():
            instance.lapses_at = lapses_at
        return unlisted

    def _add_ghost(self, name: str, now: float) -> None:
        """Adds an instance of which nothing but its id is known."""
        unknown = fleet.Registration(
            name, "", "", "", True, fleet.Resources(0, 0), ()
        )
        ghost = rooms.Instance(unknown, now)
        ghost.listed = False
        ghost.silent = True
        self.instances[name] = ghost

    def _inherit(
        self, step: books.OpenStep, task: books.Task, now: float
    ) -> None:
        run = rooms.Run(
            task.name, task.run, step.step, books.need(step.step), now
        )
        run.sent = True
        run.inherited = True
        self.instances[task.instance].add(run)

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
            self._end_job(entry, jobs.JobState.CANCELLED, now)

    def _end_job(
        self, entry: books.Entry, state: jobs.JobState, now: float
    ) -> None:
        self._log("job {} ended as {}", entry.job.job_id, state.value)
        entry.end(state)
        self.book.touch(entry)
        for instance in self.instances.values():
            for run in list(instance.runs.values()):
                if run.task.job_id == entry.job.job_id:
                    self.stop_run(instance, run, now)

    # What instances say.

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
        instance.heard_at = now
        instance.clock_ms, instance.clock_at = held.clock_ms, now
        if instance.silent or not instance.adopted:
            self._changed = True
        instance.silent = False
        for end in held.ended:
            if end.number > instance.last_end:
                instance.last_end = end.number
                self._ended(instance, end, now)
        listed = set()
        for row in held.running:
            listed.add((row.task, row.run))
            self._listed(instance, row, now)
        for run in list(instance.runs.values()):
            if run.key not in listed:
                self._missing(instance, run, began_at, now)
        instance.adopted = True

    def _listed(
        self, instance: rooms.Instance, row: fleet.Running, now: float
    ) -> None:
        run = instance.runs.get((row.task, row.run))
        if run is None:
            run = self._found(instance, row, now)
            if run is None:
                return
        run.confirmed = True
        run.inherited = False
        progress.observe(instance, run, row.percent, now)
        run.gauge = row.gauge
        run.saved = row.saved or run.saved

    def _found(
        self, instance: rooms.Instance, row: fleet.Running, now: float
    ) -> rooms.Run | None:
        """Accounts for a run that is not in the book; it is stopped.

        It may be listed by an answer that was on its way while its end was
        taken note of: such a run is over and takes no room.
        """
        entry = self.book.get(row.task.job_id)
        if entry is None or row.task.step >= len(entry.job.steps):
            step = jobs.Step(count=1)
        else:
            step = entry.job.steps[row.task.step]
        if instance.adopted:
            self._stops.append(StopOrder(instance.name, row.task, row.run))
            return None
        run = rooms.Run(row.task, row.run, step, books.need(step), now)
        run.sent = run.confirmed = True
        instance.add(run)
        self.stop_run(instance, run, now)
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
        void = run.void_since is not None and run.void_since < began_at
        if inherited or void:
            self._release(instance, run, now)

    def _ended(
        self, instance: rooms.Instance, end: fleet.End, now: float
    ) -> None:
        """Takes note of one listed end."""
        run = instance.remove((end.task, end.run))
        self._changed = True
        entry = self.book.get(end.task.job_id)
        if entry is None or entry.ended is not None:
            return
        task = entry.task(end.task)
        if task is None:
            return
        if end.how is fleet.How.DONE:
            self._done(entry, task, instance, now)
            return
        if end.how is fleet.How.FAILED:
            self._failed(entry, task, end, instance, now)
            if entry.ended is not None:
                return
        current = task.run == end.run and task.state is books.TaskState.ASSIGNED
        if current and task.instance == instance.name:
            self._requeue(entry, task, end.saved or (run.saved if run else ""))

    def _done(
        self,
        entry: books.Entry,
        task: books.Task,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        if task.state is books.TaskState.DONE:
            return
        instance.failures_in_row.clear()
        instance.suspensions = 0
        name = task.name
        step = entry.open[name.occurrence, name.step]
        if step.step.long_running:
            # It is to run until it is cancelled, however it ends.
            self._requeue(entry, task, "")
            return
        # One member's end stands for the whole gang.
        ended = step.tasks if step.step.gang else [task]
        for member in ended:
            if member is not task:
                member.state = books.TaskState.DONE
                continue
            if task.state is books.TaskState.ASSIGNED:
                self._stop_other_run(task, now)
            member.state = books.TaskState.DONE
        if step.done:
            entry.close_step(step)
            if entry.ended is not None:
                self._log("job {} completed", entry.job.job_id)
        self.book.touch(entry)

    def _stop_other_run(self, task: books.Task, now: float) -> None:
        """Stops a run that goes on although an earlier one is done."""
        other = self.instances.get(task.instance)
        if other is None:
            return
        run = other.runs.get((task.name, task.run))
        if run is not None:
            self.stop_run(other, run, now)

    def _failed(
        self,
        entry: books.Entry,
        task: books.Task,
        end: fleet.End,
        instance: rooms.Instance,
        now: float,
    ) -> None:
        if end.run <= task.counted_run:
            return
        task.counted_run = end.run
        task.failed += 1
        task.avoid.add(instance.name)
        self.book.touch(entry)
        self._log(
            "task {} run {} failed on {}", task.name, end.run, instance.name
        )
        name = task.name
        step = entry.open[name.occurrence, name.step]
        self._judge_instance(instance, entry.job.job_id, now)
        queue = self.queues.get(entry.job.queue)
        allowed = queue.max_attempts if queue else 1
        if not step.step.long_running and step.failures >= allowed:
            self._end_job(entry, jobs.JobState.FAILED, now)

    def _judge_instance(
        self, instance: rooms.Instance, job_id: str, now: float
    ) -> None:
        """Suspends an instance on which job after job fails."""
        instance.failures_in_row.add(job_id)
        if len(instance.failures_in_row) < SUSPEND_FAILURES:
            return
        instance.failures_in_row.clear()
        wait = SUSPEND_S * 2 ** min(instance.suspensions, MAX_SUSPENSIONS)
        instance.suspensions += 1
        instance.suspended_until = now + wait
        self._log("instance {} suspended for {} s", instance.name, wait)

    def _requeue(
        self, entry: books.Entry, task: books.Task, saved: str
    ) -> None:
        task.state = books.TaskState.WAITING
        task.instance = ""
        name = task.name
        if saved and entry.job.steps[name.step].checkpointable:
            self._save(entry, task, saved)
        self.book.touch(entry)
        self._changed = True

    def _save(self, entry: books.Entry, task: books.Task, saved: str) -> None:
        """Keeps a checkpoint; one member's is valid for its whole gang."""
        name = task.name
        step = entry.open[name.occurrence, name.step]
        for member in step.tasks if step.step.gang else [task]:
            member.saved = saved

    def _release(
        self, instance: rooms.Instance, run: rooms.Run, now: float
    ) -> None:
        """Frees a run that is surely over without a listed end."""
        del now
        instance.remove(run.key)
        self._changed = True
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None:
            return
        current = task.run == run.run and task.instance == instance.name
        if current and task.state is books.TaskState.ASSIGNED:
            self._requeue(entry, task, run.saved)

    def gone(self, name: str, now: float, why: str) -> None:
        """Takes note that an instance is surely over with all it ran."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        self._log(
            "instance {} is gone ({}), {} runs with it",
            name,
            why,
            len(instance.runs),
        )
        for run in list(instance.runs.values()):
            self._release(instance, run, now)
        self._changed = True

    def silent(self, name: str, now: float) -> None:
        """Takes note that an instance does not answer."""
        instance = self.instances.get(name)
        if instance is not None and not instance.silent:
            instance.silent = True
            age = now - instance.heard_at
            self._log("instance {} is silent for {:.2f} s", name, age)

    def lapse(self, now: float) -> None:
        """Frees what ran on silent instances once its lease has lapsed."""
        for instance in list(self.instances.values()):
            if not instance.silent or now < instance.lapses_at:
                continue
            if instance.runs:
                self._log(
                    "the lease of {} runs on {} has lapsed",
                    len(instance.runs),
                    instance.name,
                )
                for run in list(instance.runs.values()):
                    self._release(instance, run, now)
            if not instance.listed:
                self.gone(instance.name, now, "unlisted and silent")

    # What comes of orders.

    def started(self, instance: str, key: rooms.RunKey) -> None:
        """Takes note that an instance accepted a start."""
        run = self._run(instance, key)
        if run is not None:
            run.confirmed = True

    def start_refused(
        self,
        name: str,
        key: rooms.RunKey,
        reason: fleet.Reason,
        certain: bool,
        now: float,
    ) -> None:
        """Takes note that a start was refused.

        Args:
            name: the instance.
            key: task and run.
            reason: what the instance says.
            certain: no earlier copy of the start can take effect any more.
            now: monotonic seconds.
        """
        instance = self.instances.get(name)
        run = self._run(name, key)
        if instance is None or run is None:
            return
        self._log("start of {} refused by {}: {}", key, name, reason.value)
        if reason in (fleet.Reason.UNHEALTHY, fleet.Reason.NO_ROOM):
            instance.suspended_until = max(
                instance.suspended_until, now + UNHEALTHY_S
            )
        if reason is fleet.Reason.TICKET:
            step = key[0].job_id, key[0].occurrence, key[0].step
            self._ticket_until.pop(step, None)
        if reason is fleet.Reason.OLD:
            run.void_since = now
        elif certain:
            self._release(instance, run, now)
        else:
            self.stop_run(instance, run, now)

    def start_unanswered(
        self, name: str, key: rooms.RunKey, sent: bool, now: float
    ) -> bool:
        """Takes note that a start got no answer.

        Returns:
            Whether to send it again.
        """
        instance = self.instances.get(name)
        run = self._run(name, key)
        if instance is None or run is None or run.stopping is not None:
            return False
        if run.confirmed:
            return False
        if now - run.decided_at < DOUBT_S:
            return True
        if sent:
            self.stop_run(instance, run, now)
        else:
            self._release(instance, run, now)
        return False

    def stopped(self, name: str, key: rooms.RunKey, now: float) -> None:
        """Takes note that a stop was accepted: the run can't start any more.

        What runs has its end listed as soon as it has stopped.
        """
        run = self._run(name, key)
        if run is not None and run.void_since is None:
            run.void_since = now

    def stop_run(
        self, instance: rooms.Instance, run: rooms.Run, now: float
    ) -> None:
        """Decides that a run is to be stopped."""
        if run.stopping is None:
            run.stopping = now
        run.stop_sent_at = now
        self._stops.append(StopOrder(instance.name, run.task, run.run))

    def stop_again(self, now: float) -> None:
        """Repeats stops that had no effect yet."""
        for instance in self.instances.values():
            for run in instance.runs.values():
                if (
                    run.stopping is not None
                    and now - run.stop_sent_at >= STOP_AGAIN_S
                ):
                    self.stop_run(instance, run, now)

    def stop_stalled(self, now: float) -> None:
        """Stops tasks that stand still, where another instance has room."""
        for service in self.pools:
            instances = self.pool_instances(service)
            progress.mark_slow(instances)
            for instance in instances:
                if instance.silent:
                    continue
                for run in list(instance.runs.values()):
                    if progress.stalled(run, now):
                        self._give_up(instance, run, instances, now)

    def _give_up(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        others: Iterable[rooms.Instance],
        now: float,
    ) -> None:
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        room = any(
            other is not instance and other.usable(now) and other.fits(run.need)
            for other in others
        )
        if task is None or not room:
            return
        task.avoid.add(instance.name)
        instance.suspended_until = max(
            instance.suspended_until, now + SUSPEND_S
        )
        self._log("task {} stands still on {}", run.task, instance.name)
        self.stop_run(instance, run, now)

    def _run(self, instance: str, key: rooms.RunKey) -> rooms.Run | None:
        known = self.instances.get(instance)
        return known.runs.get(key) if known else None

    # Planning.

    def service_of(self, entry: books.Entry) -> str:
        """Returns the pool that a job's tasks run in now."""
        queue = self.queues.get(entry.job.queue)
        return queue.service if queue else entry.job.service

    def pool_instances(self, service: str) -> list[rooms.Instance]:
        """Returns a pool's instances."""
        return [
            instance
            for instance in self.instances.values()
            if instance.registration.service == service
        ]

    def least_instances(self, service: str) -> int:
        """Returns how many instances the lasting tasks of a pool need.

        Tasks that may not share an instance need one each, whatever the load.
        """
        least = 1
        for entry in self.book.live.values():
            if self.service_of(entry) != service:
                continue
            for step in entry.open.values():
                apart = step.step.anti_affinity
                if step.step.long_running and apart:
                    least = max(least, -(-step.step.count // apart))
        return least

    def ready_steps(self, wall_ms: float) -> dict[str, list[books.OpenStep]]:
        """Returns open steps with waiting tasks, by pool, in order."""
        steps: dict[str, list[tuple[queue_order.Key, books.OpenStep]]] = {}
        for entry in self.book.live.values():
            queue = self.queues.get(entry.job.queue)
            service = self.service_of(entry)
            for step in entry.open_steps(wall_ms):
                if any(
                    task.state is books.TaskState.WAITING for task in step.tasks
                ):
                    key = self._order(step, queue, wall_ms)
                    steps.setdefault(service, []).append((key, step))
        return {
            service: [step for _, step in sorted(found, key=_by_key)]
            for service, found in steps.items()
        }

    def plan(self, now: float, wall_ms: float) -> None:
        """Assigns waiting tasks to instances with room."""
        self._changed = False
        ready = self.ready_steps(wall_ms)
        self._plan_steps(ready, now)
        self.waiting_cpu = {
            service: _waiting_cpu(steps) for service, steps in ready.items()
        }

    def _plan_steps(
        self, ready: Mapping[str, list[books.OpenStep]], now: float
    ) -> None:
        for service, steps in ready.items():
            instances = self.pool_instances(service)
            for step in steps:
                self._place(step, instances, now)

    def _place(
        self,
        step: books.OpenStep,
        instances: Iterable[rooms.Instance],
        now: float,
    ) -> None:
        tickets = self.tickets_for(step, now)
        if tickets is not None and not tickets:
            return
        candidates = placement.eligible(step, instances, now, tickets)
        if not candidates:
            return
        chosen = placement.choose(step, candidates)
        if not chosen:
            return
        highest = max(task.run for task, _ in chosen)
        for task, instance in chosen:
            run = highest + 1 if step.step.gang else task.run + 1
            ticket = tickets.get(instance.name, "") if tickets else ""
            self._assign(step, task, instance, run, ticket, now)
        step.entry.started = True
        self.book.touch(step.entry)

    def _assign(
        self,
        step: books.OpenStep,
        task: books.Task,
        instance: rooms.Instance,
        number: int,
        ticket: str,
        now: float,
    ) -> None:
        task.state = books.TaskState.ASSIGNED
        task.run = number
        task.instance = instance.name
        run = rooms.Run(
            task.name, number, step.step, books.need(step.step), now
        )
        run.percent_at = now
        instance.add(run)
        self._starts.append(
            StartOrder(
                instance.name,
                task.name,
                number,
                step.entry.job.spec,
                task.saved,
                ticket,
            )
        )

    def tickets_for(
        self, step: books.OpenStep, now: float
    ) -> Mapping[str, str] | None:
        """Returns the tickets of a step, None where it needs none."""
        queue = self.queues.get(step.entry.job.queue)
        if queue is None or queue.advice is None:
            return None
        key = (step.entry.job.job_id, step.occurrence, step.number)
        if self._ticket_until.get(key, 0.0) <= now:
            return {}
        return self.tickets.get(key, {})

    def advised(
        self,
        step: books.OpenStep,
        tickets: Mapping[str, str],
        until: float,
    ) -> None:
        """Takes note of a step's tickets, good until a monotonic second."""
        key = (step.entry.job.job_id, step.occurrence, step.number)
        self.tickets[key] = tickets
        self._ticket_until[key] = until
        self._changed = True

    # What is to be done.

    @property
    def changed(self) -> bool:
        """Whether something happened that a plan may act on."""
        return self._changed

    @property
    def has_work(self) -> bool:
        """Whether there is something to write."""
        return self.book.has_dirty

    def take_batch(self, limit: int) -> Batch:
        """Takes the next rows to write, with what follows from them."""
        entries = tuple(self.book.take_dirty(limit))
        ids = {entry.job.job_id for entry in entries}
        starts = [s for s in self._starts if s.task.job_id in ids]
        self._starts = [s for s in self._starts if s.task.job_id not in ids]
        seen = {
            name: instance.last_end for name, instance in self.instances.items()
        }
        if self.book.has_dirty:
            # Some of these ends are not in this batch.
            seen = {}
        return Batch(entries, tuple(starts), seen)

    def take_stops(self) -> list[StopOrder]:
        """Takes the stops that are to be sent."""
        stops, self._stops = self._stops, []
        return stops

    def may_send(self, start: StartOrder) -> bool:
        """Whether a recorded start is still wanted; it then counts as sent."""
        run = self._run(start.instance, (start.task, start.run))
        if run is None or run.stopping is not None:
            return False
        run.sent = True
        return True


def _waiting_cpu(steps: Iterable[books.OpenStep]) -> int:
    return sum(books.need(step.step).cpu * len(step.waiting) for step in steps)


def _by_key(
    item: tuple[queue_order.Key, books.OpenStep],
) -> tuple[queue_order.Key, float]:
    return item[0], item[1].entry.heard_at
