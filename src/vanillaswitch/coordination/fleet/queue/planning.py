"""Assigns waiting tasks to instances with room."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools

from vanillaswitch import errors
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import orders
from vanillaswitch.coordination.fleet.instances import suspicion
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet


class Planning(orders.Orders):
    """Decides what starts where."""

    def least_instances(self) -> dict[str, int]:
        """Returns how many instances the lasting tasks of each pool need.

        Tasks that may not share an instance need one each, whatever the load.
        Pools without such tasks are left out.
        """
        least: dict[str, int] = {}
        for entry in self.book.live.values():
            for step in entry.open.values():
                apart = step.step.anti_affinity
                if step.step.long_running and apart:
                    service = self.service_of(entry)
                    count = -(-step.step.count // apart)
                    least[service] = max(least.get(service, 1), count)
        return least

    def ready_steps(
        self, moment: queue_order.Moment
    ) -> dict[str, list[books.OpenStep]]:
        """Returns open steps with waiting tasks, by pool, in order."""
        steps: dict[str, list[tuple[queue_order.Key, books.OpenStep]]] = {}
        for entry in self.book.live.values():
            queue = self.queues.get(entry.job.queue)
            service = self.service_of(entry)
            for step in entry.open_steps(moment.wall_ms):
                if step.waits:
                    key = self._order(step, queue, moment)
                    steps.setdefault(service, []).append((key, step))
        return {
            service: [step for _, step in sorted(found, key=_by_key)]
            for service, found in steps.items()
        }

    def plan(self, now: float, wall_ms: float) -> None:
        """Assigns waiting tasks to instances with room.

        Args:
            now: monotonic seconds.
            wall_ms: time of day in milliseconds since 1970.
        """
        self._changed = False
        self.settle_crashes(now)
        ready = self.ready_steps(queue_order.Moment(now, wall_ms))
        self.without_spec = _without_spec(ready)
        self._plan_steps(ready, now)
        waiting = {service: _waiting(steps) for service, steps in ready.items()}
        self.waiting_cpu = {name: cpu for name, (cpu, _) in waiting.items()}
        self.waiting_load = {name: load for name, (_, load) in waiting.items()}

    def _plan_steps(
        self, ready: Mapping[str, list[books.OpenStep]], now: float
    ) -> None:
        pools = self.by_pool()
        for service, steps in ready.items():
            instances = [
                instance
                for instance in pools.get(service, [])
                if instance.usable(now)
            ]
            widest = placement.Widest(instances)
            for step in steps:
                if step.entry.spec is None:
                    continue
                if step.crashed or self._doubts(step, now):
                    all_of_pool = pools.get(service, [])
                    instances = self._place_apart(
                        step, instances, all_of_pool, now
                    )
                    widest = placement.Widest(instances)
                if widest.admits(books.need(step.step)) and self._place(
                    step, instances, now
                ):
                    widest = placement.Widest(instances)
                held = self._held_for(step, instances, now)
                if held is not None:
                    instances = [item for item in instances if item is not held]
                    widest = placement.Widest(instances)

    def _doubts(self, step: books.OpenStep, now: float) -> bool:
        """Whether a step runs what has crashed instances of late.

        Its first task is tried apart then, before the others start.
        """
        image = step.step.image
        if now >= self._doubted_images.get(image, 0.0) or step.works:
            return False
        step.crashed = True
        step.tasks[0].suspect = True
        return True

    def _place_apart(
        self,
        step: books.OpenStep,
        instances: list[rooms.Instance],
        pool: Sequence[rooms.Instance],
        now: float,
    ) -> list[rooms.Instance]:
        """Starts suspected tasks of a step where a crash harms least.

        Returns:
            The instances that are left for other tasks.
        """
        suspects = [task for task in step.suspects if now >= task.judged_at]
        if not step.works:
            judged = len(suspects) == len(step.suspects)
            idle = judged and not self._is_tried(step)
            suspects = suspects[:1] if idle else []
        if not suspects:
            return instances
        tickets = self.tickets_for(step, now)
        if step.step.gang:
            quiet = [item for item in instances if not item.unproven]
            self._place(step, quiet, now, apart=True)
            return [item for item in instances if not item.apart]
        for task in suspects:
            eligible = placement.eligible(step, instances, now, tickets)
            found = suspicion.least_harm(self, step, task, eligible, now)
            if found is None or not suspicion.may_try(pool, found):
                break
            instances = [item for item in instances if item is not found]
            if not suspicion.is_free_for(step, task, found):
                # Nothing more starts there until what is new has worked for
                # a while, and there is room.
                step.held = found.name
                break
            ticket = tickets.get(found.name, "") if tickets else ""
            self._assign(
                step, task, found, task.run + 1, ticket, now, apart=True
            )
            step.entry.started = True
            self.book.touch(step.entry)
        return instances

    def _is_tried(self, step: books.OpenStep) -> bool:
        """Whether a suspected task of a step runs, and what comes of it tells.

        A run that is to be stopped tells nothing. Its stop may wait for other
        tasks of its step to be at work, so they can't wait for it.
        """
        trials = [
            self._run(task.instance, (task.name, task.run))
            for task in step.tasks
            if task.suspect and task.state is books.TaskState.ASSIGNED
        ]
        return any(run is not None and run.stopping is None for run in trials)

    def _held_for(
        self,
        step: books.OpenStep,
        instances: Iterable[rooms.Instance],
        now: float,
    ) -> rooms.Instance | None:
        """Returns an instance that gets nothing until a lasting task fits.

        In a full pool each gap is taken at once by a task that is smaller, so
        a larger one that lasts would wait for as long as small ones come; the
        instance with the most room is free enough within one short task.
        """
        if not step.step.long_running:
            return None
        waiting = step.waiting
        if not waiting:
            return None
        need = books.need(step.step)
        held = max(
            (
                instance
                for instance in instances
                if instance.makes_room(step.step, waiting[0].name, need, now)
            ),
            # The same one as long as no other has more: two that are held by
            # turns would both be filled again.
            key=lambda item: (item.free_share(need), item.name == step.held),
            default=None,
        )
        step.held = held.name if held else ""
        return held

    def _place(
        self,
        step: books.OpenStep,
        instances: Iterable[rooms.Instance],
        now: float,
        *,
        apart: bool = False,
    ) -> bool:
        """Assigns tasks of a step, or a gang that is tried apart.

        Returns:
            Whether any was.
        """
        tickets = self.tickets_for(step, now)
        if tickets is not None and not tickets:
            return False
        candidates = placement.eligible(step, instances, now, tickets)
        if not candidates:
            return False
        choose = placement.gang if apart else placement.choose
        chosen = choose(step, candidates)
        if not chosen:
            return False
        highest = max(task.run for task, _ in chosen)
        for task, instance in chosen:
            run = highest + 1 if step.step.gang else task.run + 1
            ticket = tickets.get(instance.name, "") if tickets else ""
            self._assign(step, task, instance, run, ticket, now, apart=apart)
        step.entry.started = True
        self.book.touch(step.entry)
        return True

    def _assign(
        self,
        step: books.OpenStep,
        task: books.Task,
        instance: rooms.Instance,
        number: int,
        ticket: str,
        now: float,
        *,
        apart: bool = False,
    ) -> None:
        spec = step.entry.spec
        if spec is None:
            raise errors.InvariantError("a task starts without its job's spec")
        task.state = books.TaskState.ASSIGNED
        task.run = number
        task.instance = instance.name
        task.born_ms = instance.lives.current
        run = rooms.Run(
            task.name, number, step.step, books.need(step.step), now
        )
        run.born_ms = task.born_ms
        run.apart = apart
        run.proof_s = crash_evidence.proof_s(task.crashes)
        instance.add(run)
        self._emit(
            events.TaskAssigned(
                task.name.job_id,
                task.name.label,
                number,
                instance.name,
                instance.free_cpu,
                task.failed,
            )
        )
        self._starts.append(
            term_state.StartOrder(
                instance.name,
                task.name,
                number,
                spec,
                task.saved,
                ticket,
            )
        )

    def tickets_for(
        self, step: books.OpenStep, now: float
    ) -> Mapping[str, str] | None:
        """Returns the tickets of a step, None where it needs none."""
        queue = self.queues.get(step.entry.job.queue)
        if queue is None or queue.advice is None:
            return None
        key = (step.entry.job.job_id, step.occurrence, step.number)
        if self._ticket_until.get(key, 0.0) <= now:
            return {}
        return self.tickets.get(key, {})

    def advised(
        self,
        step: books.OpenStep,
        tickets: Mapping[str, str],
        until: float,
    ) -> None:
        """Takes note of a step's tickets, good until a monotonic second."""
        key = (step.entry.job.job_id, step.occurrence, step.number)
        self.tickets[key] = tickets
        self._ticket_until[key] = until
        self._changed = True


def _waiting(steps: Iterable[books.OpenStep]) -> tuple[int, fleet.Load]:
    """Returns what waits in all, and the load of what ends by itself."""
    cpu, load = 0, fleet.Load()
    for step in steps:
        count = len(step.waiting)
        if count:
            cpu += books.need(step.step).cpu * count
            load = load.plus(step.step, count)
    return cpu, load


def _without_spec(
    ready: Mapping[str, list[books.OpenStep]],
) -> tuple[str, ...]:
    """Returns jobs that wait for their spec, by turns from each pool."""
    waiting = [
        [step.entry.job.job_id for step in steps if step.entry.spec is None]
        for steps in ready.values()
    ]
    turns = itertools.chain.from_iterable(itertools.zip_longest(*waiting))
    return tuple(dict.fromkeys(job_id for job_id in turns if job_id))


def _by_key(
    item: tuple[queue_order.Key, books.OpenStep],
) -> tuple[queue_order.Key, float]:
    return item[0], item[1].entry.heard_at
