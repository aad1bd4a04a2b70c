"""Jobs from declaration to end, on a platform without failures."""

import dataclasses

from tests.common import placement_harness
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import keys
from vanillaswitch.state import rows

URGENT_S = 2.5


def test_tasks_run_in_parallel_until_they_finish() -> None:
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job(tasks=5)}
    )
    harness.platform.workers.run_time_s["a"] = 20.0
    harness.step()
    assert len(harness.running()) == 5
    harness.step(60)
    assert harness.running() == {}
    assert harness.job_state("a").finished == (0, 1, 2, 3, 4)
    assert harness.task_rows() == {}


def test_an_urgent_task_starts_in_time_on_full_workers() -> None:
    """Counts steps: the job waits for at most one pause, then for the steps."""
    whole_worker = placement_harness.job(
        tasks=2, cores=16, memory_mb=60000, checkpoints=True
    )
    harness = placement_harness.PlacementHarness(2, {"long": whole_worker})
    harness.step(8)
    urgent = placement_harness.job(cores=8, memory_mb=30000, urgent=True)
    harness.set_jobs(quote=urgent)
    steps = 0
    while "quote/0" not in harness.running():
        harness.step()
        steps += 1
    assert (steps + 1) * controller.STEP_PAUSE_S <= URGENT_S
    assert len(harness.running()) == 2


def test_a_waiting_urgent_job_makes_every_step_plan() -> None:
    urgent = placement_harness.job(cores=16, memory_mb=60000, urgent=True)
    harness = placement_harness.PlacementHarness(1, {"a": urgent, "b": urgent})
    harness.step(8)
    assert len(harness.running()) == 1
    soft_state = harness.memory["placement"]
    assert soft_state.is_pass_due(harness.config, harness.clock.monotonic())


def test_an_evicted_task_resumes_from_its_checkpoint() -> None:
    whole_worker = placement_harness.job(
        cores=16, memory_mb=60000, checkpoints=True
    )
    harness = placement_harness.PlacementHarness(1, {"long": whole_worker})
    harness.step(8)
    urgent = placement_harness.job(memory_mb=30000, urgent=True)
    harness.set_jobs(quote=urgent)
    harness.platform.workers.run_time_s["quote"] = 5.0
    harness.step(60)
    assert harness.running() == {"long/0": "w0"}
    assert harness.task_rows()["long/0"].checkpoint
    assert not harness.job_state("long").failed_on


def test_a_job_that_fits_no_worker_is_set_aside_with_a_reason() -> None:
    harness = placement_harness.PlacementHarness(
        2, {"huge": placement_harness.job(cores=64)}
    )
    harness.step(2)
    assert "fits no worker" in harness.job_state("huge").aside
    assert harness.platform.table.read([keys.decisions("job/huge")]).rows  # type: ignore[union-attr]
    harness.set_jobs(huge=placement_harness.job(cores=8))
    harness.step(2)
    assert harness.running() == {"huge/0": harness.running()["huge/0"]}
    assert harness.job_state("huge").aside == ""


def test_a_job_declared_at_up_to_twice_a_worker_is_started() -> None:
    harness = placement_harness.PlacementHarness(
        1, {"big": placement_harness.job(cores=30)}
    )
    harness.step()
    assert harness.running() == {"big/0": "w0"}


def test_quota_limits_a_team_across_all_its_jobs() -> None:
    two_jobs = {name: placement_harness.job(tasks=4) for name in "ab"}
    harness = placement_harness.PlacementHarness(4, two_jobs)
    teams = {"billing": config.Team(cores=20, memory_mb=10**6)}
    harness.config = dataclasses.replace(harness.config, teams=teams)
    harness.step(3)
    assert len(harness.running()) == 5


def test_tasks_leave_a_draining_worker() -> None:
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job(tasks=6)}
    )
    harness.step(6)
    found = harness.platform.table.read([keys.instance("w0")])
    assert isinstance(found, platform.Rows)
    row = rows.load(rows.Instance, found.rows[0].value)
    phase = platform.MaintenancePhase.DRAINING
    harness.put(keys.instance("w0"), dataclasses.replace(row, phase=phase))
    harness.put(keys.budget("backoffice"), rows.Budget({"w0": "op"}))
    harness.platform.instances.drain("w0", "op")
    harness.step(8)
    assert set(harness.running().values()) == {"w1"}
    assert not harness.job_state("a").failed_on


def test_leases_are_renewed_without_table_writes() -> None:
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job(tasks=4)}
    )
    harness.step(10)
    commits_before = harness.platform.table.commits
    harness.step(200)
    assert harness.platform.table.commits == commits_before
    assert len(harness.running()) == 4


def test_tasks_that_outgrow_memory_are_spread_over_workers() -> None:
    harness = placement_harness.PlacementHarness(
        2, {"a": placement_harness.job(tasks=4, cores=4, memory_mb=16000)}
    )
    harness.platform.workers.usage_factor["a"] = 2.0
    harness.step(60)
    by_worker = list(harness.running().values())
    assert max(by_worker.count(worker) for worker in ("w0", "w1")) <= 2
    assert len(by_worker) >= 3


def test_jobs_set_aside_do_not_make_a_worker_faulty() -> None:
    failed = job_progress.JobProgress(failed_on={"w0": 1})
    set_aside = dataclasses.replace(failed, aside="fails everywhere")
    two = {"a": failed, "b": failed, "c": set_aside}
    assert job_progress.faulty_workers(two, (), {"a"}) == {}
    three = {**two, "d": failed}
    assert job_progress.faulty_workers(three, (), {"a"}) == {
        "w0": ("a", "b", "d")
    }
    assert job_progress.faulty_workers(three, {"w0"}, {"a"}) == {}
    assert job_progress.faulty_workers(three, (), {"another"}) == {}


def test_cordons_never_exceed_the_allowance() -> None:
    faulty = {f"w{n}": ("a", "b", "c") for n in range(4)}
    assert job_progress.choose_cordons(faulty, 2) == ("w0", "w1")
    assert job_progress.choose_cordons(faulty, -1) == ()
