"""The terminal clerk's story."""

import json

import pytest
import pytest_bdd as bdd

from tests.common import sessions

QUOTE = sessions.Ask("POST", "/pilotage/quotes", '{"vessel": "Aurora"}')
CHARGE = sessions.Ask(
    "POST", "/pilotage/charges", '{"cents": 125000}', key="call-17"
)

bdd.scenarios("mare_dues.feature")


@pytest.fixture
def replies():
    """What the clerk got, the latest last."""
    return []


@pytest.fixture
def session():
    with sessions.opened("mare-dues", "clerk", ("pilotage",)) as opened:
        yield opened


@bdd.given("the pilotage service of Tarifa Maré behind two entries")
def _(session):
    assert len(session.entries) == 2


@bdd.when("the clerk settles a pilotage charge at the first entry")
def _(session):
    session.send(CHARGE, "entry-1")
    session.wait(lambda: session.runs)
    session.settle()


@bdd.when("the entry's answer is lost on its way")
def _(session):
    session.hang_up("entry-1")


@bdd.when("she asks again at the second entry")
def _(session, replies):
    replies.append(session.ask(CHARGE, "entry-2"))


@bdd.then("she gets the whole answer to her charge")
def _(replies):
    assert (replies[-1].status, replies[-1].outcome) == (200, "ran")
    assert json.loads(replies[-1].body)["key"] == CHARGE.key


@bdd.then("the charge ran once")
def _(session):
    assert session.runs == {CHARGE.key: 1}


@bdd.when("the platform's table goes down")
def _(session):
    session.standin.table.faults.down = True


@bdd.then("the clerk's quotes are answered")
def _(session):
    assert {session.ask(QUOTE).status for _ in range(5)} == {200}


@bdd.then(
    "a charge is refused as unknown by entries that just started, with the"
    " time to come back"
)
def _(session):
    reply = session.ask(CHARGE)
    assert (reply.status, reply.outcome) == (503, "unknown")
    assert int(reply.fields["retry-after"]) >= 1
    assert not session.runs


@bdd.when("the table is back")
def _(session):
    session.standin.table.faults.down = False


@bdd.then("the same charge is answered")
def _(session):
    assert session.ask(CHARGE).status == 200
