"""Plans which waiting tasks start on which instances.

Suspect tasks, which may crash the instance that starts them, run in isolation
(see ``crash_evidence``). Queues with an advisor start a task on an instance
only with a ticket, which the advisor issues for a step and an instance.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import itertools
import math
import operator

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.accounts import fair_shares
from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.coordination.fleet.instances import assignment
from vanillaswitch.coordination.fleet.instances import suspect_placement
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import reservations
from vanillaswitch.coordination.fleet.queue import ticket_requests
from vanillaswitch.protocol import fleet

LIMIT_REPORT_PAUSE_S = 5.0
"""How long the limit of an account must have held nothing up before it is
reported again."""

FORGET_STEPS_INTERVAL_S = 5.0
"""Interval at which the advice on ended steps is forgotten."""

MAX_TASKS_AT_ONCE = 64
"""Tasks of a step that are placed between two pauses of a plan. A gang is
placed as a whole."""

Pause = Callable[[], bool]
"""Called between two steps of a plan. Returns whether it let others run, which
may have reported events meanwhile."""

_Tie = tuple[float] | tuple[int, str, int, int]
_order_and_tie = operator.itemgetter(0, 1)


def no_pause() -> bool:
    """Lets nobody run, so that nothing changes during a plan."""
    return False


class _Pauses:
    """Remembers whether others ran during a part of a plan."""

    def __init__(self, pause: Pause):
        self._pause = pause
        self._has_paused = False

    def __call__(self) -> bool:
        """Lets others run, like the ``Pause`` that it stands for."""
        paused = self._pause()
        self._has_paused |= paused
        return paused

    def take(self) -> bool:
        """Returns whether others ran since the last call."""
        has_paused, self._has_paused = self._has_paused, False
        return has_paused


class _Attempt(enum.Enum):
    """What came of an attempt to place tasks of a step.

    Attributes:
        PLACED: some were assigned.
        NO_CAPACITY: none fits on any instance.
        HELD_BACK: something else than capacity is missing, such as a ticket or
            room in the job's row.
    """

    PLACED = enum.auto()
    NO_CAPACITY = enum.auto()
    HELD_BACK = enum.auto()


class Planning(assignment.Assignment):
    """Decides which tasks start on which instances."""

    def min_instances(self) -> dict[str, int]:
        """Returns how many instances long-running tasks need, by pool.

        Anti-affinity limits how many tasks of a step share an instance, so a
        long-running step with it needs a minimum number of instances whatever
        its load. Pools without such steps are left out.
        """
        minimums: dict[str, int] = {}
        for entry in self.tracker.unfinished.values():
            for step in entry.open_steps_by_key.values():
                max_per_instance = step.step.anti_affinity
                if step.step.long_running and max_per_instance:
                    pool_name = self.pool_name_of(entry)
                    count = -(-step.step.count // max_per_instance)
                    minimums[pool_name] = max(minimums.get(pool_name, 1), count)
        return minimums

    def ready_steps(
        self, plan_time: queue_order.PlanTime
    ) -> dict[str, list[open_steps.OpenStep]]:
        """Returns open steps with waiting tasks, by pool, in queue order."""
        return {
            pool_name: self._in_queue_order(steps, plan_time)
            for pool_name, steps in self._waiting_steps(plan_time).items()
        }

    def _waiting_steps(
        self, plan_time: queue_order.PlanTime, pause: Pause = no_pause
    ) -> dict[str, list[open_steps.OpenStep]]:
        """Returns open steps with waiting tasks, by pool."""
        waiting: dict[str, list[open_steps.OpenStep]] = {}
        for entry in list(self.tracker.unfinished.values()):
            pause()
            found = [
                step
                for step in entry.open_due_steps(plan_time.wall_ms)
                if step.has_waiting_task
            ]
            if found:
                waiting.setdefault(self.pool_name_of(entry), []).extend(found)
        return waiting

    def _in_queue_order(
        self,
        steps: Iterable[open_steps.OpenStep],
        plan_time: queue_order.PlanTime,
        pause: Pause = no_pause,
    ) -> list[open_steps.OpenStep]:
        """Returns steps in the order in which they get capacity."""
        keyed = []
        for step in steps:
            pause()
            order = self._queue_order(
                step, self.queue_of(step.entry), plan_time
            )
            keyed.append((order, self._tie(step), step))
        keyed.sort(key=_order_and_tie)
        if self._overload.fair_order:
            return self._by_fair_share(keyed)
        return [step for _, _, step in keyed]

    def _tie(self, step: open_steps.OpenStep) -> _Tie:
        """Returns what decides between steps of the same order."""
        if not self._overload.fair_order:
            return (step.entry.received_at,)
        # A new owner receives all jobs at once and in any order, so ties are
        # resolved by what is stored with a job.
        return (
            step.entry.job.submitted_ms,
            step.entry.job.job_id,
            step.occurrence,
            step.number,
        )

    def _by_fair_share(
        self,
        keyed: Sequence[tuple[queue_order.Key, _Tie, open_steps.OpenStep]],
    ) -> list[open_steps.OpenStep]:
        """Returns steps of one pool in an order that divides it fairly.

        Args:
            keyed: steps with their keys in the queue's order, sorted by them.
        """
        ordered = [step for _, _, step in keyed]
        names = {step.entry.job.account for step in ordered}
        if len(names) <= 1:
            return ordered
        shares = self._pool_shares(self.pool_name_of(ordered[0].entry), names)
        levels = shares.levels(
            (
                step.entry.job.account,
                step.demand,
                0 if step.step.long_running else step.waiting_count,
            )
            for step in ordered
        )
        leveled = [
            (queue_order.with_level(key, level), tie, step)
            for (key, tie, step), level in zip(keyed, levels, strict=True)
        ]
        leveled.sort(key=_order_and_tie)
        return [step for _, _, step in leveled]

    def _pool_shares(
        self, pool_name: str, waiting: Iterable[str]
    ) -> fair_shares.PoolShares:
        """Returns what client accounts have running in a pool.

        Long-running tasks are left out: they don't compete for shares.

        Args:
            pool_name: name of the pool.
            waiting: the accounts that wait for capacity of the pool.
        """
        cpu = mem_mb = gpu = 0
        runs = []
        for instance in self.pool_instances(pool_name):
            capacity = instance.capacity
            cpu += capacity.cpu
            mem_mb += capacity.mem_mb
            gpu += capacity.gpu
            for run in instance.runs.values():
                if run.step.long_running:
                    cpu -= run.demand.cpu
                    mem_mb -= run.demand.mem_mb
                    gpu -= run.demand.gpu
                else:
                    runs.append(run)
        names = {run.account for run in runs}.union(waiting)
        shares = fair_shares.PoolShares(
            fleet.Resources(cpu, mem_mb, gpu),
            {
                name: fair_shares.weight_of(self.accounts.by_name.get(name))
                for name in names
            },
        )
        for run in runs:
            shares.add(run.account, run.demand, 1)
        return shares

    def plan(self, now: float, wall_ms: float, pause: Pause = no_pause) -> None:
        """Assigns waiting tasks to instances with enough unreserved capacity.

        Args:
            now: monotonic seconds.
            wall_ms: time of day in milliseconds since 1970.
            pause: called between two steps. Any event may be reported
                meanwhile, but no other plan may begin.
        """
        self._needs_plan = False
        self._reserved_in_plan.clear()
        self.evaluate_pending_crashes(now)
        self._restart_ruled_out_runs(now)
        self._refresh_durations(now)
        plan_time = queue_order.PlanTime(now, wall_ms)
        waiting = self._waiting_steps(plan_time, pause)
        self.jobs_without_spec = self._find_jobs_without_spec(
            waiting, plan_time, pause
        )
        pools = self.instances_by_pool()
        # A pool whose tasks a limit held up goes first. Otherwise tasks of the
        # same accounts in other pools would always use up the limit.
        held_up, self._held_up_pools = self._held_up_pools, set()
        for pool_name in sorted(waiting, key=lambda name: name not in held_up):
            if self._plan_pool(
                pools.get(pool_name, []), waiting[pool_name], plan_time, pause
            ):
                self._held_up_pools.add(pool_name)
        usage = self.account_usage.copy()
        backlog = {
            pool_name: self._backlog(steps, usage, plan_time, pause)
            for pool_name, steps in waiting.items()
        }
        self._report_limited_accounts(now)
        self.has_more_due = self._has_more_due(wall_ms, pause)
        self._needs_plan |= self.has_more_due
        self.backlog_cpu = {
            name: sum(cpu for _, cpu in steps)
            for name, (steps, _) in backlog.items()
        }
        self.backlog_load = {name: load for name, (_, load) in backlog.items()}
        if self._overload.pool_allocation:
            self.backlog_cpu_by_group = {
                name: self._sum_by_group(steps, plan_time, pause)
                for name, (steps, _) in backlog.items()
            }
            self._last_plan_time = plan_time

    def _has_more_due(self, wall_ms: float, pause: Pause) -> bool:
        for entry in list(self.tracker.unfinished.values()):
            if entry.job.repeat_count:
                pause()
                if entry.ended is None and entry.has_more_due(wall_ms):
                    return True
        return False

    def running_cpu_by_group(
        self,
    ) -> dict[str, dict[queue_order.Group, int]]:
        """Returns what runs use, in thousandths of a core, by pool and group.

        A run counts in the group that its job had when the run was decided.
        Otherwise a job that is in time would count as late while it runs, since
        its remaining path includes the whole of the running step.
        """
        sums: dict[str, dict[queue_order.Group, int]] = {}
        groups: dict[tuple[str, int, int], queue_order.Group] = {}
        for instance in self.instances.values():
            by_group = sums.setdefault(instance.registration.service, {})
            for run in instance.runs.values():
                key = instance_state.step_key(run.task)
                if key not in groups:
                    groups[key] = self._group_at_start(run)
                group = groups[key]
                by_group[group] = by_group.get(group, 0) + run.demand.cpu
        return sums

    def _group_at_start(self, run: instance_state.Run) -> queue_order.Group:
        """Returns the group that a run's job had when the run was decided."""
        if run.step.long_running:
            return queue_order.Group.LONG_RUNNING
        name = run.task
        entry = self.tracker.get(name.job_id)
        step = entry and entry.open_steps_by_key.get(
            (name.occurrence, name.step)
        )
        latest = self._last_plan_time
        if not step or latest is None:
            return queue_order.Group.IN_TIME
        elapsed_s = max(0.0, latest.now - run.decided_at)
        decided = queue_order.PlanTime(
            latest.now - elapsed_s, latest.wall_ms - elapsed_s * 1000
        )
        queue = self.queue_of(step.entry)
        return queue_order.classify(step, queue, decided)

    def reserved_instances(self) -> set[str]:
        """Returns instances that are reserved for waiting tasks."""
        return {
            step.reserved_instance
            for entry in self.tracker.unfinished.values()
            for step in entry.open_steps_by_key.values()
            if step.reserved_instance and step.has_waiting_task
        }

    def _refresh_durations(self, now: float) -> None:
        """Applies newly learned durations to the estimates of all jobs."""
        if self._durations is None:
            return
        for change in self._durations.refresh(now):
            kind, correction = change.kind, change.correction
            self._emit(
                events.DurationsLearned(
                    kind.queue,
                    kind.number,
                    kind.image,
                    change.steps,
                    round(math.exp(correction.log_factor) * 100),
                    round(correction.trust * 100),
                    round(math.exp(correction.log_mean)),
                )
            )

    def _find_jobs_without_spec(
        self,
        waiting: Mapping[str, Iterable[open_steps.OpenStep]],
        plan_time: queue_order.PlanTime,
        pause: Pause,
    ) -> tuple[str, ...]:
        """Returns ids of jobs without a spec, one of each pool at a time."""
        by_pool = []
        for steps in waiting.values():
            without = [step for step in steps if step.entry.spec is None]
            ordered = self._in_queue_order(without, plan_time, pause)
            by_pool.append([step.entry.job.job_id for step in ordered])
        interleaved = itertools.chain.from_iterable(
            itertools.zip_longest(*by_pool)
        )
        return tuple(dict.fromkeys(job_id for job_id in interleaved if job_id))

    def _plan_pool(
        self,
        pool: Sequence[instance_state.Instance],
        steps: Sequence[open_steps.OpenStep],
        plan_time: queue_order.PlanTime,
        pause: Pause,
    ) -> bool:
        """Assigns waiting tasks to the instances of one pool.

        In a burst, hundreds of steps wait for a full pool. Capacity only
        shrinks during a plan, so a step that doesn't fit when it begins is not
        looked at, unless an instance may have to be reserved for it.

        Once the limit of a client account holds tasks up, nothing of that
        account that comes later in the order starts. Otherwise its smaller
        tasks would keep a large one from ever starting.

        Args:
            pool: all instances of the pool.
            steps: its steps with waiting tasks.
            plan_time: the time of the plan.
            pause: see ``plan``.

        Returns:
            Whether the limit of an account held tasks up.
        """
        held_up: set[str] = set()
        now = plan_time.now
        pauses = _Pauses(pause)
        instances = [item for item in pool if item.is_schedulable(now)]
        max_free = placement.MaxFreeCapacity(instances)
        suspect_limit = suspect_placement.SuspectLimit(pool)
        reserved = reservations.PoolReservations(len(instances))
        relevant = []
        for step in steps:
            pauses()
            if step.entry.spec is None:
                continue
            self._mark_if_image_suspect(step, now)
            if (
                step.step.long_running
                or step.has_crashed
                or max_free.may_fit(step.demand)
            ):
                relevant.append(step)
        for step in self._in_queue_order(relevant, plan_time, pauses):
            pauses()
            if pauses.take():
                instances = self._still_schedulable(instances, now)
                max_free.update(instances)
            account = step.entry.job.account
            if account in held_up or not step.is_open:
                continue
            if self._is_held_up(step):
                held_up.add(account)
            if step.has_crashed and self._startable_count(step, 1):
                instances = self._place_in_isolation(
                    step, instances, suspect_limit, reserved, now
                )
                if step.step.gang:
                    suspect_limit = suspect_placement.SuspectLimit(pool)
            if max_free.may_fit(step.demand) and step.has_startable_task:
                attempt = self._place_all(step, instances, now, pauses)
                if attempt is _Attempt.PLACED:
                    max_free.update(instances)
                elif (
                    attempt is _Attempt.NO_CAPACITY
                    and placement.is_unrestricted(step.step)
                    and account not in held_up
                    and self.tickets_for(step, now) is None
                ):
                    max_free.mark_unfit(step.demand)
            chosen = self._instance_to_reserve(step, instances, now)
            if chosen is not None and reserved.allows(step):
                reserved.add(step, chosen)
                instances = [item for item in instances if item is not chosen]
        self._apply_reservations(steps, reserved)
        self._limited_accounts |= held_up
        return bool(held_up)

    def _apply_reservations(
        self,
        steps: Iterable[open_steps.OpenStep],
        reserved: reservations.PoolReservations,
    ) -> None:
        """Stores what a plan has reserved, and ends all earlier reservations.

        Args:
            steps: the steps of a pool with waiting tasks.
            reserved: the reservations for some of them.
        """
        for step in steps:
            instance = reserved.by_step.get(step.key)
            name = instance.name if instance else ""
            if instance is not None:
                self._reserved_in_plan[name] = step.key
            if name != step.reserved_instance:
                step.reserved_instance = name
                self._emit_reservation(step, instance)

    def _emit_reservation(
        self,
        step: open_steps.OpenStep,
        instance: instance_state.Instance | None,
    ) -> None:
        key = f"{step.occurrence}.{step.number}"
        name, free = "", ""
        if instance is not None:
            name, free = instance.name, instance.free.as_text()
        self._emit(
            events.InstanceReserved(
                step.entry.job.job_id, key, name, step.demand.as_text(), free
            )
        )

    def _still_schedulable(
        self, instances: Iterable[instance_state.Instance], now: float
    ) -> list[instance_state.Instance]:
        """Returns those of some instances that may still get work."""
        return [
            instance
            for instance in instances
            if instance.is_schedulable(now)
            and self.instances.get(instance.name) is instance
        ]

    def _place_all(
        self,
        step: open_steps.OpenStep,
        instances: Sequence[instance_state.Instance],
        now: float,
        pause: Pause,
    ) -> _Attempt:
        """Assigns as many tasks of a step as fit; see ``_place``."""
        result = _Attempt.HELD_BACK
        while True:
            before = step.waiting_count
            attempt = self._place(step, instances, now)
            if attempt is not _Attempt.PLACED and result is _Attempt.PLACED:
                return result
            result = attempt
            if before - step.waiting_count < MAX_TASKS_AT_ONCE:
                return result
            if pause():
                instances = self._still_schedulable(instances, now)
            if not step.is_open or not step.has_startable_task:
                return result

    def _is_held_up(self, step: open_steps.OpenStep) -> bool:
        """Whether the limit of its account lets not all waiting tasks start."""
        if self.account_limit(step.entry.job.account) == limits.NO_LIMIT:
            return False
        count = step.waiting_count
        return self._startable_count(step, count) < count

    def _mark_if_image_suspect(
        self, step: open_steps.OpenStep, now: float
    ) -> None:
        """Marks a step as suspect if its image has recently crashed instances.

        Its first task then has to run in isolation before the others start.
        """
        if step.has_crashed or step.has_proven_task:
            return
        if now < self._suspect_images_until.get(step.step.image, 0.0):
            step.has_crashed = True
            step.task(0).is_suspect = True

    def _place_in_isolation(
        self,
        step: open_steps.OpenStep,
        instances: list[instance_state.Instance],
        suspect_limit: suspect_placement.SuspectLimit,
        reserved: reservations.PoolReservations,
        now: float,
    ) -> list[instance_state.Instance]:
        """Starts suspect tasks of a step where a crash would end fewest runs.

        Args:
            step: a step with waiting tasks.
            instances: the instances that are available for this step.
            suspect_limit: limits the suspects that run in the step's pool.
            reserved: the reserved instances of the pool.
            now: monotonic seconds.

        Returns:
            The instances that stay available for other tasks.
        """
        suspects = [
            task for task in step.suspect_tasks if now >= task.not_before
        ]
        if not step.has_proven_task:
            all_startable = len(suspects) == len(step.suspect_tasks)
            may_start_one = all_startable and not self._has_active_suspect_run(
                step
            )
            suspects = suspects[:1] if may_start_one else []
        if not suspects:
            return instances
        tickets = self.tickets_for(step, now)
        if step.step.gang:
            proven = [item for item in instances if not item.has_unproven_run]
            self._place(step, proven, now, isolated=True)
            return [item for item in instances if not item.has_isolated_run]
        if not suspect_limit.allows_any(instances):
            return instances
        for task in suspects:
            if not self._startable_count(step, 1):
                break
            candidates = placement.eligible_instances(step, instances, tickets)
            found = suspect_placement.choose_suspect_instance(
                self, step, task, candidates, now
            )
            if found is None or not suspect_limit.allows(found):
                break
            can_start = suspect_placement.can_start_suspect(step, task, found)
            if not can_start and reserved.is_full:
                break
            instances = [item for item in instances if item is not found]
            if not can_start:
                # Nothing else starts there until its new runs are proven and
                # the task fits.
                reserved.add(step, found)
                break
            ticket = tickets.get(found.name, "") if tickets else ""
            self._assign(
                step, task, found, task.run + 1, ticket, now, isolated=True
            )
            suspect_limit.count_start()
            step.entry.was_assigned = True
            self.tracker.mark_dirty(step.entry)
        return instances

    def _instance_to_reserve(
        self,
        step: open_steps.OpenStep,
        instances: Sequence[instance_state.Instance],
        now: float,
    ) -> instance_state.Instance | None:
        """Returns an instance to reserve for a step; see ``reservations``.

        Returns:
            The instance. None if the step needs none, or if its tasks would not
            start once there is room for them.
        """
        if not step.step.long_running or not step.has_startable_task:
            return None
        if not self._startable_count(step, _smallest_start(step)):
            return None
        usable = self.tickets_for(step, now)
        if usable is None:
            return reservations.choose_instance(step, instances, None, now)
        if not self._ticket_waits.may_reserve(step.key, bool(usable), now):
            return None
        unsuitable = self.tickets.unsuitable(step.key)
        tickets = reservations.KnownTickets(usable.keys(), unsuitable)
        return reservations.choose_instance(step, instances, tickets, now)

    def _place(
        self,
        step: open_steps.OpenStep,
        instances: Sequence[instance_state.Instance],
        now: float,
        *,
        isolated: bool = False,
    ) -> _Attempt:
        """Assigns tasks of a step.

        Args:
            step: a step with waiting tasks.
            instances: the instances to choose from.
            now: monotonic seconds.
            isolated: whether to start a gang in isolation.
        """
        tickets = self.tickets_for(step, now)
        if tickets is not None and not tickets:
            return _Attempt.HELD_BACK
        candidates = placement.eligible_instances(step, instances, tickets)
        wanted = step.step.count
        if not step.step.gang:
            wanted = min(wanted, MAX_TASKS_AT_ONCE)
        max_tasks = self._startable_count(step, wanted)
        if not max_tasks:
            return _Attempt.HELD_BACK
        if not candidates:
            return _Attempt.NO_CAPACITY
        chosen = (
            placement.place_gang(step, candidates)
            if isolated
            else placement.choose_instances(step, candidates, max_tasks)
        )
        if not chosen:
            return _Attempt.NO_CAPACITY
        if step.entry.is_wide and not step.step.gang:
            chosen = self._within_document(step, chosen)
        if not chosen:
            return _Attempt.HELD_BACK
        highest = max(task.run for task, _ in chosen)
        for task, instance in chosen:
            run = highest + 1 if step.step.gang else task.run + 1
            ticket = tickets.get(instance.name, "") if tickets else ""
            self._assign(
                step, task, instance, run, ticket, now, isolated=isolated
            )
        step.entry.was_assigned = True
        self.tracker.mark_dirty(step.entry)
        return _Attempt.PLACED

    def _within_document(
        self, step: open_steps.OpenStep, chosen: placement.Assignments
    ) -> placement.Assignments:
        """Leaves out tasks for which the document of their job has no room."""
        room = step.entry.fresh_start_count(self._max_document_bytes)
        fresh = [task.name for task, _ in chosen if not task.run]
        left_out = set(fresh[room:])
        return [pair for pair in chosen if pair[0].name not in left_out]

    def _startable_count(self, step: open_steps.OpenStep, wanted: int) -> int:
        """Returns how many tasks of a step may start.

        The limit of its account and the size of its job's row limit them. All
        tasks of a gang or none of them.
        """
        if step.entry.is_wide:
            room = step.entry.fresh_start_count(self._max_document_bytes)
            room += step.counts.waiting_again
            if step.step.gang and room < wanted:
                return 0
            wanted = min(wanted, room)
        account = step.entry.job.account
        limit = self.account_limit(account)
        if limit == limits.NO_LIMIT:
            return wanted
        return limits.startable_count(
            limit, self.account_usage.used(account), step.step, wanted
        )

    def _report_limited_accounts(self, now: float) -> None:
        """Emits the accounts whose limit newly holds tasks up."""
        for account in self._limited_accounts:
            last_at = self._limited_at.get(account, float("-inf"))
            self._limited_at[account] = now
            if now - last_at <= LIMIT_REPORT_PAUSE_S:
                continue
            used = self.account_usage.used(account)
            limit = self.account_limit(account)
            self._emit(
                events.AccountAtLimit(
                    account,
                    f"{used.cpu}/{limit.cpu}",
                    f"{used.mem_mb}/{limit.mem_mb}",
                    f"{used.gpu}/{limit.gpu}",
                )
            )
        self._limited_accounts.clear()

    def tickets_for(
        self, step: open_steps.OpenStep, now: float
    ) -> Mapping[str, str] | None:
        """Returns a step's valid tickets by instance, None if it needs none.

        No ticket is valid if the result is empty.
        """
        queue = self.queue_of(step.entry)
        if queue is None or queue.advice is None:
            return None
        return self.tickets.usable(step.key, now)

    def missing_tickets(
        self, plan_time: queue_order.PlanTime, pause: Pause = no_pause
    ) -> list[ticket_requests.TicketRequest]:
        """Returns the tickets that waiting steps need, in queue order.

        Call it after a plan, which starts the tasks that have tickets.

        Args:
            plan_time: the time of that plan.
            pause: see ``plan``.
        """
        self._forget_ended_steps(plan_time.now)
        pools = self.instances_by_pool()
        by_pool = []
        for pool_name, steps in self._waiting_steps(plan_time, pause).items():
            advised = [
                (step, advice)
                for step in steps
                if (advice := self._advice_for(step)) is not None
            ]
            if not advised:
                continue
            settings = {step.key: advice for step, advice in advised}
            validity_ms = min(advice.validity_ms for _, advice in advised)
            found = ticket_requests.PoolRequests(
                [
                    instance
                    for instance in pools.get(pool_name, ())
                    if instance.is_schedulable(plan_time.now)
                ],
                self._reserved_in_plan,
                self.tickets,
                plan_time.now,
                ticket_requests.LEAD_SHARE * validity_ms / 1000,
            )
            for step in self._in_queue_order(
                (step for step, _ in advised), plan_time, pause
            ):
                if found.is_full:
                    break
                if not step.has_waiting_task or not step.is_open:
                    continue
                count = self._startable_count(step, step.waiting_count)
                found.add(step, count, settings[step.key])
            by_pool.append(found.requests)
        return ticket_requests.interleave(by_pool)

    def _advice_for(
        self, step: open_steps.OpenStep
    ) -> fleet.AdvisorConfig | None:
        """Returns the advisor of a step whose tasks need only tickets."""
        if step.entry.spec is None:
            return None
        queue = self.queue_of(step.entry)
        return queue.advice if queue else None

    def _forget_ended_steps(self, now: float) -> None:
        """Forgets from time to time what the service said of ended steps."""
        if now < self._forget_steps_at:
            return
        self._forget_steps_at = now + FORGET_STEPS_INTERVAL_S
        open_keys = {
            step.key
            for entry in self.tracker.unfinished.values()
            for step in entry.open_steps_by_key.values()
        }
        self.tickets.retain(open_keys)
        self._ticket_waits.retain(open_keys)

    def _backlog(
        self,
        steps: Iterable[open_steps.OpenStep],
        usage: limits.AccountUsage,
        plan_time: queue_order.PlanTime,
        pause: Pause,
    ) -> tuple[list[tuple[open_steps.OpenStep, int]], fleet.Load]:
        """Returns what the waiting tasks of some steps and their jobs need.

        Tasks that the limits of their accounts hold up are left out, since more
        machines would not let them start. So are long-running tasks for which
        the row of their job has no room; short ones get room as others end.
        Tasks of due occurrences that are not open yet count with the last open
        step of their job, which they follow.

        Args:
            steps: the steps, those of a job in the order of its occurrences.
            usage: what the accounts use; the counted tasks are added.
            plan_time: the time of the plan.
            pause: see ``plan``.

        Returns:
            Thousandths of a core that the tasks of steps need, and the load of
            those that end by themselves.
        """
        needs: list[tuple[open_steps.OpenStep, int]] = []
        load = fleet.Load()
        last_steps: dict[str, open_steps.OpenStep] = {}

        def add(step: open_steps.OpenStep, number: int, count: int) -> None:
            nonlocal load
            entry, account = step.entry, step.entry.job.account
            waiting = entry.job.steps[number]
            if entry.is_wide and waiting.long_running:
                room = entry.fresh_start_count(self._max_document_bytes)
                count = min(count, room + step.counts.waiting_again)
            limit = self.account_limit(account)
            if limit != limits.NO_LIMIT:
                used = usage.used(account)
                count = limits.startable_count(limit, used, waiting, count)
                usage.add_tasks(account, waiting, count)
            if count:
                cpu = open_steps.task_demand(waiting).cpu * count
                needs.append((step, cpu))
                load = load.with_tasks(
                    waiting, count, entry.expected_ms(number)
                )

        for step in steps:
            pause()
            if not step.is_open:
                continue
            if step.entry.job.repeat_count:
                last_steps[step.entry.job.job_id] = step
            add(step, step.number, step.waiting_count)
        for step in last_steps.values():
            pause()
            for number, count in step.entry.unopened_tasks(plan_time.wall_ms):
                add(step, number, count)
        return needs, load

    def _sum_by_group(
        self,
        needs: Iterable[tuple[open_steps.OpenStep, int]],
        plan_time: queue_order.PlanTime,
        pause: Pause,
    ) -> dict[queue_order.Group, int]:
        """Sums up what steps need, by group of urgency."""
        sums: dict[queue_order.Group, int] = {}
        for step, cpu in needs:
            pause()
            queue = self.queue_of(step.entry)
            group = queue_order.classify(step, queue, plan_time)
            sums[group] = sums.get(group, 0) + cpu
        return sums

    def record_advice(
        self,
        step: open_steps.OpenStep,
        named: Collection[str],
        tickets: Mapping[str, str],
        now: float,
        validity_s: float,
    ) -> None:
        """Records an answer; see ``TicketBook.record_answer``."""
        self.tickets.record_answer(step.key, named, tickets, now, validity_s)
        self._needs_plan = True


def _smallest_start(step: open_steps.OpenStep) -> int:
    """Returns how many tasks of a step start at a time at least."""
    return step.step.count if step.step.gang else 1
