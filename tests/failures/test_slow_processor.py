"""An owner whose processor is too slow for all its work."""

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import change_feeds

_PLAN_S = 0.11
"""Duration of a plan with 400 waiting jobs on 0.12 of a core."""

_PLANS = 20


class _Feed:
    """A feed of tables without rows."""

    def snapshot(self, table, parts=()):
        del table, parts
        return change_feeds.Snapshot((), 1)


def test_plans_leave_an_owner_time_for_its_starts_and_renewals():
    """Guards against jobs that never run and owners that keep changing.

    Hundreds of jobs wait for a slow owner, and each end of a task requests a
    new plan. Back-to-back plans take most of the processor: timers are 0.15 to
    0.3 s late and lease renewals over a second, so the owner loses the fleet,
    and the next owner fails in the same way.
    """
    clock = manual.ManualClock()
    owner = ownership_terms.begin_term(tables.MemoryTable(), _Feed(), clock)
    planned = []

    def plan(now, wall_ms, pause):
        del now, wall_ms, pause
        clock.advance(_PLAN_S)
        planned.append(clock.monotonic())
        owner.scheduler._needs_plan = True
        owner._replan_event.set()
        if len(planned) == _PLANS:
            owner._writer.end_term()

    owner.scheduler.plan = plan
    owner._replan_event.set()
    began = clock.monotonic()
    owner._run_planning()
    total_s = clock.monotonic() - began
    assert total_s / 4 >= _PLANS * _PLAN_S


def test_a_plan_recomputes_only_what_has_changed(monkeypatch):
    """Guards against plans that walk over the steps of jobs without changes.

    To find steps to open and the remaining work, a plan went through all steps
    of the job three times for each open step. With 400 jobs that waited for a
    full pool it took 14 ms instead of 4 ms.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    for number in range(50):
        scheduler.add_job(fleet_builders.job(number), 0.0)
    fleet_builders.plan_batch(scheduler)
    computed = []
    critical_path_ms = queue_order.critical_path_ms

    def recording(job, done):
        computed.append(job)
        return critical_path_ms(job, done)

    monkeypatch.setattr(queue_order, "critical_path_ms", recording)
    fleet_builders.plan_batch(scheduler)
    assert not computed
