"""Workers in memory: tasks under leases, and lagging reports."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from standins import faults as faults_module
from standins import instances as instances_module
from vanillaswitch.internal import clock as clock_module
from vanillaswitch.protocol import platform

Outcome = instances_module.Outcome


@dataclasses.dataclass
class _Task:
    """One start of one task on one worker."""

    spec: platform.TaskSpec
    worker: str
    started: float
    lease_until: float
    finishes: float
    ended: float = math.inf
    end_state: platform.ReportedTaskState = platform.ReportedTaskState.RUNNING
    share: float = 1.0
    checkpoint: str = ""

    def state_at(self, when: float) -> platform.ReportedTaskState:
        """Returns the state as of ``when``: whatever ended it first."""
        ends = min(self.ended, self.finishes, self.lease_until)
        if when < ends:
            return platform.ReportedTaskState.RUNNING
        if self.ended == ends:
            return self.end_state
        if self.finishes == ends:
            return platform.ReportedTaskState.FINISHED
        return platform.ReportedTaskState.LEASE_EXPIRED

    def end(self, when: float, state: platform.ReportedTaskState) -> None:
        """Ends the task, unless it has ended already."""
        if self.state_at(when) is platform.ReportedTaskState.RUNNING:
            self.ended = when
            self.end_state = state


class MemoryWorkers:
    """Implements ``platform.Workers`` on the workers among the instances.

    Attributes:
        faults: the switches that make the calls fail.
        usage_factor: by job, real usage over declared usage; 1 if absent.
        run_time_s: by job, when its tasks finish; never if absent.
        failing_workers: workers on which every start fails.
        failing_jobs: jobs whose tasks fail everywhere.
        starts: the job of each task that was started, in order.
    """

    def __init__(
        self,
        instances: instances_module.MemoryInstances,
        clock: clock_module.Clock,
        *,
        lag_s: float = 2.0,
        faults: faults_module.Faults | None = None,
    ):
        """Makes workers without tasks.

        Args:
            instances: the instances that the workers are.
            clock: tells the time.
            lag_s: age of what ``reports`` says.
            faults: switches, own ones when not given.
        """
        self.faults = faults or faults_module.Faults()
        self.usage_factor: dict[str, float] = {}
        self.run_time_s: dict[str, float] = {}
        self.failing_workers: set[str] = set()
        self.failing_jobs: set[str] = set()
        self.starts: list[str] = []
        self._instances = instances
        self._clock = clock
        self._lag_s = lag_s
        self._tasks: dict[str, _Task] = {}
        instances.add_listener(self._on_phase)
        instances.add_load(self.running)

    def running(self, worker: str) -> int:
        """Returns how many tasks run on a worker right now."""
        return len(self._running(worker))

    def start(self, worker: str, spec: platform.TaskSpec) -> Outcome:
        """Starts a task; the same operation starts once."""
        return self.faults.write(lambda: self._start(worker, spec))

    def renew(
        self, worker: str, operations: Sequence[str], lease_s: float
    ) -> platform.Done | platform.Missing | platform.Unavailable:
        """Renews leases; those that lapsed already stay lapsed."""
        return self.faults.read(
            lambda: self._renew(worker, operations, lease_s)
        )

    def checkpoint(
        self, worker: str, operation: str
    ) -> platform.Done | platform.Missing | platform.Unavailable:
        """Writes a checkpoint at once."""
        return self.faults.read(
            lambda: self._change(worker, operation, _write_checkpoint)
        )

    def throttle(
        self, worker: str, operation: str, share: float
    ) -> platform.Done | platform.Missing | platform.Unavailable:
        """Limits a task to a share of its processors."""

        def limit(task: _Task) -> None:
            task.share = share

        return self.faults.read(lambda: self._change(worker, operation, limit))

    def stop(self, worker: str, operation: str) -> Outcome:
        """Stops a task."""

        def end(task: _Task) -> None:
            task.end(
                self._clock.monotonic(), platform.ReportedTaskState.STOPPED
            )

        return self.faults.write(lambda: self._change(worker, operation, end))

    def reports(
        self,
    ) -> tuple[platform.TaskReport, ...] | platform.Unavailable:
        """Reads the reports as of ``lag_s`` ago."""
        return self.faults.read(self._reports)

    def _start(
        self, worker: str, spec: platform.TaskSpec
    ) -> platform.Done | platform.Unavailable:
        if spec.operation in self._tasks:
            return platform.Done()
        if not self._instances.is_up(worker):
            return platform.Unavailable("the worker does not answer")
        if (
            self._instances.phase(worker)
            is not platform.MaintenancePhase.SERVING
        ):
            return platform.Unavailable("the worker takes no new tasks")
        now = self._clock.monotonic()
        task = _Task(
            spec,
            worker,
            started=now,
            lease_until=now + spec.lease_s,
            finishes=now + self.run_time_s.get(spec.job, math.inf),
            checkpoint=spec.checkpoint,
        )
        self._tasks[spec.operation] = task
        self.starts.append(spec.job)
        if worker in self.failing_workers or spec.job in self.failing_jobs:
            task.end(now, platform.ReportedTaskState.FAILED)
        return platform.Done()

    def _renew(
        self, worker: str, operations: Sequence[str], lease_s: float
    ) -> platform.Done | platform.Unavailable:
        if not self._instances.is_up(worker):
            return platform.Unavailable("the worker does not answer")
        now = self._clock.monotonic()
        for task in self._running(worker):
            if task.spec.operation in operations:
                task.lease_until = now + lease_s
        return platform.Done()

    def _change(
        self,
        worker: str,
        operation: str,
        change: Callable[[_Task], None],
    ) -> platform.Done | platform.Missing | platform.Unavailable:
        if not self._instances.is_up(worker):
            return platform.Unavailable("the worker does not answer")
        task = self._tasks.get(operation)
        if task is None or task.worker != worker:
            return platform.Missing()
        change(task)
        return platform.Done()

    def _running(self, worker: str) -> list[_Task]:
        now = self._clock.monotonic()
        return [
            task
            for task in self._tasks.values()
            if task.worker == worker
            and task.state_at(now) is platform.ReportedTaskState.RUNNING
        ]

    def _reports(self) -> tuple[platform.TaskReport, ...]:
        when = self._clock.monotonic() - self._lag_s
        return tuple(
            self._report(task, when)
            for task in self._tasks.values()
            if task.started <= when and self._instances.is_up(task.worker)
        )

    def _report(self, task: _Task, when: float) -> platform.TaskReport:
        state = task.state_at(when)
        factor = self.usage_factor.get(task.spec.job, 1.0)
        if state is not platform.ReportedTaskState.RUNNING:
            factor = 0.0
        return platform.TaskReport(
            task.spec.task,
            task.spec.operation,
            task.worker,
            state,
            task.spec.cores * factor * task.share,
            round(task.spec.memory_mb * factor),
            task.checkpoint,
        )

    def _on_phase(
        self, instance: str, phase: platform.MaintenancePhase
    ) -> None:
        if phase in (
            platform.MaintenancePhase.REBOOTING,
            platform.MaintenancePhase.DOWN,
        ):
            now = self._clock.monotonic()
            for task in self._running(instance):
                task.end(now, platform.ReportedTaskState.FAILED)


def _write_checkpoint(task: _Task) -> None:
    task.checkpoint = f"{task.spec.task}/{task.spec.operation}"
