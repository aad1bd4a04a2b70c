"""What changes while machines of a wave are being emptied."""

from tests.common import clocks
from tests.common import fleets
from tests.common import upkeep
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import jobs


def test_no_order_is_given_for_a_machine_that_left_while_it_was_emptied():
    """A wave stands still after a machine was taken away for good.

    The machine was being emptied when it left the list; its upkeep was still
    ordered, and the task that orders upkeep failed on the missing entry.
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


def test_a_machine_that_is_being_emptied_works_on_when_its_pool_needs_it():
    """Quotes wait beside half empty instances for 20 s.

    Their turn began while machines of their pool were being emptied for
    upkeep; kept from work until the wave had to hurry, these stood idle.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    apart = jobs.Step(count=2, cpu=1000, anti_affinity=1)
    core.job_added(fleets.job(steps=(apart,)), 0.0)
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
    turn = fleets.job(2, steps=(jobs.Step(count=20, cpu=1000),))
    core.job_added(turn, 0.1)
    fleets.plan(core)
    task.mover.step()
    task._apply()
    assert not any(instance.cordoned for instance in core.instances.values())


def test_a_machine_on_its_way_to_another_pool_gets_no_work():
    """Quotes are thrown away by a move that was ordered before they started.

    Its upkeep was done, so with each reading of the list its instance was
    given work again, also while an order to move it was under way.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    clock = clocks.ManualClock()
    task = upkeep.task(
        core, upkeep.Machines(["m-1", "m-2"]), upkeep.Board("m-1", "m-2"), clock
    )
    assert task._read_list()
    task._apply()
    for item in task._wave_driver._waves["wave/1"].machines.values():
        item.phase = waves.Phase.DONE
    core.instances["i-1"].leaving = True
    assert task._read_list()
    task._apply()
    assert core.instances["i-1"].leaving


def test_lasting_tasks_leave_machines_that_are_due_before_these_are_emptied():
    """A wave ends 6 s late because of the tasks that last.

    Their job spares one at a time, and the machines that run most of them were
    chosen last, when the time of the wave was nearly over.
    """
    lasting = jobs.Step(count=2, cpu=100, long_running=True, may_miss=1)
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(lasting,)), 0.0)
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
