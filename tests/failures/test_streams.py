"""Streams that break, fall silent or carry nonsense."""

import contextlib
import functools
import os
import random

import gevent
import gevent.event
import gevent.queue
import gevent.server
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import peer_doubles
from tests.common import properties
from vanillaswitch.protocol import codec
from vanillaswitch.protocol import peers
from vanillaswitch.transport import sockets
from vanillaswitch.transport import stream
from vanillaswitch.transport import streams

GUARD_S = peer_doubles.TIMEOUT_S
LOOPBACK = "127.0.0.1:0"
OFFER = peers.ConfigOffer(3, "d")


class Process:
    """One end of streams, with what it received."""

    def __init__(self, stack, clock, address=LOOPBACK):
        self._received = gevent.queue.Queue()
        opened = streams.run(address, self._take, clock, random.Random(1))
        self.transport = stack.enter_context(opened)
        self.address = self.transport.address
        self.send = self.transport.send

    def _take(self, *message):
        self._received.put(message)

    def next(self):
        """Returns (sender, message, reply) of the next message."""
        return self._received.get(timeout=GUARD_S)

    def count(self, counter, above=-1):
        """Returns a counter, once it is high enough."""
        with gevent.Timeout(GUARD_S):
            while self.transport.counters[counter] <= above:
                gevent.sleep(0)
        return self.transport.counters[counter]


@pytest.fixture
def clock():
    return peer_doubles.StepClock()


@pytest.fixture
def start(clock):
    with contextlib.ExitStack() as stack:
        yield functools.partial(Process, stack, clock)


@pytest.fixture
def far_end():
    """A raw listener: its address, and a queue of accepted sockets."""
    accepted = gevent.queue.Queue()

    def hold(socket, _):
        ended = gevent.event.Event()
        socket.settimeout(GUARD_S)
        accepted.put((socket, ended))
        ended.wait()

    server = gevent.server.StreamServer(sockets.listen(LOOPBACK), hold)
    server.start()
    yield sockets.bound_address(server.socket), accepted
    server.stop(timeout=0)


def read_until_closed(socket):
    with contextlib.suppress(ConnectionResetError):
        while socket.recv(65_536):
            pass


def test_a_silent_stream_is_replaced_by_a_new_one(start, clock, far_end):
    """A peer seems dead for good although new connections to it work.

    Something between the two ends forgets the connection: writes succeed and
    nothing ever comes back. The message that finds the stream silent must
    arrive on a new one.
    """
    address, accepted = far_end
    process = start()
    process.send(address, OFFER)
    first, _ = accepted.get(timeout=GUARD_S)
    assert first.recv(65_536)
    clock.advance(stream.SILENCE_S)
    process.send(address, peers.ConfigOffer(4, "e"))
    read_until_closed(first)
    clock.wake_next_sleeper()
    second, _ = accepted.get(timeout=GUARD_S)
    decoded = codec.Decoder().feed(second.recv(65_536))
    assert decoded.messages == (peers.ConfigOffer(4, "e"),)
    assert process.count("silent") == 1


def test_a_stream_that_is_acknowledged_is_kept(start, clock):
    """Peers reconnect all the time though nothing is wrong.

    Messages come seldom, longer apart than the silence that is allowed. The
    acknowledgement of each shows that the stream works.
    """
    near, far = start(), start()
    heard = 0
    for number in range(5):
        near.send(far.address, peers.ConfigRequest(number))
        assert far.next()[1] == peers.ConfigRequest(number)
        heard = near.count("bytes_in", above=heard)
        clock.advance(10 * stream.SILENCE_S)
    assert near.count("connects") == 1


def test_messages_between_two_acknowledgements_owe_none(start, clock):
    """A good stream is closed because its last message was not acknowledged.

    Acknowledgements come once a second. A message right after one gets none;
    when the next message follows much later, that must not look silent.
    """
    near, far = start(), start()
    near.send(far.address, OFFER)
    reply = far.next()[2]
    reply(OFFER)
    near.next()
    for _ in range(2):
        near.send(far.address, OFFER)
        far.next()
        clock.advance(10 * stream.SILENCE_S)
    assert near.count("connects") == 1


def test_a_peer_that_does_not_read_does_not_hold_the_stream(
    start, clock, far_end, monkeypatch
):
    """Nothing reaches a peer any more, though it restarted its reader.

    The peer's process hangs without reading, all buffers fill and writes
    block. The blocked write is given up and a new stream is opened.
    """
    monkeypatch.setattr(stream, "WRITE_TIMEOUT_S", 0.05)
    address, accepted = far_end
    process = start()
    body = os.urandom(3 * 2**20)
    for number in range(8):
        process.send(address, peers.ConfigBody(number, "d", body))
    accepted.get(timeout=GUARD_S)
    clock.wake_next_sleeper()
    accepted.get(timeout=GUARD_S)
    assert process.count("connects") == 2


def test_a_flapping_link_is_opened_ever_more_seldom(start, clock, far_end):
    """A process spends its time on opening one connection.

    The link accepts and cuts at once, again and again, so that connecting
    alone looks like success.
    """
    address, accepted = far_end
    process = start()
    process.send(address, OFFER)
    for _ in range(12):
        socket, ended = accepted.get(timeout=GUARD_S)
        socket.close()
        ended.set()
        clock.wake_next_sleeper()
    waits = clock.slept[:12]
    assert waits[0] <= 2 * streams.FIRST_BACKOFF_S
    assert min(waits[8:]) >= streams.LONGEST_BACKOFF_S / 2


@properties.steady
@given(st.integers(0, 10**9), st.integers(0, 2**32))
def test_the_wait_before_an_attempt_is_bounded(failures, seed):
    """A peer is away for days; then it is back and nobody tries it."""
    wait = streams.backoff_s(failures, random.Random(seed))
    assert streams.FIRST_BACKOFF_S / 2 <= wait <= streams.LONGEST_BACKOFF_S


def test_a_peer_that_comes_back_is_found_again(start, clock):
    """A restarted peer at the same address gets no messages.

    The stream to its old process is reset; the messages that wait must go
    out on a new stream.
    """
    near = start()
    with contextlib.ExitStack() as stack:
        old = Process(stack, clock)
        near.send(old.address, OFFER)
        old.next()
    clock.wake_next_sleeper()
    clock.wait_for_sleeper()
    new = start(old.address)
    near.send(new.address, peers.ConfigOffer(4, "e"))
    clock.wake_next_sleeper()
    assert new.next()[1] == peers.ConfigOffer(4, "e")


@pytest.mark.parametrize(
    "nonsense",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        bytes(100),
        codec.Encoder().encode(OFFER)[:-4] + b"\xff" * 64,
    ],
)
def test_nonsense_closes_its_own_stream_only(start, nonsense):
    """One stray client takes the whole peer port down.

    A scanner or a broken process sends bytes of another protocol, while good
    streams go on.
    """
    process, other = start(), start()
    socket = sockets.connect(process.address, GUARD_S)
    socket.settimeout(GUARD_S)
    socket.sendall(nonsense)
    read_until_closed(socket)
    assert process.count("malformed") == 1
    other.send(process.address, peers.ConfigRequest(1))
    while process.next()[1] != peers.ConfigRequest(1):
        pass


def test_replies_go_back_on_the_stream_that_asked(start):
    """A claim's holder answers into nothing, as it never heard the asker.

    The asker sends no heartbeat first, so its address is not known; the reply
    has to take the stream of the question.
    """
    near, far = start(), start()
    query = peers.ClaimQuery("q", "c", "d")
    near.send(far.address, query)
    sender, message, reply = far.next()
    assert (sender, message) == (None, query)
    answer = peers.ClaimReply("q", peers.ClaimState.RELEASED)
    reply(answer)
    assert near.next()[:2] == (far.address, answer)
    near.send(far.address, peer_doubles.heartbeat(address=near.address))
    near.send(far.address, OFFER)
    assert far.next()[0] == far.next()[0] == near.address


def test_small_messages_wait_for_nothing(start, monkeypatch):
    """Each peer message takes 40 ms more than the way needs.

    A socket without TCP_NODELAY waits for the delayed acknowledgement of the
    packet before. Both the opened and the accepted socket need it.
    """
    seen = []
    monkeypatch.setattr(sockets, "set_no_delay", seen.append)
    near, far = start(), start()
    near.send(far.address, OFFER)
    far.next()
    assert len({id(socket) for socket in seen}) == 2
