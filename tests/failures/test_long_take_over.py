"""Taking over a fleet with many jobs takes a while."""

from tests.common import clocks
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.internal import clock as system_clock
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform


class _Table:
    """Accepts every commit."""

    def __init__(self):
        self.commits = 0

    def commit(self, transaction):
        del transaction
        self.commits += 1
        return platform.Committed(self.commits)


def test_an_owner_that_loads_its_rows_does_not_step_down():
    """Guards against idle seconds after a failure on a large site.

    Each new owner loads thousands of rows. Asked meanwhile whether its term is
    over it said yes, as it did not serve yet. The next owner did so too.
    """
    clock = clocks.ManualClock()
    candidate = ownership_terms.candidate(_Table(), clock)
    writer = fenced_writer.FencedWriter(
        candidate._dependencies.table,
        clock,
        fenced_writer.OwnerRow("e", "a", "boot-1"),
    )
    writer.take_over(0, 0.0)
    candidate._writer = writer
    assert not candidate.step_down_if_stale(1.0)
    clock.advance(1.5)
    assert candidate.step_down_if_stale(1.0)
    assert writer.is_term_over


class _SlowFeed:
    """Empty tables that take a while to be read."""

    def __init__(self, clock):
        self._clock = clock

    def snapshot(self, table, parts=()):
        del table, parts
        self._clock.sleep(0.3)
        return change_feeds.Snapshot((), 1)

    def changes(self, table, after, wait_s):
        del table
        self._clock.sleep(wait_s)
        return change_feeds.ChangeBatch((), after)


def test_the_lease_is_renewed_while_rows_are_loaded():
    """Guards against an owner that is replaced while it loads its rows."""
    clock = system_clock.SystemClock()
    table = _Table()
    owner = ownership_terms.begin_term(table, _SlowFeed(clock), clock)
    before = table.commits
    assert owner.load()
    assert table.commits - before >= 4


def test_the_lease_is_renewed_as_an_owner_begins_to_serve():
    """Guards against a slow owner that is replaced during its first plan."""
    clock = system_clock.SystemClock()
    table = _Table()
    owner = ownership_terms.begin_term(table, _SlowFeed(clock), clock)
    assert owner.load()
    before = table.commits
    with owner.serving():
        clock.sleep(owner_monitor.RENEW_INTERVAL_S / 2)
        assert table.commits > before
