"""The interface to what has changed in a table."""

from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Protocol

from vanillaswitch.protocol import platform


@dataclasses.dataclass(frozen=True)
class Change:
    """A row as it is now.

    Attributes:
        key: its name within the table.
        value: its content; None when it was removed.
        version: commit that wrote or removed it.
    """

    key: str
    value: Mapping[str, Any] | None
    version: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """What has changed since a version, oldest first.

    Attributes:
        version: where to continue from.
    """

    changes: tuple[Change, ...]
    version: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All rows of a table as of one version."""

    rows: tuple[Change, ...]
    version: int


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """Changes in between are no longer known: read the table anew."""


class Feed(Protocol):
    """Reads of whole tables and of their changes."""

    def snapshot(self, table: str) -> Snapshot | platform.Unavailable:
        """Reads all rows of a table."""

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost | platform.Unavailable:
        """Waits for changes later than a version."""
