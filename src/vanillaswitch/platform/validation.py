"""Validates documents from outside, field by field.

Other writers may put anything into the tables that this program reads: missing
fields, fields of another type, infinite numbers, bytes that are not JSON. An
exception from such a row would end each owner of the fleet in turn, because
each new owner reads the row again. So a document becomes either a typed value
or an ``Unusable`` that names the field, and reading it never raises.
"""

import json
import math
import reprlib
import typing
from typing import Any
from typing import TypeGuard
from typing import TypeVar

import cattrs

from vanillaswitch.protocol import unusable

_T = TypeVar("_T")

MAX_SAFE_INTEGER = 2**53
"""JSON parsers that use doubles round larger integers."""

_MAX_REASONS = 3


def _to_int(value: Any, _: type) -> int:
    if type(value) is not int or abs(value) > MAX_SAFE_INTEGER:
        raise ValueError("expected an integer of at most 2**53")
    return value


def _to_float(value: Any, _: type) -> float:
    if type(value) not in (int, float) or not abs(value) <= MAX_SAFE_INTEGER:
        raise ValueError("expected a finite number of at most 2**53")
    return float(value)


def _to_str(value: Any, _: type) -> str:
    if type(value) is not str or not value.isprintable():
        raise ValueError("expected a string of printable characters")
    return value


def _to_bool(value: Any, _: type) -> bool:
    if type(value) is not bool:
        raise ValueError("expected true or false")
    return value


def _to_tuple(value: Any, target_type: Any) -> tuple[Any, ...]:
    """Converts a list to a tuple; rejects a string, which is iterable too."""
    if type(value) is not list:
        raise ValueError("expected a list")
    element_type = typing.get_args(target_type)[0]
    return tuple(
        _CONVERTER.structure(element, element_type) for element in value
    )


def _is_tuple(target_type: Any) -> bool:
    return typing.get_origin(target_type) is tuple


def _new_converter() -> cattrs.Converter:
    """Returns a converter that rejects values of another type."""
    converter = cattrs.Converter()
    converter.register_structure_hook_func(_is_tuple, _to_tuple)
    converter.register_structure_hook(int, _to_int)
    converter.register_structure_hook(float, _to_float)
    converter.register_structure_hook(str, _to_str)
    converter.register_structure_hook(bool, _to_bool)
    return converter


_CONVERTER = _new_converter()


def parse_document(target_type: type[_T], raw: Any) -> _T | unusable.Unusable:
    """Converts a decoded JSON document to a frozen data class.

    Ignores fields that the class does not have, so that newer writers may add
    some.
    """
    if not isinstance(raw, dict):
        return unusable.Unusable(
            f"expected a JSON object, not {type(raw).__name__}"
        )
    try:
        return _CONVERTER.structure(raw, target_type)
    except RecursionError:
        return unusable.Unusable("nested too deeply")
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        reasons = cattrs.transform_error(error)
        return unusable.Unusable("; ".join(reasons[:_MAX_REASONS]))


def decode_json(content: bytes | str) -> Any:
    """Decodes JSON.

    Raises:
        ValueError: the content is not valid JSON or is nested too deeply.
    """
    try:
        return json.loads(content)
    except RecursionError:
        raise ValueError("the JSON is nested too deeply") from None


def finite_float(value: Any) -> float | None:
    """Returns a finite number as a float, and None for anything else."""
    if type(value) not in (int, float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) else None


def safe_int(value: Any) -> int | None:
    """Returns an integer of at most ``MAX_SAFE_INTEGER``, else None."""
    if type(value) is not int or abs(value) > MAX_SAFE_INTEGER:
        return None
    return value


def is_text(value: Any) -> TypeGuard[str]:
    """Whether a value is a string that can be sent, without surrogates."""
    if type(value) is not str:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


_EXCERPTS = reprlib.Repr()
_EXCERPTS.maxstring = _EXCERPTS.maxother = 200


def excerpt(value: Any) -> str:
    """Returns a short text for the log, however long or nested a value is."""
    return _EXCERPTS.repr(value)
