"""What differs between two configurations."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
from typing import Any

from vanillaswitch.state import canonical
from vanillaswitch.state import config as config_lib


@dataclasses.dataclass(frozen=True)
class Change:
    """One field, or one whole thing, that differs.

    Attributes:
        path: dotted path.
        before: JSON value; None when it is new.
        after: JSON value; None when it is gone.
    """

    path: str
    before: Any
    after: Any


def diff(
    before: config_lib.Config | None, after: config_lib.Config
) -> tuple[Change, ...]:
    """Returns the changes in the order of their paths.

    Lists are compared as a whole, and what is only on one side is one change.

    Args:
        before: the older configuration; None for none at all.
        after: the newer configuration.
    """
    return tuple(_changes("", _plain(before), _plain(after)))


def _plain(config: config_lib.Config | None) -> dict[str, Any]:
    if config is None:
        return {}
    mapping: dict[str, Any] = json.loads(canonical.dump(config))
    return mapping


def _changes(
    path: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[Change]:
    for key in sorted(before.keys() | after.keys()):
        here = f"{path}.{key}" if path else key
        old = before.get(key)
        new = after.get(key)
        if isinstance(old, dict) and isinstance(new, dict):
            yield from _changes(here, old, new)
        elif old != new:
            yield Change(here, old, new)
