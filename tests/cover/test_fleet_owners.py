"""Owners of a fleet in any order of events keep their rules."""

import random

import hypothesis
import pytest

from tests.common import owner_histories

TestOwners = owner_histories.Owners.TestCase
TestOwners.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def _play(machine, events, chooser):
    """Lets events come as they are drawn, and looks at the rules each time."""
    for _ in range(300):
        chooser.choices(list(events), list(events.values()))[0]()
        machine.notes_ends()
        machine.room_is_kept()
        machine.completed_is_true()


@pytest.mark.parametrize("seed", range(60))
def test_a_busy_random_history_keeps_the_rules(seed):
    chooser = random.Random(seed)
    machine = owner_histories.Owners()
    events = owner_histories.busy_events(machine, chooser)
    _play(machine, events, chooser)


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_parts_away_keeps_the_rules(seed):
    """A job runs twice, or its end is forgotten, after a change of owner.

    The new owner can read what runs where, but not the job's own row: a part
    of the store is away. It must neither stop nor start those tasks, nor
    acknowledge their ends, until the part is back.
    """
    chooser = random.Random(seed)
    machine = owner_histories.Owners()
    events = owner_histories.busy_events(machine, chooser)
    events[lambda: machine.take_over_in_part(chooser.randrange(3))] = 1.0
    events[machine.part_is_back] = 1.0
    _play(machine, events, chooser)


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_entries_written_over_keeps_the_rules(seed):
    """A task runs twice while its instance's entry can't be read.

    The entry is written over by somebody else, and again by the instance, in
    any order with crashes, cuts and changes of owner.
    """
    chooser = random.Random(seed)
    machine = owner_histories.Owners()
    events = owner_histories.busy_events(machine, chooser)
    number = chooser.randrange
    events[lambda: machine.entry_written_over(number(1_000_000))] = 1.0
    events[lambda: machine.entry_written_again(number(1_000_000))] = 2.0
    _play(machine, events, chooser)


_BROKE_WITH_RESTARTS = (1050, 1090, 1171, 1605, 1624, 1783, 2038, 2369, 2791)
"""Seeds of histories in which a task ran twice, or after it was done: a gang
whose start the new life had accepted, and copies of starts that came late."""


@pytest.mark.parametrize("parts_away", [False, True])
@pytest.mark.parametrize("seed", [*range(30), *_BROKE_WITH_RESTARTS])
def test_a_history_with_restarts_keeps_the_rules(seed, parts_away):
    """A task runs twice after its instance started again under its id.

    The new life knows no token and no run, and the entry may tell of it before
    or after its first account.
    """
    chooser = random.Random(seed)
    machine = owner_histories.Owners()
    events = owner_histories.busy_events(machine, chooser)

    def restart():
        choice = chooser.randrange(1_000_000)
        machine.restart(choice, chooser.random() < 0.5)

    events[restart] = 1.0
    if parts_away:
        events[lambda: machine.take_over_in_part(chooser.randrange(3))] = 1.0
        events[machine.part_is_back] = 1.0
    _play(machine, events, chooser)


_BROKE_WITH_SMALL_ROOMS = (255,)
"""Seeds in which a start did not fit beside a run of unknown need."""


@pytest.mark.parametrize("parts_away", [False, True])
@pytest.mark.parametrize("seed", [*range(30), *_BROKE_WITH_SMALL_ROOMS])
def test_a_history_with_crashing_tasks_and_small_rooms_keeps_the_rules(
    seed, parts_away
):
    """Tasks crash instances without end, or start where they do not fit."""
    chooser = random.Random(seed)
    machine = owner_histories.Owners()
    events = owner_histories.busy_events(machine, chooser)

    def number():
        return chooser.randrange(1_000_000)

    kinds = len(owner_histories.STEPS)
    events[lambda: machine.submit_crashing(chooser.randrange(kinds))] = 1.0
    rooms = (1000, 2000, 4000)
    events[lambda: machine.resize(number(), chooser.choice(rooms))] = 2.0
    if parts_away:
        events[lambda: machine.restart(number(), chooser.random() < 0.5)] = 0.5
        events[lambda: machine.take_over_in_part(chooser.randrange(3))] = 1.0
        events[machine.part_is_back] = 1.0
    _play(machine, events, chooser)


def test_histories_complete_jobs_too():
    completed = 0
    for seed in range(10):
        chooser = random.Random(seed)
        machine = owner_histories.Owners()
        events = owner_histories.busy_events(machine, chooser)
        for _ in range(300):
            chooser.choices(list(events), list(events.values()))[0]()
            machine.notes_ends()
        completed += sum(
            row["ended"] == "completed" for row in machine.rows.values()
        )
    assert completed >= 10
