"""Log events about stopped runs."""

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=2, anti_affinity=1
)


def _serving():
    """Returns an owner's decisions and log.

    One task serves on each of three instances.
    """
    emitted = []
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emitted.append
    )
    scheduler.apply_config(fleet_builders.config())
    fleet_builders.add_instances(scheduler, "i-1", "i-2", "i-3")
    scheduler.add_job(fleet_builders.job(steps=(_LONG_RUNNING,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler), percent=100.0
    )
    return scheduler, emitted


def _stops(emitted):
    return [event for event in emitted if isinstance(event, events.RunStopped)]


def _stop(scheduler, name, now):
    instance = scheduler.instances[name]
    (run,) = instance.runs.values()
    scheduler.stop_run(instance, run, now, "a reason")


def test_a_stop_event_states_unavailable_tasks_budget_and_report_age():
    scheduler, emitted = _serving()
    _stop(scheduler, "i-1", 2.5)
    _stop(scheduler, "i-2", 3.5)
    first, second = _stops(emitted)
    assert (first.away, first.spared, first.unheard_ms) == (0, 2, 500)
    assert (second.away, second.spared, second.unheard_ms) == (1, 2, 1500)


def test_each_stop_sent_to_a_long_running_task_is_logged():
    scheduler, emitted = _serving()
    _stop(scheduler, "i-1", 2.5)
    scheduler.resend_stops(3.5)
    assert [stop.why for stop in _stops(emitted)] == ["a reason", "again"]


def test_a_stop_of_an_unknown_run_is_logged():
    scheduler, emitted = _serving()
    (run,) = scheduler.instances["i-1"].runs.values()
    other = jobs.TaskName(f"{9:016x}", 0, 0, 0)
    row = fleet_builders.fleet.RunStatus(other, 1, "", 5.0)
    kept = fleet_builders.fleet.RunStatus(run.task, run.run, "", 100.0)
    fleet_builders.report_running(scheduler, {"i-1": [kept, row]})
    (stop,) = _stops(emitted)
    assert stop.job == other.job_id
    assert stop.why == "reported, but not a current run of a known job"


def test_a_stop_event_of_a_short_task_states_no_budget():
    emitted = []
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emitted.append
    )
    scheduler.apply_config(fleet_builders.config())
    fleet_builders.add_instances(scheduler, "i-1")
    job = fleet_builders.job()
    scheduler.add_job(job, 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    scheduler.cancel_job(job.job_id, 3.0)
    assert {(stop.away, stop.spared) for stop in _stops(emitted)} == {(0, 0)}
