"""Rows of the platform's tables that another writer wrote, or wrote over."""

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

SOUND = 50
ENTRY = {
    "service": "berthing",
    "address": "10.0.0.1:80",
    "zone": "zone-1",
    "state": "ready",
    "capacity": {"cpu": 4000, "mem_mb": 32_000, "gpu": 0},
    "labels": ["a", "r1"],
}
BAD = (
    ENTRY | {"capacity": "all"},
    ENTRY | {"labels": None},
    ENTRY | {"state": "resting"},
    ENTRY | {"address": 80},
    ENTRY | {"service": ["berthing"]},
)


class _Feed:
    """Tables that stay as they are but for one change of the instances."""

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
    """Instances that run nothing and refuse nothing."""

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


def _term(feed):
    return terms.begin(
        tables.MemoryTable(),
        feed,
        clocks.SystemClock(),
        registration=upstreams.registration,
        upstreams=_Instances(),
    )


def test_an_owner_among_rows_of_another_writer_serves_the_others():
    """The whole fleet stands still, with one owner after the other.

    One row of the list of instances holds a text where a number belongs.
    Reading it ended the owner's process; the next owner read it as well.
    """
    bad = _rows(BAD[:3], first=100)
    feed = _Feed(
        [*_rows([ENTRY] * SOUND), *bad],
        [*_rows(BAD[3:], first=200), _damaged("i-300")],
    )
    owner = _term(feed)
    assert owner.load()
    with owner.serving():
        gevent.sleep(0.6)
        named = owner.core.instances
        assert named.keys() == {f"i-{number}" for number in range(SOUND)}
        assert all(instance.usable(0.0) for instance in named.values())


def _listing(core, rows, told):
    feed = _Feed(rows)
    clock = clocks.SystemClock()
    view = listing.Listing(
        core,
        feed,
        "servers",
        upstreams.registration,
        clock,
        told.append,
        lambda: None,
        10.0,
    )
    view.start_from(feed.snapshot("servers"))
    return view


@pytest.mark.parametrize(
    "row",
    [
        _damaged("i-0"),
        feeds.Change("i-0", ENTRY | {"address": None}, 99),
        feeds.Change("i-0", {}, 99),
    ],
)
def test_what_runs_on_goes_on_when_an_entry_is_written_over(row):
    """A charge is made twice.

    The entry of an instance that works is written over with bytes that can't
    be read. It was taken as removed, the instance as gone, and its task was
    started on another one while it ran.
    """
    told = []
    core = fleets.new_core()
    view = _listing(core, _rows([ENTRY, ENTRY]), told)
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
        len([one for one in told if isinstance(one, events.RowUnusable)]) == 1
    )
    view._on_rows(_rows([ENTRY]))
    assert instance.usable(2.0)


def test_instances_of_a_service_that_nobody_configured_are_not_held():
    """Each look at an instance is priced, and such a one is none of ours."""
    core = fleets.new_core()
    _listing(core, _rows([ENTRY, ENTRY | {"service": "other"}]), [])
    assert core.holds("i-0")
    assert not core.holds("i-1")


def test_a_job_whose_progress_was_written_over_is_left_alone():
    """A task that has ended runs again after a change of owner.

    Another writer wrote over the row of a job's progress. Without it the job
    looked as if nothing of it had begun.
    """
    job = fleets.job(1)
    for damage in (
        _damaged(job.job_id),
        feeds.Change(job.job_id, {"tasks": "all"}, 99),
        feeds.Change(job.job_id, {"ended": "so"}, 99),
    ):
        feed = _Feed(_rows([ENTRY]))
        feed.rows["job"] = [
            feeds.Change(job.job_id, job_rows.pack(job), 1),
            feeds.Change("other", {"steps": 3}, 2),
            _damaged("third"),
        ]
        feed.rows["progress"] = [damage]
        owner = _term(feed)
        assert owner.load()
        core = owner.core
        core.held("i-0", fleets.held(), 0.0, 0.0)
        assert not fleets.plan(core).starts
        assert job.job_id in core.unread
        assert not owner._tables.take_orphans()


def test_what_runs_for_a_job_whose_row_was_written_over_is_left_alone():
    """A task that works is stopped after a change of owner.

    Another writer wrote over the job's own row. Its progress names the run,
    which no job in the book accounted for.
    """
    job = fleets.job(1)
    before = fleets.new_core()
    fleets.adopt(before, "i-0")
    before.job_added(job, 0.0)
    batch = fleets.plan(before)
    feed = _Feed(_rows([ENTRY]))
    feed.rows["job"] = [_damaged(job.job_id)]
    packed = batch.entries[0].pack()
    feed.rows["progress"] = [feeds.Change(job.job_id, packed, 1)]
    owner = _term(feed)
    assert owner.load()
    listed = tuple(
        fleet.Running(start.task, start.run, "", 10.0) for start in batch.starts
    )
    owner.core.held("i-0", fleets.held(running=listed), 0.0, 0.0)
    assert not owner.core.take_stops()
    owner._tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id in owner.core.unread
    assert not owner._tables.take_orphans()


def test_a_job_that_is_known_goes_on_when_its_row_is_written_over():
    """A job's ends are never noted, and it stays open for good."""
    job = fleets.job(1)
    feed = _Feed(_rows([ENTRY]))
    feed.rows["job"] = [feeds.Change(job.job_id, job_rows.pack(job), 1)]
    owner = _term(feed)
    assert owner.load()
    owner._tables._on_jobs([_damaged(job.job_id)])
    assert job.job_id not in owner.core.unread
    assert owner.core.book.get(job.job_id) is not None


def test_a_cancel_that_was_written_over_holds():
    """A job runs on although its client was told that it is cancelled."""
    job = fleets.job(1)
    feed = _Feed(_rows([ENTRY]))
    feed.rows["job"] = [feeds.Change(job.job_id, job_rows.pack(job), 1)]
    feed.rows["cancel"] = [_damaged(job.job_id)]
    owner = _term(feed)
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


def test_processes_serve_beside_entries_that_can_not_be_read(tmp_path):
    """The same with real processes: none ends, and jobs are done."""
    outside = edge_http.EdgePlatform(2, 0.1)
    outside.rows.write("op", "config", edge_processes.config())
    for number, document in enumerate(BAD):
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
