"""Serves clients even if this process can't reach the store.

A request that this process could not execute, or whose outcome it does not
know, is forwarded to another process. Both may write the same job: a job has
one row, so it stays one job, and a process that finds the row reports it as
accepted.
"""

from vanillaswitch.coordination.fleet.intake import errands
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs

LOCAL_TIMEOUT_S = 1.0
"""How long this process tries before it forwards a request: more than twice the
duration of a write at a store that is 60 times slower, and a third of the time
that clients wait."""


class HelpedIntake:
    """Submits, cancels and looks up jobs for clients."""

    def __init__(
        self,
        local: intakes.Intake,
        forwarder: errands.Errands,
        clock: clocks.Clock,
    ):
        self._local = local
        self._forwarder = forwarder
        self._clock = clock

    def submit(self, job: jobs.Job, deadline: float) -> intakes.Verdict:
        """Submits a job; a repeated submission of the same job has no effect.

        Args:
            job: the job.
            deadline: monotonic seconds after which the client stops waiting.
        """
        local = self._local.submit(job, self._local_deadline(deadline))
        if _is_final(local):
            return local
        return _combine(local, self._forwarder.submit(job, deadline))

    def cancel(
        self, job_id: str, known_accepted: bool, deadline: float
    ) -> intakes.Verdict:
        """Cancels a job.

        Args:
            job_id: the job.
            known_accepted: whether the job is known to be accepted.
                False if that is not known.
            deadline: monotonic seconds after which the client stops waiting.
        """
        local = self._local.cancel(
            job_id, known_accepted, self._local_deadline(deadline)
        )
        if _is_final(local):
            return local
        forwarded = self._forwarder.cancel(job_id, known_accepted, deadline)
        return _combine(local, forwarded)

    def state(
        self, job_id: str, deadline: float
    ) -> jobs.JobState | None | intakes.Unknown:
        """Reads a job's recorded state; None when there is no such job."""
        local = self._local.state(job_id)
        if isinstance(local, intakes.Unknown):
            return self._forwarder.state(job_id, deadline)
        return local

    def _local_deadline(self, deadline: float) -> float:
        return min(deadline, self._clock.monotonic() + LOCAL_TIMEOUT_S)


def _is_final(verdict: intakes.Verdict) -> bool:
    return verdict not in (intakes.Verdict.NOT_DONE, intakes.Verdict.UNKNOWN)


def _combine(
    local: intakes.Verdict, forwarded: intakes.Verdict
) -> intakes.Verdict:
    """Returns the result of a request that was tried here and forwarded.

    It is NOT_DONE only if both results are: the write of this process may
    still take effect.
    """
    if forwarded is intakes.Verdict.NOT_DONE:
        return local
    return forwarded
