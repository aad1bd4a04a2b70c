"""Assigns waiting tasks to instances with enough unreserved capacity."""

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
    """Decides which tasks start on which instances."""

    def least_instances(self) -> dict[str, int]:
        """Returns how many instances long-running tasks need, by pool.

        Anti-affinity limits how many tasks of a step share an instance, so such
        tasks need a minimum of instances whatever their load. Pools without
        them are left out.
        """
        minimums: dict[str, int] = {}
        for entry in self.book.live.values():
            for step in entry.open.values():
                max_per_instance = step.step.anti_affinity
                if step.step.long_running and max_per_instance:
                    service = self.service_of(entry)
                    count = -(-step.step.count // max_per_instance)
                    minimums[service] = max(minimums.get(service, 1), count)
        return minimums

    def ready_steps(
        self, moment: queue_order.Moment
    ) -> dict[str, list[books.OpenStep]]:
        """Returns open steps with waiting tasks, by pool, in queue order."""
        steps: dict[str, list[tuple[queue_order.Key, books.OpenStep]]] = {}
        for entry in self.book.live.values():
            queue = self.queues.get(entry.job.queue)
            service = self.service_of(entry)
            for step in entry.open_steps(moment.wall_ms):
                if step.waits:
                    key = self._order(step, queue, moment)
                    steps.setdefault(service, []).append((key, step))
        return {
            service: [step for _, step in sorted(found, key=_sort_key)]
            for service, found in steps.items()
        }

    def plan(self, now: float, wall_ms: float) -> None:
        """Assigns waiting tasks to instances with enough unreserved capacity.

        Args:
            now: monotonic seconds.
            wall_ms: time of day in milliseconds since 1970.
        """
        self._changed = False
        self.settle_crashes(now)
        ready = self.ready_steps(queue_order.Moment(now, wall_ms))
        self.without_spec = _without_spec(ready)
        self._plan_steps(ready, now)
        waiting = {service: _backlog(steps) for service, steps in ready.items()}
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
            max_free = placement.MaxFree(instances)
            for step in steps:
                if step.entry.spec is None:
                    continue
                if step.crashed or self._suspect_by_image(step, now):
                    pool = pools.get(service, [])
                    instances = self._place_in_isolation(
                        step, instances, pool, now
                    )
                    max_free = placement.MaxFree(instances)
                if max_free.may_fit(books.need(step.step)) and self._place(
                    step, instances, now
                ):
                    max_free = placement.MaxFree(instances)
                reserved = self._reserve_for(step, instances, now)
                if reserved is not None:
                    instances = [
                        item for item in instances if item is not reserved
                    ]
                    max_free = placement.MaxFree(instances)

    def _suspect_by_image(self, step: books.OpenStep, now: float) -> bool:
        """Marks a step as suspect if its image has recently crashed instances.

        Its first task is then tried in isolation before the others start.

        Returns:
            Whether the step was marked.
        """
        image = step.step.image
        if now >= self._doubted_images.get(image, 0.0) or step.works:
            return False
        step.crashed = True
        step.tasks[0].suspect = True
        return True

    def _place_in_isolation(
        self,
        step: books.OpenStep,
        instances: list[rooms.Instance],
        pool: Sequence[rooms.Instance],
        now: float,
    ) -> list[rooms.Instance]:
        """Starts suspect tasks of a step where a crash does least harm.

        Args:
            step: a step with waiting tasks.
            instances: the instances that are available for this step.
            pool: all instances of the step's pool.
            now: monotonic seconds.

        Returns:
            The instances that stay available for other tasks.
        """
        suspects = [task for task in step.suspects if now >= task.judged_at]
        if not step.works:
            all_startable = len(suspects) == len(step.suspects)
            may_try = all_startable and not self._has_trial(step)
            suspects = suspects[:1] if may_try else []
        if not suspects:
            return instances
        tickets = self.tickets_for(step, now)
        if step.step.gang:
            proven = [item for item in instances if not item.unproven]
            self._place(step, proven, now, apart=True)
            return [item for item in instances if not item.apart]
        for task in suspects:
            eligible = placement.eligible(step, instances, now, tickets)
            found = suspicion.least_harm(self, step, task, eligible, now)
            if found is None or not suspicion.may_try(pool, found):
                break
            instances = [item for item in instances if item is not found]
            if not suspicion.is_free_for(step, task, found):
                # Reserved: nothing else starts there until its new runs are
                # proven and the task fits.
                step.held = found.name
                break
            ticket = tickets.get(found.name, "") if tickets else ""
            self._assign(
                step, task, found, task.run + 1, ticket, now, apart=True
            )
            step.entry.started = True
            self.book.touch(step.entry)
        return instances

    def _has_trial(self, step: books.OpenStep) -> bool:
        """Whether a run of a suspect task is under way that will give evidence.

        A run that is to be stopped gives none. Its stop may have to wait until
        other tasks of its step are at work, so they must not wait for it.
        """
        trials = [
            self._run(task.instance, (task.name, task.run))
            for task in step.tasks
            if task.suspect and task.state is books.TaskState.ASSIGNED
        ]
        return any(run is not None and run.stopping is None for run in trials)

    def _reserve_for(
        self,
        step: books.OpenStep,
        instances: Iterable[rooms.Instance],
        now: float,
    ) -> rooms.Instance | None:
        """Returns an instance to reserve until a long-running task fits on it.

        In a full pool smaller tasks fill each gap at once, so a larger,
        long-running task would starve while small ones arrive. The instance
        with the most unreserved capacity has enough of it after the duration of
        one short task.
        """
        if not step.step.long_running:
            return None
        waiting = step.waiting
        if not waiting:
            return None
        need = books.need(step.step)
        reserved = max(
            (
                instance
                for instance in instances
                if instance.makes_room(step.step, waiting[0].name, need, now)
            ),
            # Keep the same one unless another has more free capacity: if the
            # reservation alternated, small tasks would fill both of them.
            key=lambda item: (item.free_share(need), item.name == step.held),
            default=None,
        )
        step.held = reserved.name if reserved else ""
        return reserved

    def _place(
        self,
        step: books.OpenStep,
        instances: Iterable[rooms.Instance],
        now: float,
        *,
        apart: bool = False,
    ) -> bool:
        """Assigns tasks of a step.

        Args:
            step: a step with waiting tasks.
            instances: the instances to choose from.
            now: monotonic seconds.
            apart: whether to start a gang in isolation.

        Returns:
            Whether any task was assigned.
        """
        tickets = self.tickets_for(step, now)
        if tickets is not None and not tickets:
            return False
        candidates = placement.eligible(step, instances, now, tickets)
        if not candidates:
            return False
        choose = placement.place_gang if apart else placement.choose
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
            raise errors.InvariantError(
                "a task was assigned before its spec was read"
            )
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
        """Returns a step's valid tickets by instance, None if it needs none."""
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
        """Stores the tickets of a step.

        Args:
            step: the step.
            tickets: tickets by instance.
            until: monotonic seconds until which the tickets are valid.
        """
        key = (step.entry.job.job_id, step.occurrence, step.number)
        self.tickets[key] = tickets
        self._ticket_until[key] = until
        self._changed = True


def _backlog(steps: Iterable[books.OpenStep]) -> tuple[int, fleet.Load]:
    """Sums up the waiting tasks of some steps.

    Returns:
        Thousandths of a core that all waiting tasks need, and the load of those
        that end by themselves.
    """
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
    """Returns ids of jobs without a spec, one of each pool at a time."""
    waiting = [
        [step.entry.job.job_id for step in steps if step.entry.spec is None]
        for steps in ready.values()
    ]
    interleaved = itertools.chain.from_iterable(itertools.zip_longest(*waiting))
    return tuple(dict.fromkeys(job_id for job_id in interleaved if job_id))


def _sort_key(
    item: tuple[queue_order.Key, books.OpenStep],
) -> tuple[queue_order.Key, float]:
    return item[0], item[1].entry.heard_at
