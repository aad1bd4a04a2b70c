"""The faults of the model, each filed under its kind."""

from collections.abc import Callable

from standins.model import scenario as scenarios
from standins.model import world as worlds


@worlds.FAULTS.register("dark")
def dark(world: worlds.World, fault: scenarios.Fault) -> Callable[[], None]:
    """Instances end without a word; their machines are down meanwhile."""
    machines = world.hit(fault)
    for machine in machines:
        assert machine.instance is not None
        name = machine.instance.registration.instance
        machine.down = True
        world.machines.end_instance(machine, None)
        world.unheard(name, world.clock.now)

    def end() -> None:
        for machine in machines:
            machine.down = False
            machine.back_at = world.clock.now

    return end


@worlds.FAULTS.register("slow")
def slow(world: worlds.World, fault: scenarios.Fault) -> Callable[[], None]:
    """What starts on some instances takes longer."""
    machines = world.hit(fault)
    for machine in machines:
        machine.slow = fault.factor

    def end() -> None:
        for machine in machines:
            machine.slow = 1.0

    return end


@worlds.FAULTS.register("errors")
def errors(world: worlds.World, fault: scenarios.Fault) -> Callable[[], None]:
    """Some instances fail all that they start."""
    machines = world.hit(fault)
    for machine in machines:
        machine.failing = True

    def end() -> None:
        for machine in machines:
            machine.failing = False

    return end


@worlds.FAULTS.register("restarted")
def restarted(
    world: worlds.World, fault: scenarios.Fault
) -> Callable[[], None]:
    """Instances crash and start again at once under their ids, twice."""
    machines = world.hit(fault)

    def restart() -> None:
        for machine in machines:
            if machine.instance is not None:
                world.restart(machine.instance)

    restart()
    return restart


@worlds.FAULTS.register("crashing_tasks")
def crashing_tasks(
    world: worlds.World, fault: scenarios.Fault
) -> Callable[[], None]:
    """Jobs come of which one task crashes each instance that starts it."""
    return world.begin_crashing(fault.share, whole=False)


@worlds.FAULTS.register("crashing_steps")
def crashing_steps(
    world: worlds.World, fault: scenarios.Fault
) -> Callable[[], None]:
    """Jobs come of which all tasks of the first step do."""
    return world.begin_crashing(fault.share, whole=True)


@worlds.FAULTS.register("shrunk")
def shrunk(world: worlds.World, fault: scenarios.Fault) -> Callable[[], None]:
    """The room of some instances shrinks, and grows again."""
    machines = world.hit(fault)
    for machine in machines:
        world.resize(machine, fault.factor)

    def end() -> None:
        for machine in machines:
            world.resize(machine, 1.0)

    return end


@worlds.FAULTS.register("owner_lost")
def owner_lost(
    world: worlds.World, fault: scenarios.Fault
) -> Callable[[], None]:
    """Nobody owns the fleet; another process takes it over afterwards."""
    del fault
    world.owner_lost = True
    return world.take_over


@worlds.FAULTS.register("store_away")
def store_away(
    world: worlds.World, fault: scenarios.Fault
) -> Callable[[], None]:
    """Nothing is written: hand-ins are refused and nothing new starts."""
    del fault
    world.store_away = True

    def end() -> None:
        world.store_away = False

    return end
