"""Has another process do at the store what this one can't.

Load pattern: the store turns some processes away, or their path to it is cut,
while it serves the others, for seconds. Clients meet such a process by chance
and are refused, though the process beside it could have taken their job.

What is told to a client stays true. An errand goes only to a process that has
just said that the store answers it, so that a process nobody can help has
sent nothing and may say "not run". An errand that was sent and not answered
is "not known". It is never passed on a second time, so it can't go round.
"""

from collections.abc import Callable
import json

import gevent.pool

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.intake import questions
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import unusable

STANDING_S = 0.3
"""Longest wait for a process to say whether the store answers it; an answer
takes a few milliseconds, a new stream some more."""

TRUST_S = 0.5
"""How long that word counts, so that in an outage for all not every request
asks anew."""

ABLE_S = 1.2
"""A process helps while the store answered it in the last so many seconds:
the owner's row is read at least every half second."""

MOST = 32
"""Errands done at once for others; more are turned away as not done. At 7 ms
each they would be 4,500 a second, far above what clients hand in."""

MOST_HELPERS = 4
"""Processes that are remembered, the last owners and who asked for their place:
after changes of the owner while the store is out of reach, the earlier ones
can say who owns the fleet now."""


class Errands:
    """Sends errands, and does those of others."""

    def __init__(
        self,
        questions_: questions.Questions,
        local: intakes.Intake,
        me: str,
        owner: Callable[[], str],
        answered_at: Callable[[], float],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        """Makes it.

        Args:
            questions_: carries errands to other processes.
            local: does errands of others at the store.
            me: where this process listens.
            owner: returns where the owner of the fleet listens.
            answered_at: returns when the store last answered this process,
                monotonic seconds.
            clock: bounds the waits.
            emit: takes events.
        """
        self._questions = questions_
        self._local = local
        self._me = me
        self._owner = owner
        self._answered_at = answered_at
        self._clock = clock
        self._emit = emit
        self._helpers: list[str] = []
        self._standing: dict[str, tuple[float, bool]] = {}
        self._working = gevent.pool.Pool(MOST)

    def on_message(
        self, message: peers.Message, reply: peer_transport.Reply
    ) -> None:
        """Takes a message of another process, if it is of this kind."""
        if isinstance(message, peers.StoreQuestion):
            reply(
                peers.StoreStanding(
                    message.question, self._able(), self._owner()
                )
            )
        elif isinstance(message, peers.OwnerQuestion):
            # It asks whether this process still owns the fleet, since it can
            # reach the store and this one seems not to: the next owner, often.
            self._remember(message.asker)
        elif isinstance(message, peers.Errand):
            self._take(message, reply)
        elif isinstance(message, peers.StoreStanding | peers.ErrandDone):
            self._questions.answered(message.question, message)

    def submit(self, job: jobs.Job, deadline: float) -> intakes.Verdict:
        """Has a job handed in; NOT_DONE when nobody could be asked."""
        document = json.dumps(job_rows.pack_whole(job)).encode()
        done = self._send(
            peers.ErrandKind.SUBMIT, job.job_id, document, False, deadline
        )
        return _verdict(done)

    def cancel(
        self, job_id: str, known: bool, deadline: float
    ) -> intakes.Verdict:
        """Has a job cancelled; NOT_DONE when nobody could be asked."""
        done = self._send(peers.ErrandKind.CANCEL, job_id, b"", known, deadline)
        return _verdict(done)

    def state(
        self, job_id: str, deadline: float
    ) -> jobs.JobState | None | intakes.Unknown:
        """Has a job's recorded state read."""
        done = self._send(peers.ErrandKind.STATE, job_id, b"", False, deadline)
        if isinstance(done, peers.ErrandDone):
            if done.state:
                return jobs.JobState(done.state)
            if done.verdict == intakes.Verdict.MISSING:
                return None
        return intakes.Unknown()

    # Sending.

    def _send(
        self,
        kind: peers.ErrandKind,
        job_id: str,
        document: bytes,
        known: bool,
        deadline: float,
    ) -> peers.ErrandDone | intakes.Verdict:
        helper = self._helper()
        patience_s = deadline - self._clock.monotonic()
        if not helper or patience_s <= 0:
            return intakes.Verdict.NOT_DONE
        done = self._questions.ask(
            helper,
            lambda number: peers.Errand(
                number, kind, job_id, document, known, patience_s
            ),
            patience_s,
        )
        answered = isinstance(done, peers.ErrandDone)
        verdict = done.verdict if answered else intakes.Verdict.UNKNOWN.value
        self._emit(events.ErrandSent(job_id, kind.value, helper, verdict))
        if not isinstance(done, peers.ErrandDone):
            self._standing.pop(helper, None)
            return intakes.Verdict.UNKNOWN
        return done

    def _helper(self) -> str:
        """Returns where a process listens that can help; empty for none."""
        self._remember(self._owner())
        asked: set[str] = set()
        while True:
            left = [name for name in self._helpers if name not in asked]
            if not left:
                return ""
            asked.add(left[0])
            if self._can_help(left[0]):
                return left[0]

    def _remember(self, address: str) -> None:
        if not address or address == self._me:
            return
        others = [name for name in self._helpers if name != address]
        self._helpers = [address, *others][:MOST_HELPERS]

    def _can_help(self, address: str) -> bool:
        now = self._clock.monotonic()
        until, able = self._standing.get(address, (0.0, False))
        if now < until:
            return able
        standing = self._questions.ask(
            address, lambda number: peers.StoreQuestion(number), STANDING_S
        )
        able = isinstance(standing, peers.StoreStanding) and standing.answers
        until = self._clock.monotonic() + TRUST_S
        self._standing[address] = (until, able)
        if isinstance(standing, peers.StoreStanding):
            self._remember(standing.owner)
        return able

    # Doing those of others.

    def _able(self) -> bool:
        return self._clock.monotonic() - self._answered_at() <= ABLE_S

    def _take(self, errand: peers.Errand, reply: peer_transport.Reply) -> None:
        if self._working.full():
            verdict = intakes.Verdict.NOT_DONE.value
            reply(peers.ErrandDone(errand.question, verdict))
            return
        self._working.spawn(self._do, errand, reply)

    def _do(self, errand: peers.Errand, reply: peer_transport.Reply) -> None:
        deadline = self._clock.monotonic() + errand.patience_s
        state = ""
        if errand.kind is peers.ErrandKind.SUBMIT:
            verdict = self._submit(errand, deadline)
        elif errand.kind is peers.ErrandKind.CANCEL:
            verdict = self._local.cancel(errand.job_id, errand.known, deadline)
        else:
            verdict, state = _read(self._local.state(errand.job_id))
        reply(peers.ErrandDone(errand.question, verdict.value, state))

    def _submit(self, errand: peers.Errand, deadline: float) -> intakes.Verdict:
        job = job_rows.unpack(json.loads(errand.document))
        if isinstance(job, unusable.Unusable):
            logs.error("an errand names no job: {}", job.reason)
            return intakes.Verdict.NOT_DONE
        return self._local.submit(job, deadline)


def _read(
    found: jobs.JobState | None | intakes.Unknown,
) -> tuple[intakes.Verdict, str]:
    if isinstance(found, intakes.Unknown):
        return intakes.Verdict.UNKNOWN, ""
    if found is None:
        return intakes.Verdict.MISSING, ""
    return intakes.Verdict.ACCEPTED, found.value


def _verdict(done: peers.ErrandDone | intakes.Verdict) -> intakes.Verdict:
    if isinstance(done, peers.ErrandDone):
        return intakes.Verdict(done.verdict)
    return done
