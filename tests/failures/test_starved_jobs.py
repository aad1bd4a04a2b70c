"""Jobs that wait longest while a backlog is worked off."""

import pytest

from tests.common import backlog_simulation

POOL = "quotes"
INSTANCES = 6
BURST_S = 8.0
JOBS_PER_S = 16.0
"""About twice what the instances can run."""
TRICKLE_S = 1.0
"""Time between two jobs after the burst."""
OBJECTIVE_S = 1.7
LONGEST_VALUE_S = 3 * OBJECTIVE_S
MAX_WAIT_S = 3.0
"""How long a job that could run may have no running task."""


def _simulate_burst(speed):
    """Simulates a burst beyond the capacity and a few jobs after it.

    Every tenth job is large, the first one too.
    """
    simulation = backlog_simulation.Simulation(speed, {POOL: INSTANCES})
    for number in range(int(BURST_S * JOBS_PER_S)):
        count, cpu = (15, 4400) if number % 10 == 0 else (8, 2300)
        simulation.submit(number / JOBS_PER_S, POOL, count, cpu, 0.64)
    for number in range(20):
        at = BURST_S + number * TRICKLE_S
        simulation.submit(at, POOL, 8, 2300, 0.64)
    return simulation


@pytest.mark.parametrize("write_s", [0.02, 0.15])
def test_in_a_backlog_the_oldest_job_is_not_passed_over(write_s):
    """Guards against accepted jobs that don't run until a backlog is gone.

    Once no job of a backlog has any value left, the one whose client has
    waited longest goes on first. With the youngest first, the oldest jobs did
    not run for the whole rest of the backlog.
    """
    speed = backlog_simulation.OwnerSpeed(write_s=write_s)
    simulation = _simulate_burst(speed)
    simulation.run_until(BURST_S + LONGEST_VALUE_S)
    for _ in range(3):
        oldest = simulation.unfinished[0]
        started = oldest.started
        simulation.run_until(simulation.now + MAX_WAIT_S)
        assert oldest.started > started or oldest.ended_at is not None
