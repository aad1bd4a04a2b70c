"""Plans: urgent tasks first, within quotas and capacities, by usage."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import placement_harness
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import usage_estimates
from vanillaswitch.coordination.workloads import worker_capacity
from vanillaswitch.protocol import platform
from vanillaswitch.state import config

ORDERS = st.sampled_from(["best-fit", "first-fit"])
NEEDS = st.builds(
    task_rows.ResourceVector,
    st.integers(1, 20),
    st.integers(1, 80),
    st.integers(0, 1),
)
CAPACITY = task_rows.ResourceVector(16, 64, 1)
QUOTA = task_rows.ResourceVector(60, 200, 2)


def config_with(order: str) -> config.Config:
    return config.Config({}, {}, {}, policies=config.Policies(placement=order))


def plan_with(view: placement.PlannerInput, order: str) -> placement.Plan:
    return placement.plan(view, config_with(order))


@st.composite
def views(draw: st.DrawFn) -> placement.PlannerInput:
    workers = [
        worker_capacity.Worker(f"w{n}", "p", CAPACITY, draw(st.booleans()))
        for n in range(draw(st.integers(1, 4)))
    ]
    names = st.sampled_from([worker.name for worker in workers])
    placed = [
        worker_capacity.PlacedTask(
            f"old{n}/0", draw(names), need, draw(st.booleans()),
            draw(st.booleans()), need.memory_mb,
        )
        for n, need in enumerate(draw(st.lists(NEEDS, max_size=6)))
    ]  # fmt: skip
    requests = st.lists(st.tuples(NEEDS, st.booleans()), max_size=8)
    pending = [
        worker_capacity.PendingTask(
            f"new{n}/0", f"new{n}", "p", "t", need, urgent
        )
        for n, (need, urgent) in enumerate(draw(requests))
    ]
    used = draw(NEEDS)
    return placement.PlannerInput(
        tuple(workers), tuple(placed), tuple(pending), {"t": QUOTA}, {"t": used}
    )


@given(views(), ORDERS)
def test_starts_fit_their_workers_with_the_tasks_placed_there(
    view: placement.PlannerInput, order: str
) -> None:
    plan = plan_with(view, order)
    by_name = {w.name: w for w in view.pending}
    for worker in view.workers:
        new = [by_name[n] for n, w in plan.starts.items() if w == worker.name]
        if not new:
            continue
        assert worker.is_schedulable
        old = [p for p in view.placed if p.worker == worker.name]
        memory = sum(t.need.memory_mb for t in [*old, *new])
        assert memory <= worker.capacity.memory_mb
        # Processors may be overcommitted by throttling, but urgent tasks keep
        # all of theirs and the others at least their minimum share.
        min_cores = sum(
            t.need.cores * (1 if t.urgent else worker_capacity.MIN_CPU_SHARE)
            for t in [*old, *new]
        )
        assert min_cores <= worker.capacity.cores + 1e-6


@given(views(), ORDERS)
def test_no_team_exceeds_its_quota(
    view: placement.PlannerInput, order: str
) -> None:
    by_name = {task.name: task for task in view.pending}
    plan = plan_with(view, order)
    total = view.used["t"]
    for name in plan.starts:
        total = total.plus(by_name[name].need)
    assert not plan.starts or total.fits_within(QUOTA)


@given(views(), ORDERS)
def test_each_task_is_started_or_its_job_waits_with_a_reason(
    view: placement.PlannerInput, order: str
) -> None:
    plan = plan_with(view, order)
    for task in view.pending:
        assert (task.name in plan.starts) != (task.job in plan.wait_reasons)


@given(views(), ORDERS)
def test_urgent_tasks_are_not_preempted_or_throttled(
    view: placement.PlannerInput, order: str
) -> None:
    urgent = {placed.name for placed in view.placed if placed.urgent}
    plan = plan_with(view, order)
    for name, reason in plan.evictions.items():
        assert name not in urgent or "memory" in reason
    assert not urgent & plan.cpu_shares.keys()


def test_an_urgent_task_starts_at_once_when_others_are_throttled() -> None:
    throttled = worker_capacity.PlacedTask(
        "slow/0", "w0", task_rows.ResourceVector(16, 8)
    )
    urgent = worker_capacity.PendingTask(
        "u/0", "u", "p", "t", task_rows.ResourceVector(8, 8), True
    )
    worker = worker_capacity.Worker("w0", "p", CAPACITY)
    view = placement.PlannerInput(
        (worker,), (throttled,), (urgent,), {"t": QUOTA}, {}
    )
    plan = plan_with(view, "best-fit")
    assert plan.starts == {"u/0": "w0"}
    assert plan.cpu_shares == {"slow/0": 0.5}
    assert not plan.evictions


@given(ORDERS)
def test_urgent_tasks_are_placed_before_larger_ones(order: str) -> None:
    large = worker_capacity.PendingTask(
        "a/0", "a", "p", "t", task_rows.ResourceVector(16, 64)
    )
    urgent = worker_capacity.PendingTask(
        "b/0", "b", "p", "t", task_rows.ResourceVector(1, 1), True
    )
    worker = worker_capacity.Worker("w0", "p", CAPACITY)
    view = placement.PlannerInput(
        (worker,), (), (large, urgent), {"t": QUOTA}, {}
    )
    assert plan_with(view, order).starts == {"b/0": "w0"}


@pytest.mark.parametrize(
    ("order", "worker"), [("best-fit", "w1"), ("first-fit", "w0")]
)
def test_each_order_chooses_its_own_worker(order: str, worker: str) -> None:
    workers = tuple(
        worker_capacity.Worker(f"w{n}", "p", CAPACITY) for n in range(2)
    )
    placed = (
        worker_capacity.PlacedTask(
            "old/0", "w1", task_rows.ResourceVector(8, 32)
        ),
    )
    pending = worker_capacity.PendingTask(
        "new/0", "new", "p", "t", task_rows.ResourceVector(8, 32)
    )
    view = placement.PlannerInput(workers, placed, (pending,), {"t": QUOTA}, {})
    assert plan_with(view, order).starts == {"new/0": worker}


@given(st.floats(0.5, 3.0), st.integers(8, 40))
def test_the_need_follows_usage_after_enough_samples(
    factor: float, samples: int
) -> None:
    observed = usage_estimates.ObservedUsage()
    used: dict[str, Any] = {
        "cores_used": 4 * factor, "memory_mb_used": round(4096 * factor)
    }  # fmt: skip
    running = platform.ReportedTaskState.RUNNING
    for _ in range(samples):
        report = platform.TaskReport("t", "o", "w", running, **used)
        observed = usage_estimates.observe(observed, report, throttled=False)
    need = usage_estimates.estimate_need(placement_harness.JOB, observed)
    assert need.cores == pytest.approx(
        4 * factor * usage_estimates.SAFETY_FACTOR
    )
    assert need.memory_mb >= used["memory_mb_used"]
