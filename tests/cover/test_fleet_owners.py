"""Owners of a fleet keep the safety properties in any order of events."""

import random

import hypothesis
import pytest

from tests.common import owner_histories

TestOwners = owner_histories.OwnershipMachine.TestCase
TestOwners.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


@pytest.mark.parametrize("seed", range(60))
def test_a_busy_random_history_keeps_the_safety_properties(seed):
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)
    owner_histories.play(machine, events, chooser)


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_unreadable_jobs_keeps_the_safety_properties(seed):
    """Guards against a job that runs twice, or whose end is lost.

    After a change of owner, the new owner can read which runs are where, but
    not the job's own row, as a part of the store is unavailable. It must not
    start or stop those tasks, nor acknowledge their ends, until it can read
    the row.
    """
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)
    events[lambda: machine.take_over_with_unread_jobs(chooser.randrange(3))] = (
        1.0
    )
    events[machine.read_unread_jobs] = 1.0
    owner_histories.play(machine, events, chooser)


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_overwritten_registrations_keeps_the_properties(seed):
    """Guards against a task that runs twice with an unreadable registration.

    The registration of its instance is overwritten by another writer, and
    written again by the instance, in any order with crashes, unreachable
    instances and changes of owner.
    """
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)
    number = chooser.randrange
    events[lambda: machine.registration_overwritten(number(1_000_000))] = 1.0
    events[lambda: machine.registration_rewritten(number(1_000_000))] = 2.0
    owner_histories.play(machine, events, chooser)


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_events_during_plans_keeps_the_safety_properties(seed):
    """Guards against a plan that acts on what has changed while it paused."""
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)
    beside = owner_histories.events_beside_plans(machine, chooser)

    def pause():
        if chooser.random() < 0.5:
            return False
        chooser.choices(list(beside), list(beside.values()))[0]()
        machine.record_done_tasks()
        return True

    machine.pause = pause
    owner_histories.play(machine, events, chooser)


_FAILED_WITH_RESTARTS = (1050, 1090, 1171, 1605, 1624, 1783, 2038, 2369, 2791)
"""Seeds of histories in which a task ran twice, or after it was done: a gang
whose start the new incarnation had accepted, and late copies of starts."""


@pytest.mark.parametrize("jobs_unreadable", [False, True])
@pytest.mark.parametrize("seed", [*range(30), *_FAILED_WITH_RESTARTS])
def test_a_history_with_restarts_keeps_the_safety_properties(
    seed, jobs_unreadable
):
    """Guards against a task that runs twice after its instance restarts.

    The new incarnation has the same id and knows no token and no run. Its
    registration may arrive before or after its first status report.
    """
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)

    def restart():
        choice = chooser.randrange(1_000_000)
        machine.restart(choice, chooser.random() < 0.5)

    events[restart] = 1.0
    if jobs_unreadable:
        events[
            lambda: machine.take_over_with_unread_jobs(chooser.randrange(3))
        ] = 1.0
        events[machine.read_unread_jobs] = 1.0
    owner_histories.play(machine, events, chooser)


_FAILED_WITH_SMALL_CAPACITIES = (255,)
"""Seeds of histories in which a start did not fit beside a run of unknown
need."""


@pytest.mark.parametrize("jobs_unreadable", [False, True])
@pytest.mark.parametrize("seed", [*range(30), *_FAILED_WITH_SMALL_CAPACITIES])
def test_a_history_with_crashes_and_small_capacities_keeps_the_properties(
    seed, jobs_unreadable
):
    """Guards against endless crashes and against starts that do not fit."""
    chooser = random.Random(seed)
    machine = owner_histories.OwnershipMachine()
    events = owner_histories.busy_events(machine, chooser)

    def number():
        return chooser.randrange(1_000_000)

    kinds = len(owner_histories.STEPS)
    events[lambda: machine.submit_crashing(chooser.randrange(kinds))] = 1.0
    capacities_cpu = (1000, 2000, 4000)
    events[
        lambda: machine.change_capacity(
            number(), chooser.choice(capacities_cpu)
        )
    ] = 2.0
    if jobs_unreadable:
        events[lambda: machine.restart(number(), chooser.random() < 0.5)] = 0.5
        events[
            lambda: machine.take_over_with_unread_jobs(chooser.randrange(3))
        ] = 1.0
        events[machine.read_unread_jobs] = 1.0
    owner_histories.play(machine, events, chooser)


def test_busy_random_histories_complete_jobs():
    completed = 0
    for seed in range(10):
        chooser = random.Random(seed)
        machine = owner_histories.OwnershipMachine()
        events = owner_histories.busy_events(machine, chooser)
        for _ in range(300):
            chooser.choices(list(events), list(events.values()))[0]()
            machine.record_done_tasks()
        completed += sum(
            row["ended"] == "completed" for row in machine.rows.values()
        )
    assert completed >= 10
