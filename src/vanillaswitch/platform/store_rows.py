"""Rows of the platform's store: where they lie and how they are spelled.

A key "job/ab12" is the row "ab12" of the table "job". What the owner of the
fleet writes lies in one part, so that one transaction may span it. What
clients hand in is spread over several parts, since a part takes one
transaction after the other. The tables that the platform shares with us have
no part and hold bare documents. In our own rows a document stands beside the
token of the transaction that wrote it, by which a lost answer is settled (see
``coordination.commits``).
"""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any
import zlib

from vanillaswitch.internal import logs
from vanillaswitch.platform import checked
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable

SPREAD = 24
"""Parts of a table that clients write to. A store 60 times slower takes some
four transactions a second in a part, and a fleet of 97 machines hands in 57
jobs a second: 8 parts took 34 of them, counted in the log of such seconds.
Each part costs a new owner one more call."""

_PART = "vanillaswitch"
_SPREAD_TABLES = frozenset({"job", "spec", "cancel"})
_SHARED = frozenset({"op", "servers", "status"})


def split(key: str) -> tuple[str, str]:
    """Returns the table and the name within it that a key holds."""
    table, _, name = key.partition("/")
    return table, name


def parts(table: str) -> tuple[str, ...]:
    """Returns the parts that the rows of a table lie in."""
    if table in _SHARED:
        return ("",)
    if table in _SPREAD_TABLES:
        return tuple(f"{_PART}-{number}" for number in range(SPREAD))
    return (_PART,)


def part_of(table: str, name: str) -> str:
    """Returns the part that a row lies in; the same on every process."""
    found = parts(table)
    return found[zlib.crc32(name.encode()) % len(found)]


def _address(key: str) -> dict[str, Any]:
    table, name = split(key)
    return {"table": table, "part": part_of(table, name), "key": name}


def _pack(table: str, value: Mapping[str, Any], token: str) -> str:
    document = value if table in _SHARED else {"token": token, "value": value}
    text = json.dumps(document, separators=(",", ":"))
    return base64.b64encode(text.encode()).decode()


def _unpack(
    table: str, packed: str
) -> tuple[Mapping[str, Any], str] | unusable.Unusable:
    """Returns a row's document and token."""
    try:
        document = checked.decode(base64.b64decode(packed, validate=True))
    except ValueError as error:
        return unusable.Unusable(f"its bytes can't be read: {error}")
    if not isinstance(document, dict):
        return unusable.Unusable("it is no JSON object")
    if table in _SHARED:
        return document, ""
    if not isinstance(document.get("value"), dict):
        return unusable.Unusable("it has no value of ours")
    return document["value"], str(document.get("token", ""))


def decode(raw: Mapping[str, Any]) -> platform.Row:
    """Decodes a row; one that can't be read has no content, and is told of."""
    table = str(raw["table"])
    version = int(raw.get("row_version", 0))
    unpacked = _unpack(table, str(raw.get("value") or ""))
    if isinstance(unpacked, unusable.Unusable):
        logs.warning("row {}/{}: {}", table, raw["key"], unpacked.reason)
        unpacked = {}, ""
    return platform.Row(
        f"{table}/{raw['key']}", version, unpacked[0], unpacked[1]
    )


def transaction_body(transaction: platform.Transaction) -> dict[str, Any]:
    """Returns a transaction as the store takes it."""
    expected = [
        {**_address(key), "row_version": version}
        for key, version in _expected(transaction).items()
    ]
    writes = []
    removed = []
    for put in transaction.puts:
        if put.value is None:
            removed.append(_address(put.key))
            continue
        table, _ = split(put.key)
        packed = _pack(table, put.value, transaction.token)
        writes.append({**_address(put.key), "value": packed})
    return {"expected": expected, "writes": writes, "remove": removed}


def _expected(transaction: platform.Transaction) -> dict[str, int]:
    """Returns the versions that rows must have, by key."""
    expected = {check.key: check.version for check in transaction.checks}
    expected.update({put.key: put.version for put in transaction.puts})
    return expected


def conflict(
    transaction: platform.Transaction, raw_rows: Sequence[Mapping[str, Any]]
) -> platform.Conflict:
    """Keeps the rows whose versions differ; the answer names all of them."""
    expected = _expected(transaction)
    rows = [decode(raw) for raw in raw_rows]
    return platform.Conflict(
        tuple(row for row in rows if row.version != expected.get(row.key))
    )


def change(table: str, raw: Mapping[str, Any]) -> feeds.Change:
    """Decodes a row of a table, or the mark that it was removed."""
    version = int(raw.get("row_version", 0))
    key = str(raw["key"])
    if raw.get("removed"):
        return feeds.Change(key, None, version)
    unpacked = _unpack(table, str(raw.get("value") or ""))
    if isinstance(unpacked, unusable.Unusable):
        return feeds.Change(key, None, version, unpacked.reason)
    return feeds.Change(key, unpacked[0], version)
