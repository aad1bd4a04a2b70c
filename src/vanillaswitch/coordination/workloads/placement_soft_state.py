"""Soft state of a placement duty: kept in the process only, may be lost."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
from typing import TypeVar

from vanillaswitch.coordination.workloads import job_waits
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import usage_estimates
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

T = TypeVar("T")

IDLE_PASS_INTERVAL_S = 2.0
"""Time between two planning passes while there is nothing to do."""

REFUSAL_BACKOFF_S = 5.0
"""How long a worker that refused a start gets no other."""


@dataclasses.dataclass
class SoftState:
    """Soft state of one held placement duty; discarded with the duty.

    Times are monotonic seconds.

    Attributes:
        taken_at: when the duty was taken.
        operations_by_worker: operations whose leases are renewed, as last read
            from the table.
        last_answer_at: by worker, when it last accepted a renewal or a start.
        renewal_sent_at: by worker, when a renewal was last sent to it.
        start_sent_at: by operation, when its start was first sent.
        last_reported_at: by operation, when it was last reported as running.
        confirmed_starts: operations that a worker accepted or reported.
        stopped_at: by operation, when its stop was answered.
        checkpoint_requested: operations that were asked for a checkpoint.
        cpu_shares: by operation, the share last sent to its worker.
        usage_by_job: observed usage by job.
        unconfigured_since: by operation, since when its task is missing from
            the configuration.
        refused_at: by worker, when it last refused a start.
        waits: why jobs wait, by job.
        snapshot: the last one; its unchanged rows are not parsed again.
        config: the configuration that the last planning pass used.
        last_pass_at: when the last planning pass began; None before the first.
        is_busy: whether the last pass left work that must not wait.
    """

    taken_at: float
    operations_by_worker: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    last_answer_at: dict[str, float] = dataclasses.field(default_factory=dict)
    renewal_sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    start_sent_at: dict[str, float] = dataclasses.field(default_factory=dict)
    last_reported_at: dict[str, float] = dataclasses.field(default_factory=dict)
    confirmed_starts: set[str] = dataclasses.field(default_factory=set)
    stopped_at: dict[str, float] = dataclasses.field(default_factory=dict)
    checkpoint_requested: set[str] = dataclasses.field(default_factory=set)
    cpu_shares: dict[str, float] = dataclasses.field(default_factory=dict)
    usage_by_job: dict[str, usage_estimates.ObservedUsage] = dataclasses.field(
        default_factory=dict
    )
    unconfigured_since: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    refused_at: dict[str, float] = dataclasses.field(default_factory=dict)

    waits: dict[str, job_waits.Wait] = dataclasses.field(default_factory=dict)
    snapshot: placement_view.PlacementSnapshot | None = None
    config: config_lib.Config | None = None
    last_pass_at: float | None = None
    is_busy: bool = False

    def is_pass_due(self, config: config_lib.Config, now: float) -> bool:
        """Returns whether to run a planning pass, or only renew leases.

        Reports lag by seconds, so that more frequent passes in an idle state
        cost processor time and show nothing new. Urgent jobs arrive with a
        new configuration, which is checked in every step.
        """
        if (
            self.is_busy
            or self.last_pass_at is None
            or config is not self.config
        ):
            return True
        return now - self.last_pass_at >= IDLE_PASS_INTERVAL_S

    def refusing_workers(self, now: float) -> frozenset[str]:
        """Returns the workers that get no starts after a recent refusal."""
        return frozenset(
            worker
            for worker, refused_at in self.refused_at.items()
            if now - refused_at < REFUSAL_BACKOFF_S
        )

    def update(
        self,
        own_tasks: Mapping[str, task_rows.Task],
        reports: Mapping[str, platform.TaskReport],
        jobs: Collection[str],
        now: float,
    ) -> None:
        """Records usage and the operations to renew, and drops stale entries.

        Args:
            own_tasks: the duty's tasks, by name.
            reports: by operation.
            jobs: names of the jobs in the configuration.
            now: monotonic seconds.
        """
        by_worker: dict[str, list[str]] = {}
        for task in own_tasks.values():
            by_worker.setdefault(task.worker, []).append(task.operation)
            report = reports.get(task.operation)
            if report and report.state is platform.ReportedTaskState.RUNNING:
                self._record_report(task, report, now)
        self.operations_by_worker = {
            w: tuple(ops) for w, ops in by_worker.items()
        }
        self._prune({t.operation for t in own_tasks.values()}, jobs)

    def _record_report(
        self, task: task_rows.Task, report: platform.TaskReport, now: float
    ) -> None:
        self.confirmed_starts.add(task.operation)
        self.last_reported_at[task.operation] = now
        observed = self.usage_by_job.get(
            task.job, usage_estimates.ObservedUsage()
        )
        throttled = self.cpu_shares.get(task.operation, 1.0) < 1.0
        self.usage_by_job[task.job] = usage_estimates.observe(
            observed, report, throttled
        )

    def _prune(
        self, operations: Collection[str], jobs: Collection[str]
    ) -> None:
        """Drops the entries of all other operations, workers and jobs."""
        workers = self.operations_by_worker.keys()
        self.usage_by_job = _select(self.usage_by_job, jobs)
        self.last_answer_at = _select(self.last_answer_at, workers)
        self.renewal_sent_at = _select(self.renewal_sent_at, workers)
        self.confirmed_starts.intersection_update(operations)
        self.checkpoint_requested.intersection_update(operations)
        self.last_reported_at = _select(self.last_reported_at, operations)
        self.start_sent_at = _select(self.start_sent_at, operations)
        self.stopped_at = _select(self.stopped_at, operations)
        self.unconfigured_since = _select(self.unconfigured_since, operations)
        self.cpu_shares = _select(self.cpu_shares, operations)


def _select(entries: dict[str, T], names: Collection[str]) -> dict[str, T]:
    return {name: value for name, value in entries.items() if name in names}
