"""Times in which a greenlet lets no other one run."""

import dataclasses
import functools

import gevent
import pytest

from vanillaswitch.internal import loop_blocking


@dataclasses.dataclass
class _Time:
    """Clocks that move only when a test moves them."""

    wall_s: float = 100.0
    processor_s: float = 1.0

    def monotonic(self):
        return self.wall_s

    def thread_time(self):
        return self.processor_s

    def compute(self, seconds):
        self.wall_s += seconds
        self.processor_s += seconds

    def block(self, seconds):
        self.wall_s += seconds


@pytest.fixture(name="time")
def _time(monkeypatch):
    moved = _Time()
    monkeypatch.setattr(loop_blocking, "time", moved)
    return moved


def _longest(*runs):
    """Returns the longest time without a switch while some greenlets run."""
    monitor = loop_blocking.BlockingMonitor()
    with monitor.running():
        gevent.joinall([gevent.spawn(run) for run in runs], raise_error=True)
    return monitor.take()


def test_the_greenlet_that_blocks_the_longest_is_named(time):
    def plan():
        time.compute(0.2)

    def answer():
        time.compute(0.01)

    found = _longest(answer, functools.partial(plan), answer)
    assert found.function.endswith("plan")
    assert found.wall_s == pytest.approx(0.2)
    assert found.processor_s == pytest.approx(0.2)


def test_time_in_which_others_may_run_is_not_counted(time):
    def compute_in_parts():
        for _ in range(10):
            time.compute(0.02)
            gevent.sleep(0)

    assert _longest(compute_in_parts).wall_s == pytest.approx(0.02)


def test_a_taken_processor_is_told_from_long_computations(time):
    """Guards against blaming the program for what a full machine does."""
    found = _longest(lambda: time.block(0.3))
    assert found.wall_s == pytest.approx(0.3)
    assert found.processor_s == 0.0


def test_short_times_are_not_recorded(time):
    assert _longest(lambda: time.compute(0.001)) is None


def test_a_taken_time_is_forgotten(time):
    monitor = loop_blocking.BlockingMonitor()
    with monitor.running():
        gevent.spawn(time.compute, 0.1).join()
        assert monitor.take() is not None
        assert monitor.take() is None
