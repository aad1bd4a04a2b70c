"""What a process uses: bytes of its calls, and how late its timers fire.

A process that is too slow for its work and one whose link is full look the
same from outside: answers come late and writes are given up. They are told
apart by two figures. Timers that fire late show that the processor has no
time; many bytes with timers in time show the link.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Period:
    """What was used since the period before.

    Attributes:
        seconds: how long it was.
        calls: calls that were sent.
        unanswered: those of them that got no whole answer.
        sent_bytes: bodies of calls.
        received_bytes: bodies of answers, and what arrived of incomplete ones.
        late_s: how late the latest timer fired.
    """

    seconds: float
    calls: int
    unanswered: int
    sent_bytes: int
    received_bytes: int
    late_s: float


class Meter:
    """Counts what one process uses."""

    def __init__(self, now: float):
        """Begins a period.

        Args:
            now: monotonic seconds.
        """
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._since = now
        self._calls = 0
        self._unanswered = 0
        self._sent = 0
        self._received = 0
        self._late_s = 0.0

    def called(
        self, sent: int, received: int | None, truncated: int = 0
    ) -> None:
        """Counts a call.

        Args:
            sent: bytes of its body.
            received: bytes of its answer's body; None without an answer.
            truncated: bytes of an answer that did not arrive completely.
        """
        self._calls += 1
        self._sent += sent
        if received is None:
            self._unanswered += 1
            self._received += truncated
        else:
            self._received += received

    def woken(self, late_s: float) -> None:
        """Takes note that a timer fired so many seconds late."""
        self._late_s = max(self._late_s, late_s)

    def seconds(self, now: float) -> float:
        """Returns how long the period has lasted."""
        return now - self._since

    def take(self, now: float) -> Period:
        """Ends the period, returns it and begins the next one."""
        period = Period(
            self.seconds(now),
            self._calls,
            self._unanswered,
            self._sent,
            self._received,
            self._late_s,
        )
        self._begin(now)
        return period
