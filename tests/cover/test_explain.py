"""Tests decision records."""

from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.protocol import platform


def decision(number: int) -> decision_records.Decision:
    return decision_records.Decision(
        "wave/kernel", f"cause {number}", "rule", {}, "duty", float(number)
    )


def test_a_row_keeps_the_latest_decisions_of_its_subject():
    decisions = [
        decision(number) for number in range(decision_records.MAX_DECISIONS)
    ]
    (first,) = decision_records.build_puts(decisions, ())
    row = platform.Row(first.key, 7, first.value, "token")
    (second,) = decision_records.build_puts(
        [decision(decision_records.MAX_DECISIONS)], (row,)
    )
    kept = decision_records.decode_history(
        platform.Row(second.key, 8, second.value, "")
    ).entries
    assert second.version == 7
    assert [entry.wall_s for entry in kept] == list(
        range(1, decision_records.MAX_DECISIONS + 1)
    )


def test_a_missing_row_has_an_empty_history():
    assert decision_records.decode_history(None).entries == ()
