"""What goes wrong in a soak: each fault begins, lasts and is taken back.

Faults overlap as they come. One that ends a process starts it again after a
pause, as the platform does.
"""

from collections.abc import Callable
from collections.abc import Sequence
import signal
from typing import Any

import gevent

from soak import clients
from soak import promises as promise_lib
from soak import world as worlds
from standins import edge_http
from standins import edge_processes
from standins import relays
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import registry
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.transport import plain_http

Fault = Callable[[worlds.World, float], None]
"""Harms a world for so many seconds."""

FAULTS: registry.Registry[Fault] = registry.Registry("fault of a soak")

ADVICE_FAULTS: registry.Registry[Fault] = registry.Registry(
    "fault of a soak with an advice service"
)
"""Kept apart, so that the seeds of other soaks draw the same faults."""

ENDING_FAULTS: registry.Registry[Fault] = registry.Registry(
    "fault of a soak whose long-running tasks end by themselves"
)
"""Kept apart for the same reason."""

BACKLOG_FAULTS: registry.Registry[Fault] = registry.Registry(
    "fault of a soak with jobs that have a long backlog"
)
"""Kept apart for the same reason."""

LATE_START_FAULTS: registry.Registry[Fault] = registry.Registry(
    "fault of a soak with starts that are executed late"
)
"""Kept apart for the same reason as ``ADVICE_FAULTS``."""

CANCEL_PAUSE_S = 0.5
"""Pause before a cancel that was not confirmed is sent again."""

CANCEL_TRIES_S = 9.0
"""Time after which a cancel that is never confirmed is given up: longer than
any fault lasts."""

WIDE_JOBS = 12
"""Jobs with thousands of tasks that come together."""

RESTART_S = 0.3
"""Pause before a process that ended is started again."""

GRACE_S = 6.0
"""Time from a request to stop until a process is killed."""

WAVE_S = 10.0
"""Time of a wave besides: four machines, and the upkeep of each."""

SHRUNK = fleet.Resources(5_000, 8_192)
"""Room of an instance that has shrunk: less than some tasks need."""

SERIES = 3
"""Signals of one kind that come in a row."""

LEASE_S = 9.0
"""Time in which the lease of a run on an unreachable instance has expired, and
its task has started elsewhere."""


def find(name: str) -> Fault:
    """Returns a fault of any registry by its name."""
    for special in (
        ADVICE_FAULTS,
        ENDING_FAULTS,
        BACKLOG_FAULTS,
        LATE_START_FAULTS,
    ):
        if name in special.names:
            return special.get(name)
    return FAULTS.get(name)


def _any_edge(world: worlds.World) -> edge_processes.Edge:
    return world.random.choice(world.edges)


def _start_again(edge: edge_processes.Edge) -> None:
    gevent.sleep(RESTART_S)
    if not edge.runs:
        edge.restart()


@FAULTS.register("kill")
def kill(world: worlds.World, seconds: float) -> None:
    """Kills one process; its machine is dark for the time."""
    edge = _any_edge(world)
    edge.kill()
    gevent.sleep(seconds)
    _start_again(edge)


@FAULTS.register("kill-owner")
def kill_owner(world: worlds.World, seconds: float) -> None:
    """Kills whoever owns the fleet, again once another one does."""
    for _ in range(SERIES):
        edge = world.owner() or _any_edge(world)
        edge.kill()
        gevent.sleep(seconds / SERIES)
        _start_again(edge)


@FAULTS.register("kill-all")
def kill_all(world: worlds.World, seconds: float) -> None:
    """Kills all processes at once."""
    for edge in world.edges:
        edge.kill()
    gevent.sleep(min(1.0, seconds))
    for edge in world.edges:
        _start_again(edge)


@FAULTS.register("stop-in-turn")
def stop_in_turn(world: worlds.World, seconds: float) -> None:
    """Tells one process after the other to stop, and starts it again."""
    for edge in world.random.sample(world.edges, len(world.edges)):
        edge.send(signal.SIGTERM)
        with gevent.Timeout(GRACE_S, False):
            while edge.runs:
                gevent.sleep(0.05)
        edge.kill()
        _start_again(edge)
        gevent.sleep(seconds / len(world.edges))


@FAULTS.register("freeze")
def freeze(world: worlds.World, seconds: float) -> None:
    """Stops a process and lets it go on, a few times."""
    edge = _any_edge(world)
    for _ in range(SERIES):
        edge.send(signal.SIGSTOP)
        gevent.sleep(seconds / SERIES)
        edge.send(signal.SIGCONT)
        gevent.sleep(0.1)


@FAULTS.register("reload")
def reload(world: worlds.World, seconds: float) -> None:
    """Tells all processes that their settings changed."""
    for edge in world.edges:
        edge.send(signal.SIGHUP)
        gevent.sleep(seconds / len(world.edges))


@FAULTS.register("store-refuses")
def store_refuses(world: worlds.World, seconds: float) -> None:
    """The store answers that nothing was done."""
    world.platform.rows.down = True
    gevent.sleep(seconds)
    world.platform.rows.down = False


@FAULTS.register("store-loses-answers")
def store_loses_answers(world: worlds.World, seconds: float) -> None:
    """The store writes and does not answer."""
    world.platform.rows.lose_answers = True
    gevent.sleep(seconds)
    world.platform.rows.lose_answers = False


@FAULTS.register("store-loses-some")
def store_loses_some(world: worlds.World, seconds: float) -> None:
    """The store does not answer each third of its writes."""
    world.platform.rows.lose_every = 3
    gevent.sleep(seconds)
    world.platform.rows.lose_every = 0


@FAULTS.register("store-part-away")
def store_part_away(world: worlds.World, seconds: float) -> None:
    """Parts of the tables are away, and the owner is killed meanwhile."""
    parts = world.platform.rows.parts_away
    chosen = world.random.sample(world.parts, len(world.parts) // 3)
    parts.update(chosen)
    gevent.sleep(seconds / 3)
    kill_owner(world, seconds / 3)
    parts.difference_update(chosen)


@FAULTS.register("store-forgets")
def store_forgets(world: worlds.World, seconds: float) -> None:
    """The store drops its history, again and again."""
    for _ in range(SERIES):
        world.platform.rows.forget()
        gevent.sleep(seconds / SERIES)


UNREADABLE: tuple[dict[str, Any], ...] = (
    {"service": "pool", "capacity": "all"},
    {"service": ["pool"], "address": 80, "labels": "ab"},
    {"state": "resting"},
)
"""Entries as another writer may leave them in the table of instances."""


@FAULTS.register("entries-of-others")
def entries_of_others(world: worlds.World, seconds: float) -> None:
    """Another writer adds entries, and writes over those of instances.

    An instance writes its own again with its next heartbeat.
    """
    rows = world.platform.rows
    for number, document in enumerate(UNREADABLE):
        rows.write("servers", f"x-{number}", document)
    until = world.promises.now + seconds
    while world.promises.now < until:
        instance = world.random.choice(world.platform.instances)
        name = instance.model.registration.instance
        rows.write("servers", name, world.random.choice(UNREADABLE))
        gevent.sleep(0.2)
    for number in range(len(UNREADABLE)):
        rows.remove("servers", f"x-{number}")


@FAULTS.register("instances-start-again")
def instances_start_again(world: worlds.World, seconds: float) -> None:
    """Instances crash and start again under their ids, one after the other."""
    for _ in range(SERIES):
        instance = world.random.choice(world.platform.instances)
        if not instance.model.up:
            continue
        link = world.instance_links[instance.model.registration.instance]
        link.harm(relays.Harm.RESET)
        instance.restart()
        gevent.sleep(RESTART_S)
        link.harm(relays.Harm.NONE)
        gevent.sleep(seconds / SERIES)


@LATE_START_FAULTS.register("starts-outlive-instances")
def starts_outlive_instances(world: worlds.World, seconds: float) -> None:
    """A start that got no answer reaches a later incarnation."""
    instance = world.random.choice(world.platform.instances)
    link = world.instance_links[instance.model.registration.instance]
    instance.delay_next_start(world.random.uniform(1.0, 6.0))
    gevent.sleep(world.random.choice([0.3, 1.5]))
    for _ in range(world.random.choice([1, 2])):
        link.harm(relays.Harm.RESET)
        instance.model.crash()
        gevent.sleep(world.random.choice([0.3, 2.0]))
        instance.restart()
        link.harm(relays.Harm.NONE)
        gevent.sleep(seconds / SERIES)


@ENDING_FAULTS.register("long-running-tasks-end")
def long_running_tasks_end(world: worlds.World, seconds: float) -> None:
    """The long-running tasks of an instance end done, again and again."""
    for _ in range(SERIES):
        _end_long_running(world, _busy_instance(world))
        gevent.sleep(seconds / SERIES)


@ENDING_FAULTS.register("long-running-tasks-end-behind-a-cut")
def long_running_tasks_end_behind_a_cut(
    world: worlds.World, seconds: float
) -> None:
    """An instance is cut off until its lease has expired.

    Its long-running tasks end done meanwhile. One instance at a time, since the
    others have to do all the work.
    """
    if any(link.is_refusing for link in world.instance_links.values()):
        return
    instance = _busy_instance(world)
    link = world.instance_links[instance.model.registration.instance]
    with link.refusing():
        gevent.sleep(min(1.0, seconds))
        _end_long_running(world, instance)
        gevent.sleep(LEASE_S)


def _busy_instance(world: worlds.World) -> edge_http.Instance:
    """Returns an instance that runs long-running tasks, if one does."""
    busy = [
        instance
        for instance in world.platform.instances
        if _long_running_tasks(world, instance)
    ]
    return world.random.choice(busy or world.platform.instances)


def _long_running_tasks(
    world: worlds.World, instance: edge_http.Instance
) -> list[jobs.TaskName]:
    return [
        task
        for task in instance.model.running
        if world.promises.is_long_running(task)
    ]


def _end_long_running(
    world: worlds.World, instance: edge_http.Instance
) -> None:
    for task in _long_running_tasks(world, instance):
        instance.model.end(task, fleet.RunOutcome.DONE)


@FAULTS.register("tasks-crash-instances")
def tasks_crash_instances(world: worlds.World, seconds: float) -> None:
    """Jobs come whose tasks crash each instance that starts them."""
    with plain_http.open_client(clocks.SystemClock()) as client:
        for _ in range(SERIES):
            clients.hand_in_crashing(client, world)
            gevent.sleep(seconds / SERIES)


@BACKLOG_FAULTS.register("recurring-jobs")
def recurring_jobs(world: worlds.World, seconds: float) -> None:
    """Jobs come that have been due for long."""
    bodies = [clients.recurring_body(world) for _ in range(SERIES)]
    _submit_and_cancel(world, bodies, seconds)


@BACKLOG_FAULTS.register("wide-jobs")
def wide_jobs(world: worlds.World, seconds: float) -> None:
    """Jobs with thousands of tasks come together."""
    _submit_and_cancel(world, [clients.WIDE] * WIDE_JOBS, seconds)


def _submit_and_cancel(
    world: worlds.World, bodies: Sequence[object], seconds: float
) -> None:
    """Submits jobs that do not end in time, and cancels them afterwards."""
    with plain_http.open_client(clocks.SystemClock()) as client:
        records = [clients.hand_in_long(client, world, body) for body in bodies]
        gevent.sleep(seconds)
        for record in records:
            if record.accepted_at is None and not record.unknown:
                continue
            record.cancel_sent = True
            until = world.promises.now + CANCEL_TRIES_S
            while record.cancelled_at is None and world.promises.now < until:
                clients.cancel(client, world, record)
                gevent.sleep(CANCEL_PAUSE_S)


@FAULTS.register("rooms-shrink")
def rooms_shrink(world: worlds.World, seconds: float) -> None:
    """The room of two instances shrinks, and grows again."""
    chosen = world.random.sample(world.platform.instances, 2)
    for instance in chosen:
        instance.room = SHRUNK
        name = instance.model.registration.instance
        world.promises.shrink(name, SHRUNK)
    gevent.sleep(promise_lib.ROOM_S + seconds)
    for instance in chosen:
        world.promises.grow(instance.model.registration.instance)
        instance.room = promise_lib.CAPACITY


@FAULTS.register("configure")
def configure(world: worlds.World, seconds: float) -> None:
    """The operators write configurations in quick succession."""
    for _ in range(SERIES):
        world.configure()
        gevent.sleep(seconds / SERIES)


@FAULTS.register("wave")
def wave(world: worlds.World, seconds: float) -> None:
    """Machines are due for upkeep; several waves may come one on the other."""
    world.order_wave(seconds + WAVE_S)
    gevent.sleep(seconds)


def _harm(link: relays.Relay, harm: relays.Harm, seconds: float) -> None:
    link.harm(harm)
    gevent.sleep(seconds)
    link.harm(relays.Harm.NONE)


def _register_links() -> None:
    """Registers each harm of a link for both kinds of links."""
    for harm in relays.Harm:
        if harm is relays.Harm.NONE:
            continue

        def store(
            world: worlds.World, seconds: float, harm: relays.Harm = harm
        ) -> None:
            link = world.store_links[_any_edge(world).name]
            _harm(link, harm, seconds)

        def instance(
            world: worlds.World, seconds: float, harm: relays.Harm = harm
        ) -> None:
            links = list(world.instance_links.values())
            _harm(world.random.choice(links), harm, seconds)

        FAULTS.register(f"store-link-{harm}")(store)
        FAULTS.register(f"instance-link-{harm}")(instance)


_register_links()
