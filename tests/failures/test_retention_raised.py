"""The retention is changed while claims are created and deleted."""

from hypothesis import given
from hypothesis import strategies as st

from tests.common import properties
from vanillaswitch.coordination.once import claim_expiry
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import rows

_LONGEST_S = config.LONGEST_RETENTION_S
_HOLDER = claim_rules.Holder("a", "boot", "127.0.0.1:1")


@properties.steady
@given(
    age_s=st.integers(0, 3 * _LONGEST_S),
    later_s=st.integers(0, _LONGEST_S),
    retention_s=st.integers(1, _LONGEST_S),
)
def test_no_deleted_claim_can_be_requested_again(age_s, later_s, retention_s):
    """Guards against a second run after the retention was raised.

    A claim is deleted under the shorter retention. Under the longer one, a
    retry of its request is young enough again, and no claim prevents the run.
    """
    now_ms = 10 * _LONGEST_S * 1000
    issued_ms = now_ms - age_s * 1000
    done = peers.ClaimState.DONE
    claim = claim_rules.make_claim_row(_HOLDER, done, "digest", issued_ms)
    row = platform.Row("once/c/s/k", 1, rows.dump(claim), "token")
    deleted = claim_expiry.expiry_deletes((row,), now_ms)
    if deleted:
        asked_ms = now_ms + later_s * 1000
        assert claim_expiry.is_too_old(issued_ms, asked_ms, retention_s)
