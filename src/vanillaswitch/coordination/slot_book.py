"""Counts this process's requests at each minion and picks minions."""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import random

from vanillaswitch import errors
from vanillaswitch.coordination import admission
from vanillaswitch.coordination import fleet_view
from vanillaswitch.coordination import retry
from vanillaswitch.coordination import routing
from vanillaswitch.coordination import slot_loans
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.state import config_view


class Verdict(enum.Enum):
    """What a request learnt of the minion that it was given."""

    ANSWERED = "answered"
    FAILED = "failed"
    DECLINED = "declined"
    UNUSED = "unused"
    UNCLEAR = "unclear"


class SlotBook:
    """Owned by one task; its methods never let another task run."""

    def __init__(
        self,
        rng: random.Random,
        data_centre: str,
        config: config_view.ConfigView,
        fleet: fleet_view.FleetView,
        peer_loads: Callable[[], Mapping[str, int]],
        entries: Callable[[], tuple[str, ...]],
        boot: str = "",
    ):
        """Makes a book without any request.

        Args:
            rng: random source.
            data_centre: where this process runs.
            config: the configuration in force.
            fleet: the minions that may get new work.
            peer_loads: returns the requests that all other entries have in
                flight, by minion instance.
            entries: returns the living entries, this one first.
            boot: random id of this start.
        """
        self._rng = rng
        self._data_centre = data_centre
        self._config = config
        self._fleet = fleet
        self._peer_loads = peer_loads
        self._entries = entries
        self._own: dict[str, int] = {}
        self._suspicion = retry.Suspicion()
        self._loans = slot_loans.LoanBook(entries()[0], boot)

    @property
    def loads(self) -> Mapping[str, int]:
        """Own requests in flight by minion instance."""
        return dict(self._own)

    @property
    def loans(self) -> slot_loans.LoanBook:
        """Slots borrowed from and lent to peers."""
        return self._loans

    @property
    def entries(self) -> tuple[str, ...]:
        """The living entries, this one first."""
        return self._entries()

    @property
    def policy_name(self) -> str:
        """Name of the routing policy in force."""
        config = self._config.config
        if config is None:
            raise errors.InvariantError("a request has no configuration")
        name = config.policies.routing
        # During a rolling upgrade, an older program may be given the name of
        # a policy that only newer ones have.
        if name not in routing.policies.names:
            return routing.DEFAULT_POLICY
        return name

    def rooms(self, service: str, now: float) -> Mapping[str, int]:
        """Returns how many more requests each minion may be sent."""
        self._loans.expire(now)
        policy, loads = self._policy(), self._loads()
        return {
            minion.instance: routing.room(policy, minion, loads)
            for minion in self._minions(service, now)
        }

    def count(self, service: str, now: float) -> admission.Slots:
        """Returns the slots of a service as they are known now."""
        minions = self._minions(service, now)
        if not minions:
            return admission.Slots(0, 0)
        self._loans.expire(now)
        policy, loads = self._policy(), self._loads()
        rooms = (routing.room(policy, minion, loads) for minion in minions)
        limits = (policy.limit(minion, loads) for minion in minions)
        total = sum(minion.slots for minion in minions)
        return admission.Slots(total, sum(rooms), usable=sum(limits))

    def take(
        self, service: str, excluded: frozenset[str], now: float
    ) -> minions_lib.Minion | None:
        """Takes a slot at a minion that is not excluded, if any is free.

        A minion under suspicion is taken when no other has room.
        """
        minions = self._minions(service, now)
        if not minions:
            return None
        policy, loads = self._policy(), self._loads()
        suspects = self._suspicion.suspects(now)
        for avoided in (excluded | suspects, excluded):
            picked = routing.pick(
                policy, minions, loads, avoided, self._data_centre, self._rng
            )
            if picked is not None:
                name = picked.instance
                self._own[name] = self._own.get(name, 0) + 1
                return picked
        return None

    def release(
        self, minion: minions_lib.Minion, verdict: Verdict, now: float
    ) -> None:
        """Frees a slot and notes what was learnt of the minion."""
        name = minion.instance
        self._own[name] -= 1
        if not self._own[name]:
            del self._own[name]
        match verdict:
            case Verdict.ANSWERED:
                self._suspicion.answered(name)
            case Verdict.FAILED:
                self._suspicion.failed(name, now)
            case Verdict.DECLINED:
                self._fleet.hold(name, now)
            case Verdict.UNUSED | Verdict.UNCLEAR:
                pass

    def _minions(
        self, service: str, now: float
    ) -> tuple[minions_lib.Minion, ...]:
        config = self._config.config
        if config is None:
            return ()
        return self._fleet.minions(service, config, now)

    def _policy(self) -> routing.Policy:
        return routing.policies.get(self.policy_name)

    def _loads(self) -> routing.Loads:
        return routing.Loads(
            self._own, self._peer_loads(), self._entries(), self._loans.net
        )
