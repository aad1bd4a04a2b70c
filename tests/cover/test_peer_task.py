"""Peer networks that exchange messages over an in-memory transport."""

import contextlib
import random

import pytest

from tests.common import peer_doubles
from vanillaswitch import errors
from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.peering import peer_network
from vanillaswitch.protocol import peers
from vanillaswitch.state import settings as settings_lib

ROUND_TICKS = heartbeat_schedule.OTHER_ROLES_MIN_PERIOD_TICKS
QUERY = peers.ClaimQuery("q", "claim", "digest")
IDLE = heartbeat_sender.LocalStatus(1, 1, is_leaving=False, loads={})
REPLY = peers.ClaimReply("q", peers.ClaimState.RELEASED)


class PeerGroup:
    """Peer networks that share an in-memory transport and a clock."""

    def __init__(self, stack):
        self.bus = peer_doubles.InMemoryNetwork()
        self.clock = peer_doubles.StepClock()
        self.statuses = {}
        self._stack = stack

    def start(self, name, *seeds, role=peers.Role.ENTRY):
        """Starts a network at an address derived from its name."""
        address = f"127.0.0.1:{7000 + ord(name)}"
        settings = settings_lib.Settings(
            name, "tacoma", "", address, "", tuple(one.address for one in seeds)
        )
        return self._stack.enter_context(
            peer_network.run(
                settings,
                role,
                f"boot-{name}",
                self.bus.open,
                self.clock,
                random.Random(1),
                lambda: self.statuses.get(name, IDLE),
            )
        )

    def pass_ticks(self, count=1):
        """Advances time so that each network ticks ``count`` times."""
        for _ in range(count):
            peer_doubles.run_until_idle()
            self.clock.advance(1.05 * heartbeat_schedule.TICK_S)
        peer_doubles.run_until_idle()


@pytest.fixture
def networks():
    with contextlib.ExitStack() as stack:
        yield PeerGroup(stack)


def names(network, role=None):
    return [one.process for one in network.live_heartbeats(role)]


def test_processes_find_each_other_through_one_seed(networks):
    networks.statuses["b"] = heartbeat_sender.LocalStatus(1, 1, False, {"m": 2})
    networks.statuses["c"] = heartbeat_sender.LocalStatus(1, 1, False, {"m": 3})
    a = networks.start("a")
    b = networks.start("b", a)
    c = networks.start("c", a, role=peers.Role.CONTROLLER)
    networks.pass_ticks()
    assert names(a) + names(b) + names(c) == [*"bc", *"ac", *"ab"]
    assert names(a, peers.Role.CONTROLLER) == ["c"]
    assert a.peer_in_flight() == {"m": 5}


def test_a_leaving_process_is_not_alive_for_any_peer_after_one_tick(networks):
    a = networks.start("a")
    others = [networks.start(name, a) for name in "bcdefgh"]
    networks.pass_ticks(ROUND_TICKS)
    networks.statuses["a"] = heartbeat_sender.LocalStatus(1, 1, True, {})
    assert all("a" in names(one) for one in others)
    networks.pass_ticks()
    assert not any("a" in names(one) for one in others)


def test_a_one_way_cut_is_noticed_by_the_receiver_only(networks):
    a = networks.start("a")
    b = networks.start("b", a)
    networks.pass_ticks()
    networks.bus.cut_links.add((a.address, b.address))
    networks.pass_ticks(2 * ROUND_TICKS)
    assert (names(a), names(b)) == (["b"], [])
    networks.bus.cut_links.clear()
    networks.pass_ticks(ROUND_TICKS)
    assert names(b) == ["a"]


def test_a_query_gets_the_reply_with_its_own_id(networks):
    a = networks.start("a")
    b = networks.start("b", a)

    def answer(_sender, _query, reply):
        reply(peers.ClaimReply("of another", peers.ClaimState.DONE))
        reply(REPLY)

    b.subscribe(peers.ClaimQuery, answer)
    assert a.query_claim(b.address, QUERY, peer_doubles.TIMEOUT_S) == REPLY
    assert b.query_claim(a.address, QUERY, 0.0) is None


def test_a_broadcast_reaches_all_peers_except_those_that_left(networks):
    a = networks.start("a")
    b, c = networks.start("b", a), networks.start("c", a)
    networks.statuses["c"] = heartbeat_sender.LocalStatus(1, 1, True, {})
    networks.pass_ticks(ROUND_TICKS)
    offer = peers.ConfigOffer(2, "d")
    a.broadcast(offer)
    reached = {target for _, target, sent in networks.bus.sent if sent == offer}
    assert reached == {b.address} != {c.address}


def test_an_invariant_error_in_a_handler_is_raised_in_the_opener(networks):
    def broken(*_):
        raise errors.InvariantError("broken")

    a = networks.start("a")
    b = networks.start("b", a)
    b.subscribe(peers.ConfigOffer, broken)
    with pytest.raises(errors.InvariantError):
        a.send(b.address, peers.ConfigOffer(2, "d"))
        peer_doubles.run_until_idle()


def test_heartbeats_are_bounded_and_reach_every_peer_in_a_round(networks):
    a = networks.start("a")
    for name in "bcdefghijklm":
        networks.start(name, a)
    networks.pass_ticks(2 * ROUND_TICKS)
    networks.bus.sent.clear()
    networks.pass_ticks(ROUND_TICKS)
    sent = [one for one in networks.bus.sent if one[0] == a.address]
    max_per_tick = (
        heartbeat_schedule.SAME_ROLE_PER_TICK
        + heartbeat_schedule.OTHER_ROLES_PER_TICK
    )
    assert len(sent) <= ROUND_TICKS * max_per_tick
    assert len({target for _, target, _ in sent}) == 12
