"""An owner whose processor is too slow for all that it would like to do."""

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import feeds

_PLAN_S = 0.11
"""What a plan of 400 waiting jobs took on a core of 0.12."""

_PLANS = 20


class _Feed:
    """Tables without rows."""

    def snapshot(self, table, parts=()):
        del table, parts
        return feeds.Snapshot((), 1)


def test_plans_leave_an_owner_time_for_its_starts_and_renewals():
    """What was accepted never runs, and owners follow each other.

    Hundreds of jobs wait for a slow owner, and each end of a task asks for a
    new plan. Made one after the other, plans took most of its processor: its
    timers were late by 0.15 to 0.3 s, its renewals by over a second, and the
    next owner went the same way.
    """
    clock = manual.ManualClock()
    owner = terms.begin(tables.MemoryTable(), _Feed(), clock)
    planned = []

    def plan(now, wall_ms):
        del now, wall_ms
        clock.advance(_PLAN_S)
        planned.append(clock.monotonic())
        owner.core._changed = True
        owner._wake.set()
        if len(planned) == _PLANS:
            owner._recorder.depose()

    owner.core.plan = plan
    owner._wake.set()
    began = clock.monotonic()
    owner._plan_all()
    whole_s = clock.monotonic() - began
    assert whole_s / 4 >= _PLANS * _PLAN_S


def test_a_plan_works_out_only_what_has_changed(monkeypatch):
    """A plan of 400 jobs that wait for a full pool took 14 ms, now 4 ms.

    For each open step it walked over all steps of its job three times, to see
    what may open and how much work is left, though no step had ended.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    for number in range(50):
        core.job_added(fleets.job(number), 0.0)
    fleets.plan(core)
    worked_out = []
    chain_ms = queue_order.chain_ms

    def counted(job, done):
        worked_out.append(job)
        return chain_ms(job, done)

    monkeypatch.setattr(queue_order, "chain_ms", counted)
    fleets.plan(core)
    assert not worked_out
