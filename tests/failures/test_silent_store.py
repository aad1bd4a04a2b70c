"""A store that accepts calls and answers none."""

import gevent
import pytest

from standins import edge_http
from tests.common import clocks as manual
from tests.common import fleet_builders
from vanillaswitch.coordination import hedged_table
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.job_requests import job_store
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import http_table
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.transport import plain_http


class _Table:
    """Counts commits and answers none."""

    def __init__(self):
        self.commits = 0

    def read(self, keys):
        del keys
        return platform.Unavailable("silent")

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        del transaction
        self.commits += 1
        return platform.OutcomeUnknown("silent")


def test_a_submission_is_refused_at_once_while_the_store_is_silent():
    """Guards against clients that hang and are not served.

    Each submission was sent to the silent store, could then not be refused any
    more, and hung until its client gave up: ninety clients for three seconds
    each. If it is refused before it is sent, the client retries and is served
    as soon as the store answers.
    """
    table = _Table()
    silent_s = [5.0]
    job_store_ = job_store.JobStore(
        table, manual.ManualClock(), "boot", lambda: silent_s[0]
    )
    assert (
        job_store_.submit(fleet_builders.job(), 2000.0)
        is job_store.RequestResult.NOT_APPLIED
    )
    assert (
        job_store_.cancel("ab", True, 2000.0)
        is job_store.RequestResult.NOT_APPLIED
    )
    assert isinstance(job_store_.state("ab"), job_store.StateUnknown)
    assert table.commits == 0


def test_a_submission_that_was_sent_is_never_reported_as_not_run():
    """Guards against a client that is told "not run" while its job runs.

    Its write was sent before the store was known to be silent. The write may
    take effect later, so the outcome is unknown, and the client is told so in
    time.
    """
    clock = manual.ManualClock()
    job_store_ = job_store.JobStore(_Table(), clock, "boot", lambda: 0.0)
    started_at = clock.monotonic()
    verdict = job_store_.submit(fleet_builders.job(), started_at + 60.0)
    assert verdict is job_store.RequestResult.UNKNOWN
    assert clock.monotonic() - started_at <= job_store.COMMIT_TIMEOUT_S + 0.5


def test_silence_of_the_store_and_its_end_are_noticed():
    """Guards against submissions that are refused after an outage.

    They were refused for seconds after the store was back.
    """
    outside = edge_http.EdgePlatform(0, 0.1)
    clock = clocks.SystemClock()
    put = platform.Put("job/a", 0, {})
    with outside.serving(), plain_http.open_client(clock) as client:
        store = http_table.HttpTable(
            client, outside.address, clock, lambda _: None
        )
        assert store.unresponsive_s == 0.0
        outside.rows.lose_answers = True
        call = gevent.spawn(store.commit, platform.Transaction("lost", (put,)))
        gevent.sleep(0.3)
        assert 0.25 < store.unresponsive_s < 1.0
        outside.rows.lose_answers = False
        store.read(["job/a"])
        assert store.unresponsive_s == 0.0
        call.kill()


_CALL_TIMEOUT_S = 1.5


class _SilentUntil:
    """Leaves calls unanswered that arrive before a given time."""

    def __init__(self, seconds):
        self._clock = clocks.SystemClock()
        self.back_at = self._clock.monotonic() + seconds

    def read(self, keys):
        del keys
        outcome = self._call(platform.Rows(()))
        if isinstance(outcome, platform.OutcomeUnknown):
            return platform.Unavailable(outcome.reason)
        return outcome

    def commit(self, transaction):
        del transaction
        return self._call(platform.Committed(7))

    def _call(self, outcome):
        if self._clock.monotonic() >= self.back_at:
            return outcome
        self._clock.sleep(_CALL_TIMEOUT_S)
        return platform.OutcomeUnknown("silent")


@pytest.mark.parametrize("silent_s", [1.3, 1.6, 2.2])
def test_an_owner_writes_as_soon_as_the_store_is_back(silent_s):
    """Guards against an idle second and a lost term after an outage."""
    clock = clocks.SystemClock()
    store = _SilentUntil(silent_s)
    writer = fenced_writer.FencedWriter(
        hedged_table.HedgedTable(store, clock),
        clock,
        fenced_writer.OwnerRow("edge-1", "a:1", "boot-1"),
    )
    assert isinstance(writer.write([]), fenced_writer.Written)
    assert clock.monotonic() - store.back_at < owner_monitor.SUSPECT_AFTER_S


@pytest.mark.parametrize("silent_s", [0.8, 1.3, 1.6])
def test_a_read_is_answered_as_soon_as_the_store_is_back(silent_s):
    """Guards against a take-over two seconds late after an outage."""
    clock = clocks.SystemClock()
    store = _SilentUntil(silent_s)
    table = hedged_table.HedgedTable(store, clock)
    while isinstance(table.read(["owner/fleet"]), platform.Unavailable):
        clock.sleep(owner_monitor.SUSPECT_READ_INTERVAL_S)
    assert clock.monotonic() - store.back_at < owner_monitor.READ_INTERVAL_S


class _Client:
    """Answers calls with an empty table, except those sent while silent."""

    def __init__(self):
        self.silent = True

    def call(self, address, method, target, data, headers, timeout_s, *_):
        del address, method, target, data, headers
        if self.silent:
            gevent.sleep(timeout_s)
            return minions.AnswerLost("silent", True)
        body = b'{"rows": [], "row_version": 7, "now_ms": 1}'
        return minions.Answered(requests.Answer(200, (), body))


@pytest.mark.parametrize(
    "ask",
    [
        lambda store: store.changes("op", 0, 4.0),
        lambda store: store.snapshot("op"),
    ],
    ids=["changes", "snapshot"],
)
def test_a_call_ends_when_another_shows_that_the_store_is_back(ask):
    """Guards against new jobs that are noticed a second after an outage."""
    client = _Client()
    store = http_table.HttpTable(
        client, "a:1", clocks.SystemClock(), lambda _: None
    )
    lost_read = gevent.spawn(store.read, ["job/a"])
    gevent.sleep(0.8)
    asked = gevent.spawn(ask, store)
    gevent.sleep(0.4)
    assert not asked.ready()
    client.silent = False
    store.read(["job/a"])
    assert isinstance(asked.get(timeout=0.1), platform.Unavailable)
    lost_read.kill()


class _ManyChanges:
    """The changes of an outage take longer than the timeout of a call."""

    def __init__(self):
        self.reads = 0

    def changes(self, table, after, wait_s, max_bytes=None):
        del table, wait_s, max_bytes
        if after < 50:
            return platform.Unavailable("no whole answer in time")
        return change_feeds.ChangeBatch((), after)

    def snapshot(self, table, parts=()):
        del table, parts
        self.reads += 1
        return change_feeds.Snapshot(
            (change_feeds.RowChange("config", {}, 60),), 60
        )


def test_a_table_with_too_many_changes_is_read_as_a_whole():
    """Guards against routes that were added during an outage and stay unknown.

    They were answered with 404 for 9 s after the outage.
    """
    received = []
    feed = _ManyChanges()
    follower = table_follower.Follower(
        feed,
        "op",
        manual.ManualClock(),
        lambda snapshot: received.extend(snapshot.rows),
        received.extend,
        lambda _: None,
        prefers_snapshots=True,
    )
    follower.resume_from(change_feeds.Snapshot((), 1))
    for _ in range(3):
        follower._poll()
    assert [change.version for change in received] == [60]
    assert feed.reads == 1
    assert not follower.is_failing
