"""The table in memory keeps the promises of ``platform.Table``."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from standins import faults
from standins import table as table_module
from tests.common import clocks
from vanillaswitch import errors
from vanillaswitch.protocol import platform

KEYS = st.sampled_from(["a/1", "a/2", "b/1"])
VALUES = st.none() | st.fixed_dictionaries({"n": st.integers(0, 3)})
# True expects the row's version as it is, False one that was never current.
PUTS = st.dictionaries(KEYS, st.tuples(VALUES, st.booleans()), max_size=3)
CHECKS = st.dictionaries(KEYS, st.booleans(), max_size=3)


def version(table, key):
    rows = table.read([key]).rows
    return rows[0].version if rows else platform.ABSENT


def transaction(table, token, puts, checks):
    def expected(key, current):
        return version(table, key) if current else 999

    return platform.Transaction(
        token,
        tuple(
            platform.Put(key, expected(key, current), value)
            for key, (value, current) in puts.items()
        ),
        tuple(
            platform.Check(key, expected(key, current))
            for key, current in checks.items()
        ),
    )


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(PUTS, CHECKS), max_size=12))
def test_a_transaction_happens_as_a_whole_or_not_at_all(steps):
    table = table_module.MemoryTable()
    last = platform.ABSENT
    for number, (puts, checks) in enumerate(steps):
        before = table.scan("")
        wanted = transaction(table, f"t{number}", puts, checks)
        outcome = table.commit(wanted)
        current = all(is_current for _, is_current in puts.values())
        if not (current and all(checks.values())):
            assert isinstance(outcome, platform.Conflict)
            assert table.scan("") == before
            continue
        assert outcome.version > last
        last = outcome.version
        for key, (value, _) in puts.items():
            expected = value and platform.Row(key, last, value, f"t{number}")
            assert table.read([key]).rows == ((expected,) if value else ())
        after = table.scan("")
        assert table.commit(wanted) == outcome
        assert table.scan("") == after


def test_scan_finds_a_prefix_in_order_of_keys():
    table = table_module.MemoryTable()
    puts = [platform.Put(key, 0, {}) for key in ("b/1", "a/2", "a/1")]
    table.commit(platform.Transaction("t", tuple(puts)))
    assert [row.key for row in table.scan("a/").rows] == ["a/1", "a/2"]
    assert table.rows_written == 3


def test_pages_of_a_scan_bring_each_row_once():
    table = table_module.MemoryTable()
    puts = [platform.Put(f"a/{number}", 0, {}) for number in range(5)]
    table.commit(platform.Transaction("t", tuple(puts)))
    first = table.scan("a/", limit=2).rows
    second = table.scan("a/", first[-1].key, 2).rows
    third = table.scan("a/", second[-1].key, 2).rows
    assert first + second + third == table.scan("a/").rows


def test_a_token_with_other_content_breaks_an_invariant():
    table = table_module.MemoryTable()
    first = platform.Transaction("t", (platform.Put("a", 0, {}),))
    table.commit(first)
    other = dataclasses.replace(first, puts=(platform.Put("b", 0, {}),))
    with pytest.raises(errors.InvariantError):
        table.commit(other)


def test_a_row_put_twice_in_one_transaction_breaks_an_invariant():
    puts = (platform.Put("a", 0, {"n": 1}), platform.Put("a", 0, {"n": 2}))
    with pytest.raises(errors.InvariantError):
        table_module.MemoryTable().commit(platform.Transaction("t", puts))


def test_a_conflict_shows_the_rows_as_they_are():
    table = table_module.MemoryTable()
    table.commit(platform.Transaction("t", (platform.Put("a", 0, {"n": 1}),)))
    outcome = table.commit(
        platform.Transaction(
            "u", (platform.Put("a", 0, {}),), (platform.Check("gone", 7),)
        )
    )
    assert outcome == platform.Conflict(
        (platform.Row("a", 1, {"n": 1}, "t"), platform.Row("gone", 0, {}, ""))
    )


def test_slowness_is_spent_on_the_clock_that_was_handed_in():
    clock = clocks.ManualClock(monotonic=0.0)
    switches = faults.Faults(clock)
    switches.slow_s = 5.0
    table_module.MemoryTable(switches).read(["a"])
    assert clock.monotonic() == 5.0
