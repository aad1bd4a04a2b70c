"""Loans of slots when processes and messages fail."""

import random

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.coordination.entry import slot_loans
from vanillaswitch.protocol import peers
from vanillaswitch.state import config
from vanillaswitch.state import config_view

LOAN_TERM_S = slot_loans.LOAN_TERM_S


def _pair():
    return slot_loans.LoanTracker("a", "a"), slot_loans.LoanTracker("b", "b")


def test_the_slot_lent_to_a_dead_borrower_is_recovered():
    """Guards against an entry that loses slots whenever another entry dies.

    An entry borrows a slot and is killed, so it never returns it. Without a
    term the lender would lack the slot for good.
    """
    borrower, lender = _pair()
    lender.lend(borrower.new_request("berthing", 1, 0, 0.0), ("m0",), 0.0)
    lender.expire(LOAN_TERM_S - 0.1)
    assert lender.net_loans == {"m0": -1}
    lender.expire(LOAN_TERM_S)
    assert not lender.net_loans


def test_a_late_grant_expires_at_borrower_and_lender_at_the_same_time():
    """Guards against a minion that gets more requests than it has slots.

    A grant is delayed on a slow stream for most of its term. A borrower that
    counted the term from the arrival would still use the slot after the loan
    has expired at the lender.
    """
    borrower, lender = _pair()
    grant = lender.lend(
        borrower.new_request("berthing", 1, 0, 0.0), ("m0",), 0.0
    )
    borrower.handle_grant(grant, LOAN_TERM_S - 0.5)
    lender.expire(LOAN_TERM_S)
    borrower.expire(LOAN_TERM_S)
    assert not borrower.net_loans
    assert not lender.net_loans


def test_a_duplicate_grant_counts_once():
    """Guards against a minion that gets more requests than it has slots.

    The slot was used and returned before a copy of its grant arrives.
    """
    borrower, lender = _pair()
    grant = lender.lend(
        borrower.new_request("berthing", 1, 0, 0.0), ("m0",), 0.0
    )
    borrower.handle_grant(grant, 0.1)
    (slot_return,) = borrower.return_idle(
        "berthing", {"m0": 1}, None, 0.2
    ).values()
    lender.handle_return(slot_return)
    lender.handle_return(slot_return)
    borrower.handle_grant(grant, 0.3)
    assert not borrower.net_loans
    assert not lender.net_loans


def test_a_duplicate_loan_request_is_granted_once():
    """Guards against an entry that runs out of slots with few requests.

    Streams are slow and loan requests arrive twice. Each copy would take a
    slot for a whole term, since the borrower ignores the second grant.
    """
    borrower, lender = _pair()
    ask = borrower.new_request("berthing", 1, 0, 0.0)
    assert lender.lend(ask, ("m0", "m0"), 0.0).instances == ("m0",)
    assert lender.lend(ask, ("m0", "m0"), 0.1).instances == ()
    assert lender.net_loans == {"m0": -1}


def test_an_overloaded_lender_serves_its_own_requests_first():
    """Guards against requests that wait although their entry has free slots.

    Two entries are overloaded by reports. Each slot that becomes free at one
    would be lent to the other, whose requests are not more urgent.
    """
    rig = request_path_harness.RequestPathHarness()
    view = config_view.ConfigView()
    policies = config.Policies(routing="lent-share")
    loaded = request_path_harness.make_config()
    view.offer(
        1, "d", config.Config({}, {}, loaded.services, policies=policies)
    )
    allocator = slot_allocator.SlotAllocator(
        random.Random(1),
        "recife",
        view,
        rig.fleet,
        dict,
        lambda: ("a", "b"),
    )
    queue = admission.ServiceQueue()
    lender = slot_lending.SlotLending(
        random.Random(1), allocator, lambda _: queue
    )
    report = loaded.classes["report"]
    arrival = class_queues.QueuedRequest(1, "report", report, 0.0, 1e6)
    queue.enqueue(arrival, admission.SlotCounts(8, 0), 0.0)

    def granted_instances(number: int, priority: int) -> tuple[str, ...]:
        ask = peers.SlotAsk("b", f"b-{number}", "berthing", 1, priority)
        _, (envelope,) = lender.handle_message(ask, 0.0)
        assert isinstance(envelope.message, peers.SlotGrant)
        return envelope.message.instances

    assert not granted_instances(1, report.priority)
    assert granted_instances(2, report.priority - 1)
