"""Runs the owner's greenlets for one term.

A term is the time from a successful take-over of the fleet until the process
releases or loses it. During its term the owner loads the state that earlier
owners stored, plans which tasks run where, and writes what changes.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools

import gevent
import gevent.event

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.admission import backlog
from vanillaswitch.coordination.fleet.admission import load_reports
from vanillaswitch.coordination.fleet.admission import refusals
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import instance_clients
from vanillaswitch.coordination.fleet.instances import registration_watcher
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.instances import ticket_refresher
from vanillaswitch.coordination.fleet.machines import machine_controller
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import job_tables
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.coordination.fleet.ownership import retention
from vanillaswitch.coordination.fleet.ownership import spec_table
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import pacing
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import time_slices
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

BATCH_WINDOW_S = 0.008
"""Pause before rows are written, and between two plans, which batches events
that occur close together. A transaction takes 7 ms, so the pause adds little. A
plan visits all steps whose tasks may run; a plan after each answer of an
instance took most of the owner's time in a fleet of some hundred instances."""

MAX_LOAD_S = 6.0
"""Time for loading the rows, with retries. After that the owner releases the
fleet, because another process may succeed if only this one's reads fail.
Without retries, the owner changed every 0.1 s for half a minute while a part of
a table was unavailable."""

PLAN_PAUSE_FACTOR = 3.0
"""Pause after a plan, as a multiple of its duration, so that planning takes at
most a quarter of the owner's time. With hundreds of waiting jobs, a plan takes
more than 100 ms on 0.12 of a core. Without pauses, planning left no time for
starts and lease renewals, and the owner lost the fleet."""

SLOW_PLAN_S = owner_monitor.RENEW_INTERVAL_S / 4
"""A plan that takes longer is reported."""

MEASUREMENT_PAUSE_FACTOR = 9.0
"""Pause after a measurement of the load, as a multiple of its duration, so that
it takes at most a tenth of the owner's time. A measurement visits all
unfinished jobs, of which there are some thousand in an overload."""

TICK_S = 0.1
"""Interval of the checks for conditions that come about by time alone, such as
expired leases, recurring jobs that are due and tasks without progress."""


TABLE_COUNT = 4
"""Tables that a new owner loads: instances, jobs, progress, cancellations."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """Services and stores that an owner uses.

    Attributes:
        table: writes rows, and reads single rows.
        feed: reads whole tables and their changes.
        upstreams: sends orders to instances.
        machines: lists the platform's machines and sends orders for them.
        advisor: says which instances may run a step.
        registration_table: name of the table in which instances register.
        decode_registration: decodes a row of that table.
        waves: orders and progress of maintenance waves.
        time: estimates the store's clock and the time of day, so that the
            processes agree on them.
        partition_of: returns the partition of a row's key. A transaction can't
            span partitions; by default each row is its own.
    """

    table: platform.Table
    feed: change_feeds.ChangeFeed
    upstreams: fleet.Upstreams
    machines: fleet.Machines
    advisor: fleet.Advisor
    registration_table: str
    decode_registration: registration_watcher.RegistrationDecoder
    waves: wave_controller.WaveStore
    time: reference_clock.ReferenceClock
    partition_of: Callable[[str], str] = lambda key: key


@dataclasses.dataclass(frozen=True)
class _OwnerAdmission:
    """What the owner does for processes that refuse jobs for load.

    Attributes:
        meter: measures the backlog of the pools.
        remover: removes old rows of refusals.
        asker_count: estimates how many processes ask for the backlog.
    """

    meter: backlog.BacklogMeter
    remover: refusals.RefusalRemover
    asker_count: load_reports.AskerCount


class Owner:
    """Plans, starts and records tasks during one term."""

    def __init__(
        self,
        dependencies: Dependencies,
        writer: fenced_writer.FencedWriter,
        settings: deployments.Deployment,
        config: Callable[[], fleet.FleetConfig | None],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._dependencies = dependencies
        self._writer = writer
        self._settings = settings
        self._config = config
        self._clock = clock
        self._config_version = -1
        self._is_loaded = False
        self._is_finishing = False
        self._progress_to_remove: list[job_tracker.JobEntry] = []
        self._is_recording = False
        self._replan_event = gevent.event.Event()
        self._scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(
                queue_order.FAIR_ORDER
                if settings.overload.fair_order
                else queue_order.DEFAULT_ORDER
            ),
            emit,
            settings.bounds,
            settings.overload,
        )
        self._call_context = instance_client.CallContext(
            self._scheduler,
            dependencies.upstreams,
            writer,
            clock,
            self._replan_event,
        )
        self._instance_clients = instance_clients.InstanceClients(
            self._call_context
        )
        self._ticket_refresher = ticket_refresher.TicketRefresher(
            self._scheduler,
            dependencies.advisor,
            clock,
            self._replan_event,
            lambda: dependencies.time.wall_now_ms,
            emit,
        )
        self._watcher = registration_watcher.RegistrationWatcher(
            self._scheduler,
            dependencies.feed,
            dependencies.registration_table,
            dependencies.decode_registration,
            clock,
            emit,
            self._replan_event.set,
            settings.bounds.contact_s + settings.heartbeat_s,
        )
        self._spec_table = spec_table.SpecTable(
            self._scheduler,
            dependencies.table,
            dependencies.feed,
            clock,
            lambda: writer.last_written_version,
            emit,
            self._replan_event.set,
        )
        self._job_tables = job_tables.JobTables(
            self._scheduler,
            dependencies.feed,
            clock,
            dependencies.time,
            emit,
            self._replan_event.set,
            self._spec_table,
        )
        self._machine_controller = machine_controller.MachineController(
            self._scheduler,
            dependencies.machines,
            dependencies.waves,
            writer,
            settings,
            clock,
            self._replan_event,
            emit,
        )
        self._admission = (
            self._build_admission() if settings.overload.admission else None
        )

    @property
    def scheduler(self) -> schedulers.Scheduler:
        """Jobs and instances as the owner knows them, and its decisions."""
        return self._scheduler

    def recorded_state(
        self, job_id: str, account: str = ""
    ) -> jobs.JobState | None:
        """Returns a job's state as stored; None if the job is unknown.

        Args:
            job_id: the job.
            account: client account of the caller. The job of another account
                is unknown to it.
        """
        entry = self._scheduler.tracker.get(job_id)
        if entry is None or not entry.job.is_visible_to(account):
            return None
        return entry.recorded_state

    def count_pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started yet."""
        return self._scheduler.tracker.count_pending(queue)

    def answer_load(self, question: str) -> peers.LoadAnswer | None:
        """Returns the measured load; None unless one was measured recently.

        Args:
            question: id of the question that it answers; empty for one of this
                process.
        """
        if self._admission is None:
            return None
        meter = self._admission.meter
        now = self._clock.monotonic()
        if (
            meter.measured_at is None
            or now - meter.measured_at > load_reports.VALID_S
        ):
            return None
        askers = self._admission.asker_count
        others = askers.record(now) if question else askers.count
        return peers.LoadAnswer(
            question, True, meter.pools, meter.accounts, others + 1
        )

    def load(
        self, is_shutting_down: Callable[[], bool] = lambda: False
    ) -> bool:
        """Loads the instances and jobs from their tables.

        Renews the owner's lease meanwhile. Loading some thousand jobs takes
        longer than ``owner_monitor.TERM_TIMEOUT_S``, and a table may be
        unavailable for seconds while the owner's row is available.

        Args:
            is_shutting_down: returns whether the process is shutting down.

        Returns:
            Whether the rows could be loaded.
        """
        deadline = self._clock.monotonic() + MAX_LOAD_S
        with self._lease_renewal():
            while not self._writer.is_term_over and not is_shutting_down():
                if self._load_tables():
                    return True
                if self._clock.monotonic() >= deadline:
                    return False
                self._clock.sleep(table_follower.RETRY_S)
            return False

    @contextlib.contextmanager
    def _lease_renewal(self) -> Iterator[None]:
        """Renews the lease during the block, then waits for the last renewal.

        If the block raises, for example when the process shuts down, it does
        not wait for the last renewal: a store that never answers would keep the
        process from ending.
        """
        renewal = gevent.spawn(self._renew_until_loaded)
        try:
            yield
            self._is_loaded = True
            renewal.join()
        finally:
            renewal.kill(block=False)

    def _renew_until_loaded(self) -> None:
        while not self._is_loaded and not self._writer.is_term_over:
            self._writer.write([])
            self._clock.sleep(owner_monitor.RENEW_INTERVAL_S / 2)

    def _load_tables(self) -> bool:
        """Loads all tables; returns whether each could be read."""
        snapshots = [
            snapshot
            for table in (
                self._dependencies.registration_table,
                fenced_writer.JOB_TABLE,
                fenced_writer.PROGRESS_TABLE,
                fenced_writer.CANCEL_TABLE,
            )
            if (snapshot := self._read_table(table)) is not None
        ]
        if len(snapshots) < TABLE_COUNT:
            return False
        registrations, submitted, progress, cancelled = snapshots
        now = self._clock.monotonic()
        self._refresh_config()
        self._watcher.resume_from(registrations)
        self._job_tables.restore_and_resume(submitted, progress, cancelled, now)
        return True

    def _read_table(self, table: str) -> change_feeds.Snapshot | None:
        outcome = self._dependencies.feed.snapshot(table)
        if isinstance(outcome, change_feeds.Snapshot):
            return outcome
        self._emit(events.Dependency(f"table {table}", "lost", outcome.reason))
        return None

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Runs the owner's greenlets during the block.

        If one fails, its exception is raised in the block.
        """
        greenlets = [
            gevent.spawn(run)
            for run in (
                self._run_planning,
                self._run_recording,
                self._ticket_refresher.run,
                self._watcher.run,
                self._job_tables.follow_jobs,
                self._job_tables.follow_cancels,
                self._spec_table.follow,
                self._spec_table.read_missing,
                self._machine_controller.run,
                self._machine_controller.mover.run,
                self._run_retention,
                *self._admission_tasks(),
            )
        ]
        caller = gevent.getcurrent()
        for greenlet in greenlets:
            greenlet.link_exception(
                lambda failed: gevent.kill(caller, failed.exception)
            )
        self._instance_clients.start_missing()
        try:
            yield
        finally:
            gevent.killall(greenlets)

    def _build_admission(self) -> _OwnerAdmission:
        dependencies = self._dependencies
        mover = self._machine_controller.mover
        meter = backlog.BacklogMeter(
            self._scheduler,
            lambda: backlog.Machines(mover.arriving_cpu, mover.standby_cpu),
            self._settings.overload.pool_allocation,
            self._emit,
        )
        remover = refusals.RefusalRemover(
            dependencies.table,
            dependencies.feed,
            dependencies.partition_of,
            dependencies.time,
            self._clock,
            f"forget-{self._writer.token}",
            self._emit,
        )
        return _OwnerAdmission(meter, remover, load_reports.AskerCount())

    def _admission_tasks(self) -> tuple[Callable[[], None], ...]:
        if self._admission is None:
            return ()
        return (
            functools.partial(
                self._run_load_measurement, self._admission.meter
            ),
            self._admission.remover.follow,
            self._admission.remover.run,
        )

    def _run_load_measurement(self, meter: backlog.BacklogMeter) -> None:
        """Measures the load of the pools until the term ends."""
        while not self._writer.is_term_over and not self._is_finishing:
            slices = time_slices.TimeSlices(self._clock)
            now = self._clock.monotonic()
            wall_ms = self._dependencies.time.wall_now_ms
            meter.measure(now, wall_ms, slices.pause)
            duration_s = slices.busy_s
            self._clock.sleep(
                max(
                    load_reports.REFRESH_AFTER_S,
                    MEASUREMENT_PAUSE_FACTOR * duration_s,
                )
            )

    def wait(self, is_shutting_down: Callable[[], bool]) -> None:
        """Waits until the term is over or the process shuts down."""
        while not self._writer.is_term_over and not is_shutting_down():
            self._clock.sleep(TICK_S)

    def finish(self, timeout_s: float) -> None:
        """Stops planning and recording, and waits for the current write."""
        self._is_finishing = True
        deadline = self._clock.monotonic() + timeout_s
        while self._is_recording and self._clock.monotonic() < deadline:
            self._clock.sleep(BATCH_WINDOW_S)

    # Planning and recording.

    def _run_planning(self) -> None:
        """Plans after changes and periodically, until the term ends."""
        checked_at = float("-inf")
        while not self._writer.is_term_over and not self._is_finishing:
            self._replan_event.wait(TICK_S)
            self._replan_event.clear()
            slices = time_slices.TimeSlices(self._clock)
            now = self._clock.monotonic()
            is_check_due = now - checked_at >= TICK_S
            if is_check_due:
                checked_at = now
                self._run_periodic_checks(now)
            if is_check_due or self._scheduler.needs_plan:
                wall_ms = self._dependencies.time.wall_now_ms
                self._scheduler.plan(now, wall_ms, slices.pause)
                self._ticket_refresher.update_requests(slices.pause)
                if self._scheduler.has_more_due:
                    self._replan_event.set()
            self._send_stops()
            duration_s = slices.busy_s
            if duration_s >= SLOW_PLAN_S:
                self._emit_slow_plan(duration_s)
            self._clock.sleep(
                max(BATCH_WINDOW_S, PLAN_PAUSE_FACTOR * duration_s)
            )

    def _emit_slow_plan(self, duration_s: float) -> None:
        counts = {
            job_id: len(entry.open_steps_by_key)
            for job_id, entry in self._scheduler.tracker.unfinished.items()
        }
        largest = max(counts, key=counts.__getitem__, default="")
        self._emit(
            events.SlowPlan(
                int(duration_s * 1000),
                len(counts),
                sum(counts.values()),
                largest,
                counts.get(largest, 0),
            )
        )

    def _run_periodic_checks(self, now: float) -> None:
        """Runs the checks for conditions that come about by time alone."""
        self._refresh_config()
        self._watcher.mark_missing_unlisted(now)
        self._watcher.check_registration_age(now)
        self._instance_clients.start_missing()
        self._scheduler.release_expired_leases(now)
        self._scheduler.resend_stops(now)
        self._scheduler.stop_stalled_runs(now)
        self._send_pacing(now)

    def _send_stops(self) -> None:
        for stop in self._scheduler.take_stops():
            client = self._instance_clients.get(stop.instance)
            if client is not None:
                client.send_stop(stop)

    def _send_pacing(self, now: float) -> None:
        for name, instance in self._scheduler.instances.items():
            for pace in pacing.plan_paces(instance, now):
                client = self._instance_clients.get(name)
                if client is not None:
                    client.send_pace(pace)

    def _refresh_config(self) -> None:
        config = self._config()
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self._scheduler.apply_config(config)

    def _run_recording(self) -> None:
        """Writes changes and renews the lease until the term ends."""
        # Renews the lease immediately. Restoring thousands of jobs takes most
        # of a second on a weak machine, without a renewal in between.
        last_write_at = float("-inf")
        while not self._writer.is_term_over and not self._is_finishing:
            now = self._clock.monotonic()
            is_renewal_due = (
                now - last_write_at >= owner_monitor.RENEW_INTERVAL_S
            )
            if not is_renewal_due and not self._scheduler.has_rows_to_write:
                self._clock.sleep(BATCH_WINDOW_S)
                continue
            self._clock.sleep(BATCH_WINDOW_S)
            last_write_at = self._clock.monotonic()
            self._is_recording = True
            self._record(
                self._scheduler.take_batch(fenced_writer.MAX_ROWS_PER_WRITE)
            )
            self._is_recording = False

    def _run_retention(self) -> None:
        """Removes the rows of jobs that ended long ago, until the term ends."""
        while not self._writer.is_term_over and not self._is_finishing:
            self._clock.sleep(retention.SCAN_INTERVAL_S)
            store_ms = self._dependencies.time.store_now_ms
            if store_ms is None:
                continue
            expired = retention.expired_jobs(
                self._scheduler.tracker,
                self._settings.bounds.status_s,
                store_ms,
            )
            for entry in expired:
                job_id = entry.job.job_id
                if retention.remove_job(self._dependencies.table, job_id):
                    self._job_tables.on_job_removed(entry)
                    self._scheduler.tracker.remove(job_id)
                    self._progress_to_remove.append(entry)
                    self._emit(events.JobRemoved(job_id, entry.version))

    def _record(self, batch: term_state.WriteBatch) -> None:
        """Writes a batch of changed jobs, and removals of progress rows.

        Starts are sent to instances only after they are stored, and instances
        may forget the ends of their tasks only after these are stored.
        """
        puts = [self._progress_put(entry) for entry in batch.entries]
        states = [entry.state for entry in batch.entries]
        removed = (
            self._progress_to_remove + self._job_tables.take_orphan_entries()
        )
        free_rows = fenced_writer.MAX_ROWS_PER_WRITE - len(puts)
        self._progress_to_remove = removed[free_rows:]
        puts.extend(retention.progress_removals(removed[:free_rows]))
        written = self._writer.write(puts)
        if isinstance(written, fenced_writer.TermOver):
            return
        for entry, state in zip(batch.entries, states, strict=True):
            entry.version = written.version
            entry.recorded_state = state
        for name, number in batch.recorded_ends.items():
            client = self._instance_clients.get(name)
            if client is not None:
                client.mark_ends_recorded(number, batch.incarnations[name])
        for start in batch.starts:
            client = self._instance_clients.get(start.instance)
            if client is not None:
                client.send_start(start)

    def _progress_put(self, entry: job_tracker.JobEntry) -> platform.Put:
        """Returns the write of a job's progress row."""
        store_ms = self._dependencies.time.store_now_ms or 0.0
        document = entry.to_document(store_ms)
        now = self._clock.monotonic()
        if self._scheduler.fail_if_too_large(entry, document, now):
            document = entry.to_document(store_ms)
        return platform.Put(
            f"{fenced_writer.PROGRESS_TABLE}/{entry.job.job_id}",
            entry.version,
            document,
        )
