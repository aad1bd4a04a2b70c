"""A configuration that takes longer to arrive than a call usually takes."""

from collections.abc import Iterator
import contextlib
import hashlib
import json

import gevent
import pytest

from standins import edge_http
from standins import edge_processes
from standins import relays
from tests.common import account_calls
from tests.common import clocks as manual
from tests.common import platforms
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import usage
from vanillaswitch.platform import http_table
from vanillaswitch.platform import operator_rows
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.platform import store_rows
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import platform
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import plain_http
from vanillaswitch.transport import platform_http

LINK_BYTES_PER_S = 2e6 / 8
"""Of the slowest links that deployments have."""

TRANSFER_S = 1.5 * (table_follower.LONG_POLL_S + http_table.FEED_MARGIN_S)
"""Longer than any call to the store may wait for its answer."""

PROCESS_S = 20.0
"""Longest wait for a real process."""


def _config(version: int, size: int) -> dict[str, object]:
    """Returns a configuration document of at least ``size`` bytes."""
    document = account_calls.config_document([], version=version)
    route = document["routes"][0]
    count = size // len(json.dumps(route))
    document["routes"] += [
        {**route, "name": f"r{number}", "path_prefix": f"/r{number}/"}
        for number in range(count)
    ]
    return document


class _Machine:
    """Follows the operators' table over a link of limited rate."""

    def __init__(self, outside: edge_http.EdgePlatform, link: relays.Relay):
        self.link = link
        self._outside = outside
        clock = clocks.SystemClock()
        self._clock = clock
        self._meter = usage.Meter(clock.monotonic())
        self._client = contextlib.ExitStack()
        client = self._client.enter_context(
            plain_http.open_client(clock, self._meter)
        )
        self.store = http_table.HttpTable(
            client, link.address, clock, lambda _: None
        )
        self.events: list[object] = []
        self.view = operator_table.OperatorTable(
            self.store,
            operator_table.OperatorFormat(
                operator_rows.CONFIG_KEY,
                operator_rows.WAVE_PREFIX,
                "status",
                lambda document: operator_rows.decode_config(document, True),
                operator_rows.decode_wave,
                operator_rows.encode_wave_status,
            ),
            reference_clock.ReferenceClock(clock),
            self.events.append,
        )
        self._follower = table_follower.Follower(
            self.store,
            operator_rows.OPERATOR_TABLE,
            clock,
            self.view.on_snapshot,
            self.view.on_changes,
            self.events.append,
            prefers_snapshots=True,
            on_current=self.view.on_current,
        )

    def operate(self, version: int, size: int) -> None:
        """Writes a configuration as operators do."""
        self._outside.rows.write("op", "config", _config(version, size))

    def poll(self, times: int) -> int:
        """Polls a few times; returns the version of the configuration."""
        for _ in range(times):
            self._follower._poll()
        return 0 if self.view.config is None else self.view.config.version

    def incomplete_answers(self) -> int:
        """Returns how many calls got no whole answer so far."""
        return self._meter.take(self._clock.monotonic()).unanswered

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


@pytest.fixture
def machine() -> Iterator[_Machine]:
    outside = edge_http.EdgePlatform(0, 0.1)
    with outside.serving(), relays.run(outside.address) as link:
        link.answer_bytes_per_s = LINK_BYTES_PER_S
        machine = _Machine(outside, link)
        try:
            yield machine
        finally:
            machine.close()


def test_a_configuration_that_outgrows_a_slow_link_comes_into_force(machine):
    """Guards against machines that refuse all clients with keys for good."""
    machine.operate(1, 1_000)
    assert machine.poll(1) == 1
    machine.operate(2, int(LINK_BYTES_PER_S * TRANSFER_S))
    assert machine.poll(2) == 2


def test_only_the_newest_of_several_large_configurations_is_read(machine):
    """Guards against a backlog of versions that grows while it is read."""
    size = table_follower.MAX_CHANGES_BYTES // 5
    machine.operate(1, 1_000)
    assert machine.poll(1) == 1
    for version in range(2, 10):
        machine.operate(version, size)
    before = machine.link.answer_bytes
    assert machine.poll(2) == 9
    assert machine.incomplete_answers() == 1
    assert machine.link.answer_bytes - before < 3 * size


def test_a_process_that_starts_on_a_slow_link_reads_its_configuration(machine):
    """Guards against a process that never serves since each read is cut."""
    machine.operate(1, int(LINK_BYTES_PER_S * TRANSFER_S))
    assert machine.poll(1) == 1


def test_an_answer_that_stalls_is_given_up(machine):
    """Guards against a read that waits for good behind a cut link."""
    machine.operate(1, int(LINK_BYTES_PER_S * TRANSFER_S))
    reading = gevent.spawn(machine.store.snapshot, "op")
    gevent.sleep(0.5)
    machine.link.harm(relays.Harm.SILENT)
    outcome = reading.get(timeout=2 * http_table.CALL_TIMEOUT_S)
    assert isinstance(outcome, platform.Unavailable)


def test_an_answer_that_trickles_is_given_up(machine):
    """Guards against a read that takes minutes and then starts anew."""
    machine.link.answer_bytes_per_s = 0.375 * minion_http.MIN_ANSWER_BYTES_PER_S
    machine.operate(1, 100_000)
    outcome = gevent.spawn(machine.store.snapshot, "op").get(
        timeout=4 * http_table.CALL_TIMEOUT_S
    )
    assert isinstance(outcome, platform.Unavailable)


def test_an_answer_that_began_fast_and_then_trickles_is_given_up():
    """Guards against a read that takes minutes since it began fast."""
    clock = manual.ManualClock()
    began_at = clock.monotonic()
    rate = minion_http.MIN_ANSWER_BYTES_PER_S
    limit = minion_http._AttemptTimeout(clock, 1.0, rate)
    received = 1_000_000
    with limit.running(), pytest.raises(gevent.Timeout):
        for _ in range(100):
            limit.record_progress(received)
            clock.advance(0.9)
            received += 1
    assert clock.monotonic() - began_at <= 2 * minion_http.RATE_WINDOW_S


def test_a_store_whose_answer_is_arriving_is_not_taken_for_silent(machine):
    """Guards against submissions refused while a configuration arrives."""
    machine.operate(1, int(LINK_BYTES_PER_S * TRANSFER_S))
    reading = gevent.spawn(machine.store.snapshot, "op")
    gevent.sleep(http_table.OUTAGE_S + 0.4)
    assert not reading.ready()
    assert machine.store.unresponsive_s < http_table.OUTAGE_S / 2
    reading.kill()


def test_the_end_of_an_outage_does_not_end_an_answer_that_is_arriving(
    machine, monkeypatch
):
    """Guards against a long answer that is read again from its beginning."""
    monkeypatch.setattr(http_table, "CALL_TIMEOUT_S", 4.0)
    machine.operate(1, int(LINK_BYTES_PER_S * TRANSFER_S))
    reading = gevent.spawn(machine.store.snapshot, "op")
    gevent.sleep(0.3)
    machine.link.harm(relays.Harm.SILENT)
    gevent.sleep(0.1)
    other = gevent.spawn(machine.store.read, ["op/none"])
    gevent.sleep(http_table.OUTAGE_S + 0.1)
    assert machine.store.unresponsive_s > http_table.OUTAGE_S
    machine.link.harm(relays.Harm.NONE)
    outcome = reading.get(timeout=4 * TRANSFER_S)
    assert not isinstance(outcome, platform.Unavailable)
    other.kill()


def test_many_answers_that_share_a_slow_link_arrive(machine):
    """Guards against new owners that never read the jobs of a backlog."""
    machine.link.answer_bytes_per_s = None
    text = "x" * 3_000
    for number in range(10 * store_rows.CLIENT_PARTITIONS):
        put = platform.Put(f"job/{number:016x}", 0, {"text": text})
        machine.store.commit(platform.Transaction(f"t{number}", (put,)))
    machine.link.answer_bytes_per_s = LINK_BYTES_PER_S
    outcome = machine.store.snapshot("job")
    assert not outcome.unreadable_partitions
    assert len(outcome.rows) == 10 * store_rows.CLIENT_PARTITIONS


class _SlowChanges:
    """Delivers one change by a slow transfer and then none."""

    def __init__(self, clock):
        self._clock = clock
        self.waits = []

    def snapshot(self, table, parts=()):
        del table, parts
        return change_feeds.Snapshot((), 1)

    def changes(self, table, after, wait_s):
        del table
        self.waits.append(wait_s)
        if len(self.waits) > 1:
            self._clock.advance(wait_s)
            return change_feeds.ChangeBatch((), after)
        self._clock.advance(3.0)
        change = change_feeds.RowChange("config", {}, after + 1)
        return change_feeds.ChangeBatch((change,), after + 1)


def test_a_copy_that_arrived_slowly_is_confirmed_without_waiting():
    """Guards against keys refused for another second after a long transfer."""
    clock = manual.ManualClock()
    feed = _SlowChanges(clock)
    confirmed = []
    follower = table_follower.Follower(
        feed,
        "op",
        clock,
        lambda _: None,
        lambda _: None,
        lambda _: None,
        on_current=confirmed.append,
    )
    for _ in range(4):
        follower._poll()
    assert feed.waits == [1.0, 0.0, 1.0]
    assert confirmed[2] - confirmed[1] == pytest.approx(3.0)


def test_a_configuration_in_the_object_store_arrives_over_a_slow_link():
    """Guards against entries that fetch half of a body at each poll."""
    body = b"x" * int(LINK_BYTES_PER_S * TRANSFER_S)
    with (
        platforms.served(manual.ManualClock()) as (standin, _, address),
        relays.run(address) as link,
        platform_http.connect(link.address) as client,
    ):
        link.answer_bytes_per_s = LINK_BYTES_PER_S
        digest = hashlib.sha256(body).hexdigest()
        standin.objects.put(digest, body)
        assert client.objects.get(digest) == platform.ObjectContent(body)


def _answer(client, address, target):
    headers = (("X-Api-Key", account_calls.MARE),)
    sent = client.call(address, "GET", target, b"", headers, timeout_s=3.0)
    return sent.answer.status if isinstance(sent, minions.Answered) else 0


def test_a_process_on_a_slow_link_serves_routes_of_a_large_configuration(
    tmp_path,
):
    """Guards against a process that refuses keys after routes were added."""
    keys = [{"name": "mare", "api_keys": [account_calls.MARE]}]
    config = {**edge_processes.config(1), "tenants": keys}
    outside = edge_http.EdgePlatform(0, 0.1)
    outside.rows.write("op", "config", config)
    with contextlib.ExitStack() as stack:
        stack.enter_context(outside.serving())
        link = stack.enter_context(relays.run(outside.address))
        client = stack.enter_context(
            plain_http.open_client(clocks.SystemClock())
        )
        edge = edge_processes.Edge(
            "edge-0",
            tmp_path,
            link.address,
            outside.address,
            f"contracts={platform_settings.ACCOUNTS_CONTRACT}\n"
            f"bounds.revoke_ms={account_calls.REVOCATION_S * 1000:.0f}\n",
        )
        stack.callback(edge.kill)
        with gevent.Timeout(PROCESS_S):
            while _answer(client, edge.entry, "/q/") != 200:
                gevent.sleep(0.05)
        link.answer_bytes_per_s = LINK_BYTES_PER_S
        (route,) = config["routes"]
        more = [
            {**route, "name": f"r{number}", "path_prefix": f"/r{number}/"}
            for number in range(5_000)
        ]
        changed = {**config, "version": 2, "routes": [route, *more]}
        outside.rows.write("op", "config", changed)
        with gevent.Timeout(PROCESS_S):
            while _answer(client, edge.entry, "/r4999/") != 200:
                gevent.sleep(0.05)
