"""Failures around the owner of a fleet."""

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import order_outcomes
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_LONG_RUNNING = (
    jobs.Step(count=2, long_running=True, may_miss=1, anti_affinity=1),
)


def test_a_cancellation_that_arrives_before_its_job_takes_effect():
    """Guards against a job that runs although its cancellation was confirmed.

    After the store lost its change history, the owner read the table of
    cancellations again before the table of jobs. It dropped a cancellation
    whose job it did not know.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.cancel_job(fleet_builders.job().job_id, 1.0)
    scheduler.add_job(fleet_builders.job(), 1.1)
    assert not fleet_builders.plan_batch(scheduler).starts
    entry = scheduler.tracker.get(fleet_builders.job().job_id)
    assert entry.state is jobs.JobState.CANCELLED


def test_a_repeated_order_for_finished_maintenance_ends_no_runs():
    """Guards against a second run after a change of owner during a wave.

    The new owner orders maintenance that an earlier owner had ordered. The
    platform accepts the order and does nothing. The owner assumed that all
    runs on the machine had ended and started their tasks elsewhere.
    """
    order = fleet.WaveOrder("wave/1", 1, ("m-1",), 20.0, 1)
    wave = waves.new_wave(order, 0.0)
    item = wave.machines["m-1"]
    item.phase = waves.MachinePhase.IN_MAINTENANCE
    item.instance = "i-1"
    listed = fleet.Machine(
        "m-1",
        "berthing",
        fleet.MachineState.UP,
        "zone-1",
        "i-1",
        fleet.Resources(1, 1),
    )
    waves.update_progress(wave, {"m-1": listed}, 2.0, 0.1)
    assert item.phase is waves.MachinePhase.DONE


def _two_long_running_tasks() -> tuple[
    schedulers.Scheduler, term_state.WriteBatch
]:
    """Returns an owner with two serving tasks of a step, and their batch."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=_LONG_RUNNING), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch, percent=100.0)
    return scheduler, batch


def test_consecutive_machine_orders_do_not_exceed_the_disruption_budget():
    """Guards against ending two tasks of a step with a budget of one.

    Orders for two machines follow each other within milliseconds, before the
    first instance has reported the ends of its runs.
    """
    scheduler, _ = _two_long_running_tasks()
    first, second = scheduler.instances["i-1"], scheduler.instances["i-2"]
    assert evacuation.allows_disruption_of_all(scheduler, first, 2.0)
    first.machine_orders.add("maintenance")
    assert not evacuation.allows_disruption_of_all(scheduler, second, 2.0)


def test_a_new_owner_without_status_reports_stops_at_most_one_task():
    """Guards against ending two tasks of a step with a budget of one.

    A new owner knows from the rows where tasks run, but not whether they
    serve. It assumed that they did not, so that each seemed free to stop.
    """
    before, batch = _two_long_running_tasks()
    entry = before.tracker.get(fleet_builders.job().job_id)
    scheduler = fleet_builders.new_scheduler()
    for name in ("i-1", "i-2"):
        scheduler.handle_registration(fleet_builders.registration(name), 5.0)
    scheduler.restore(entry.job, entry.to_document(), 1, 5.0)
    scheduler.recover_runs(5.0, 20.0)
    for instance in scheduler.instances.values():
        evacuation.evacuate_instance(scheduler, instance, 5.0)
    assert len(scheduler.take_stops()) <= 1
    assert len(batch.starts) == 2


def test_a_task_without_capacity_elsewhere_is_not_evicted():
    """Guards against a task that waits 15 s while machines are maintained.

    The task was stopped because its instance was being drained. The rest of
    the pool was full, and nothing may start on a draining instance.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=4000)
    long_running = jobs.Step(count=1, long_running=True, may_miss=1)
    scheduler.add_job(fleet_builders.job(steps=(long_running,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler), percent=100.0
    )
    instance = scheduler.instances["i-1"]
    instance.is_cordoned = True
    evacuation.evacuate_instance(scheduler, instance, 3.0)
    assert not scheduler.take_stops()
    fleet_builders.add_instances(scheduler, "i-2", now=3.0)
    evacuation.evacuate_instance(scheduler, instance, 3.1)
    assert len(scheduler.take_stops()) == 1


def test_ends_are_not_acknowledged_before_they_are_written():
    """Guards against running a finished task again after its owner was lost.

    More jobs changed than fit into one transaction. The ends of jobs left for
    the next transaction were acknowledged with the first.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    for number in (1, 2):
        scheduler.add_job(
            fleet_builders.job(number, (jobs.Step(count=1),)), 0.0
        )
    starts = fleet_builders.plan_batch(scheduler).starts
    ends = tuple(
        fleet.RunEnd(number, start.task, start.run, fleet.RunOutcome.DONE, "")
        for number, start in enumerate(starts, 1)
    )
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report(ends), 2.0, 2.0
    )
    assert not scheduler.take_batch(1).recorded_ends
    assert scheduler.take_batch(1).recorded_ends == {"i-1": 2}


def test_a_status_report_older_than_a_start_does_not_release_its_task():
    """Guards against a task that runs on two instances at once.

    A start and a lease renewal are in flight together. The status report was
    made before the start took effect, so it does not list the run.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    start = fleet_builders.plan_batch(scheduler).starts[0]
    scheduler.handle_status_report(
        start.instance, fleet_builders.status_report(), 0.9, 1.1
    )
    assert not fleet_builders.plan_batch(scheduler).starts


def test_an_unanswered_start_blocks_its_task_until_it_can_not_take_effect():
    """Guards against a second run when a start takes effect seconds late.

    The start was unanswered, so the task was started elsewhere.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    start = fleet_builders.plan_batch(scheduler).starts[0]
    key = (start.task, start.run)
    late = 1.0 + order_outcomes.START_ANSWER_TIMEOUT_S
    assert not scheduler.handle_start_unanswered(
        start.instance, key, True, late
    )
    assert not fleet_builders.plan_batch(scheduler, late).starts
    assert scheduler.take_stops()
    scheduler.handle_stop_accepted(start.instance, key, late + 0.1)
    assert not fleet_builders.plan_batch(scheduler, late + 0.1).starts
    scheduler.handle_status_report(
        start.instance, fleet_builders.status_report(), late + 0.2, late + 0.3
    )
    assert fleet_builders.plan_batch(scheduler, late + 0.3).starts[0].run == 2


def test_a_task_of_a_crashed_instance_does_not_wait_for_its_lease():
    """Guards against a task that waits seconds after its instance crashed.

    The list of machines shows another instance on the machine, so no run of
    the former one is left and its lease need not expire first.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    start = fleet_builders.plan_batch(scheduler).starts[0]
    scheduler.mark_unresponsive(start.instance, 2.0)
    assert not fleet_builders.plan_batch(scheduler, 2.0).starts
    scheduler.remove_instance(start.instance, 2.1, "its machine runs another")
    again = fleet_builders.plan_batch(scheduler, 2.1).starts[0]
    assert again.instance != start.instance


class _ScriptedTable:
    """A table that answers commits with given outcomes."""

    def __init__(self, *outcomes: platform.CommitOutcome):
        self._outcomes = list(outcomes)
        self.transactions: list[platform.Transaction] = []

    def read(self, keys):
        raise NotImplementedError

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        self.transactions.append(transaction)
        return self._outcomes.pop(0)


_OWNER_ROW = fenced_writer.OwnerRow("edge-1", "10.0.0.1:1", "boot-1")


def test_a_lost_commit_answer_is_settled_by_the_same_transaction():
    """Guards against an owner that steps down although its write succeeded.

    The answer was lost; the second copy conflicts with the first.
    """
    clock = clocks.ManualClock()
    unknown = platform.OutcomeUnknown("lost")
    table = _ScriptedTable(platform.Committed(7), unknown)
    writer = fenced_writer.FencedWriter(table, clock, _OWNER_ROW)
    assert writer.take_over(0, 0.0)

    def conflict(transaction):
        if len(table.transactions) < 2:
            table.transactions.append(transaction)
            return unknown
        row = platform.Row(
            fenced_writer.OWNER_KEY, 9, _OWNER_ROW.document(), transaction.token
        )
        table.transactions.append(transaction)
        return platform.Conflict((row,))

    table.commit = conflict
    written = writer.write([])
    assert written == fenced_writer.Written(9)
    assert table.transactions[1] == table.transactions[2]


def test_an_owner_writes_nothing_after_another_process_took_over():
    """Guards against two owners that start the same task.

    A process that lost ownership while it was paused continued as before.
    """
    clock = clocks.ManualClock()
    other = platform.Row(fenced_writer.OWNER_KEY, 9, {"holder": "edge-2"}, "x")
    table = _ScriptedTable(platform.Committed(7), platform.Conflict((other,)))
    writer = fenced_writer.FencedWriter(table, clock, _OWNER_ROW)
    writer.take_over(0, 0.0)
    assert writer.write([]) == fenced_writer.TermOver()
    assert writer.write([]) == fenced_writer.TermOver()
    assert len(table.transactions) == 2


def test_a_slow_store_does_not_cause_a_takeover():
    """Guards against seconds without any start while the store is slow.

    The store answered after a quarter of a second and the owner wrote once a
    second. The owner was considered dead, and four owners took over in turn.
    """
    watch = owner_monitor.OwnerMonitor()
    row = fenced_writer.OwnerRow("edge-1", "10.0.0.1:1", "boot-1")
    watch.on_row_read(row, 5, 0.0, 0.25)
    assert not watch.is_suspect(1.5)
    assert not watch.may_take_over(2.5)
    assert watch.may_take_over(3.2)


def test_a_store_outage_does_not_cause_a_takeover():
    """Guards against several processes that take over after a store outage.

    No process could write during the outage, so that time must not count
    against the owner.
    """
    watch = owner_monitor.OwnerMonitor()
    row = fenced_writer.OwnerRow("edge-1", "10.0.0.1:1", "boot-1")
    watch.on_row_read(row, 5, 0.0, 0.0)
    watch.on_read_failed()
    watch.on_row_read(row, 5, 10.0, 10.0)
    assert not watch.may_take_over(10.5)
    assert watch.may_take_over(11.7)


def test_machine_orders_wait_while_the_previous_owner_may_be_alive():
    """Guards against two owners that send orders for the same machine.

    The previous owner may only be slow. If its process has ended, it sends no
    more orders, and its successor need not wait.
    """
    watch = owner_monitor.OwnerMonitor()
    row = fenced_writer.OwnerRow("edge-1", "10.0.0.1:1", "boot-1")
    watch.on_row_read(row, 5, 0.0, 0.0)
    assert watch.operations_allowed_from(3.0, 1.6) == 3.0
    watch.on_process_ended("boot-1")
    assert watch.operations_allowed_from(3.0, 1.6) == 1.6


def test_a_new_owner_does_not_consider_inherited_tasks_stalled():
    """Guards against restarting tasks after each change of owner.

    The new owner had not yet seen the task's progress change, and treated it
    as if there had been no progress since its monotonic clock began.
    """
    before = fleet_builders.new_scheduler()
    fleet_builders.add_instances(before, "i-1", "i-2")
    before.add_job(fleet_builders.job(), 0.0)
    batch = fleet_builders.plan_batch(before)
    entry = before.tracker.get(fleet_builders.job().job_id)
    scheduler = fleet_builders.new_scheduler()
    for name in ("i-1", "i-2"):
        scheduler.handle_registration(fleet_builders.registration(name), 100.0)
    scheduler.restore(entry.job, entry.to_document(), 1, 100.0)
    scheduler.recover_runs(100.0, 120.0)
    fleet_builders.accept_starts(scheduler, batch)
    fleet_builders.report_running(scheduler, {"i-2": []})
    scheduler.stop_stalled_runs(101.0)
    assert not scheduler.take_stops()
