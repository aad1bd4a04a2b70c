"""Allocates minion slots to this process's requests."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import random

from vanillaswitch import errors
from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import retry
from vanillaswitch.coordination.entry import routing
from vanillaswitch.coordination.entry import slot_loans
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.state import config_view


class AttemptResult(enum.Enum):
    """How an attempt ended at the minion that was allocated to it."""

    ANSWERED = "answered"
    FAILED = "failed"
    DECLINED = "declined"
    NOT_SENT = "unused"
    UNKNOWN = "unclear"


MAX_ABANDONED_S = 1.0
"""Longest time that the slot of an abandoned attempt stays counted."""

MAX_PROBES = 1
"""Most requests at once to a minion that failed and has not answered since."""


@dataclasses.dataclass(frozen=True)
class _AbandonedSlot:
    """The slot of an abandoned attempt, which may still run at the minion."""

    request_number: int
    minion: minions_lib.Minion
    expires_at: float


class SlotAllocator:
    """Slots in use by this process; used by a single task.

    Its methods never switch to another task.
    """

    def __init__(
        self,
        rng: random.Random,
        data_centre: str,
        config: config_view.ConfigView,
        fleet: fleet_view.FleetView,
        peer_in_flight: Callable[[], Mapping[str, int]],
        live_entries: Callable[[], tuple[str, ...]],
        boot_id: str = "",
    ):
        """Initializes a slot allocator without requests in flight.

        Args:
            rng: random source.
            data_centre: where this process runs.
            config: the configuration in force.
            fleet: the minions that may get new work.
            peer_in_flight: returns the requests that all other entries have in
                flight, by minion instance.
            live_entries: returns the live entries, this one first.
            boot_id: random id of this process start.
        """
        self._rng = rng
        self._data_centre = data_centre
        self._config = config
        self._fleet = fleet
        self._peer_in_flight = peer_in_flight
        self._live_entries = live_entries
        self._own_in_flight: dict[str, int] = {}
        self._failures = retry.MinionFailures()
        self._abandoned: list[_AbandonedSlot] = []
        self._loans = slot_loans.LoanTracker(live_entries()[0], boot_id)

    def in_flight_by_minion(self, now: float) -> Mapping[str, int]:
        """Returns own requests in flight by minion instance."""
        self._release_expired(now)
        return dict(self._own_in_flight)

    @property
    def loans(self) -> slot_loans.LoanTracker:
        """Slots borrowed from and lent to peers."""
        return self._loans

    @property
    def live_entries(self) -> tuple[str, ...]:
        """The live entries, this one first."""
        return self._live_entries()

    @property
    def policy_name(self) -> str:
        """Name of the routing policy in force."""
        config = self._config.config
        if config is None:
            raise errors.InvariantError(
                "request handled before any configuration was loaded"
            )
        name = config.policies.routing
        # During a rolling upgrade, the configuration may name a policy that
        # only newer versions of the program have.
        if name not in routing.POLICY_REGISTRY.names:
            return routing.DEFAULT_POLICY
        return name

    def free_slots_by_instance(
        self, service: str, now: float
    ) -> Mapping[str, int]:
        """Returns the number of free slots of each minion instance."""
        return {
            minion.instance: free
            for minion, free in self._free_slots(service, now).items()
        }

    def count_slots(self, service: str, now: float) -> admission.SlotCounts:
        """Returns the known numbers of slots of a service."""
        free_slots = self._free_slots(service, now)
        if not free_slots:
            return admission.SlotCounts(0, 0)
        policy, loads = self._policy(), self._loads()
        limits = (policy.slot_limit(minion, loads) for minion in free_slots)
        total = sum(minion.slots for minion in free_slots)
        return admission.SlotCounts(
            total, sum(free_slots.values()), usable=sum(limits)
        )

    def allocate(
        self,
        service: str,
        excluded: frozenset[str],
        now: float,
        request_number: int = 0,
    ) -> minions_lib.Minion | None:
        """Allocates a slot at a minion that is not excluded, if any is free.

        Args:
            service: whose minions.
            excluded: instances that must not be chosen.
            now: monotonic seconds.
            request_number: the request; it may reuse the slot of an attempt
                that it has abandoned.
        """
        free_slots = self._free_slots(service, now)
        candidates = [one for one, free in free_slots.items() if free > 0]
        chosen: minions_lib.Minion | None = None
        if candidates:
            chosen = routing.pick_minion(
                self._policy(),
                candidates,
                self._loads(),
                excluded,
                self._data_centre,
                self._rng,
            )
        if chosen is None:
            chosen = self._reuse_abandoned(request_number, free_slots, excluded)
        if chosen is not None:
            self._add_in_flight(chosen.instance, 1)
        return chosen

    def release(
        self,
        minion: minions_lib.Minion,
        attempt_result: AttemptResult,
        taken_at: float,
        now: float,
        request_number: int = 0,
    ) -> None:
        """Releases a slot and records the result of the attempt.

        A minion may still run an abandoned attempt, and would get more
        requests than it has slots. So its slot stays counted for as long again
        as the attempt took, for want of a better estimate. This time is
        bounded, because an unresponsive connection uses no slot.

        Args:
            minion: where the request was sent.
            attempt_result: how the attempt ended.
            taken_at: when the slot was allocated.
            now: monotonic seconds.
            request_number: the request.
        """
        name = minion.instance
        match attempt_result:
            case AttemptResult.ANSWERED:
                self._failures.record_answer(name)
            case AttemptResult.FAILED:
                self._failures.record_failure(name, now)
            case AttemptResult.DECLINED:
                self._fleet.back_off_from(name, now)
            case AttemptResult.UNKNOWN:
                expires_at = now + min(now - taken_at, MAX_ABANDONED_S)
                self._abandoned.append(
                    _AbandonedSlot(request_number, minion, expires_at)
                )
                return
            case AttemptResult.NOT_SENT:
                pass
        self._add_in_flight(name, -1)

    def _free_slots(
        self, service: str, now: float
    ) -> dict[minions_lib.Minion, int]:
        """Returns each minion's free slots, net of loans and abandoned slots.

        A suspected minion has none: it fails requests faster than others
        answer them, and would look the least loaded. If all minions are
        suspected, all are tried, so that callers get an error at once when no
        minion can be reached.
        """
        minions = self._minions(service, now)
        if not minions:
            return {}
        self._release_expired(now)
        policy, loads = self._policy(), self._loads()
        free_slots = {
            one: routing.free_slots(policy, one, loads) for one in minions
        }
        suspects = self._failures.suspected_instances(now)
        if all(minion.instance in suspects for minion in minions):
            return free_slots
        for minion in minions:
            name = minion.instance
            if name in suspects:
                free_slots[minion] = 0
            elif self._failures.needs_probe(name):
                free_probes = MAX_PROBES - self._own_in_flight.get(name, 0)
                free_slots[minion] = max(
                    0, min(free_slots[minion], free_probes)
                )
        return free_slots

    def _reuse_abandoned(
        self,
        request_number: int,
        free_slots: Mapping[minions_lib.Minion, int],
        excluded: frozenset[str],
    ) -> minions_lib.Minion | None:
        for index, one in enumerate(self._abandoned):
            is_allowed = one.minion in free_slots
            if (
                one.request_number == request_number
                and is_allowed
                and one.minion.instance not in excluded
            ):
                del self._abandoned[index]
                self._add_in_flight(one.minion.instance, -1)
                return one.minion
        return None

    def _release_expired(self, now: float) -> None:
        self._loans.expire(now)
        expired = [one for one in self._abandoned if now >= one.expires_at]
        if expired:
            self._abandoned = [o for o in self._abandoned if now < o.expires_at]
        for one in expired:
            self._add_in_flight(one.minion.instance, -1)

    def _add_in_flight(self, instance: str, count: int) -> None:
        self._own_in_flight[instance] = (
            self._own_in_flight.get(instance, 0) + count
        )
        if not self._own_in_flight[instance]:
            del self._own_in_flight[instance]

    def _minions(
        self, service: str, now: float
    ) -> tuple[minions_lib.Minion, ...]:
        config = self._config.config
        if config is None:
            return ()
        return self._fleet.available_minions(service, config, now)

    def _policy(self) -> routing.RoutingPolicy:
        return routing.POLICY_REGISTRY.get(self.policy_name)

    def _loads(self) -> routing.MinionLoads:
        return routing.MinionLoads(
            self._own_in_flight,
            self._peer_in_flight(),
            self._live_entries(),
            self._loans.net_loans,
        )
