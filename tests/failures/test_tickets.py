"""Tickets of the advice service that are refused, lapse or are left over."""

from tests.common import fleet_builders
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_ADVICE = fleet.AdvisorConfig(
    decision_ms=40.0, period_ms=4.0, validity_ms=3000.0
)
_VALIDITY_S = 3.0


def _scheduler(*instances, advice=_ADVICE):
    scheduler = fleet_builders.new_scheduler()
    scheduler.apply_config(fleet_builders.config(advice=advice))
    fleet_builders.add_instances(scheduler, *instances)
    return scheduler


def _add_step(scheduler, number=1, **fields):
    values = {"count": 1, "cpu": 500} | fields
    job = fleet_builders.job(number, steps=(jobs.Step(**values),))
    scheduler.add_job(job, 0.0)
    scheduler.plan(0.0, fleet_builders.WALL_MS)
    return scheduler.tracker.get(job.job_id).open_steps_by_key[0, 0]


def _answer(scheduler, step, named, good, now=0.0):
    tickets = {name: f"{name} at {now}" for name in good}
    scheduler.record_advice(step, named, tickets, now, _VALIDITY_S)


def _refuse(scheduler, start, now):
    scheduler.handle_start_refused(
        start.instance,
        (start.task, start.run),
        fleet.RefusalReason.INVALID_TICKET,
        no_copy_pending=True,
        now=now,
    )


def test_a_refused_ticket_leaves_those_for_other_instances_valid():
    """One refused ticket made a step wait for another call to the service."""
    scheduler = _scheduler("i-1", "i-2")
    step = _add_step(scheduler)
    _answer(scheduler, step, ("i-1", "i-2"), ("i-1", "i-2"))
    (first,) = fleet_builders.plan_batch(scheduler, 0.1).starts
    _refuse(scheduler, first, 0.2)
    (second,) = fleet_builders.plan_batch(scheduler, 0.3).starts
    assert {first.instance, second.instance} == {"i-1", "i-2"}


def test_a_refused_ticket_does_not_end_the_use_of_a_newer_one():
    """A late refusal of an old ticket dropped the one that had replaced it."""
    scheduler = _scheduler("i-1")
    step = _add_step(scheduler)
    _answer(scheduler, step, ("i-1",), ("i-1",))
    (start,) = fleet_builders.plan_batch(scheduler, 0.1).starts
    _answer(scheduler, step, ("i-1",), ("i-1",), now=0.2)
    _refuse(scheduler, start, 0.3)
    (again,) = fleet_builders.plan_batch(scheduler, 0.4).starts
    assert again.ticket == "i-1 at 0.2"


def test_a_ticket_is_not_used_when_it_may_expire_before_its_start_arrives():
    scheduler = _scheduler("i-1")
    step = _add_step(scheduler)
    _answer(scheduler, step, ("i-1",), ("i-1",))
    assert not fleet_builders.plan_batch(scheduler, 2.9).starts
    assert scheduler.tickets_for(step, 2.0)


def test_what_is_known_of_a_step_is_forgotten_when_it_has_ended():
    """Tickets of ended steps stayed in memory for the rest of a term."""
    scheduler = _scheduler("i-1")
    for number in range(1, 4):
        step = _add_step(scheduler, number)
        _answer(scheduler, step, ("i-1",), ("i-1",))
        fleet_builders.plan_batch(scheduler, 0.1)
    scheduler.cancel_job(step.entry.job.job_id, 0.2)
    _report_ends(scheduler, "i-1", 0.3)
    waiting = _add_step(scheduler, 9)
    _answer(scheduler, waiting, ("i-1",), ())
    assert len(scheduler.tickets) == 4
    scheduler.missing_tickets(fleet_builders.moment(60.0))
    assert len(scheduler.tickets) == 1
    assert "i-1" in scheduler.tickets.unsuitable(waiting.key)


def _report_ends(scheduler, name, now):
    ends = tuple(
        fleet.RunEnd(number, run.task, run.run, fleet.RunOutcome.DONE, "")
        for number, run in enumerate(
            scheduler.instances[name].runs.values(), start=1
        )
    )
    report = fleet_builders.status_report(ended=ends)
    scheduler.handle_status_report(name, report, now, now)
