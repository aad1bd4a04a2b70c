"""Encoding of peer messages."""

import struct
import tracemalloc
import typing
import zlib

from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from tests.common import peer_doubles
from tests.common import properties
from vanillaswitch.protocol import codec
from vanillaswitch.protocol import peers

KINDS = typing.get_args(peers.Message)


def fits(message):
    """Whether msgpack has room for its numbers and they equal themselves."""
    try:
        codec.Encoder().encode(message)
    except OverflowError:
        return False
    return "nan" not in repr(message)


MESSAGES = st.one_of(*map(st.from_type, KINDS)).filter(fits)
PACKABLE = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**62) | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=9,
)
NAMES = [kind.__name__ for kind in KINDS]


def deflated(*frames):
    packed = [msgpack.packb(frame) for frame in frames]
    return compressed(
        b"".join(struct.pack(">I", len(one)) + one for one in packed)
    )


def compressed(packed):
    deflate = zlib.compressobj(wbits=12)
    return deflate.compress(packed) + deflate.flush(zlib.Z_SYNC_FLUSH)


def fields_of(**changes):
    return {"version": 3, "digest": "d", **changes}


@properties.steady
@given(st.lists(MESSAGES, max_size=4), st.data())
def test_messages_survive_any_splitting_of_their_bytes(messages, data):
    encoder, decoder = codec.Encoder(), codec.Decoder()
    stream = b"".join(encoder.encode(one) for one in messages)
    stream += encoder.acknowledge()
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6))
    edges = [0, *sorted(cuts), len(stream)]
    found = []
    for start, end in zip(edges, edges[1:], strict=False):
        decoded = decoder.feed(stream[start:end])
        assert decoded.fault is None
        found.extend(decoded.messages)
    assert found == messages


@properties.steady
@given(
    st.binary(max_size=200)
    | PACKABLE.map(deflated)
    | st.tuples(st.sampled_from(NAMES), PACKABLE).map(deflated)
)
def test_any_bytes_decode_to_a_value(data):
    assert isinstance(codec.Decoder().feed(data), codec.Decoded)


@pytest.mark.parametrize(
    "frame",
    [
        ["ConfigOffer", {"version": 3}],
        ["ConfigOffer", fields_of(version="3")],
        ["ConfigOffer", fields_of(version=True)],
        ["ConfigOffer", [3, "d"]],
        ["ConfigOffer"],
        "ConfigOffer",
    ],
)
def test_a_wrong_frame_is_a_fault_and_ends_the_stream(frame):
    good = ["ConfigOffer", fields_of()]
    decoder = codec.Decoder()
    decoded = decoder.feed(deflated(good, frame, good))
    assert decoded.messages == (peers.ConfigOffer(3, "d"),)
    assert isinstance(decoded.fault, codec.Malformed)
    assert decoder.feed(deflated(good)).messages == ()


@pytest.mark.parametrize(
    "frame",
    [
        ["TypeOfTheNextVersion", {"any": 1}],
        ["ClaimReply", {"query": "q", "state": "state-of-the-next-version"}],
    ],
)
def test_what_a_newer_version_says_is_passed_over(frame):
    good = ["ConfigOffer", fields_of(field_of_the_next_version=1), "more"]
    decoded = codec.Decoder().feed(deflated(frame, good))
    assert decoded.passed_over == 1
    assert decoded.messages == (peers.ConfigOffer(3, "d"),)
    assert decoded.fault is None


def test_a_field_of_this_version_may_miss_from_an_older_one():
    whole = peer_doubles.heartbeat()
    fields = dict(vars(whole), peers=("p",))
    del fields["interval_s"]
    decoded = codec.Decoder().feed(deflated(["Heartbeat", fields]))
    assert decoded.messages[0].peers == ("p",)


def test_the_largest_message_passes_and_a_larger_one_is_not_encoded():
    encoder, decoder = codec.Encoder(), codec.Decoder()
    room = codec.MAX_MESSAGE_BYTES - 64
    large = peers.ConfigBody(1, "d", b"x" * room)
    decoded = decoder.feed(encoder.encode(large))
    assert decoded.messages == (large,)
    larger = peers.ConfigBody(1, "d", b"x" * codec.MAX_MESSAGE_BYTES)
    assert isinstance(encoder.encode(larger), codec.TooLarge)
    assert decoder.feed(encoder.encode(large)).messages == (large,)


def test_a_small_body_that_inflates_without_bound_is_a_fault():
    length = codec.MAX_MESSAGE_BYTES + 1
    bomb = compressed(struct.pack(">I", length) + bytes(16 * length))
    decoder = codec.Decoder()
    tracemalloc.start()
    fault = decoder.feed(bomb).fault
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert "a message of" in fault.reason
    assert peak < codec.MAX_MESSAGE_BYTES


def test_a_heartbeat_that_says_nothing_new_takes_few_bytes():
    encoder = codec.Encoder()
    loads = {f"berthing-{number}": 2 for number in range(30)}
    first = encoder.encode(peer_doubles.heartbeat(sequence=1, loads=loads))
    second = encoder.encode(peer_doubles.heartbeat(sequence=2, loads=loads))
    assert len(second) < 40 < len(first)
