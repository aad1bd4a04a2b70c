"""A safe estimate of an instance's capacity from two sources.

The capacity of an instance may shrink and grow while it runs. The instance's
registration and the platform's machine list both report it, and their updates
reach an owner at different times. While registrations can't be read, neither
source reliably shows the current capacity. The estimate is therefore the
smallest capacity that may be current.
"""

from vanillaswitch.protocol import fleet

UNKNOWN = fleet.Resources(0, 0)
"""Capacity in a source that does not state any."""


class KnownCapacity:
    """Reported capacities of one instance in its current incarnation.

    Attributes:
        current: capacity to plan with: the smaller one of the registration and
            the machine list. While registrations may be out of date, the
            smallest capacity registered so far replaces the registered one.
        largest: the largest capacity reported so far.
    """

    def __init__(self, registered: fleet.Resources):
        """Starts with the capacity in the first registration."""
        self._listed: fleet.Resources | None = None
        self._is_stale = False
        self.reset(registered)

    def reset(self, registered: fleet.Resources) -> None:
        """Drops the capacities that an earlier incarnation registered."""
        self._registered = registered
        self._smallest = registered
        self.largest = registered
        self._update()

    def update_registered(self, capacity: fleet.Resources) -> None:
        """Stores the capacity in the instance's registration."""
        # Before its first registration only the id of an instance is known.
        if self._smallest == UNKNOWN:
            self._smallest = capacity
        self._registered = capacity
        self._smallest = elementwise_min(self._smallest, capacity)
        self._update()

    def update_listed(self, capacity: fleet.Resources) -> bool:
        """Stores the capacity in the platform's machine list.

        Returns:
            Whether this changed ``current``.
        """
        # The list is read four times a second. An instance whose line in it did
        # not change keeps the same capacity object, which is quick to compare.
        if capacity is self._listed or capacity == UNKNOWN:
            return False
        self._listed = capacity
        before = self.current
        self._update()
        return self.current != before

    def set_stale(self, stale: bool) -> None:
        """Sets whether the registration may be out of date."""
        if stale != self._is_stale:
            self._is_stale = stale
            self._update()

    def _update(self) -> None:
        capacity = self._smallest if self._is_stale else self._registered
        self.largest = elementwise_max(self.largest, self._registered)
        if self._listed is not None:
            capacity = elementwise_min(capacity, self._listed)
            self.largest = elementwise_max(self.largest, self._listed)
        self.current = capacity


def elementwise_min(a: fleet.Resources, b: fleet.Resources) -> fleet.Resources:
    """Returns the minimum of two capacities for each resource."""
    return fleet.Resources(
        min(a.cpu, b.cpu),
        min(a.mem_mb, b.mem_mb),
        min(a.gpu, b.gpu),
    )


def elementwise_max(a: fleet.Resources, b: fleet.Resources) -> fleet.Resources:
    """Returns the maximum of two capacities for each resource."""
    return fleet.Resources(
        max(a.cpu, b.cpu),
        max(a.mem_mb, b.mem_mb),
        max(a.gpu, b.gpu),
    )
