"""Accepted jobs of a queue that is dropped from the configuration."""

import dataclasses
import json

import gevent.event

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import ticket_refresher
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.queue import planning
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.platform import job_body
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_ATTEMPTS = 4
_ADVICE = fleet.AdvisorConfig(20.0, 2.0, 3000.0)


def _without_queues():
    return dataclasses.replace(fleet_builders.config(), version=2, queues=())


def _running(**fields):
    """Returns an owner with a started task, whose queue allows 4 attempts."""
    scheduler = fleet_builders.new_scheduler(_ATTEMPTS)
    fleet_builders.add_instances(scheduler, "i-1", "i-2", "i-3", "i-4", "i-5")
    steps = (jobs.Step(count=1, cpu=1000),)
    scheduler.add_job(fleet_builders.job(steps=steps, **fields), 0.0)
    return scheduler


def _fail_runs(scheduler, count, now=1.0):
    """Lets the current run of the only task fail, so many times in a row."""
    for number in range(1, count + 1):
        now += 1.0
        (start,) = fleet_builders.plan_batch(scheduler, now).starts
        end = fleet.RunEnd(
            1, start.task, start.run, fleet.RunOutcome.FAILED, ""
        )
        report = fleet_builders.status_report(ended=(end,))
        scheduler.handle_status_report(start.instance, report, now, now)
        (entry,) = scheduler.tracker
        if entry.ended is not None:
            return number
    return None


def test_a_job_keeps_its_attempts_when_its_queue_is_dropped():
    """Guards against a job that fails at the first failure of a task."""
    scheduler = _running()
    scheduler.apply_config(_without_queues())
    assert _fail_runs(scheduler, _ATTEMPTS + 1) == _ATTEMPTS


def test_a_new_owner_keeps_the_attempts_of_a_job_without_a_queue():
    """Guards against the same where the owner never knew the queue."""
    body = b'{"steps":[{"count":1,"cpu":1000}]}'
    job = job_body.parse_job(
        body, "ab" * 8, "quotes", "berthing", 0, attempt_limit=_ATTEMPTS
    )
    read = job_rows.row_to_job(job_rows.job_to_row(job))
    assert read == job
    scheduler = fleet_builders.new_scheduler()
    scheduler.apply_config(_without_queues())
    fleet_builders.add_instances(scheduler, "i-1", "i-2", "i-3", "i-4", "i-5")
    scheduler.add_job(read, 0.0)
    assert _fail_runs(scheduler, _ATTEMPTS + 1) == _ATTEMPTS


def test_a_queue_that_is_back_decides_again():
    scheduler = _running(attempt_limit=_ATTEMPTS)
    scheduler.apply_config(_without_queues())
    scheduler.apply_config(fleet_builders.config(attempts=2))
    assert _fail_runs(scheduler, _ATTEMPTS) == 2


def test_the_row_of_a_job_without_known_attempts_reads_as_before():
    job = fleet_builders.job()
    assert "attempt_limit" not in job_rows.job_to_row(job)
    assert job_rows.row_to_job(job_rows.job_to_row(job)) == job


def test_a_step_still_needs_tickets_when_its_queue_is_dropped():
    """Guards against starts that instances refuse for want of a ticket."""
    scheduler = _running()
    scheduler.apply_config(fleet_builders.config(advice=_ADVICE))
    scheduler.apply_config(_without_queues())
    assert not fleet_builders.plan_batch(scheduler).starts
    missing = scheduler.missing_tickets(fleet_builders.moment(1.0))
    assert missing


def _asks_for_tickets(scheduler):
    """Whether the service is asked for tickets after a plan."""
    refresher = ticket_refresher.TicketRefresher(
        scheduler,
        None,
        clocks.ManualClock(1.0),
        gevent.event.Event(),
        lambda: fleet_builders.WALL_MS,
        lambda _: None,
    )
    fleet_builders.plan_batch(scheduler)
    refresher.update_requests(planning.no_pause)
    return refresher._calls.has_requests


def test_tickets_are_requested_for_a_dropped_queue():
    """Guards against jobs that wait for good once no queue has an advisor."""
    scheduler = fleet_builders.new_scheduler()
    scheduler.apply_config(fleet_builders.config(advice=_ADVICE))
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(), 0.0)
    scheduler.apply_config(_without_queues())
    assert _asks_for_tickets(scheduler)


def test_tickets_are_requested_by_an_owner_that_never_knew_the_queue():
    """Guards against starts without a ticket after a change of owner."""
    body = b'{"steps":[{"count":1,"cpu":1000}]}'
    job = job_body.parse_job(
        body, "ab" * 8, "quotes", "berthing", 0, advice=_ADVICE
    )
    read = job_rows.row_to_job(json.loads(json.dumps(job_rows.job_to_row(job))))
    assert read == job
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), lambda _: None
    )
    scheduler.apply_config(_without_queues())
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(read, 0.0)
    assert _asks_for_tickets(scheduler)
    assert not fleet_builders.plan_batch(scheduler).starts


def test_no_tickets_are_requested_where_no_queue_ever_had_an_advisor():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(), 0.0)
    assert not _asks_for_tickets(scheduler)


def test_a_configured_queue_decides_whether_tickets_are_needed():
    """Guards against tickets that a queue does not ask for any more."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(advice=_ADVICE), 0.0)
    assert fleet_builders.plan_batch(scheduler).starts


def test_the_row_of_a_job_without_an_advisor_reads_as_before():
    job = fleet_builders.job()
    assert "advice" not in job_rows.job_to_row(job)
