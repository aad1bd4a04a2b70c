"""What a process tells of its own use of the machine."""

from tests.common import clocks
from vanillaswitch.coordination.fleet import events
from vanillaswitch.internal import usage
from vanillaswitch.wiring import edge


def _told(calls=(), late_s=0.0):
    clock = clocks.ManualClock()
    meter = usage.Meter(clock.monotonic())
    for sent, received in calls:
        meter.called(sent, received)
    meter.woken(late_s)
    clock.advance(edge.USAGE_S)
    told = []
    edge._tell_usage(meter.take(clock.monotonic()), told.append)
    return told


def test_a_calm_process_tells_nothing():
    assert not _told([(100, 100)], late_s=0.001)


def test_a_full_link_shows_as_bytes_with_timers_in_time():
    told = _told([(1_000, 400_000), (2_000, None)], late_s=0.006)
    assert told == [events.Usage(2000, 6, 2, 1, 3, 400)]


def test_a_busy_processor_shows_as_late_timers():
    assert [event.late_ms for event in _told(late_s=0.25)] == [250]


def test_a_period_begins_with_nothing():
    meter = usage.Meter(0.0)
    meter.called(10, 10)
    meter.woken(1.0)
    meter.take(2.0)
    assert meter.take(5.0) == usage.Period(3.0, 0, 0, 0, 0, 0.0)
