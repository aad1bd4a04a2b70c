"""Late, cut, doubled and swapped answers on connections that are kept."""

import dataclasses

import gevent
import gevent.event
from hypothesis import given
from hypothesis import strategies as st

from tests.common import clocks
from tests.common import properties
from tests.common import wire
from vanillaswitch.protocol import minions
from vanillaswitch.transport import minion_http

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


def steps(faults):
    return st.lists(
        st.builds(
            Step,
            st.sampled_from(faults),
            st.binary(max_size=20),
            st.integers(0, 60),
            st.booleans(),
        ),
        min_size=1,
        max_size=6,
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
        return wire.answer(self.body(number), name)

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


def run(plan, named):
    """Sends all requests of a plan and checks each answer."""
    faulty = FaultyMinion(plan, named)
    clock = clocks.ManualClock()
    with (
        wire.scripted(faulty.reply) as (script, minion),
        minion_http.open_client(clock) as client,
    ):
        for number, step in enumerate(plan):
            outcome = client.send(
                minion,
                wire.request_of(f"r-{number}"),
                SOON_S if step.fault == "late" else wire.LONG_S,
                step.fresh,
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


@properties.steady
@given(plan=steps(FAULTS))
def test_no_answer_reaches_another_request_when_answers_are_named(plan):
    """A clerk quotes a tanker the price of a tug.

    Minions answer late, twice, in part, in the wrong order, and the stray
    bytes come just after the connection was found quiet and the next request
    was sent on it. Only the request's own whole answer may be handed back.
    """
    run(plan, named=True)


@properties.steady
@given(plan=steps(tuple(fault for fault in FAULTS if fault not in NEEDS_NAMES)))
def test_no_answer_reaches_another_request_when_answers_are_not_named(plan):
    """A bride gets another bride's appointment.

    The minion does not name the request that it answers. Late and cut answers
    end their connection, and what follows a whole answer at once ends it too,
    so that no byte is left over for the next request.
    """
    run(plan, named=False)


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
        connection.sendall(wire.answer(request.split(b"\r\n")[2]))

    with (
        wire.scripted(reply) as (script, minion),
        minion_http.open_client(clocks.ManualClock()) as client,
    ):
        first = gevent.spawn(
            client.send, minion, wire.request_of("first"), wire.LONG_S, False
        )
        arrived.wait()
        first.kill()
        killed.set()
        outcome = client.send(
            minion, wire.request_of("second"), wire.LONG_S, False
        )
        assert isinstance(outcome, minions.Answered)
        assert outcome.answer.body == b"Request-Id: second"
        assert script.accepted == 2
