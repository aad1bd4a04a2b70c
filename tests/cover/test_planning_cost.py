"""Cost of a plan when demand is far beyond the capacity."""

from hypothesis import given
from hypothesis import strategies as st

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import suspect_placement
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

INSTANCES = 40
WAITING = 200


def test_steps_that_wait_for_a_full_pool_check_no_instance(monkeypatch):
    """Guards against starts that are seconds late in a burst.

    A plan is made at the end of every task. When each of hundreds of waiting
    steps checked every instance of a full pool, a plan with 276 instances and
    300 waiting jobs took 72 ms instead of 6 ms.
    """
    scheduler = fleet_builders.new_scheduler()
    names = [f"i-{number}" for number in range(INSTANCES)]
    fleet_builders.add_instances(scheduler, *names, cpu=4000)
    step = jobs.Step(count=4, cpu=2000)
    for number in range(WAITING + INSTANCES // 2):
        scheduler.add_job(fleet_builders.job(number, (step,)), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 2 * INSTANCES
    checked = []
    fits = instance_state.Instance.has_capacity_for

    def recording_fits(instance, need):
        checked.append(instance)
        return fits(instance, need)

    monkeypatch.setattr(
        instance_state.Instance, "has_capacity_for", recording_fits
    )
    assert not fleet_builders.plan_batch(scheduler).starts
    assert not checked


def test_steps_that_fit_nowhere_are_not_put_in_order():
    """Guards against plans that take as long as a task of a burst runs."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=4000)
    for number in range(WAITING):
        scheduler.add_job(
            fleet_builders.job(number, (jobs.Step(count=2, cpu=2000),)), 0.0
        )
    fleet_builders.plan_batch(scheduler)
    ordered = []
    by_order = scheduler._queue_order

    def recording_order(step, queue, plan_time):
        ordered.append(step)
        return by_order(step, queue, plan_time)

    scheduler._queue_order = recording_order
    assert not fleet_builders.plan_batch(scheduler).starts
    assert not ordered


def test_suspects_that_may_not_start_check_no_instance(monkeypatch):
    """Guards against slow plans after a rack with many runs was lost."""
    scheduler = fleet_builders.new_scheduler()
    names = [f"i-{number}" for number in range(INSTANCES)]
    fleet_builders.add_instances(scheduler, *names, cpu=4000)
    spread = jobs.Step(count=INSTANCES, cpu=1000, anti_affinity=1)
    scheduler.add_job(fleet_builders.job(0, (spread,)), 0.0)
    busy = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, busy)
    for instance in scheduler.instances.values():
        for run in instance.runs.values():
            run.started_at, run.reported_at = 0.0, 60.0
    for number in range(1, WAITING):
        job = fleet_builders.job(number, (jobs.Step(count=1, cpu=1000),))
        scheduler.add_job(job, 0.0)
        (step,) = scheduler.tracker.get(job.job_id).open_due_steps(0.0)
        step.has_crashed = step.tasks[0].is_suspect = True
    limit = int(INSTANCES * suspect_placement.BUSY_SUSPECT_SHARE)
    assert len(fleet_builders.plan_batch(scheduler).starts) == limit
    checked = []
    fits = instance_state.Instance.fits_beside_long_running_tasks

    def recording_fits(instance, *arguments):
        checked.append(instance)
        return fits(instance, *arguments)

    monkeypatch.setattr(
        instance_state.Instance,
        "fits_beside_long_running_tasks",
        recording_fits,
    )
    assert not fleet_builders.plan_batch(scheduler).starts
    assert not checked


_AMOUNT = st.integers(0, 4)


@given(
    st.lists(st.tuples(_AMOUNT, _AMOUNT, _AMOUNT), max_size=4),
    st.tuples(_AMOUNT, _AMOUNT, _AMOUNT),
)
def test_a_need_that_fits_on_some_instance_may_fit(free, need):
    instances = []
    for number, capacity in enumerate(free):
        registration = fleet_builders.registration(f"i-{number}")
        instance = instance_state.Instance(registration, 0.0)
        object.__setattr__(registration, "capacity", fleet.Resources(*capacity))
        instances.append(instance)
    wanted = fleet.Resources(*need)
    if any(instance.has_capacity_for(wanted) for instance in instances):
        assert placement.MaxFreeCapacity(instances).may_fit(wanted)


def test_nothing_may_fit_in_a_pool_without_instances():
    assert not placement.MaxFreeCapacity([]).may_fit(fleet.Resources(0, 0))
