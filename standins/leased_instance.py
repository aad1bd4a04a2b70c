"""An instance that runs tasks under leases, as a model without time of its own.

It keeps the rules of the platform's pages: tokens only grow, a run starts
once, a stopped or ended run never starts, ends are listed until they are
acknowledged, the oldest first and not all at a time, and all that runs dies
with its lease.
"""

import dataclasses

from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


@dataclasses.dataclass
class ModelRun:
    """A run; ``percent`` is what the instance lists."""

    task: jobs.TaskName
    run: int
    need: fleet.Resources
    percent: float = 0.0


class LeasedInstance:
    """One machine's instance, which may start again under its id.

    Attributes:
        up: it answers; else it has crashed with all it ran.
        started: every start that took effect, in order.
        listed: every end, in order.
        noted: ends that were taken note of, in order.
    """

    def __init__(
        self,
        registration: fleet.Registration,
        max_hold_ms: float = 10_000,
        ends_per_report: int = 500,
    ):
        self._ends_per_report = ends_per_report
        self.registration = registration
        self.up = True
        self.started: list[tuple[jobs.TaskName, int]] = []
        self.running: dict[jobs.TaskName, ModelRun] = {}
        self._max_hold_ms = max_hold_ms
        self.listed: list[fleet.RunEnd] = []
        self.noted: list[fleet.RunEnd] = []
        self._begin_anew()

    def _begin_anew(self) -> None:
        self._token = 0
        self._ended: list[fleet.RunEnd] = []
        self._ends = 0
        self._highest: dict[jobs.TaskName, int] = {}
        self._deadline_ms = 0.0
        self._clock_ms = 0.0
        self._acknowledged = 0

    @property
    def acknowledged(self) -> int:
        """Number of the last end that was taken note of."""
        return self._acknowledged

    @property
    def token(self) -> int:
        """The highest fencing token that it has seen."""
        return self._token

    @property
    def used(self) -> fleet.Resources:
        """Room that its runs take."""
        return fleet.Resources(
            sum(run.need.cpu for run in self.running.values()),
            sum(run.need.mem_mb for run in self.running.values()),
            sum(run.need.gpu for run in self.running.values()),
        )

    def advance(self, milliseconds: float) -> None:
        """Lets its clock run; what is not held on dies."""
        self._clock_ms += milliseconds
        if self.running and self._clock_ms >= self._deadline_ms:
            for run in list(self.running.values()):
                self.end(run.task, fleet.RunOutcome.LEASE_EXPIRED)

    def start(
        self, order: fleet.StartRequest, need: fleet.Resources
    ) -> fleet.OrderOutcome:
        """Carries out a start."""
        if order.token < self._token:
            return fleet.Refused(fleet.RefusalReason.FENCED, self._clock_ms)
        self._token = order.token
        current = self.running.get(order.task)
        if current is not None and current.run == order.run:
            return fleet.Accepted(self._clock_ms)
        if order.run <= self._highest.get(order.task, 0):
            return fleet.Refused(fleet.RefusalReason.STALE_RUN, self._clock_ms)
        if order.deadline_ms <= self._clock_ms:
            return fleet.Refused(
                fleet.RefusalReason.DEADLINE_PASSED, self._clock_ms
            )
        self._extend(order.deadline_ms)
        self._highest[order.task] = order.run
        self.running[order.task] = ModelRun(order.task, order.run, need)
        self.started.append((order.task, order.run))
        return fleet.Accepted(self._clock_ms)

    def refuse_ticket(self) -> fleet.Refused:
        """Returns the refusal of a start whose ticket is not valid."""
        return fleet.Refused(fleet.RefusalReason.INVALID_TICKET, self._clock_ms)

    def stop(
        self, task: jobs.TaskName, run: int, token: int
    ) -> fleet.OrderOutcome:
        """Carries out a stop."""
        if token < self._token:
            return fleet.Refused(fleet.RefusalReason.FENCED, self._clock_ms)
        self._token = token
        current = self.running.get(task)
        if current is not None and current.run == run:
            self.end(task, fleet.RunOutcome.STOPPED)
        self._highest[task] = max(self._highest.get(task, 0), run)
        return fleet.Accepted(self._clock_ms)

    def renew_lease(
        self, token: int, seen: int, deadline_ms: int | None
    ) -> fleet.RenewalOutcome:
        """Extends the lease and lists what runs and ended."""
        if token < self._token:
            return fleet.Refused(fleet.RefusalReason.FENCED, self._clock_ms)
        self._token = token
        if deadline_ms is not None:
            self._extend(deadline_ms)
        self._acknowledged = max(self._acknowledged, seen)
        self.noted.extend(end for end in self._ended if end.number <= seen)
        self._ended = [end for end in self._ended if end.number > seen]
        running = tuple(
            fleet.RunStatus(run.task, run.run, "", run.percent)
            for run in self.running.values()
        )
        return fleet.StatusReport(
            self._clock_ms,
            running,
            tuple(self._ended[: self._ends_per_report]),
            self.registration.born_ms,
            len(self._ended) >= self._ends_per_report,
        )

    def end(self, task: jobs.TaskName, how: fleet.RunOutcome) -> None:
        """Ends a run."""
        run = self.running.pop(task)
        self._ends += 1
        end = fleet.RunEnd(self._ends, task, run.run, how, "")
        self._ended.append(end)
        self.listed.append(end)

    def crash(self) -> None:
        """Ends it with all it ran and listed."""
        self.up = False
        self.running.clear()

    def restart(self, born_ms: int | None) -> None:
        """Starts it again under its id; it knows nothing of before."""
        self.crash()
        self._begin_anew()
        self.registration = dataclasses.replace(
            self.registration, born_ms=born_ms
        )
        self.up = True

    def _extend(self, deadline_ms: float) -> None:
        limit = self._clock_ms + self._max_hold_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))
