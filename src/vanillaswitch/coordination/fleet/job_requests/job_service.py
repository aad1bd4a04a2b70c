"""Serves clients even if this process can't reach the store.

A request that this process could not execute, or whose outcome it does not
know, is forwarded to another process. Both processes may then write the same
job. This does not duplicate the job: it has only one row, and a process that
finds the row reports the job as accepted.
"""

from vanillaswitch.coordination.fleet.admission import gate
from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.job_requests import request_forwarder
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs

LOCAL_TIMEOUT_S = 1.0
"""How long this process tries to execute a request before it forwards it. This
is more than twice the duration of a write when the store is 60 times slower
than usual, and a third of the time that clients wait."""


class JobService:
    """Submits, cancels and looks up jobs for clients."""

    def __init__(
        self,
        job_store: job_stores.JobStore,
        forwarder: request_forwarder.RequestForwarder,
        clock: clocks.Clock,
        admission_gate: gate.AdmissionGate | None = None,
    ):
        """Creates a job service.

        Args:
            job_store: executes requests at the store.
            forwarder: forwards requests that it could not execute.
            clock: source of time for timeouts.
            admission_gate: refuses submissions for load; None to accept all.
        """
        self._gate = admission_gate
        self._job_store = job_store
        self._forwarder = forwarder
        self._clock = clock

    def submit(
        self, job: jobs.Job, deadline: float
    ) -> job_stores.RequestResult | gate.Refused:
        """Submits a job; a repeated submission of the same job has no effect.

        Args:
            job: the job.
            deadline: monotonic seconds after which the client stops waiting.
        """
        admission_gate = self._gate
        if admission_gate is None:
            local_result = self._job_store.submit(
                job, self._local_deadline(deadline)
            )
        else:
            refused = admission_gate.refuse(job)
            if refused is not None:
                return refused
            local_result = self._job_store.submit(
                job,
                self._local_deadline(deadline),
                lambda row: admission_gate.may_insert(job, row),
            )
            if local_result is job_stores.RequestResult.REFUSED_BEFORE:
                refused = admission_gate.refuse(job)
                if refused is not None:
                    return refused
                local_result = self._job_store.submit(
                    job, self._local_deadline(deadline)
                )
        if _is_final(local_result):
            return local_result
        return _combine_results(
            local_result, self._forwarder.submit(job, deadline)
        )

    def cancel(
        self,
        job_id: str,
        known_accepted: bool,
        deadline: float,
        account: str = "",
    ) -> job_stores.RequestResult:
        """Cancels a job; see ``job_store.JobStore.cancel``."""
        local_result = self._job_store.cancel(
            job_id, known_accepted, self._local_deadline(deadline), account
        )
        if _is_final(local_result):
            return local_result
        forwarded_result = self._forwarder.cancel(
            job_id, known_accepted, deadline, account
        )
        return _combine_results(local_result, forwarded_result)

    def state(
        self, job_id: str, deadline: float, account: str = ""
    ) -> jobs.JobState | None | job_stores.StateUnknown:
        """Reads a job's recorded state; see ``job_store.JobStore.state``."""
        local_state = self._job_store.state(job_id, account)
        if isinstance(local_state, job_stores.StateUnknown):
            return self._forwarder.state(job_id, deadline, account)
        return local_state

    def _local_deadline(self, deadline: float) -> float:
        return min(deadline, self._clock.monotonic() + LOCAL_TIMEOUT_S)


def _is_final(result: job_stores.RequestResult) -> bool:
    return result not in (
        job_stores.RequestResult.NOT_APPLIED,
        job_stores.RequestResult.UNKNOWN,
    )


def _combine_results(
    local_result: job_stores.RequestResult,
    forwarded_result: job_stores.RequestResult,
) -> job_stores.RequestResult:
    """Returns the result of a request that was tried here and then forwarded.

    It is ``NOT_APPLIED`` only if both results are, since the write of this
    process may still take effect.
    """
    if forwarded_result is job_stores.RequestResult.NOT_APPLIED:
        return local_result
    return forwarded_result
