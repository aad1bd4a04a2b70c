"""A minion dies and refuses every connection."""

import random

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import retry
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.state import config_view

_NO_EXCLUSIONS: frozenset[str] = frozenset()
_ANSWERED = slot_allocator.AttemptResult.ANSWERED
_FAILED = slot_allocator.AttemptResult.FAILED


def _make_allocator(
    minions_up: int, slots: int = 2
) -> slot_allocator.SlotAllocator:
    rig = request_path_harness.RequestPathHarness(minions_up=minions_up)
    view = config_view.ConfigView()
    view.offer(1, "d", request_path_harness.make_config(slots_per_minion=slots))
    return slot_allocator.SlotAllocator(
        random.Random(1), "recife", view, rig.fleet, dict, lambda: ("a",)
    )


def _fail_until_suspected(
    allocator: slot_allocator.SlotAllocator, name: str, now: float
) -> None:
    """Fails requests at one minion until it is suspected."""
    for _ in range(retry.FAILURES_TO_SUSPECT):
        taken = allocator.allocate("berthing", _NO_EXCLUSIONS, now)
        while taken.instance != name:
            allocator.release(taken, _ANSWERED, now, now)
            taken = allocator.allocate("berthing", _NO_EXCLUSIONS, now)
        allocator.release(taken, _FAILED, now, now)


def test_the_slots_of_a_dead_minion_are_not_free():
    """Guards against a dead minion that attracts most of the requests.

    It fails each request immediately and so always has the most free slots.
    Whenever the other minions are busy, new requests are sent there and fail,
    faster than the retry budget can cover. With one of six minions dead, a
    third of all quotes was refused.
    """
    allocator = _make_allocator(2)
    _fail_until_suspected(allocator, "m1", 0.0)
    assert allocator.count_slots("berthing", 0.0).free == 2
    for _ in range(2):
        assert (
            allocator.allocate("berthing", _NO_EXCLUSIONS, 0.0).instance == "m0"
        )
    assert allocator.count_slots("berthing", 0.0).free == 0
    assert allocator.allocate("berthing", _NO_EXCLUSIONS, 0.0) is None


def test_a_dead_minion_gets_one_probe_at_a_time_until_it_answers():
    """Guards against a burst of failures each second while a minion is dead.

    A suspected minion is tried again after a while. Without a limit, all
    requests that wait then would be sent to it.
    """
    allocator = _make_allocator(2)
    _fail_until_suspected(allocator, "m1", 0.0)
    probe_at = retry.SUSPECT_BACKOFF_S
    assert allocator.count_slots("berthing", probe_at).free == 3
    taken = [
        allocator.allocate("berthing", _NO_EXCLUSIONS, probe_at)
        for _ in range(3)
    ]
    probes = [minion for minion in taken if minion.instance == "m1"]
    assert len(probes) == 1
    assert allocator.allocate("berthing", _NO_EXCLUSIONS, probe_at) is None
    allocator.release(probes[0], _FAILED, probe_at, probe_at)
    assert allocator.count_slots("berthing", probe_at).free == 0
    second_probe_at = 2 * retry.SUSPECT_BACKOFF_S
    probe = allocator.allocate("berthing", _NO_EXCLUSIONS, second_probe_at)
    allocator.release(probe, _ANSWERED, second_probe_at, second_probe_at)
    assert allocator.count_slots("berthing", second_probe_at).free == 2


def test_requests_still_get_slots_when_all_minions_fail():
    """Guards against requests that wait for a slot until their deadline.

    If all minions are suspected, they still get requests, so that callers get
    the failure immediately.
    """
    allocator = _make_allocator(1)
    _fail_until_suspected(allocator, "m0", 0.0)
    assert allocator.count_slots("berthing", 0.0).free == 2
    assert allocator.allocate("berthing", _NO_EXCLUSIONS, 0.0).instance == "m0"


def test_the_slot_of_an_abandoned_request_is_not_free_immediately():
    """Guards against requests that pile up at a slow minion.

    Requests time out while the minion still works on them. If their slots were
    free immediately, new requests would be sent on top of them.
    """
    allocator = _make_allocator(1)
    for _ in range(2):
        taken = allocator.allocate("berthing", _NO_EXCLUSIONS, 0.0)
    allocator.release(taken, slot_allocator.AttemptResult.UNKNOWN, 0.0, 0.4)
    assert allocator.count_slots("berthing", 0.7).free == 0
    assert allocator.count_slots("berthing", 0.8).free == 1
    taken = allocator.allocate("berthing", _NO_EXCLUSIONS, 0.8)
    released_at = 0.8 + 2 * slot_allocator.MAX_ABANDONED_S
    allocator.release(
        taken, slot_allocator.AttemptResult.UNKNOWN, 0.8, released_at
    )
    assert (
        allocator.count_slots(
            "berthing", released_at + slot_allocator.MAX_ABANDONED_S
        ).free
        == 1
    )


def test_a_retry_may_use_the_slot_of_its_own_lost_attempt():
    """Guards against a retry that is refused because all slots are busy.

    After an attempt on a dead connection, the quote still holds its slot at the
    minion. It may use this slot for a new connection to the same minion.
    """
    allocator = _make_allocator(1, slots=1)
    taken = allocator.allocate("berthing", _NO_EXCLUSIONS, 0.0, 7)
    allocator.release(taken, slot_allocator.AttemptResult.UNKNOWN, 0.0, 0.5, 7)
    assert allocator.allocate("berthing", _NO_EXCLUSIONS, 0.5, 8) is None
    assert allocator.allocate("berthing", frozenset({"m0"}), 0.5, 7) is None
    assert allocator.allocate("berthing", _NO_EXCLUSIONS, 0.5, 7) == taken
    allocator.release(taken, _ANSWERED, 0.5, 0.6, 7)
    assert allocator.count_slots("berthing", 0.6).free == 1
