"""Constraints on single values of a configuration.

A constraint takes a value of the right type and raises ``ValueError`` with a
message that says what the value must be.
"""

from collections.abc import Callable
from collections.abc import Collection
import re
from typing import Any

Constraint = Callable[[Any], None]

METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}")
_ROUTE_PATH = re.compile(r"/|(/[A-Za-z0-9._~-]+)+")


def between(low: float, high: float, unit: str = "") -> Constraint:
    """Requires ``low <= value <= high``."""

    def check(value: float) -> None:
        if not low <= value <= high:
            raise ValueError(
                f"must be from {low} to {high}{unit and ' ' + unit}, is {value}"
            )

    return check


def at_least(low: float, unit: str = "") -> Constraint:
    """Requires ``value >= low``."""

    def check(value: float) -> None:
        if value < low:
            raise ValueError(
                f"must be {low}{unit and ' ' + unit} or more, is {value}"
            )

    return check


def above(low: float, unit: str = "") -> Constraint:
    """Requires ``value > low``."""

    def check(value: float) -> None:
        if value <= low:
            raise ValueError(
                f"must be more than {low}{unit and ' ' + unit}, is {value}"
            )

    return check


def one_of(kind: str, names: Collection[str]) -> Constraint:
    """Requires one of the known names of a kind of thing."""

    def check(value: str) -> None:
        if value not in names:
            known = ", ".join(sorted(names)) or "(none)"
            raise ValueError(
                f"there is no {kind} called {value!r}; use one of: {known}"
            )

    return check


def each(constraint: Constraint) -> Constraint:
    """Requires a list without repetition whose items all pass."""

    def check(values: tuple[Any, ...]) -> None:
        told = [f"{v!r} is listed twice" for v in _repeated(values)]
        for value in dict.fromkeys(values):
            try:
                constraint(value)
            except ValueError as error:
                told.append(str(error))
        if told:
            raise ValueError("; ".join(told))

    return check


def not_empty(values: Collection[object]) -> None:
    """Requires something rather than nothing."""
    if not values:
        raise ValueError("must not be empty")


def both(first: Constraint, second: Constraint) -> Constraint:
    """Requires two constraints, the second only where the first passes."""

    def check(value: object) -> None:
        first(value)
        second(value)

    return check


def name(value: str) -> None:
    """Requires a name that is safe in paths, row keys and dotted fields."""
    if not _NAME.fullmatch(value):
        raise ValueError(
            "a name has 1 to 63 letters, digits, hyphens and underscores "
            "and begins with a letter or digit"
        )


def route_path(value: str) -> None:
    """Requires a path of whole segments without a slash at its end."""
    if not _ROUTE_PATH.fullmatch(value):
        raise ValueError(
            f"must be a path such as /quotes or /, without a slash at its "
            f"end, is {value!r}"
        )


def _repeated(values: tuple[Any, ...]) -> list[Any]:
    return [v for v in dict.fromkeys(values) if values.count(v) > 1]
