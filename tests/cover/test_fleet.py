"""Instances and workers of the stand-in platform."""

import json

import pytest

from standins import control
from standins import fleet as fleet_module
from standins import minion
from tests.common import clocks
from tests.common import platforms
from vanillaswitch.protocol import platform

MINION = "berthing-1"
WORKER = "worker-1"


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def standin(clock):
    return fleet_module.MemoryPlatform(platforms.FLEET, clock)


def listed(standin):
    return {
        one.instance: one.state for one in standin.instances.list().instances
    }


def start(standin, operation, job="quotes"):
    spec = platform.TaskSpec(operation, job, operation, 2.0, 512, 0, 1e6)
    return standin.workers.start(WORKER, spec)


def states(standin):
    return [one.state for one in standin.workers.reports()]


def test_a_drain_ends_when_nothing_is_in_flight(standin):
    standin.instances.set_in_flight(MINION, 1)
    standin.instances.drain(MINION, "d")
    assert standin.instances.phase(MINION) is platform.MaintenancePhase.DRAINING
    standin.instances.set_in_flight(MINION, 0)
    assert standin.instances.phase(MINION) is platform.MaintenancePhase.DRAINED
    assert standin.instances.reboots_in_use == 0


def test_a_running_task_keeps_its_worker_draining(standin):
    start(standin, "op")
    standin.instances.drain(WORKER, "d")
    assert standin.instances.phase(WORKER) is platform.MaintenancePhase.DRAINING
    assert isinstance(start(standin, "late"), platform.Unavailable)
    standin.workers.stop(WORKER, "op")
    assert standin.instances.phase(WORKER) is platform.MaintenancePhase.DRAINED


def test_the_list_lags_behind_what_is_true(standin, clock):
    standin.instances.kill(MINION)
    standin.instances.leave(WORKER)
    assert listed(standin)[MINION] is platform.ListedState.LIVE
    clock.advance(platforms.FLEET.lag_s)
    assert listed(standin) == {WORKER: platform.ListedState.LEAVING}


def test_a_frozen_instance_takes_late_what_it_was_asked(standin):
    standin.instances.freeze(MINION)
    outcome = standin.instances.drain(MINION, "d")
    assert isinstance(outcome, platform.OutcomeUnknown)
    assert standin.instances.status([MINION]) == ()
    standin.instances.thaw(MINION)
    (status,) = standin.instances.status([MINION])
    assert (status.phase, status.operation) == (
        platform.MaintenancePhase.DRAINED,
        "d",
    )


def test_an_instance_may_fail_to_return_from_a_reboot(standin, clock):
    standin.instances.fail_to_return(MINION)
    standin.instances.reboot(MINION, "r")
    clock.advance(platforms.FLEET.reboot_s)
    (status,) = standin.instances.status([MINION])
    assert (status.phase, status.boots) == (platform.MaintenancePhase.DOWN, 1)


def test_an_instance_that_vanished_is_missing(standin):
    standin.instances.kill(MINION, vanish=True)
    assert standin.instances.drain(MINION, "d") == platform.Missing()
    assert standin.instances.status([MINION]) == ()


def test_a_reboot_cuts_off_tasks_and_is_counted(standin, clock):
    start(standin, "op")
    standin.instances.reboot(WORKER, "r")
    assert standin.instances.reboots_in_use == 1
    clock.advance(platforms.FLEET.reboot_s)
    assert states(standin) == [platform.ReportedTaskState.FAILED]


def test_real_usage_differs_from_declared_and_comes_late(standin, clock):
    standin.workers.usage_factor["quotes"] = 1.5
    start(standin, "op")
    assert standin.workers.reports() == ()
    clock.advance(platforms.FLEET.lag_s)
    (report,) = standin.workers.reports()
    assert (report.cores_used, report.memory_mb_used) == (3.0, 768)


def test_tasks_finish_and_fail_as_they_were_told_to(standin, clock):
    standin.workers.run_time_s["short"] = 5.0
    standin.workers.failing_jobs.add("broken")
    for operation, job in (("a", "short"), ("b", "broken"), ("a", "short")):
        assert start(standin, operation, job) == platform.Done()
    standin.workers.failing_workers.add(WORKER)
    start(standin, "c")
    clock.advance(5.0 + platforms.FLEET.lag_s)
    assert states(standin) == [
        platform.ReportedTaskState.FINISHED,
        platform.ReportedTaskState.FAILED,
        platform.ReportedTaskState.FAILED,
    ]


def test_a_minion_shows_that_it_leaves_while_it_is_drained(clock):
    with minion.run_minion() as running:
        controls = control.MinionControls({MINION: running.address})
        standin = fleet_module.MemoryPlatform(
            platforms.FLEET, clock, controls.on_phase
        )
        standin.instances.add_load(controls.in_flight)
        standin.instances.drain(MINION, "d")
        assert running.switches.now.leaving
        standin.instances.resume(MINION, "s")
        assert not running.switches.now.leaving


def test_a_minion_that_is_gone_is_drained_at_once(clock):
    with minion.run_minion() as running:
        controls = control.MinionControls({MINION: running.address})
    standin = fleet_module.MemoryPlatform(
        platforms.FLEET, clock, controls.on_phase
    )
    standin.instances.add_load(controls.in_flight)
    standin.instances.drain(MINION, "d")
    assert standin.instances.phase(MINION) is platform.MaintenancePhase.DRAINED


def test_a_fleet_is_read_from_a_file(tmp_path):
    listing = {
        "instance": "entry-1",
        "kind": "entry",
        "state": "live",
        "data_centre": "hall-recife",
        "rack": "r1",
    }
    file = tmp_path / "fleet.json"
    file.write_text(json.dumps({"members": [{"listing": listing}]}))
    (member,) = fleet_module.load(file).members
    assert member.listing.kind is platform.InstanceKind.ENTRY
