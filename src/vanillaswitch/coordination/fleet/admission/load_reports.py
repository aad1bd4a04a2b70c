"""Keeps the newest report of the fleet's owner on the load of the pools.

A process asks when it has a submission and its report is old. It asks in the
background, one question at a time, so that no submission waits for the answer:
clients wait 3 s at most, and an owner under load may answer late. Without a
report that is new enough, jobs are accepted.
"""

from collections.abc import Callable
import dataclasses

import gevent

from vanillaswitch.coordination.fleet.job_requests import peer_calls
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

REFRESH_AFTER_S = 0.25
"""Age at which a report is asked for again, and interval at which the owner
measures: a turn adds a quarter of a second of work meanwhile, much less than a
job can wait."""

VALID_S = 1.0
"""A report is used for this long after it was requested. An owner that is lost
or cut off is noticed after a few seconds; the load that it reported may be over
by then, and jobs would be refused without need."""

ASKER_WINDOW_S = 0.5
"""Time over which the owner counts questions. Each process with submissions
asks about twice in it."""


@dataclasses.dataclass(frozen=True)
class Report:
    """What the owner reported.

    Attributes:
        address: the owner's; empty for this process.
        requested_at: monotonic seconds at which it was asked.
    """

    address: str
    requested_at: float
    answer: peers.LoadAnswer

    def backlog_of(self, pool: str) -> peers.PoolBacklog | None:
        """Returns the backlog of a pool; None if it is not significant."""
        for backlog in self.answer.pools:
            if backlog.pool == pool:
                return backlog
        return None


class AskerCount:
    """Estimates how many processes ask the owner for its report."""

    def __init__(self) -> None:
        """Starts without any question."""
        self._asked_at: list[float] = []
        self._count = 0

    @property
    def count(self) -> int:
        """About how many processes asked lately."""
        return self._count

    def record(self, now: float) -> int:
        """Records a question and returns about how many processes ask."""
        since = now - ASKER_WINDOW_S
        self._asked_at = [at for at in self._asked_at if at > since]
        self._asked_at.append(now)
        expected = ASKER_WINDOW_S / REFRESH_AFTER_S
        self._count = max(1, round(len(self._asked_at) / expected))
        return self._count


class LoadReports:
    """Asks the owner for its report, and answers for an owner here."""

    def __init__(
        self,
        calls: peer_calls.PeerCalls,
        owner_address: Callable[[], str],
        measured: Callable[[str], peers.LoadAnswer | None],
        clock: clocks.Clock,
    ):
        """Creates an instance without a report.

        Args:
            calls: sends questions to the owner.
            owner_address: returns the owner's address; empty when unknown.
            measured: returns the answer of the owner in this process to the
                question with an id; None if this process is not the owner.
            clock: source of time.
        """
        self._calls = calls
        self._owner_address = owner_address
        self._measured = measured
        self._clock = clock
        self._report: Report | None = None
        self._asked_at = float("-inf")
        self._question: gevent.Greenlet | None = None

    def on_message(
        self, message: peers.Message, reply: peer_transport.SendReply
    ) -> None:
        """Handles a message of another process; ignores unrelated kinds."""
        if isinstance(message, peers.LoadQuestion):
            answer = self._measured(message.question)
            reply(answer or peers.LoadAnswer(message.question, False))
        elif isinstance(message, peers.LoadAnswer):
            self._calls.on_answer(message.question, message)

    def current(self) -> Report | None:
        """Returns the report in force; None if there is no valid one.

        Asks for a newer one in the background if it is old.
        """
        now = self._clock.monotonic()
        own = self._measured("")
        if own is not None:
            return Report("", now, own)
        owner = self._owner_address()
        is_asking = self._question is not None and not self._question.ready()
        if owner and not is_asking and now - self._asked_at >= REFRESH_AFTER_S:
            self._asked_at = now
            self._question = gevent.spawn(self._ask, owner, now)
        report = self._report
        if (
            report is None
            or report.address != owner
            or now - report.requested_at > VALID_S
        ):
            return None
        return report

    def _ask(self, owner: str, now: float) -> None:
        answer = self._calls.call(owner, peers.LoadQuestion, VALID_S)
        if isinstance(answer, peers.LoadAnswer) and answer.owner:
            self._report = Report(owner, now, answer)
        else:
            self._report = None
