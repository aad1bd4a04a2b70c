"""Test doubles for peer networks: a manual clock and an in-memory transport."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib

import gevent
import gevent.event

from tests.common import clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

TIMEOUT_S = 20.0
"""How long a test waits for an expected event; only a failing test does."""


def heartbeat(process="a", sequence=1, boot="boot", **others):
    """Returns a heartbeat of a live entry."""
    fields = {
        "role": peers.Role.ENTRY,
        "address": "127.0.0.1:7001",
        "data_centre": "tacoma",
        "config_version": 1,
        "view_version": 1,
        "leaving": False,
        "loads": {},
    }
    fields.update(others)
    return peers.Heartbeat(
        process=process, boot=boot, sequence=sequence, **fields
    )


class StepClock(clocks.ManualClock):
    """A clock whose sleepers wait until the test advances it far enough."""

    def __init__(self):
        super().__init__()
        self.slept = []
        self._sleepers = []
        self._asleep = gevent.event.Event()

    def sleep(self, seconds):
        """Blocks until the test has advanced the clock far enough."""
        woken = gevent.event.Event()
        self.slept.append(seconds)
        self._sleepers.append((self.monotonic() + seconds, woken))
        self._asleep.set()
        woken.wait()

    def advance(self, seconds):
        """Advances the clock and wakes the sleepers that are due."""
        super().advance(seconds)
        now = self.monotonic()
        due = [one for one in self._sleepers if one[0] <= now]
        self._sleepers = [one for one in self._sleepers if one[0] > now]
        for _, woken in due:
            woken.set()

    def wait_for_sleeper(self):
        """Waits until a task sleeps."""
        self._asleep.clear()
        if not self._sleepers:
            assert self._asleep.wait(TIMEOUT_S), "no task called sleep in time"

    def wake_next_sleeper(self):
        """Waits until a task sleeps, then advances the clock until all wake."""
        self.wait_for_sleeper()
        self.advance(max(one[0] for one in self._sleepers) - self.monotonic())


class InMemoryNetwork:
    """Delivers messages in memory, except over links that are cut.

    Attributes:
        cut_links: (source, target) pairs of addresses whose messages are lost.
        sent: (source, target, message) of all messages, lost ones included.
    """

    def __init__(self):
        self.cut_links = set()
        self.sent = []
        self._receivers = {}

    @contextlib.contextmanager
    def open(
        self, address: str, on_message: peer_transport.MessageHandler
    ) -> Iterator["_BusTransport"]:
        """Opens the transport of a process."""
        self._receivers[address] = on_message
        yield _BusTransport(self, address)
        del self._receivers[address]

    def deliver(self, source, target, message):
        """Delivers a message unless the link is cut or nobody listens."""
        self.sent.append((source, target, message))
        receive = self._receivers.get(target)
        if receive is not None and (source, target) not in self.cut_links:

            def reply(answer):
                self.deliver(target, source, answer)

            receive(source, message, reply)


class _BusTransport:
    def __init__(self, bus, address):
        self._bus = bus
        self.address = address
        self.counters: Mapping[str, int] = {}

    def send(self, address, message):
        """Delivers a message immediately."""
        self._bus.deliver(self.address, address, message)
        return True

    def close_all_except(self, addresses):
        """Does nothing: there are no streams to close."""


def run_until_idle():
    """Lets all tasks run until they block."""
    for _ in range(20):
        gevent.sleep(0)
