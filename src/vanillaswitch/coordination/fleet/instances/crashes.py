"""Instances that are lost under their runs, and tasks given up for it.

A task may crash each instance that starts it. Started again like any other, it
took a pool down, with all that ran beside it. So a loss counts against the
tasks that had just begun there, in their jobs' rows, and a task that is given
up ends its job.
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

MOMENT_S = 0.5
"""Instances lost within so long of each other may have one cause: the list of
machines is read every 0.25 s, and tells of a crash after as long again."""

IMAGE_DOUBT_S = 60.0
"""For so long the first task of a step whose image crashed instances is tried
apart; later the image may have been replaced under its name."""


@dataclasses.dataclass(frozen=True)
class _Loss:
    """An instance that was lost.

    Attributes:
        suspected: a task that was suspected before explains it.
    """

    at: float
    instance: str
    rack: str
    suspected: bool


@dataclasses.dataclass(frozen=True)
class _Open:
    """A crash of which it is not known yet what else was lost with it.

    Attributes:
        alone: nothing else had just begun on the instance.
        lasting: the task runs until its job is cancelled.
    """

    at: float
    rack: str
    task: books.Task
    crash: crash_evidence.Crash
    alone: bool
    lasting: bool


class Crashes(endings.Endings):
    """Takes note of instances that are lost with what they run."""

    def __init__(
        self,
        order: queue_order.Order,
        emit: Callable[[object], None],
        bounds: deployments.Bounds = term_state.DEFAULT_BOUNDS,
    ):
        """See ``term_state.State``."""
        super().__init__(order, emit, bounds)
        self._losses: list[_Loss] = []
        self._undecided: list[_Open] = []
        self._doubted_images: dict[str, float] = {}

    def gone(self, name: str, now: float, why: str) -> None:
        """Takes note that an instance is surely over with all it ran."""
        instance = self.instances.pop(name, None)
        if instance is None:
            return
        self._emit_instance(instance, "gone", why, now)
        runs = list(instance.runs.values())
        self._crashed(instance, runs, why, now)
        for run in runs:
            self._release(instance, run)
        self._changed = True

    def _crashed(
        self,
        instance: rooms.Instance,
        runs: Sequence[rooms.Run],
        why: str,
        now: float,
        *,
        sure: bool = True,
    ) -> None:
        """Counts the loss of an instance against its runs.

        Args:
            instance: it is lost, with these runs.
            runs: that were there.
            why: how that was found.
            now: monotonic seconds.
            sure: whether it crashed; else it may only be cut off.
        """
        if instance.leaving or instance.registration.draining:
            return
        begun = [run for run in runs if _may_have_begun(run)]
        unproven = [run for run in begun if not run.proven]
        suspected = any(run.apart for run in unproven)
        if sure:
            rack = instance.registration.rack
            self._note_loss(_Loss(now, instance.name, rack, suspected))
        for run in begun:
            if _is_innocent(run, suspected):
                continue
            crash = crash_evidence.Crash(
                run.run, instance.name, _kind(run, sure), run.worked_s
            )
            alone = unproven == [run]
            self._count_crash(instance, run, crash, alone, now)
            if not run.proven:
                self._tell_crash(instance, run, crash, why, unproven, now)

    def _note_loss(self, loss: _Loss) -> None:
        """Keeps a loss for as long as crashes may be weighed against it."""
        self._losses = [
            known
            for known in self._losses
            if loss.at - known.at <= 2 * MOMENT_S
        ]
        self._losses.append(loss)

    def _count_crash(
        self,
        instance: rooms.Instance,
        run: rooms.Run,
        crash: crash_evidence.Crash,
        alone: bool,
        now: float,
    ) -> None:
        """Counts a crash; what weighs it is known only a moment later."""
        entry = self.book.get(run.task.job_id)
        task = entry.task(run.task) if entry else None
        if entry is None or task is None or not task.add_crash(crash):
            return
        entry.open[run.task.occurrence, run.task.step].crashed = True
        self.book.touch(entry)
        lasting = run.step.long_running
        rack = instance.registration.rack
        self._undecided.append(_Open(now, rack, task, crash, alone, lasting))
        surest = dataclasses.replace(crash, kind=crash_evidence.Kind.ALONE)
        crashes = [*task.crashes[:-1], surest]
        if crash_evidence.convicts(crashes, lasting=lasting):
            task.judged_at = now + MOMENT_S

    def settle_crashes(self, now: float) -> None:
        """Judges crashes of which it is known now what was lost with them.

        A rack that goes down while two of its instances have just been given
        a task each looks like a task that crashes them.
        """
        # As ``Task.judged_at`` is worked out: rounded otherwise, a task starts
        # in the moment before it is judged.
        due = [item for item in self._undecided if now >= item.at + MOMENT_S]
        if not due:
            return
        self._undecided = [item for item in self._undecided if item not in due]
        for item in due:
            entry = self.book.get(item.task.name.job_id)
            if entry is None or entry.ended is not None:
                continue
            self._weigh(item)
            self.book.touch(entry)
            if all(item.task is not other.task for other in self._undecided):
                self._judge(entry, item.task, now)

    def _judge_inherited(self, entry: books.Entry, now: float) -> None:
        """Judges the crashes that an earlier owner recorded of a job.

        It may have ended before it judged the last of them.
        """
        crashed = [step for step in entry.open.values() if step.crashed]
        for step in crashed:
            for task in step.tasks:
                if entry.ended is None:
                    self._judge(entry, task, now)

    def _judge(self, entry: books.Entry, task: books.Task, now: float) -> None:
        lasting = entry.job.steps[task.name.step].long_running
        if crash_evidence.convicts(task.crashes, lasting=lasting):
            self._give_up_job(entry, task, now)

    def _weigh(self, item: _Open) -> None:
        """Weighs a crash by what else was lost at that moment."""
        task, crash = item.task, item.crash
        if crash not in task.crashes:
            return
        shared = self._is_shared(item)
        worked = crash.kind is crash_evidence.Kind.WORKED
        if shared and worked and item.lasting:
            task.withdraw_crash(crash.run)
        elif (
            item.alone and not shared and crash.kind is crash_evidence.Kind.NEW
        ):
            surest = dataclasses.replace(crash, kind=crash_evidence.Kind.ALONE)
            task.crashes[task.crashes.index(crash)] = surest

    def _is_shared(self, item: _Open) -> bool:
        """Whether another instance was lost then, by the same cause it seems.

        A suspect explains the loss of its own instance, but for one of the
        same rack.
        """
        own = {crash.instance for crash in item.task.crashes}
        return any(
            loss.instance not in own
            and (not loss.suspected or loss.rack == item.rack != "")
            and abs(loss.at - item.at) <= MOMENT_S
            for loss in self._losses
        )

    def _give_up_job(
        self, entry: books.Entry, task: books.Task, now: float
    ) -> None:
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
            self._doubted_images[image] = now + IMAGE_DOUBT_S
        entry.given_up = tuple(task.crashes)
        cause = f"{task.name.label} crashed {len(task.crashes)} instances"
        self._end_job(entry, jobs.JobState.FAILED, cause, now)

    def _note_work(self, instance: rooms.Instance, run: rooms.Run) -> None:
        """Clears the task of a run that works, and its step's other tasks."""
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
        left = crash_evidence.left_after(
            task.crashes, run.worked_s, lasting=run.step.long_running
        )
        if len(left) < len(task.crashes):
            task.crashes = left
            self.book.touch(entry)
        run.cleared = not left

    def _tell_crash(
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


def _is_innocent(run: rooms.Run, suspected: bool) -> bool:
    """Whether a run had worked for too long to be the cause.

    One that lasts is there for minutes, so sooner or later its instance
    crashes under it. Beside a suspected task any other has a better excuse.
    """
    worked_long = run.worked_s >= crash_evidence.MOST_PROOF_S
    return worked_long and (suspected or run.step.long_running)


def _kind(run: rooms.Run, sure: bool) -> crash_evidence.Kind:
    if not sure or run.begun_at is None:
        return crash_evidence.Kind.UNSURE
    if run.worked_s >= crash_evidence.PROVEN_S:
        return crash_evidence.Kind.WORKED
    if run.begun_before:
        return crash_evidence.Kind.UNSURE
    return crash_evidence.Kind.NEW
