"""Plans for so much work that they take long."""

import random
import sys

import gevent
import pytest

from tests.common import clocks as manual
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.internal import time_slices
from vanillaswitch.protocol import jobs

_NAMES = tuple(f"i-{number}" for number in range(20))


class _Calls:
    """Counts calls, also of built-in functions, between two pauses."""

    def __init__(self):
        self._now = 0
        self.most = 0

    def pause(self):
        self.most = max(self.most, self._now)
        self._now = 0
        return False

    def count(self, operation):
        sys.setprofile(self._on_call)
        try:
            operation()
        finally:
            sys.setprofile(None)
        self.pause()
        return self.most

    def _on_call(self, frame, event, argument):
        del frame, argument
        self._now += event in ("call", "c_call")


def _scheduler(*waiting, cpu=16_000):
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES, cpu=cpu)
    for number, step in enumerate(waiting, 1):
        scheduler.add_job(fleet_builders.job(number, (step,)), 0.0)
    return scheduler


def _most_calls_between_pauses(scheduler):
    calls = _Calls()
    return calls.count(
        lambda: scheduler.plan(1.0, fleet_builders.WALL_MS, calls.pause)
    )


@pytest.mark.parametrize(
    "step",
    [
        jobs.Step(count=2, cpu=1000),
        jobs.Step(count=30, cpu=4000, gang=True),
        jobs.Step(count=10_000, cpu=1000),
    ],
    ids=["small", "gang", "wide"],
)
def test_the_time_between_two_pauses_does_not_grow_with_the_jobs(step):
    """Guards against an owner whose lease times out while it plans.

    A plan for thousands of jobs, or for some with thousands of tasks, took
    longer than the lease lasts, and so did the plan of the next owner.
    """
    few = _most_calls_between_pauses(_scheduler(*[step] * 100))
    many = _most_calls_between_pauses(_scheduler(*[step] * 400))
    assert many <= 2 * few


def test_a_plan_of_wide_jobs_creates_only_the_tasks_that_it_needs():
    """Guards against plans that take as long as all tasks of all jobs need."""
    scheduler = _scheduler(*[jobs.Step(count=10_000, cpu=8000)] * 50)
    fleet_builders.plan_batch(scheduler)
    created = sum(
        len(step.opened_tasks)
        for entry in scheduler.tracker
        for step in entry.open_steps_by_key.values()
    )
    assert created <= 2 * len(_NAMES) + 64


def test_taking_in_a_job_costs_the_same_beside_many_others():
    """Guards against a take-over of thousands of jobs that takes seconds."""

    def add(scheduler, number):
        job = fleet_builders.job(number)
        return _Calls().count(lambda: scheduler.add_job(job, 0.0))

    step = jobs.Step(count=1)
    beside_few = add(_scheduler(*[step] * 10), 999)
    assert add(_scheduler(*[step] * 500), 999) <= beside_few


def test_a_job_that_ends_during_a_plan_gets_no_instance():
    """Guards against tasks of cancelled jobs that start."""
    scheduler = _scheduler(*[jobs.Step(count=1, cpu=1000)] * 5)
    pauses = []

    def pause():
        pauses.append(1)
        for entry in list(scheduler.tracker.unfinished.values()):
            if len(pauses) > 12 and not entry.was_assigned:
                scheduler.cancel_job(entry.job.job_id, 1.0)
        return True

    scheduler.plan(1.0, fleet_builders.WALL_MS, pause)
    states = {entry.state for entry in scheduler.tracker}
    assert jobs.JobState.CANCELLED in states
    for start in scheduler.take_batch(100).starts:
        assert scheduler.tracker.get(start.task.job_id).ended is None


@pytest.mark.parametrize("at", range(0, 200, 7))
def test_an_instance_that_drains_during_a_plan_gets_no_more_tasks(at):
    """Guards against starts on instances that the plan knew as ready."""
    scheduler = _scheduler(*[jobs.Step(count=1, cpu=1000)] * 40)
    drained = scheduler.instances["i-0"]
    counts = []

    def pause():
        counts.append(len(drained.runs))
        if len(counts) != at + 1:
            return False
        scheduler.handle_registration(
            fleet_builders.registration("i-0", draining=True), 1.0
        )
        return True

    scheduler.plan(1.0, fleet_builders.WALL_MS, pause)
    assert len(counts) > at
    assert len(drained.runs) == counts[at]


def test_a_wide_step_pauses_between_parts_of_it():
    scheduler = _scheduler(jobs.Step(count=500, cpu=10))
    counts = []

    def pause():
        counts.append(sum(map(len, (i.runs for i in _instances(scheduler)))))
        return True

    scheduler.plan(1.0, fleet_builders.WALL_MS, pause)
    following = zip(counts, counts[1:], strict=False)
    assert max(after - before for before, after in following) <= 64
    assert counts[-1] == 500


def _instances(scheduler):
    return scheduler.instances.values()


@pytest.mark.parametrize("seed", range(20))
def test_the_instance_of_the_last_task_is_the_best_while_it_has_room(seed):
    """Guards against a shortcut that changes where tasks run."""
    chooser = random.Random(seed)
    step = jobs.Step(
        count=40,
        cpu=chooser.choice([0, 500, 1500]),
        mem_mb=chooser.choice([100, 9000]),
        anti_affinity=chooser.choice([0, 0, 3]),
    )
    scheduler = _scheduler(step, cpu=4000)
    (entry,) = scheduler.tracker
    (open_step,) = entry.open_due_steps(fleet_builders.WALL_MS)
    for task in open_step.tasks:
        if chooser.random() < 0.3:
            task.avoided_instances.add(chooser.choice(_NAMES))
    instances = list(scheduler.instances.values())
    for instance in instances:
        instance.is_straggler = chooser.random() < 0.2
    chosen = placement.choose_instances(open_step, instances, 40)
    assert chosen
    reservations = placement._TentativeReservations()
    for task, instance in chosen:
        best = placement._BestFit(open_step, instances).choose(task)
        assert best is instance
        reservations.add(open_step, task, instance)


def test_a_long_computation_lets_others_run_after_each_slice():
    """Guards against a renewal that waits until a plan has ended."""
    clock = manual.ManualClock()
    slices = time_slices.TimeSlices(clock)
    clock.advance(0.9 * time_slices.SLICE_S)
    assert not slices.pause()
    clock.advance(0.2 * time_slices.SLICE_S)
    assert slices.pause()
    assert not slices.pause()
    assert slices.busy_s == pytest.approx(1.1 * time_slices.SLICE_S)


def test_others_run_while_a_computation_pauses(monkeypatch):
    ran = []
    clock = manual.ManualClock()
    monkeypatch.setattr(clock, "sleep", gevent.sleep)
    slices = time_slices.TimeSlices(clock)
    other = gevent.spawn(lambda: ran.append(clock.advance(5.0)))
    clock.advance(2 * time_slices.SLICE_S)
    slices.pause()
    assert ran
    other.join()
    assert slices.busy_s == pytest.approx(2 * time_slices.SLICE_S)
