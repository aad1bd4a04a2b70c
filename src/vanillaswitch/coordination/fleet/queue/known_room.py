"""The room of an instance, as far as it is surely there.

It may shrink and grow while the instance runs. Its entry and the list of
machines tell, and reach an owner on different ways; while entries can't be
read, neither tells the room of now.
"""

from vanillaswitch.protocol import fleet

UNKNOWN = fleet.Resources(0, 0)
"""What stands for a room that is not named."""


class KnownRoom:
    """What was said of one instance's room in its present life.

    Attributes:
        now: the smaller of what the entry and the list of machines name; while
            entries may be old, the smallest that was named.
        full: the largest that was named.
    """

    def __init__(self, entry: fleet.Resources):
        """Begins with the room that the first entry names."""
        self._listed: fleet.Resources | None = None
        self._is_old = False
        self.begin_life(entry)

    def begin_life(self, entry: fleet.Resources) -> None:
        """Begins anew: what a former life of the instance named is void."""
        self._entry = entry
        self._smallest = entry
        self.full = entry
        self._judge()

    def entry_names(self, room: fleet.Resources) -> None:
        """Takes note of what the instance's entry names."""
        # Before its first entry only the id of an instance is known.
        if self._smallest == UNKNOWN:
            self._smallest = room
        self._entry = room
        self._smallest = smaller(self._smallest, room)
        self._judge()

    def list_names(self, room: fleet.Resources) -> bool:
        """Takes note of what the list of machines names.

        Returns:
            Whether that changed the room of now.
        """
        # The list is read four times a second, and lines that stay the same
        # name the same room.
        if room is self._listed or room == UNKNOWN:
            return False
        self._listed = room
        before = self.now
        self._judge()
        return self.now != before

    def age(self, old: bool) -> None:
        """Takes note of whether entries may no longer tell the room."""
        if old != self._is_old:
            self._is_old = old
            self._judge()

    def _judge(self) -> None:
        room = self._smallest if self._is_old else self._entry
        self.full = larger(self.full, self._entry)
        if self._listed is not None:
            room = smaller(room, self._listed)
            self.full = larger(self.full, self._listed)
        self.now = room


def smaller(one: fleet.Resources, other: fleet.Resources) -> fleet.Resources:
    """Returns what is there of each kind by both of two rooms."""
    return fleet.Resources(
        min(one.cpu, other.cpu),
        min(one.mem_mb, other.mem_mb),
        min(one.gpu, other.gpu),
    )


def larger(one: fleet.Resources, other: fleet.Resources) -> fleet.Resources:
    """Returns what is there of each kind by either of two rooms."""
    return fleet.Resources(
        max(one.cpu, other.cpu),
        max(one.mem_mb, other.mem_mb),
        max(one.gpu, other.gpu),
    )
