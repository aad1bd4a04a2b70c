"""The client towards minions: what is sent, what is read, what is kept."""

import gevent
from gevent import socket
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import minion as standin
from standins import raw_http
from tests.common import clocks
from tests.common import properties
from tests.common import wire
from vanillaswitch import errors
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import answer_reader
from vanillaswitch.transport import connections
from vanillaswitch.transport import minion_http

client = wire.client
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@properties.steady
@given(
    body=st.binary(max_size=200),
    cuts=st.sets(st.integers(1, 400), max_size=8),
    chunked=st.booleans(),
    interim=st.booleans(),
)
def test_an_answer_is_read_whole_however_it_is_cut_into_pieces(
    body, cuts, chunked, interim
):
    data = raw_http.answer(body)
    if chunked:
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        data = OK + CHUNKED + b"\r\n" + chunk + b"0\r\n\r\n"
    if interim:
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + data
    reader = answer_reader.AnswerReader("GET", 10_000)
    edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        assert not reader.whole
        reader.feed(data[start:end])
    assert reader.whole
    assert reader.reusable
    assert reader.answer() == requests.Answer(200, (), body)


@pytest.mark.parametrize(
    ("method", "data", "status", "reusable"),
    [
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, True),
        ("GET", b"HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 304, True),
        ("HEAD", OK + b"Content-Length: 9\r\n\r\n", 200, True),
        ("HEAD", OK + b"Content-Length: 2\r\n\r\nab", 200, False),
        ("GET", raw_http.answer(b"", b"Connection: close\r\n"), 200, False),
        ("GET", b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, False),
        ("GET", raw_http.answer(b"") + b"stray", 200, False),
        ("GET", raw_http.answer(b"") + raw_http.answer(b"two"), 200, False),
    ],
)
def test_only_a_clean_connection_that_stays_open_is_used_again(
    method, data, status, reusable
):
    reader = answer_reader.AnswerReader(method, 1000)
    reader.feed(data)
    assert reader.whole
    assert reader.reusable is reusable
    assert (reader.answer().status, reader.answer().body) == (status, b"")


@pytest.mark.parametrize(
    "data",
    [
        OK + b"\r\nno length, so the end proves nothing",
        OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        OK + b"Content-Length: 2\r\n" + CHUNKED + b"\r\n2\r\nab\r\n0\r\n\r\n",
        OK + b"Transfer-Encoding: gzip\r\n\r\nab",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        b"SSH-2.0-OpenSSH\r\n",
        raw_http.answer(b"x" * 2000),
    ],
)
def test_an_answer_that_is_not_provably_whole_is_lost(data):
    def reply(_request, connection):
        connection.sendall(data)
        connection.close()

    small = minion_http.ClientSettings(max_answer_bytes=1000)
    client = minion_http.HttpMinionClient(clocks.ManualClock(), small)
    with raw_http.scripted(reply) as (script, address):
        outcome = wire.send(client, address)
        assert isinstance(outcome, minions.AnswerLost)
        assert not outcome.timed_out
        assert len(script.requests) == 1


def test_the_request_names_itself_and_drops_hop_by_hop_fields(client):
    passed = (
        ("Accept", "a/b"),
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Request-Id", "forged"),
        ("Content-Length", "77"),
        ("Expect", "100-continue"),
    )
    request = wire.request_of("r", "POST", b"abc", "k-1", passed)
    with raw_http.scripted(
        lambda _request, connection: connection.sendall(raw_http.answer(b""))
    ) as (script, address):
        assert isinstance(wire.send(client, address, request), minions.Answered)
    expected = (
        f"POST /berthing/quote HTTP/1.1\r\nHost: {address}\r\n"
        "Request-Id: r\r\nCaller-Id: harbour\r\nIdempotency-Key: k-1\r\n"
        "Content-Length: 3\r\nAccept: a/b\r\n\r\nabc"
    )
    assert script.requests == (expected.encode(),)


def test_the_minion_is_told_the_time_that_this_attempt_has():
    """A minion works on for a caller that has long gone.

    The first attempt met a silent connection for two seconds; the retry told
    the minion the whole of the caller's time, since the field was passed on.
    """
    given_ms = (requests.HEADER_TIMEOUT_MS, "30000")
    request = wire.request_of(headers=(given_ms,))
    minion = minions.Minion("m", "s", "127.0.0.1:1", "d", "r", 8, 64)
    sent = minion_http.encode(minion, request, 1.5)
    assert b"\r\nRequest-Timeout-Ms: 1500\r\n" in sent
    assert sent.count(b"Request-Timeout-Ms") == 1


@pytest.mark.parametrize("text", ["a\r\nb", "a\nb", "\r"])
def test_a_line_break_in_a_field_breaks_an_invariant(client, text):
    request = wire.request_of(headers=(("X", text),))
    with pytest.raises(errors.InvariantError):
        wire.send(client, "127.0.0.1:1", request)


def test_a_kept_connection_is_used_again_unless_a_fresh_one_is_asked(client):
    with raw_http.scripted(
        lambda _request, connection: connection.sendall(raw_http.answer(b""))
    ) as (script, address):
        for fresh, accepted in ((False, 1), (False, 1), (True, 2)):
            outcome = wire.send(client, address, fresh=fresh)
            assert isinstance(outcome, minions.Answered)
            assert script.accepted == accepted


POOL_STEPS = ["take", "give", "give", "peer closes", "stray bytes", 10.0, 31.0]


@properties.steady
@given(steps=st.lists(st.sampled_from(POOL_STEPS), max_size=30))
@example(steps=["give"] * 4)
def test_the_pool_is_bounded_and_gives_out_only_quiet_young_connections(steps):
    clock = clocks.ManualClock()
    pool = connections.ConnectionPool(clock, per_address=3, idle_s=30.0)
    pairs = []
    spoilt = set()
    until = {}
    for step in steps:
        if step == "give":
            pairs.append(socket.socketpair())
            until[pairs[-1][0]] = clock.monotonic() + 30.0
            pool.give_back("a", pairs[-1][0])
        elif step == "take":
            taken = pool.take("a")
            if taken is not None:
                assert taken not in spoilt
                assert clock.monotonic() < until[taken]
                taken.close()
        elif isinstance(step, float):
            clock.advance(step)
        elif pairs and pairs[-1][0] not in spoilt:
            mine, theirs = pairs[-1]
            spoilt.add(mine)
            if step == "peer closes":
                theirs.close()
            elif mine.fileno() != -1:
                theirs.sendall(b"stray")
        assert pool.size <= 3
    pool.close()
    assert all(mine.fileno() == -1 for mine, _ in pairs)
    for _mine, theirs in pairs:
        theirs.close()


def test_idle_connections_of_a_minion_that_is_gone_are_closed_in_time():
    clock = clocks.ManualClock()
    pool = connections.ConnectionPool(clock, per_address=3, idle_s=30.0)
    pairs = socket.socketpair()
    pool.give_back("gone", pairs[0])
    clock.advance(31.0)
    pool.give_back("other", pairs[1])
    assert [one.fileno() == -1 for one in pairs] == [True, False]


def test_the_stand_in_counts_runs_and_requests_beyond_its_slots(client):
    with standin.run_minion(work_ms=1.0, slots=2) as running:
        sends = [
            gevent.spawn(wire.send, client, running.address, f"r-{n}")
            for n in range(5)
        ]
        gevent.joinall(sends)
        assert all(isinstance(one.value, minions.Answered) for one in sends)
        assert running.by_request == {f"r-{n}": 1 for n in range(5)}
        assert running.over_subscribed == 3


def test_the_stand_in_is_switched_over_http(client):
    data = (
        b"POST /_standin/switch HTTP/1.1\r\nConnection: close\r\n"
        b'Content-Length: 16\r\n\r\n{"leaving":true}'
    )
    with standin.run_minion() as running:
        answer = raw_http.exchange(running.address, data)
        assert answer.startswith(b"HTTP/1.1 200 ")
        outcome = wire.send(client, running.address)
        assert isinstance(outcome, minions.Answered)
        assert outcome.answer.status == 503
        assert running.by_request == {}
