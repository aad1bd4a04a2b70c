"""Failures around jobs; each test describes the failure it guards against."""

import dataclasses

import pytest

from tests.common import placement_harness
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.protocol import platform
from vanillaswitch.state import config


def test_the_next_holder_completes_a_start_exactly_once() -> None:
    """A task that books charges runs twice after a change of the duty's holder.

    The holder writes the intent and crashes before or after it sends the start.
    The next holder finds the row of the task.
    """
    for is_sent in (False, True):
        harness = placement_harness.PlacementHarness(
            2, {"a": placement_harness.job()}
        )
        harness.is_leased = is_sent
        harness.step()
        assert len(harness.running()) == int(is_sent)
        harness.is_leased = True
        harness.take_duty()
        harness.step(10)
        assert len(harness.running()) == 1
        assert sum(harness.count_starts(worker) for worker in ("w0", "w1")) == 1


@pytest.mark.parametrize(
    "fault", ["lose_answers", "drop_calls", "delay_effect"]
)
def test_a_start_with_a_lost_answer_is_resent_with_the_same_id(
    fault: str,
) -> None:
    """A task runs on two workers because its start was not answered.

    The worker's answer is lost, the call is lost, or the call takes effect
    only later.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    setattr(harness.platform.workers.faults, fault, 1)
    harness.step(3)
    harness.platform.workers.faults.release_delayed()
    harness.step(40)
    assert len(harness.running()) == 1
    assert sum(harness.count_starts(worker) for worker in ("w0", "w1")) == 1


def test_a_holder_whose_fence_is_broken_starts_nothing() -> None:
    """Two controllers start the same task on two workers.

    The first controller was paused until its lease expired, and continues with
    its old fence.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    old_fence = harness.fence
    harness.take_duty()
    harness.fence, new_fence = old_fence, harness.fence
    harness.step(3)
    assert harness.running() == {}
    harness.fence = new_fence
    harness.step()
    assert len(harness.running()) == 1


def test_tasks_keep_running_during_an_outage_of_the_table() -> None:
    """Hours of work are lost because tasks end while the table is down.

    The table is unavailable for an hour and the session lease expires. Task
    leases are renewed by calls to the workers; new starts wait.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job(tasks=4)}
    )
    harness.step(10)
    harness.platform.table.faults.down = True
    harness.set_jobs(b=placement_harness.job())
    harness.step(6)
    harness.is_leased = False
    harness.renew_leases(7200)
    assert sorted(harness.running()) == ["a/0", "a/1", "a/2", "a/3"]
    assert sum(harness.count_starts(worker) for worker in ("w0", "w1")) == 4
    harness.platform.table.faults.down = False
    harness.is_leased = True
    harness.step(2)
    assert "b/0" in harness.running()


def test_a_job_that_always_fails_is_set_aside_and_no_worker_cordoned() -> None:
    """One broken job gets the workers of a pool cordoned one after another.

    The job fails at once wherever it is started.
    """
    harness = placement_harness.PlacementHarness(
        5, {"bad": placement_harness.job(), "good": placement_harness.job()}
    )
    harness.platform.workers.failing_jobs.add("bad")
    harness.step(60)
    assert "failed 3 times, on w" in harness.job_state("bad").aside
    assert sorted(harness.running()) == ["good/0"]
    assert harness.cordoned_workers() == set()
    assert sum(harness.count_starts(f"w{n}") for n in range(5)) == 4


def test_a_worker_that_fails_all_tasks_is_cordoned_after_few_starts() -> None:
    """A faulty worker attracts all jobs because it always looks free.

    The worker accepts each start and fails it at once, so that it always has
    the most free capacity.
    """
    wanted = {f"job{n}": placement_harness.job(cores=1) for n in range(60)}
    harness = placement_harness.PlacementHarness(8, wanted)
    harness.platform.workers.failing_workers.add("w0")
    harness.step(60)
    assert harness.cordoned_workers() == {"w0"}
    assert harness.count_starts("w0") <= 4
    assert len(harness.running()) == 60
    assert not any(harness.job_state(name).aside for name in wanted)


def test_a_worker_on_which_broken_jobs_fail_first_is_not_cordoned() -> None:
    """A good worker is cordoned because three broken jobs ran on it first.

    Three broken jobs start on the only worker that answers, and fail there.
    Later they fail on other workers too. None of them ran well anywhere, so
    that no worker is at fault.
    """
    wanted = {f"bad{n}": placement_harness.job() for n in range(3)}
    harness = placement_harness.PlacementHarness(4, wanted)
    harness.platform.workers.failing_jobs |= wanted.keys()
    for worker in ("w1", "w2", "w3"):
        harness.platform.instances.freeze(worker)
    harness.step(10)
    assert harness.count_starts("w0") >= 3
    for worker in ("w1", "w2", "w3"):
        harness.platform.instances.thaw(worker)
    for _ in range(120):
        harness.step()
        assert harness.cordoned_workers() == set()
    assert all(harness.job_state(name).aside for name in wanted)


def test_the_reason_of_a_long_wait_is_recorded_once() -> None:
    """A job does not start for an hour, and nothing shows why.

    Another job occupies the only worker of the pool. After a while the reason
    is recorded, once for as long as it stays the same.
    """
    two_jobs = {
        "a": placement_harness.job(cores=16),
        "b": placement_harness.job(cores=16),
    }
    harness = placement_harness.PlacementHarness(1, two_jobs)
    harness.step(200)
    found = harness.platform.table.read([decision_records.history_key("job/b")])
    assert isinstance(found, platform.Rows)
    [entry] = decision_records.decode_history(found.rows[0]).entries
    assert entry.cause == "pool batch has no room"
    found = harness.platform.table.read([decision_records.history_key("job/a")])
    assert found == platform.Rows(())


def test_cordons_stop_at_the_availability_budget() -> None:
    """A bad image fails on all workers, and all of them are cordoned.

    The budget allows one worker to be down. Either two workers are faulty, or
    one is faulty while another is down already.
    """
    wanted = {f"job{n}": placement_harness.job() for n in range(24)}
    harness = placement_harness.PlacementHarness(6, wanted)
    harness.platform.workers.failing_workers |= {"w0", "w1"}
    harness.step(60)
    assert len(harness.cordoned_workers()) == 1
    harness = placement_harness.PlacementHarness(6, wanted)
    harness.platform.instances.kill("w5")
    harness.platform.workers.failing_workers.add("w0")
    harness.step(60)
    assert harness.cordoned_workers() == set()


def test_many_cancellations_do_not_delay_placement() -> None:
    """Urgent jobs wait minutes while many tasks are cancelled one by one.

    An operator cancels 200 tasks in one change, and an urgent job arrives in
    the same step. The test counts commits rather than time.
    """
    small = placement_harness.job(tasks=200, cores=0.5, memory_mb=256)
    harness = placement_harness.PlacementHarness(12, {"many": small})
    harness.step(20)
    assert len(harness.running()) == 200
    harness.set_jobs(
        many=dataclasses.replace(small, cancelled=True),
        quote=placement_harness.job(urgent=True),
    )
    commits_before = harness.platform.table.commits
    harness.step()
    assert "quote/0" in harness.running()
    harness.step(12)
    assert sorted(harness.running()) == ["quote/0"]
    assert sorted(harness.task_rows()) == ["quote/0"]
    assert harness.platform.table.commits - commits_before <= 10


def test_tasks_of_a_silent_worker_move_only_after_their_lease_expired() -> None:
    """A task runs twice because its worker was cut off, not dead.

    The worker receives no calls and runs the task until its lease expires. The
    task may start elsewhere only after that.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    harness.step(6)
    worker = harness.running()["a/0"]
    harness.platform.instances.freeze(worker)
    for _ in range(60):
        harness.step()
        harness.platform.instances.thaw(worker)
        harness.running()
        harness.platform.instances.freeze(worker)
    harness.platform.instances.thaw(worker)
    assert harness.running()["a/0"] != worker


def test_a_task_that_its_worker_lost_is_started_again() -> None:
    """A job is shown as running for days while nothing runs.

    The worker lost the task in a restart of its agent. It still accepts
    renewals, and no report names the task any more.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    harness.step(6)
    harness.platform.workers._tasks.clear()
    harness.step(60)
    assert list(harness.running()) == ["a/0"]


def test_two_placement_duties_do_not_exceed_one_quota() -> None:
    """A team gets twice its quota, which leaves no capacity for another team.

    Two duties read the same state and both start tasks for the same team. The
    row of the team's quota lets only one of them commit.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    snapshot = placement_view.read_snapshot(harness.context(), {"backoffice"})
    assert isinstance(snapshot, placement_view.PlacementSnapshot)
    harness.step()
    put = platform.Put(
        "quota/billing", snapshot.quota_versions.get("billing", 0), {}
    )
    conflicting = platform.Transaction("other-duty", (put,))
    assert isinstance(
        harness.platform.table.commit(conflicting), platform.Conflict
    )


def test_a_holder_with_an_older_configuration_stops_nothing() -> None:
    """A job that an operator has just added is stopped and started again.

    The duty moves to a controller that does not have the new configuration
    yet; the job is missing from its old one.
    """
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    harness.step(6)
    newest = harness.config
    harness.config = dataclasses.replace(newest, jobs={})
    harness.take_duty()
    harness.step(10)
    harness.config = newest
    harness.step(10)
    assert list(harness.running()) == ["a/0"]
    assert sum(harness.count_starts(worker) for worker in ("w0", "w1")) == 1


def test_a_finished_task_never_runs_again_after_its_job_is_resized() -> None:
    """A finished task books its charges twice after its job was resized."""
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job()}
    )
    harness.platform.workers.run_time_s["a"] = 1.0
    harness.step(10)
    job: config.Job = placement_harness.job(cores=8)
    harness.set_jobs(a=job)
    harness.step(10)
    assert sum(harness.count_starts(worker) for worker in ("w0", "w1")) == 1
    assert job_progress.reset_if_resized(
        harness.job_state("a"), job
    ).finished == (0,)
