"""Calls that extend the lease of an incarnation they were not sent to."""

import dataclasses

import pytest

from standins import leased_instance
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_NAME = "i-1"
_TASK = jobs.TaskName("1", 0, 0, 0)
_LEASE_MS = round(lease_times.RUN_LEASE_S * 1000)
_FAR_MS = 10**9
"""A deadline on the clock of a former incarnation, which was up for long."""


@pytest.mark.parametrize("removed", [False, True])
@pytest.mark.parametrize("registered_s_before", [0.0, 1.5])
def test_a_lease_that_a_late_call_extended_is_waited_for(
    removed, registered_s_before
):
    """Guards against a second run beside one whose lease is still valid.

    The instance shortens a lease with a deadline on the clock of its former
    incarnation to the longest one that it grants.
    """
    model = leased_instance.LeasedInstance(
        dataclasses.replace(fleet_builders.registration(_NAME), born_ms=1)
    )
    scheduler = fleet_builders.new_scheduler()

    def report(token, now):
        answer = model.renew_lease(token, 0, None)
        scheduler.handle_status_report(_NAME, answer, now - 0.01, now)

    scheduler.handle_registration(model.registration, 1.0)
    report(1, 1.0)
    model.restart(2)
    now = 5.0
    if removed:
        scheduler.remove_instance(_NAME, 2.0, "no machine runs it")
    scheduler.handle_registration(model.registration, now - registered_s_before)
    model.renew_lease(1, 0, _FAR_MS)
    report(2, now)
    start = fleet.StartRequest(_TASK, 1, "", "", 2, _LEASE_MS)
    model.start(start, fleet.Resources(1, 0))
    instance = scheduler.instances[_NAME]
    while not instance.is_lease_expired(now):
        now += 0.1
        model.advance(98.0)  # its clock is 2% slow
    assert not model.running
