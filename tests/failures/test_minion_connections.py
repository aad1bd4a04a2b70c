"""Late, cut, doubled and swapped answers on connections that are kept."""

import dataclasses

import gevent
import gevent.event
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import raw_http
from tests.common import clocks
from tests.common import properties
from tests.common import wire
from vanillaswitch.protocol import minions
from vanillaswitch.transport import minion_http

client = wire.client
SOON_S = 0.005
"""A timeout that is always meant to run out."""

FAULTS = ("none", "cut", "doubled", "doubled-later", "late", "swapped")
NEEDS_NAMES = ("doubled-later", "swapped")
"""Faults that only an answer that names its request gives away."""


@dataclasses.dataclass(frozen=True)
class Step:
    """One request and what its minion does wrong."""

    fault: str
    body: bytes
    keep: int
    fresh: bool


STEPS = st.builds(
    Step,
    st.sampled_from(FAULTS),
    st.binary(max_size=20),
    st.integers(0, 60),
    st.booleans(),
)


class FaultyMinion:
    """Answers request n as step n says; its body names its request."""

    def __init__(self, plan, named):
        self._plan = plan
        self._named = named
        self._owed = {}
        self.given_up = [gevent.event.Event() for _ in plan]

    def body(self, number):
        """Returns the body that belongs to a request."""
        return b"%d:%b" % (number, self._plan[number].body)

    def answer(self, number):
        """Returns the whole answer that belongs to a request."""
        name = b"Request-Id: r-%d\r\n" % number if self._named else b""
        return raw_http.answer(self.body(number), name)

    def reply(self, request, connection):
        """Answers one request as its step says."""
        number = int(request.partition(b"Request-Id: r-")[2].split(b"\r")[0])
        step = self._plan[number]
        owed = self._owed.pop(connection, b"")
        whole = self.answer(number)
        if step.fault == "cut":
            connection.sendall(owed + whole[: min(step.keep, len(whole) - 1)])
            connection.close()
            return
        if step.fault == "late":
            self.given_up[number].wait()
        if step.fault == "doubled":
            whole += whole
        if step.fault == "doubled-later":
            self._owed[connection] = whole
        if step.fault == "swapped":
            whole = self.answer((number + 1) % len(self._plan)) + whole
        connection.sendall(owed + whole)


@pytest.mark.parametrize("named", [True, False])
@properties.steady
@given(plan=st.lists(STEPS, min_size=1, max_size=6))
def test_no_answer_reaches_another_request(named, plan):
    """A clerk quotes a tanker the price of a tug.

    Minions answer late, twice, in part, in the wrong order, and the stray
    bytes come just after the connection was found quiet and the next request
    was sent on it. Only the request's own whole answer may be handed back.
    """
    if not named:
        plan = [one for one in plan if one.fault not in NEEDS_NAMES]
    faulty = FaultyMinion(plan, named)
    with (
        raw_http.scripted(faulty.reply) as (script, address),
        minion_http.open_client(clocks.ManualClock()) as client,
    ):
        for number, step in enumerate(plan):
            limit_s = SOON_S if step.fault == "late" else wire.LONG_S
            outcome = wire.send(
                client, address, f"r-{number}", limit_s, step.fresh
            )
            faulty.given_up[number].set()
            if isinstance(outcome, minions.Answered):
                assert outcome.answer.body == faulty.body(number)
                assert step.fault not in ("cut", "late")
            elif step.fault != "late":
                assert isinstance(outcome, minions.Lost)
            if step.fault == "none" and step.fresh:
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
            assert isinstance(outcome, minions.Lost)
            assert script.accepted == number
