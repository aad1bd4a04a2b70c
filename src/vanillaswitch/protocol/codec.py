"""Encoding of peer messages: msgpack frames in one deflate stream.

A frame is its length in four bytes, then ``[type name, {field: value}]``, or
nil for an acknowledgement.
Heartbeats repeat themselves; deflating each direction of a stream as a whole
makes field names, addresses and unchanged values cost next to nothing, so no
encoding of differences is needed.

Rolling upgrades: a type, field or enumeration value that this version does
not know is passed over, and a new field needs a default.
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
_TYPES = {kind.__name__: kind for kind in typing.get_args(peers.Message)}
_LENGTH = struct.Struct(">I")
_ACKNOWLEDGEMENT = msgpack.packb(None)


@dataclasses.dataclass(frozen=True)
class TooLarge:
    """The message was not encoded: no peer would accept it."""

    size: int


@dataclasses.dataclass(frozen=True)
class Malformed:
    """The bytes are not of this protocol; nothing after them can be read."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Decoded:
    """What some bytes held.

    Attributes:
        messages: whole messages, in order.
        passed_over: well-formed frames that this version does not know.
        fault: set when the stream has to be closed; the messages before it
            are good.
    """

    messages: tuple[peers.Message, ...] = ()
    passed_over: int = 0
    fault: Malformed | None = None


class _UnknownValueError(Exception):
    """A newer version sent an enumeration value that is not known here."""


def _exactly(kind: type) -> Callable[[Any, Any], Any]:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"{type(value).__name__} in place of {kind}")
        return value

    return check


def _known(kind: type[enum.StrEnum]) -> Callable[[Any, Any], Any]:
    def check(value: Any, _: Any) -> Any:
        if type(value) is not str:
            raise TypeError(f"{type(value).__name__} in place of {kind}")
        try:
            return kind(value)
        except ValueError:
            raise _UnknownValueError from None

    return check


def _float(value: Any, _: Any) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"{type(value).__name__} in place of a float")
    return float(value)


@functools.cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    for kind in (str, int, bool, bytes):
        converter.register_structure_hook(kind, _exactly(kind))
    converter.register_structure_hook(float, _float)
    for choice in (peers.Role, peers.ClaimState, peers.ErrandKind):
        converter.register_structure_hook(choice, _known(choice))
    return converter


class Encoder:
    """Encodes one direction of one stream; every encoding has to be sent."""

    def __init__(self, small: bool = False):
        """Makes an encoder for a new stream.

        Args:
            small: keep 3 KB instead of 20 KB, for a direction that mostly
                carries acknowledgements.
        """
        self._deflate = zlib.compressobj(
            wbits=_SMALL_WINDOW_BITS if small else _WINDOW_BITS,
            memLevel=_SMALL_MEMORY_LEVEL if small else _MEMORY_LEVEL,
        )

    def encode(self, message: peers.Message) -> bytes | TooLarge:
        """Returns the bytes that go next on the stream."""
        fields = _converter().unstructure(message)
        packed = msgpack.packb([type(message).__name__, fields])
        if len(packed) > MAX_MESSAGE_BYTES:
            return TooLarge(len(packed))
        return self._deflated(packed)

    def acknowledge(self) -> bytes:
        """Returns a frame that only shows that the stream works."""
        return self._deflated(_ACKNOWLEDGEMENT)

    def _deflated(self, packed: bytes) -> bytes:
        frame = _LENGTH.pack(len(packed)) + packed
        flushed = self._deflate.flush
        return self._deflate.compress(frame) + flushed(zlib.Z_SYNC_FLUSH)


class Decoder:
    """Decodes one direction of one stream, however it was split."""

    def __init__(self) -> None:
        self._inflate = zlib.decompressobj(wbits=_WINDOW_BITS)
        # A msgpack.Unpacker would keep 40 KB for each stream; frames with a
        # length need only what has not arrived whole.
        self._buffer = bytearray()
        self._fault: Malformed | None = None

    def feed(self, data: bytes) -> Decoded:
        """Decodes the next bytes; after a fault, nothing more."""
        messages: list[peers.Message] = []
        passed_over = 0
        try:
            for frame in self._frames(data):
                message = _structured(frame)
                if message is not None:
                    messages.append(message)
                elif frame is not None:
                    passed_over += 1
        except (zlib.error, ValueError, msgpack.UnpackException) as error:
            self._fault = Malformed(repr(error))
        return Decoded(tuple(messages), passed_over, self._fault)

    def _frames(self, data: bytes) -> typing.Iterator[Any]:
        """Yields whole frames.

        A few bytes can inflate to gigabytes: inflating in chunks and refusing
        a length before its bytes are kept bounds what a bad peer can make us
        hold to one message.
        """
        if self._fault is not None:
            return
        inflated = self._inflate.decompress(data, _CHUNK_BYTES)
        while inflated:
            self._buffer += inflated
            yield from self._whole_frames()
            rest = self._inflate.unconsumed_tail
            inflated = self._inflate.decompress(rest, _CHUNK_BYTES)
        if self._inflate.eof:
            raise ValueError("the deflate stream has ended")

    def _whole_frames(self) -> typing.Iterator[Any]:
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > MAX_MESSAGE_BYTES:
                raise ValueError(f"a message of {length} bytes")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            packed = bytes(self._buffer[_LENGTH.size : end])
            del self._buffer[:end]
            yield msgpack.unpackb(
                packed, max_array_len=MAX_ELEMENTS, max_map_len=MAX_ELEMENTS
            )


def _structured(frame: Any) -> peers.Message | None:
    """Returns the message of a frame, None for one to pass over.

    Raises:
        ValueError: the frame is not one of this protocol.
    """
    if frame is None:
        return None
    if not isinstance(frame, list) or len(frame) < 2:
        raise ValueError("a frame is neither a message nor nil")
    name, fields = frame[:2]
    if not isinstance(name, str) or not isinstance(fields, dict):
        raise ValueError("a frame without type name and fields")
    kind = _TYPES.get(name)
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
        raise ValueError(f"fields of {name}: {error!r}") from error
    return message
