"""Sets up a request path over fakes for tests."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import random
from typing import Any

from tests.common import clocks
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import request_handler
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.internal import metrics
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import config
from vanillaswitch.state import config_view

QUOTE = "/berthing/quote"
CHARGE = "/berthing/charge"

Responder = Callable[
    [minions.Minion, requests.Request, float], minions.SendOutcome
]


def make_config(**service_changes: object) -> config.Config:
    """Returns a configuration of one service with three request classes."""
    idempotent, once = config.RequestKind
    service = config.Service(
        availability_budget=config.AvailabilityBudget(1, 1),
        routes=(
            config.Route("GET", "/quote", "quote"),
            config.Route("POST", "/charge", "charge"),
            config.Route("GET", "/report", "report"),
        ),
        minions=3,
        not_run_statuses=(503,),
    )
    return config.Config(
        data_centres={"recife": config.DataCentre("nordeste")},
        classes={
            "quote": config.RequestClass(0, idempotent, weight=3),
            "charge": config.RequestClass(0, once),
            "report": config.RequestClass(5, idempotent),
        },
        services={"berthing": dataclasses.replace(service, **service_changes)},
    )


def make_minion(name: str = "m0", slots: int = 8) -> minions.Minion:
    """Returns a minion of the service that ``make_config`` defines."""
    return minions.Minion(name, "berthing", name, "recife", "r", slots, 64)


def make_listings(
    *names: str, state: platform.ListedState = platform.ListedState.LIVE
) -> tuple[platform.Listing, ...]:
    """Returns list entries of minions as the platform reports them."""
    kind = platform.InstanceKind.MINION
    return tuple(
        platform.Listing(name, kind, state, "recife", "r", name, "berthing")
        for name in names
    )


def make_raw_request(
    clock: clocks.ManualClock,
    target: str = QUOTE,
    method: str = "GET",
    key: str = "",
    timeout_ms: int = 1000,
    request_id: str = "r1",
) -> requests.RawRequest:
    """Returns a request as received over HTTP."""
    headers = {
        requests.HEADER_CALLER_ID: "caller-1",
        requests.HEADER_REQUEST_ID: request_id,
        requests.HEADER_TIMEOUT_MS: str(timeout_ms),
    }
    if key:
        headers[requests.HEADER_IDEMPOTENCY_KEY] = key
        headers[requests.HEADER_ISSUED_MS] = str(int(clock.wall() * 1000))
    return requests.RawRequest(
        method, target, tuple(headers.items()), b"", clock.monotonic()
    )


def echo_answer(
    request: requests.Request, status: int = 200
) -> minions.Answered:
    """Returns an answer whose body is the request's id."""
    body = request.request_id.encode()
    return minions.Answered(requests.Answer(status, (), body))


class FakeClaims:
    """Lets every request proceed and records how each claim was settled."""

    def __init__(self) -> None:
        self.settled: list[tuple[str, str]] = []
        self.begun = 0

    def begin(self, request: requests.Request) -> claims.ClaimGranted:
        """Claims a request."""
        self.begun += 1
        return claims.ClaimGranted(request.request_id)

    def release(self, ticket: str) -> None:
        """Records a release."""
        self.settled.append((ticket, "released"))

    def complete(self, ticket: str, answer: requests.Answer) -> None:
        """Records a complete answer and checks that it is the request's."""
        assert answer.body == ticket.encode()
        self.settled.append((ticket, "finished"))

    def mark_unknown(self, ticket: str) -> None:
        """Records an unknown outcome."""
        self.settled.append((ticket, "lost"))


class FakeMinionClient:
    """A minion client that records attempts and gets outcomes from the test.

    Attributes:
        responder: returns the outcome of an attempt.
        minions: instance of each attempt.
        fresh: whether each attempt required a new connection.
        timeouts: timeout of each attempt in seconds.
    """

    def __init__(self, responder: Responder | None = None):
        self.responder = responder or (
            lambda _, request, __: echo_answer(request)
        )
        self.minions: list[str] = []
        self.fresh: list[bool] = []
        self.timeouts: list[float] = []

    def send(
        self,
        minion: minions.Minion,
        request: requests.Request,
        timeout_s: float,
        fresh: bool,
    ) -> minions.SendOutcome:
        """Records an attempt and returns the outcome that the test defines."""
        self.minions.append(minion.instance)
        self.fresh.append(fresh)
        self.timeouts.append(timeout_s)
        return self.responder(minion, request, timeout_s)


class RequestPathHarness:
    """A request path and the parts that tests control."""

    def __init__(
        self,
        responder: Responder | None = None,
        minions_up: int = 3,
        configuration: config.Config | None = None,
        entries: tuple[str, ...] = ("entry",),
        lend: Callable[[slot_lending.AddressedMessage], None] = lambda _: None,
    ):
        self.clock = clocks.ManualClock()
        self.minion_client = FakeMinionClient(responder)
        self.claims = FakeClaims()
        self.metrics = metrics.Metrics()
        self.config = config_view.ConfigView()
        self.fleet = fleet_view.FleetView()
        self.peer_in_flight: dict[str, int] = {}
        self.refresh_after_pause: Callable[[float], bool] = lambda _: (
            self.refresh()
        )
        names = (f"m{number}" for number in range(minions_up))
        self.fleet.update_instances(make_listings(*names), 0)
        self.config.offer(1, "digest", configuration or make_config())
        self.handler = request_handler.RequestHandler(
            clock=self.clock,
            rng=random.Random(1),
            data_centre="recife",
            config=self.config,
            fleet=self.fleet,
            refresh_after_pause=lambda timeout_s: self.refresh_after_pause(
                timeout_s
            ),
            peer_in_flight=lambda: self.peer_in_flight,
            live_entries=lambda: entries,
            send_loan_message=lend,
            client=self.minion_client,
            claims=self.claims,
            metrics=self.metrics,
        )

    def occupy_slots_by_peers(self, **slots: int) -> None:
        """Has peers use slots, for each routing policy."""
        self.peer_in_flight.update(slots)
        loans = self.handler._dispatcher._slots.loans
        for name, count in slots.items():
            for number in range(count):
                ask = peers.SlotAsk("peer", f"{name}-{number}", "", 1, 0)
                loans.lend(ask, (name,), self.clock.monotonic())

    def free_slot_of_peer(self, name: str) -> None:
        """Has peers free the first slot that they took at a minion."""
        self.peer_in_flight[name] -= 1
        self.handler.handle_peer_message(
            peers.SlotReturn("peer", (f"{name}-0/0",))
        )

    def refresh(self) -> bool:
        """Refreshes the view of the fleet immediately."""
        now = self.clock.monotonic()
        self.fleet.finish_refresh(self.fleet.pause_count, now, is_complete=True)
        return True

    def handle(self, target: str = QUOTE, **options: Any) -> requests.Reply:
        """Handles one request; see ``make_raw_request`` for the arguments."""
        return self.handler.handle(
            make_raw_request(self.clock, target, **options)
        )

    def charge(self, key: str = "", **options: Any) -> requests.Reply:
        """Handles one request that must not run twice."""
        return self.handle(CHARGE, method="POST", key=key, **options)


@contextlib.contextmanager
def run_request_path(
    responder: Responder | None = None, minions_up: int = 3, routing: str = ""
) -> Iterator[RequestPathHarness]:
    """Yields a running request path.

    Uses the default routing policy unless ``routing`` names one.
    """
    configuration = make_config()
    if routing:
        policies = config.Policies(routing=routing)
        configuration = dataclasses.replace(configuration, policies=policies)
    rig = RequestPathHarness(responder, minions_up, configuration)
    with rig.handler.running():
        yield rig
