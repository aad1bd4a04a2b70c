"""The controller: keeps its session lease, takes its share of the duties.

Duties register themselves by kind::

    @controller.duty("wave")
    def step(context: Context, name: str, fence: duties.Fence) -> None: ...
"""

import collections
from collections.abc import Callable
import dataclasses
import random
from typing import Any

import gevent
import gevent.event

from vanillaswitch import errors
from vanillaswitch.coordination import duties
from vanillaswitch.coordination import duty_names
from vanillaswitch.coordination import leases
from vanillaswitch.coordination import membership
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import logs
from vanillaswitch.internal import registry
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import settings as settings_lib

STEP_S = 0.5
"""Pause between two steps of a duty."""

GROUP = 64
"""Rows in one transaction of takes and hand-overs."""


def _keep(fence: duties.Fence) -> None:
    del fence


def _always() -> bool:
    return True


@dataclasses.dataclass(frozen=True)
class Context:
    """What a step of a duty works with.

    Attributes:
        config: the configuration in force.
        broadcast: sends a message to every peer, as soft state.
        memory: soft memory of this duty in this process; empty at the start
            of each epoch, never shared between duties.
        drop: to be called with the fence that was found broken.
        leased: whether the session lease is still held; asked again right
            before a message that must not come late.
    """

    platform: platform.Platform
    clock: clock_lib.Clock
    rng: random.Random
    config: config_lib.Config
    broadcast: Callable[[peers.Message], None]
    memory: dict[str, Any] = dataclasses.field(default_factory=dict)
    drop: Callable[[duties.Fence], None] = _keep
    leased: Callable[[], bool] = _always


Broadcast = Callable[[peers.Message], None]
ConfigSource = Callable[[], config_lib.Config | None]
Step = Callable[[Context, str, duties.Fence], None]

STEPS: registry.Registry[Step] = registry.Registry("duty")
KEEPALIVES: registry.Registry[Step] = registry.Registry("duty keepalive")


def duty(kind: str) -> Callable[[Step], Step]:
    """Registers the step of a duty kind, run while the duty is held.

    Each write of a step carries ``fence.check``.
    """
    return STEPS.register(kind)


def keepalive(kind: str) -> Callable[[Step], Step]:
    """Registers what goes on for a held duty when the table is away.

    It runs in place of the step while the session lease has lapsed and no
    other holder was seen. It may do only what is idempotent and needs no
    table, such as renewing leases of tasks by message.
    """
    return KEEPALIVES.register(kind)


@dataclasses.dataclass(frozen=True)
class _Holding:
    """A duty that this process holds, and its soft memory."""

    name: str
    fence: duties.Fence
    memory: dict[str, Any]


class Controller:
    """One controller process: a thin task around leases and duties."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        outside: platform.Platform,
        clock: clock_lib.Clock,
        rng: random.Random,
        config: ConfigSource,
        broadcast: Broadcast,
    ):
        """Makes a controller that holds nothing yet.

        Args:
            settings: who this process is; ``lease_s`` is the term.
            outside: the platform.
            clock: moves the leases and paces the steps.
            rng: for ids and the steps.
            config: returns the configuration in force, None before the first.
            broadcast: sends a message to every peer.
        """
        self._pause = settings.lease_s / leases.RENEWALS_PER_TERM
        self._platform = outside
        self._clock = clock
        self._rng = rng
        self._config = config
        self._broadcast = broadcast
        self._member = membership.Member(settings, outside.table, clock, rng)
        self._holdings: dict[str, _Holding] = {}
        self._stopping = gevent.event.Event()
        self._fatal: errors.InvariantError | None = None
        self.counters: collections.Counter[str] = collections.Counter()

    @property
    def name(self) -> str:
        """The controller's name."""
        return self._member.name

    @property
    def boot(self) -> str:
        """Random id of this start."""
        return self._member.boot

    @property
    def leased(self) -> bool:
        """Whether the session lease is held right now."""
        return self._member.leased

    @property
    def fences(self) -> dict[str, duties.Fence]:
        """The fence of each duty that this process last knew as its own."""
        return {name: held.fence for name, held in self._holdings.items()}

    def run(self) -> None:
        """Runs until ``stop``, then hands every duty over.

        Raises:
            errors.InvariantError: a step found a broken invariant.
        """
        tasks: dict[duties.Fence, gevent.Greenlet] = {}
        while not self._stopping.is_set():
            self.tick()
            if self._fatal is not None:
                raise self._fatal
            for name, holding in self._holdings.items():
                if holding.fence not in tasks:
                    tasks[holding.fence] = gevent.spawn(self._serve, name)
            tasks = {f: task for f, task in tasks.items() if not task.dead}
            self._clock.sleep(self._pause)
        gevent.joinall(list(tasks.values()), timeout=self._pause)
        gevent.killall(list(tasks.values()))
        self.resign()

    def stop(self) -> None:
        """Asks ``run`` to end."""
        self._stopping.set()

    def tick(self) -> None:
        """Renews the session, looks at the others, takes and hands over."""
        self._member.renew()
        if self._member.look():
            self._rebalance(self._member.living())
            self._member.forget()

    def step(self, name: str) -> None:
        """Runs one step of a held duty, or its keepalive when lapsed.

        A failing step is counted and tried again later; the other duties and
        the lease go on. Only a broken invariant ends the process.
        """
        holding = self._holdings.get(name)
        if holding is None:
            return
        steps = STEPS if self.leased else KEEPALIVES
        kind = duty_names.kind(name)
        config = self._config()
        if config is None or kind not in steps.names:
            return
        try:
            steps.get(kind)(self._context(holding, config), name, holding.fence)
        except errors.InvariantError as error:
            self._fatal = error
        except Exception as error:
            self.counters["step-failed"] += 1
            self._log_failure(holding, error)
        else:
            holding.memory.pop(_FAILURE, None)

    def resign(self) -> None:
        """Hands every duty to the others and deletes the session row."""
        if not self.leased or not self._member.look():
            return
        others = self._member.living()
        others.pop(self.name, None)
        if others:
            self._rebalance(others)
        self._holdings.clear()
        self._member.leave()

    def _serve(self, name: str) -> None:
        """Steps one duty for as long as this epoch of it is held."""
        fence = self._holdings[name].fence
        while self._holds(name, fence) and not self._stopping.is_set():
            self.step(name)
            self._clock.sleep(STEP_S)

    def _holds(self, name: str, fence: duties.Fence) -> bool:
        holding = self._holdings.get(name)
        return holding is not None and holding.fence == fence

    def _context(self, holding: _Holding, config: config_lib.Config) -> Context:
        return Context(
            platform=self._platform,
            clock=self._clock,
            rng=self._rng,
            config=config,
            broadcast=self._broadcast,
            memory=holding.memory,
            drop=self._drop,
            leased=lambda: self.leased,
        )

    def _drop(self, fence: duties.Fence) -> None:
        for name, holding in list(self._holdings.items()):
            if holding.fence == fence:
                del self._holdings[name]
                self.counters["fence-broken"] += 1

    def _rebalance(self, members: dict[str, str]) -> None:
        """Reads the duties, writes what is to change, keeps what is held."""
        config = self._config()
        found = self._platform.table.scan(keys.DUTIES)
        if config is None or isinstance(found, platform.Unavailable):
            return
        table = duties.table_of(duty_names.of_config(config), found.rows)
        self._keep(table)
        if self.leased and self._member.settled_in:
            self._write(table, duties.changes(table, members, self.name))

    def _write(
        self, table: dict[str, duties.Held], puts: list[platform.Put]
    ) -> None:
        for start in range(0, len(puts), GROUP):
            group = tuple(puts[start : start + GROUP])
            outcome = self._member.commit(group)
            if isinstance(outcome, platform.Conflict):
                group = duties.without(group, outcome)
                outcome = self._member.commit(group) if group else outcome
            if isinstance(outcome, platform.Committed):
                table.update(duties.written(group, outcome.version))
                self._keep(table)

    def _keep(self, table: dict[str, duties.Held]) -> None:
        """Holds what the rows give it; memory lasts as long as the epoch."""
        fences = duties.fences(table, self.name, self._member.boot)
        lost = self._holdings.keys() - fences.keys()
        taken = [n for n, f in fences.items() if not self._holds(n, f)]
        for name in lost:
            del self._holdings[name]
        for name in taken:
            self._holdings[name] = _Holding(name, fences[name], {})
        self.counters["duties-lost"] += len(lost)
        self.counters["duties-taken"] += len(taken)
        if lost or taken:
            logs.info(
                "{} duties held: {} taken, {} lost",
                len(self._holdings),
                len(taken),
                len(lost),
            )

    def _log_failure(self, holding: _Holding, error: Exception) -> None:
        told = repr(error)
        if holding.memory.get(_FAILURE) != told:
            holding.memory[_FAILURE] = told
            logs.warning("duty {} fails: {}", holding.name, told)


_FAILURE = "controller.failure"
