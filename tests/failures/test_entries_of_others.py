"""Rows of the platform's tables that another writer wrote or overwrote."""

import base64
import json

import gevent
import pytest

from standins import edge_http
from standins import edge_processes
from standins import table as tables
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import listing
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import feeds
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
        return feeds.Snapshot(tuple(self.rows[table]), 1)

    def changes(self, table, after, wait_s):
        if table == "servers" and self.changed:
            changes, self.changed = tuple(self.changed), []
            return feeds.Changes(changes, after + 1)
        gevent.sleep(wait_s)
        return feeds.Changes((), after)


class _Instances:
    """Instances that run nothing and accept everything."""

    def hold(self, *_):
        gevent.sleep(0.05)
        return fleets.held()


def _rows(documents, first=0):
    return [
        feeds.Change(f"i-{number}", document, number)
        for number, document in enumerate(documents, first)
    ]


def _damaged(name):
    return feeds.Change(name, None, 99, "its bytes can't be read")


def _begin_term(feed):
    return terms.begin(
        tables.MemoryTable(),
        feed,
        clocks.SystemClock(),
        registration=upstreams.registration,
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
        instances = owner.core.instances
        assert instances.keys() == {
            f"i-{number}" for number in range(VALID_COUNT)
        }
        assert all(instance.usable(0.0) for instance in instances.values())


def _listing(core, rows, emitted):
    feed = _Feed(rows)
    clock = clocks.SystemClock()
    view = listing.Listing(
        core,
        feed,
        "servers",
        upstreams.registration,
        clock,
        emitted.append,
        lambda: None,
        10.0,
    )
    view.start_from(feed.snapshot("servers"))
    return view


@pytest.mark.parametrize(
    "row",
    [
        _damaged("i-0"),
        feeds.Change("i-0", VALID_ENTRY | {"address": None}, 99),
        feeds.Change("i-0", {}, 99),
    ],
)
def test_runs_continue_when_the_entry_of_their_instance_is_overwritten(row):
    """Guards against a charge that is made twice.

    The entry of a running instance is overwritten with bytes that can't be
    decoded. It counted as removed and the instance as gone, and its task was
    started on another instance while it ran.
    """
    emitted = []
    core = fleets.new_core()
    view = _listing(core, _rows([VALID_ENTRY, VALID_ENTRY]), emitted)
    for name in ("i-0", "i-1"):
        core.held(name, fleets.held(), 0.0, 0.0)
    core.job_added(fleets.job(1), 0.0)
    batch = fleets.plan(core)
    fleets.run_all(core, batch)
    instance = core.instances["i-0"]
    before = set(instance.runs)
    assert before
    view._on_rows([row, row])
    view.judge_missing(clocks.SystemClock().monotonic() + 60.0)
    assert instance.listed
    assert instance.registration.address == "10.0.0.1:80"
    assert set(instance.runs) == before
    assert not instance.usable(2.0)
    assert not fleets.plan(core).starts
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
    assert instance.usable(2.0)


def test_instances_of_an_unconfigured_service_are_not_held():
    """Guards against status calls, which have a price, to unused instances."""
    core = fleets.new_core()
    _listing(core, _rows([VALID_ENTRY, VALID_ENTRY | {"service": "other"}]), [])
    assert core.holds("i-0")
    assert not core.holds("i-1")


def test_a_job_whose_progress_was_overwritten_is_quarantined():
    """Guards against a finished task that runs again after a change of owner.

    Another writer overwrote the row of the job's progress. Without it the job
    looked as if nothing of it had started.
    """
    job = fleets.job(1)
    for damage in (
        _damaged(job.job_id),
        feeds.Change(job.job_id, {"tasks": "all"}, 99),
        feeds.Change(job.job_id, {"ended": "so"}, 99),
    ):
        feed = _Feed(_rows([VALID_ENTRY]))
        feed.rows["job"] = [
            feeds.Change(job.job_id, job_rows.pack(job), 1),
            feeds.Change("other", {"steps": 3}, 2),
            _damaged("third"),
        ]
        feed.rows["progress"] = [damage]
        owner = _begin_term(feed)
        assert owner.load()
        core = owner.core
        core.held("i-0", fleets.held(), 0.0, 0.0)
        assert not fleets.plan(core).starts
        assert job.job_id in core.unread
        assert not owner._tables.take_orphans()


def test_runs_of_a_job_whose_row_was_overwritten_are_not_stopped():
    """Guards against a running task that is stopped after a change of owner.

    Another writer overwrote the job's own row. Its progress names the run, but
    no job in the book accounted for it.
    """
    job = fleets.job(1)
    before = fleets.new_core()
    fleets.adopt(before, "i-0")
    before.job_added(job, 0.0)
    batch = fleets.plan(before)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [_damaged(job.job_id)]
    packed = batch.entries[0].pack()
    feed.rows["progress"] = [feeds.Change(job.job_id, packed, 1)]
    owner = _begin_term(feed)
    assert owner.load()
    listed = tuple(
        fleet.Running(start.task, start.run, "", 10.0) for start in batch.starts
    )
    owner.core.held("i-0", fleets.held(running=listed), 0.0, 0.0)
    assert not owner.core.take_stops()
    owner._tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id in owner.core.unread
    assert not owner._tables.take_orphans()


def test_a_known_job_continues_when_its_row_is_overwritten():
    """Guards against a job that stays open as its ends are not recorded."""
    job = fleets.job(1)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [feeds.Change(job.job_id, job_rows.pack(job), 1)]
    owner = _begin_term(feed)
    assert owner.load()
    owner._tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id not in owner.core.unread
    assert owner.core.book.get(job.job_id) is not None


def test_an_overwritten_cancel_takes_effect():
    """Guards against a job that runs on after its cancel was confirmed."""
    job = fleets.job(1)
    feed = _Feed(_rows([VALID_ENTRY]))
    feed.rows["job"] = [feeds.Change(job.job_id, job_rows.pack(job), 1)]
    feed.rows["cancel"] = [_damaged(job.job_id)]
    owner = _begin_term(feed)
    assert owner.load()
    assert owner.core.book.get(job.job_id).ended is not None


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
