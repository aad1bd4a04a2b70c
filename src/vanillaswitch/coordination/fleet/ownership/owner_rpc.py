"""Asks the fleet's owner, over the streams between the processes."""

from collections.abc import Callable

from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

ANSWER_S = 0.4
"""Timeout for the owner's answer. It usually takes a few milliseconds; after
the timeout there is still time to ask the store before the client gives up."""


class OwnerRpc:
    """Asks the owner, or answers itself while this process owns the fleet."""

    def __init__(
        self,
        peer_calls_: peer_calls.PeerCalls,
        boot: str,
        me: str,
        local: Callable[[], owners.Owner | None],
        address: Callable[[], str],
        step_down_if_stale: Callable[[float], bool],
    ):
        """Creates the client.

        Args:
            peer_calls_: carries questions to other processes.
            boot: random id of this process's start.
            me: address where this process listens.
            local: returns this process's term of ownership, if it has one.
            address: returns the owner's address; empty when unknown.
            step_down_if_stale: ends this process's term unless a write was
                answered in the given number of seconds; returns whether it has
                no term now.
        """
        self._peer_calls = peer_calls_
        self._boot = boot
        self._me = me
        self._local = local
        self._address = address
        self._yield_term = step_down_if_stale

    def on_message(
        self, message: peers.Message, reply: peer_transport.SendReply
    ) -> None:
        """Handles a message of another process, if it is about ownership."""
        if isinstance(message, peers.JobQuestion):
            reply(self._answer(message))
        elif isinstance(message, peers.OwnerQuestion):
            other = message.boot != self._boot
            ended = other or self._yield_term(message.patience_s)
            reply(peers.OwnerStanding(message.question, self._boot, ended))
        elif isinstance(message, peers.JobAnswer | peers.OwnerStanding):
            self._peer_calls.on_answer(message.question, message)

    def state(self, job_id: str) -> jobs.JobState | None:
        """Asks the owner for a job's recorded state; None if unknown."""
        answer = self._ask(job_id, "")
        if answer is None or not answer.state:
            return None
        return jobs.JobState(answer.state)

    def pending(self, queue: str) -> int | None:
        """Asks for a queue's length; None if the owner does not answer."""
        answer = self._ask("", queue)
        return None if answer is None else answer.pending

    def ask_term_ended(
        self, address: str, boot: str, patience_s: float
    ) -> bool | None:
        """Asks an owner that has stopped writing whether its term is over.

        Args:
            address: of the owner.
            boot: random id of the owner's start.
            patience_s: the owner keeps its term if a write was answered in this
                time.

        Returns:
            Whether its term is over; None without an answer.
        """
        answer = self._peer_calls.call(
            address,
            lambda number: peers.OwnerQuestion(
                number, boot, patience_s, self._me
            ),
            ANSWER_S,
        )
        if isinstance(answer, peers.OwnerStanding):
            return answer.ended
        return None

    def _ask(self, job_id: str, queue: str) -> peers.JobAnswer | None:
        if self._local() is not None:
            return self._answer(peers.JobQuestion("", job_id, queue))
        answer = self._peer_calls.call(
            self._address(),
            lambda number: peers.JobQuestion(number, job_id, queue),
            ANSWER_S,
        )
        if isinstance(answer, peers.JobAnswer) and answer.owner:
            return answer
        return None

    def _answer(self, question: peers.JobQuestion) -> peers.JobAnswer:
        owner = self._local()
        if owner is None:
            return peers.JobAnswer(question.question, False)
        if question.queue:
            pending = owner.pending(question.queue)
            return peers.JobAnswer(question.question, True, "", pending)
        state = owner.recorded_state(question.job_id)
        text = "" if state is None else state.value
        return peers.JobAnswer(question.question, True, text)
