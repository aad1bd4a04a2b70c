"""Rows of the platform's tables that another writer wrote or overwrote."""

import base64
import json

import gevent
import pytest

from standins import edge_http
from standins import edge_processes
from standins import table as tables
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import registration_watcher
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import minions
from vanillaswitch.transport import plain_http

VALID_COUNT = 50
VALID_ENTRY = {
    "service": "berthing",
    "address": "10.0.0.1:80",
    "zone": "zone-1",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 32_000, "gpu": 0},
    "labels": ["a", "r1"],
}
UNUSABLE_ENTRIES = (
    VALID_ENTRY | {"capacity": "all"},
    VALID_ENTRY | {"labels": None},
    VALID_ENTRY | {"state": "resting"},
    VALID_ENTRY | {"address": 80},
    VALID_ENTRY | {"service": ["berthing"]},
)


class _Feed:
    """Tables without changes, except for one change of the instances."""

    def __init__(self, rows, changes=()):
        self.rows = {"servers": rows, "job": (), "progress": (), "cancel": ()}
        self.changed = list(changes)

    def snapshot(self, table, parts=()):
        del parts
        return change_feeds.Snapshot(tuple(self.rows[table]), 1)

    def changes(self, table, after, wait_s):
        if table == "servers" and self.changed:
            changes, self.changed = tuple(self.changed), []
            return change_feeds.ChangeBatch(changes, after + 1)
        gevent.sleep(wait_s)
        return change_feeds.ChangeBatch((), after)


class _Instances:
    """Instances that run nothing and accept everything."""

    def renew_lease(self, *_):
        gevent.sleep(0.05)
        return fleet_builders.status_report()


def _rows(documents, first=0):
    return [
        change_feeds.RowChange(f"i-{number}", document, number)
        for number, document in enumerate(documents, first)
    ]


def _damaged(name):
    return change_feeds.RowChange(name, None, 99, "its bytes can't be read")


def _begin_term(feed):
    return ownership_terms.begin_term(
        tables.MemoryTable(),
        feed,
        clocks.SystemClock(),
        decode_registration=upstreams.decode_registration,
        upstreams=_Instances(),
    )


def test_an_owner_serves_the_fleet_despite_unusable_rows():
    """Guards against a fleet in which no owner can serve.

    One row of the list of instances holds a string in place of a number.
    Reading it ended the owner's process, and the next owner read it as well.
    """
    unusable_rows = _rows(UNUSABLE_ENTRIES[:3], first=100)
    feed = _Feed(
        [*_rows([VALID_ENTRY] * VALID_COUNT), *unusable_rows],
        [*_rows(UNUSABLE_ENTRIES[3:], first=200), _damaged("i-300")],
    )
    owner = _begin_term(feed)
    assert owner.load()
    with owner.serving():
        gevent.sleep(0.6)
        instances = owner.scheduler.instances
        assert instances.keys() == {
            f"i-{number}" for number in range(VALID_COUNT)
        }
        assert all(
            instance.is_schedulable(0.0) for instance in instances.values()
        )


def _watcher(scheduler, rows, emitted):
    feed = _Feed(rows)
    clock = clocks.SystemClock()
    view = registration_watcher.RegistrationWatcher(
        scheduler,
        feed,
        "servers",
        upstreams.decode_registration,
        clock,
        emitted.append,
        lambda: None,
        10.0,
    )
    view.resume_from(feed.snapshot("servers"))
    return view


@pytest.mark.parametrize(
    "row",
    [
        _damaged("i-0"),
        change_feeds.RowChange("i-0", VALID_ENTRY | {"address": None}, 99),
        change_feeds.RowChange("i-0", {}, 99),
    ],
)
def test_runs_continue_when_the_entry_of_their_instance_is_overwritten(row):
    """Guards against a charge that is made twice.

    The entry of a running instance is overwritten with bytes that can't be
    decoded. It counted as removed and the instance as gone, and its task was
    started on another instance while it ran.
    """
    emitted = []
    scheduler = fleet_builders.new_scheduler()
    view = _watcher(scheduler, _rows([VALID_ENTRY, VALID_ENTRY]), emitted)
    for name in ("i-0", "i-1"):
        scheduler.handle_status_report(
            name, fleet_builders.status_report(), 0.0, 0.0
        )
    scheduler.add_job(fleet_builders.job(1), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    instance = scheduler.instances["i-0"]
    before = set(instance.runs)
    assert before
    view._on_rows([row, row])
    view.mark_missing_unlisted(clocks.SystemClock().monotonic() + 60.0)
    assert instance.is_listed
    assert instance.registration.address == "10.0.0.1:80"
    assert set(instance.runs) == before
    assert not instance.is_schedulable(2.0)
    assert not fleet_builders.plan_batch(scheduler).starts
    assert (
        len(
            [
                event
                for event in emitted
                if isinstance(event, events.RowUnusable)
            ]
        )
        == 1
    )
    view._on_rows(_rows([VALID_ENTRY]))
    assert instance.is_schedulable(2.0)


def test_instances_of_an_unconfigured_service_are_not_held():
    """Guards against status calls, which have a price, to unused instances."""
    scheduler = fleet_builders.new_scheduler()
    _watcher(
        scheduler, _rows([VALID_ENTRY, VALID_ENTRY | {"service": "other"}]), []
    )
    assert scheduler.should_poll("i-0")
    assert not scheduler.should_poll("i-1")


def test_a_job_whose_progress_was_overwritten_is_quarantined():
    """Guards against a finished task that runs again after a change of owner.

    Another writer overwrote the row of the job's progress. Without it the job
    looked as if nothing of it had started.
    """
    job = fleet_builders.job(1)
    for damage in (
        _damaged(job.job_id),
        change_feeds.RowChange(job.job_id, {"tasks": "all"}, 99),
        change_feeds.RowChange(job.job_id, {"ended": "so"}, 99),
    ):
        feed = _Feed(_rows([VALID_ENTRY]))
        feed.rows["job"] = [
            change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), 1),
            change_feeds.RowChange("other", {"steps": 3}, 2),
            _damaged("third"),
        ]
        feed.rows["progress"] = [damage]
        owner = _begin_term(feed)
        assert owner.load()
        scheduler = owner.scheduler
        scheduler.handle_status_report(
            "i-0", fleet_builders.status_report(), 0.0, 0.0
        )
        assert not fleet_builders.plan_batch(scheduler).starts
        assert job.job_id in scheduler.unreadable_jobs
        assert not owner._job_tables.take_orphan_entries()


def test_runs_of_a_job_whose_row_was_overwritten_are_not_stopped():
    """Guards against a running task that is stopped after a change of owner.

    Another writer overwrote the job's own row. Its progress names the run, but
    no job in the book accounted for it.
    """
    job = fleet_builders.job(1)
    before = fleet_builders.new_scheduler()
    fleet_builders.add_instances(before, "i-0")
    before.add_job(job, 0.0)
    batch = fleet_builders.plan_batch(before)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [_damaged(job.job_id)]
    packed = batch.entries[0].to_document()
    feed.rows["progress"] = [change_feeds.RowChange(job.job_id, packed, 1)]
    owner = _begin_term(feed)
    assert owner.load()
    listed = tuple(
        fleet.RunStatus(start.task, start.run, "", 10.0)
        for start in batch.starts
    )
    owner.scheduler.handle_status_report(
        "i-0", fleet_builders.status_report(running=listed), 0.0, 0.0
    )
    assert not owner.scheduler.take_stops()
    owner._job_tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id in owner.scheduler.unreadable_jobs
    assert not owner._job_tables.take_orphan_entries()


def test_a_known_job_continues_when_its_row_is_overwritten():
    """Guards against a job that stays open as its ends are not recorded."""
    job = fleet_builders.job(1)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [
        change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), 1)
    ]
    owner = _begin_term(feed)
    assert owner.load()
    owner._job_tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id not in owner.scheduler.unreadable_jobs
    assert owner.scheduler.tracker.get(job.job_id) is not None


def test_an_overwritten_cancel_takes_effect():
    """Guards against a job that runs on after its cancel was confirmed."""
    job = fleet_builders.job(1)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [
        change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), 1)
    ]
    feed.rows["cancel"] = [_damaged(job.job_id)]
    owner = _begin_term(feed)
    assert owner.load()
    assert owner.scheduler.tracker.get(job.job_id).ended is not None


_JOB = "0123456789abcdef"
_WAIT_S = 20.0


def _write_bytes(outside, key, content):
    body = {
        "table": "servers",
        "part": "",
        "key": key,
        "value": base64.b64encode(content).decode(),
    }
    outside.rows.transact({"writes": [body]})


def _completes(client, edge):
    body = json.dumps({"spec": "x", "steps": [{"count": 3}]}).encode()
    sent = client.call(edge.entry, "POST", f"/q/{_JOB}", body, timeout_s=3.0)
    assert isinstance(sent, minions.Answered)
    assert sent.answer.status == 200
    with gevent.Timeout(_WAIT_S):
        while True:
            sent = client.call(edge.entry, "GET", f"/q/{_JOB}", timeout_s=3.0)
            if isinstance(sent, minions.Answered) and (
                b"completed" in sent.answer.body
            ):
                return
            gevent.sleep(0.05)


def test_processes_serve_despite_unusable_entries(tmp_path):
    """The same with real processes: none ends, and jobs complete."""
    outside = edge_http.EdgePlatform(2, 0.1)
    outside.rows.write("op", "config", edge_processes.config())
    for number, document in enumerate(UNUSABLE_ENTRIES):
        outside.rows.write("servers", f"x-{number}", document)
    _write_bytes(outside, "x-bytes", b"\xff\xfe\x00")
    _write_bytes(outside, "x-deep", b"[" * 50_000)
    with (
        outside.serving(),
        plain_http.open_client(clocks.SystemClock()) as client,
    ):
        edge = edge_processes.Edge(
            "edge-1", tmp_path, outside.address, outside.address
        )
        try:
            with gevent.Timeout(_WAIT_S):
                while outside.rows.owner() != "edge-1":
                    gevent.sleep(0.05)
            _completes(client, edge)
            assert edge.runs
        finally:
            edge.kill()
