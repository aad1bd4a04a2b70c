"""The count of pending jobs stays true while the owner can't send starts."""

from tests.common import fleet_builders
from vanillaswitch.protocol import fleet


def _with_three_jobs():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=16_000)
    for number in (1, 2, 3):
        scheduler.add_job(fleet_builders.job(number), 0.0)
    return scheduler, fleet_builders.plan_batch(scheduler).starts


def test_a_job_is_pending_until_an_instance_confirms_a_start():
    """Guards against a queue that looks empty while jobs wait in it.

    An owner that has assigned tasks but can't write or send their starts counts
    the jobs as started. In one case 13 jobs waited 5 s in a queue that looked
    empty.
    """
    scheduler, starts = _with_three_jobs()
    assert starts
    assert scheduler.tracker.count_pending("quotes") == 3
    first = starts[0]
    scheduler.may_send_start(first)
    scheduler.handle_start_accepted("i-1", (first.task, first.run))
    assert scheduler.tracker.count_pending("quotes") == 2


def test_a_job_with_a_reported_run_is_not_pending():
    """Guards against a new owner that counts running jobs as pending."""
    scheduler, starts = _with_three_jobs()
    running = tuple(
        fleet.RunStatus(start.task, start.run, "", 5.0) for start in starts
    )
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((), running), 0.0, 0.0
    )
    assert scheduler.tracker.count_pending("quotes") == 0


def test_a_job_with_a_reported_end_is_not_pending():
    """Guards against jobs that fail at once and are counted as pending."""
    scheduler, starts = _with_three_jobs()
    ends = tuple(
        fleet.RunEnd(
            number, start.task, start.run, fleet.RunOutcome.STOPPED, ""
        )
        for number, start in enumerate(starts, 1)
    )
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report(ends), 0.0, 0.0
    )
    assert scheduler.tracker.count_pending("quotes") == 0
