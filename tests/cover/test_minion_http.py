"""The client towards minions: what is sent, what is read, what is kept."""

import gevent
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import minion as standin
from tests.common import clocks
from tests.common import properties
from tests.common import wire
from vanillaswitch import errors
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import answer_reader
from vanillaswitch.transport import connections
from vanillaswitch.transport import minion_http


def send(client, minion, request=None, fresh=False):
    return client.send(minion, request or wire.request_of(), wire.LONG_S, fresh)


@pytest.fixture
def client():
    with minion_http.open_client(clocks.ManualClock()) as made:
        yield made


@properties.steady
@given(
    body=st.binary(max_size=200),
    cuts=st.lists(st.integers(1, 400), max_size=8),
    chunked=st.booleans(),
    interim=st.booleans(),
)
def test_an_answer_is_read_whole_however_it_is_cut_into_pieces(
    body, cuts, chunked, interim
):
    if chunked:
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        data += b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        data += b"0\r\n\r\n"
    else:
        data = wire.answer(body)
    if interim:
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + data
    reader = answer_reader.AnswerReader("GET", 10_000)
    edges = [0, *sorted(cut for cut in cuts if cut < len(data)), len(data)]
    for start, end in zip(edges, edges[1:], strict=False):
        assert not reader.whole
        if end > start:
            reader.feed(data[start:end])
    assert reader.whole
    assert reader.reusable
    assert reader.answer() == requests.Answer(200, (), body)


@pytest.mark.parametrize(
    ("method", "data", "status", "reusable"),
    [
        ("GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204, True),
        (
            "GET",
            b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
            304,
            True,
        ),
        ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 200, True),
        ("GET", wire.answer(b"", b"Connection: close\r\n"), 200, False),
        ("GET", b"HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200, False),
    ],
)
def test_answers_without_a_body_are_whole_after_their_head(
    method, data, status, reusable
):
    reader = answer_reader.AnswerReader(method, 1000)
    reader.feed(data)
    assert reader.whole
    assert reader.reusable is reusable
    assert reader.answer().status == status
    assert reader.answer().body == b""


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n\r\nno length, so the end proves nothing",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        b"SSH-2.0-OpenSSH\r\n",
        wire.answer(b"x" * 2000),
    ],
)
def test_an_answer_that_is_not_provably_whole_is_lost(data):
    def reply(_request, connection):
        connection.sendall(data)
        connection.close()

    small = minion_http.ClientSettings(max_answer_bytes=1000)
    client = minion_http.HttpMinionClient(clocks.ManualClock(), small)
    with wire.scripted(reply) as (script, minion):
        outcome = send(client, minion)
        assert isinstance(outcome, minions.Lost)
        assert not outcome.silent
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
    request = wire.request_of(
        method="POST", body=b"abc", key="k-1", headers=passed
    )
    with wire.scripted(
        lambda _request, connection: connection.sendall(wire.answer(b""))
    ) as (script, minion):
        assert isinstance(send(client, minion, request), minions.Answered)
    expected = (
        "POST /berthing/quote HTTP/1.1\r\n"
        f"Host: {minion.address}\r\n"
        "Request-Id: r-1\r\nCaller-Id: harbour\r\nIdempotency-Key: k-1\r\n"
        "Content-Length: 3\r\nAccept: a/b\r\n\r\nabc"
    )
    assert script.requests == [expected.encode()]


@pytest.mark.parametrize("text", ["a\r\nb", "a\nb", "\r"])
def test_a_line_break_in_a_field_breaks_an_invariant(text):
    request = wire.request_of(headers=(("X", text),))
    with pytest.raises(errors.InvariantError):
        minion_http.encode(wire.minion_at("127.0.0.1:1"), request)


def test_a_kept_connection_is_used_again_unless_a_fresh_one_is_asked(client):
    def reply(_request, connection):
        connection.sendall(wire.answer(b""))

    with wire.scripted(reply) as (script, minion):
        for fresh, accepted in ((False, 1), (False, 1), (True, 2)):
            assert isinstance(
                send(client, minion, fresh=fresh), minions.Answered
            )
            assert script.accepted == accepted


@properties.steady
@given(
    steps=st.lists(
        st.one_of(
            st.sampled_from(["take", "give", "peer closes", "stray bytes"]),
            st.floats(0, 40),
        ),
        max_size=30,
    )
)
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
    gone, _theirs = socket.socketpair()
    other, _others = socket.socketpair()
    pool.give_back("gone", gone)
    clock.advance(31.0)
    pool.give_back("other", other)
    assert gone.fileno() == -1
    assert other.fileno() != -1
    pool.close()


def test_the_stand_in_counts_runs_and_requests_beyond_its_slots(client):
    with standin.run_minion(work_ms=1.0, slots=2) as running:
        minion = wire.minion_at(running.address)
        sends = [
            gevent.spawn(send, client, minion, wire.request_of(f"r-{n}"))
            for n in range(5)
        ]
        gevent.joinall(sends)
        assert all(isinstance(one.value, minions.Answered) for one in sends)
        assert running.by_request == {f"r-{n}": 1 for n in range(5)}
        assert running.over_subscribed == 3


def test_the_stand_in_is_switched_over_http(client):
    with standin.run_minion() as running:
        data = (
            b"POST /_standin/switch HTTP/1.1\r\nConnection: close\r\n"
            b'Content-Length: 16\r\n\r\n{"leaving":true}'
        )
        assert wire.exchange(running.address, data).startswith(b"HTTP/1.1 200 ")
        outcome = send(client, wire.minion_at(running.address))
        assert isinstance(outcome, minions.Answered)
        assert outcome.answer.status == 503
        assert running.by_request == {}
