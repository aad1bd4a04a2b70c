"""Calls for advice: bursts, long calls, and a service with faults."""

import contextlib

import gevent
import pytest

from tests.common import advised_fleet
from vanillaswitch.protocol import fleet

_ADVICE = fleet.AdvisorConfig(
    decision_ms=40.0, period_ms=4.0, validity_ms=3000.0
)


@pytest.mark.parametrize(
    ("instances", "jobs", "slowdown"),
    [(30, 20, 1.0), (30, 80, 1.0), (100, 40, 1.0), (10, 40, 3.0)],
)
def test_a_burst_on_an_advised_queue_runs(tmp_path, instances, jobs, slowdown):
    """No job of a burst started once calls for advice were given up in turn."""
    with advised_fleet.running(tmp_path, instances, _ADVICE) as advised:
        advised.advice.slowdown = slowdown
        for _ in range(jobs):
            advised.submit()
        assert len(advised.accepted) == jobs
        assert not advised.unfinished()


@contextlib.contextmanager
def _slow(service):
    service.slowdown = 12.0
    yield
    service.slowdown = 1.0


@contextlib.contextmanager
def _stuck(service):
    service.is_stuck = True
    yield
    service.is_stuck = False


@contextlib.contextmanager
def _silent(service):
    service.loses_answers = True
    yield
    service.loses_answers = False


@contextlib.contextmanager
def _away(service):
    with service.away():
        yield


@pytest.mark.parametrize("fault", [_slow, _stuck, _silent, _away])
def test_jobs_run_once_the_advice_service_is_back(tmp_path, fault):
    """Calls that were given up kept the service busy after its fault."""
    with advised_fleet.running(tmp_path, 30, _ADVICE) as advised:
        advised.submit_steadily(2.0, 1.0)
        traffic = gevent.spawn(advised.submit_steadily, 4.0, 6.0)
        with fault(advised.advice):
            gevent.sleep(5.0)
        traffic.join()
        assert len(advised.accepted) == 26
        assert not advised.unfinished()
