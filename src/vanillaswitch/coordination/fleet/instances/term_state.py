"""State of one term of ownership and the actions it has decided on."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.coordination.fleet.accounts import shares
from vanillaswitch.coordination.fleet.instances import late_starts
from vanillaswitch.coordination.fleet.queue import arrival_rate
from vanillaswitch.coordination.fleet.queue import duration_estimates
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import reservations
from vanillaswitch.coordination.fleet.queue import tickets as ticket_book
from vanillaswitch.protocol import accounts as account_lib
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

DEFAULT_BOUNDS = deployments.Bounds()
NO_OVERLOAD_CONTROLS = deployments.OverloadControls()

MAX_BATCH_DOCUMENT_BYTES = 600_000
"""Limit on the documents of one transaction, in bytes of JSON. The store takes
calls of 1 MB, and base64 and addresses add two fifths."""


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """An order to start a run; may be sent once its job's row is written."""

    instance: str
    task: jobs.TaskName
    run: int
    spec: str
    checkpoint: str
    ticket: str


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """An order to stop a run."""

    instance: str
    task: jobs.TaskName
    run: int


@dataclasses.dataclass(frozen=True)
class WriteBatch:
    """Rows to write together, and what may follow once they are written.

    Attributes:
        entries: jobs whose rows are written.
        starts: starts to send afterwards.
        recorded_ends: number of the last processed end, by instance. It may be
            acknowledged afterwards.
        incarnations: the incarnation that numbered this end, by instance.
    """

    entries: tuple[job_tracker.JobEntry, ...]
    starts: tuple[StartOrder, ...]
    recorded_ends: Mapping[str, int]
    incarnations: Mapping[str, int]


class TermState:
    """Jobs, instances and configuration as the owner knows them.

    Attributes:
        tracker: all accepted jobs.
        instances: instances by id.
        queues: configured queues by name.
        pools: configured pools by name.
        accounts: configured client accounts.
        account_usage: what the client accounts have running.
        unreadable_jobs: jobs of which only the progress is known, because their
            own rows are in a part of the store that is unavailable.
        tickets: tickets of the advice service. An instance refuses a start
            without a valid ticket if the queue of its job has an advisor.
        jobs_without_spec: jobs that could start if their spec had been read.
        backlog_cpu: thousandths of a core that ready tasks wait for, by pool.
        backlog_cpu_by_group: the same by pool and by group of urgency. Set only
            where machines are allocated by it.
        arrivals: recently arrived jobs, by pool.
        has_more_due: whether the next plan opens further occurrences of a job,
            because the last one started those that were open.
        backlog_load: load of the waiting tasks that are not long-running, by
            pool.
    """

    def __init__(
        self,
        order: queue_order.Order,
        emit: Callable[[object], None],
        bounds: deployments.Bounds = DEFAULT_BOUNDS,
        overload: deployments.OverloadControls = NO_OVERLOAD_CONTROLS,
    ):
        """Creates the empty state of a new term.

        Args:
            order: scheduling order; decides which open step gets capacity
                first.
            emit: receives each event of ``events``.
            bounds: limits of the deployment.
            overload: decisions in force while callers compete for capacity.
        """
        self._bounds = bounds
        self._overload = overload
        self._queue_order = order
        self._emit = emit
        self.tracker = job_tracker.JobTracker()
        self.instances: dict[str, instance_state.Instance] = {}
        self.queues: Mapping[str, fleet.Queue] = {}
        self._removed_queues: dict[str, fleet.Queue] = {}
        self.pools: Mapping[str, fleet.Pool] = {}
        self.accounts = account_lib.AccountDirectory()
        self.account_usage = limits.AccountUsage()
        self._shares = shares.ShareTracker(bounds.share_window_s)
        self._durations = (
            duration_estimates.DurationEstimates()
            if overload.learned_durations
            else None
        )
        self._unjudged: list[job_tracker.JobEntry] = []
        self._limited_accounts: set[str] = set()
        self._limited_at: dict[str, float] = {}
        self._held_up_pools: set[str] = set()
        self.unreadable_jobs: Collection[str] = frozenset()
        self.tickets = ticket_book.TicketBook()
        self._forget_steps_at = float("-inf")
        self._ticket_waits = reservations.TicketWaits()
        self._reserved_in_plan: dict[str, tuple[str, int, int]] = {}
        self.jobs_without_spec: tuple[str, ...] = ()
        self.backlog_cpu: Mapping[str, int] = {}
        self.has_more_due = False
        self.backlog_cpu_by_group: Mapping[
            str, Mapping[queue_order.Group, int]
        ] = {}
        self._last_plan_time: queue_order.PlanTime | None = None
        self.arrivals: dict[str, arrival_rate.ArrivalRate] = {}
        self.backlog_load: Mapping[str, fleet.Load] = {}
        self._registrations_stale = False
        self._ids_recur = False
        self._late_starts = late_starts.LateStarts()
        self._inherited_starts_until = float("-inf")
        self._holding_instances: set[str] = set()
        self._ruled_out_runs: dict[instance_state.RunKey, str] = {}
        self._deferred_tasks: dict[jobs.TaskName, late_starts.DeferredTask] = {}
        self._cancels_before_job: set[str] = set()
        self._pending_starts: list[StartOrder] = []
        self._pending_stops: list[StopOrder] = []
        self._needs_plan = True

    @property
    def overload(self) -> deployments.OverloadControls:
        """Decisions in force while callers compete for capacity."""
        return self._overload

    @property
    def _max_document_bytes(self) -> int:
        """Limit on the document of a job, in bytes of JSON.

        The store takes rows in base64, which adds a third.
        """
        return self._bounds.max_row_bytes * 3 // 4

    @property
    def unavailability_grace_s(self) -> float:
        """Seconds for which an unavailable long-running task uses no budget."""
        return self._bounds.missing_after_s

    def apply_config(self, config: fleet.FleetConfig) -> None:
        """Applies a configuration."""
        former = self._removed_queues | dict(self.queues)
        self.queues = {queue.name: queue for queue in config.queues}
        self._removed_queues = {
            name: queue
            for name, queue in former.items()
            if name not in self.queues
        }
        self.pools = config.pools
        self.accounts = config.accounts
        self._needs_plan = True

    def account_limit(self, account: str) -> account_lib.ResourceLimit:
        """Returns the limit of a client account.

        An account that is no longer configured has none: its accepted jobs end
        as they were promised, and no more can come.
        """
        found = self.accounts.by_name.get(account)
        return found.limit if found else limits.NO_LIMIT

    def accounts_with_used_up_share(self, now: float) -> tuple[str, ...]:
        """Returns client accounts whose next job would be beyond their share.

        Args:
            now: monotonic seconds.
        """
        return tuple(
            account.name
            for account in self.accounts.by_name.values()
            if self._shares.is_used_up(account.name, account.weight, now)
        )

    def handle_registration(
        self, registration: fleet.Registration, now: float
    ) -> bool:
        """Adds or updates an instance; returns whether it is new."""
        self._needs_plan = True
        # Only instances that may restart under their id tell when they started.
        self._ids_recur |= registration.born_ms is not None
        known = self.instances.get(registration.instance)
        if known is None:
            instance = instance_state.Instance(
                registration, now, self.account_usage
            )
            self.instances[registration.instance] = instance
            self._emit_instance_changed(instance, "listed", "", now)
            return True
        if registration.is_draining and not known.registration.is_draining:
            self._emit_instance_changed(
                known,
                "draining",
                "its registration says that it is draining",
                now,
            )
        if known.has_unreadable_registration:
            self._emit_instance_changed(
                known, "listed", "its registration can be read again", now
            )
        known.update_registration(registration)
        known.is_listed = True
        known.is_gone = False
        known.has_unreadable_registration = False
        return False

    def mark_registration_unreadable(
        self, name: str, why: str, now: float
    ) -> None:
        """Marks an instance whose registration can't be read.

        Another writer may have overwritten it, so the instance may be running
        or gone. The leases of its runs are renewed at the last known address.
        The runs keep their capacity until the instance reports their end or
        their lease has expired. If their tasks started elsewhere before, they
        could run twice. The instance gets no new work.
        """
        known = self.instances.get(name)
        if known is None or known.has_unreadable_registration:
            return
        known.has_unreadable_registration = True
        self._needs_plan = True
        self._emit_instance_changed(known, "distrusted", why, now)

    def should_poll(self, name: str) -> bool:
        """Whether an instance is polled and its leases are renewed.

        An instance of a service that is not configured as a pool is not
        managed. Runs that were started there before keep their leases until
        they end.
        """
        known = self.instances.get(name)
        if known is None or not known.registration.address:
            return False
        return bool(known.runs) or known.registration.service in self.pools

    def mark_unlisted(self, name: str) -> None:
        """Marks an instance that left the platform's list.

        This does not prove that it stopped: it may be unreachable but running.
        """
        if name in self.instances:
            self.instances[name].is_listed = False

    def begin_machine_order(
        self, instance: instance_state.Instance, order: str, now: float
    ) -> None:
        """Records an order that may end all runs of an instance.

        Several orders may concern one machine at the same time, such as the
        maintenance of two waves. Only whoever sent an order knows whether it
        may still take effect, so each is recorded by its own name.

        Args:
            instance: the instance on the machine.
            order: name of the order; recording it again has no effect.
            now: monotonic seconds.
        """
        if order not in instance.machine_orders:
            instance.machine_orders.add(order)
            self._emit_instance_changed(instance, "terminating", order, now)

    def settle_machine_order(
        self,
        instance: instance_state.Instance,
        order: str,
        why: str,
        now: float,
    ) -> None:
        """Records that an order does not end an instance.

        Args:
            instance: the instance on the machine.
            order: name of the order; has no effect if it is not recorded.
            why: why the order can't take effect any more.
            now: monotonic seconds.
        """
        if order in instance.machine_orders:
            instance.machine_orders.remove(order)
            why = f"{order}: {why}"
            self._emit_instance_changed(instance, "continues", why, now)

    def _emit_instance_changed(
        self,
        instance: instance_state.Instance,
        change: str,
        why: str,
        now: float,
    ) -> None:
        self._emit(
            events.InstanceChanged(
                instance.name,
                instance.registration.service,
                change,
                why,
                int((now - instance.last_contact_at) * 1000),
                len(instance.runs),
            )
        )

    def queue_of(self, entry: job_tracker.JobEntry) -> fleet.Queue | None:
        """Returns the queue of a job, also if it was removed.

        An accepted job ends under the terms of its queue, whatever is removed
        meanwhile. An owner that never knew the queue has only the terms that
        the job's row holds; None if these are none but the attempts.
        """
        job = entry.job
        known = self.queues.get(job.queue) or self._removed_queues.get(
            job.queue
        )
        if known is None and job.advice is not None:
            known = fleet.Queue(
                job.queue, "", "", job.service, advice=job.advice
            )
            self._removed_queues[job.queue] = known
        return known

    @property
    def has_advised_queue(self) -> bool:
        """Whether a queue has an advisor, also one that was removed."""
        return any(
            queue.advice
            for queues in (self.queues, self._removed_queues)
            for queue in queues.values()
        )

    def max_attempts_of(self, entry: job_tracker.JobEntry) -> int:
        """Returns how many failed runs of one task fail a job."""
        configured = self.queues.get(entry.job.queue)
        if configured is None and entry.job.attempt_limit:
            return entry.job.attempt_limit
        queue = self.queue_of(entry)
        return queue.max_attempts if queue else 1

    def pool_name_of(self, entry: job_tracker.JobEntry) -> str:
        """Returns the name of the pool that a job's tasks run in."""
        queue = self.queue_of(entry)
        return queue.service if queue else entry.job.service

    def pool_instances(self, service: str) -> list[instance_state.Instance]:
        """Returns the instances of a pool."""
        return self.instances_by_pool().get(service, [])

    def instances_by_pool(self) -> dict[str, list[instance_state.Instance]]:
        """Returns the instances of each pool that has any."""
        by_pool: dict[str, list[instance_state.Instance]] = {}
        for instance in self.instances.values():
            service = instance.registration.service
            by_pool.setdefault(service, []).append(instance)
        return by_pool

    def _mark_job_started(self, job_id: str) -> None:
        """Marks a job as started: one of its tasks runs or has run."""
        entry = self.tracker.get(job_id)
        if entry is not None:
            self.tracker.mark_started(entry)

    def _find_run(
        self, instance: str, key: instance_state.RunKey
    ) -> instance_state.Run | None:
        known = self.instances.get(instance)
        return known.runs.get(key) if known else None

    @property
    def needs_plan(self) -> bool:
        """Whether something changed that planning has to consider."""
        return self._needs_plan

    @property
    def has_rows_to_write(self) -> bool:
        """Whether there are rows to write."""
        return self.tracker.has_dirty

    def take_batch(self, limit: int) -> WriteBatch:
        """Removes and returns the next rows to write and their starts."""
        entries = tuple(
            self.tracker.take_dirty(limit, MAX_BATCH_DOCUMENT_BYTES)
        )
        ids = {entry.job.job_id for entry in entries}
        starts = [s for s in self._pending_starts if s.task.job_id in ids]
        self._pending_starts = [
            s for s in self._pending_starts if s.task.job_id not in ids
        ]
        recorded_ends = {
            name: instance.acknowledged_end
            for name, instance in self.instances.items()
        }
        if self.tracker.has_dirty:
            # Some of these ends belong to jobs that are not in this batch.
            recorded_ends = {}
        incarnations = {
            name: self.instances[name].incarnation for name in recorded_ends
        }
        return WriteBatch(entries, tuple(starts), recorded_ends, incarnations)

    def take_stops(self) -> list[StopOrder]:
        """Removes and returns the stops to send."""
        stops, self._pending_stops = self._pending_stops, []
        return stops
