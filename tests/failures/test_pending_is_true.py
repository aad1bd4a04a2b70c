"""The count of pending jobs stays true while the owner can't send starts."""

from tests.common import fleets
from vanillaswitch.protocol import fleet


def _with_three_jobs():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=16_000)
    for number in (1, 2, 3):
        core.job_added(fleets.job(number), 0.0)
    return core, fleets.plan(core).starts


def test_a_job_is_pending_until_an_instance_confirms_a_start():
    """Guards against a queue that looks empty while jobs wait in it.

    An owner that has assigned tasks but can't write or send their starts counts
    the jobs as started. In one case 13 jobs waited 5 s in a queue that looked
    empty.
    """
    core, starts = _with_three_jobs()
    assert starts
    assert core.book.pending("quotes") == 3
    first = starts[0]
    core.may_send(first)
    core.started("i-1", (first.task, first.run))
    assert core.book.pending("quotes") == 2


def test_a_job_with_a_reported_run_is_not_pending():
    """Guards against a new owner that counts running jobs as pending."""
    core, starts = _with_three_jobs()
    running = tuple(
        fleet.Running(start.task, start.run, "", 5.0) for start in starts
    )
    core.held("i-1", fleets.held((), running), 0.0, 0.0)
    assert core.book.pending("quotes") == 0


def test_a_job_with_a_reported_end_is_not_pending():
    """Guards against jobs that fail at once and are counted as pending."""
    core, starts = _with_three_jobs()
    ends = tuple(
        fleet.End(number, start.task, start.run, fleet.How.STOPPED, "")
        for number, start in enumerate(starts, 1)
    )
    core.held("i-1", fleets.held(ends), 0.0, 0.0)
    assert core.book.pending("quotes") == 0
