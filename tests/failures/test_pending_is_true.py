"""What a queue's length says while its owner is in trouble."""

from tests.common import fleets
from vanillaswitch.protocol import fleet


def _with_three_jobs():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=16_000)
    for number in (1, 2, 3):
        core.job_added(fleets.job(number), 0.0)
    return core, fleets.plan(core).starts


def test_a_job_waits_until_a_task_of_it_has_begun():
    """A queue is said to be empty while thirteen jobs wait in it for 5 s.

    Its owner had given their tasks to instances, and could not write or send
    the starts; what was decided counted as begun.
    """
    core, starts = _with_three_jobs()
    assert starts
    assert core.book.pending("quotes") == 3
    first = starts[0]
    core.may_send(first)
    core.started("i-1", (first.task, first.run))
    assert core.book.pending("quotes") == 2


def test_what_an_instance_lists_has_begun():
    """A new owner counts jobs as waiting whose tasks run."""
    core, starts = _with_three_jobs()
    running = tuple(
        fleet.Running(start.task, start.run, "", 5.0) for start in starts
    )
    core.held("i-1", fleets.held((), running), 0.0, 0.0)
    assert core.book.pending("quotes") == 0


def test_what_ended_before_it_was_listed_has_begun():
    """Jobs that fail at once count as waiting although they were tried."""
    core, starts = _with_three_jobs()
    ends = tuple(
        fleet.End(number, start.task, start.run, fleet.How.STOPPED, "")
        for number, start in enumerate(starts, 1)
    )
    core.held("i-1", fleets.held(ends), 0.0, 0.0)
    assert core.book.pending("quotes") == 0
