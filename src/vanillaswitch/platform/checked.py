"""Documents of others, checked field by field.

Whoever may write to a table that we read may write anything there: fields that
are missing or of another type, numbers without end, bytes that are no
document. One such row ended each owner of the fleet in turn, since each read
it anew. So what others wrote becomes a typed value or an ``Unusable`` that
names the field, and never an exception.
"""

import json
import math
import typing
from typing import Any
from typing import TypeVar

import cattrs

from vanillaswitch.protocol import unusable

_T = TypeVar("_T")

MAX_WHOLE = 2**53
"""Larger whole numbers are not the same in all JSON readers."""

_MAX_REASONS = 3


def _whole(value: Any, _: type) -> int:
    if type(value) is not int or abs(value) > MAX_WHOLE:
        raise ValueError("give a whole number")
    return value


def _number(value: Any, _: type) -> float:
    if type(value) not in (int, float) or not abs(value) <= MAX_WHOLE:
        raise ValueError("give a finite number")
    return float(value)


def _text(value: Any, _: type) -> str:
    if type(value) is not str or not value.isprintable():
        raise ValueError("give a text without control characters")
    return value


def _flag(value: Any, _: type) -> bool:
    if type(value) is not bool:
        raise ValueError("give true or false")
    return value


def _row(value: Any, kind: Any) -> tuple[Any, ...]:
    """Reads a list; a text would otherwise be read letter by letter."""
    if type(value) is not list:
        raise ValueError("give a list")
    item = typing.get_args(kind)[0]
    return tuple(_CONVERTER.structure(one, item) for one in value)


def _is_tuple(kind: Any) -> bool:
    return typing.get_origin(kind) is tuple


def _converter() -> cattrs.Converter:
    """Returns a converter that takes no value of another type for a field."""
    converter = cattrs.Converter()
    converter.register_structure_hook_func(_is_tuple, _row)
    converter.register_structure_hook(int, _whole)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook(str, _text)
    converter.register_structure_hook(bool, _flag)
    return converter


_CONVERTER = _converter()


def read(kind: type[_T], raw: Any) -> _T | unusable.Unusable:
    """Turns a decoded document into a frozen data class.

    Fields that the class does not name are ignored: new ones may come.
    """
    if not isinstance(raw, dict):
        return unusable.Unusable(f"a JSON object, not {type(raw).__name__}")
    try:
        return _CONVERTER.structure(raw, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError) as error:
        reasons = cattrs.transform_error(error)
        return unusable.Unusable("; ".join(reasons[:_MAX_REASONS]))


def decode(content: bytes | str) -> Any:
    """Decodes JSON; whatever is wrong with it is a ``ValueError``."""
    try:
        return json.loads(content)
    except RecursionError:
        raise ValueError("it is nested too deeply") from None


def finite(value: Any) -> float | None:
    """Returns a number that can be reckoned with, None for anything else."""
    if type(value) not in (int, float) or not math.isfinite(value):
        return None
    return float(value)
