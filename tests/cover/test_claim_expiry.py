"""Deleting claims past their retention."""

import random

from hypothesis import given
from hypothesis import strategies as st

from standins import table as table_module
from vanillaswitch.coordination.once import claim_expiry
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import keys
from vanillaswitch.state import rows

RETENTION_MS = (config.LONGEST_RETENTION_S + claim_expiry.CLOCK_MARGIN_S) * 1000
NOW_MS = 2 * RETENTION_MS


def _claim(issued_ms):
    return rows.dump(
        rows.Claim(peers.ClaimState.DONE, "e", "b", "p", "d", issued_ms)
    )


@given(st.lists(st.booleans(), max_size=600))
def test_expiry_deletes_only_old_claims_page_by_page(old_flags):
    table = table_module.MemoryTable()
    ages_ms = [RETENTION_MS + is_old for is_old in old_flags]
    puts = [
        platform.Put(keys.claim("c", "s", str(number)), 0, _claim(NOW_MS - age))
        for number, age in enumerate(ages_ms)
    ]
    table.commit(platform.Transaction("t", tuple(puts)))
    after = ""
    deleted = 0
    for _ in range(1 + len(old_flags) // claim_expiry.ROWS_PER_PAGE):
        page = claim_expiry.delete_expired_page(
            table, random.Random(1), NOW_MS, after
        )
        deleted += page.deleted
        after = page.next_after
    assert after == ""
    assert deleted == sum(old_flags)
    assert len(table.scan(keys.CLAIMS).rows) == len(old_flags) - sum(old_flags)
