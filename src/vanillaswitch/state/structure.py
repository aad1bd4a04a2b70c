"""Turns plain JSON values into typed configuration, strictly.

No value is converted: a bool is no int, a string is no number, a string is no
list. Unknown fields are mistakes. All mistakes of a value are found at once.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import enum
import json
import math
import typing
from typing import Any
from typing import TypeVar

import cattrs
import cattrs.cols
import cattrs.gen

from vanillaswitch.state import constraints
from vanillaswitch.state import folder

T = TypeVar("T")

Hook = Callable[[Any, Any], Any]
Constraints = Mapping[type, Mapping[str, constraints.Constraint]]

_LARGEST = 2**53
"""Larger integers are not exact in every JSON parser."""

_SHOWN = 40
"""Longest excerpt of a wrong value in a message, in characters."""


def make_converter(limits: Constraints) -> cattrs.Converter:
    """Returns a strict converter.

    Args:
        limits: constraints by data class and name of its field.
    """
    converter = cattrs.Converter(detailed_validation=True)
    converter.register_structure_hook(bool, _structure_bool)
    converter.register_structure_hook(int, _structure_int)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook(str, _structure_str)
    # Without its own hook a StrEnum would be taken by that of str.
    converter.register_structure_hook(enum.StrEnum, _structure_enum)
    converter.register_structure_hook_factory(
        _is_tuple,
        lambda kind: _tuple_hook(kind, converter),
    )
    converter.register_structure_hook_factory(
        dataclasses.is_dataclass,
        lambda kind: _object_hook(kind, converter, limits.get(kind, {})),
    )
    return converter


def problems(error: Exception, path: folder.Path) -> Iterator[folder.Problem]:
    """Yields each mistake of a failed conversion with its path."""
    if isinstance(error, cattrs.ClassValidationError):
        noted, rest = error.group_exceptions()
        for inner, note in noted:
            yield from problems(inner, (*path, note.name))
        for inner in rest:
            yield from problems(inner, path)
    elif isinstance(error, cattrs.IterableValidationError):
        for inner, item in error.group_exceptions()[0]:
            yield from problems(inner, (*path, item.index))
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        yield from _unknown_fields(error, path)
    elif isinstance(error, KeyError):
        yield folder.Problem(path, "is missing")
    else:
        yield folder.Problem(path, str(error))


def _unknown_fields(
    error: cattrs.ForbiddenExtraKeysError, path: folder.Path
) -> Iterator[folder.Problem]:
    known = ", ".join(f.name for f in dataclasses.fields(error.cl))
    for field in sorted(error.extra_fields):
        yield folder.Problem(
            (*path, field), f"is unknown; known fields here: {known}"
        )


def _object_hook(
    kind: type[T],
    converter: cattrs.Converter,
    limits: Mapping[str, constraints.Constraint],
) -> Hook:
    types = typing.get_type_hints(kind)
    overrides = {
        field: cattrs.gen.override(
            struct_hook=_limited(
                converter.get_structure_hook(types[field]), limit
            )
        )
        for field, limit in limits.items()
    }
    structure = cattrs.gen.make_dict_structure_fn(
        kind,
        converter,
        _cattrs_forbid_extra_keys=True,
        _cattrs_detailed_validation=True,
        **overrides,  # type: ignore[arg-type]
    )

    def hook(value: object, target: type[T]) -> T:
        if not isinstance(value, dict):
            raise ValueError(_must_be("an object", value))
        return structure(value, target)

    return hook


def _limited(hook: Hook, limit: constraints.Constraint) -> Hook:
    def checked(value: object, target: object) -> object:
        structured = hook(value, target)
        limit(structured)
        return structured

    return checked


def _tuple_hook(kind: Any, converter: cattrs.Converter) -> Hook:
    structure = cattrs.cols.homogenous_tuple_structure_factory(kind, converter)

    def hook(value: object, target: Any) -> object:
        if not isinstance(value, list):
            raise ValueError(_must_be("a list", value))
        return structure(value, target)

    return hook


def _structure_bool(value: object, _: type[bool]) -> bool:
    if type(value) is not bool:
        raise ValueError(_must_be("true or false", value))
    return value


def _structure_int(value: object, _: type[int]) -> int:
    if type(value) is not int:
        raise ValueError(_must_be("a whole number", value))
    _check_size(value)
    return value


def _structure_float(value: object, _: type[float]) -> float:
    if type(value) is not int and type(value) is not float:
        raise ValueError(_must_be("a number", value))
    _check_size(value)
    # Adding zero turns -0.0 into 0.0, so that equal numbers have one form.
    return float(value) + 0.0


def _check_size(value: float) -> None:
    # A literal such as 1e999 is read as infinity, which is no JSON again.
    if not math.isfinite(value) or abs(value) > _LARGEST:
        raise ValueError("is too large a number")


def _structure_str(value: object, _: type[str]) -> str:
    if type(value) is not str:
        raise ValueError(_must_be("a string", value))
    # A lone surrogate, written as "\ud800", can't be stored as UTF-8.
    if not value.isprintable():
        raise ValueError("must hold printable characters only")
    return value


def _is_tuple(kind: Any) -> bool:
    return typing.get_origin(kind) is tuple


def _structure_enum(value: object, kind: type[enum.StrEnum]) -> enum.StrEnum:
    known = [member.value for member in kind]
    if value not in known:
        raise ValueError(
            f"must be one of {', '.join(known)}, is {_shown(value)}"
        )
    return kind(value)


def _must_be(wanted: str, value: object) -> str:
    return f"must be {wanted}, is {_shown(value)}"


def _shown(value: object) -> str:
    """Returns a value as it stands in the file, cut when it is long."""
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= _SHOWN else text[:_SHOWN] + "..."
