"""Log events about the resource usage of a process."""

from tests.common import clocks
from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import usage
from vanillaswitch.wiring import edge


def _usage_events(calls=(), late_s=0.0):
    """Returns the events of one period.

    Args:
        calls: bytes sent and received by each call, and truncated ones.
        late_s: delay of the latest timer.
    """
    clock = clocks.ManualClock()
    meter = usage.Meter(clock.monotonic())
    for call in calls:
        meter.called(*call)
    meter.woken(late_s)
    clock.advance(edge.USAGE_S)
    emitted = []
    edge._tell_usage(meter.take(clock.monotonic()), emitted.append)
    return emitted


def test_an_idle_process_emits_no_usage_event():
    assert not _usage_events([(100, 100)], late_s=0.001)


def test_a_saturated_link_shows_as_many_bytes_with_punctual_timers():
    emitted = _usage_events([(1_000, 400_000), (2_000, None)], late_s=0.006)
    assert emitted == [events.Usage(2000, 6, 2, 1, 3, 400)]


def test_bytes_of_truncated_answers_show_on_a_saturated_link():
    """Guards against a full link that the log presents as an idle one."""
    emitted = _usage_events([(0, None, 900_000)], late_s=0.001)
    assert emitted == [events.Usage(2000, 1, 1, 1, 0, 900)]


def test_a_saturated_processor_shows_as_late_timers():
    assert [event.late_ms for event in _usage_events(late_s=0.25)] == [250]


def test_each_period_starts_at_zero():
    meter = usage.Meter(0.0)
    meter.called(10, 10)
    meter.woken(1.0)
    meter.take(2.0)
    assert meter.take(5.0) == usage.Period(3.0, 0, 0, 0, 0, 0.0)
