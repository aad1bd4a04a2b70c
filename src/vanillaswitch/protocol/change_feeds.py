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
        read_error: why the content can't be read; empty if it can. Such a row
            still exists, and readers keep its previous content while that is
            valid.
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
        unreadable_partitions: partitions that could not be read; ``rows`` has
            no rows of them.
        unreadable_reason: why the first of them could not be read.
    """

    rows: tuple[RowChange, ...]
    version: int
    unreadable_partitions: tuple[str, ...] = ()
    unreadable_reason: str = ""


@dataclasses.dataclass(frozen=True)
class HistoryTruncated:
    """The store no longer has these changes: take a new snapshot."""


@dataclasses.dataclass(frozen=True)
class ChangesTooLarge:
    """The changes exceed the caller's limit: take a new snapshot.

    They contain every version of a row, a snapshot only the newest one.
    """


ChangesOutcome = (
    ChangeBatch | HistoryTruncated | ChangesTooLarge | platform.Unavailable
)


class ChangeFeed(Protocol):
    """Reads snapshots of tables and the changes that follow."""

    def snapshot(
        self, table: str, parts: tuple[str, ...] = ()
    ) -> Snapshot | platform.Unavailable:
        """Reads all rows of a table, or of some of its partitions.

        Args:
            table: name of the table.
            parts: the partitions to read; empty for all.

        Returns:
            ``Unavailable`` if no partition could be read.
        """

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> ChangesOutcome:
        """Waits up to ``wait_s`` for changes after a version.

        Args:
            table: name of the table.
            after: the version.
            wait_s: longest wait for a change.
            max_bytes: an answer is given up once it is known to be larger;
                None for no limit.

        Returns:
            ``ChangesTooLarge`` only if ``max_bytes`` is given.
        """
