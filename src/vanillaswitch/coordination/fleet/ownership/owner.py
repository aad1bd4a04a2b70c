"""One term of owning the fleet: the tasks around the owner's decisions."""

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

GATHER_S = 0.008
"""Pause before rows are written, and between two plans, in which events of the
same moment gather: one transaction takes 7 ms, so fewer and larger ones cost
little time. A plan walks over all open steps; made at each answer of each
instance it took most of the owner's time on a fleet of some hundred."""

LOAD_S = 6.0
"""A term whose rows can't be read for so long is given up: if only this
process's readings fail, another one may have them. Given up at once, terms of
some 0.1 s followed each other for half a minute while a part was away."""

PLAN_REST = 3.0
"""Pause after a plan, in times of what it took: planning is a quarter of the
owner's time at most. Where hundreds of jobs wait, a core of 0.12 takes over 100
ms for a plan; made without rest, plans left no time for starts and renewals,
and the owner lost the fleet by its own work."""

TICK_S = 0.1
"""How often the owner looks for what time alone brings: due occurrences,
lapsed leases, suspensions that end, tasks that stand still."""


TABLES = 4
"""Tables that a new owner reads: instances, jobs, progress and cancels."""


@dataclasses.dataclass(frozen=True)
class Outside:
    """What an owner talks to.

    Attributes:
        registration: decodes a row of the table of instances.
        registrations: name of that table.
        time: what the processes have in common of it.
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
    """Owns the fleet from a successful take-over until it is deposed."""

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
        self._removed: list[books.Entry] = []
        self._recording = False
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
        """The owner's state."""
        return self._core

    def state_of(self, job_id: str) -> jobs.JobState | None:
        """Returns the recorded state of a job; None when it is not known."""
        entry = self._core.book.get(job_id)
        return None if entry is None else entry.shown

    def pending(self, queue: str) -> int:
        """Returns how many jobs of a queue wait for their first start."""
        return self._core.book.pending(queue)

    def load(self, leaving: Callable[[], bool] = lambda: False) -> bool:
        """Reads what earlier owners left; False when it can't be read.

        The lease is renewed meanwhile: reading some thousand jobs takes longer
        than an owner may be silent, and a table may be away for seconds while
        the owner's row is served.

        Args:
            leaving: whether the process is about to end.
        """
        until = self._clock.monotonic() + LOAD_S
        with self._renewing():
            while not self._recorder.deposed and not leaving():
                if self._read_all():
                    return True
                if self._clock.monotonic() >= until:
                    return False
                self._clock.sleep(follow.RETRY_S)
            return False

    @contextlib.contextmanager
    def _renewing(self) -> Iterator[None]:
        """Renews the lease while the block lasts, and ends the last write.

        A block that is given up, as by a process that has to end, does not
        wait for that write: a silent store never answers it, and the process
        stayed until it was killed.
        """
        renewing = gevent.spawn(self._renew)
        try:
            yield
            self._loaded = True
            renewing.join()
        finally:
            renewing.kill(block=False)

    def _renew(self) -> None:
        while not self._loaded and not self._recorder.deposed:
            self._recorder.write([])
            self._clock.sleep(succession.RENEW_S / 2)

    def _read_all(self) -> bool:
        read = [
            snapshot
            for table in (
                self._outside.registrations,
                recorders.JOB_TABLE,
                recorders.PROGRESS_TABLE,
                recorders.CANCEL_TABLE,
            )
            if (snapshot := self._snapshot(table)) is not None
        ]
        if len(read) < TABLES:
            return False
        listed, accepted, progress, cancelled = read
        now = self._clock.monotonic()
        self._refresh_config()
        self._listing.start_from(listed)
        self._tables.start_from(accepted, progress, cancelled, now)
        return True

    def _snapshot(self, table: str) -> feeds.Snapshot | None:
        outcome = self._outside.feed.snapshot(table)
        if isinstance(outcome, feeds.Snapshot):
            return outcome
        self._emit(events.Dependency(f"table {table}", "lost", outcome.reason))
        return None

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Runs the owner's tasks while the block lasts."""
        tasks = [
            gevent.spawn(run)
            for run in (
                self._plan_all,
                self._record_all,
                self._listing.run,
                self._tables.follow_jobs,
                self._tables.follow_cancels,
                self._specs.follow,
                self._specs.read_missing,
                self._machines.run,
                self._machines.mover.run,
                self._remove_old,
            )
        ]
        opener = gevent.getcurrent()
        for task in tasks:
            task.link_exception(
                lambda task: gevent.kill(opener, task.exception)
            )
        self._instances.ensure()
        try:
            yield
        finally:
            gevent.killall(tasks)

    def wait(self, leaving: Callable[[], bool]) -> None:
        """Waits until the term is over or the process leaves."""
        while not self._recorder.deposed and not leaving():
            self._clock.sleep(TICK_S)

    def finish(self, timeout_s: float) -> None:
        """Ends the term in order: what is being written is waited for."""
        self._finishing = True
        until = self._clock.monotonic() + timeout_s
        while self._recording and self._clock.monotonic() < until:
            self._clock.sleep(GATHER_S)

    # Planning and recording.

    def _plan_all(self) -> None:
        looked_at = float("-inf")
        while not self._recorder.deposed and not self._finishing:
            self._wake.wait(TICK_S)
            self._wake.clear()
            now = self._clock.monotonic()
            due = now - looked_at >= TICK_S
            if due:
                looked_at = now
                self._look(now)
            if due or self._core.changed:
                self._core.plan(now, self._outside.time.wall_ms)
                self._advice.ask_for_waiting()
            self._send_stops()
            took_s = self._clock.monotonic() - now
            self._clock.sleep(max(GATHER_S, PLAN_REST * took_s))

    def _look(self, now: float) -> None:
        """Looks for what time alone brings, over all that runs."""
        self._refresh_config()
        self._listing.judge_missing(now)
        self._listing.judge_rooms(now)
        self._instances.ensure()
        self._core.lapse(now)
        self._core.stop_again(now)
        self._core.stop_stalled(now)
        self._pace(now)

    def _send_stops(self) -> None:
        for stop in self._core.take_stops():
            task = self._instances.get(stop.instance)
            if task is not None:
                task.send_stop(stop)

    def _pace(self, now: float) -> None:
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

    def _record_all(self) -> None:
        # Renewals of a term that has just read its rows are old: restoring
        # thousands of jobs takes a weak machine most of a second.
        last = float("-inf")
        while not self._recorder.deposed and not self._finishing:
            now = self._clock.monotonic()
            due = now - last >= succession.RENEW_S
            if not due and not self._core.has_work:
                self._clock.sleep(GATHER_S)
                continue
            self._clock.sleep(GATHER_S)
            last = self._clock.monotonic()
            self._recording = True
            self._record(self._core.take_batch(recorders.MAX_ROWS))
            self._recording = False

    def _remove_old(self) -> None:
        """Removes the rows of jobs that ended long ago, for good."""
        while not self._recorder.deposed and not self._finishing:
            self._clock.sleep(retention.PAUSE_S)
            store_ms = self._outside.time.now_ms
            if store_ms is None:
                continue
            old = retention.expired(
                self._core.book, self._settings.bounds.status_s, store_ms
            )
            for entry in old:
                if retention.remove_job(self._outside.table, entry.job.job_id):
                    self._core.book.remove(entry.job.job_id)
                    self._removed.append(entry)

    def _record(self, batch: term_state.Batch) -> None:
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
        removed = self._removed + self._tables.take_orphans()
        spare = recorders.MAX_ROWS - len(puts)
        self._removed = removed[spare:]
        puts.extend(retention.progress_removal(removed[:spare]))
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
