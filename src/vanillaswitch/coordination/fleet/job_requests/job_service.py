"""Serves clients even if this process can't reach the store.

A request that this process could not execute, or whose outcome it does not
know, is forwarded to another process. Both may write the same job: a job has
one row, so it stays one job, and a process that finds the row reports it as
accepted.
"""

from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.job_requests import request_forwarder
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs

LOCAL_TIMEOUT_S = 1.0
"""How long this process tries before it forwards a request: more than twice the
duration of a write at a store that is 60 times slower, and a third of the time
that clients wait."""


class JobService:
    """Submits, cancels and looks up jobs for clients."""

    def __init__(
        self,
        local: job_stores.JobStore,
        forwarder: request_forwarder.RequestForwarder,
        clock: clocks.Clock,
    ):
        self._local = local
        self._forwarder = forwarder
        self._clock = clock

    def submit(
        self, job: jobs.Job, deadline: float
    ) -> job_stores.RequestResult:
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
    ) -> job_stores.RequestResult:
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
    ) -> jobs.JobState | None | job_stores.StateUnknown:
        """Reads a job's recorded state; None when there is no such job."""
        local = self._local.state(job_id)
        if isinstance(local, job_stores.StateUnknown):
            return self._forwarder.state(job_id, deadline)
        return local

    def _local_deadline(self, deadline: float) -> float:
        return min(deadline, self._clock.monotonic() + LOCAL_TIMEOUT_S)


def _is_final(verdict: job_stores.RequestResult) -> bool:
    return verdict not in (
        job_stores.RequestResult.NOT_APPLIED,
        job_stores.RequestResult.UNKNOWN,
    )


def _combine(
    local: job_stores.RequestResult, forwarded: job_stores.RequestResult
) -> job_stores.RequestResult:
    """Returns the result of a request that was tried here and forwarded.

    It is NOT_DONE only if both results are: the write of this process may
    still take effect.
    """
    if forwarded is job_stores.RequestResult.NOT_APPLIED:
        return local
    return forwarded
