"""The bounded queue in front of a stream."""

from hypothesis import given
from hypothesis import strategies as st

from tests.common import peer_doubles
from tests.common import properties
from vanillaswitch.protocol import peers
from vanillaswitch.transport import outbox


def drained(box):
    found = []
    while box.waiting:
        found.append(box.pop())
    return found


@properties.steady
@given(st.lists(st.booleans(), max_size=30))
def test_it_stays_bounded_and_keeps_the_order(kinds):
    box = outbox.Outbox(limit=4)
    kept = []
    for number, is_heartbeat in enumerate(kinds):
        if is_heartbeat:
            box.put(peer_doubles.heartbeat(sequence=number))
        elif box.put(peers.ConfigRequest(number)):
            kept.append(peers.ConfigRequest(number))
    assert len(kept) == min(4, kinds.count(False))
    found = [one for one in drained(box) if one in kept]
    assert found == kept


def test_an_acknowledgement_and_only_the_newest_heartbeat_wait():
    box = outbox.Outbox()
    box.put(peer_doubles.heartbeat(sequence=1))
    box.put(peers.ConfigRequest(1))
    newer = peer_doubles.heartbeat(sequence=2)
    box.put(newer)
    box.request_acknowledgement()
    box.request_acknowledgement()
    assert drained(box) == [None, peers.ConfigRequest(1), newer]
