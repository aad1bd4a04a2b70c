"""Late, cut, doubled and swapped answers on connections that are kept."""

import gevent
import gevent.event
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import faulty_minion
from standins import raw_http
from tests.common import clocks
from tests.common import properties
from tests.common import wire
from vanillaswitch.protocol import minions
from vanillaswitch.transport import minion_http

client = wire.client
Fault = faulty_minion.Fault
SOON_S = 0.005
"""A timeout that is always meant to run out."""

NEEDS_NAMES = (Fault.DOUBLED_LATER, Fault.SWAPPED)
"""Faults that only an answer that names its request gives away."""

STEPS = st.builds(
    faulty_minion.Step,
    st.sampled_from(Fault),
    st.binary(max_size=20),
    st.integers(0, 60),
)


@pytest.mark.parametrize("named", [True, False])
@properties.steady
@given(
    plan=st.lists(STEPS, min_size=1, max_size=6),
    fresh=st.lists(st.booleans(), min_size=6, max_size=6),
)
def test_no_answer_reaches_another_request(named, plan, fresh):
    """A clerk quotes a tanker the price of a tug.

    Minions answer late, twice, in part, in the wrong order, and the stray
    bytes come just after the connection was found quiet and the next request
    was sent on it. Only the request's own whole answer may be handed back.
    """
    if not named:
        plan = [one for one in plan if one.fault not in NEEDS_NAMES]
    faulty = faulty_minion.FaultyMinion(plan, named)
    with (
        raw_http.scripted(faulty.reply) as (script, address),
        minion_http.open_client(clocks.ManualClock()) as client,
    ):
        for number, step in enumerate(plan):
            limit_s = SOON_S if step.fault is Fault.LATE else wire.LONG_S
            outcome = wire.send(
                client, address, f"r-{number}", limit_s, fresh[number]
            )
            faulty.give_up(number)
            if isinstance(outcome, minions.Answered):
                assert outcome.answer.body == faulty.body(number)
                assert step.fault not in (Fault.CUT, Fault.LATE)
            elif step.fault is not Fault.LATE:
                assert isinstance(outcome, minions.AnswerLost)
            if step.fault is Fault.NONE and fresh[number]:
                assert isinstance(outcome, minions.Answered)
        assert len(script.requests) <= len(plan)


def test_a_connection_given_up_in_the_middle_is_never_used_again():
    """A clerk gets the quote that a colleague stopped waiting for.

    The colleague's task is killed while the answer is on its way. The answer
    comes late on a connection that must not carry the next request.
    """
    killed = gevent.event.Event()
    arrived = gevent.event.Event()

    def reply(request, connection):
        if b"Request-Id: first" in request:
            arrived.set()
            killed.wait()
        connection.sendall(raw_http.answer(request.split(b"\r\n")[2]))

    with (
        raw_http.scripted(reply) as (script, address),
        minion_http.open_client(clocks.ManualClock()) as client,
    ):
        first = gevent.spawn(wire.send, client, address, "first")
        arrived.wait()
        first.kill()
        killed.set()
        outcome = wire.send(client, address, "second")
        assert isinstance(outcome, minions.Answered)
        assert outcome.answer.body == b"Request-Id: second"
        assert script.accepted == 2


def test_a_connection_with_a_foreign_answer_is_never_used_again(client):
    """Every clerk gets the answer of the clerk before.

    A minion's answers have slipped by one on a connection. Each is whole and
    nothing follows it, so only its name shows that it belongs to another.
    """

    def reply(_request, connection):
        connection.sendall(raw_http.answer(b"", b"Request-Id: r-0\r\n"))

    with raw_http.scripted(reply) as (script, address):
        for number in (1, 2):
            outcome = wire.send(client, address, f"r-{number}")
            assert isinstance(outcome, minions.AnswerLost)
            assert script.accepted == number
