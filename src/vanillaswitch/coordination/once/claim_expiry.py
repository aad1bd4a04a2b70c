"""Deletes claims that no request can match any more.

A request is refused if its key was issued longer ago than the retention, so
its claim is of no use. The margin covers differences between clocks: an entry
may accept a request that is already too old by the controller's clock. The
margin also makes a delayed copy of a claim's insert harmless: if it recreates
a deleted claim, no accepted request matches the claim, and it is deleted
again.
"""

from collections.abc import Iterable
import dataclasses
import random

from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import keys
from vanillaswitch.state import rows

CLOCK_MARGIN_S = 3600
ROWS_PER_TRANSACTION = 64
ROWS_PER_PAGE = 256


def is_too_old(issued_ms: int, now_ms: int, retention_s: float) -> bool:
    """Returns whether a request is refused because its claim may be deleted."""
    return now_ms - issued_ms > retention_s * 1000


def expiry_deletes(
    found: Iterable[platform.Row], now_ms: int
) -> tuple[platform.Put, ...]:
    """Returns the deletes of the claims that no request can match.

    This guards against the following failure: claims are deleted under a short
    retention, which is then raised. A request that was too old before is
    accepted, finds no claim and runs again. The longest retention that can be
    configured therefore decides.

    Args:
        found: claim rows.
        now_ms: wall clock in milliseconds since the Unix epoch.
    """
    retention_s = config.LONGEST_RETENTION_S + CLOCK_MARGIN_S
    return tuple(
        platform.Put(row.key, row.version, None)
        for row in found
        if is_too_old(
            rows.load(rows.Claim, row.value).issued_ms, now_ms, retention_s
        )
    )


@dataclasses.dataclass(frozen=True)
class PageResult:
    """The result of processing one page of claims.

    Attributes:
        deleted: number of claims that were certainly deleted.
        next_after: key after which the next page starts; empty after the last
            page.
    """

    deleted: int
    next_after: str


def delete_expired_page(
    table: platform.Table,
    rng: random.Random,
    now_ms: int,
    after: str = "",
) -> PageResult:
    """Deletes the expired claims among the ``ROWS_PER_PAGE`` after ``after``.

    A batch that conflicts, or whose answer is lost, is retried in the next pass
    over all claims. Each delete checks the version of its row, so no other row
    can be deleted.

    Args:
        table: stores the claims.
        rng: random source for the transactions' tokens.
        now_ms: wall clock in milliseconds since the Unix epoch.
        after: last key of the previous page.
    """
    read = table.scan(keys.CLAIMS, after, ROWS_PER_PAGE)
    if isinstance(read, platform.Unavailable):
        return PageResult(0, after)
    deletes = expiry_deletes(read.rows, now_ms)
    deleted = 0
    for start in range(0, len(deletes), ROWS_PER_TRANSACTION):
        batch = deletes[start : start + ROWS_PER_TRANSACTION]
        transaction = platform.Transaction(ids.new_id(rng), batch)
        outcome = table.commit(transaction)
        if isinstance(outcome, platform.Committed):
            deleted += len(batch)
        elif not isinstance(outcome, platform.Conflict):
            break
    is_last_page = len(read.rows) < ROWS_PER_PAGE
    return PageResult(deleted, "" if is_last_page else read.rows[-1].key)
