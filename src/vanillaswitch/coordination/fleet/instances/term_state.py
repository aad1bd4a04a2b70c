"""The state of one term of ownership, and what its decisions leave to do."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.queue import arrivals
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

DEFAULT_BOUNDS = deployments.Bounds()


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A start that may be sent once its row is written."""

    instance: str
    task: jobs.TaskName
    run: int
    spec: str
    saved: str
    ticket: str


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """A run that is to be stopped."""

    instance: str
    task: jobs.TaskName
    run: int


@dataclasses.dataclass(frozen=True)
class Batch:
    """What is written together and what may be done afterwards.

    Attributes:
        entries: jobs whose rows are written.
        starts: to be sent afterwards.
        seen: number of the last end taken note of, by instance.
        lives: the life of the instance that numbered it.
    """

    entries: tuple[books.Entry, ...]
    starts: tuple[StartOrder, ...]
    seen: Mapping[str, int]
    lives: Mapping[str, int]


class State:
    """Jobs, instances and configuration as the owner knows them.

    Attributes:
        book: all accepted jobs.
        instances: by id.
        queues: by name, as configured now.
        pools: by name, as configured now.
        unread: jobs of which only progress is known: their own rows lie in
            a part of the store that is away.
        without_spec: jobs that could start but for their spec, which is not
            read yet.
        waiting_cpu: processors that ready tasks wait for, by pool.
        arrivals: jobs that came lately, by pool.
        waiting_load: those of them that end by themselves, by pool.
    """

    def __init__(
        self,
        order: queue_order.Order,
        emit: Callable[[object], None],
        bounds: deployments.Bounds = DEFAULT_BOUNDS,
    ):
        """Makes the state of a term that knows nothing yet.

        Args:
            order: which open step gets room first.
            emit: takes each event of ``events``.
            bounds: of the deployment.
        """
        self._bounds = bounds
        self._order = order
        self._emit = emit
        self.book = books.Book()
        self.instances: dict[str, rooms.Instance] = {}
        self.queues: Mapping[str, fleet.Queue] = {}
        self.pools: Mapping[str, fleet.Pool] = {}
        self.unread: Collection[str] = frozenset()
        self.tickets: dict[tuple[str, int, int], Mapping[str, str]] = {}
        self._ticket_until: dict[tuple[str, int, int], float] = {}
        self.without_spec: tuple[str, ...] = ()
        self.waiting_cpu: Mapping[str, int] = {}
        self.arrivals: dict[str, arrivals.Arrivals] = {}
        self.waiting_load: Mapping[str, fleet.Load] = {}
        self._entries_old = False
        self._early_cancels: set[str] = set()
        self._starts: list[StartOrder] = []
        self._stops: list[StopOrder] = []
        self._changed = True

    @property
    def notice_s(self) -> float:
        """A lasting task away for so long counts against what is spared."""
        return self._bounds.notice_s

    def configured(self, config: fleet.FleetConfig) -> None:
        """Takes a configuration into force."""
        self.queues = {queue.name: queue for queue in config.queues}
        self.pools = config.pools
        self._changed = True

    def registered(self, registration: fleet.Registration, now: float) -> bool:
        """Takes note of an instance; returns whether it is a new one."""
        self._changed = True
        known = self.instances.get(registration.instance)
        if known is None:
            instance = rooms.Instance(registration, now)
            self.instances[registration.instance] = instance
            self._emit_instance(instance, "listed", "", now)
            return True
        if registration.draining and not known.registration.draining:
            self._emit_instance(known, "draining", "it says so", now)
        if known.distrusted:
            self._emit_instance(known, "listed", "it can be read again", now)
        known.register(registration)
        known.listed = True
        known.distrusted = False
        return False

    def distrusted(self, name: str, why: str, now: float) -> None:
        """Takes note that an instance's entry can't be read.

        Another writer may have written over it: the instance may run on, and
        may be gone. What runs there is held at the address that is known, and
        keeps its room until its end is heard or its lease has lapsed; started
        elsewhere at once it could run twice. It gets no new work.
        """
        known = self.instances.get(name)
        if known is None or known.distrusted:
            return
        known.distrusted = True
        self._changed = True
        self._emit_instance(known, "distrusted", why, now)

    def holds(self, name: str) -> bool:
        """Whether an instance is asked for its account and held.

        One of a service that the configuration does not name is no instance
        of ours; what was started there before is held to its end.
        """
        known = self.instances.get(name)
        if known is None or not known.registration.address:
            return False
        return bool(known.runs) or known.registration.service in self.pools

    def unlisted(self, name: str) -> None:
        """Takes note that an instance left the platform's list.

        That is no proof that it stopped: it may be cut off and run on.
        """
        if name in self.instances:
            self.instances[name].listed = False

    def _emit_instance(
        self, instance: rooms.Instance, change: str, why: str, now: float
    ) -> None:
        self._emit(
            events.InstanceChanged(
                instance.name,
                instance.registration.service,
                change,
                why,
                int((now - instance.heard_at) * 1000),
                len(instance.runs),
            )
        )

    def service_of(self, entry: books.Entry) -> str:
        """Returns the pool that a job's tasks run in now."""
        queue = self.queues.get(entry.job.queue)
        return queue.service if queue else entry.job.service

    def pool_instances(self, service: str) -> list[rooms.Instance]:
        """Returns a pool's instances."""
        return self.by_pool().get(service, [])

    def by_pool(self) -> dict[str, list[rooms.Instance]]:
        """Returns the instances of each pool that has any."""
        found: dict[str, list[rooms.Instance]] = {}
        for instance in self.instances.values():
            service = instance.registration.service
            found.setdefault(service, []).append(instance)
        return found

    def _begun(self, job_id: str) -> None:
        """Takes note that a task of a job has surely begun."""
        entry = self.book.get(job_id)
        if entry is not None:
            entry.begun = True

    def _run(self, instance: str, key: rooms.RunKey) -> rooms.Run | None:
        known = self.instances.get(instance)
        return known.runs.get(key) if known else None

    @property
    def changed(self) -> bool:
        """Whether something happened that a plan may act on."""
        return self._changed

    @property
    def has_work(self) -> bool:
        """Whether there is something to write."""
        return self.book.has_dirty

    def take_batch(self, limit: int) -> Batch:
        """Takes the next rows to write, with what follows from them."""
        entries = tuple(self.book.take_dirty(limit))
        ids = {entry.job.job_id for entry in entries}
        starts = [s for s in self._starts if s.task.job_id in ids]
        self._starts = [s for s in self._starts if s.task.job_id not in ids]
        seen = {
            name: instance.noted_end
            for name, instance in self.instances.items()
        }
        if self.book.has_dirty:
            # Some of these ends are not in this batch.
            seen = {}
        lives = {name: self.instances[name].life for name in seen}
        return Batch(entries, tuple(starts), seen, lives)

    def take_stops(self) -> list[StopOrder]:
        """Takes the stops that are to be sent."""
        stops, self._stops = self._stops, []
        return stops
