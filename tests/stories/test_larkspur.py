"""The fitting desk's story."""

import dataclasses
import json

import pytest
import pytest_bdd as bdd

from tests.common import clocks
from tests.common import sessions
from tests.common import wave_harness
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

EXAMPLE = "larkspur"
DESK = "fitting-desk"
SERVICES = (DESK, "fabric-store")
ORDER = sessions.Ask(
    "POST", "/fabric-store/orders", '{"veils": 1}', key="veil-9"
)
OVERLAP_MS = 200.0
ENTRIES = ("entry-1", "entry-2")

bdd.scenarios("larkspur.feature")


@pytest.fixture
def session():
    """Three minions of each service, each in its own data centre."""
    with sessions.opened(EXAMPLE, "desk", SERVICES, "135") as opened:
        yield opened


@pytest.fixture
def wave(session):
    """A wave that may have one minion down."""
    config = sessions.config_of(EXAMPLE, SERVICES)
    budget = config_lib.AvailabilityBudget(1, 1)
    desk = dataclasses.replace(
        config.services[DESK], minions=3, availability_budget=budget
    )
    services = {**config.services, DESK: desk}
    config = dataclasses.replace(config, services=services)
    session.apply(config, 1)
    clock = clocks.ManualClock()
    return wave_harness.WaveHarness(session.standin, clock, config, DESK)


@pytest.fixture
def phases(session):
    """The phases that instances entered, in order."""
    entered = []
    session.standin.instances.add_listener(
        lambda name, phase: entered.append((name, phase))
    )
    return entered


@pytest.fixture
def replies():
    """Replies by what they are for."""
    return {}


@bdd.given(
    "the fitting desk and the fabric store of Larkspur behind two entries"
)
def _(session):
    assert len(session.entries) == 2


@bdd.when("a wave maintains the minions of the fitting desk")
def _(wave, phases):
    assert not phases
    wave.write_instance_rows()
    wave.wait_for_duty()
    wave.start()


@bdd.when("the desk goes on booking until the wave is over")
def _(session, wave, replies):
    for step in range(100):
        if wave.state != "running":
            break
        wave.step()
        target = f"/{DESK}/bookings/{step}"
        replies[target] = session.ask(sessions.Ask("PUT", target, "{}"))
    assert wave.state == "finished"


@bdd.then("each booking got its own whole answer")
def _(replies):
    assert {reply.status for reply in replies.values()} == {200}
    for target, reply in replies.items():
        assert json.loads(reply.body)["target"] == target


@bdd.then("each minion was rebooted once, one at a time")
def _(session, phases):
    rebooted = [
        n for n, p in phases if p is platform.MaintenancePhase.REBOOTING
    ]
    assert sorted(rebooted) == [n for n in session.minions if DESK in n]
    begun = [n for n, p in phases if p is platform.MaintenancePhase.DRAINING]
    served = [n for n, p in phases if p is platform.MaintenancePhase.SERVING]
    kinds = [p for _, p in phases if p in ("draining", "serving")]
    assert begun == served
    assert kinds == ["draining", "serving"] * len(begun)


@bdd.when("the same veil order is sent to both entries at once")
def _(session, replies):
    # Long enough that the second order comes while the first one runs; the
    # verdict is the same when it comes after.
    for minion in session.minions.values():
        minion.switch(slow_ms=OVERLAP_MS)
    connections = {e: session.send(ORDER, e) for e in ENTRIES}
    for entry, connection in connections.items():
        replies[entry] = session.read(connection, entry)


@bdd.when("it is sent again where no whole answer came")
def _(session, replies):
    for entry in ENTRIES:
        if replies[entry].status != 200:
            replies[entry] = session.ask(ORDER, entry)


@bdd.then("both got the same whole answer")
def _(replies):
    assert {reply.status for reply in replies.values()} == {200}
    assert len({reply.body for reply in replies.values()}) == 1


@bdd.then("the order ran once")
def _(session):
    assert session.runs == {ORDER.key: 1}
