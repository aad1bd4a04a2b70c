"""Questions to the owner of the fleet, over the streams between processes."""

from collections.abc import Callable
import itertools

import gevent.event

from vanillaswitch.coordination.fleet import owner as owners
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

ANSWER_S = 0.4
"""How long the owner's answer is waited for: a few milliseconds are usual,
and afterwards the store can still be asked within the client's patience."""


class OwnerLink:
    """Asks the owner, or answers when this process owns the fleet."""

    def __init__(
        self,
        clock: clocks.Clock,
        boot: str,
        local: Callable[[], owners.Owner | None],
        address: Callable[[], str],
        yield_term: Callable[[float], bool],
    ):
        """Makes a link.

        Args:
            clock: bounds the wait.
            boot: makes ids of questions unique.
            local: returns this process's term of ownership, if it has one.
            address: returns where the owner listens; empty when unknown.
            yield_term: ends this process's term unless it could write in
                the last so many seconds; returns whether it has none now.
        """
        self._yield_term = yield_term
        self._clock = clock
        self._boot = boot
        self._local = local
        self._address = address
        self._transport: peer_transport.PeerTransport | None = None
        self._ids = itertools.count(1)
        self._waiting: dict[str, gevent.event.AsyncResult] = {}

    def attach(self, transport: peer_transport.PeerTransport) -> None:
        """Hands the link its streams."""
        self._transport = transport

    def on_message(
        self,
        sender: str | None,
        message: peers.Message,
        reply: peer_transport.Reply,
    ) -> None:
        """Takes a message of another process."""
        del sender
        if isinstance(message, peers.JobQuestion):
            reply(self._answer(message))
        elif isinstance(message, peers.OwnerQuestion):
            other = message.boot != self._boot
            ended = other or self._yield_term(message.patience_s)
            reply(peers.OwnerStanding(message.question, self._boot, ended))
        elif isinstance(message, peers.JobAnswer | peers.OwnerStanding):
            waiting = self._waiting.get(message.question)
            if waiting is not None:
                waiting.set(message)

    def state(self, job_id: str) -> jobs.JobState | None:
        """Returns a job's state as its owner knows it; None if it doesn't."""
        answer = self._ask(job_id, "")
        if answer is None or not answer.state:
            return None
        return jobs.JobState(answer.state)

    def pending(self, queue: str) -> int | None:
        """Returns a queue's length; None when the owner does not answer."""
        answer = self._ask("", queue)
        return None if answer is None else answer.pending

    def term_ended(self, address: str, boot: str, patience_s: float) -> bool:
        """Asks an owner that does not write whether its term is over.

        Without an answer it is not known to be.
        """
        question = peers.OwnerQuestion(self._next_id(), boot, patience_s)
        answer = self._exchange(address, question)
        return isinstance(answer, peers.OwnerStanding) and answer.ended

    def _next_id(self) -> str:
        return f"{self._boot}-{next(self._ids)}"

    def _ask(self, job_id: str, queue: str) -> peers.JobAnswer | None:
        question = peers.JobQuestion(self._next_id(), job_id, queue)
        if self._local() is not None:
            return self._answer(question)
        answer = self._exchange(self._address(), question)
        if isinstance(answer, peers.JobAnswer) and answer.owner:
            return answer
        return None

    def _exchange(
        self, address: str, question: peers.JobQuestion | peers.OwnerQuestion
    ) -> peers.Message | None:
        if not address or self._transport is None:
            return None
        self._transport.retain([address])
        waiting = gevent.event.AsyncResult()
        self._waiting[question.question] = waiting
        try:
            if not self._transport.send(address, question):
                return None
            answer: peers.Message = waiting.get(timeout=ANSWER_S)
            return answer
        except gevent.Timeout:
            # The stream may be silent or wait to be opened again; the next
            # question opens another at once.
            self._transport.retain(())
            return None
        finally:
            del self._waiting[question.question]

    def _answer(self, question: peers.JobQuestion) -> peers.JobAnswer:
        owner = self._local()
        if owner is None:
            return peers.JobAnswer(question.question, False)
        if question.queue:
            pending = owner.pending(question.queue)
            return peers.JobAnswer(question.question, True, "", pending)
        state = owner.state_of(question.job_id)
        text = "" if state is None else state.value
        return peers.JobAnswer(question.question, True, text)
