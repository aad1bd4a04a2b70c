"""The platform's store of rows in memory, with its feed of changes."""

import base64
import dataclasses
import json
import time
from typing import Any

HISTORY = 2000
"""Changes that the feed remembers."""

Address = tuple[str, str, str]
"""Table, part and key."""


def now_ms() -> int:
    """Returns the store's clock, which never steps back.

    Processes compare ages on it: with a constant, each would count from its own
    start.
    """
    return int(time.monotonic() * 1000)


@dataclasses.dataclass(frozen=True)
class StoredRow:
    """One row; ``value`` is base64 text, None for one that was removed."""

    address: Address
    value: str | None
    version: int

    def document(self) -> dict[str, Any]:
        """Returns the row as the store spells it."""
        table, part, key = self.address
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "key": key,
            "row_version": self.version,
        }
        if self.value is None:
            row["removed"] = True
        else:
            row["value"] = self.value
        return row


class MemoryRows:
    """Rows under conditions; versions come from one counter.

    Attributes:
        down: every call is refused as not done.
        lose_answers: transactions take effect and are not answered.
        lose_every: each so many-th of them is not answered; 0 for none.
        parts_away: parts of tables whose calls are refused as not done.
    """

    def __init__(self) -> None:
        self.down = False
        self.lose_answers = False
        self.lose_every = 0
        self.parts_away: set[str] = set()
        self._transactions = 0
        self._rows: dict[Address, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._forgotten = 0
        self._version = 0

    @property
    def version(self) -> int:
        """The newest version."""
        return self._version

    @property
    def loses_this_answer(self) -> bool:
        """Whether the answer to the last transaction gets lost."""
        if self.lose_answers:
            return True
        return bool(self.lose_every) and (
            self._transactions % self.lose_every == 0
        )

    def away(self, body: dict[str, Any]) -> bool:
        """Whether a transaction touches a part that is away."""
        rows = [
            row
            for kind in ("expected", "writes", "remove")
            for row in body.get(kind, [])
        ]
        return any(row.get("part", "") in self.parts_away for row in rows)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Applies a transaction; returns status and body of the answer."""
        self._transactions += 1
        expected = body.get("expected", [])
        stale = [
            row
            for row in expected
            if self._version_of(_address(row)) != row["row_version"]
        ]
        if stale:
            found = [
                self._rows[_address(row)].document()
                for row in expected
                if _address(row) in self._rows
            ]
            return 412, {"rows": found, "row_version": self._version}
        self._version += 1
        for row in body.get("writes", []):
            self._put(StoredRow(_address(row), row["value"], self._version))
        for row in body.get("remove", []):
            self._put(StoredRow(_address(row), None, self._version))
        return 200, {"row_version": self._version, "now_ms": now_ms()}

    def read(
        self, table: str, part: str, begin: str, end: str, limit: int
    ) -> dict[str, Any]:
        """Returns a page of rows in ascending order of their keys."""
        found = sorted(
            (
                row
                for (of, inside, key), row in self._rows.items()
                if of == table
                and inside == part
                and key >= begin
                and (not end or key < end)
            ),
            key=lambda row: row.address,
        )
        return {
            "rows": [row.document() for row in found[:limit]],
            "more_pages": len(found) > limit,
            "row_version": self._version,
            "now_ms": now_ms(),
        }

    def changes(
        self, table: str, after: int
    ) -> tuple[int, dict[str, Any]] | None:
        """Returns changes of a table, None when there are none yet."""
        if after < self._forgotten:
            return 410, {}
        found = [
            row.document()
            for row in self._history
            if row.version > after and row.address[0] == table
        ]
        if not found:
            return None
        return 200, {
            "rows": found,
            "row_version": self._version,
            "now_ms": now_ms(),
        }

    def forget(self) -> None:
        """Drops the history of changes."""
        self._forgotten = self._version
        self._history.clear()

    def write(self, table: str, key: str, value: dict[str, Any]) -> None:
        """Writes a shared document as operators and instances do."""
        self._version += 1
        packed = base64.b64encode(json.dumps(value).encode()).decode()
        self._put(StoredRow((table, "", key), packed, self._version))

    def remove(self, table: str, key: str) -> None:
        """Removes a shared document."""
        self._version += 1
        self._put(StoredRow((table, "", key), None, self._version))

    def parts(self, table: str) -> list[str]:
        """Returns the parts in which a table has rows."""
        return sorted({part for of, part, _ in self._rows if of == table})

    def owner(self) -> str:
        """Returns who owns the fleet by its row; empty when nobody does."""
        for (table, _, _), row in self._rows.items():
            if table == "owner" and row.value is not None:
                document = json.loads(base64.b64decode(row.value))
                return str(document["value"].get("holder", ""))
        return ""

    def document(self, table: str, key: str) -> dict[str, Any] | None:
        """Reads a shared document."""
        row = self._rows.get((table, "", key))
        if row is None or row.value is None:
            return None
        decoded: dict[str, Any] = json.loads(base64.b64decode(row.value))
        return decoded

    def _version_of(self, address: Address) -> int:
        row = self._rows.get(address)
        return row.version if row else 0

    def _put(self, row: StoredRow) -> None:
        if row.value is None:
            self._rows.pop(row.address, None)
        else:
            self._rows[row.address] = row
        self._history.append(row)
        del self._history[:-HISTORY]


def _address(row: dict[str, Any]) -> Address:
    return row["table"], row["part"], row["key"]
