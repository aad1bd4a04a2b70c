"""Forwards clients' requests to another process that can reach the store.

Load pattern: for seconds the store rejects some processes, or their network
path to it is cut, while it serves the others. Without forwarding, clients that
connect to such a process are refused although another process could have
accepted their job.

Answers to clients stay correct. A request is forwarded only to a process that
has just confirmed that the store answers it. So if there is no such process,
nothing was sent and the client may be told "not run". The outcome of a request
that was forwarded without an answer is unknown. A forwarded request is never
forwarded again, so it can't loop.
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
"""Timeout of the question whether the store answers another process. An answer
takes a few milliseconds, plus some for a new stream."""

STORE_STATUS_TTL_S = 0.5
"""How long that answer is cached, so that in a full outage not every request
asks again."""

STORE_RECENT_S = 1.2
"""A process can help if the store answered it within this time. It reads the
owner's row at least every half second."""

MAX_CONCURRENT = 32
"""Limit on concurrent requests of other processes; more are rejected as not
done. At 7 ms each it allows 4,500 per second, far more than clients send."""

MAX_HELPERS = 4
"""How many possible helpers are remembered: recent owners and processes that
asked to replace one. If the owner changes while this process can't reach the
store, an earlier owner can tell which process is the owner now."""


class RequestForwarder:
    """Forwards requests to other processes and executes theirs."""

    def __init__(
        self,
        calls: peer_calls.PeerCalls,
        local: job_stores.JobStore,
        own_address: str,
        owner: Callable[[], str],
        store_answered_at: Callable[[], float],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        """Creates it without known helpers.

        Args:
            calls: sends requests to other processes.
            local: executes requests of other processes at the store.
            own_address: address at which this process listens.
            owner: returns the address of the fleet's owner.
            store_answered_at: returns when the store last answered this
                process, monotonic seconds.
            clock: source of time for timeouts.
            emit: receives events.
        """
        self._calls = calls
        self._local = local
        self._own_address = own_address
        self._owner = owner
        self._store_answered_at = store_answered_at
        self._clock = clock
        self._emit = emit
        self._helpers: list[str] = []
        self._store_statuses: dict[str, tuple[float, bool]] = {}
        self._workers = gevent.pool.Pool(MAX_CONCURRENT)

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
            # The sender can reach the store and sees no writes of this owner.
            # It often becomes the next owner, so it is a possible helper.
            self._remember_helper(message.asker)
        elif isinstance(message, peers.Errand):
            self._accept(message, reply)
        elif isinstance(message, peers.StoreStanding | peers.ErrandDone):
            self._calls.on_answer(message.question, message)

    def submit(
        self, job: jobs.Job, deadline: float
    ) -> job_stores.RequestResult:
        """Forwards the submission of a job; NOT_DONE if no process can help."""
        document = json.dumps(job_rows.pack_full(job)).encode()
        done = self._forward(
            peers.ErrandKind.SUBMIT, job.job_id, document, False, deadline
        )
        return _verdict_of(done)

    def cancel(
        self, job_id: str, known_accepted: bool, deadline: float
    ) -> job_stores.RequestResult:
        """Forwards the cancellation of a job; NOT_DONE if none can help."""
        done = self._forward(
            peers.ErrandKind.CANCEL, job_id, b"", known_accepted, deadline
        )
        return _verdict_of(done)

    def state(
        self, job_id: str, deadline: float
    ) -> jobs.JobState | None | job_stores.StateUnknown:
        """Forwards the read of a job's recorded state."""
        done = self._forward(
            peers.ErrandKind.STATE, job_id, b"", False, deadline
        )
        if isinstance(done, peers.ErrandDone):
            if done.state:
                return jobs.JobState(done.state)
            if done.verdict == job_stores.RequestResult.NOT_FOUND:
                return None
        return job_stores.StateUnknown()

    # Forwarding requests of own clients.

    def _forward(
        self,
        kind: peers.ErrandKind,
        job_id: str,
        document: bytes,
        known_accepted: bool,
        deadline: float,
    ) -> peers.ErrandDone | job_stores.RequestResult:
        helper = self._find_helper()
        patience_s = deadline - self._clock.monotonic()
        if not helper or patience_s <= 0:
            return job_stores.RequestResult.NOT_APPLIED
        done = self._calls.call(
            helper,
            lambda question_id: peers.Errand(
                question_id, kind, job_id, document, known_accepted, patience_s
            ),
            patience_s,
        )
        answered = isinstance(done, peers.ErrandDone)
        verdict = (
            done.verdict if answered else job_stores.RequestResult.UNKNOWN.value
        )
        self._emit(events.ErrandSent(job_id, kind.value, helper, verdict))
        if not isinstance(done, peers.ErrandDone):
            self._store_statuses.pop(helper, None)
            return job_stores.RequestResult.UNKNOWN
        return done

    def _find_helper(self) -> str:
        """Returns the address of a process that can help; empty for none."""
        self._remember_helper(self._owner())
        tried: set[str] = set()
        while True:
            untried = [name for name in self._helpers if name not in tried]
            if not untried:
                return ""
            tried.add(untried[0])
            if self._can_help(untried[0]):
                return untried[0]

    def _remember_helper(self, address: str) -> None:
        if not address or address == self._own_address:
            return
        others = [name for name in self._helpers if name != address]
        self._helpers = [address, *others][:MAX_HELPERS]

    def _can_help(self, address: str) -> bool:
        now = self._clock.monotonic()
        until, is_able = self._store_statuses.get(address, (0.0, False))
        if now < until:
            return is_able
        status = self._calls.call(
            address,
            lambda question_id: peers.StoreQuestion(question_id),
            STORE_STATUS_TIMEOUT_S,
        )
        is_able = isinstance(status, peers.StoreStanding) and status.answers
        until = self._clock.monotonic() + STORE_STATUS_TTL_S
        self._store_statuses[address] = (until, is_able)
        if isinstance(status, peers.StoreStanding):
            self._remember_helper(status.owner)
        return is_able

    # Executing requests of other processes.

    def _reaches_store(self) -> bool:
        return (
            self._clock.monotonic() - self._store_answered_at()
            <= STORE_RECENT_S
        )

    def _accept(
        self, errand: peers.Errand, reply: peer_transport.SendReply
    ) -> None:
        if self._workers.full():
            verdict = job_stores.RequestResult.NOT_APPLIED.value
            reply(peers.ErrandDone(errand.question, verdict))
            return
        self._workers.spawn(self._execute, errand, reply)

    def _execute(
        self, errand: peers.Errand, reply: peer_transport.SendReply
    ) -> None:
        deadline = self._clock.monotonic() + errand.patience_s
        state = ""
        if errand.kind is peers.ErrandKind.SUBMIT:
            verdict = self._execute_submit(errand, deadline)
        elif errand.kind is peers.ErrandKind.CANCEL:
            verdict = self._local.cancel(errand.job_id, errand.known, deadline)
        else:
            verdict, state = _state_result(self._local.state(errand.job_id))
        reply(peers.ErrandDone(errand.question, verdict.value, state))

    def _execute_submit(
        self, errand: peers.Errand, deadline: float
    ) -> job_stores.RequestResult:
        job = job_rows.unpack(json.loads(errand.document))
        if isinstance(job, unusable.Unusable):
            logs.error(
                "cannot decode the job of a forwarded request: {}", job.reason
            )
            return job_stores.RequestResult.NOT_APPLIED
        return self._local.submit(job, deadline)


def _state_result(
    found: jobs.JobState | None | job_stores.StateUnknown,
) -> tuple[job_stores.RequestResult, str]:
    if isinstance(found, job_stores.StateUnknown):
        return job_stores.RequestResult.UNKNOWN, ""
    if found is None:
        return job_stores.RequestResult.NOT_FOUND, ""
    return job_stores.RequestResult.ACCEPTED, found.value


def _verdict_of(
    done: peers.ErrandDone | job_stores.RequestResult,
) -> job_stores.RequestResult:
    if isinstance(done, peers.ErrandDone):
        return job_stores.RequestResult(done.verdict)
    return done
