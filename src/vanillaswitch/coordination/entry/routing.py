"""Chooses the minion for a request.

A policy defines how many requests this process may have in flight at a minion
(``slot_limit``), how many more it may send now (``free_slots``) and which of
the minions with free slots it prefers (``choose``).
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools
import hashlib
import random
from typing import Protocol

from vanillaswitch.internal import registry
from vanillaswitch.protocol import minions as minions_lib

DEFAULT_POLICY = "lent-share"


@dataclasses.dataclass(frozen=True)
class MinionLoads:
    """Use of the minions' slots by instance; absent instances mean zero.

    Attributes:
        own_in_flight: requests in flight, sent by this process.
        peer_in_flight: requests in flight of all other entries, as last
            reported.
        live_entries: the live entries, this process first.
        net_loans: slots borrowed from peers minus slots lent to them.
    """

    own_in_flight: Mapping[str, int]
    peer_in_flight: Mapping[str, int]
    live_entries: tuple[str, ...] = ("",)
    net_loans: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def in_flight_at(self, minion: minions_lib.Minion) -> int:
        """Returns the number of known requests in flight at a minion."""
        name = minion.instance
        return self.own_in_flight.get(name, 0) + self.peer_in_flight.get(
            name, 0
        )


class RoutingPolicy(Protocol):
    """A way to share the minions' slots among entries."""

    def slot_limit(
        self, minion: minions_lib.Minion, loads: MinionLoads, /
    ) -> int:
        """Returns how many of a minion's slots this process may use."""

    def free_slots(self, minion: minions_lib.Minion, loads: MinionLoads) -> int:
        """Returns the number of free slots; negative if overcommitted."""

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: MinionLoads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        """Returns one of the candidates, each of which has a free slot."""


POLICY_REGISTRY: registry.Registry[RoutingPolicy] = registry.Registry(
    "routing policy"
)


def free_slots(
    policy: RoutingPolicy, minion: minions_lib.Minion, loads: MinionLoads
) -> int:
    """Returns the free slots of a minion under a policy, 0 or more."""
    return max(0, policy.free_slots(minion, loads))


def pick_minion(
    policy: RoutingPolicy,
    minions: Sequence[minions_lib.Minion],
    loads: MinionLoads,
    excluded: Collection[str],
    data_centre: str,
    rng: random.Random,
) -> minions_lib.Minion | None:
    """Returns the minion to send to; None if no slot is known to be free.

    Args:
        policy: how to choose.
        minions: those that may get new work.
        loads: use of their slots.
        excluded: instances that must not be chosen.
        data_centre: where this process runs; its minions win ties.
        rng: random source.
    """
    candidates = [
        minion
        for minion in minions
        if minion.instance not in excluded
        and free_slots(policy, minion, loads) > 0
    ]
    if not candidates:
        return None
    return policy.choose(candidates, loads, data_centre, rng)


@functools.lru_cache(maxsize=4096)
def slot_share(instance: str, slots: int, entries: tuple[str, ...]) -> int:
    """Returns the number of a minion's slots that belong to the first entry.

    Slots are divided evenly, and the remainder goes by rendezvous hashing. So
    all processes that see the same entries assign each slot to the same one,
    and few slots change owners when the set of entries changes.
    """
    even_share, remainder = divmod(slots, len(entries))
    if not remainder:
        return even_share
    ranked = sorted(entries, key=lambda name: _rendezvous_hash(name, instance))
    return even_share + (ranked.index(entries[0]) < remainder)


def _rendezvous_hash(entry: str, instance: str) -> bytes:
    text = f"{entry}/{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _TwoChoices:
    """Chooses the less loaded of two random minions.

    Loads of peers are up to one heartbeat interval old, in which dozens of
    requests finish. So entries that see the same free slots may fill them at
    the same time.
    """

    def slot_limit(
        self, minion: minions_lib.Minion, _loads: MinionLoads
    ) -> int:
        return minion.slots

    def free_slots(self, minion: minions_lib.Minion, loads: MinionLoads) -> int:
        return minion.slots - loads.in_flight_at(minion)

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: MinionLoads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        sampled = rng.sample(candidates, min(2, len(candidates)))
        return min(
            sampled,
            key=lambda minion: (
                loads.in_flight_at(minion),
                minion.data_centre != data_centre,
            ),
        )


class _FixedShare:
    """Limits each entry to its share of each minion's slots.

    The loads of peers are ignored on purpose: they are up to a second old, and
    do not affect the slots in this process's share.
    """

    def slot_limit(self, minion: minions_lib.Minion, loads: MinionLoads) -> int:
        return slot_share(minion.instance, minion.slots, loads.live_entries)

    def free_slots(self, minion: minions_lib.Minion, loads: MinionLoads) -> int:
        used = loads.own_in_flight.get(minion.instance, 0)
        return self.slot_limit(minion, loads) - used

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: MinionLoads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        return min(
            candidates,
            key=lambda minion: (
                loads.own_in_flight.get(minion.instance, 0),
                minion.data_centre != data_centre,
                rng.random(),
            ),
        )


class _LentShare(_FixedShare):
    """A fixed share, plus whole slots lent between entries on demand."""

    def slot_limit(self, minion: minions_lib.Minion, loads: MinionLoads) -> int:
        net_lent = loads.net_loans.get(minion.instance, 0)
        return super().slot_limit(minion, loads) + net_lent


LENT_SHARE_POLICY = DEFAULT_POLICY
POLICY_REGISTRY.register("two-choices")(_TwoChoices())
POLICY_REGISTRY.register("fixed-share")(_FixedShare())
POLICY_REGISTRY.register(LENT_SHARE_POLICY)(_LentShare())
