"""Encoding of peer messages: msgpack frames in one deflate stream.

A frame is a four-byte length followed by ``[type name, {field: value}]``, or
by nil for an acknowledgement.
Successive heartbeats are almost equal. Each direction of a stream is one
deflate stream, so repeated field names, addresses and values take almost no
space, and the protocol needs no delta encoding.

Rolling upgrades: the decoder skips a type, field or enum value that this
version does not know, and every new field needs a default.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import struct
import typing
from typing import Any
import zlib

import cattrs
import msgpack

from vanillaswitch.protocol import peers

MAX_MESSAGE_BYTES = 4 * 2**20
MAX_ELEMENTS = 65_536

_CHUNK_BYTES = 65_536
_WINDOW_BITS = 12
_MEMORY_LEVEL = 3
_SMALL_WINDOW_BITS = 9
_SMALL_MEMORY_LEVEL = 1
_TYPE_BY_NAME = {kind.__name__: kind for kind in typing.get_args(peers.Message)}
_LENGTH = struct.Struct(">I")
_ACKNOWLEDGEMENT = msgpack.packb(None)


@dataclasses.dataclass(frozen=True)
class TooLarge:
    """The message exceeds the size that peers accept and was not encoded."""

    size: int


@dataclasses.dataclass(frozen=True)
class MalformedStream:
    """The stream violates the protocol; nothing after it can be decoded."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Decoded:
    """The result of decoding some bytes.

    Attributes:
        messages: complete messages, in order.
        skipped_frames: number of well-formed frames that were skipped because
            this version does not know them.
        error: set if the stream must be closed; ``messages`` are still valid.
    """

    messages: tuple[peers.Message, ...] = ()
    skipped_frames: int = 0
    error: MalformedStream | None = None


class _UnknownValueError(Exception):
    """A newer version sent an enum value that this version does not know."""


def _check_exact_type(kind: type) -> Callable[[Any, Any], Any]:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"got {type(value).__name__}, expected {kind}")
        return value

    return check


def _check_enum_value(kind: type[enum.StrEnum]) -> Callable[[Any, Any], Any]:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not str:
            raise TypeError(f"got {type(value).__name__}, expected {kind}")
        try:
            return kind(value)
        except ValueError:
            raise _UnknownValueError from None

    return check


def _check_float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"got {type(value).__name__}, expected a number")
    return float(value)


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    for kind in (str, int, bool, bytes):
        converter.register_structure_hook(kind, _check_exact_type(kind))
    converter.register_structure_hook(float, _check_float)
    for choice in (peers.Role, peers.ClaimState, peers.ErrandKind):
        converter.register_structure_hook(choice, _check_enum_value(choice))
    return converter


class Encoder:
    """Encodes one direction of one stream.

    The bytes of every call must be sent: later bytes refer back to them.
    """

    def __init__(self, small: bool = False):
        """Initializes an encoder for a new stream.

        Args:
            small: use 3 KB of memory instead of 20 KB, for a direction that
                mostly carries acknowledgements.
        """
        self._deflate = zlib.compressobj(
            wbits=_SMALL_WINDOW_BITS if small else _WINDOW_BITS,
            memLevel=_SMALL_MEMORY_LEVEL if small else _MEMORY_LEVEL,
        )

    def encode(self, message: peers.Message) -> bytes | TooLarge:
        """Returns the next bytes to send on the stream."""
        fields = _converter().unstructure(message)
        packed = msgpack.packb([type(message).__name__, fields])
        if len(packed) > MAX_MESSAGE_BYTES:
            return TooLarge(len(packed))
        return self._compress_frame(packed)

    def encode_acknowledgement(self) -> bytes:
        """Returns a frame that only shows the peer that the stream works."""
        return self._compress_frame(_ACKNOWLEDGEMENT)

    def _compress_frame(self, packed: bytes) -> bytes:
        frame = _LENGTH.pack(len(packed)) + packed
        flush = self._deflate.flush
        return self._deflate.compress(frame) + flush(zlib.Z_SYNC_FLUSH)


class Decoder:
    """Decodes one direction of one stream from chunks of any size."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(wbits=_WINDOW_BITS)
        # A msgpack.Unpacker would use 40 KB per stream. With length-prefixed
        # frames, only an incomplete frame needs a buffer.
        self._buffer = bytearray()
        self._error: MalformedStream | None = None

    def feed(self, data: bytes) -> Decoded:
        """Decodes the next bytes; ignores them after an earlier error."""
        messages: list[peers.Message] = []
        skipped_frames = 0
        try:
            for frame in self._frames(data):
                message = _decode_message(frame)
                if message is not None:
                    messages.append(message)
                elif frame is not None:
                    skipped_frames += 1
        except (zlib.error, ValueError, msgpack.UnpackException) as error:
            self._error = MalformedStream(repr(error))
        return Decoded(tuple(messages), skipped_frames, self._error)

    def _frames(self, data: bytes) -> typing.Iterator[Any]:
        """Yields complete frames.

        A few bytes can inflate to gigabytes. Inflating in chunks and checking
        a frame's length before buffering it limits the memory that a faulty
        peer can make this process use to one message.
        """
        if self._error is not None:
            return
        inflated = self._inflate.decompress(data, _CHUNK_BYTES)
        while inflated:
            self._buffer += inflated
            yield from self._complete_frames()
            remaining = self._inflate.unconsumed_tail
            inflated = self._inflate.decompress(remaining, _CHUNK_BYTES)
        if self._inflate.eof:
            raise ValueError("unexpected end of the deflate stream")

    def _complete_frames(self) -> typing.Iterator[Any]:
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_MESSAGE_BYTES:
                raise ValueError(
                    f"message of {length} bytes exceeds MAX_MESSAGE_BYTES"
                )
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            packed = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield msgpack.unpackb(
                packed, max_array_len=MAX_ELEMENTS, max_map_len=MAX_ELEMENTS
            )


def _decode_message(frame: Any) -> peers.Message | None:
    """Returns the message in a frame, None for a frame to skip.

    Raises:
        ValueError: the frame violates the protocol.
    """
    if frame is None:
        return None
    if not isinstance(frame, list) or len(frame) < 2:
        raise ValueError("frame is neither nil nor a list of two items or more")
    type_name, fields = frame[:2]
    if not isinstance(type_name, str) or not isinstance(fields, dict):
        raise ValueError("frame does not start with a type name and a map")
    kind = _TYPE_BY_NAME.get(type_name)
    if kind is None:
        return None
    try:
        message: peers.Message = _converter().structure(fields, kind)
    except _UnknownValueError:
        return None
    except (
        cattrs.BaseValidationError,
        AttributeError,
        KeyError,
        TypeError,
    ) as error:
        raise ValueError(f"invalid fields of {type_name}: {error!r}") from error
    return message
