"""Plans: urgent tasks first, within quotas and capacities, by usage."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import placing
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import rooms
from vanillaswitch.coordination.workloads import tasks
from vanillaswitch.coordination.workloads import usage
from vanillaswitch.protocol import platform
from vanillaswitch.state import config

ORDERS = st.sampled_from(["best-fit", "first-fit"])
NEEDS = st.builds(
    tasks.Need, st.integers(1, 20), st.integers(1, 80), st.integers(0, 1)
)
CAPACITY = tasks.Need(16, 64, 1)
QUOTA = tasks.Need(60, 200, 2)


def config_with(order: str) -> config.Config:
    return config.Config({}, {}, {}, policies=config.Policies(placement=order))


def plan_with(view: placement.View, order: str) -> placement.Plan:
    return placement.plan(view, config_with(order))


@st.composite
def views(draw: st.DrawFn) -> placement.View:
    workers = [
        rooms.Worker(f"w{n}", "p", CAPACITY, draw(st.booleans()))
        for n in range(draw(st.integers(1, 4)))
    ]
    names = st.sampled_from([worker.name for worker in workers])
    placed = [
        rooms.Placed(
            f"old{n}/0", draw(names), need, draw(st.booleans()),
            draw(st.booleans()), need.memory_mb,
        )
        for n, need in enumerate(draw(st.lists(NEEDS, max_size=6)))
    ]  # fmt: skip
    requests = st.lists(st.tuples(NEEDS, st.booleans()), max_size=8)
    pending = [
        rooms.Wanted(f"new{n}/0", f"new{n}", "p", "t", need, urgent)
        for n, (need, urgent) in enumerate(draw(requests))
    ]
    used = draw(NEEDS)
    return placement.View(
        tuple(workers), tuple(placed), tuple(pending), {"t": QUOTA}, {"t": used}
    )


@given(views(), ORDERS)
def test_starts_fit_their_workers_with_the_tasks_placed_there(
    view: placement.View, order: str
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
            t.need.cores * (1 if t.urgent else rooms.MIN_CPU_SHARE)
            for t in [*old, *new]
        )
        assert min_cores <= worker.capacity.cores + 1e-6


@given(views(), ORDERS)
def test_no_team_exceeds_its_quota(view: placement.View, order: str) -> None:
    by_name = {task.name: task for task in view.pending}
    plan = plan_with(view, order)
    total = view.used["t"]
    for name in plan.starts:
        total = total.plus(by_name[name].need)
    assert not plan.starts or total.fits_within(QUOTA)


@given(views(), ORDERS)
def test_each_task_is_started_or_its_job_waits_with_a_reason(
    view: placement.View, order: str
) -> None:
    plan = plan_with(view, order)
    for task in view.pending:
        assert (task.name in plan.starts) != (task.job in plan.wait_reasons)


@given(views(), ORDERS)
def test_urgent_tasks_are_not_preempted_or_throttled(
    view: placement.View, order: str
) -> None:
    urgent = {placed.name for placed in view.placed if placed.urgent}
    plan = plan_with(view, order)
    for name, reason in plan.evictions.items():
        assert name not in urgent or "memory" in reason
    assert not urgent & plan.cpu_shares.keys()


def test_an_urgent_task_starts_at_once_when_others_are_throttled() -> None:
    throttled = rooms.Placed("slow/0", "w0", tasks.Need(16, 8))
    urgent = rooms.Wanted("u/0", "u", "p", "t", tasks.Need(8, 8), True)
    worker = rooms.Worker("w0", "p", CAPACITY)
    view = placement.View((worker,), (throttled,), (urgent,), {"t": QUOTA}, {})
    plan = plan_with(view, "best-fit")
    assert plan.starts == {"u/0": "w0"}
    assert plan.cpu_shares == {"slow/0": 0.5}
    assert not plan.evictions


@given(ORDERS)
def test_urgent_tasks_are_placed_before_larger_ones(order: str) -> None:
    large = rooms.Wanted("a/0", "a", "p", "t", tasks.Need(16, 64))
    urgent = rooms.Wanted("b/0", "b", "p", "t", tasks.Need(1, 1), True)
    worker = rooms.Worker("w0", "p", CAPACITY)
    view = placement.View((worker,), (), (large, urgent), {"t": QUOTA}, {})
    assert plan_with(view, order).starts == {"b/0": "w0"}


@pytest.mark.parametrize(
    ("order", "worker"), [("best-fit", "w1"), ("first-fit", "w0")]
)
def test_each_order_chooses_its_own_worker(order: str, worker: str) -> None:
    workers = tuple(rooms.Worker(f"w{n}", "p", CAPACITY) for n in range(2))
    placed = (rooms.Placed("old/0", "w1", tasks.Need(8, 32)),)
    pending = rooms.Wanted("new/0", "new", "p", "t", tasks.Need(8, 32))
    view = placement.View(workers, placed, (pending,), {"t": QUOTA}, {})
    assert plan_with(view, order).starts == {"new/0": worker}


@given(st.floats(0.5, 3.0), st.integers(8, 40))
def test_the_need_follows_usage_after_enough_samples(
    factor: float, samples: int
) -> None:
    observed = usage.ObservedUsage()
    used: dict[str, Any] = {
        "cores_used": 4 * factor, "memory_mb_used": round(4096 * factor)
    }  # fmt: skip
    running = platform.TaskState.RUNNING
    for _ in range(samples):
        report = platform.TaskReport("t", "o", "w", running, **used)
        observed = usage.observe(observed, report, throttled=False)
    need = usage.estimate_need(placing.JOB, observed)
    assert need.cores == pytest.approx(4 * factor * usage.SAFETY_FACTOR)
    assert need.memory_mb >= used["memory_mb_used"]
