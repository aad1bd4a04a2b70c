"""Loans of slots between entries.

Each slot of a minion belongs to one entry (``routing.slot_share``). An entry
with queued requests asks a peer for idle slots. A loan expires at the lender,
so a dead borrower or a lost message costs the slot for a bounded time only.
The borrower counts the term of a loan from when it sent its loan request, and
starts no requests on the loan in the last part of the term. So, however slow
the messages were, the lender still counts the slot as lent for as long as the
borrower's requests usually run. Clocks of different processes are never
compared.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from vanillaswitch.protocol import peers

BORROWER_USE_S = 0.5
"""Time since the loan request in which a borrower may use a loan."""

LOAN_TERM_S = 3.0
"""Time after which a loan expires at the lender."""

REQUEST_TIMEOUT_S = 0.1
MAX_SLOTS_PER_REQUEST = 4
"""Most slots in one loan request."""

REFUSALS_BEFORE_BACKOFF = 1
"""Refusals in a row after which the next loan request is delayed."""

MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.1


@dataclasses.dataclass(frozen=True)
class _Loan:
    """A loan of one slot.

    Attributes:
        service: of the minion.
        instance: the minion.
        peer: the lender or the borrower.
        priority: of the client request that needed the slot.
        use_until: when the borrower stops starting requests on it.
        ends_at: when it expires.
    """

    service: str
    instance: str
    peer: str
    priority: int
    use_until: float
    ends_at: float


@dataclasses.dataclass(frozen=True)
class _RequestState:
    """State of the loan requests for one service.

    Attributes:
        ask: id of the loan request in flight; empty for none.
        priority: of the client request that it was sent for.
        sent: when the last loan request was sent.
        refused: number of refusals in a row.
        not_before: when the next one may be sent.
    """

    ask: str = ""
    priority: int = 0
    sent: float = 0.0
    refused: int = 0
    not_before: float = 0.0


class LoanTracker:
    """The loans of one process, in both directions; used by a single task."""

    def __init__(self, process: str, boot: str):
        """Initializes a tracker without loans.

        Args:
            process: name of this process, for the peers.
            boot: random id of this process start; makes the ids of loan
                requests unique.
        """
        self._process = process
        self._boot = boot
        self._request_count = 0
        self._requests: dict[str, _RequestState] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._lent: dict[str, _Loan] = {}
        self._net_loans: dict[str, int] = {}

    @property
    def net_loans(self) -> Mapping[str, int]:
        """Slots borrowed minus slots lent, by minion instance."""
        return self._net_loans

    def has_borrowed(self, service: str) -> bool:
        """Whether any slot of a service is borrowed."""
        return any(loan.service == service for loan in self._borrowed.values())

    def may_request(self, service: str, priority: int, now: float) -> bool:
        """Whether a loan request for a service may be sent now.

        Refusals of a less urgent one do not delay a more urgent one, because
        peers lend their reserved slots to urgent requests.
        """
        state = self._requests.get(service, _RequestState())
        if state.ask and now < state.sent + REQUEST_TIMEOUT_S:
            return False
        return now >= state.not_before or priority < state.priority

    def new_request(
        self, service: str, slots: int, priority: int, now: float
    ) -> peers.SlotAsk:
        """Creates the next loan request; the caller has to send it."""
        self._request_count += 1
        ask = f"{self._boot}-{self._request_count}"
        state = self._requests.get(service, _RequestState())
        refused = state.refused if priority >= state.priority else 0
        self._requests[service] = _RequestState(ask, priority, now, refused)
        count = min(slots, MAX_SLOTS_PER_REQUEST)
        return peers.SlotAsk(self._process, ask, service, count, priority)

    def lend(
        self, ask: peers.SlotAsk, idle: Sequence[str], now: float
    ) -> peers.SlotGrant:
        """Lends idle slots; a duplicate loan request gets none.

        Args:
            ask: the loan request.
            idle: an instance for each idle slot, the most idle first.
            now: monotonic seconds.
        """
        granted_instances = tuple(
            idle[: max(0, min(ask.slots, MAX_SLOTS_PER_REQUEST))]
        )
        if _loan_id(ask.ask, 0) in self._lent:
            granted_instances = ()
        for index, instance in enumerate(granted_instances):
            self._lent[_loan_id(ask.ask, index)] = _Loan(
                ask.service,
                instance,
                ask.process,
                ask.priority,
                now,
                now + LOAN_TERM_S,
            )
        self._update_net_loans()
        return peers.SlotGrant(
            self._process, ask.ask, ask.service, granted_instances
        )

    def handle_grant(self, grant: peers.SlotGrant, now: float) -> bool:
        """Records a grant; returns whether it contains usable slots.

        A late or duplicate grant, for a loan request that is no longer in
        flight, is not used; its loans expire at the lender.
        """
        state = self._requests.get(grant.service, _RequestState())
        if state.ask != grant.ask:
            return False
        if not grant.instances:
            self._requests[grant.service] = _with_refusal(state, now)
            return False
        self._requests[grant.service] = _RequestState()
        for index, instance in enumerate(grant.instances):
            self._borrowed[_loan_id(grant.ask, index)] = _Loan(
                grant.service,
                instance,
                grant.process,
                state.priority,
                state.sent + BORROWER_USE_S,
                state.sent + LOAN_TERM_S,
            )
        self._update_net_loans()
        return True

    def return_idle(
        self,
        service: str,
        free_slots: Mapping[str, int],
        waiting: int | None,
        now: float,
    ) -> dict[str, peers.SlotReturn]:
        """Returns idle loans of a service to their lenders.

        A loan is kept while requests are queued that are at least as urgent
        as the one it was borrowed for. If less urgent ones kept it, it would
        be idle in the borrower's reserve while the lender lacks it.

        Args:
            service: whose loans.
            free_slots: by instance, own and borrowed ones together.
            waiting: priority of the most urgent queued request, if any.
            now: monotonic seconds.

        Returns:
            The message to each lender.
        """
        idle_slots = dict(free_slots)
        returned: dict[str, list[str]] = {}
        for loan_id, loan in list(self._borrowed.items()):
            if loan.service != service or idle_slots.get(loan.instance, 0) <= 0:
                continue
            is_needed = waiting is not None and waiting <= loan.priority
            if is_needed and now < loan.use_until:
                continue
            idle_slots[loan.instance] -= 1
            returned.setdefault(loan.peer, []).append(loan_id)
            del self._borrowed[loan_id]
        self._update_net_loans()
        return {
            lender: peers.SlotReturn(self._process, tuple(ids))
            for lender, ids in returned.items()
        }

    def handle_return(self, message: peers.SlotReturn) -> frozenset[str]:
        """Ends the returned loans; returns their services."""
        taken = _pop_loans(self._lent, message.loans)
        self._update_net_loans()
        return frozenset(loan.service for loan in taken)

    def expire(self, now: float) -> None:
        """Ends expired loans in both directions."""
        for loans in (self._borrowed, self._lent):
            expired = [
                one for one, loan in loans.items() if now >= loan.ends_at
            ]
            if expired:
                _pop_loans(loans, expired)
                self._update_net_loans()

    def _update_net_loans(self) -> None:
        net_loans: dict[str, int] = {}
        for loan in self._borrowed.values():
            net_loans[loan.instance] = net_loans.get(loan.instance, 0) + 1
        for loan in self._lent.values():
            net_loans[loan.instance] = net_loans.get(loan.instance, 0) - 1
        self._net_loans = net_loans


def _loan_id(ask: str, index: int) -> str:
    return f"{ask}/{index}"


def _pop_loans(loans: dict[str, _Loan], ids: Iterable[str]) -> list[_Loan]:
    return [loans.pop(one) for one in ids if one in loans]


def _with_refusal(state: _RequestState, now: float) -> _RequestState:
    """Returns the state after a refusal, with exponential backoff.

    Under overload no peer has an idle slot, and loan requests without backoff
    would take processor time from client requests.
    """
    refused = state.refused + 1
    backoff_s = 0.0
    if refused >= REFUSALS_BEFORE_BACKOFF:
        uncapped_s = MIN_BACKOFF_S * 2.0 ** (refused - REFUSALS_BEFORE_BACKOFF)
        backoff_s = min(MAX_BACKOFF_S, uncapped_s)
    # Bounds the count; the backoff is at its maximum by then.
    refused = min(refused, REFUSALS_BEFORE_BACKOFF + 8)
    return _RequestState(
        "", state.priority, state.sent, refused, now + backoff_s
    )
