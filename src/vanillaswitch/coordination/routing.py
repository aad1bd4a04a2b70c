"""Chooses the minion that gets a request.

A policy says how many more requests it would send to a minion (``room``) and
which of the minions with room it prefers (``choose``).
"""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from vanillaswitch.internal import registry
from vanillaswitch.protocol import minions as minions_lib

DEFAULT_POLICY = "two-choices"


@dataclasses.dataclass(frozen=True)
class Loads:
    """Requests in flight by minion instance; absent means zero.

    Attributes:
        own: sent by this process.
        peers: sent by all other entries, as last heard.
        entries: how many entries share the minions, this one included.
    """

    own: Mapping[str, int]
    peers: Mapping[str, int]
    entries: int = 1

    def of(self, minion: minions_lib.Minion) -> int:
        """Returns all requests known to be in flight at a minion."""
        name = minion.instance
        return self.own.get(name, 0) + self.peers.get(name, 0)


class Policy(Protocol):
    """One way to share the minions."""

    def room(self, minion: minions_lib.Minion, loads: Loads) -> int:
        """Returns how many more requests may be sent to a minion."""

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: Loads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        """Returns one of the candidates, each of which has room."""


policies: registry.Registry[Policy] = registry.Registry("routing policy")


def room(policy: Policy, minion: minions_lib.Minion, loads: Loads) -> int:
    """Returns the free slots of a minion under a policy, 0 or more.

    Whatever the policy says, no more than the minion's slots are known to be
    in flight: beyond them, requests would wait where nothing sees them.
    """
    free = minion.slots - loads.of(minion)
    return max(0, min(free, policy.room(minion, loads)))


def pick(
    policy: Policy,
    minions: Sequence[minions_lib.Minion],
    loads: Loads,
    excluded: Collection[str],
    data_centre: str,
    rng: random.Random,
) -> minions_lib.Minion | None:
    """Returns the minion to send to, or None when no slot is known free.

    Args:
        policy: how to choose.
        minions: those that may get new work.
        loads: requests in flight.
        excluded: instances that must not be chosen.
        data_centre: where this process runs; near minions win ties.
        rng: random source.
    """
    candidates = [
        minion
        for minion in minions
        if minion.instance not in excluded and room(policy, minion, loads) > 0
    ]
    if not candidates:
        return None
    return policy.choose(candidates, loads, data_centre, rng)


class _TwoChoices:
    """Of two random minions, the one with the least load.

    Loads of peers are up to a heartbeat old. Always taking the least loaded
    would send every entry to the same minion until the next heartbeat; two
    random choices avoid that and still keep the load even.
    """

    def room(self, minion: minions_lib.Minion, loads: Loads) -> int:
        return minion.slots - loads.of(minion)

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: Loads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        drawn = rng.sample(candidates, min(2, len(candidates)))
        return min(
            drawn,
            key=lambda minion: (
                loads.of(minion),
                minion.data_centre != data_centre,
            ),
        )


class _FixedShare:
    """Each entry uses its share of each minion's slots, and no more.

    The share is at least one slot: with more entries than slots, the minions
    may be over-subscribed within what loads of peers do not show yet.
    """

    def room(self, minion: minions_lib.Minion, loads: Loads) -> int:
        share = max(1, minion.slots // max(1, loads.entries))
        return share - loads.own.get(minion.instance, 0)

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: Loads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        return min(
            candidates,
            key=lambda minion: (
                loads.own.get(minion.instance, 0),
                minion.data_centre != data_centre,
                rng.random(),
            ),
        )


policies.register(DEFAULT_POLICY)(_TwoChoices())
policies.register("fixed-share")(_FixedShare())
