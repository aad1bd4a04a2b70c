"""Tests of session leases: they expire before the holder counts as dead."""

from hypothesis import given
from hypothesis import strategies as st

from vanillaswitch.coordination.control import session_leases
from vanillaswitch.protocol import platform
from vanillaswitch.state import rows

TERM = 3.0
SESSION = rows.Session("boot", "127.0.0.1:1", "dc", 0)
TIMES = st.floats(0, 20)


def row(version: int) -> platform.Row:
    return platform.Row("session/a", version, rows.dump(SESSION), "t")


@given(sent=TIMES, delay=TIMES, reads=st.lists(st.tuples(TIMES, TIMES)))
def test_a_lease_expires_before_a_watcher_considers_its_holder_dead(
    sent: float, delay: float, reads: list[tuple[float, float]]
) -> None:
    lease, _ = session_leases.prepare_renewal(
        session_leases.Lease(SESSION), "a"
    )
    lease = session_leases.apply_renewal(
        lease, platform.Committed(7), sent, TERM
    )
    watch, now = session_leases.Watch(), sent + delay
    for pause, duration in reads:
        sent_at, now = now + pause, now + pause + duration
        watch = session_leases.observe(watch, [row(7)], sent_at, now, TERM)
        if "a" not in session_leases.live_controllers(watch, TERM):
            assert not lease.is_held(sent_at)
        now += 0.001


def test_a_session_without_renewals_is_dead_after_the_term() -> None:
    watch = session_leases.Watch()
    for tick in range(6):
        watch = session_leases.observe(watch, [row(7)], tick, tick, TERM)
    assert session_leases.live_controllers(watch, TERM) == {}


def test_a_renewed_term_starts_before_the_renewal_is_sent() -> None:
    lease = session_leases.apply_renewal(
        session_leases.Lease(SESSION), platform.Committed(1), 10.0, TERM
    )
    assert lease.is_held(12.9)
    assert not lease.is_held(13.0)


def test_a_renewal_with_unknown_outcome_does_not_extend_the_lease() -> None:
    lease = session_leases.Lease(SESSION, version=1, expires_at=13.0)
    unknown = platform.OutcomeUnknown("lost")
    assert session_leases.apply_renewal(lease, unknown, 12.0, TERM) == lease


def test_a_lease_is_superseded_when_another_start_takes_its_row() -> None:
    other = platform.Row(
        "session/a", 9, {**rows.dump(SESSION), "boot": "x"}, ""
    )
    lease = session_leases.Lease(SESSION, version=1, expires_at=13.0)
    lease = session_leases.apply_renewal(
        lease, platform.Conflict((other,)), 12.0, TERM
    )
    assert lease.superseded
    assert not lease.is_held(12.1)
