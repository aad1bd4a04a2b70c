"""Runs the owner's tasks for one term of ownership."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import gevent
import gevent.event

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
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
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

BATCH_WINDOW_S = 0.008
"""Pause before rows are written, and between two plans, in which simultaneous
events are batched. A transaction takes 7 ms, so fewer and larger ones cost
little time. A plan visits all open steps; one plan per answer of each instance
took most of the owner's time in a fleet of some hundred instances."""

MAX_LOAD_S = 6.0
"""The term ends when its rows can't be loaded in this time: if only this
process's reads fail, another process may succeed. Without retries, terms of
some 0.1 s followed each other for half a minute while a part of a table was
unavailable."""

PLAN_PAUSE_FACTOR = 3.0
"""Pause after a plan, as a multiple of its duration, so that planning takes at
most a quarter of the owner's time. With hundreds of waiting jobs, a plan takes
more than 100 ms on 0.12 of a core. Without pauses, planning left no time for
starts and lease renewals, and the owner lost the fleet."""

TICK_S = 0.1
"""Interval of the checks that depend on time alone: due occurrences, expired
leases, suspensions that end, stalled tasks."""


TABLE_COUNT = 4
"""Tables that a new owner loads: instances, jobs, progress and cancels."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The services that an owner calls.

    Attributes:
        decode_registration: decodes a row of the table of instances.
        registration_table: name of that table.
        time: the clocks that all processes share.
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


class Owner:
    """Owns the fleet during one term, from a successful take-over on."""

    def __init__(
        self,
        outside: Dependencies,
        writer: fenced_writer.FencedWriter,
        settings: deployments.Deployment,
        config: Callable[[], fleet.FleetConfig | None],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._outside = outside
        self._writer = writer
        self._settings = settings
        self._config = config
        self._clock = clock
        self._config_version = -1
        self._loaded = False
        self._finishing = False
        self._removed_entries: list[job_tracker.JobEntry] = []
        self._is_recording = False
        self._replan_event = gevent.event.Event()
        self._scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
            emit,
            settings.bounds,
        )
        self._means = instance_client.CallContext(
            self._scheduler,
            outside.upstreams,
            writer,
            clock,
            self._replan_event,
        )
        self._instances = instance_clients.InstanceClients(self._means)
        self._advice = ticket_refresher.TicketRefresher(
            self._scheduler,
            outside.advisor,
            clock,
            self._replan_event,
            lambda: outside.time.wall_now_ms,
        )
        self._watcher = registration_watcher.RegistrationWatcher(
            self._scheduler,
            outside.feed,
            outside.registration_table,
            outside.decode_registration,
            clock,
            emit,
            self._replan_event.set,
            settings.bounds.contact_s + settings.heartbeat_s,
        )
        self._specs = spec_table.SpecTable(
            self._scheduler,
            outside.table,
            outside.feed,
            clock,
            lambda: writer.newest_version,
            emit,
            self._replan_event.set,
        )
        self._job_tables = job_tables.JobTables(
            self._scheduler,
            outside.feed,
            clock,
            outside.time,
            emit,
            self._replan_event.set,
            self._specs,
        )
        self._machines = machine_controller.MachineController(
            self._scheduler,
            outside.machines,
            outside.waves,
            writer,
            settings,
            clock,
            self._replan_event,
            emit,
        )

    @property
    def scheduler(self) -> schedulers.Scheduler:
        """The state on which the owner decides."""
        return self._scheduler

    def recorded_state(self, job_id: str) -> jobs.JobState | None:
        """Returns the recorded state of a job; None if the job is unknown."""
        entry = self._scheduler.tracker.get(job_id)
        return None if entry is None else entry.recorded_state

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started yet."""
        return self._scheduler.tracker.count_pending(queue)

    def load(self, is_leaving: Callable[[], bool] = lambda: False) -> bool:
        """Loads the rows of earlier owners.

        Renews the lease meanwhile. Loading some thousand jobs takes longer than
        the term's timeout, and a table may be unavailable for seconds while the
        owner's row is available.

        Args:
            is_leaving: returns whether the process is shutting down.

        Returns:
            Whether the rows could be loaded.
        """
        until = self._clock.monotonic() + MAX_LOAD_S
        with self._lease_renewal():
            while not self._writer.is_term_over and not is_leaving():
                if self._load_tables():
                    return True
                if self._clock.monotonic() >= until:
                    return False
                self._clock.sleep(table_follower.RETRY_S)
            return False

    @contextlib.contextmanager
    def _lease_renewal(self) -> Iterator[None]:
        """Renews the lease during the block, then waits for the last renewal.

        If the block is aborted, as when the process shuts down, the last
        renewal is not waited for: a silent store never answers it, and the
        process would not end until it was killed.
        """
        renewing = gevent.spawn(self._renew_until_loaded)
        try:
            yield
            self._loaded = True
            renewing.join()
        finally:
            renewing.kill(block=False)

    def _renew_until_loaded(self) -> None:
        while not self._loaded and not self._writer.is_term_over:
            self._writer.write([])
            self._clock.sleep(owner_monitor.RENEW_INTERVAL_S / 2)

    def _load_tables(self) -> bool:
        """Loads all tables; returns whether each could be read."""
        read = [
            snapshot
            for table in (
                self._outside.registration_table,
                fenced_writer.JOB_TABLE,
                fenced_writer.PROGRESS_TABLE,
                fenced_writer.CANCEL_TABLE,
            )
            if (snapshot := self._read_table(table)) is not None
        ]
        if len(read) < TABLE_COUNT:
            return False
        listed, accepted, progress, cancelled = read
        now = self._clock.monotonic()
        self._refresh_config()
        self._watcher.resume_from(listed)
        self._job_tables.start_from(accepted, progress, cancelled, now)
        return True

    def _read_table(self, table: str) -> change_feeds.Snapshot | None:
        outcome = self._outside.feed.snapshot(table)
        if isinstance(outcome, change_feeds.Snapshot):
            return outcome
        self._emit(events.Dependency(f"table {table}", "lost", outcome.reason))
        return None

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Runs the owner's tasks during the block."""
        tasks = [
            gevent.spawn(run)
            for run in (
                self._run_planning,
                self._run_recording,
                self._watcher.run,
                self._job_tables.follow_jobs,
                self._job_tables.follow_cancels,
                self._specs.follow,
                self._specs.read_missing,
                self._machines.run,
                self._machines.mover.run,
                self._run_retention,
            )
        ]
        caller = gevent.getcurrent()
        for task in tasks:
            task.link_exception(
                lambda task: gevent.kill(caller, task.exception)
            )
        self._instances.start_missing()
        try:
            yield
        finally:
            gevent.killall(tasks)

    def wait(self, is_leaving: Callable[[], bool]) -> None:
        """Waits until the term is over or the process shuts down."""
        while not self._writer.is_term_over and not is_leaving():
            self._clock.sleep(TICK_S)

    def finish(self, timeout_s: float) -> None:
        """Stops planning and recording, and waits for the write under way."""
        self._finishing = True
        until = self._clock.monotonic() + timeout_s
        while self._is_recording and self._clock.monotonic() < until:
            self._clock.sleep(BATCH_WINDOW_S)

    # Planning and recording.

    def _run_planning(self) -> None:
        """Plans whenever something changed, until the term ends."""
        checked_at = float("-inf")
        while not self._writer.is_term_over and not self._finishing:
            self._replan_event.wait(TICK_S)
            self._replan_event.clear()
            now = self._clock.monotonic()
            due = now - checked_at >= TICK_S
            if due:
                checked_at = now
                self._run_periodic_checks(now)
            if due or self._scheduler.needs_plan:
                self._scheduler.plan(now, self._outside.time.wall_now_ms)
                self._advice.request_missing_tickets()
            self._send_stops()
            took_s = self._clock.monotonic() - now
            self._clock.sleep(max(BATCH_WINDOW_S, PLAN_PAUSE_FACTOR * took_s))

    def _run_periodic_checks(self, now: float) -> None:
        """Runs the checks that depend on time alone."""
        self._refresh_config()
        self._watcher.mark_missing_unlisted(now)
        self._watcher.check_registration_age(now)
        self._instances.start_missing()
        self._scheduler.release_expired_leases(now)
        self._scheduler.resend_stops(now)
        self._scheduler.stop_stalled_runs(now)
        self._send_pacing(now)

    def _send_stops(self) -> None:
        for stop in self._scheduler.take_stops():
            task = self._instances.get(stop.instance)
            if task is not None:
                task.send_stop(stop)

    def _send_pacing(self, now: float) -> None:
        for name, instance in self._scheduler.instances.items():
            for pace in pacing.plan_paces(instance, now):
                task = self._instances.get(name)
                if task is not None:
                    task.send_pace(pace)

    def _refresh_config(self) -> None:
        config = self._config()
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self._scheduler.apply_config(config)

    def _run_recording(self) -> None:
        """Records changes and renews the lease until the term ends."""
        # Renews at once: restoring thousands of jobs takes a weak machine
        # most of a second, during which nothing was renewed.
        last = float("-inf")
        while not self._writer.is_term_over and not self._finishing:
            now = self._clock.monotonic()
            due = now - last >= owner_monitor.RENEW_INTERVAL_S
            if not due and not self._scheduler.has_rows_to_write:
                self._clock.sleep(BATCH_WINDOW_S)
                continue
            self._clock.sleep(BATCH_WINDOW_S)
            last = self._clock.monotonic()
            self._is_recording = True
            self._record(
                self._scheduler.take_batch(fenced_writer.MAX_ROWS_PER_WRITE)
            )
            self._is_recording = False

    def _run_retention(self) -> None:
        """Removes the rows of jobs that ended long ago, until the term ends."""
        while not self._writer.is_term_over and not self._finishing:
            self._clock.sleep(retention.SCAN_INTERVAL_S)
            store_ms = self._outside.time.store_now_ms
            if store_ms is None:
                continue
            expired = retention.expired_jobs(
                self._scheduler.tracker,
                self._settings.bounds.status_s,
                store_ms,
            )
            for entry in expired:
                if retention.remove_job(self._outside.table, entry.job.job_id):
                    self._scheduler.tracker.remove(entry.job.job_id)
                    self._removed_entries.append(entry)

    def _record(self, batch: term_state.WriteBatch) -> None:
        """Writes a batch; acknowledges its ends and sends its starts after."""
        states = [entry.state for entry in batch.entries]
        store_ms = self._outside.time.store_now_ms or 0.0
        puts = [
            platform.Put(
                f"{fenced_writer.PROGRESS_TABLE}/{entry.job.job_id}",
                entry.version,
                entry.to_document(store_ms),
            )
            for entry in batch.entries
        ]
        removed = self._removed_entries + self._job_tables.take_orphans()
        free_rows = fenced_writer.MAX_ROWS_PER_WRITE - len(puts)
        self._removed_entries = removed[free_rows:]
        puts.extend(retention.progress_removals(removed[:free_rows]))
        written = self._writer.write(puts)
        if isinstance(written, fenced_writer.TermOver):
            return
        for entry, state in zip(batch.entries, states, strict=True):
            entry.version = written.version
            entry.recorded_state = state
        for name, number in batch.recorded_ends.items():
            task = self._instances.get(name)
            if task is not None:
                task.mark_recorded(number, batch.incarnations[name])
        for start in batch.starts:
            task = self._instances.get(start.instance)
            if task is not None:
                task.send_start(start)
