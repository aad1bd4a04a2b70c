"""Requests to the fleet's owner, over the streams between the processes."""

from collections.abc import Callable

from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

ANSWER_TIMEOUT_S = 0.4
"""Timeout for the owner's answer, which usually takes a few milliseconds. After
a timeout there is still time to read the store before the client gives up."""


class OwnerRpc:
    """Sends requests to the owner, and answers those of other processes.

    While this process owns the fleet, requests are answered locally.
    """

    def __init__(
        self,
        peer_calls_: peer_calls.PeerCalls,
        boot: str,
        own_address: str,
        local_owner: Callable[[], owners.Owner | None],
        owner_address: Callable[[], str],
        step_down_if_stale: Callable[[float], bool],
    ):
        """Creates the client.

        Args:
            peer_calls_: sends requests to other processes.
            boot: random id that this process chose when it started.
            own_address: address where this process listens.
            local_owner: returns the owner that runs in this process, if any.
            owner_address: returns the owner's address; empty when unknown.
            step_down_if_stale: ends this process's term unless the store
                answered a write in the given number of seconds; returns whether
                this process does not own the fleet now.
        """
        self._peer_calls = peer_calls_
        self._boot = boot
        self._own_address = own_address
        self._local_owner = local_owner
        self._owner_address = owner_address
        self._step_down_if_stale = step_down_if_stale

    def on_message(
        self, message: peers.Message, reply: peer_transport.SendReply
    ) -> None:
        """Handles a message of another process, if it is about ownership."""
        if isinstance(message, peers.JobQuestion):
            reply(self._answer(message))
        elif isinstance(message, peers.OwnerQuestion):
            is_other_process = message.boot != self._boot
            ended = is_other_process or self._step_down_if_stale(
                message.patience_s
            )
            reply(peers.OwnerStanding(message.question, self._boot, ended))
        elif isinstance(message, peers.JobAnswer | peers.OwnerStanding):
            self._peer_calls.on_answer(message.question, message)

    def recorded_state(
        self, job_id: str, account: str = ""
    ) -> jobs.JobState | None:
        """Asks the owner for a job's state; see ``Owner.recorded_state``."""
        answer = self._ask(job_id, "", account)
        if answer is None or not answer.state:
            return None
        return jobs.JobState(answer.state)

    def count_pending(self, queue: str) -> int | None:
        """Asks how many jobs of a queue wait; None without an answer."""
        answer = self._ask("", queue)
        return None if answer is None else answer.pending

    def ask_term_ended(
        self, address: str, boot: str, max_answer_age_s: float
    ) -> bool | None:
        """Asks an owner that has stopped writing whether its term is over.

        Args:
            address: of the owner.
            boot: boot id in the owner's row.
            max_answer_age_s: the owner's term continues if the store answered
                one of its writes in this time.

        Returns:
            Whether its term is over; None without an answer.
        """
        answer = self._peer_calls.call(
            address,
            lambda question_id: peers.OwnerQuestion(
                question_id, boot, max_answer_age_s, self._own_address
            ),
            ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, peers.OwnerStanding):
            return answer.ended
        return None

    def _ask(
        self, job_id: str, queue: str, account: str = ""
    ) -> peers.JobAnswer | None:
        if self._local_owner() is not None:
            return self._answer(peers.JobQuestion("", job_id, queue, account))
        answer = self._peer_calls.call(
            self._owner_address(),
            lambda question_id: peers.JobQuestion(
                question_id, job_id, queue, account
            ),
            ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, peers.JobAnswer) and answer.owner:
            return answer
        return None

    def _answer(self, question: peers.JobQuestion) -> peers.JobAnswer:
        owner = self._local_owner()
        if owner is None:
            return peers.JobAnswer(question.question, False)
        if question.queue:
            pending = owner.count_pending(question.queue)
            return peers.JobAnswer(question.question, True, "", pending)
        state = owner.recorded_state(question.job_id, question.account)
        text = "" if state is None else state.value
        return peers.JobAnswer(question.question, True, text)
