"""One term of owning the fleet: the tasks around the owner's decisions."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
from typing import Any

import gevent
import gevent.event

from vanillaswitch.coordination.fleet import book as books
from vanillaswitch.coordination.fleet import core as cores
from vanillaswitch.coordination.fleet import follow
from vanillaswitch.coordination.fleet import instance_task
from vanillaswitch.coordination.fleet import job_rows
from vanillaswitch.coordination.fleet import machine_task
from vanillaswitch.coordination.fleet import queue_order
from vanillaswitch.coordination.fleet import recorder as recorders
from vanillaswitch.coordination.fleet import retention
from vanillaswitch.coordination.fleet import sharing
from vanillaswitch.coordination.fleet import succession
from vanillaswitch.coordination.fleet import term_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

GATHER_S = 0.008
"""Pause before rows are written, in which events of the same moment gather:
one transaction takes 7 ms, so fewer and larger ones cost little time."""

TICK_S = 0.1
"""How often the owner looks for what time alone brings: due occurrences,
lapsed leases, suspensions that end."""

REGISTRATION_PAUSE_S = 0.2
"""Pause between reads of the instances' heartbeats, which come all the time
and rarely say anything new."""

UNLISTED_S = 2.5
"""An entry that is missing counts as gone only so long after the store came
back: living instances register again within about 2 s."""

ADVICE_SLACK_S = 1.0
"""How much longer than the announced time an advising call may take."""


@dataclasses.dataclass(frozen=True)
class Outside:
    """What an owner talks to.

    Attributes:
        registration: decodes a row of the table of instances.
        registrations: name of that table.
    """

    table: platform.Table
    feed: feeds.Feed
    upstreams: fleet.Upstreams
    machines: fleet.Machines
    advisor: fleet.Advisor
    registrations: str
    registration: Callable[[str, Mapping[str, Any]], fleet.Registration]
    waves: machine_task.WaveBoard


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
        self._finishing = False
        self._removed: list[books.Entry] = []
        self._recording = False
        self._wake = gevent.event.Event()
        self._core = cores.Core(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emit
        )
        self._means = instance_task.Means(
            self._core, outside.upstreams, recorder, clock, self._wake
        )
        self._instances: dict[str, instance_task.InstanceTask] = {}
        self._missing: dict[str, float] = {}
        self._advising: set[tuple[str, int, int]] = set()
        self._registrations = self._follower(
            outside.registrations,
            self._all_registrations,
            self._some_registrations,
            REGISTRATION_PAUSE_S,
        )
        self._jobs = self._follower(
            recorders.JOB_TABLE,
            lambda snapshot: self._some_jobs(snapshot.rows),
            self._some_jobs,
        )
        self._cancels = self._follower(
            recorders.CANCEL_TABLE,
            lambda snapshot: self._some_cancels(snapshot.rows),
            self._some_cancels,
        )
        self._machines = machine_task.MachineTask(
            self._core,
            outside.machines,
            outside.waves,
            recorder,
            settings.bounds,
            clock,
            self._wake,
            emit,
        )

    def _follower(
        self,
        table: str,
        on_snapshot: follow.OnSnapshot,
        on_changes: follow.OnChanges,
        pause_s: float = 0.0,
    ) -> follow.Follower:
        return follow.Follower(
            self._outside.feed,
            table,
            self._clock,
            on_snapshot,
            on_changes,
            self._emit,
            pause_s,
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

    def load(self) -> bool:
        """Reads what earlier owners left; False when it can't be read."""
        feed = self._outside.feed
        found = [
            feed.snapshot(table)
            for table in (
                self._outside.registrations,
                recorders.JOB_TABLE,
                recorders.PROGRESS_TABLE,
                recorders.CANCEL_TABLE,
            )
        ]
        read = [item for item in found if isinstance(item, feeds.Snapshot)]
        if len(read) < len(found):
            return False
        listed, accepted, progress, cancelled = read
        now = self._clock.monotonic()
        self._refresh_config()
        self._all_registrations(listed)
        self._registrations.start_from(listed)
        rows = {row.key: row for row in progress.rows}
        for row in accepted.rows:
            self._restore(row, rows.pop(row.key, None), now)
        self._removed = [_orphan(row) for row in rows.values()]
        self._jobs.start_from(accepted)
        lapses = instance_task.inherited_lapse_at(now)
        self._core.inherit_runs(now, lapses)
        self._some_cancels(cancelled.rows)
        self._cancels.start_from(cancelled)
        return True

    def _restore(
        self, row: feeds.Change, progress: feeds.Change | None, now: float
    ) -> None:
        if row.value is None:
            return
        job = job_rows.unpack(row.value)
        if progress is None or progress.value is None:
            self._core.job_added(job, now)
            return
        self._core.restore(job, progress.value, progress.version, now)

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Runs the owner's tasks while the block lasts."""
        tasks = [
            gevent.spawn(run)
            for run in (
                self._plan_all,
                self._record_all,
                self._registrations.run,
                self._jobs.run,
                self._cancels.run,
                self._machines.run,
                self._remove_old,
            )
        ]
        opener = gevent.getcurrent()
        for task in tasks:
            task.link_exception(
                lambda task: gevent.kill(opener, task.exception)
            )
        for name in list(self._core.instances):
            self._spawn_instance(name)
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

    # What the store says.

    def _all_registrations(self, snapshot: feeds.Snapshot) -> None:
        present = {row.key for row in snapshot.rows}
        now = self._clock.monotonic()
        for name in self._core.instances.keys() - present:
            self._missing.setdefault(name, now)
        self._some_registrations(snapshot.rows)

    def _some_registrations(self, changes: Iterable[feeds.Change]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            if change.value is None:
                self._missing.setdefault(change.key, now)
                continue
            self._missing.pop(change.key, None)
            found = self._outside.registration(change.key, change.value)
            known = self._core.instances.get(change.key)
            if known and known.listed and known.registration == found:
                continue
            if self._core.registered(found, now):
                self._spawn_instance(found.instance)
        self._wake.set()

    def _spawn_instance(self, name: str) -> None:
        if name in self._instances:
            return
        task = instance_task.InstanceTask(self._means, name)
        self._instances[name] = task
        gevent.spawn(task.run)

    def _some_jobs(self, changes: Iterable[feeds.Change]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            if change.value is not None:
                job = job_rows.unpack(change.value)
                self._core.job_added(job, now, self._clock.wall() * 1000)
        self._wake.set()

    def _some_cancels(self, changes: Iterable[feeds.Change]) -> None:
        now = self._clock.monotonic()
        for change in changes:
            if change.value is not None:
                self._core.cancelled(change.key, now)
        self._wake.set()

    # Planning and recording.

    def _plan_all(self) -> None:
        while not self._recorder.deposed and not self._finishing:
            self._wake.wait(TICK_S)
            self._wake.clear()
            self._tick()

    def _tick(self) -> None:
        now = self._clock.monotonic()
        self._refresh_config()
        self._judge_missing(now)
        self._core.lapse(now)
        self._core.stop_again(now)
        self._core.stop_stalled(now)
        self._core.plan(now, self._clock.wall() * 1000)
        self._ask_advice(now)
        for stop in self._core.take_stops():
            task = self._instances.get(stop.instance)
            if task is not None:
                task.send_stop(stop)
        self._pace(now)

    def _pace(self, now: float) -> None:
        for name, instance in self._core.instances.items():
            for pace in sharing.plan(instance, now):
                if name in self._instances:
                    self._instances[name].send_pace(pace)

    def _refresh_config(self) -> None:
        config = self._config()
        if config is not None and config.version != self._config_version:
            self._config_version = config.version
            self._core.configured(config)

    def _judge_missing(self, now: float) -> None:
        if self._registrations.failing:
            return
        if now - self._registrations.back_at < UNLISTED_S:
            return
        for name in self._missing:
            self._core.unlisted(name)
        self._missing.clear()

    def _record_all(self) -> None:
        last = self._clock.monotonic()
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
            old = retention.expired(
                self._core.book,
                self._settings.bounds.status_s,
                self._clock.wall() * 1000,
            )
            for entry in old:
                if retention.remove_job(self._outside.table, entry.job.job_id):
                    self._core.book.remove(entry.job.job_id)
                    self._removed.append(entry)

    def _record(self, batch: term_state.Batch) -> None:
        states = [entry.state for entry in batch.entries]
        puts = [
            platform.Put(
                f"{recorders.PROGRESS_TABLE}/{entry.job.job_id}",
                entry.version,
                entry.pack(self._clock.wall() * 1000),
            )
            for entry in batch.entries
        ]
        removed, self._removed = self._removed, []
        spare = recorders.MAX_ROWS - len(puts)
        self._removed.extend(removed[spare:])
        puts.extend(retention.progress_removal(removed[:spare]))
        written = self._recorder.write(puts)
        if isinstance(written, recorders.Deposed):
            return
        for entry, state in zip(batch.entries, states, strict=True):
            entry.version = written.version
            entry.shown = state
        for name, number in batch.seen.items():
            if name in self._instances:
                self._instances[name].recorded(number)
        for start in batch.starts:
            task = self._instances.get(start.instance)
            if task is not None:
                task.send_start(start)

    # Advice.

    def _ask_advice(self, now: float) -> None:
        if not any(queue.advice for queue in self._core.queues.values()):
            return
        wall_ms = self._clock.wall() * 1000
        for steps in self._core.ready_steps(wall_ms).values():
            for step in steps:
                key = (step.entry.job.job_id, step.occurrence, step.number)
                wanted = self._core.tickets_for(step, now)
                if wanted is None or wanted or key in self._advising:
                    continue
                self._advising.add(key)
                gevent.spawn(self._advise, step, key)

    def _advise(self, step: books.OpenStep, key: tuple[str, int, int]) -> None:
        try:
            self._advise_once(step)
        finally:
            self._advising.discard(key)

    def _advise_once(self, step: books.OpenStep) -> None:
        queue = self._core.queues.get(step.entry.job.queue)
        if queue is None or queue.advice is None:
            return
        names = [
            instance.name
            for instance in self._core.pool_instances(queue.service)
            if instance.usable(self._clock.monotonic())
        ]
        if not names:
            return
        limit_ms = queue.advice.decision_ms
        limit_ms += queue.advice.period_ms * len(names)
        began = self._clock.monotonic()
        job_id = step.entry.job.job_id
        outcome = self._outside.advisor.ask(
            f"{job_id}.{step.occurrence}.{step.number}",
            names,
            limit_ms / 1000 + ADVICE_SLACK_S,
        )
        if isinstance(outcome, fleet.NoAnswer):
            logs.warning("no advice for {}: {}", job_id, outcome.reason)
            self._clock.sleep(TICK_S)
            return
        validity_s = outcome.validity_s or queue.advice.validity_ms / 1000
        self._core.advised(step, outcome.by_instance, began + validity_s)
        self._wake.set()


def _orphan(row: feeds.Change) -> books.Entry:
    """Returns what stands for a row of progress whose job was removed."""
    job = jobs.Job(row.key, "", "", "", (jobs.Step(count=1),), 0)
    entry = books.Entry(job, 0.0)
    entry.version = row.version
    return entry
