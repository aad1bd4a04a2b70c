"""The placement duty: starts and stops tasks and cleans up ended ones."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.workloads import automatic_cordons
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import job_progress_writes
from vanillaswitch.coordination.workloads import job_waits
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import placement_soft_state
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.coordination.workloads import quotas
from vanillaswitch.coordination.workloads import task_completions
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import worker_calls
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

COMMIT_TIMEOUT_S = 2.0
"""How long a step tries to find out the outcome of an unanswered commit."""

MAX_STARTS_PER_STEP = 64
MAX_STOPS_PER_COMMIT = 256


@controller.duty_keepalive(duty_names.PLACEMENT)
def renew_leases(
    context: controller.DutyContext, name: str, fence: duty_assignment.Fence
) -> None:
    """Keeps tasks running while the table is unavailable; starts nothing."""
    del name, fence
    worker_calls.renew_leases(context, _soft_state(context))


@controller.duty_step(duty_names.PLACEMENT)
def step(
    context: controller.DutyContext, name: str, fence: duty_assignment.Fence
) -> None:
    """Runs one step for the pools that belong to this duty."""
    soft_state = _soft_state(context)
    worker_calls.renew_leases(context, soft_state)
    config = context.config
    now = context.clock.monotonic()
    if not soft_state.is_pass_due(config, now):
        return
    owned_pools = frozenset(
        pool
        for pool in _pools(config)
        if placement_view.is_owner(pool, duty_names.subject_of(name), config)
    )
    services = {
        config.pools[p].service for p in owned_pools if p in config.pools
    }
    snapshot = placement_view.read_snapshot(
        context, services, soft_state.snapshot
    )
    if isinstance(snapshot, platform.Unavailable):
        return
    soft_state.snapshot, soft_state.config, soft_state.last_pass_at = (
        snapshot,
        config,
        now,
    )
    soft_state.is_busy = _PlanningPass(
        context, fence, soft_state, snapshot, owned_pools
    ).run()


def _soft_state(
    context: controller.DutyContext,
) -> placement_soft_state.SoftState:
    soft_state: placement_soft_state.SoftState = context.soft_state.setdefault(
        "placement", placement_soft_state.SoftState(context.clock.monotonic())
    )
    return soft_state


def _pools(config: config_lib.Config) -> set[str]:
    return {*config.pools, *(job.pool for job in config.jobs.values())}


class _PlanningPass:
    """Plans on one snapshot and carries the plan out."""

    def __init__(
        self,
        context: controller.DutyContext,
        fence: duty_assignment.Fence,
        soft_state: placement_soft_state.SoftState,
        snapshot: placement_view.PlacementSnapshot,
        pools: frozenset[str],
    ):
        self._context = context
        self._fence = fence
        self._soft_state = soft_state
        self._snapshot = snapshot
        self._pools = pools
        self._config = context.config
        self._is_fence_broken = False
        self._has_tried_commit = False
        self._own_tasks = {
            name: found.row
            for name, found in sorted(snapshot.tasks.items())
            if found.row.pool in pools
        }

    def run(self) -> bool:
        """Plans and acts; starts come first, as urgent tasks wait for them.

        Returns:
            Whether there is more to do that must not wait.
        """
        now = self._context.clock.monotonic()
        self._soft_state.update(
            self._own_tasks, self._snapshot.reports, self._config.jobs, now
        )
        ended = task_completions.find_ended(
            self._own_tasks,
            self._snapshot.reports,
            self._soft_state,
            now,
        )
        states = task_completions.updated_states(
            self._snapshot, self._config, self._pools, ended
        )
        view = placement_view.build_view(
            placement_view.ViewInputs(
                self._snapshot,
                self._config,
                self._pools,
                states,
                task_completions.stopped_tasks(
                    self._own_tasks, self._soft_state
                )
                | ended.keys(),
                self._soft_state.usage_by_job,
                self._soft_state.refusing_workers(now),
            )
        )
        plan = placement.plan(view, self._config)
        refused = self._start_tasks(plan, view, states)
        self._commit_changes(ended, refused, states, plan)
        # A broken fence means that another holder has decided since. The
        # snapshot no longer shows which calls are still allowed.
        if self._is_fence_broken:
            return True
        self._resend_unconfirmed_starts(ended)
        healthy_jobs = task_completions.healthy_jobs(
            self._own_tasks,
            self._snapshot.reports,
            self._soft_state,
            states,
            now,
        )
        automatic_cordons.cordon_faulty_workers(
            self._context, self._fence, self._snapshot, states, healthy_jobs
        )
        self._send_stops(ended)
        worker_calls.throttle(
            self._context,
            self._soft_state,
            self._confirmed_tasks(ended),
            plan.cpu_shares,
        )
        return self._is_busy(plan)

    def _is_busy(self, plan: placement.Plan) -> bool:
        configured = self._config.jobs
        return (
            self._has_tried_commit
            or any(configured[job].urgent for job in plan.wait_reasons)
            or any(
                task.stopping
                or task.operation not in self._soft_state.confirmed_starts
                for task in self._own_tasks.values()
            )
        )

    def _start_tasks(
        self,
        plan: placement.Plan,
        view: placement.PlannerInput,
        states: Mapping[str, job_progress.JobProgress],
    ) -> dict[str, tuple[task_rows.Task, int]]:
        """Writes the intents to start tasks, then sends the starts.

        A start is given up only if the first call after the intent's commit
        had no effect. At a later call, an earlier copy may still arrive.

        Returns:
            The tasks whose start had no effect, by name, each with the version
            of its row.
        """
        pending = {task.name: task for task in view.pending}
        starts = list(plan.starts.items())[:MAX_STARTS_PER_STEP]
        if not starts:
            return {}
        intents = {}
        for name, worker in starts:
            job, _, index = name.rpartition("/")
            intents[name] = task_rows.Task(
                job=job,
                index=int(index),
                pool=pending[name].pool,
                team=pending[name].team,
                worker=worker,
                operation=ids.new_id(self._context.rng),
                need=pending[name].need,
                checkpoint=states[job].checkpoints.get(index, ""),
            )
        puts = [
            _put(keys.task(n), platform.ABSENT, t) for n, t in intents.items()
        ]
        teams = {task.team for task in intents.values()}
        puts += quotas.conflict_puts(
            teams, self._snapshot.quota_versions, self._fence.key
        )
        outcome = self._commit(puts)
        if not isinstance(outcome, platform.Committed):
            return {}
        refused = {}
        for name, task in intents.items():
            if not worker_calls.start(self._context, self._soft_state, task):
                refused[name] = (task, outcome.version)
                now = self._context.clock.monotonic()
                self._soft_state.refused_at[task.worker] = now
        return refused

    def _resend_unconfirmed_starts(self, ended: Collection[str]) -> None:
        """Sends starts that no worker has confirmed, with the same id."""
        for name, task in self._own_tasks.items():
            is_confirmed = task.operation in self._soft_state.confirmed_starts
            if name not in ended and not task.stopping and not is_confirmed:
                worker_calls.start(self._context, self._soft_state, task)

    def _commit_changes(
        self,
        ended: Mapping[str, platform.TaskReport],
        refused: Mapping[str, tuple[task_rows.Task, int]],
        states: Mapping[str, job_progress.JobProgress],
        plan: placement.Plan,
    ) -> None:
        """Writes all changes but starts in one transaction.

        It deletes the rows of tasks that ended or were refused, marks tasks
        to be stopped, and writes job states and the reasons why jobs wait.
        """
        puts = [
            platform.Put(
                keys.task(name), self._snapshot.tasks[name].version, None
            )
            for name in ended
        ]
        puts += [
            platform.Put(keys.task(name), version, None)
            for name, (_, version) in refused.items()
        ]
        to_stop = task_completions.find_tasks_to_stop(
            {n: t for n, t in self._own_tasks.items() if n not in ended},
            self._snapshot.fleet,
            self._config,
            self._soft_state,
            plan.evictions,
            self._context.clock.monotonic(),
        )
        stops = list(to_stop.items())
        for name, reason in stops[:MAX_STOPS_PER_COMMIT]:
            marked = dataclasses.replace(self._own_tasks[name], stopping=reason)
            version = self._snapshot.tasks[name].version
            puts.append(_put(keys.task(name), version, marked))
        soft_state, now = self._soft_state, self._context.clock.monotonic()
        soft_state.waits = job_waits.update_waits(
            soft_state.waits, plan.wait_reasons, now
        )
        wait_reasons = job_waits.due_for_record(soft_state.waits, now)
        puts += job_progress_writes.changed_state_puts(
            self._context, self._fence, self._snapshot, states, wait_reasons
        )
        if puts and isinstance(self._commit(puts), platform.Committed):
            soft_state.waits = job_waits.mark_recorded(
                soft_state.waits, wait_reasons
            )
            for put in puts:
                name = keys.name_of(keys.TASKS, put.key)
                if put.value and put.key == keys.task(name):
                    self._own_tasks[name] = rows.load(task_rows.Task, put.value)

    def _send_stops(self, ended: Collection[str]) -> None:
        stopping = []
        for name, task in self._own_tasks.items():
            if task.stopping and name not in ended:
                job = self._config.jobs.get(task.job)
                writes_checkpoint = (
                    job is not None and job.checkpoints and not job.cancelled
                )
                stopping.append((task, writes_checkpoint))
        worker_calls.stop(self._context, self._soft_state, stopping)

    def _confirmed_tasks(
        self, ended: Collection[str]
    ) -> dict[str, task_rows.Task]:
        return {
            name: task
            for name, task in self._own_tasks.items()
            if name not in ended
            and task.operation in self._soft_state.confirmed_starts
        }

    def _commit(self, puts: list[platform.Put]) -> platform.CommitOutcome:
        transaction = platform.Transaction(
            ids.new_id(self._context.rng), tuple(puts), (self._fence.check,)
        )
        self._has_tried_commit = True
        clock = self._context.clock
        outcome = commit_retries.commit_with_retries(
            self._context.platform.table,
            transaction,
            clock,
            clock.monotonic() + COMMIT_TIMEOUT_S,
        )
        if self._fence.is_rejected_by(outcome):
            self._is_fence_broken = True
            self._context.release_duty(self._fence)
        return outcome


def _put(key: str, version: int, row: object) -> platform.Put:
    return platform.Put(key, version, rows.dump(row))
