"""The platform's HTTP interface, from both of its ends."""

import contextlib
import hashlib
import typing

from gevent import pywsgi
import gevent.socket
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests.common import clocks
from tests.common import platforms
from vanillaswitch import errors
from vanillaswitch.protocol import platform
from vanillaswitch.transport import platform_wire as wire
from vanillaswitch.transport import sockets

COMMIT = platform.Transaction(
    "t1", (platform.Put("a", 0, {"n": 1}),), (platform.Check("b", 0),)
)
COMMITTED = platforms.http("200 OK", b'{"outcome":"committed","version":1}')
ROWS = st.lists(
    st.builds(
        platform.Row,
        value=st.dictionaries(st.text(), st.none() | st.text() | st.integers()),
    )
).map(tuple)
OUTCOMES = st.one_of(
    st.builds(platform.Rows, ROWS),
    st.builds(platform.Conflict, ROWS),
    *(
        st.from_type(kind)
        for kind in typing.get_args(wire.Outcome)
        if kind not in (platform.Rows, platform.Conflict)
    ),
)
SPEC = platform.TaskSpec("quotes/1", "quotes", "op-1", 2.0, 512, 0, 10.0)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(OUTCOMES)
def test_an_outcome_comes_back_as_it_was_sent(outcome):
    sent = wire.encode_outcome(outcome)
    received = wire.decode_outcome(sent)
    assert type(received) is type(outcome)
    # As bytes, because NaN does not equal itself.
    assert wire.encode_outcome(received) == sent


def test_the_table_answers_over_http_as_in_memory():
    with platforms.served(clocks.ManualClock()) as (standin, client, _):
        assert client.table.commit(COMMIT) == platform.Committed(1)
        assert client.table.read(["a"]) == standin.table.read(["a"])
        assert client.table.scan("") == standin.table.scan("")
        assert client.table.scan("", "a", 1) == standin.table.scan("", "a", 1)
        again = platform.Transaction("t2", COMMIT.puts)
        assert client.table.commit(again) == standin.table.commit(again)


def test_objects_come_back_byte_for_byte():
    content = bytes(range(256))
    digest = hashlib.sha256(content).hexdigest()
    with platforms.served(clocks.ManualClock()) as (_, client, _):
        assert client.objects.get(digest) == platform.Missing()
        assert client.objects.put(digest, content) == platform.Done()
        assert client.objects.get(digest) == platform.ObjectContent(content)


def test_instances_drain_reboot_and_resume_over_http():
    clock = clocks.ManualClock()
    with platforms.served(clock) as (_, client, _):
        one = ["berthing-1"]
        assert len(client.instances.list().instances) == 2
        assert client.instances.drain(one[0], "d") == platform.Done()
        assert client.instances.reboot(one[0], "r") == platform.Done()
        (status,) = client.instances.status(one)
        assert status.phase is platform.MaintenancePhase.REBOOTING
        clock.advance(platforms.FLEET.reboot_s)
        assert client.instances.reboot(one[0], "r") == platform.Done()
        (status,) = client.instances.status(one)
        assert (status.phase, status.boots) == (
            platform.MaintenancePhase.DRAINED,
            2,
        )
        assert client.instances.resume(one[0], "s") == platform.Done()
        assert client.instances.resume("none", "s") == platform.Missing()


def test_tasks_run_under_leases_over_http():
    clock = clocks.ManualClock()
    with platforms.served(clock) as (_, client, _):
        workers = client.workers
        assert workers.start("worker-1", SPEC) == platform.Done()
        assert workers.throttle("worker-1", "op-1", 0.5) == platform.Done()
        assert workers.checkpoint("worker-1", "op-1") == platform.Done()
        clock.advance(8.0)
        assert workers.renew("worker-1", ["op-1"], 10.0) == platform.Done()
        clock.advance(8.0)
        (report,) = workers.reports()
        assert report.state is platform.ReportedTaskState.RUNNING
        assert (report.cores_used, report.checkpoint) == (1.0, "quotes/1/op-1")
        clock.advance(5.0)
        (report,) = workers.reports()
        assert report.state is platform.ReportedTaskState.LEASE_EXPIRED
        assert workers.stop("worker-1", "none") == platform.Missing()


def test_a_reused_token_breaks_an_invariant_over_http():
    with platforms.served(clocks.ManualClock()) as (_, client, _):
        client.table.commit(COMMIT)
        other = platform.Transaction("t1", (platform.Put("z", 0, {}),))
        with pytest.raises(errors.InvariantError, match="t1"):
            client.table.commit(other)


def test_commits_share_one_connection():
    with platforms.scripted(lambda _: COMMITTED) as (script, client):
        for _ in range(3):
            assert client.table.commit(COMMIT) == platform.Committed(1)
        assert len(script.requests) == 3
        assert script.connections == 1


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        COMMITTED[:-5],
        platforms.http("502 Bad Gateway", b"balancer"),
        platforms.http("503 Service Unavailable", b"balancer"),
        platforms.http("200 OK", b'{"outcome":"done"}'),
    ],
    ids=["closed", "cut", "502", "503", "another-kind"],
)
def test_a_commit_without_a_whole_answer_leaves_once(answer):
    def act(number):
        # The first answer warms a pooled connection for the second commit.
        return COMMITTED if number == 1 else answer

    with platforms.scripted(act, last=2) as (script, client):
        assert client.table.commit(COMMIT) == platform.Committed(1)
        outcome = client.table.commit(COMMIT)
        assert isinstance(outcome, platform.OutcomeUnknown)
        assert len(script.requests) == 2


def test_a_read_that_broke_off_is_sent_once_more():
    rows = platforms.http("200 OK", b'{"outcome":"rows","rows":[]}')
    with platforms.scripted(lambda n: rows if n == 2 else b"") as (s, client):
        assert client.table.read(["a"]) == platform.Rows(())
        assert len(s.requests) == 2
        assert isinstance(client.table.read(["a"]), platform.Unavailable)
        assert len(s.requests) == 4


def no_delay(sock):
    return sock.getsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY)


def test_accepted_and_opened_sockets_have_no_delay():
    accepted = []

    class Handler(pywsgi.WSGIHandler):
        def handle(self):
            accepted.append(no_delay(self.socket))
            super().handle()

    def application(_, start_response):
        start_response("204 No Content", [])
        return []

    listener = sockets.listen("127.0.0.1:0")
    server = sockets.HttpServer(listener, application, handler_class=Handler)
    server.start()
    with contextlib.closing(sockets.connect(server.bound, 2.0)) as opened:
        opened.sendall(b"GET / HTTP/1.0\r\n\r\n")
        assert opened.recv(1024)
        assert no_delay(opened)
    server.stop(timeout=0)
    assert all(accepted) and accepted


@pytest.mark.parametrize("address", ["", "127.0.0.1", ":80", "127.0.0.1:x"])
def test_an_address_is_an_ip_and_a_port(address):
    with pytest.raises(ValueError):
        sockets.parse_address(address)
