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

MESSAGE_TYPES = typing.get_args(peers.Message)


def survives_round_trip(message):
    """Whether msgpack can encode its numbers and none of them is NaN."""
    try:
        codec.Encoder().encode(message)
    except OverflowError:
        return False
    return "nan" not in repr(message)


MESSAGES = st.one_of(*map(st.from_type, MESSAGE_TYPES)).filter(
    survives_round_trip
)
PACKABLE = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 2**62) | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=9), inner, max_size=4)
    ),
    max_leaves=9,
)
TYPE_NAMES = [kind.__name__ for kind in MESSAGE_TYPES]


def encode_frames(*frames):
    packed = [msgpack.packb(frame) for frame in frames]
    return compress(
        b"".join(struct.pack(">I", len(one)) + one for one in packed)
    )


def compress(packed):
    deflate = zlib.compressobj(wbits=12)
    return deflate.compress(packed) + deflate.flush(zlib.Z_SYNC_FLUSH)


def config_offer_fields(**changes):
    return {"version": 3, "digest": "d", **changes}


@properties.steady
@given(st.lists(MESSAGES, max_size=4), st.data())
def test_messages_decode_from_chunks_of_any_size(messages, data):
    encoder, decoder = codec.Encoder(), codec.Decoder()
    stream = b"".join(encoder.encode(one) for one in messages)
    stream += encoder.encode_acknowledgement()
    cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=6))
    edges = [0, *sorted(cuts), len(stream)]
    received = []
    for start, end in zip(edges, edges[1:], strict=False):
        decoded = decoder.feed(stream[start:end])
        assert decoded.error is None
        received.extend(decoded.messages)
    assert received == messages


@properties.steady
@given(
    st.binary(max_size=200)
    | PACKABLE.map(encode_frames)
    | st.tuples(st.sampled_from(TYPE_NAMES), PACKABLE).map(encode_frames)
)
def test_decoding_any_bytes_raises_no_exception(data):
    assert isinstance(codec.Decoder().feed(data), codec.Decoded)


@pytest.mark.parametrize(
    "frame",
    [
        ["ConfigOffer", {"version": 3}],
        ["ConfigOffer", config_offer_fields(version="3")],
        ["ConfigOffer", config_offer_fields(version=True)],
        ["ConfigOffer", [3, "d"]],
        ["ConfigOffer"],
        "ConfigOffer",
    ],
)
def test_an_invalid_frame_is_a_fault_and_ends_the_stream(frame):
    good = ["ConfigOffer", config_offer_fields()]
    decoder = codec.Decoder()
    decoded = decoder.feed(encode_frames(good, frame, good))
    assert decoded.messages == (peers.ConfigOffer(3, "d"),)
    assert isinstance(decoded.error, codec.MalformedStream)
    assert decoder.feed(encode_frames(good)).messages == ()


@pytest.mark.parametrize(
    "frame",
    [
        ["TypeOfTheNextVersion", {"any": 1}],
        ["ClaimReply", {"query": "q", "state": "state-of-the-next-version"}],
    ],
)
def test_unknown_types_and_values_of_a_newer_version_are_skipped(frame):
    good = [
        "ConfigOffer",
        config_offer_fields(field_of_the_next_version=1),
        "more",
    ]
    decoded = codec.Decoder().feed(encode_frames(frame, good))
    assert decoded.skipped_frames == 1
    assert decoded.messages == (peers.ConfigOffer(3, "d"),)
    assert decoded.error is None


def test_a_field_that_an_older_version_does_not_send_gets_its_default():
    current = peer_doubles.heartbeat()
    fields = dict(vars(current), peers=("p",))
    del fields["interval_s"]
    decoded = codec.Decoder().feed(encode_frames(["Heartbeat", fields]))
    assert decoded.messages[0].peers == ("p",)


def test_a_message_of_maximum_size_is_encoded_and_a_larger_one_is_not():
    encoder, decoder = codec.Encoder(), codec.Decoder()
    body_bytes = codec.MAX_MESSAGE_BYTES - 64
    large = peers.ConfigBody(1, "d", b"x" * body_bytes)
    decoded = decoder.feed(encoder.encode(large))
    assert decoded.messages == (large,)
    larger = peers.ConfigBody(1, "d", b"x" * codec.MAX_MESSAGE_BYTES)
    assert isinstance(encoder.encode(larger), codec.TooLarge)
    assert decoder.feed(encoder.encode(large)).messages == (large,)


def test_bytes_that_inflate_beyond_the_size_limit_are_a_fault():
    length = codec.MAX_MESSAGE_BYTES + 1
    bomb = compress(struct.pack(">I", length) + bytes(16 * length))
    decoder = codec.Decoder()
    tracemalloc.start()
    fault = decoder.feed(bomb).error
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert "bytes exceeds MAX_MESSAGE_BYTES" in fault.reason
    assert peak < codec.MAX_MESSAGE_BYTES


def test_an_almost_unchanged_heartbeat_takes_few_bytes():
    encoder = codec.Encoder()
    loads = {f"berthing-{number}": 2 for number in range(30)}
    first = encoder.encode(peer_doubles.heartbeat(sequence=1, loads=loads))
    second = encoder.encode(peer_doubles.heartbeat(sequence=2, loads=loads))
    assert len(second) < 40 < len(first)
