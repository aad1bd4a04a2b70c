"""Wires a controller: its share of capacity and maintenance."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import random
from typing import Any

from vanillaswitch.coordination.control import controller as controller_lib
from vanillaswitch.coordination.maintenance import pool_duty
from vanillaswitch.coordination.maintenance import wave_duty
from vanillaswitch.coordination.once import claim_expiry_duty
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.workloads import placement_duty
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import supervision
from vanillaswitch.protocol import peers
from vanillaswitch.state import config_view
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.transport import pages_http
from vanillaswitch.transport import platform_http
from vanillaswitch.wiring import base as base_lib

DUTIES = (claim_expiry_duty, pool_duty, placement_duty, wave_duty)
"""Modules that register the steps of duties when they are imported."""


class Controller:
    """A running controller; ``run`` makes it."""

    def __init__(
        self,
        base: base_lib.Base,
        inner: controller_lib.Controller,
        config_counters: Callable[[], Mapping[str, int]],
    ):
        self._base = base
        self._inner = inner
        self._config_counters = config_counters
        self._address = ""

    @property
    def address(self) -> str:
        """The "ip:port" of the pages for operators."""
        return self._address

    @property
    def peer_address(self) -> str:
        """The "ip:port" for peers."""
        return self._base.network.address

    def ready(self) -> tuple[int, Mapping[str, Any]]:
        """Returns the page that tells whether duties can be held."""
        ready = self._inner.has_lease and self._base.config.config is not None
        return (200 if ready else 503), {
            "ready": ready,
            "leased": self._inner.has_lease,
            "config": self._base.config.number,
        }

    def counters(self) -> tuple[int, Mapping[str, Any]]:
        """Returns the page of totals since the start."""
        network = self._base.network.counters
        return 200, {
            **{f"peers.{k}": v for k, v in network.items()},
            **{f"duties.{k}": v for k, v in self._inner.counters.items()},
            **self._config_counters(),
        }

    def duties(self) -> tuple[int, Mapping[str, Any]]:
        """Returns the page of the duties held, with their epochs."""
        fences = self._inner.fences
        return 200, {name: fence.epoch for name, fence in fences.items()}

    @contextlib.contextmanager
    def _serving(self) -> Iterator[None]:
        pages = {
            "/_/ready": self.ready,
            "/_/live": lambda: (200, {"live": True}),
            "/_/counters": self.counters,
            "/_/duties": self.duties,
        }
        with pages_http.serve(self._base.settings.listen, pages) as address:
            self._address = address
            yield


@contextlib.contextmanager
def run(settings: settings_lib.Settings) -> Iterator[Controller]:
    """Yields a running controller; hands its duties over afterwards.

    Args:
        settings: who it is, where it listens, whom it asks.

    Raises:
        OSError: an address can't be bound.
    """
    clock = clocks.SystemClock()
    rng = random.SystemRandom()
    view = config_view.ConfigView()
    leaving = base_lib.Leaving()

    def own() -> heartbeat_sender.LocalStatus:
        return heartbeat_sender.LocalStatus(view.number, 0, leaving.begun, {})

    with contextlib.ExitStack() as stack:
        outside = stack.enter_context(platform_http.connect(settings.platform))
        network = stack.enter_context(
            base_lib.network(settings, peers.Role.CONTROLLER, clock, rng, own)
        )
        base = base_lib.Base(settings, clock, rng, outside, view, network)
        config_counters = stack.enter_context(base_lib.configured(base))
        # The session tells others where to reach us: the port that was bound.
        reachable = dataclasses.replace(settings, peer_listen=network.address)
        inner = controller_lib.Controller(
            reachable,
            outside,
            clock,
            rng,
            lambda: view.config,
            network.broadcast,
        )
        running = Controller(base, inner, config_counters)
        stack.enter_context(running._serving())
        with supervision.running(inner.run) as (task,):
            yield running
            leaving.begun = True
            inner.stop()
            task.join(settings.stop_grace_s)
