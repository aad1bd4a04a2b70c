"""Changes of machines and load while machines of a wave drain."""

from tests.common import clocks
from tests.common import fleets
from tests.common import upkeep
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import jobs


def test_no_order_is_sent_for_a_machine_removed_while_draining():
    """Otherwise a wave stops forever after a machine was removed.

    The machine was draining when it left the list. If its maintenance is still
    ordered, the control loop fails on the missing entry.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(), 0.0)
    fleets.run_all(core, fleets.plan(core))
    machines, board = (
        upkeep.Machines(["m-1", "m-2"]),
        upkeep.Board("m-1", "m-2"),
    )
    clock = clocks.ManualClock()
    task = upkeep.task(core, machines, board, clock)
    task._wave_driver._draining["m-1"] = clock.monotonic()
    machines.names = ["m-2"]
    for _ in range(40):
        assert task._read_list()
        task._apply()
        task.mover.step()
        clock.advance(0.25)
    assert machines.ordered == ["m-2"]
    assert board.reports[-1] == ("wave/1", True)


def test_a_draining_machine_is_uncordoned_when_its_pool_needs_it():
    """Otherwise tasks of a burst wait 20 s beside half empty instances.

    The burst starts while machines of the pool drain for maintenance. If these
    stay cordoned until the wave is behind schedule, their capacity is unused.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    separate = jobs.Step(count=2, cpu=1000, anti_affinity=1)
    core.job_added(fleets.job(steps=(separate,)), 0.0)
    fleets.run_all(core, fleets.plan(core))
    clock = clocks.ManualClock()
    task = upkeep.task(
        core, upkeep.Machines(["m-1", "m-2"]), upkeep.Board("m-1", "m-2"), clock
    )
    assert task._read_list()
    for _ in range(2):
        task._apply()
        task.mover.step()
    assert any(instance.cordoned for instance in core.instances.values())
    burst = fleets.job(2, steps=(jobs.Step(count=20, cpu=1000),))
    core.job_added(burst, 0.1)
    fleets.plan(core)
    task.mover.step()
    task._apply()
    assert not any(instance.cordoned for instance in core.instances.values())


def test_a_moving_machine_gets_no_work_after_its_maintenance():
    """Otherwise a move kills tasks that started after it was ordered.

    The maintenance of the machine is finished. If each read of the list makes
    its instance available again, it gets work while a move is in flight.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    clock = clocks.ManualClock()
    task = upkeep.task(
        core, upkeep.Machines(["m-1", "m-2"]), upkeep.Board("m-1", "m-2"), clock
    )
    assert task._read_list()
    task._apply()
    for progress in task._wave_driver._waves["wave/1"].machines.values():
        progress.phase = waves.Phase.DONE
    core.instances["i-1"].leaving = True
    assert task._read_list()
    task._apply()
    assert core.instances["i-1"].leaving


def test_long_running_tasks_leave_due_machines_before_these_drain():
    """Otherwise a wave ends 6 s late because of its long-running tasks.

    Their job allows one to stop at a time. If the machines that run most of
    them start to drain last, little time of the wave is left.
    """
    long_running = jobs.Step(count=2, cpu=100, long_running=True, may_miss=1)
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(long_running,)), 0.0)
    fleets.run_all(core, fleets.plan(core), percent=100.0)
    core.instances["i-1"].due = True
    fleets.adopt(core, "i-2")
    core.instances["i-2"].due = True
    evacuation.evacuate_all(core, 3.0)
    assert not core.take_stops()
    core.instances["i-2"].due = False
    evacuation.evacuate_all(core, 3.1)
    assert len(core.take_stops()) == 1
    assert core.instances["i-1"].usable(3.1)
