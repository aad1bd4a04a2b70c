"""Keys, partitions and encoding of rows in the platform's store.

The key "job/ab12" is the row "ab12" of the table "job". The platform calls a
partition a "part"; a transaction can't span partitions, and each partition
runs its transactions one after the other. So all rows that the owner of the
fleet writes are in one partition, and rows that clients submit are spread over
several. Tables that this program shares with the platform are not partitioned
and hold plain documents. A row of any other table holds a document and the
token of the transaction that wrote it. The token shows whether a commit whose
answer was lost took effect (see ``coordination.commit_retries``).
"""

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any
import zlib

from vanillaswitch.internal import logs
from vanillaswitch.platform import validation
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable

CLIENT_PARTITIONS = 24
"""Partitions of a table that clients write to. A store that is 60 times slower
than usual commits about four transactions a second in a partition, and a fleet
of 97 machines submits 57 jobs a second; 8 partitions handled only 34 of them.
Each partition costs a new owner one more call."""

_PARTITION = "vanillaswitch"
_CLIENT_TABLES = frozenset({"job", "spec", "cancel", "refusals"})
_SHARED_TABLES = frozenset({"op", "servers", "status"})


def split_key(key: str) -> tuple[str, str]:
    """Splits a key into the table and the row's name within it."""
    table, _, name = key.partition("/")
    return table, name


def partitions(table: str) -> tuple[str, ...]:
    """Returns the partitions of a table."""
    if table in _SHARED_TABLES:
        return ("",)
    if table in _CLIENT_TABLES:
        return tuple(
            f"{_PARTITION}-{number}" for number in range(CLIENT_PARTITIONS)
        )
    return (_PARTITION,)


def partition_of(table: str, name: str) -> str:
    """Returns the partition of a row; all processes compute the same one."""
    names = partitions(table)
    return names[zlib.crc32(name.encode()) % len(names)]


def partition_of_key(key: str) -> str:
    """Returns the partition of a row by its key; see ``partition_of``."""
    return partition_of(*split_key(key))


def _encode_address(key: str) -> dict[str, Any]:
    table, name = split_key(key)
    return {"table": table, "part": partition_of(table, name), "key": name}


def _encode_value(table: str, value: Mapping[str, Any], token: str) -> str:
    document = (
        value if table in _SHARED_TABLES else {"token": token, "value": value}
    )
    text = json.dumps(document, separators=(",", ":"))
    return base64.b64encode(text.encode()).decode()


def _decode_value(
    table: str, encoded: str
) -> tuple[Mapping[str, Any], str] | unusable.Unusable:
    """Decodes a row's document and the token of its transaction."""
    try:
        document = validation.decode_json(
            base64.b64decode(encoded, validate=True)
        )
    except ValueError as error:
        return unusable.Unusable(f"the value is not base64 of JSON: {error}")
    if not isinstance(document, dict):
        return unusable.Unusable("the value is not a JSON object")
    if table in _SHARED_TABLES:
        return document, ""
    if not isinstance(document.get("value"), dict):
        return unusable.Unusable('the field "value" is not a JSON object')
    token = document.get("token")
    return document["value"], token if isinstance(token, str) else ""


def is_row(raw: Any) -> bool:
    """Whether an element of a list of rows has the fields of a row."""
    return (
        isinstance(raw, dict)
        and validation.is_text(raw.get("key"))
        and isinstance(raw.get("table", ""), str)
        and isinstance(raw.get("value", ""), str | None)
        and validation.safe_int(raw.get("row_version", 0)) is not None
    )


def decode_row(raw: Mapping[str, Any]) -> platform.Row:
    """Decodes a row; logs and returns an empty one if it can't be decoded."""
    table = str(raw.get("table", ""))
    version = int(raw.get("row_version", 0))
    decoded = _decode_value(table, str(raw.get("value") or ""))
    if isinstance(decoded, unusable.Unusable):
        logs.warning("row {}/{}: {}", table, raw["key"], decoded.reason)
        decoded = {}, ""
    return platform.Row(
        f"{table}/{raw['key']}", version, decoded[0], decoded[1]
    )


def encode_transaction(transaction: platform.Transaction) -> dict[str, Any]:
    """Encodes a transaction as the body of a request."""
    expected = [
        {**_encode_address(key), "row_version": version}
        for key, version in _expected_versions(transaction).items()
    ]
    writes = []
    deletes = []
    for put in transaction.puts:
        if put.value is None:
            deletes.append(_encode_address(put.key))
            continue
        table, _ = split_key(put.key)
        encoded = _encode_value(table, put.value, transaction.token)
        writes.append({**_encode_address(put.key), "value": encoded})
    return {"expected": expected, "writes": writes, "remove": deletes}


def _expected_versions(transaction: platform.Transaction) -> dict[str, int]:
    """Returns the versions that a transaction expects, by key."""
    expected = {check.key: check.version for check in transaction.checks}
    expected.update({put.key: put.version for put in transaction.puts})
    return expected


def decode_conflict(
    transaction: platform.Transaction, raw_rows: Sequence[Mapping[str, Any]]
) -> platform.Conflict:
    """Decodes a conflict.

    The store lists every row of the transaction; only those whose version is
    not the expected one are kept.
    """
    expected = _expected_versions(transaction)
    rows = [decode_row(raw) for raw in raw_rows]
    return platform.Conflict(
        tuple(row for row in rows if row.version != expected.get(row.key))
    )


def decode_change(table: str, raw: Mapping[str, Any]) -> change_feeds.RowChange:
    """Decodes a changed row, or the marker of a removed one."""
    version = int(raw.get("row_version", 0))
    key = str(raw["key"])
    if raw.get("removed"):
        return change_feeds.RowChange(key, None, version)
    decoded = _decode_value(table, str(raw.get("value") or ""))
    if isinstance(decoded, unusable.Unusable):
        return change_feeds.RowChange(key, None, version, decoded.reason)
    return change_feeds.RowChange(key, decoded[0], version)
