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
        value: its content; None when it was removed or can't be read.
        version: commit that wrote or removed it.
        damage: why its content can't be read; empty when it can. Such a row
            is there, and what it said before holds as long as it may.
    """

    key: str
    value: Mapping[str, Any] | None
    version: int
    damage: str = ""


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
    """The rows of a table as of one version.

    Attributes:
        missing: parts of the table that could not be read; what lies in them
            is not among the rows.
        reason: why the first of them could not be.
    """

    rows: tuple[Change, ...]
    version: int
    missing: tuple[str, ...] = ()
    reason: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """Changes in between are no longer known: read the table anew."""


class Feed(Protocol):
    """Reads of whole tables and of their changes."""

    def snapshot(
        self, table: str, parts: tuple[str, ...] = ()
    ) -> Snapshot | platform.Unavailable:
        """Reads all rows of a table, or only those in some of its parts.

        Returns:
            ``Unavailable`` where no part could be read.
        """

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryLost | platform.Unavailable:
        """Waits for changes later than a version."""
