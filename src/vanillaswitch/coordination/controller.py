"""The controller: keeps its session lease, takes its share of the duties.

Duties register themselves by kind::

    @controller.duty("wave")
    def step(context: Context, name: str, fence: duties.Fence) -> None: ...
"""

from collections.abc import Callable
import dataclasses
import random
from typing import Any

from vanillaswitch.coordination import duties
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import registry
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

STEP_S = 0.5
"""Pause between two steps of a duty."""

GROUP = 64
"""Rows in one transaction of takes and hand-overs."""

FORGET_TERMS = 20
"""A session unchanged for this many terms is deleted."""


def _keep(fence: duties.Fence) -> None:
    del fence


@dataclasses.dataclass(frozen=True)
class Context:
    """What a step of a duty works with.

    Attributes:
        config: the configuration in force.
        broadcast: sends a message to every peer, as soft state.
        memory: soft memory of this duty in this process; empty at the start
            of each epoch, never shared between duties.
        drop: to be called with the fence that was found broken.
    """

    platform: platform.Platform
    clock: clock_lib.Clock
    rng: random.Random
    config: config_lib.Config
    broadcast: Callable[[peers.Message], None]
    memory: dict[str, Any] = dataclasses.field(default_factory=dict)
    drop: Callable[[duties.Fence], None] = _keep


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
