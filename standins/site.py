"""A deployment whose entries come and go, with a platform that stays."""

from collections.abc import Iterator
import contextlib
import itertools
import pathlib

import gevent.pool

from standins import deployment

EXAMPLE = pathlib.Path("examples/mare-dues")
SERVICE = "berthing"
_STARTS_AT_ONCE = 4


class Site:
    """A running platform with minions and a configuration in force."""

    def __init__(self, running: deployment.Deployment):
        self.running = running
        self.minions = {
            name: minion
            for name, minion in running.minions.items()
            if minion.service == SERVICE
        }
        self._numbers = itertools.count(1)

    @property
    def received(self) -> int:
        """How many requests all minions of the service received."""
        return sum(minion.received for minion in self.minions.values())

    def hold(self, held: bool) -> None:
        """Makes minions keep their answers, or gives those out."""
        for minion in self.minions.values():
            minion.switch(hold=held)

    def table(self, **switches: object) -> None:
        """Sets switches of the table."""
        self.running.switch_platform("faults", part="table", **switches)

    def apply(self, folder: pathlib.Path, *arguments: str) -> None:
        """Puts a configuration in force.

        Raises:
            deployment.DeploymentError: the command failed.
        """
        code, output = self.running.command(
            "config",
            "apply",
            str(folder),
            *arguments,
            "--platform",
            self.running.platform,
        )
        if code:
            raise deployment.DeploymentError(output)

    @contextlib.contextmanager
    def entries(self, count: int) -> Iterator[list[deployment.Process]]:
        """Yields entries that are ready; kills all and heals all after."""
        try:
            yield self.start_entries(count)
        finally:
            self.hold(False)
            self.table(down=False, slow_s=0.0, lose_answers=0)
            for process in self.running.entries.values():
                process.kill()
            self.running.entries.clear()

    def start_entries(
        self, count: int, ready: bool = True
    ) -> list[deployment.Process]:
        """Starts entries under new names, and waits for all to be ready."""
        started = [self.start_entry()]
        pool = gevent.pool.Pool(_STARTS_AT_ONCE)
        rest = range(count - 1)
        started += pool.map(lambda _: self.start_entry(), rest)
        if ready:
            self.running.wait_ready()
        return started

    def start_entry(self) -> deployment.Process:
        """Starts an entry under a new name; it may not be ready yet."""
        return self.running.start_entry(f"entry-{next(self._numbers)}")


@contextlib.contextmanager
def run(folder: pathlib.Path, work_ms: float = 0.0) -> Iterator[Site]:
    """Yields a platform with minions and a configuration, no daemons.

    Args:
        folder: where settings and logs go.
        work_ms: how long a minion works on a request.
    """
    shape = deployment.Shape(EXAMPLE, entries=0, controllers=0, work_ms=work_ms)
    with deployment.run(shape, folder) as running:
        made = Site(running)
        made.apply(EXAMPLE / "config", "--first")
        yield made
