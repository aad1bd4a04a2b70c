"""What both daemons stand on: platform, peers and configuration."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import functools
import random
from typing import TypeVar

import gevent

from vanillaswitch import errors
from vanillaswitch.coordination.configuration import config_sync
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.peering import peer_network
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.internal import supervision
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import config_view
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.transport import streams

A = TypeVar("A")
R = TypeVar("R")

_DEFAULTS = config_lib.Policies()
_CONFIG_MESSAGES = (
    peers.ConfigOffer,
    peers.ConfigRequest,
    peers.ConfigBody,
    peers.Heartbeat,
)


@dataclasses.dataclass(frozen=True)
class Base:
    """What both daemons stand on.

    Attributes:
        settings: who this process is.
        config: the configuration in force; ``configured`` keeps it fresh.
        network: this process's place among its peers.
    """

    settings: settings_lib.Settings
    clock: clocks.Clock
    rng: random.Random
    platform: platform.Platform
    config: config_view.ConfigView
    network: peer_network.PeerNetwork

    @property
    def policies(self) -> config_lib.Policies:
        """The policies in force; the defaults before the first one."""
        config = self.config.config
        return _DEFAULTS if config is None else config.policies


class Leaving:
    """Whether this process is shutting down.

    Attributes:
        begun: set once by whoever stops the process; peers are told.
    """

    def __init__(self) -> None:
        self.begun = False


def ending_when_broken(act: Callable[[A], R]) -> Callable[[A], R]:
    """Returns ``act`` such that a broken invariant ends the calling task.

    The failure guarded against: a library runs ``act`` in a task of its own
    and survives its errors, so that the process would go on with broken
    state. The caller of ``act`` still gets the error; the calling task, which
    is that of the whole process, gets it at the next turn of the loop. Once
    is enough: a second error would disturb its clean-up.
    """
    opener = gevent.getcurrent()
    told = False

    def guarded(argument: A) -> R:
        nonlocal told
        try:
            return act(argument)
        except errors.InvariantError as error:
            if not told:
                told = True
                gevent.kill(opener, error)
            raise

    return guarded


@contextlib.contextmanager
def network(
    settings: settings_lib.Settings,
    role: peers.Role,
    clock: clocks.Clock,
    rng: random.Random,
    snapshot: Callable[[], heartbeat_sender.LocalStatus],
) -> Iterator[peer_network.PeerNetwork]:
    """Yields this process's place among its peers.

    Args:
        settings: who it is, where it listens.
        role: which daemon it is.
        clock: paces heartbeats.
        rng: draws the boot id and jitter.
        snapshot: what to tell of this process; must not block.
    """
    open_transport = functools.partial(streams.run, clock=clock, rng=rng)
    with peer_network.run(
        settings,
        role,
        ids.new_id(rng),
        open_transport,
        clock,
        rng,
        snapshot,
    ) as network:
        yield network


@contextlib.contextmanager
def configured(base: Base) -> Iterator[Callable[[], Mapping[str, int]]]:
    """Keeps the configuration the newest that can be heard of.

    Yields:
        Returns the counters of "config...." by name.
    """
    task = config_sync.ConfigSync(
        base.config,
        base.platform.table,
        base.platform.objects,
        base.clock,
        base.network.broadcast,
    )
    for kind in _CONFIG_MESSAGES:
        base.network.subscribe(kind, task.on_message)

    def counters() -> Mapping[str, int]:
        counted = dataclasses.asdict(task.counters)
        named = {f"config.{name}": count for name, count in counted.items()}
        return {**named, "config.number": base.config.number}

    with supervision.running(task.run):
        yield counters
