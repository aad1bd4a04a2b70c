"""Serving clients also where this process can't reach the store.

What this process could not do, or does not know the outcome of, another one
does. Both may write the same job: it has one row, so it stays one job, and
whoever finds the row says that it was accepted.
"""

from vanillaswitch.coordination.fleet.intake import errands
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs

OWN_S = 1.0
"""How long this process tries by itself: more than twice what a write takes
at a store sixty times slower, and a third of what clients wait."""


class HelpedIntake:
    """Takes in jobs, cancels and questions of clients."""

    def __init__(
        self,
        local: intakes.Intake,
        others: errands.Errands,
        clock: clocks.Clock,
    ):
        self._local = local
        self._others = others
        self._clock = clock

    def submit(self, job: jobs.Job, deadline: float) -> intakes.Verdict:
        """Accepts a job; the same job handed in again stays one job.

        Args:
            job: the job.
            deadline: monotonic seconds after which nobody waits any more.
        """
        own = self._local.submit(job, self._own_deadline(deadline))
        if _settled(own):
            return own
        return _together(own, self._others.submit(job, deadline))

    def cancel(
        self, job_id: str, known: bool, deadline: float
    ) -> intakes.Verdict:
        """Cancels a job.

        Args:
            job_id: the job.
            known: whether it is certain that it was accepted.
            deadline: monotonic seconds after which nobody waits any more.
        """
        own = self._local.cancel(job_id, known, self._own_deadline(deadline))
        if _settled(own):
            return own
        other = self._others.cancel(job_id, known, deadline)
        return _together(own, other)

    def state(
        self, job_id: str, deadline: float
    ) -> jobs.JobState | None | intakes.Unknown:
        """Reads a job's recorded state; None when there is no such job."""
        own = self._local.state(job_id)
        if isinstance(own, intakes.Unknown):
            return self._others.state(job_id, deadline)
        return own

    def _own_deadline(self, deadline: float) -> float:
        return min(deadline, self._clock.monotonic() + OWN_S)


def _settled(verdict: intakes.Verdict) -> bool:
    return verdict not in (intakes.Verdict.NOT_DONE, intakes.Verdict.UNKNOWN)


def _together(own: intakes.Verdict, other: intakes.Verdict) -> intakes.Verdict:
    """Returns what is certain after two tries.

    "Not done" needs both: this process's own write may take effect yet.
    """
    if other is intakes.Verdict.NOT_DONE:
        return own
    return other
