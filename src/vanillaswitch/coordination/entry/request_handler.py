"""Handles a request: validation, claim, admission, attempts and reply."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import random

from vanillaswitch.coordination.entry import dispatch
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import request_sender
from vanillaswitch.coordination.entry import request_validation
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import metrics as metrics_lib
from vanillaswitch.protocol import claims as claims_lib
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.state import config_view

NOT_READY_RETRY_AFTER_S = 1.0


class RequestHandler:
    """Answers requests; ``handle`` blocks only the task that calls it."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        data_centre: str,
        config: config_view.ConfigView,
        fleet: fleet_view.FleetView,
        refresh_after_pause: Callable[[float], bool],
        peer_in_flight: Callable[[], Mapping[str, int]],
        live_entries: Callable[[], tuple[str, ...]],
        client: minions.MinionClient,
        claims: claims_lib.ClaimService,
        metrics: metrics_lib.Metrics,
        boot_id: str = "",
        send_loan_message: Callable[
            [slot_lending.AddressedMessage], None
        ] = lambda _: None,
    ):
        """Connects the components that handle requests.

        Args:
            clock: source of time.
            rng: random source for routing.
            data_centre: data centre of this process.
            config: the configuration in force.
            fleet: the minions that accept new requests.
            refresh_after_pause: that of ``fleet_refresher.FleetRefresher``.
            peer_in_flight: returns the requests that all other entries have in
                flight, by minion instance.
            live_entries: returns the names of the live entries, this one first.
            client: sends requests to minions.
            claims: ensures that a non-idempotent request with a key runs at
                most once.
            metrics: counts replies and records durations.
            boot_id: random id of this start of the process.
            send_loan_message: sends a message about slot loans without
                blocking.
        """
        self._clock = clock
        self._config = config
        self._fleet = fleet
        self._claims = claims
        self._metrics = metrics
        self._dispatcher = dispatch.Dispatcher(
            clock,
            rng,
            slot_allocator.SlotAllocator(
                rng,
                data_centre,
                config,
                fleet,
                peer_in_flight,
                live_entries,
                boot_id,
            ),
            send_loan_message,
        )
        self._sender = request_sender.RequestSender(
            clock, fleet, refresh_after_pause, client, metrics.counters
        )
        self._in_flight = 0

    @property
    def in_flight_by_minion(self) -> Mapping[str, int]:
        """This process's requests in flight, by minion instance, for peers."""
        return self._dispatcher.in_flight_by_minion

    @property
    def in_flight(self) -> int:
        """Number of requests without a reply yet."""
        return self._in_flight

    def handle_peer_message(self, message: slot_lending.LoanMessage) -> None:
        """Queues a peer's message about slot loans; never blocks."""
        self._dispatcher.handle_peer_message(message)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the dispatcher that ``handle`` needs until the block exits."""
        with self._dispatcher.running():
            yield

    def handle(self, incoming: requests.RawRequest) -> requests.Reply:
        """Returns the complete answer to a request, or the final refusal."""
        self._in_flight += 1
        try:
            return self._handle(incoming)
        finally:
            self._in_flight -= 1

    def _handle(self, incoming: requests.RawRequest) -> requests.Reply:
        config = self._config.config
        if config is None or not self._fleet.is_loaded:
            return self._count_reply(_NOT_READY)
        wall_ms = int(self._clock.wall() * 1000)
        request = request_validation.validate(
            incoming, config, self._clock.monotonic(), wall_ms
        )
        if isinstance(request, requests.Refusal):
            return self._count_reply(request)
        configured = request_sender.ConfiguredRequest(request, config)
        reply = (
            self._claim_and_deliver(configured)
            if request.idempotency_key
            else self._deliver(configured)
        )
        elapsed_s = self._clock.monotonic() - incoming.received_at
        self._metrics.record(
            request.request_class, request.caller, int(elapsed_s * 1_000_000)
        )
        return self._count_reply(reply)

    def _deliver(
        self,
        configured: request_sender.ConfiguredRequest,
        history: request_sender.AttemptHistory | None = None,
    ) -> requests.Reply:
        admission = self._dispatcher.admit(
            configured.request, configured.definition
        )
        with admission as (slot, minion):
            if isinstance(minion, requests.Refusal):
                return minion
            return self._sender.deliver(
                configured,
                slot,
                minion,
                history or request_sender.AttemptHistory(),
            )

    def _claim_and_deliver(
        self, configured: request_sender.ConfiguredRequest
    ) -> requests.Reply:
        """Delivers a request under a claim on its idempotency key.

        The claim is written before a slot is taken. Otherwise, while the table
        is slow, requests with a key would hold all slots and block the others.
        A request that would be refused anyway is refused before the claim, so
        that overload causes no writes.
        """
        refusal = self._dispatcher.forecast(
            configured.request, configured.definition
        )
        if refusal:
            return refusal
        begun = self._claims.begin(configured.request)
        match begun:
            case claims_lib.Replay(answer):
                return answer
            case requests.Refusal():
                return begun
            case claims_lib.ClaimGranted(ticket):
                return self._deliver_claimed(ticket, configured)

    def _deliver_claimed(
        self, ticket: str, configured: request_sender.ConfiguredRequest
    ) -> requests.Reply:
        history = request_sender.AttemptHistory()
        try:
            reply = self._deliver(configured, history)
        except BaseException:
            # The task was killed because the caller disconnected or the
            # process is stopping. If the claim stayed open, retries would
            # be answered "unknown" though the request may not have been sent.
            if history.attempts.may_have_run:
                self._claims.mark_unknown(ticket)
            else:
                self._claims.release(ticket)
            raise
        if isinstance(reply, requests.Refusal):
            self._close_claim(ticket, reply)
        else:
            self._claims.complete(ticket, reply)
        return reply

    def _close_claim(self, ticket: str, refusal: requests.Refusal) -> None:
        if refusal.outcome is requests.Outcome.NOT_RUN:
            self._claims.release(ticket)
        else:
            self._claims.mark_unknown(ticket)

    def _count_reply(self, reply: requests.Reply) -> requests.Reply:
        counters = self._metrics.counters
        if isinstance(reply, requests.Refusal):
            counters.add(f"replies.{reply.outcome}.{reply.code}")
        else:
            counters.add("replies.answer")
        return reply


_NOT_READY = requests.Refusal(
    requests.Outcome.NOT_RUN,
    503,
    "not-ready",
    "This process has no configuration or no list of minions yet.",
    NOT_READY_RETRY_AFTER_S,
)
