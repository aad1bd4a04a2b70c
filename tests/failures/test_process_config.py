"""Configurations that reach real processes, whatever fails meanwhile."""

import collections
import contextlib

import gevent
import pytest

from standins import relays
from tests.common import control_deployments as control_lib
from tests.common import deployments

URGENT = "urgent-closing"
PATIENT = "patient-closing"


@pytest.fixture(scope="module")
def place(tmp_path_factory):
    return tmp_path_factory.mktemp("config")


@pytest.fixture(scope="module")
def control(place):
    config = control_lib.refined(place / "config")
    with control_lib.run(place, config, entries=2, controllers=2) as made:
        yield made


@pytest.fixture
def change(control, place):
    """Applies an operator's own copy of the example, with parts refined."""

    def apply(started_from, author="ana", **parts):
        folder = place / f"{started_from}-{author}"
        control_lib.refined(folder, **parts)
        arguments = ("--from", str(started_from), "--author", author)
        return control.operate("config", "apply", str(folder), *arguments)

    return apply


@contextlib.contextmanager
def watched(processes):
    """Yields the numbers with which each process was ever seen ready.

    The numbers that a process says may never fall.
    """
    seen = collections.defaultdict(list)
    ready = collections.defaultdict(set)

    def watch():
        while True:
            for process in processes:
                said = process.page("ready")
                found = said.get("config", number(process))
                seen[process.name].append(found)
                if said["ready"]:
                    ready[process.name].add(found)

    watching = gevent.spawn(watch)
    try:
        yield ready
        assert not watching.dead
    finally:
        watching.kill()
    for name, numbers in seen.items():
        assert numbers == sorted(numbers), name


def number(process):
    return process.page("counters")["config.number"]


def test_a_change_reaches_all_when_the_table_goes_down_behind_it(
    control, change
):
    """Prices change; half of the processes never see the table again.

    Two processes are cut from the platform. One of the others has taken the
    change when the table goes down: all others get it from peers. A process
    that starts meanwhile is not ready before it has the change.
    """
    running = control.running
    before = control.config_number
    with relays.run(running.platform) as relay:
        cut = [
            running.start_entry("entry-cut", platform=relay.address),
            running.start_controller("controller-cut", platform=relay.address),
        ]
        near = [running.entries["entry-1"], running.controllers["controller-1"]]
        running.wait_ready()
        processes = [*near, *cut]
        with watched(processes) as ready:
            relay.cut()
            code, output = change(before, policies={"retry_ratio": 0.07})
            assert code == 0, output
            deployments.wait_until(
                lambda: any(number(p) > before for p in near)
            )
            with control.outage(near):
                late = running.start_controller("controller-late")
                processes.append(late)
                deployments.wait_until(
                    lambda: all(number(p) == before + 1 for p in processes)
                )
            deployments.wait_until(lambda: ready[late.name])
        assert ready[late.name] == {before + 1}
        for process in cut:
            process.kill()


def test_of_two_operators_one_is_told_what_the_other_changed(control, change):
    """Two operators apply at once; the slower one must not undo the other.

    Both started from the same number. One is accepted, the other gets exit
    code 1 and the field that was changed; the processes take one number.
    """
    before = control.config_number
    told = deployments.results(
        [
            gevent.spawn(change, before, "ana", policies={"retry_ratio": 0.03}),
            gevent.spawn(
                change, before, "rui", policies={"drain_poll_ms": 900}
            ),
        ]
    )
    assert sorted(code for code, _ in told) == [0, 1]
    (refused,) = [output for code, output in told if code]
    assert "policies." in refused
    assert f"version {before + 1} is in force" in refused
    processes = control.running.entries.values()
    deployments.wait_until(
        lambda: {number(p) for p in processes if p.running} == {before + 1}
    )


def test_urgent_tasks_start_before_all_others_that_came_with_them(
    control, change
):
    """A harbour closes an account before a ship sails, in a busy hour.

    Two jobs come with one change, the patient one named first and with more
    tasks. All urgent tasks run on workers before any patient one is seen to.
    """
    job = {"pool": "clearance", "team": "ledger", "cores": 1.0}
    jobs = {
        PATIENT: {**job, "tasks": 40, "memory_mb": 256},
        URGENT: {**job, "tasks": 6, "memory_mb": 256, "urgent": True},
    }
    before = control.config_number
    code, output = change(before, jobs=jobs)
    assert code == 0, output
    deployments.wait_until(lambda: len(control.started(URGENT)) == 6)
    urgent = control.started(URGENT)
    deployments.wait_until(lambda: control.started(PATIENT))
    patient = control.started(PATIENT)
    assert max(urgent) < min(patient)
