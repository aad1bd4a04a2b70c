"""Whole entries in this process, over a stand-in platform and minions."""

from collections.abc import Iterator
import contextlib
import random

from standins import callers as callers_lib
from standins import fleet as fleet_lib
from standins import minion as minion_lib
from standins import platform as platform_standin
from tests.common import deployments
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform as platform_lib
from vanillaswitch.state import check
from vanillaswitch.state import folder
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.wiring import entry as entry_lib

SERVICE = "berthing"
MINIONS = 2


class World:
    """Entries that can be ended and started again by their number."""

    def __init__(self, standin, address, minions, callers):
        self.faults = standin.faults["table"]
        self.minions = minions
        self.callers = callers
        self._address = address
        self._started = 0
        self._stacks: list[contextlib.ExitStack] = []
        self._entries: list[entry_lib.Entry] = []

    @property
    def addresses(self) -> list[str]:
        """Callers' addresses of the entries."""
        return [entry.address for entry in self._entries]

    @property
    def counts(self) -> callers_lib.Counts:
        """What the minions counted."""
        by_key: dict[str, int] = {}
        by_request: dict[str, int] = {}
        for minion in self.minions:
            for total, found in (
                (by_key, minion.by_key),
                (by_request, minion.by_request),
            ):
                for name, count in found.items():
                    total[name] = total.get(name, 0) + count
        return callers_lib.Counts(by_key, by_request)

    def start(self, number: int) -> None:
        """Starts an entry that knows those before it, and waits for it."""
        self._started += 1
        settings = settings_lib.Settings(
            process=f"entry-{self._started}",
            data_centre="hall-recife",
            platform=self._address,
            peer_listen="127.0.0.1:0",
            listen="127.0.0.1:0",
            seeds=tuple(entry.peer_address for entry in self._entries),
        )
        stack = contextlib.ExitStack()
        entry = stack.enter_context(entry_lib.run(settings))
        self._stacks[number:number] = [stack]
        self._entries[number:number] = [entry]
        deployments.wait_until(lambda: entry.ready()[0])

    def end(self, number: int) -> None:
        """Ends an entry at once, with all that it has under way."""
        del self._entries[number]
        self._stacks.pop(number).close()

    def close(self) -> None:
        """Ends all entries."""
        while self._entries:
            self.end(0)

    def heal(self) -> None:
        """Ends all faults."""
        self.faults.down = False
        self.faults.lose_answers = self.faults.delay_effect = 0
        self.faults.release_delayed()
        calm = {"silent_next": 0, "reset_next": 0, "cut_next": 0}
        for minion in self.minions:
            minion.switch(hold=False, **calm)


@contextlib.contextmanager
def running(entries: int, seed: int = 1) -> Iterator[World]:
    """Yields a world with a configuration in force."""
    clock = clocks.SystemClock()
    with contextlib.ExitStack() as stack:
        minions = [
            stack.enter_context(minion_lib.run_minion(SERVICE))
            for _ in range(MINIONS)
        ]
        listed = (
            fleet_lib.Member(_listing(number, minion.address))
            for number, minion in enumerate(minions)
        )
        standin = platform_standin.make_standin(
            fleet_lib.Fleet(tuple(listed), lag_s=0.0), clock
        )
        address = stack.enter_context(
            platform_standin.running(standin, "127.0.0.1:0", clock)
        )
        config = check.check(folder.read(deployments.CONFIG))
        rollout.apply(
            standin,
            clock,
            random.Random(1),
            config,
            "test",
            rollout.NO_CONFIG_NUMBER,
        )
        callers = stack.enter_context(callers_lib.run(seed, SERVICE))
        world = World(standin, address, minions, callers)
        stack.callback(world.close)
        for number in range(entries):
            world.start(number)
        yield world


def _listing(number: int, address: str) -> platform_lib.Listing:
    return platform_lib.Listing(
        f"{SERVICE}-{number}",
        platform_lib.InstanceKind.MINION,
        platform_lib.ListedState.LIVE,
        "hall-recife",
        "r1",
        address=address,
        service=SERVICE,
    )
