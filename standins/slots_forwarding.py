"""One owner for each minion: entries forward calls to the owner.

The owner is the living entry with the highest rendezvous hash, as the entry
that forwards sees it. The owner counts exactly and queues the calls; views of
who lives may differ for a while, and then two entries count for one minion.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
import random

from standins import slots_entry
from standins import slots_world
from vanillaswitch.coordination.entry import routing
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import requests

POLICY = "owner-forwards"
MAX_FORWARDS = 3


def owner_of(minion: str, entries: Sequence[str]) -> str:
    """Returns the entry with the highest hash for a minion."""
    return max(entries, key=lambda entry: _hash(f"{entry}/{minion}"))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


class OwnerPolicy:
    """Uses all slots of the minions that an entry owns, and no others."""

    def slot_limit(
        self, minion: minions_lib.Minion, loads: routing.MinionLoads
    ) -> int:
        """Returns all slots of a minion that we own, none of another."""
        owner = owner_of(minion.instance, loads.live_entries)
        return minion.slots if owner == loads.live_entries[0] else 0

    def free_slots(
        self, minion: minions_lib.Minion, loads: routing.MinionLoads
    ) -> int:
        """Returns the free slots of a minion, by our own count alone."""
        used = loads.own_in_flight.get(minion.instance, 0)
        return self.slot_limit(minion, loads) - used

    def choose(
        self,
        candidates: Sequence[minions_lib.Minion],
        loads: routing.MinionLoads,
        data_centre: str,
        rng: random.Random,
    ) -> minions_lib.Minion:
        """Returns the least loaded, a near one and then any on ties."""
        return min(
            candidates,
            key=lambda minion: (
                loads.own_in_flight.get(minion.instance, 0),
                minion.data_centre != data_centre,
                rng.random(),
            ),
        )


routing.POLICY_REGISTRY.register(POLICY)(OwnerPolicy())


class Forwarder:
    """Sends a call on to the owner of one of two minions, the less loaded."""

    def __init__(
        self,
        events: slots_world.Events,
        rng: random.Random,
        entries: Mapping[str, slots_entry.EntryModel],
        minions: Sequence[str],
    ):
        self._events = events
        self._rng = rng
        self._entries = entries
        self._minions = minions
        self._out: dict[tuple[str, str], int] = {}

    def take(
        self,
        entry: slots_entry.EntryModel,
        call: slots_world.Call,
        reply: Callable[[requests.Refusal | None], None],
        tries: int = MAX_FORWARDS,
    ) -> None:
        """Takes a call at the entry that its caller asked."""
        drawn = self._rng.sample(self._minions, 2)
        minion = min(drawn, key=lambda one: self._load(entry, one))
        name = owner_of(minion, (entry.name, *entry.living))
        owner = self._entries[name]
        way = slots_world.latency_s(entry.data_centre, owner.data_centre)
        self._add(entry.name, minion, 1)

        def back(refusal: requests.Refusal | None) -> None:
            def arrive() -> None:
                self._add(entry.name, minion, -1)
                reply(refusal)

            self._events.after(way, arrive)

        def again() -> None:
            self._add(entry.name, minion, -1)
            self.take(entry, call, reply, tries - 1)

        def reach() -> None:
            if not owner.killed:
                owner.take(call, back)
            elif tries:
                self._events.after(way, again)
            else:
                back(slots_entry.ENDED)

        self._events.after(0.0 if owner is entry else way, reach)

    def _load(self, entry: slots_entry.EntryModel, minion: str) -> int:
        known = entry.peer_loads.get(minion, 0)
        return known + self._out.get((entry.name, minion), 0)

    def _add(self, entry: str, minion: str, count: int) -> None:
        key = (entry, minion)
        self._out[key] = self._out.get(key, 0) + count
