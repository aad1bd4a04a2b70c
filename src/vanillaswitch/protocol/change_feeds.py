"""Interface to the change feed of a table."""

from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Protocol

from vanillaswitch.protocol import platform


@dataclasses.dataclass(frozen=True)
class RowChange:
    """The current state of a row.

    Attributes:
        key: name of the row within the table.
        value: content; None if the row was deleted or can't be read.
        version: number of the commit that wrote or deleted the row.
        read_error: why the content can't be read; empty if it can. A damaged
            row still exists: readers use its previous content for as long as it
            may be used.
    """

    key: str
    value: Mapping[str, Any] | None
    version: int
    read_error: str = ""


@dataclasses.dataclass(frozen=True)
class ChangeBatch:
    """The changes after a version, oldest first.

    Attributes:
        version: version to pass to the next call.
    """

    changes: tuple[RowChange, ...]
    version: int


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The rows of a table.

    Rows may be newer than ``version``; changes after it repeat them.

    Attributes:
        version: version after which to read changes.
        unreadable_partitions: parts of the table that could not be read;
            ``rows`` has no rows of these parts.
        unreadable_reason: why the first of these parts could not be read.
    """

    rows: tuple[RowChange, ...]
    version: int
    unreadable_partitions: tuple[str, ...] = ()
    unreadable_reason: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryTruncated:
    """The store no longer has these changes: take a new snapshot."""


class ChangeFeed(Protocol):
    """Reads snapshots of tables and the changes that follow."""

    def snapshot(
        self, table: str, parts: tuple[str, ...] = ()
    ) -> Snapshot | platform.Unavailable:
        """Reads all rows of a table, or of some of its parts.

        Returns:
            ``Unavailable`` if no part could be read.
        """

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> ChangeBatch | HistoryTruncated | platform.Unavailable:
        """Waits up to ``wait_s`` for changes after a version."""
