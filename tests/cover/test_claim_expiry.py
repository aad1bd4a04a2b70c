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

KEPT_MS = (config.LONGEST_RETENTION_S + claim_expiry.CLOCK_MARGIN_S) * 1000
NOW_MS = 2 * KEPT_MS


def _claim(issued_ms):
    return rows.dump(
        rows.Claim(peers.ClaimState.DONE, "e", "b", "p", "d", issued_ms)
    )


@given(st.lists(st.booleans(), max_size=600))
def test_page_by_page_the_old_claims_go_and_the_others_stay(old):
    table = table_module.MemoryTable()
    ages_ms = [KEPT_MS + one for one in old]
    puts = [
        platform.Put(keys.claim("c", "s", str(number)), 0, _claim(NOW_MS - age))
        for number, age in enumerate(ages_ms)
    ]
    table.commit(platform.Transaction("t", tuple(puts)))
    after = ""
    deleted = 0
    for _ in range(1 + len(old) // claim_expiry.ROWS_PER_PAGE):
        page = claim_expiry.delete_expired_page(
            table, random.Random(1), NOW_MS, after
        )
        deleted += page.deleted
        after = page.next_after
    assert after == ""
    assert deleted == sum(old)
    assert len(table.scan(keys.CLAIMS).rows) == len(old) - sum(old)
