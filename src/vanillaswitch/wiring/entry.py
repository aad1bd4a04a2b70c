"""Wires an entry: the request path between callers and minions."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import functools
import random
from typing import Any

from vanillaswitch import errors
from vanillaswitch.coordination.entry import fleet_refresher
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import request_handler
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import claim_service
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.peering import peer_network
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import metrics as metrics_lib
from vanillaswitch.internal import supervision
from vanillaswitch.protocol import peers
from vanillaswitch.state import config_view
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.transport import caller_http
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import platform_http
from vanillaswitch.wiring import base as base_lib


class Entry:
    """A running entry; ``run`` makes it."""

    def __init__(
        self,
        base: base_lib.Base,
        handler: request_handler.RequestHandler,
        fleet: fleet_view.FleetView,
        claim_service: claim_service.TableClaimService,
        metrics: metrics_lib.Metrics,
        leaving: base_lib.Leaving,
        config_counters: Callable[[], Mapping[str, int]],
    ):
        self._base = base
        self._handler = handler
        self._fleet = fleet
        self._claims = claim_service
        self._metrics = metrics
        self._leaving = leaving
        self._config_counters = config_counters
        self._server: caller_http.Server | None = None

    @property
    def address(self) -> str:
        """The "ip:port" for callers."""
        return self._running.address

    @property
    def peer_address(self) -> str:
        """The "ip:port" for peers."""
        return self._base.network.address

    @property
    def config_number(self) -> int:
        """Number of the configuration in force; 0 for none."""
        return self._base.config.number

    @property
    def _running(self) -> caller_http.Server:
        if self._server is None:
            raise errors.InvariantError("the entry does not serve yet")
        return self._server

    def ready(self) -> tuple[bool, str]:
        """Returns whether callers may come, and why not."""
        if self._leaving.begun:
            return False, "leaving"
        if self._base.config.config is None:
            return False, "no configuration yet"
        if not self._fleet.is_loaded:
            return False, "no list of minions yet"
        return True, ""

    def counters(self) -> Mapping[str, int]:
        """Returns totals since the start, by name."""
        return {
            **{f"peers.{k}": v for k, v in self._base.network.counters.items()},
            **self._metrics.counters.snapshot(),
            "callers.bad_requests": self._running.bad_requests,
            **self._config_counters(),
        }

    def histograms(self) -> Mapping[str, Any]:
        """Returns latency figures by "class/..." and "caller/..."."""
        measured = self._metrics.snapshot()
        return {
            f"{kind}/{name}": summary
            for kind, page in (("class", "classes"), ("caller", "callers"))
            for name, summary in measured[page].items()
        }

    def stop(self) -> bool:
        """Shuts down gracefully; returns whether all was finished in time.

        Peers are told first, so that they count on us no longer; requests in
        flight are answered; then the outcomes of charges are written.
        """
        self._leaving.begun = True
        grace_s = self._base.settings.stop_grace_s
        began = self._base.clock.monotonic()
        answered = self._running.drain(grace_s)
        left_s = grace_s - (self._base.clock.monotonic() - began)
        unwritten = self._claims.flush(max(left_s, 0.0))
        return answered and unwritten == 0

    @contextlib.contextmanager
    def _serving(self) -> Iterator[None]:
        pages = caller_http.Pages(
            self.ready, lambda: True, self.counters, self.histograms
        )
        with caller_http.serve(
            self._base.settings.listen,
            base_lib.ending_when_broken(self._handler.handle),
            pages,
            self._base.clock,
            lambda: self._base.policies.max_body_bytes,
        ) as server:
            self._server = server
            yield


class _Announced:
    """What heartbeats tell of an entry, also while it is being wired."""

    def __init__(
        self,
        config: config_view.ConfigView,
        fleet: fleet_view.FleetView,
        leaving: base_lib.Leaving,
    ):
        self._config = config
        self._fleet = fleet
        self._leaving = leaving
        self._loads: Callable[[], Mapping[str, int]] = dict

    def count_loads(self, loads: Callable[[], Mapping[str, int]]) -> None:
        """Tells from now on what ``loads`` returns."""
        self._loads = loads

    def own(self) -> heartbeat_sender.LocalStatus:
        """Returns what the next heartbeat tells."""
        return heartbeat_sender.LocalStatus(
            self._config.number,
            self._fleet.drain_version,
            self._leaving.begun,
            self._loads(),
        )


@contextlib.contextmanager
def _fleet_kept(
    base: base_lib.Base, fleet: fleet_view.FleetView
) -> Iterator[fleet_refresher.FleetRefresher]:
    """Keeps the view of the fleet fresh, by the platform and by peers."""

    def take(_sender: Any, notice: peers.DrainNotice, _reply: Any) -> None:
        if fleet.update_drain(notice):
            base.network.broadcast(notice)

    base.network.subscribe(peers.DrainNotice, take)
    task = fleet_refresher.FleetRefresher(
        fleet,
        base.platform.instances,
        base.platform.table,
        base.clock,
        lambda: base.policies.drain_poll_ms / 1000,
    )
    with task.run_refresher():
        yield task


@contextlib.contextmanager
def _claims_kept(
    base: base_lib.Base,
) -> Iterator[claim_service.TableClaimService]:
    """Yields the claims of this boot, and answers its peers' queries."""
    holder = claim_rules.Holder(
        base.settings.process, base.network.boot_id, base.network.address
    )
    parts = claim_service.make_components(
        holder,
        base.platform.table,
        base.platform.objects,
        base.network.query_claim,
        lambda: base.network.membership.members,
        base.clock,
        base.rng,
        lambda: base.policies.claim_retention_s,
    )
    service = claim_service.TableClaimService(parts)

    def answer(_sender: Any, query: peers.ClaimQuery, reply: Any) -> None:
        reply(service.answer_query(query))

    base.network.subscribe(peers.ClaimQuery, answer)
    tasks = (parts.committer.run, parts.records.run, parts.history.run)
    with supervision.running(*tasks):
        yield service


@contextlib.contextmanager
def _path_open(
    base: base_lib.Base,
    fleet: fleet_view.FleetView,
    fleets: fleet_refresher.FleetRefresher,
    service: claim_service.TableClaimService,
    metrics: metrics_lib.Metrics,
) -> Iterator[request_handler.RequestHandler]:
    """Yields the way of requests, which lends slots to its peers."""
    network = base.network

    def entries() -> tuple[str, ...]:
        others = network.live_heartbeats(peers.Role.ENTRY)
        return (base.settings.process, *(one.process for one in others))

    def take(
        _sender: Any, message: slot_lending.LoanMessage, _reply: Any
    ) -> None:
        handler.handle_peer_message(message)

    with minion_http.open_client(base.clock) as client:
        handler = request_handler.RequestHandler(
            base.clock,
            base.rng,
            base.settings.data_centre,
            base.config,
            fleet,
            fleets.refresh_after_pause,
            network.peer_in_flight,
            entries,
            client,
            service,
            metrics,
            network.boot_id,
            functools.partial(_send_loan, network),
        )
        kinds: tuple[type[Any], ...]
        kinds = (peers.SlotAsk, peers.SlotGrant, peers.SlotReturn)
        for kind in kinds:
            network.subscribe(kind, take)
        with handler.running():
            yield handler


def _send_loan(
    network: peer_network.PeerNetwork, envelope: slot_lending.AddressedMessage
) -> None:
    for entry in network.live_heartbeats(peers.Role.ENTRY):
        if entry.process == envelope.recipient:
            network.send(entry.address, envelope.message)


@contextlib.contextmanager
def run(settings: settings_lib.Settings) -> Iterator[Entry]:
    """Yields a running entry, and closes all of it afterwards.

    Args:
        settings: who it is, where it listens, whom it asks.

    Raises:
        OSError: an address can't be bound.
    """
    clock = clocks.SystemClock()
    rng = random.SystemRandom()
    metrics = metrics_lib.Metrics()
    view = config_view.ConfigView()
    fleet = fleet_view.FleetView()
    leaving = base_lib.Leaving()
    told = _Announced(view, fleet, leaving)
    with contextlib.ExitStack() as stack:
        enter = stack.enter_context
        outside = enter(platform_http.connect(settings.platform))
        network = enter(
            base_lib.network(settings, peers.Role.ENTRY, clock, rng, told.own)
        )
        base = base_lib.Base(settings, clock, rng, outside, view, network)
        config_counters = enter(base_lib.configured(base))
        fleets = enter(_fleet_kept(base, fleet))
        service = enter(_claims_kept(base))
        handler = enter(_path_open(base, fleet, fleets, service, metrics))
        told.count_loads(lambda: handler.in_flight_by_minion)
        running = Entry(
            base, handler, fleet, service, metrics, leaving, config_counters
        )
        enter(running._serving())
        yield running
