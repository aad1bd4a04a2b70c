"""Counts lost instances against tasks and fails jobs that cause crashes.

A task may crash every instance that starts it. If it were restarted like any
other task, it could take down a whole pool and everything that runs there. Each
loss therefore counts against the tasks that had just started on the instance.
The counts are stored with their jobs, and a job fails when one of its tasks has
crashed too many instances.

A suspected task first runs in isolation: nothing else starts on its instance.
The isolation ends once the run is proven, that is, once it has worked long
enough to show that it does not crash its instance (``Run.is_proven``).
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import held_runs
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

SHARED_CAUSE_WINDOW_S = 0.5
"""Instances lost within this time of each other may share a cause. The list of
machines is read every 0.25 s and shows a crash another 0.25 s later."""

IMAGE_SUSPICION_S = 60.0
"""How long an image stays suspect after a task with it crashed
instances. Until then, the first task of a step with this image runs in
isolation. Later, the image may have been replaced under the same name."""


@dataclasses.dataclass(frozen=True)
class _InstanceLoss:
    """The loss of an instance.

    Attributes:
        at: monotonic seconds at which it was detected.
        had_suspect: a task that was already suspected of crashing instances ran
            there; it is the likely cause of the loss.
    """

    at: float
    instance: str
    rack: str
    had_suspect: bool


@dataclasses.dataclass(frozen=True)
class _PendingCrash:
    """A crash for which other losses at the same time may still be detected.

    Attributes:
        at: monotonic seconds at which it was detected.
        is_sole_unproven: no other run had just started on the instance.
        long_running: the task runs until its job is cancelled.
    """

    at: float
    rack: str
    task: open_steps.Task
    crash: crash_evidence.Crash
    is_sole_unproven: bool
    long_running: bool


class CrashTracking(held_runs.HeldRuns):
    """Handles the loss of instances and of their runs."""

    def __init__(
        self,
        order: queue_order.Order,
        emit: Callable[[object], None],
        bounds: deployments.Bounds = term_state.DEFAULT_BOUNDS,
        overload: deployments.OverloadControls = (
            term_state.NO_OVERLOAD_CONTROLS
        ),
    ):
        """See ``term_state.TermState``."""
        super().__init__(order, emit, bounds, overload)
        self._recent_losses: list[_InstanceLoss] = []
        self._pending_crashes: list[_PendingCrash] = []
        self._suspect_images_until: dict[str, float] = {}

    def remove_instance(self, name: str, now: float, why: str) -> None:
        """Removes an instance that is certainly gone, with all its runs.

        Those that a later incarnation may still execute are held.
        """
        instance = self.instances.get(name)
        if instance is None or instance.is_gone:
            return
        del self.instances[name]
        self._emit_instance_changed(instance, "gone", why, now)
        runs = list(instance.runs.values())
        lost = [run for run in runs if run.held_until is None]
        self._count_loss(instance, lost, why, now)
        for run in runs:
            self._release_or_hold(instance, run, now, why)
        if instance.runs:
            self._keep_held_runs(instance, now)
        self._needs_plan = True

    def _count_loss(
        self,
        instance: instance_state.Instance,
        runs: Sequence[instance_state.Run],
        why: str,
        now: float,
        *,
        crash_confirmed: bool = True,
    ) -> None:
        """Counts the loss of an instance against its runs.

        Args:
            instance: the lost instance.
            runs: the runs that were lost with it.
            why: how the loss was detected.
            now: monotonic seconds.
            crash_confirmed: whether the instance crashed; otherwise it may only
                be unreachable.
        """
        if instance.is_terminating or instance.registration.is_draining:
            return
        started = [run for run in runs if _may_have_started(run)]
        unproven = [run for run in started if not run.is_proven]
        has_suspect = any(run.is_isolated for run in unproven)
        if crash_confirmed:
            rack = instance.registration.rack
            self._record_loss(
                _InstanceLoss(now, instance.name, rack, has_suspect)
            )
        for run in started:
            if _is_unlikely_cause(run, has_suspect):
                continue
            crash = crash_evidence.Crash(
                run.run,
                instance.name,
                _evidence_kind(run, crash_confirmed),
                run.run_time_s,
            )
            is_sole_unproven = unproven == [run]
            self._record_crash(instance, run, crash, is_sole_unproven, now)
            if not run.is_proven:
                self._emit_crash(instance, run, crash, why, unproven, now)

    def _record_loss(self, loss: _InstanceLoss) -> None:
        """Stores a loss while pending crashes may be compared with it."""
        self._recent_losses = [
            known
            for known in self._recent_losses
            if loss.at - known.at <= 2 * SHARED_CAUSE_WINDOW_S
        ]
        self._recent_losses.append(loss)

    def _record_crash(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        crash: crash_evidence.Crash,
        is_sole_unproven: bool,
        now: float,
    ) -> None:
        """Records a crash.

        Its kind is final after ``SHARED_CAUSE_WINDOW_S``.
        """
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None or not task.record_crash(crash):
            return
        entry.open_steps_by_key[
            run.task.occurrence, run.task.step
        ].has_crashed = True
        self.tracker.mark_dirty(entry)
        long_running = run.step.long_running
        rack = instance.registration.rack
        self._pending_crashes.append(
            _PendingCrash(
                now, rack, task, crash, is_sole_unproven, long_running
            )
        )
        upgraded = dataclasses.replace(
            crash, kind=crash_evidence.CrashKind.SOLE_NEW_RUN
        )
        crashes = [*task.crashes[:-1], upgraded]
        if crash_evidence.exceeds_crash_limit(
            crashes, long_running=long_running
        ):
            task.not_before = now + SHARED_CAUSE_WINDOW_S

    def evaluate_pending_crashes(self, now: float) -> None:
        """Evaluates crashes for which all simultaneous losses are known.

        The delay is needed because the loss of a rack looks like a crashing
        task if two of its instances had just been given a run of that task.
        """
        # Same expression as for ``Task.not_before``: a different rounding would
        # let a task start just before it is evaluated.
        due = [
            pending
            for pending in self._pending_crashes
            if now >= pending.at + SHARED_CAUSE_WINDOW_S
        ]
        if not due:
            return
        self._pending_crashes = [
            pending for pending in self._pending_crashes if pending not in due
        ]
        for pending in due:
            entry = self.tracker.get(pending.task.name.job_id)
            if entry is None or entry.ended is not None:
                continue
            self._adjust_evidence(pending)
            self.tracker.mark_dirty(entry)
            if all(
                pending.task is not other.task
                for other in self._pending_crashes
            ):
                self._fail_if_crashing(entry, pending.task, now)

    def _evaluate_recovered_crashes(
        self, entry: job_tracker.JobEntry, now: float
    ) -> None:
        """Evaluates the crashes that a previous owner recorded for a job.

        That owner's term may have ended before it evaluated the last of them.
        """
        crashed = [
            step
            for step in entry.open_steps_by_key.values()
            if step.has_crashed
        ]
        for step in crashed:
            for task in step.opened_tasks:
                if entry.ended is None:
                    self._fail_if_crashing(entry, task, now)

    def _fail_if_crashing(
        self, entry: job_tracker.JobEntry, task: open_steps.Task, now: float
    ) -> None:
        """Fails a job if the evidence shows that a task crashes instances."""
        long_running = entry.job.steps[task.name.step].long_running
        if crash_evidence.exceeds_crash_limit(
            task.crashes, long_running=long_running
        ):
            self._fail_crashing_job(entry, task, now)

    def _adjust_evidence(self, pending: _PendingCrash) -> None:
        """Upgrades or drops a crash, depending on simultaneous losses.

        The crash of a run that was the only new one on its instance becomes
        stronger evidence if there is no shared cause. The crash of a
        long-running task that had worked for a while is dropped if there is
        one. See ``_has_shared_cause``.
        """
        task, crash = pending.task, pending.crash
        if crash not in task.crashes:
            return
        shared = self._has_shared_cause(pending)
        was_proven = crash.kind is crash_evidence.CrashKind.OLDER_RUN
        if shared and was_proven and pending.long_running:
            task.remove_crash(crash.run)
        elif (
            pending.is_sole_unproven
            and not shared
            and crash.kind is crash_evidence.CrashKind.NEW_RUN
        ):
            upgraded = dataclasses.replace(
                crash, kind=crash_evidence.CrashKind.SOLE_NEW_RUN
            )
            task.crashes[task.crashes.index(crash)] = upgraded

    def _has_shared_cause(self, pending: _PendingCrash) -> bool:
        """Whether another instance was lost at the same time.

        Ignores an instance on which a suspected task ran, since that task is
        the likely cause, unless the instance is in the same rack.
        """
        own = {crash.instance for crash in pending.task.crashes}
        return any(
            loss.instance not in own
            and (not loss.had_suspect or loss.rack == pending.rack != "")
            and abs(loss.at - pending.at) <= SHARED_CAUSE_WINDOW_S
            for loss in self._recent_losses
        )

    def _fail_crashing_job(
        self, entry: job_tracker.JobEntry, task: open_steps.Task, now: float
    ) -> None:
        """Fails a job whose task crashes instances.

        For ``IMAGE_SUSPICION_S``, the first task of any other step with the
        same image starts in isolation.
        """
        self._emit(
            events.JobGivenUp(
                entry.job.job_id,
                entry.job.queue,
                task.name.path_in_job,
                tuple(crash.text for crash in task.crashes),
            )
        )
        image = entry.job.steps[task.name.step].image
        if image:
            self._suspect_images_until[image] = now + IMAGE_SUSPICION_S
        entry.fatal_crashes = tuple(task.crashes)
        cause = (
            f"task {task.name.path_in_job} crashed {len(task.crashes)} "
            "instances"
        )
        self._finish_job(entry, jobs.JobState.FAILED, cause, now)

    def _clear_if_proven(
        self, instance: instance_state.Instance, run: instance_state.Run
    ) -> None:
        """Drops the suspicion against a task whose run worked long enough.

        The other tasks of its step may then start as well.
        """
        if not run.is_proven:
            return
        if run.is_isolated:
            instance.end_isolation(run)
            self._needs_plan = True
        entry = self.tracker.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None or task.run != run.run:
            return
        entry.open_steps_by_key[
            run.task.occurrence, run.task.step
        ].has_proven_task = True
        task.is_suspect = False
        remaining = crash_evidence.remaining_crashes(
            task.crashes, run.run_time_s, long_running=run.step.long_running
        )
        if len(remaining) < len(task.crashes):
            task.crashes = remaining
            self.tracker.mark_dirty(entry)
        run.crashes_cleared = not remaining

    def _emit_crash(
        self,
        instance: instance_state.Instance,
        run: instance_state.Run,
        crash: crash_evidence.Crash,
        why: str,
        unproven: Sequence[instance_state.Run],
        now: float,
    ) -> None:
        entry = self.tracker.get(run.task.job_id)
        if entry is None:
            return
        task = entry.task(run.task)
        started_ms = -1
        if run.started_at is not None:
            started_ms = round((now - run.started_at) * 1000)
        self._emit(
            events.RunCrashed(
                run.task.job_id,
                entry.job.queue,
                run.task.path_in_job,
                run.run,
                instance.name,
                crash.kind.value,
                run.is_isolated,
                len(task.crashes) if task else len(entry.fatal_crashes),
                why,
                round((now - run.decided_at) * 1000),
                started_ms,
                len(instance.runs) - 1,
                len(unproven) - 1,
            )
        )


def _may_have_started(run: instance_state.Run) -> bool:
    if run.started_at is not None or run.has_unanswered_start:
        return True
    return run.is_start_sent and not run.is_start_unsent


def _is_unlikely_cause(run: instance_state.Run, has_suspect: bool) -> bool:
    """Whether a run had worked for too long to have caused the crash.

    Applies to long-running tasks, because they run for minutes and sooner or
    later their instance crashes for another reason. Applies to other tasks only
    if a suspected task ran on the same instance.
    """
    ran_long = run.run_time_s >= crash_evidence.MAX_REQUIRED_RUN_TIME_S
    return ran_long and (has_suspect or run.step.long_running)


def _evidence_kind(
    run: instance_state.Run, crash_confirmed: bool
) -> crash_evidence.CrashKind:
    """Returns the kind of evidence that a loss gives against a run."""
    if not crash_confirmed or run.started_at is None:
        return crash_evidence.CrashKind.UNCERTAIN
    if run.run_time_s >= crash_evidence.MIN_REQUIRED_RUN_TIME_S:
        return crash_evidence.CrashKind.OLDER_RUN
    if run.started_before_term:
        return crash_evidence.CrashKind.UNCERTAIN
    return crash_evidence.CrashKind.NEW_RUN
