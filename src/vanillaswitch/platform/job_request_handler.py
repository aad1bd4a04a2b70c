"""Handles HTTP requests of clients about jobs."""

from collections.abc import Callable
import re

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet.accounts import authentication
from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.coordination.fleet.admission import gate
from vanillaswitch.coordination.fleet.job_requests import job_service
from vanillaswitch.coordination.fleet.job_requests import job_store
from vanillaswitch.coordination.fleet.ownership import owner_rpc
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import job_body
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers

DEADLINE_HEADER = "X-Deadline-Ms"

KEY_HEADER = "X-Api-Key"
"""Carries the API key of the client account and nothing else."""

DEFAULT_TIMEOUT_S = 3.0
"""Assumed timeout of a client that sends no ``X-Deadline-Ms``."""

RESPONSE_MARGIN_S = 0.15
"""Time reserved for a response to reach its client before the client's
timeout."""

RETRY_AFTER_S = 1.0
"""When clients should retry after a failed write: outages last seconds, and
the header ``Retry-After`` counts whole seconds."""

_DENIAL_DETAILS = {
    authentication.Denial.NO_KEY: f"send your API key in {KEY_HEADER}",
    authentication.Denial.SEVERAL_KEYS: f"send one field {KEY_HEADER}",
    authentication.Denial.UNKNOWN_KEY: "no account has this API key",
    authentication.Denial.UNCONFIRMED: (
        "this machine can't check API keys now; nothing was done, try again"
    ),
}

OVERLOADED = "overloaded"
"""Code of a submission that was refused because of the load."""

_JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
_OK = 200


class JobRequestHandler:
    """Submits, cancels and shows jobs, and returns lengths of queues."""

    def __init__(
        self,
        job_service_: job_service.JobService,
        owner_rpc_: owner_rpc.OwnerRpc,
        config: Callable[[], fleet.FleetConfig | None],
        config_confirmed_at: Callable[[], float],
        revocation_s: float,
        clock: clocks.Clock,
        reference_clock_: reference_clock.ReferenceClock,
        emit: Callable[[object], None],
        refuses_for_load: bool = False,
    ):
        """Creates a handler.

        Args:
            job_service_: submits, cancels and looks up jobs.
            owner_rpc_: asks the fleet's owner for states and queue lengths.
            config: returns the configuration in force; None before there is
                one.
            config_confirmed_at: returns the monotonic seconds at which that
                configuration was surely the newest.
            revocation_s: seconds after which a removed API key must not work.
            clock: must count the time in which the machine is suspended.
            reference_clock_: estimates the store's clock.
            emit: receives events.
            refuses_for_load: whether jobs are refused for load.
        """
        self._emit = emit
        self._refuses_for_load = refuses_for_load
        self._config_confirmed_at = config_confirmed_at
        self._revocation_s = revocation_s
        self._reference_clock = reference_clock_
        self._job_service = job_service_
        self._owner_rpc = owner_rpc_
        self._config = config
        self._clock = clock

    def handle(self, incoming: requests.RawRequest) -> requests.Reply:
        """Handles one request, in the greenlet of its connection."""
        reply = self._route(incoming)
        if isinstance(reply, requests.Refusal):
            config = self._config()
            self._emit(
                events.Refused(
                    incoming.method,
                    incoming.target,
                    reply.status,
                    reply.code,
                    config.version if config else 0,
                )
            )
        return reply

    def _route(self, incoming: requests.RawRequest) -> requests.Reply:
        config = self._config()
        if config is None:
            return _refusal(503, "no-configuration", "come back soon", 1.0)
        path = incoming.target.partition("?")[0]
        host = headers.first(incoming.headers, "host") or ""
        queue = _find_queue(config, host, path)
        if queue is None:
            return _refusal(404, "no-queue", "no queue has this address")
        caller = authentication.authenticate(
            config,
            queue,
            headers.values(incoming.headers, KEY_HEADER),
            self._clock.monotonic() - self._config_confirmed_at(),
            self._revocation_s,
        )
        if isinstance(caller, authentication.Denial):
            return _denial(caller)
        job_id = path[len(queue.prefix) :]
        if not job_id:
            return self._get_queue_length(incoming, queue)
        if not _JOB_ID.fullmatch(job_id):
            return _refusal(404, "no-job-id", "give 16 hexadecimal digits")
        if incoming.method == "POST":
            return self._submit_job(
                incoming, queue, job_id, config, caller.account
            )
        if incoming.method == "GET":
            return self._get_state(incoming, job_id, caller.account)
        if incoming.method == "DELETE":
            return self._cancel_job(incoming, job_id, caller.account)
        return _refusal(405, "method", "use POST, GET or DELETE")

    def _get_queue_length(
        self, incoming: requests.RawRequest, queue: fleet.Queue
    ) -> requests.Reply:
        if incoming.method != "GET":
            return _refusal(405, "method", "use GET")
        pending = self._owner_rpc.count_pending(queue.name)
        if pending is None:
            return _refusal(503, "no-owner", "come back soon", RETRY_AFTER_S)
        return _ok(job_body.encode_pending(pending))

    def _submit_job(
        self,
        incoming: requests.RawRequest,
        queue: fleet.Queue,
        job_id: str,
        config: fleet.FleetConfig,
        account: str,
    ) -> requests.Reply:
        try:
            job = job_body.parse_job(
                incoming.body,
                job_id,
                queue.name,
                queue.service,
                self._submitted_ms(incoming),
                int(self._clock.wall() * 1000),
                account,
                queue.max_attempts,
                queue.advice,
            )
        except job_body.BadJobError as error:
            return _refusal(400, "bad-job", str(error))
        if self._exceeds_limit(config, job) and not self._may_be_accepted(
            incoming, job
        ):
            return _refusal(
                400,
                "account-limit",
                "a task of it is larger than all that the account may have "
                "running; make its tasks smaller",
            )
        submitted = self._job_service.submit(job, self._deadline(incoming))
        waited_s = self._clock.monotonic() - incoming.received_at
        self._emit(
            events.HandedIn(
                job_id,
                queue.name,
                OVERLOADED
                if isinstance(submitted, gate.Refused)
                else submitted.value,
                config.version,
                int(waited_s * 1000),
                account,
            )
        )
        if isinstance(submitted, gate.Refused):
            return _refusal(
                429,
                OVERLOADED,
                "its queue has more work than it can do in time; the job was "
                "not accepted, come back under the same id",
                submitted.retry_after_s,
            )
        if submitted is job_store.RequestResult.ACCEPTED:
            return _ok(job_body.encode_state(jobs.JobState.QUEUED))
        if submitted is job_store.RequestResult.ID_CONFLICT:
            return _refusal(
                409, "other-job", "choose another id: this one is taken"
            )
        return _write_failure(submitted)

    def _submitted_ms(self, incoming: requests.RawRequest) -> int:
        """Returns when a job was submitted, on the store's clock.

        Where jobs are refused for load, this is when the request began to
        arrive. A copy that is read late must not pass for a retry that was
        sent after the job's refusal.
        """
        store_ms = self._reference_clock.store_now_ms or 0.0
        if store_ms and self._refuses_for_load:
            delay_s = self._clock.monotonic() - incoming.received_at
            store_ms -= max(0.0, delay_s) * 1000
        return int(store_ms)

    def _exceeds_limit(self, config: fleet.FleetConfig, job: jobs.Job) -> bool:
        account = config.accounts.by_name.get(job.account)
        return account is not None and any(
            limits.exceeds_alone(account.limit, step) for step in job.steps
        )

    def _may_be_accepted(
        self, incoming: requests.RawRequest, job: jobs.Job
    ) -> bool:
        """Whether a job may have been accepted before.

        Its client repeats a submission that got no answer. The limit of its
        account may have been lowered since, and an accepted job runs.
        """
        if self._owner_rpc.recorded_state(job.job_id, job.account) is not None:
            return True
        stored = self._job_service.state(
            job.job_id, self._deadline(incoming), job.account
        )
        return stored is not None

    def _get_state(
        self, incoming: requests.RawRequest, job_id: str, account: str
    ) -> requests.Reply:
        state = self._owner_rpc.recorded_state(job_id, account)
        if state is None:
            stored = self._job_service.state(
                job_id, self._deadline(incoming), account
            )
            if isinstance(stored, job_store.StateUnknown):
                return _refusal(503, "no-store", "come back soon", 1.0)
            state = stored
        if state is None:
            return _refusal(410, "no-job", "there is no such job")
        return _ok(job_body.encode_state(state))

    def _cancel_job(
        self, incoming: requests.RawRequest, job_id: str, account: str
    ) -> requests.Reply:
        state = self._owner_rpc.recorded_state(job_id, account)
        if state is not None and state.is_final:
            return _ok(job_body.encode_state(state))
        result = self._job_service.cancel(
            job_id, state is not None, self._deadline(incoming), account
        )
        self._emit(events.CancelAsked(job_id, result.value))
        if result is job_store.RequestResult.ACCEPTED:
            return _ok(job_body.encode_state(jobs.JobState.CANCELLED))
        if result is job_store.RequestResult.NOT_FOUND:
            return _refusal(410, "no-job", "there is no such job")
        return _write_failure(result)

    def _deadline(self, incoming: requests.RawRequest) -> float:
        """Returns the monotonic time by which a response must be sent."""
        text = headers.first(incoming.headers, DEADLINE_HEADER) or ""
        timeout_s = DEFAULT_TIMEOUT_S
        if text.isdigit():
            timeout_s = int(text) / 1000
        return incoming.received_at + max(0.0, timeout_s - RESPONSE_MARGIN_S)


def _find_queue(
    config: fleet.FleetConfig, host: str, path: str
) -> fleet.Queue | None:
    """Returns the host's queue with the longest prefix of the path."""
    name = host.partition(":")[0].lower()
    matching = [
        queue
        for queue in config.queues
        if queue.host == name and path.startswith(queue.prefix)
    ]
    return max(matching, key=lambda queue: len(queue.prefix), default=None)


def _denial(denial: authentication.Denial) -> requests.Refusal:
    detail = _DENIAL_DETAILS[denial]
    if denial is authentication.Denial.UNCONFIRMED:
        return _refusal(503, denial.value, detail, RETRY_AFTER_S)
    return _refusal(401, denial.value, detail)


def _ok(body: bytes) -> requests.Answer:
    return requests.Answer(_OK, job_body.JSON_TYPE, body)


def _refusal(
    status: int, code: str, detail: str, retry_after_s: float | None = None
) -> requests.Refusal:
    return requests.Refusal(
        requests.Outcome.NOT_RUN, status, code, detail, retry_after_s
    )


def _write_failure(result: job_store.RequestResult) -> requests.Refusal:
    """Returns the refusal for a write that was not confirmed.

    It states whether the write certainly had no effect or may have one.
    """
    if result is job_store.RequestResult.NOT_APPLIED:
        return _refusal(
            503, "no-store", "the store did not take it", RETRY_AFTER_S
        )
    return requests.Refusal(
        requests.Outcome.UNKNOWN,
        504,
        "unknown",
        "ask again under the same id: it may have been taken",
    )
