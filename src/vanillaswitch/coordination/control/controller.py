"""The controller: keeps a session lease and runs its share of the duties.

The step of each kind of duty is registered with a decorator::

    @controller.duty("wave")
    def step(context: Context, name: str, fence: duties.Fence) -> None: ...
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import random
from typing import Any

import gevent
import gevent.event

from vanillaswitch import errors
from vanillaswitch.coordination.control import controller_session
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.control import held_duties
from vanillaswitch.coordination.control import session_leases
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import logs
from vanillaswitch.internal import registry
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import settings as settings_lib

STEP_PAUSE_S = 0.5
"""Pause between two steps of a duty."""

IDLE_PAUSE_S = 2.0
"""Pause after a step with nothing to do; see ``DutyContext.set_pause``."""


def _ignore_fence(fence: duty_assignment.Fence) -> None:
    del fence


def _always_leased() -> bool:
    return True


@dataclasses.dataclass(frozen=True)
class DutyContext:
    """Everything that a step of a duty uses.

    Attributes:
        platform: the platform.
        clock: the clock of this process.
        rng: for ids and random choices.
        config: the configuration in force.
        broadcast: sends a message with soft state to every peer.
        soft_state: soft state of this duty in this process; empty at the start
            of each epoch, never shared between duties.
        release_duty: releases the duty of a fence after a write was rejected.
        has_lease: returns whether the session lease is still held; to be called
            right before a message that must not be sent after its expiry.
    """

    platform: platform.Platform
    clock: clock_lib.Clock
    rng: random.Random
    config: config_lib.Config
    broadcast: Callable[[peers.Message], None]
    soft_state: dict[str, Any] = dataclasses.field(default_factory=dict)
    release_duty: Callable[[duty_assignment.Fence], None] = _ignore_fence
    has_lease: Callable[[], bool] = _always_leased

    def set_pause(self, is_idle: bool, min_pause_s: float = 0.0) -> None:
        """Sets the pause before the next step of the duty.

        Args:
            is_idle: whether the step found nothing to do; the pause is then
                at least ``IDLE_PAUSE_S``, otherwise ``STEP_PAUSE_S``.
            min_pause_s: lower bound on the pause, which limits the rate of
                reads.
        """
        pause_s = IDLE_PAUSE_S if is_idle else STEP_PAUSE_S
        self.soft_state[_NEXT_PAUSE_S] = max(pause_s, min_pause_s)


Broadcast = Callable[[peers.Message], None]
ConfigSource = Callable[[], config_lib.Config | None]
DutyStep = Callable[[DutyContext, str, duty_assignment.Fence], None]

DUTY_STEPS: registry.Registry[DutyStep] = registry.Registry("duty")
DUTY_KEEPALIVES: registry.Registry[DutyStep] = registry.Registry(
    "duty keepalive"
)


def duty_step(kind: str) -> Callable[[DutyStep], DutyStep]:
    """Registers the step of a duty kind, which runs while the duty is held.

    Each write of the step must include ``fence.check``.
    """
    return DUTY_STEPS.register(kind)


def duty_keepalive(kind: str) -> Callable[[DutyStep], DutyStep]:
    """Registers the keepalive of a duty kind, for outages of the table.

    It runs in place of the step while the session lease has expired and the
    row, as last read, names no other holder. It may only do work that is
    idempotent and needs no table, such as renewing leases of tasks by message.
    """
    return DUTY_KEEPALIVES.register(kind)


def next_step_pause_s(memory: Mapping[str, Any]) -> float:
    """Returns the pause before the next step of a duty, in seconds.

    Args:
        memory: soft state of the duty.
    """
    pause_s: float = memory.get(_NEXT_PAUSE_S, STEP_PAUSE_S)
    return pause_s


class Controller:
    """One controller process, which runs its duties under a session lease."""

    def __init__(
        self,
        settings: settings_lib.Settings,
        outside: platform.Platform,
        clock: clock_lib.Clock,
        rng: random.Random,
        config: ConfigSource,
        broadcast: Broadcast,
    ):
        """Creates a controller without lease and duties.

        Args:
            settings: identity of this process; ``lease_s`` is the lease term.
            outside: the platform.
            clock: times the leases and the pauses between steps.
            rng: for ids, and passed to the steps.
            config: returns the configuration in force, None before the first.
            broadcast: sends a message to every peer.
        """
        self._renewal_pause_s = (
            settings.lease_s / session_leases.RENEWALS_PER_TERM
        )
        self._platform = outside
        self._clock = clock
        self._rng = rng
        self._config = config
        self._broadcast = broadcast
        self._session = controller_session.ControllerSession(
            settings, outside.table, clock, rng
        )
        self._stopping = gevent.event.Event()
        self._fatal_error: errors.InvariantError | None = None
        self.counters: collections.Counter[str] = collections.Counter()
        self._held_duties = held_duties.HeldDuties(self._session, self.counters)

    @property
    def name(self) -> str:
        """The controller's name."""
        return self._session.name

    @property
    def boot(self) -> str:
        """Random id of this start."""
        return self._session.boot

    @property
    def has_lease(self) -> bool:
        """Whether the session lease is held now."""
        return self._session.has_lease

    @property
    def fences(self) -> dict[str, duty_assignment.Fence]:
        """The fence of each duty held when the table was last read."""
        return self._held_duties.fences

    def run(self) -> None:
        """Runs until ``stop`` is called, then hands every duty over.

        Raises:
            errors.InvariantError: A step found a violated invariant.
        """
        with self._duty_tasks() as tasks:
            while not self._stopping.is_set():
                self.tick()
                if self._fatal_error is not None:
                    raise self._fatal_error
                self._spawn_missing_tasks(tasks)
                self._clock.sleep(self._renewal_pause_s)
        self.resign()

    @contextlib.contextmanager
    def _duty_tasks(
        self,
    ) -> Iterator[dict[duty_assignment.Fence, gevent.Greenlet]]:
        """Yields a dict for the tasks of held duties; ends them on exit."""
        tasks: dict[duty_assignment.Fence, gevent.Greenlet] = {}
        try:
            yield tasks
            gevent.joinall(list(tasks.values()), timeout=self._renewal_pause_s)
        finally:
            gevent.killall(list(tasks.values()))

    def _spawn_missing_tasks(
        self, tasks: dict[duty_assignment.Fence, gevent.Greenlet]
    ) -> None:
        for fence in [fence for fence, task in tasks.items() if task.dead]:
            del tasks[fence]
        for name, fence in self._held_duties.fences.items():
            if fence not in tasks:
                tasks[fence] = gevent.spawn(self._run_duty, name, fence)

    def stop(self) -> None:
        """Asks ``run`` to end."""
        self._stopping.set()

    def tick(self) -> None:
        """Renews the lease, reads all sessions and rebalances the duties."""
        self._session.renew()
        if self._session.read_sessions():
            self._rebalance(self._session.live_controllers())
            self._session.delete_dead_sessions()

    def step(self, name: str) -> None:
        """Runs one step of a held duty, or its keepalive without a lease.

        A failed step is counted and tried again later. It affects neither the
        other duties nor the lease. Only a violated invariant ends the process.
        """
        held = self._held_duties.get(name)
        if held is None:
            return
        step_registry = DUTY_STEPS if self.has_lease else DUTY_KEEPALIVES
        kind = duty_names.kind_of(name)
        config = self._config()
        if config is None or kind not in step_registry.names:
            return
        try:
            step_registry.get(kind)(
                self._context(held, config), name, held.fence
            )
        except errors.InvariantError as error:
            self._fatal_error = error
        except Exception as error:
            self.counters["step-failed"] += 1
            self._log_failure(held, error)
        else:
            held.soft_state.pop(_LAST_FAILURE, None)

    def resign(self) -> None:
        """Hands every duty over and deletes the session row."""
        if not self.has_lease or not self._session.read_sessions():
            return
        successors = self._session.live_controllers()
        successors.pop(self.name, None)
        if successors:
            self._rebalance(successors)
        self._held_duties.clear()
        self._session.delete_session()

    def _run_duty(self, name: str, fence: duty_assignment.Fence) -> None:
        """Runs the steps of one duty while it is held with this fence."""
        while (
            self._held_duties.is_held(name, fence)
            and not self._stopping.is_set()
        ):
            self.step(name)
            held = self._held_duties.get(name)
            self._clock.sleep(
                next_step_pause_s(held.soft_state if held else {})
            )

    def _context(
        self, held: held_duties.HeldDuty, config: config_lib.Config
    ) -> DutyContext:
        return DutyContext(
            platform=self._platform,
            clock=self._clock,
            rng=self._rng,
            config=config,
            broadcast=self._broadcast,
            soft_state=held.soft_state,
            release_duty=self._held_duties.release,
            has_lease=lambda: self.has_lease,
        )

    def _rebalance(self, members: dict[str, str]) -> None:
        """Reads the duties, updates the held ones, takes and hands over.

        Args:
            members: boot id of each controller that may hold duties.
        """
        config = self._config()
        outcome = self._platform.table.scan(keys.DUTIES)
        if config is None or isinstance(outcome, platform.Unavailable):
            return
        table = duty_assignment.build_table(
            duty_names.of_config(config), outcome.rows
        )
        self._held_duties.apply_table(table)
        if self.has_lease and self._session.may_rebalance:
            self._held_duties.rebalance(table, members)

    def _log_failure(
        self, held: held_duties.HeldDuty, error: Exception
    ) -> None:
        text = repr(error)
        if held.soft_state.get(_LAST_FAILURE) != text:
            held.soft_state[_LAST_FAILURE] = text
            logs.warning("a step of duty {} failed: {}", held.name, text)


_LAST_FAILURE = "controller.failure"
_NEXT_PAUSE_S = "controller.rests"
