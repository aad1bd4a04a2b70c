"""Runs the owner's tasks for one term of ownership."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import gevent
import gevent.event

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import follow
from vanillaswitch.coordination.fleet import shared_time
from vanillaswitch.coordination.fleet.instances import advice_task
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.instances import instance_tasks
from vanillaswitch.coordination.fleet.instances import listing
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import machine_task
from vanillaswitch.coordination.fleet.machines import wave_driver
from vanillaswitch.coordination.fleet.ownership import job_tables
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import retention
from vanillaswitch.coordination.fleet.ownership import spec_table
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import sharing
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import feeds
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
class Outside:
    """The services that an owner calls.

    Attributes:
        registration: decodes a row of the table of instances.
        registrations: name of that table.
        time: the clocks that all processes share.
    """

    table: platform.Table
    feed: feeds.Feed
    upstreams: fleet.Upstreams
    machines: fleet.Machines
    advisor: fleet.Advisor
    registrations: str
    registration: listing.Decode
    waves: wave_driver.WaveBoard
    time: shared_time.SharedTime


class Owner:
    """Owns the fleet during one term, from a successful take-over on."""

    def __init__(
        self,
        outside: Outside,
        recorder: recorders.Recorder,
        settings: deployments.Deployment,
        config: Callable[[], fleet.FleetConfig | None],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._outside = outside
        self._recorder = recorder
        self._settings = settings
        self._config = config
        self._clock = clock
        self._config_version = -1
        self._loaded = False
        self._finishing = False
        self._removed_entries: list[books.Entry] = []
        self._is_recording = False
        self._wake = gevent.event.Event()
        self._core = cores.Core(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
            emit,
            settings.bounds,
        )
        self._means = instance_task.Means(
            self._core, outside.upstreams, recorder, clock, self._wake
        )
        self._instances = instance_tasks.InstanceTasks(self._means)
        self._advice = advice_task.AdviceTask(
            self._core,
            outside.advisor,
            clock,
            self._wake,
            lambda: outside.time.wall_ms,
        )
        self._listing = listing.Listing(
            self._core,
            outside.feed,
            outside.registrations,
            outside.registration,
            clock,
            emit,
            self._wake.set,
            settings.bounds.contact_s + settings.heartbeat_s,
        )
        self._specs = spec_table.SpecTable(
            self._core,
            outside.table,
            outside.feed,
            clock,
            lambda: recorder.newest,
            emit,
            self._wake.set,
        )
        self._tables = job_tables.JobTables(
            self._core,
            outside.feed,
            clock,
            outside.time,
            emit,
            self._wake.set,
            self._specs,
        )
        self._machines = machine_task.MachineTask(
            self._core,
            outside.machines,
            outside.waves,
            recorder,
            settings,
            clock,
            self._wake,
            emit,
        )

    @property
    def core(self) -> cores.Core:
        """The state on which the owner decides."""
        return self._core

    def recorded_state(self, job_id: str) -> jobs.JobState | None:
        """Returns the recorded state of a job; None if the job is unknown."""
        entry = self._core.book.get(job_id)
        return None if entry is None else entry.shown

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue have not started yet."""
        return self._core.book.pending(queue)

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
            while not self._recorder.deposed and not is_leaving():
                if self._read_all():
                    return True
                if self._clock.monotonic() >= until:
                    return False
                self._clock.sleep(follow.RETRY_S)
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
        while not self._loaded and not self._recorder.deposed:
            self._recorder.write([])
            self._clock.sleep(succession.RENEW_INTERVAL_S / 2)

    def _read_all(self) -> bool:
        """Loads all tables; returns whether each could be read."""
        read = [
            snapshot
            for table in (
                self._outside.registrations,
                recorders.JOB_TABLE,
                recorders.PROGRESS_TABLE,
                recorders.CANCEL_TABLE,
            )
            if (snapshot := self._read_table(table)) is not None
        ]
        if len(read) < TABLE_COUNT:
            return False
        listed, accepted, progress, cancelled = read
        now = self._clock.monotonic()
        self._refresh_config()
        self._listing.start_from(listed)
        self._tables.start_from(accepted, progress, cancelled, now)
        return True

    def _read_table(self, table: str) -> feeds.Snapshot | None:
        outcome = self._outside.feed.snapshot(table)
        if isinstance(outcome, feeds.Snapshot):
            return outcome
        self._emit(events.Dependency(f"table {table}", "lost", outcome.reason))
        return None

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Runs the owner's tasks during the block."""
        tasks = [
            gevent.spawn(run)
            for run in (
                self._plan_all,
                self._run_recording,
                self._listing.run,
                self._tables.follow_jobs,
                self._tables.follow_cancels,
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
        self._instances.ensure()
        try:
            yield
        finally:
            gevent.killall(tasks)

    def wait(self, is_leaving: Callable[[], bool]) -> None:
        """Waits until the term is over or the process shuts down."""
        while not self._recorder.deposed and not is_leaving():
            self._clock.sleep(TICK_S)

    def finish(self, timeout_s: float) -> None:
        """Stops planning and recording, and waits for the write under way."""
        self._finishing = True
        until = self._clock.monotonic() + timeout_s
        while self._is_recording and self._clock.monotonic() < until:
            self._clock.sleep(BATCH_WINDOW_S)

    # Planning and recording.

    def _plan_all(self) -> None:
        """Plans whenever something changed, until the term ends."""
        checked_at = float("-inf")
        while not self._recorder.deposed and not self._finishing:
            self._wake.wait(TICK_S)
            self._wake.clear()
            now = self._clock.monotonic()
            due = now - checked_at >= TICK_S
            if due:
                checked_at = now
                self._run_periodic_checks(now)
            if due or self._core.changed:
                self._core.plan(now, self._outside.time.wall_ms)
                self._advice.ask_for_waiting()
            self._send_stops()
            took_s = self._clock.monotonic() - now
            self._clock.sleep(max(BATCH_WINDOW_S, PLAN_PAUSE_FACTOR * took_s))

    def _run_periodic_checks(self, now: float) -> None:
        """Runs the checks that depend on time alone."""
        self._refresh_config()
        self._listing.judge_missing(now)
        self._listing.judge_rooms(now)
        self._instances.ensure()
        self._core.lapse(now)
        self._core.stop_again(now)
        self._core.stop_stalled(now)
        self._send_pacing(now)

    def _send_stops(self) -> None:
        for stop in self._core.take_stops():
            task = self._instances.get(stop.instance)
            if task is not None:
                task.send_stop(stop)

    def _send_pacing(self, now: float) -> None:
        for name, instance in self._core.instances.items():
            for pace in sharing.plan(instance, now):
                task = self._instances.get(name)
                if task is not None:
                    task.send_pace(pace)

    def _refresh_config(self) -> None:
        config = self._config()
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self._core.configured(config)

    def _run_recording(self) -> None:
        """Records changes and renews the lease until the term ends."""
        # Renews at once: restoring thousands of jobs takes a weak machine
        # most of a second, during which nothing was renewed.
        last = float("-inf")
        while not self._recorder.deposed and not self._finishing:
            now = self._clock.monotonic()
            due = now - last >= succession.RENEW_INTERVAL_S
            if not due and not self._core.has_work:
                self._clock.sleep(BATCH_WINDOW_S)
                continue
            self._clock.sleep(BATCH_WINDOW_S)
            last = self._clock.monotonic()
            self._is_recording = True
            self._record(self._core.take_batch(recorders.MAX_ROWS_PER_WRITE))
            self._is_recording = False

    def _run_retention(self) -> None:
        """Removes the rows of jobs that ended long ago, until the term ends."""
        while not self._recorder.deposed and not self._finishing:
            self._clock.sleep(retention.SCAN_INTERVAL_S)
            store_ms = self._outside.time.now_ms
            if store_ms is None:
                continue
            expired = retention.expired_jobs(
                self._core.book, self._settings.bounds.status_s, store_ms
            )
            for entry in expired:
                if retention.remove_job(self._outside.table, entry.job.job_id):
                    self._core.book.remove(entry.job.job_id)
                    self._removed_entries.append(entry)

    def _record(self, batch: term_state.Batch) -> None:
        """Writes a batch; acknowledges its ends and sends its starts after."""
        states = [entry.state for entry in batch.entries]
        store_ms = self._outside.time.now_ms or 0.0
        puts = [
            platform.Put(
                f"{recorders.PROGRESS_TABLE}/{entry.job.job_id}",
                entry.version,
                entry.pack(store_ms),
            )
            for entry in batch.entries
        ]
        removed = self._removed_entries + self._tables.take_orphans()
        free_rows = recorders.MAX_ROWS_PER_WRITE - len(puts)
        self._removed_entries = removed[free_rows:]
        puts.extend(retention.progress_removals(removed[:free_rows]))
        written = self._recorder.write(puts)
        if isinstance(written, recorders.Deposed):
            return
        for entry, state in zip(batch.entries, states, strict=True):
            entry.version = written.version
            entry.shown = state
        for name, number in batch.seen.items():
            task = self._instances.get(name)
            if task is not None:
                task.recorded(number, batch.lives[name])
        for start in batch.starts:
            task = self._instances.get(start.instance)
            if task is not None:
                task.send_start(start)
