"""A process's place among its peers, over an in-memory transport."""

import contextlib
import random

import pytest

from tests.common import peer_doubles
from vanillaswitch import errors
from vanillaswitch.coordination.peering import announcer
from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import peer_task
from vanillaswitch.protocol import peers
from vanillaswitch.state import settings as settings_lib

ROUND_TICKS = heartbeat_schedule.FAR_SHORTEST_TICKS
QUERY = peers.ClaimQuery("q", "claim", "digest")
IDLE = announcer.Own(1, 1, leaving=False, loads={})
REPLY = peers.ClaimReply("q", peers.ClaimState.RELEASED)


class Group:
    """Networks on one bus, with one clock."""

    def __init__(self, stack):
        self.bus = peer_doubles.InMemoryNetwork()
        self.clock = peer_doubles.StepClock()
        self.owns = {}
        self._stack = stack

    def start(self, name, *seeds, role=peers.Role.ENTRY):
        """Starts a network at an address derived from its name."""
        address = f"127.0.0.1:{7000 + ord(name)}"
        settings = settings_lib.Settings(
            name, "tacoma", "", address, "", tuple(one.address for one in seeds)
        )
        return self._stack.enter_context(
            peer_task.run(
                settings,
                role,
                f"boot-{name}",
                self.bus.open,
                self.clock,
                random.Random(1),
                lambda: self.owns.get(name, IDLE),
            )
        )

    def pass_ticks(self, count=1):
        """Lets each network tick so often."""
        for _ in range(count):
            peer_doubles.run_until_idle()
            self.clock.advance(1.05 * heartbeat_schedule.TICK_S)
        peer_doubles.run_until_idle()


@pytest.fixture
def group():
    with contextlib.ExitStack() as stack:
        yield Group(stack)


def names(network, role=None):
    return [one.process for one in network.alive(role)]


def test_processes_find_each_other_through_one_seed(group):
    group.owns["b"] = announcer.Own(1, 1, False, {"m": 2})
    group.owns["c"] = announcer.Own(1, 1, False, {"m": 3})
    a = group.start("a")
    b = group.start("b", a)
    c = group.start("c", a, role=peers.Role.CONTROLLER)
    group.pass_ticks()
    assert names(a) + names(b) + names(c) == [*"bc", *"ac", *"ab"]
    assert names(a, peers.Role.CONTROLLER) == ["c"]
    assert a.peer_loads() == {"m": 5}


def test_a_leaving_process_is_out_for_all_after_one_tick(group):
    a = group.start("a")
    others = [group.start(name, a) for name in "bcdefgh"]
    group.pass_ticks(ROUND_TICKS)
    group.owns["a"] = announcer.Own(1, 1, True, {})
    assert all("a" in names(one) for one in others)
    group.pass_ticks()
    assert not any("a" in names(one) for one in others)


def test_a_one_way_cut_is_noticed_on_the_deaf_side_only(group):
    a = group.start("a")
    b = group.start("b", a)
    group.pass_ticks()
    group.bus.cut_links.add((a.address, b.address))
    group.pass_ticks(2 * ROUND_TICKS)
    assert (names(a), names(b)) == (["b"], [])
    group.bus.cut_links.clear()
    group.pass_ticks(ROUND_TICKS)
    assert names(b) == ["a"]


def test_a_question_gets_the_reply_to_its_own_query(group):
    a = group.start("a")
    b = group.start("b", a)

    def answer(_sender, _query, reply):
        reply(peers.ClaimReply("of another", peers.ClaimState.DONE))
        reply(REPLY)

    b.subscribe(peers.ClaimQuery, answer)
    assert a.ask(b.address, QUERY, peer_doubles.TIMEOUT_S) == REPLY
    assert b.ask(a.address, QUERY, 0.0) is None


def test_a_broadcast_reaches_all_but_those_that_left(group):
    a = group.start("a")
    b, c = group.start("b", a), group.start("c", a)
    group.owns["c"] = announcer.Own(1, 1, True, {})
    group.pass_ticks(ROUND_TICKS)
    offer = peers.ConfigOffer(2, "d")
    a.broadcast(offer)
    reached = {target for _, target, sent in group.bus.sent if sent == offer}
    assert reached == {b.address} != {c.address}


def test_a_broken_invariant_in_a_handler_stops_the_process(group):
    def broken(*_):
        raise errors.InvariantError("broken")

    a = group.start("a")
    b = group.start("b", a)
    b.subscribe(peers.ConfigOffer, broken)
    with pytest.raises(errors.InvariantError):
        a.send(b.address, peers.ConfigOffer(2, "d"))
        peer_doubles.run_until_idle()


def test_a_process_sends_a_bounded_number_of_heartbeats(group):
    a = group.start("a")
    for name in "bcdefghijklm":
        group.start(name, a)
    group.pass_ticks(2 * ROUND_TICKS)
    group.bus.sent.clear()
    group.pass_ticks(ROUND_TICKS)
    sent = [one for one in group.bus.sent if one[0] == a.address]
    a_tick = heartbeat_schedule.NEAR_A_TICK + heartbeat_schedule.FAR_A_TICK
    assert len(sent) <= ROUND_TICKS * a_tick
    assert len({target for _, target, _ in sent}) == 12
