"""The stand-ins of callers state the deadline that they were given."""

from standins import callers
from standins import load
from standins import load_plan
from standins import raw_http

QUOTE = load_plan.ClassPlan("quote", "/berthing/q", 1, 100.0, timeout_ms=700)


def test_callers_state_their_deadline_and_not_their_patience():
    def reply(_request, connection):
        connection.sendall(raw_http.answer(b"{}"))

    with raw_http.scripted(reply) as (script, address):
        load.run(load_plan.Plan(1, (QUOTE,), (address,)))
        with callers.run(seed=1) as made:
            made.quote(address, timeout_ms=700)
    assert len(script.requests) == 2
    for sent in script.requests:
        assert b"Request-Timeout-Ms: 700\r\n" in sent
