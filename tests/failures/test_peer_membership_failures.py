"""Membership when peers restart, pause or are partitioned."""

from tests.common import peer_doubles
from tests.cover import test_peer_membership
from vanillaswitch.coordination.peering import peer_membership

START = test_peer_membership.START
make_state = test_peer_membership.make_state
with_heartbeats = test_peer_membership.with_heartbeats
heartbeat = peer_doubles.heartbeat
Standing = peer_membership.Liveness


def after_ticks(state, start, seconds):
    """Returns the state after ticks twice a second, as without a pause."""
    for half in range(1, int(seconds * 2) + 1):
        state = peer_membership.with_liveness_checked(state, start + half / 2)
    return state


def standing(state, process="a"):
    return state.members[process].liveness


def test_a_restarted_peer_replaces_its_old_boot_at_once_and_for_good():
    """Guards against a restarted peer that reverts to its old boot's state.

    The sequence restarts at one. The old boot's last message was delayed in
    another stream and arrives after the first message of the new boot.
    """
    state = with_heartbeats(make_state(), heartbeat(sequence=7, boot="old"))
    state = with_heartbeats(state, heartbeat(sequence=1, boot="new"))
    assert state.members["a"].last_heartbeat.boot == "new"
    state = with_heartbeats(
        state, heartbeat(sequence=8, boot="old", leaving=True)
    )
    assert state.members["a"].last_heartbeat.boot == "new"
    assert standing(state) is Standing.ALIVE


def test_the_current_boot_is_accepted_again_after_an_old_late_message():
    """Guards against a live peer that is never accepted again.

    This process starts after the peer's restart and receives its new boot,
    then one late message of the old boot, which looks like a restart. No more
    messages of the old boot follow, so the current one is accepted again.
    """
    state = with_heartbeats(make_state(), heartbeat(sequence=3, boot="living"))
    state = with_heartbeats(state, heartbeat(sequence=900, boot="dead"))
    now = START
    for sequence in range(4, 12):
        state = after_ticks(state, now, 0.5)
        now += 0.5
        beat = heartbeat(sequence=sequence, boot="living")
        state = with_heartbeats(state, beat, now=now)
    assert state.members["a"].last_heartbeat == beat
    assert standing(state) is Standing.ALIVE


def test_a_pause_of_this_process_makes_no_peer_gone():
    """Guards against a resumed process that thinks it is the only one alive.

    It was stopped for a minute and received nothing in that time. After that
    its peers get the rest of the time that they had left before the pause.
    """
    state = with_heartbeats(make_state(), heartbeat(loads={"m1": 4}))
    state = after_ticks(state, START, 0.5)
    assert peer_membership.peer_in_flight(state, START + 0.5) == {"m1": 4}
    resumed_at = START + 60.0
    state = peer_membership.with_liveness_checked(state, resumed_at)
    assert standing(state) is Standing.ALIVE
    assert peer_membership.peer_in_flight(state, resumed_at) == {}
    state = with_heartbeats(state, heartbeat(sequence=2), now=resumed_at + 0.2)
    assert standing(after_ticks(state, resumed_at, 1.0)) is Standing.ALIVE


def test_a_peer_that_died_during_the_pause_becomes_gone_after_it():
    """Guards against a dead peer that keeps its share of the work.

    It died while this process was paused. Only its silence during the pause is
    left out; its silence afterwards counts.
    """
    state = after_ticks(with_heartbeats(make_state(), heartbeat()), START, 0.5)
    resumed_at = START + 60.0
    state = after_ticks(
        peer_membership.with_liveness_checked(state, resumed_at),
        resumed_at,
        4.0,
    )
    assert standing(state) is Standing.GONE


def test_a_leaving_peer_is_not_alive_but_its_requests_still_count():
    """Guards against an overloaded minion while an entry shuts down.

    The entry gets no new work, but its requests in flight still run and count
    while it reports them. A late message does not make it alive again.
    """
    state = with_heartbeats(
        make_state(), heartbeat(sequence=1, loads={"m1": 4})
    )
    last = heartbeat(sequence=2, loads={"m1": 3}, leaving=True)
    state = with_heartbeats(state, last, heartbeat(sequence=3))
    assert peer_membership.live_heartbeats(state) == ()
    assert peer_membership.peer_in_flight(state, START) == {"m1": 3}


def test_a_dead_address_is_not_gossiped_for_ever():
    """Guards against addresses of removed instances that stay known for ever.

    Each process would forget them and learn them again from another. Only
    addresses of live members are passed on, so all processes forget the rest.
    """
    gossiping = heartbeat(peers=("10.9.9.9:7000",))
    state = with_heartbeats(make_state(), gossiping)
    assert "10.9.9.9:7000" in peer_membership.known_addresses(state)
    assert peer_membership.gossip_addresses(state) == ("127.0.0.1:7001",)
    state = after_ticks(state, START, 70.0)
    assert peer_membership.known_addresses(state) == ()
