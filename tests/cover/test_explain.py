"""Tests decision records."""

from vanillaswitch.coordination.maintenance import explain
from vanillaswitch.protocol import platform


def decision(number: int) -> explain.Decision:
    return explain.Decision(
        "wave/kernel", f"cause {number}", "rule", {}, "duty", float(number)
    )


def test_a_row_keeps_the_latest_decisions_of_its_subject():
    decisions = [decision(number) for number in range(explain.MAX_DECISIONS)]
    (first,) = explain.puts(decisions, ())
    row = platform.Row(first.key, 7, first.value, "token")
    (second,) = explain.puts([decision(explain.MAX_DECISIONS)], (row,))
    kept = explain.history(
        platform.Row(second.key, 8, second.value, "")
    ).entries
    assert second.version == 7
    assert [entry.wall_s for entry in kept] == list(
        range(1, explain.MAX_DECISIONS + 1)
    )


def test_a_missing_row_has_an_empty_history():
    assert explain.history(None).entries == ()
