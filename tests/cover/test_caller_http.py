"""HTTP towards callers: what a reply looks like on the wire, and draining."""

import contextlib
from http import client as http_client
import io
import json
import socket
import types

import gevent
import gevent.event
import gevent.socket
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import raw_http
from tests.common import properties
from tests.common import wire
from vanillaswitch.protocol import requests
from vanillaswitch.transport import problems
from vanillaswitch.transport import sockets

GET = b"GET /berthing/q?a=%20b HTTP/1.1\r\nHost: h\r\nX-Y: 1\r\n\r\n"


def parse(data, method="GET"):
    """Returns status, fields and body as another HTTP implementation does."""
    file = types.SimpleNamespace(makefile=lambda *_: io.BytesIO(data))
    response = http_client.HTTPResponse(file, method=method)
    response.begin()
    fields = {name.lower(): value for name, value in response.getheaders()}
    return response.status, fields, response.read()


def ask(reply, data=GET, method="GET"):
    with wire.serving(lambda _incoming: reply) as server:
        return parse(raw_http.exchange(server.address, data), method)


def connected(server):
    """Returns a context manager of a connection to a server."""
    return contextlib.closing(sockets.connect(server.address, wire.LONG_S))


@properties.steady
@given(
    pieces=st.lists(st.binary(min_size=1, max_size=90), max_size=8),
    chunked=st.booleans(),
)
def test_a_request_arrives_whole_however_it_is_sent(pieces, chunked):
    body = b"".join(pieces)
    framing = ("Content-Length", str(len(body)))
    sent = pieces
    if chunked:
        framing = ("Transfer-Encoding", "Chunked")
        sent = [b"%x\r\n%b\r\n" % (len(one), one) for one in pieces]
        sent.append(b"0\r\nTrailer: x\r\n\r\n")
    head = "POST /b?a=%20b HTTP/1.1\r\nHost: h\r\n" + ": ".join(framing)
    expected = requests.RawRequest(
        "POST", "/b?a=%20b", (("Host", "h"), framing), body, 1000.0
    )
    recorder = wire.Recorder()
    with wire.serving(recorder) as server, connected(server) as connection:
        for one in [head.encode(), b"\r\n\r\n", *sent]:
            connection.sendall(one)
            gevent.sleep(0)
        status, _fields, answered = parse(raw_http.read_message(connection))
        assert (status, answered) == (200, body)
        assert recorder.seen == [expected]
        connection.sendall(GET)
        assert parse(raw_http.read_message(connection))[0] == 200


def test_an_answer_is_passed_on_whole_without_hop_by_hop_fields():
    fields = (
        ("Content-Type", "text/plain"),
        ("ETag", '"1"'),
        ("Set-Cookie", "a=1"),
        ("Set-Cookie", "b=2"),
        ("Connection", "keep-alive, X-Hop"),
        ("Keep-Alive", "timeout=5"),
        ("X-Hop", "1"),
        ("Content-Length", "999"),
        ("Request-Outcome", "not-run"),
    )
    status, found, body = ask(requests.Answer(418, fields, b"whole"))
    assert (status, body) == (418, b"whole")
    found.pop("date")
    assert found == {
        "content-type": "text/plain",
        "etag": '"1"',
        "set-cookie": "b=2",
        "content-length": "5",
        "request-outcome": "ran",
    }


@pytest.mark.parametrize(
    ("method", "status", "length"),
    [("HEAD", 200, "9"), ("GET", 204, None), ("GET", 304, None)],
)
def test_an_answer_without_a_body_keeps_only_a_true_length(
    method, status, length
):
    answer = requests.Answer(status, (("Content-Length", "9"),), b"")
    data = GET.replace(b"GET", method.encode())
    found_status, fields, body = ask(answer, data, method)
    assert (found_status, body) == (status, b"")
    assert fields.get("content-length") == length


def test_a_refusal_is_a_problem_document():
    refusal = requests.Refusal(
        requests.Outcome.NOT_RUN, 503, "queue-full", "Too much.", 0.25
    )
    status, fields, body = ask(refusal)
    assert status == 503
    assert fields["content-type"] == "application/problem+json"
    assert fields["request-outcome"] == "not-run"
    assert fields["retry-after"] == "1"
    assert fields["retry-after-ms"] == "250"
    assert json.loads(body) == {
        "type": "urn:vanillaswitch:problem:queue-full",
        "title": "Service Unavailable",
        "status": 503,
        "detail": "Too much.",
        "outcome": "not-run",
        "code": "queue-full",
    }


@given(st.none() | st.floats(0, 10_000))
def test_the_time_to_come_back_is_never_told_too_early(after_s):
    refusal = requests.Refusal(
        requests.Outcome.NOT_RUN, 503, "busy", "", after_s
    )
    fields = dict(problems.fields(refusal))
    if after_s is None:
        assert "Retry-After" not in fields
        return
    assert int(fields["Retry-After"]) >= max(1.0, after_s)
    assert int(fields["Retry-After"]) <= max(1.0, after_s + 1)
    assert int(fields["Retry-After-Ms"]) >= after_s * 1000


def test_a_failing_handler_leaves_the_outcome_unknown():
    def fail(_incoming):
        raise LookupError("a fault")

    with wire.serving(fail) as server:
        status, fields, body = parse(raw_http.exchange(server.address, GET))
    assert (status, fields["request-outcome"]) == (500, "unknown")
    assert json.loads(body)["outcome"] == "unknown"


@pytest.mark.parametrize(
    ("page", "document"),
    [
        ("ready", {"ready": True, "reason": "has a view"}),
        ("live", {"live": True}),
        ("counters", {"answered": 3}),
        ("histograms", {"quote": {"p99_ms": 5.0}}),
    ],
)
def test_pages_are_json_and_reach_no_handler(page, document):
    recorder = wire.Recorder()
    data = b"GET /_/%b HTTP/1.1\r\nHost: h\r\n\r\n" % page.encode()
    with wire.serving(recorder) as server:
        status, _fields, body = parse(raw_http.exchange(server.address, data))
    assert (status, json.loads(body)) == (200, document)
    assert recorder.seen == []


def test_a_caller_that_asks_first_is_told_to_go_on():
    data = (
        b"POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
        b"Content-Length: 3\r\n\r\n"
    )
    with (
        wire.serving(wire.Recorder()) as server,
        connected(server) as connection,
    ):
        connection.sendall(data)
        assert raw_http.read_message(connection).startswith(b"HTTP/1.1 100 ")
        connection.sendall(b"abc")
        assert parse(raw_http.read_message(connection))[2] == b"abc"


def test_a_drain_finishes_what_runs_and_refuses_what_comes():
    begun = gevent.event.Event()
    finish = gevent.event.Event()

    def handle(incoming):
        begun.set()
        finish.wait()
        return requests.Answer(200, (), incoming.target.encode())

    with wire.serving(handle) as server, connected(server) as kept:
        first = gevent.spawn(raw_http.exchange, server.address, GET)
        begun.wait()
        drained = gevent.spawn(server.drain, wire.LONG_S)
        gevent.idle()
        kept.sendall(GET)
        check_turned_away(kept)
        with pytest.raises(ConnectionRefusedError):
            sockets.connect(server.address, wire.LONG_S)
        assert not drained.ready()
        finish.set()
        status, fields, body = parse(first.get())
        assert (status, body) == (200, b"/berthing/q?a=%20b")
        assert fields["connection"] == "close"
        assert drained.get()


def check_turned_away(connection):
    status, fields, _body = parse(raw_http.read_all(connection))
    assert (status, fields["request-outcome"]) == (503, "not-run")
    assert fields["connection"] == "close"
    assert fields["retry-after"] == "1"


def test_a_drain_answers_what_was_sent_before_it_began():
    """A clerk's request is reset by a planned stop.

    It is in the kernel's buffers when the drain begins: on a connection that
    the server waits on, and on one that it has not accepted yet.
    """
    recorder = wire.Recorder()
    with wire.serving(recorder) as server:
        address = sockets.parse_address(server.address)
        # Plain sockets, so that no other task runs between these lines.
        with socket.create_connection(address) as kept:
            kept.sendall(GET)
            gevent.socket.wait_read(kept.fileno())
            raw_http.read_message(kept)
            with socket.create_connection(address) as queued:
                queued.sendall(GET)
                kept.sendall(GET)
                assert server.drain(wire.LONG_S)
                for connection in (kept, queued):
                    connection.setblocking(False)
                    check_turned_away(connection)
    assert len(recorder.seen) == 1


def test_a_drain_ends_after_its_grace_and_tells_the_outcome_as_unknown():
    begun = gevent.event.Event()

    def handle(_incoming):
        begun.set()
        gevent.event.Event().wait()

    with wire.serving(handle) as server:
        caller = gevent.spawn(raw_http.exchange, server.address, GET)
        begun.wait()
        assert not server.drain(0.01)
        assert server.in_flight == 1
    status, fields, _body = parse(caller.get())
    assert (status, fields["request-outcome"]) == (500, "unknown")
