"""Counters and histograms."""

import json

import hypothesis
from hypothesis import strategies as st

from vanillaswitch.internal import histograms
from vanillaswitch.internal import metrics


@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(-5, 10**9)), max_size=30)
)
@hypothesis.settings(max_examples=30, deadline=None)
def test_names_are_bounded_and_no_record_is_lost(records):
    found = histograms.Histograms(limit=3)
    for name, duration in records:
        found.record(str(name), duration)
    summaries = found.summaries()
    assert len(summaries) <= 4
    assert sum(each.count for each in summaries.values()) == len(records)
    for summary in summaries.values():
        assert 1 <= summary.p50_us <= summary.p99_us


def test_a_snapshot_is_plain_json():
    measured = metrics.Metrics()
    measured.counters.add("replies.answer", 2)
    measured.record("quote", "caller-1", 5000)
    snapshot = json.loads(json.dumps(measured.snapshot()))
    assert snapshot["counters"] == {"replies.answer": 2}
    assert snapshot["classes"]["quote"]["count"] == 1
    assert snapshot["callers"]["caller-1"]["count"] == 1
