"""Counts lost instances against tasks and fails jobs that cause crashes.

A task may crash every instance that starts it. If it were restarted like any
other task, it could take down a whole pool and everything that runs there. Each
loss therefore counts against the tasks that had just begun on the instance. The
counts are stored with their jobs, and a job fails when one of its tasks has
crashed too many instances.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import endings
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

SHARED_CAUSE_S = 0.5
"""Instances lost within this time of each other may share a cause. The list of
machines is read every 0.25 s and shows a crash another 0.25 s later."""

IMAGE_SUSPICION_S = 60.0
"""How long the first task of a step runs isolated after its image crashed
instances. Later, the image may have been replaced under the same name."""


@dataclasses.dataclass(frozen=True)
class _InstanceLoss:
    """The loss of an instance.

    Attributes:
        at: monotonic seconds at which it was detected.
        explained: a task that was already suspected explains it.
    """

    at: float
    instance: str
    rack: str
    explained: bool


@dataclasses.dataclass(frozen=True)
class _PendingCrash:
    """A crash for which other losses at the same time may still be detected.

    Attributes:
        at: monotonic seconds at which it was detected.
        alone: no other run had just begun on the instance.
        long_running: the task runs until its job is cancelled.
    """

    at: float
    rack: str
    task: books.Task
    crash: crash_evidence.Crash
    alone: bool
    long_running: bool


class CrashTracking(endings.RunCompletion):
    """Handles the loss of instances and of their runs."""

    def __init__(
        self,
        order: queue_order.Order,
        emit: Callable[[object], None],
        bounds: deployments.Bounds = term_state.DEFAULT_BOUNDS,
    ):
        """See ``term_state.State``."""
        super().__init__(order, emit, bounds)
        self._recent_losses: list[_InstanceLoss] = []
        self._pending_crashes: list[_PendingCrash] = []
        self._doubted_images: dict[str, float] = {}

    def gone(self, name: str, now: float, why: str) -> None:
        """Removes an instance that is certainly gone, with all its runs."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        self._emit_instance_changed(instance, "gone", why, now)
        runs = list(instance.runs.values())
        self._count_loss(instance, runs, why, now)
        for run in runs:
            self._release(instance, run)
        self._changed = True

    def _count_loss(
        self,
        instance: rooms.Instance,
        runs: Sequence[rooms.Run],
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
                be cut off.
        """
        if instance.leaving or instance.registration.draining:
            return
        begun = [run for run in runs if _may_have_begun(run)]
        unproven = [run for run in begun if not run.proven]
        has_suspect = any(run.apart for run in unproven)
        if crash_confirmed:
            rack = instance.registration.rack
            self._record_loss(
                _InstanceLoss(now, instance.name, rack, has_suspect)
            )
        for run in begun:
            if _is_unlikely_cause(run, has_suspect):
                continue
            crash = crash_evidence.Crash(
                run.run,
                instance.name,
                _evidence_kind(run, crash_confirmed),
                run.worked_s,
            )
            alone = unproven == [run]
            self._record_crash(instance, run, crash, alone, now)
            if not run.proven:
                self._emit_crash(instance, run, crash, why, unproven, now)

    def _record_loss(self, loss: _InstanceLoss) -> None:
        """Keeps a loss as long as pending crashes may be compared with it."""
        self._recent_losses = [
            known
            for known in self._recent_losses
            if loss.at - known.at <= 2 * SHARED_CAUSE_S
        ]
        self._recent_losses.append(loss)

    def _record_crash(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        crash: crash_evidence.Crash,
        alone: bool,
        now: float,
    ) -> None:
        """Records a crash; its kind is final only ``SHARED_CAUSE_S`` later."""
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None or not task.add_crash(crash):
            return
        entry.open[run.task.occurrence, run.task.step].crashed = True
        self.book.touch(entry)
        long_running = run.step.long_running
        rack = instance.registration.rack
        self._pending_crashes.append(
            _PendingCrash(now, rack, task, crash, alone, long_running)
        )
        strongest = dataclasses.replace(crash, kind=crash_evidence.Kind.ALONE)
        crashes = [*task.crashes[:-1], strongest]
        if crash_evidence.convicts(crashes, lasting=long_running):
            task.judged_at = now + SHARED_CAUSE_S

    def settle_crashes(self, now: float) -> None:
        """Evaluates crashes for which all losses at the same time are known.

        The delay is needed because the loss of a rack looks like a crashing
        task if two of its instances had just been given a run of that task.
        """
        # Same expression as for ``Task.judged_at``: a different rounding would
        # let a task start just before it is evaluated.
        due = [
            item
            for item in self._pending_crashes
            if now >= item.at + SHARED_CAUSE_S
        ]
        if not due:
            return
        self._pending_crashes = [
            item for item in self._pending_crashes if item not in due
        ]
        for item in due:
            entry = self.book.get(item.task.name.job_id)
            if entry is None or entry.ended is not None:
                continue
            self._adjust_evidence(item)
            self.book.touch(entry)
            if all(
                item.task is not other.task for other in self._pending_crashes
            ):
                self._fail_if_crashing(entry, item.task, now)

    def _evaluate_recovered_crashes(
        self, entry: books.Entry, now: float
    ) -> None:
        """Evaluates the crashes that a previous owner recorded for a job.

        That owner's term may have ended before it evaluated the last of them.
        """
        crashed = [step for step in entry.open.values() if step.crashed]
        for step in crashed:
            for task in step.tasks:
                if entry.ended is None:
                    self._fail_if_crashing(entry, task, now)

    def _fail_if_crashing(
        self, entry: books.Entry, task: books.Task, now: float
    ) -> None:
        """Fails a job if the evidence shows that a task crashes instances."""
        long_running = entry.job.steps[task.name.step].long_running
        if crash_evidence.convicts(task.crashes, lasting=long_running):
            self._fail_crashing_job(entry, task, now)

    def _adjust_evidence(self, item: _PendingCrash) -> None:
        """Adjusts the evidence of a crash to other losses at that time."""
        task, crash = item.task, item.crash
        if crash not in task.crashes:
            return
        shared = self._has_shared_cause(item)
        worked = crash.kind is crash_evidence.Kind.WORKED
        if shared and worked and item.long_running:
            task.withdraw_crash(crash.run)
        elif (
            item.alone and not shared and crash.kind is crash_evidence.Kind.NEW
        ):
            strongest = dataclasses.replace(
                crash, kind=crash_evidence.Kind.ALONE
            )
            task.crashes[task.crashes.index(crash)] = strongest

    def _has_shared_cause(self, item: _PendingCrash) -> bool:
        """Whether another instance was lost at the same time.

        Ignores the loss of an instance on which a suspected task explains it,
        unless it is in the same rack.
        """
        own = {crash.instance for crash in item.task.crashes}
        return any(
            loss.instance not in own
            and (not loss.explained or loss.rack == item.rack != "")
            and abs(loss.at - item.at) <= SHARED_CAUSE_S
            for loss in self._recent_losses
        )

    def _fail_crashing_job(
        self, entry: books.Entry, task: books.Task, now: float
    ) -> None:
        """Fails a job whose task crashes instances; suspects its image."""
        self._emit(
            events.JobGivenUp(
                entry.job.job_id,
                entry.job.queue,
                task.name.label,
                tuple(crash.text for crash in task.crashes),
            )
        )
        image = entry.job.steps[task.name.step].image
        if image:
            self._doubted_images[image] = now + IMAGE_SUSPICION_S
        entry.given_up = tuple(task.crashes)
        cause = f"task {task.name.label} crashed {len(task.crashes)} instances"
        self._end_job(entry, jobs.JobState.FAILED, cause, now)

    def _clear_if_proven(
        self, instance: rooms.Instance, run: rooms.Run
    ) -> None:
        """Clears the task of a run that has worked for long enough.

        The other tasks of its step may then start as well.
        """
        if not run.proven:
            return
        if run.apart:
            instance.clear_apart(run)
            self._changed = True
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None or task.run != run.run:
            return
        entry.open[run.task.occurrence, run.task.step].works = True
        task.suspect = False
        remaining = crash_evidence.left_after(
            task.crashes, run.worked_s, lasting=run.step.long_running
        )
        if len(remaining) < len(task.crashes):
            task.crashes = remaining
            self.book.touch(entry)
        run.cleared = not remaining

    def _emit_crash(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        crash: crash_evidence.Crash,
        why: str,
        unproven: Sequence[rooms.Run],
        now: float,
    ) -> None:
        entry = self.book.get(run.task.job_id)
        if entry is None:
            return
        task = entry.task(run.task)
        begun_ms = -1
        if run.begun_at is not None:
            begun_ms = round((now - run.begun_at) * 1000)
        self._emit(
            events.RunCrashed(
                run.task.job_id,
                entry.job.queue,
                run.task.label,
                run.run,
                instance.name,
                crash.kind.value,
                run.apart,
                len(task.crashes) if task else len(entry.given_up),
                why,
                round((now - run.decided_at) * 1000),
                begun_ms,
                len(instance.runs) - 1,
                len(unproven) - 1,
            )
        )


def _may_have_begun(run: rooms.Run) -> bool:
    if run.begun_at is not None or run.unanswered:
        return True
    return run.sent and not run.unsent


def _is_unlikely_cause(run: rooms.Run, has_suspect: bool) -> bool:
    """Whether a run had worked for too long to have caused the crash.

    Applies to long-running tasks, because they run for minutes and sooner or
    later their instance crashes for another reason. Applies to other tasks only
    if a suspected task ran on the same instance.
    """
    worked_long = run.worked_s >= crash_evidence.MOST_PROOF_S
    return worked_long and (has_suspect or run.step.long_running)


def _evidence_kind(
    run: rooms.Run, crash_confirmed: bool
) -> crash_evidence.Kind:
    """Returns the kind of evidence that a loss gives against a run."""
    if not crash_confirmed or run.begun_at is None:
        return crash_evidence.Kind.UNSURE
    if run.worked_s >= crash_evidence.PROVEN_S:
        return crash_evidence.Kind.WORKED
    if run.begun_before:
        return crash_evidence.Kind.UNSURE
    return crash_evidence.Kind.NEW
