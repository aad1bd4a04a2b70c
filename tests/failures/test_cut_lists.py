"""Reports that leave out ends of runs, which they list in a later one."""

import itertools
import random

import pytest

from standins import leased_instance
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_NAME = "i-1"
_JOBS = 3
_TASKS_PER_JOB = 400
_TASKS = _JOBS * _TASKS_PER_JOB
_STEP = (jobs.Step(count=_TASKS_PER_JOB, cpu=3),)
_MAX_REPORTS = 4 * _TASKS


class _Owner:
    """A term of ownership over one instance, without a store."""

    def __init__(self, model, token):
        self.scheduler = fleet_builders.new_scheduler()
        self.now = 10.0 * token
        self._model = model
        self._token = token
        self.scheduler.handle_registration(model.registration, self.now)

    def report(self, acknowledges=True):
        """Lets the instance report, like a renewal of its lease."""
        instance = self.scheduler.instances[_NAME]
        seen = instance.acknowledged_end if acknowledges else 0
        self.now += 0.02
        report = self._model.renew_lease(self._token, seen, None)
        self.scheduler.handle_status_report(
            _NAME, report, self.now - 0.01, self.now
        )

    def start(self, lost=frozenset()):
        """Plans and sends the starts, but for those of some tasks.

        Returns:
            How many there were.
        """
        batch = fleet_builders.plan_batch(self.scheduler, self.now)
        for order in batch.starts:
            if order.task in lost:
                continue
            deadline_ms = 1_000_000
            outcome = self._model.start(
                fleet.StartRequest(
                    order.task,
                    order.run,
                    order.spec,
                    order.checkpoint,
                    self._token,
                    deadline_ms,
                    order.ticket,
                ),
                fleet.Resources(3, 0),
            )
            assert isinstance(outcome, fleet.Accepted)
            key = (order.task, order.run)
            self.scheduler.handle_start_accepted(_NAME, key, None, self.now)
        return len(batch.starts)

    def succeed(self, token):
        """Returns the next owner, which reads the rows of this one."""
        later = _Owner(self._model, token)
        for entry in self.scheduler.tracker:
            later.scheduler.restore(
                entry.job, entry.to_document(), 1, later.now
            )
        later.scheduler.recover_runs(later.now, later.now + 30.0)
        return later


def _started_owner(ends_per_report, lost=frozenset()):
    """Returns an owner whose tasks run, but for those with a lost start."""
    registration = fleet_builders.registration(_NAME, cpu=16_000)
    model = leased_instance.LeasedInstance(
        registration, 1_000_000, ends_per_report
    )
    owner = _Owner(model, 1)
    for number in range(1, _JOBS + 1):
        job = fleet_builders.job(number, steps=_STEP)
        owner.scheduler.add_job(job, owner.now)
    owner.report()
    while owner.start(lost):
        pass
    assert len(model.started) == _TASKS - len(lost)
    return model, owner


def _name(number):
    """Returns the name of a task by its number among those of all jobs."""
    job, index = divmod(number, _TASKS_PER_JOB)
    return jobs.TaskName(f"{job + 1:016x}", 0, 0, index)


def _task(owner, number):
    name = _name(number)
    return owner.scheduler.tracker.get(name.job_id).task(name)


def _all_ended(owner):
    return all(
        entry.ended is jobs.JobState.COMPLETED
        for entry in owner.scheduler.tracker
    )


def _end(model, tasks):
    for task in tasks:
        model.end(task, fleet.RunOutcome.DONE)


def _finish(model, owner, acknowledges=lambda: True):
    """Plays an owner until all jobs are completed."""
    for number in itertools.count(1):
        assert number < _MAX_REPORTS
        owner.report(acknowledges())
        owner.start()
        if _all_ended(owner):
            return
        # Only the last owner starts second runs.
        _end(model, [run.task for run in model.running.values() if run.run > 1])


@pytest.mark.parametrize("ends_per_report", [1, 7, 100, 499, 500, 501])
def test_ends_left_out_of_the_first_report_to_an_owner_start_no_run(
    ends_per_report,
):
    """Guards against tasks that run again after more than a page of them ended.

    How many ends fit into a report is not known to the owner.
    """
    model, former = _started_owner(ends_per_report)
    _end(model, list(model.running))
    owner = former.succeed(2)
    reports = -(-_TASKS // ends_per_report) + 1
    for _ in range(reports):
        owner.report()
        owner.start()
    assert {run for _, run in model.started} == {1}
    assert _all_ended(owner)


@pytest.mark.parametrize("ends_per_report", [100, 500])
def test_a_start_that_never_arrived_is_repeated_once_all_ends_are_listed(
    ends_per_report,
):
    """Guards against a task that is never started again.

    Its run is recorded and neither running nor listed as ended.
    """
    lost = frozenset(map(_name, range(0, _TASKS, 300)))
    model, former = _started_owner(ends_per_report, lost)
    _end(model, list(model.running))
    owner = former.succeed(2)
    _finish(model, owner)
    again = {task for task, run in model.started if run > 1}
    assert again == lost


def test_a_busy_instance_shows_by_a_later_end_that_all_earlier_ones_are_known():
    """Guards against runs that wait for a report without any new end."""
    lost = frozenset({_name(5)})
    model, former = _started_owner(500, lost)
    tasks = list(model.running)
    _end(model, tasks[:20])
    owner = former.succeed(2)
    owner.report()
    owner.start()
    assert _task(owner, 5).state is open_steps.TaskState.ASSIGNED
    _end(model, tasks[20:21])
    owner.report()
    assert _task(owner, 5).state is open_steps.TaskState.WAITING


@pytest.mark.parametrize("ends_per_report", [7, 500])
def test_a_job_that_is_read_late_waits_for_all_ends(ends_per_report):
    """Guards against tasks that run twice after an outage of the store."""
    model, former = _started_owner(ends_per_report)
    _end(model, list(model.running))
    entries = list(former.scheduler.tracker)
    owner = _Owner(model, 2)
    owner.scheduler.unreadable_jobs = {entry.job.job_id for entry in entries}
    owner.report()
    owner.scheduler.unreadable_jobs = frozenset()
    for entry in entries:
        owner.scheduler.restore_deferred(
            entry.job, entry.to_document(), 1, owner.now, owner.now + 30.0
        )
    owner.start()
    _finish(model, owner)
    assert {run for _, run in model.started} == {1}


def test_a_stopped_run_is_not_released_by_a_report_that_leaves_out_its_end():
    """Guards against a second run of a task that had ended before its stop."""
    model, owner = _started_owner(500)
    _end(model, list(model.running))
    instance = owner.scheduler.instances[_NAME]
    run = instance.runs[_name(_TASKS - 1), 1]
    owner.scheduler.stop_run(instance, run, owner.now, "test")
    owner.scheduler.handle_stop_accepted(_NAME, run.key, owner.now)
    owner.now += 1.0
    owner.report()
    assert run.key in instance.runs
    _finish(model, owner)
    assert {number for _, number in model.started} == {1}


@pytest.mark.parametrize("seed", range(20))
def test_no_task_starts_again_after_it_is_done_whatever_the_page(seed):
    """Guards against a second run after take-overs, lost starts and acks."""
    chooser = random.Random(seed)
    count = chooser.choice([0, 1, 30])
    lost = frozenset(map(_name, chooser.sample(range(_TASKS), count)))
    model, owner = _started_owner(chooser.choice([1, 50, 499, 500]), lost)
    for token in range(2, 5):
        running = list(model.running)
        _end(model, chooser.sample(running, chooser.randint(0, len(running))))
        owner = owner.succeed(token)
        for _ in range(chooser.randrange(4)):
            owner.report(chooser.random() < 0.7)
            owner.start()
    _end(model, list(model.running))
    _finish(model, owner, lambda: chooser.random() < 0.7)
    done = [end.task for end in model.listed]
    assert len(done) == len(set(done)) == _TASKS


def test_a_full_list_of_ends_is_decoded_as_one_that_may_be_cut():
    ended = [
        [number, f"5c0e7a21d94b36f8.0.0.{number}", 1, "done", ""]
        for number in range(1, 501)
    ]
    body = {"clock_ms": 1, "running": [], "ended": ended}
    assert upstreams.decode_status_report(body).is_page_full
    del ended[-1]
    assert not upstreams.decode_status_report(body).is_page_full
