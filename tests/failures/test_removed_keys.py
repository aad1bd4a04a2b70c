"""API keys that were removed while a machine could not learn of it."""

from tests.common import account_calls
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform

MARE, SAHEL = account_calls.MARE, account_calls.SAHEL


def test_removed_key_is_denied_as_soon_as_the_removal_is_read():
    """Guards against a removed key that works until the process restarts."""
    calls = account_calls.Calls()
    calls.configure({"mare": [], "sahel": [SAHEL]})
    assert calls.submit(MARE).status == 401
    assert calls.submit(SAHEL).status == 200


def test_machine_cut_off_from_the_store_stops_accepting_keys_in_time():
    """Guards against a cut-off machine that serves a removed key for good."""
    calls = account_calls.Calls()
    calls.clock.advance(account_calls.REVOCATION_S)
    for reply in (calls.submit(MARE), calls.state(MARE), calls.cancel(MARE)):
        assert (reply.status, reply.code) == (503, "keys-unconfirmed")
        assert reply.retry_after_s
    assert not calls.table.rows
    public = calls.call("POST", account_calls.JOB_ID, (), prefix="/p/")
    assert public.status == 200


def test_unreadable_configuration_stops_keys_after_the_same_time():
    """Guards against a removal in a configuration that can't be read."""
    calls = account_calls.Calls()
    calls.apply({"version": "not a number"})
    calls.operators.on_current(calls.clock.monotonic())
    calls.clock.advance(account_calls.REVOCATION_S)
    calls.operators.on_current(calls.clock.monotonic())
    assert calls.submit(MARE).status == 503
    calls.configure({"mare": [MARE]})
    assert calls.submit(MARE).status == 200


def test_older_configuration_that_arrives_late_restores_no_key():
    """Guards against a removed key that an old answer brings back."""
    calls = account_calls.Calls()
    old = account_calls.config_document(
        [{"name": "mare", "api_keys": [MARE]}], version=1
    )
    calls.configure({"mare": [], "sahel": [SAHEL]})
    calls.apply(old)
    assert calls.submit(MARE).status == 401


class _SlowFeed:
    """A feed whose answers take some seconds to arrive."""

    def __init__(self, clock, outcomes):
        self._clock = clock
        self._outcomes = outcomes

    def snapshot(self, table, partitions=None):
        del table, partitions
        self._clock.advance(2.0)
        return self._outcomes.pop(0)

    def changes(self, table, version, wait_s):
        del table, version, wait_s
        self._clock.advance(2.0)
        return self._outcomes.pop(0)


def test_age_of_the_configuration_counts_from_when_its_read_was_sent():
    """Guards against a slow answer that is taken for the state on arrival."""
    calls = account_calls.Calls()
    snapshot = change_feeds.Snapshot((), 1)
    no_changes = change_feeds.ChangeBatch((), 1)
    unavailable = platform.Unavailable("status 503")
    feed = _SlowFeed(calls.clock, [snapshot, no_changes, unavailable])
    times = []
    follower = table_follower.Follower(
        feed,
        "op",
        calls.clock,
        lambda _: None,
        lambda _: None,
        lambda _: None,
        on_current=times.append,
    )
    began_at = calls.clock.monotonic()
    for _ in range(3):
        follower._poll()
    assert [time - began_at for time in times] == [0.0, 2.0]
