"""Starts without an answer, of tasks that their job spares few of."""

from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import orders
from vanillaswitch.protocol import jobs

_LASTING = jobs.Step(count=3, cpu=100, long_running=True, may_miss=1)


def _assigned():
    """Returns an owner that has decided the starts of three lasting tasks."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(_LASTING,)), 0.0)
    return core, fleets.plan(core, 1.0).starts


def test_starts_without_answer_are_not_stopped_beside_each_other():
    """Two reminders of a job that spares one stop at the same time.

    Their starts arrived and the answers did not. The owner gave both up after
    1.5 s and stopped them, while both were at work.
    """
    core, starts = _assigned()
    late = 1.0 + orders.DOUBT_S
    for start in starts:
        key = (start.task, start.run)
        assert core.start_unanswered(start.instance, key, True, late)
    assert not core.take_stops()


def test_one_start_without_answer_is_given_up_where_its_job_spares_it():
    core, starts = _assigned()
    fleets.run_all(core, _batch(starts[1:]), percent=100.0)
    first = starts[0]
    late = 1.0 + orders.DOUBT_S
    key = (first.task, first.run)
    assert not core.start_unanswered(first.instance, key, True, late)
    assert len(core.take_stops()) == 1


def _batch(starts):
    class _Batch:
        pass

    batch = _Batch()
    batch.starts = starts
    return batch


def test_a_start_that_was_sent_late_is_not_given_up_for_it():
    """A reminder is started and stopped again 0.3 s later.

    A slow owner sent the start over a second after its decision, and counted
    the time without an answer from there.
    """
    core, starts = _assigned()
    fleets.run_all(core, _batch(starts[1:]), percent=100.0)
    first = starts[0]
    key = (first.task, first.run)
    sent_at = 1.0 + orders.DOUBT_S
    now = sent_at + 0.7
    assert core.start_unanswered(first.instance, key, True, now, sent_at)
    assert not core.take_stops()
