"""No request leaves twice unless the caller of the client decides so."""

import gevent
from gevent import socket
import pytest

from standins import minion as standin
from standins import raw_http
from tests.common import wire
from vanillaswitch.protocol import minions
from vanillaswitch.transport import sockets

client = wire.client
SOON_S = 0.02
"""A timeout that is always meant to run out."""

ANSWERED_S = 2.0
"""A timeout that is never meant to run out."""


def warm(client, address, count):
    """Leaves ``count`` idle connections to a minion."""
    sends = [
        gevent.spawn(wire.send, client, address, f"w-{n}", fresh=True)
        for n in range(count)
    ]
    gevent.joinall(sends)
    assert all(isinstance(one.value, minions.Answered) for one in sends)


def test_a_pooled_connection_that_closes_under_a_request_is_lost_once(client):
    """A skipper is charged twice for one pilotage.

    The entry has several idle connections. The minion closes each as soon as
    the next request has arrived on it, having run it. A client that takes
    the close for a stale connection sends again, once for each idle one.
    """

    def reply(request, connection):
        if b"Request-Id: w-" in request:
            connection.sendall(raw_http.answer(b""))
        else:
            connection.close()

    with raw_http.scripted(reply) as (script, address):
        warm(client, address, 4)
        outcome = wire.send(client, address, "charge")
        assert isinstance(outcome, minions.AnswerLost)
        assert not outcome.timed_out
        assert sum(b": charge\r\n" in one for one in script.requests) == 1


def test_a_connection_closed_before_the_send_is_passed_over(client):
    """A quote fails although every minion is well.

    The minion closes an idle connection, as it may. The next request must not
    go on it: nothing would run, and nobody could tell.
    """
    with standin.run_minion() as running:
        running.switch(close_next=1)
        warm(client, running.address, 1)
        while running.open_connections:
            gevent.sleep(0)
        outcome = wire.send(client, running.address)
        assert isinstance(outcome, minions.Answered)
        assert running.by_request == {"w-0": 1, "r-1": 1}


@pytest.mark.parametrize("ran", [True, False])
def test_a_reset_after_the_send_is_never_sent_again(client, ran):
    """A fabric order cuts two veils.

    The order is sent on a kept connection and the minion resets it. Whether
    the order ran can't be told from here, so it is lost, not sent again.
    """
    with standin.run_minion() as running:
        warm(client, running.address, 3)
        running.switch(reset_next=1, unlucky_run=ran)
        outcome = wire.send(client, running.address)
        assert isinstance(outcome, minions.AnswerLost)
        assert not outcome.timed_out
        assert running.received == 4
        assert running.by_request["r-1"] == int(ran)


def test_a_silent_connection_is_lost_once_and_its_neighbours_are_given_up(
    client,
):
    """Each quote of a minute takes a whole timeout, one after another.

    A firewall between entry and minion forgets the open connections. The
    first request on one is lost as silent; those of the same age must not
    cost the next requests their timeouts too.
    """
    with standin.run_minion() as running:
        warm(client, running.address, 3)
        running.switch(silent_next=1)
        outcome = wire.send(client, running.address, "q", SOON_S)
        assert outcome == minions.AnswerLost(
            "no whole answer in time", timed_out=True
        )
        running.wait_for_received(4)
        assert running.by_request["q"] == 1
        with gevent.Timeout(wire.LONG_S):
            while running.open_connections:
                gevent.sleep(0)
        again = wire.send(client, running.address, "n")
        assert isinstance(again, minions.Answered)
        assert running.received == 5


def test_a_refused_connection_is_not_sent(client):
    """A charge is reported as unknown although it can't have run.

    The minion is gone and its port refuses: no byte left, so trying another
    minion is safe and has to be allowed.
    """
    with standin.run_minion() as running:
        running.switch(refuse=True)
        outcome = wire.send(client, running.address)
        assert isinstance(outcome, minions.NotSent)
        assert running.received == 0


def test_a_failure_of_the_first_byte_is_not_sent(client, monkeypatch):
    """A charge is reported as unknown although it can't have run.

    The connection fails at the first write: the kernel took no byte of it.
    """
    mine, theirs = socket.socketpair()
    theirs.close()
    monkeypatch.setattr(sockets, "connect", lambda *_: mine)
    outcome = wire.send(client, "127.0.0.1:1")
    assert isinstance(outcome, minions.NotSent)


def test_a_request_that_left_in_part_may_have_run(client, monkeypatch):
    """A charge is sent to a second minion while the first still reads it.

    The first minion takes part of a long request and then stalls. What was
    taken may yet be completed from the kernel's buffers, so it is not "not
    sent", whatever part had left.
    """
    mine, theirs = socket.socketpair()
    monkeypatch.setattr(sockets, "connect", lambda *_: mine)
    request = wire.request_of(method="POST", body=b"x" * 10_000_000)
    outcome = wire.send(client, "127.0.0.1:1", request, SOON_S)
    assert outcome == minions.AnswerLost(
        "no whole answer in time", timed_out=True
    )
    theirs.close()


def test_a_stall_in_the_middle_of_an_answer_is_not_silence(client, monkeypatch):
    """Every connection to a busy minion is given up, again and again.

    The minion stalls in the middle of an answer. Bytes came back, so nothing
    has lost track of the connections, and its neighbours are kept.
    """
    mine, theirs = socket.socketpair()
    theirs.sendall(b"HTTP/1.1 200 OK\r\n")
    monkeypatch.setattr(sockets, "connect", lambda *_: mine)
    outcome = wire.send(client, "127.0.0.1:1", "r", SOON_S)
    assert outcome == minions.AnswerLost(
        "no whole answer in time", timed_out=False, received=17
    )
    theirs.close()


def test_the_time_limit_of_an_answered_request_interrupts_nothing_later(client):
    """Guards against a timer that goes on after its request was answered."""
    with standin.run_minion() as running:
        outcome = wire.send(client, running.address, "q", ANSWERED_S)
        assert isinstance(outcome, minions.Answered)
        gevent.sleep(1.1 * ANSWERED_S)


def test_no_time_left_means_not_sent(client):
    """A caller that has long given up is charged.

    Its deadline passed while the request was on its way here: nothing may be
    sent then, though an idle connection would take it at once.
    """
    with standin.run_minion() as running:
        warm(client, running.address, 1)
        outcome = wire.send(client, running.address, timeout_s=0.0)
        assert isinstance(outcome, minions.NotSent)
        assert running.received == 1
