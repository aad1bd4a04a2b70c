"""Whether a process is too slow to own the fleet.

Load pattern: the owner's machine turns several times slower for seconds, or is
a weak one that began while no other was there. It still renews its lease in
time, so nobody takes over, and each start waits for it. On a played turn with
276 instances 281 jobs waited for an owner that was five times slower than
before, until it missed a renewal after five seconds.

Such an owner sees its own timers fire late, whatever the reason. It gives the
fleet up, once in a while at most: where all machines are as slow, another one
does no better, and each change of owner costs a second.
"""

LATE_S = 0.03
"""Timers that fire so much later than asked for, in the mean, are those of a
process short of processor time. On calm days of 7 and 30 machines they were
late by at most 1 ms, on a machine that was five times slower by 26 to 67 ms
(one play each)."""

MOST_S = 0.25
"""A timer counts as so late at most: one pause, however long, as of a machine
that was suspended, is no lasting slowness."""

SMOOTHING = 0.1
"""Weight of a new look at a timer: about ten of them, a second, tell."""

SETTLED_S = 8.0
"""A term so young is not judged: its owner reads all rows, holds all instances
and serves what has waited, and is late with each for a while. Twice as long
after a term that was given up so, four times after two in a row, and on: where
every machine is too slow, changes of owner only cost time."""

MOST_DOUBLINGS = 6
"""From there on a term lasts over eight minutes, whatever its owner's speed."""

ROW_BYTES = 4_000
"""What a job takes in the store: rows of 3 to 5 KB."""

MOST_READING_S = 0.5
"""The fleet is kept where another process would read its jobs for longer: on
links of 2 Mbit/s a change of owner took three seconds and more, and what began
then did not last (small machines, one play: 3,161 tasks done without such a
change, 676 with it)."""

REST_S = 20.0
"""So long after it gave the fleet up a process takes it only where nobody else
does: it may be as slow still."""


class Strain:
    """Judges one term by how late its timers fire."""

    def __init__(self, now: float, before: int):
        """Begins to judge.

        Args:
            now: monotonic seconds at which the term began to serve.
            before: how many terms before it were given up in a row.
        """
        doublings = min(before, MOST_DOUBLINGS)
        self._settled_at = now + SETTLED_S * 2**doublings
        self._late_s = 0.0

    @property
    def late_s(self) -> float:
        """By how much timers fire late, in the mean of the last second."""
        return self._late_s

    def timer_fired(self, asked_s: float, took_s: float) -> None:
        """Takes note of a timer, and after how long it fired."""
        late_s = min(MOST_S, max(0.0, took_s - asked_s))
        self._late_s += SMOOTHING * (late_s - self._late_s)

    def too_much(self, now: float, jobs: int, link_mbps: float) -> bool:
        """Whether the fleet is to be given up.

        Args:
            now: monotonic seconds.
            jobs: how many jobs the next owner has to read.
            link_mbps: of this machine, as of the others for all it knows.
        """
        reading_s = jobs * ROW_BYTES * 8 / (link_mbps * 1e6)
        return (
            now >= self._settled_at
            and self._late_s >= LATE_S
            and reading_s <= MOST_READING_S
        )
