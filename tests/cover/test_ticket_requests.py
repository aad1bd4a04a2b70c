"""Which tickets are requested, and that every step gets some in time."""

import random

import pytest

from tests.common import advice_simulation
from tests.common import advised_fleet
from tests.common import fleet_builders
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_ADVICE = fleet.AdvisorConfig(
    decision_ms=40.0, period_ms=4.0, validity_ms=3000.0
)
_CPU = 4000


def _scheduler(count, advice=_ADVICE, cpu=_CPU):
    scheduler = fleet_builders.new_scheduler()
    scheduler.apply_config(fleet_builders.config(advice=advice))
    names = [f"i-{number:03}" for number in range(count)]
    fleet_builders.add_instances(scheduler, *names, cpu=cpu)
    return scheduler, names


def _add_step(scheduler, number=1, now=0.0, **fields):
    step = jobs.Step(**({"count": 1, "cpu": 500} | fields))
    job = fleet_builders.job(number, steps=(step,))
    scheduler.add_job(job, now)
    fleet_builders.plan_batch(scheduler, now)
    return scheduler.tracker.get(job.job_id).open_steps_by_key[0, 0]


def _requests(scheduler, now=0.0):
    return scheduler.missing_tickets(fleet_builders.moment(now))


def _answer(scheduler, request, good=(), now=0.0):
    """Answers a call with tickets for some of the named instances."""
    tickets = {name: f"for {name}" for name in request.instances}
    tickets = {name: tickets[name] for name in tickets if name in good}
    scheduler.record_advice(
        request.step, request.instances, tickets, now, request.validity_s
    )
    return fleet_builders.plan_batch(scheduler, now).starts


def test_a_call_names_few_instances_of_a_large_pool():
    """Calls that named all instances left the service no time for a burst."""
    scheduler, _ = _scheduler(100)
    _add_step(scheduler)
    (request,) = _requests(scheduler)
    assert len(request.instances) == 5
    assert request.expected_s == pytest.approx(0.06)


def test_calls_reach_every_instance_and_name_an_unsuitable_one_once():
    """Of more than 100 instances always the same 100 were asked about."""
    scheduler, names = _scheduler(250)
    _add_step(scheduler)
    named = []
    for _ in range(8):
        requests = _requests(scheduler)
        if not requests:
            break
        assert len(requests[0].instances) <= 100
        named.extend(requests[0].instances)
        _answer(scheduler, requests[0])
    assert sorted(named) == names


def test_an_instance_that_joins_later_is_asked_about():
    """A step waited until its tickets lapsed before new instances counted."""
    scheduler, names = _scheduler(2)
    _add_step(scheduler)
    (request,) = _requests(scheduler)
    _answer(scheduler, request)
    assert not _requests(scheduler)
    fleet_builders.add_instances(scheduler, "i-new")
    (request,) = _requests(scheduler)
    assert request.instances == ["i-new"]
    (start,) = _answer(scheduler, request, ("i-new",))
    assert start.instance == "i-new"


def test_nothing_is_requested_while_no_instance_has_capacity():
    """Waiting steps kept the service busy with calls that were of no use."""
    scheduler, names = _scheduler(2)
    _add_step(scheduler, count=2, cpu=_CPU)
    (request,) = _requests(scheduler)
    assert len(_answer(scheduler, request, names)) == 2
    for number in range(2, 40):
        _add_step(scheduler, number)
    assert not _requests(scheduler, 0.1)


def test_capacity_that_is_left_is_set_aside_in_queue_order():
    """Of many waiting steps only those that could start are asked for."""
    scheduler, _ = _scheduler(2, cpu=1000)
    for number in range(1, 30):
        _add_step(scheduler, number, cpu=500)
    steps = [request.step for request in _requests(scheduler)]
    assert len(steps) == 4
    assert (
        steps == scheduler.ready_steps(fleet_builders.moment())["berthing"][:4]
    )


def test_a_step_whose_suitable_instances_are_full_holds_up_no_other():
    """Capacity that a step can't use must not be kept for it."""
    scheduler, names = _scheduler(2, cpu=1000)
    blocked = _add_step(scheduler, 1, cpu=1000, count=2)
    (request,) = _requests(scheduler)
    assert len(_answer(scheduler, request, ("i-000",))) == 1
    other = _add_step(scheduler, 2, cpu=1000)
    (request,) = _requests(scheduler, 0.1)
    assert request.step is other
    assert request.instances == ["i-001"]
    assert "i-001" in scheduler.tickets.unsuitable(blocked.key)
    (start,) = _answer(scheduler, request, names, now=0.1)
    assert start.task.job_id == other.entry.job.job_id


def test_a_renewal_names_only_instances_that_are_known_to_be_suitable():
    scheduler, _ = _scheduler(30)
    _add_step(scheduler, count=1, gang=True, cpu=500)
    (request,) = _requests(scheduler)
    good = request.instances[3:]
    scheduler.record_advice(
        request.step, request.instances, dict.fromkeys(good, "t"), 0.0, 3.0
    )
    (renewal,) = _requests(scheduler, 5.0)
    assert set(renewal.instances) <= set(good)


def test_a_gang_is_asked_for_only_if_all_its_tasks_fit():
    scheduler, names = _scheduler(2, cpu=1000)
    _add_step(scheduler, count=3, gang=True, cpu=1000)
    assert not _requests(scheduler)
    fleet_builders.add_instances(scheduler, "i-002", cpu=1000)
    (request,) = _requests(scheduler)
    assert len(_answer(scheduler, request, request.instances)) == 3


def test_no_unsuitable_instance_is_reserved_for_a_long_running_task():
    """A reserved instance that the task may not run on stayed empty."""
    scheduler, names = _scheduler(1, cpu=1000)
    lasting = _add_step(scheduler, 1, cpu=1000, long_running=True)
    (request,) = _requests(scheduler)
    assert request.step is lasting
    _answer(scheduler, request)
    other = _add_step(scheduler, 2, cpu=1000)
    (request,) = _requests(scheduler, 0.1)
    assert request.step is other
    assert len(_answer(scheduler, request, names, now=0.1)) == 1


def test_an_instance_is_asked_about_for_the_step_that_has_it_reserved():
    """An old reservation for a suspect task kept a service from coming back."""
    scheduler, names = _scheduler(1, cpu=1000)
    lasting = _add_step(scheduler, 1, cpu=1000, long_running=True)
    suspect = _add_step(scheduler, 2, cpu=500)
    suspect.has_crashed = suspect.tasks[0].is_suspect = True
    suspect.reserved_instance = names[0]
    fleet_builders.plan_batch(scheduler, 0.0)
    assert lasting.reserved_instance == names[0]
    request = _requests(scheduler)[0]
    assert request.step is lasting
    assert len(_answer(scheduler, request, names)) == 1


def test_a_suspect_task_gets_tickets_although_no_instance_has_capacity():
    """A task that may crash its instance has to reserve one first."""
    scheduler, names = _scheduler(1, cpu=1000)
    first = _add_step(scheduler, 1, cpu=1000)
    (request,) = _requests(scheduler)
    assert _answer(scheduler, request, names)
    suspect = _add_step(scheduler, 2, cpu=1000)
    assert not _requests(scheduler, 0.1)
    suspect.has_crashed = suspect.tasks[0].is_suspect = True
    (request,) = _requests(scheduler, 0.1)
    assert request.step is suspect
    assert first.key != suspect.key


def test_steps_of_several_pools_are_asked_for_in_turn():
    scheduler, _ = _scheduler(4)
    queue = scheduler.queues["quotes"]
    for number in range(1, 4):
        _add_step(scheduler, number)
    other = [f"s-{number}" for number in range(2)]
    for name in other:
        registration = fleet_builders.registration(name)
        scheduler.handle_registration(
            fleet.Registration(
                name,
                "spare",
                registration.address,
                registration.zone,
                False,
                registration.capacity,
                registration.labels,
            ),
            0.0,
        )
        report = fleet_builders.status_report()
        scheduler.handle_status_report(name, report, 0.0, 0.0)
    scheduler.queues = dict(scheduler.queues) | {
        "spares": fleet.Queue(
            "spares", queue.host, "/s/", "spare", advice=_ADVICE
        )
    }
    job = fleet_builders.job(
        9, steps=(jobs.Step(count=1, cpu=500),), queue="spares", service="spare"
    )
    scheduler.add_job(job, 0.0)
    fleet_builders.plan_batch(scheduler, 0.0)
    found = [request.step.entry.job.queue for request in _requests(scheduler)]
    assert found[:2].count("spares") == 1
    assert len(found) == 4


@pytest.mark.parametrize("instances", [1, 7, 30, 150])
@pytest.mark.parametrize("good_share", [0.03, 0.5, 1.0])
@pytest.mark.parametrize("seed", range(2))
def test_all_jobs_of_a_burst_complete(instances, good_share, seed):
    """Steps for which no tickets are requested never start."""
    rng = random.Random(seed)
    simulation = advice_simulation.Simulation(
        instances, _ADVICE, good_share, seed
    )
    count = rng.randint(10, 60)
    arrivals = advice_simulation.draw_jobs(rng, count, 4.0, instances)
    simulation.run(arrivals, 4.0 + advised_fleet.FINISH_S)
    assert len(simulation.completed_at) == count
    assert not simulation.service.refused
    assert not simulation.refused_starts
