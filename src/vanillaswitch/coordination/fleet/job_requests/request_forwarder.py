"""Forwards clients' requests to another process that can reach the store.

Load pattern: at times the store rejects some processes for seconds, or their
network path to it is cut, while it serves the others. Without forwarding,
clients that connect to such a process are refused although another process
could have accepted their job.

A request is forwarded only to a process that has just confirmed that the store
answers it. If there is no such process, nothing was sent, so the client may be
told that its job does not run. If a forwarded request gets no answer, its
outcome is unknown. A forwarded request is never forwarded again, so it can't
loop.
"""

from collections.abc import Callable
import json

import gevent.pool

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import unusable

STORE_STATUS_TIMEOUT_S = 0.3
"""Timeout of the request that asks another process whether the store answers
it. The answer takes a few milliseconds, plus a few to open a new stream."""

STORE_STATUS_TTL_S = 0.5
"""How long that answer is cached, so that not every request of a client asks
again while the store is unavailable to all processes."""

MAX_STORE_ANSWER_AGE_S = 1.2
"""A process reaches the store if the store answered it within this time. Each
process reads the row of the fleet's owner at least every half second."""

MAX_CONCURRENT_REQUESTS = 32
"""Limit on concurrent requests of other processes. Further ones are answered
with ``NOT_APPLIED``. At 7 ms per request the limit allows 4,500 requests per
second, far more than clients send."""

MAX_KNOWN_PEERS = 4
"""How many other processes are remembered to forward requests to. They are
recent owners of the fleet, and processes that asked whether the owner is still
active. If the owner changes while this process can't reach the store, an
earlier owner can tell which process is the owner now."""


class RequestForwarder:
    """Forwards requests to other processes and executes theirs."""

    def __init__(
        self,
        calls: peer_calls.PeerCalls,
        job_store: job_stores.JobStore,
        own_address: str,
        owner: Callable[[], str],
        store_answered_at: Callable[[], float],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        """Creates a forwarder that knows no other processes.

        Args:
            calls: sends requests to other processes.
            job_store: executes requests of other processes at the store.
            own_address: address at which this process listens.
            owner: returns the address of the fleet's owner.
            store_answered_at: returns when the store last answered this
                process, monotonic seconds.
            clock: source of time for timeouts.
            emit: receives events.
        """
        self._calls = calls
        self._job_store = job_store
        self._own_address = own_address
        self._owner = owner
        self._store_answered_at = store_answered_at
        self._clock = clock
        self._emit = emit
        self._known_peers: list[str] = []
        self._store_statuses: dict[str, tuple[float, bool]] = {}
        self._request_pool = gevent.pool.Pool(MAX_CONCURRENT_REQUESTS)

    def on_message(
        self, message: peers.Message, reply: peer_transport.SendReply
    ) -> None:
        """Handles a message of another process; ignores unrelated kinds."""
        if isinstance(message, peers.StoreQuestion):
            reply(
                peers.StoreStanding(
                    message.question, self._reaches_store(), self._owner()
                )
            )
        elif isinstance(message, peers.OwnerQuestion):
            # The sender can reach the store and sees that the owner does not
            # write. It often becomes the next owner.
            self._remember_peer(message.asker)
        elif isinstance(message, peers.Errand):
            self._start_request(message, reply)
        elif isinstance(message, peers.StoreStanding | peers.ErrandDone):
            self._calls.on_answer(message.question, message)

    def submit(
        self, job: jobs.Job, deadline: float
    ) -> job_stores.RequestResult:
        """Forwards the submission of a job.

        Returns:
            The result; ``NOT_APPLIED`` if no other process reaches the store.
        """
        document = json.dumps(job_rows.job_to_document(job)).encode()
        response = self._forward(
            peers.ErrandKind.SUBMIT, job.job_id, document, False, deadline
        )
        return _result_of(response)

    def cancel(
        self, job_id: str, known_accepted: bool, deadline: float, account: str
    ) -> job_stores.RequestResult:
        """Forwards the cancellation of a job.

        Returns:
            The result; ``NOT_APPLIED`` if no other process reaches the store.
        """
        response = self._forward(
            peers.ErrandKind.CANCEL,
            job_id,
            b"",
            known_accepted,
            deadline,
            account,
        )
        return _result_of(response)

    def state(
        self, job_id: str, deadline: float, account: str
    ) -> jobs.JobState | None | job_stores.StateUnknown:
        """Reads a job's recorded state through another process."""
        response = self._forward(
            peers.ErrandKind.STATE, job_id, b"", False, deadline, account
        )
        if isinstance(response, peers.ErrandDone):
            if response.state:
                return jobs.JobState(response.state)
            if response.verdict == job_stores.RequestResult.NOT_FOUND:
                return None
        return job_stores.StateUnknown()

    # Forwarding requests of this process's clients.

    def _forward(
        self,
        kind: peers.ErrandKind,
        job_id: str,
        document: bytes,
        known_accepted: bool,
        deadline: float,
        account: str = "",
    ) -> peers.ErrandDone | job_stores.RequestResult:
        peer = self._find_peer()
        timeout_s = deadline - self._clock.monotonic()
        if not peer or timeout_s <= 0:
            return job_stores.RequestResult.NOT_APPLIED
        response = self._calls.call(
            peer,
            lambda request_id: peers.Errand(
                request_id,
                kind,
                job_id,
                document,
                known_accepted,
                timeout_s,
                account,
            ),
            timeout_s,
        )
        answered = isinstance(response, peers.ErrandDone)
        result = (
            response.verdict
            if answered
            else job_stores.RequestResult.UNKNOWN.value
        )
        self._emit(events.ErrandSent(job_id, kind.value, peer, result))
        if not isinstance(response, peers.ErrandDone):
            self._store_statuses.pop(peer, None)
            return job_stores.RequestResult.UNKNOWN
        return response

    def _find_peer(self) -> str:
        """Returns the address of a process that reaches the store.

        Empty if there is none.
        """
        self._remember_peer(self._owner())
        tried: set[str] = set()
        while True:
            untried = [
                address for address in self._known_peers if address not in tried
            ]
            if not untried:
                return ""
            tried.add(untried[0])
            if self._peer_reaches_store(untried[0]):
                return untried[0]

    def _remember_peer(self, address: str) -> None:
        if not address or address == self._own_address:
            return
        others = [other for other in self._known_peers if other != address]
        self._known_peers = [address, *others][:MAX_KNOWN_PEERS]

    def _peer_reaches_store(self, address: str) -> bool:
        now = self._clock.monotonic()
        valid_until, reaches_store = self._store_statuses.get(
            address, (0.0, False)
        )
        if now < valid_until:
            return reaches_store
        status = self._calls.call(
            address,
            lambda request_id: peers.StoreQuestion(request_id),
            STORE_STATUS_TIMEOUT_S,
        )
        reaches_store = (
            isinstance(status, peers.StoreStanding) and status.answers
        )
        valid_until = self._clock.monotonic() + STORE_STATUS_TTL_S
        self._store_statuses[address] = (valid_until, reaches_store)
        if isinstance(status, peers.StoreStanding):
            self._remember_peer(status.owner)
        return reaches_store

    # Executing requests of other processes.

    def _reaches_store(self) -> bool:
        return (
            self._clock.monotonic() - self._store_answered_at()
            <= MAX_STORE_ANSWER_AGE_S
        )

    def _start_request(
        self, request: peers.Errand, reply: peer_transport.SendReply
    ) -> None:
        if self._request_pool.full():
            result = job_stores.RequestResult.NOT_APPLIED.value
            reply(peers.ErrandDone(request.question, result))
            return
        self._request_pool.spawn(self._execute_request, request, reply)

    def _execute_request(
        self, request: peers.Errand, reply: peer_transport.SendReply
    ) -> None:
        deadline = self._clock.monotonic() + request.patience_s
        state = ""
        if request.kind is peers.ErrandKind.SUBMIT:
            result = self._execute_submit(request, deadline)
        elif request.kind is peers.ErrandKind.CANCEL:
            result = self._job_store.cancel(
                request.job_id, request.known, deadline, request.account
            )
        else:
            result, state = _state_result(
                self._job_store.state(request.job_id, request.account)
            )
        reply(peers.ErrandDone(request.question, result.value, state))

    def _execute_submit(
        self, request: peers.Errand, deadline: float
    ) -> job_stores.RequestResult:
        job = job_rows.row_to_job(json.loads(request.document))
        if isinstance(job, unusable.Unusable):
            logs.error(
                "rejected a forwarded request: cannot decode its job: {}",
                job.reason,
            )
            return job_stores.RequestResult.NOT_APPLIED
        return self._job_store.submit(job, deadline)


def _state_result(
    state: jobs.JobState | None | job_stores.StateUnknown,
) -> tuple[job_stores.RequestResult, str]:
    if isinstance(state, job_stores.StateUnknown):
        return job_stores.RequestResult.UNKNOWN, ""
    if state is None:
        return job_stores.RequestResult.NOT_FOUND, ""
    return job_stores.RequestResult.ACCEPTED, state.value


def _result_of(
    response: peers.ErrandDone | job_stores.RequestResult,
) -> job_stores.RequestResult:
    if isinstance(response, peers.ErrandDone):
        return job_stores.RequestResult(response.verdict)
    return response
