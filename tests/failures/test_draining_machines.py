"""Changes of machines and load while machines of a wave drain."""

from tests.common import clocks
from tests.common import fleet_builders
from tests.common import wave_doubles
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import jobs


def test_no_order_is_sent_for_a_machine_removed_while_draining():
    """Otherwise a wave stops forever after a machine was removed.

    The machine was draining when it left the list. If its maintenance is still
    ordered, the control loop fails on the missing entry.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    machines, wave_store = (
        wave_doubles.Machines(["m-1", "m-2"]),
        wave_doubles.WaveStore("m-1", "m-2"),
    )
    clock = clocks.ManualClock()
    task = wave_doubles.task(scheduler, machines, wave_store, clock)
    task._wave_controller._draining["m-1"] = wave_controller._Drain(
        "wave/1", clock.monotonic()
    )
    machines.names = ["m-2"]
    for _ in range(40):
        assert task._read_list()
        task._apply()
        task.mover.step()
        clock.advance(0.25)
    assert machines.ordered == ["m-2"]
    assert wave_store.reports[-1] == ("wave/1", True)


def test_a_draining_machine_is_uncordoned_when_its_pool_needs_it():
    """Otherwise tasks of a burst wait 20 s beside half empty instances.

    The burst starts while machines of the pool drain for maintenance. If these
    stay cordoned until the wave is behind schedule, their capacity is unused.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    separate = jobs.Step(count=2, cpu=1000, anti_affinity=1)
    scheduler.add_job(fleet_builders.job(steps=(separate,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    clock = clocks.ManualClock()
    task = wave_doubles.task(
        scheduler,
        wave_doubles.Machines(["m-1", "m-2"]),
        wave_doubles.WaveStore("m-1", "m-2"),
        clock,
    )
    assert task._read_list()
    for _ in range(2):
        task._apply()
        task.mover.step()
    assert any(
        instance.is_cordoned for instance in scheduler.instances.values()
    )
    burst = fleet_builders.job(2, steps=(jobs.Step(count=20, cpu=1000),))
    scheduler.add_job(burst, 0.1)
    fleet_builders.plan_batch(scheduler)
    task.mover.step()
    task._apply()
    assert not any(
        instance.is_cordoned for instance in scheduler.instances.values()
    )


def test_a_moving_machine_gets_no_work_after_its_maintenance():
    """Otherwise a move kills tasks that started after it was ordered.

    The maintenance of the machine is finished. If each read of the list makes
    its instance available again, it gets work while a move is in flight.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    clock = clocks.ManualClock()
    task = wave_doubles.task(
        scheduler,
        wave_doubles.Machines(["m-1", "m-2"]),
        wave_doubles.WaveStore("m-1", "m-2"),
        clock,
    )
    assert task._read_list()
    task._apply()
    for progress in task._wave_controller._waves["wave/1"].machines.values():
        progress.phase = waves.MachinePhase.DONE
    scheduler.begin_machine_order(
        scheduler.instances["i-1"], "move to spare", clock.monotonic()
    )
    assert task._read_list()
    task._apply()
    assert scheduler.instances["i-1"].is_terminating


def test_long_running_tasks_leave_due_machines_before_these_drain():
    """Otherwise a wave ends 6 s late because of its long-running tasks.

    Their job allows one to stop at a time. If the machines that run most of
    them start to drain last, little time of the wave is left.
    """
    long_running = jobs.Step(count=2, cpu=100, long_running=True, may_miss=1)
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(steps=(long_running,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler), percent=100.0
    )
    scheduler.instances["i-1"].is_maintenance_due = True
    fleet_builders.add_instances(scheduler, "i-2")
    scheduler.instances["i-2"].is_maintenance_due = True
    evacuation.evacuate_instances(scheduler, 3.0)
    assert not scheduler.take_stops()
    scheduler.instances["i-2"].is_maintenance_due = False
    evacuation.evacuate_instances(scheduler, 3.1)
    assert len(scheduler.take_stops()) == 1
    assert scheduler.instances["i-1"].is_schedulable(3.1)
