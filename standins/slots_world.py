"""The world around the decisions that ``measure_slots`` measures.

A clock that jumps from event to event, minions with slots, and what callers
saw. Nothing here decides anything: routing, admission, retries and membership
are the real ones, see ``slots_entry``.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random

from vanillaswitch.coordination.entry import retry
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib

CALLER_S = 0.003
BETWEEN_DATA_CENTRES_S = 0.001
WITHIN_DATA_CENTRE_S = 0.0001
DATA_CENTRES = ("hall-recife", "hall-suape", "hall-pecem")
SERVICE = "berthing"
CUT = 3.0
MEAN_OF_CUT = 1 - math.exp(-CUT)


def latency_s(here: str, there: str) -> float:
    """Returns the one-way latency between two data centres."""
    return WITHIN_DATA_CENTRE_S if here == there else BETWEEN_DATA_CENTRES_S


class Events:
    """A virtual clock and what is to happen, in order."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """Virtual seconds since the start."""
        return self._now

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Lets something happen in so many seconds."""
        item = (self._now + seconds, next(self._order), action)
        heapq.heappush(self._heap, item)

    def run(self, until: float) -> None:
        """Lets everything happen up to a moment."""
        while self._heap and self._heap[0][0] <= until:
            self._now, _, action = heapq.heappop(self._heap)
            action()


class MinionModel:
    """Works on as many requests as it has slots; the others wait in it.

    Attributes:
        factor: by how much it is slower than it should be.
        dead: connections are refused.
        silent: requests come in and nothing ever comes back.
        over_subscribed: how many requests had to wait inside.
        received: how many came in all.
        waits: how long each request waited inside, in seconds.
    """

    def __init__(self, events: Events, minion: minions_lib.Minion):
        self.minion = minion
        self.factor = 1.0
        self.dead = False
        self.silent = False
        self.over_subscribed = 0
        self.received = 0
        self.waits: list[float] = []
        self._events = events
        self._busy = 0
        self._waiting: collections.deque[
            tuple[float, float, Callable[[], None]]
        ] = collections.deque()

    def receive(self, work_s: float, done: Callable[[], None]) -> None:
        """Takes a request in; it runs even when nobody waits for it."""
        self.received += 1
        if self.silent:
            return
        self._waiting.append((self._events.now, work_s, done))
        if self._busy >= self.minion.slots:
            self.over_subscribed += 1
            return
        self._start()

    def reset(self) -> None:
        """Forgets what was counted so far."""
        self.over_subscribed = self.received = 0
        self.waits.clear()

    def _start(self) -> None:
        since, work_s, done = self._waiting.popleft()
        self.waits.append(self._events.now - since)
        self._busy += 1
        self._events.after(work_s * self.factor, lambda: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._busy -= 1
        done()
        if self._waiting:
            self._start()


@dataclasses.dataclass(frozen=True)
class Traffic:
    """One class of requests; ``share`` of all the work is its own."""

    name: str
    definition: config_lib.RequestClass
    share: float
    work_s: float
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class Call:
    """A request of a caller."""

    traffic: Traffic
    sent: float
    work_s: float


@dataclasses.dataclass
class Run:
    """A call in an entry, from its arrival to its reply."""

    call: Call
    ticket: int
    deadline: float
    reply: Callable[[requests.Refusal | None], None]
    attempts: retry.AttemptState = dataclasses.field(
        default_factory=retry.AttemptState
    )
    minion: minions_lib.Minion | None = None
    since: float = 0.0


class Tally:
    """What callers saw of one class."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def answered(self, seconds: float) -> None:
        """Counts a whole answer."""
        self.counts["answered"] += 1
        self.latencies.append(seconds)

    def refused(self, refusal: requests.Refusal) -> None:
        """Counts a refusal, by whether it says "not run" and when to return."""
        self.counts[f"{refusal.outcome}"] += 1
        if refusal.retry_after_s is None:
            self.counts["without_retry_after"] += 1


def quantile(values: list[float], share: float) -> float:
    """Returns the exact quantile; not a number when there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def draw(rng: random.Random, traffic: Traffic, now: float) -> Call:
    """Returns a call; its work time is exponential, cut at 3.2 means.

    The cut keeps whole work below the time after which an attempt is given
    up, so that a calm run has no retries.
    """
    drawn = min(rng.expovariate(1.0), CUT) / MEAN_OF_CUT
    return Call(traffic, now, drawn * traffic.work_s)
