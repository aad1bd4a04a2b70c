"""How machines are shared out while pools want more than there are.

Load pattern: a turn leaves a backlog that is late, and the next queue's turn
begins. A pool that is given all that it wants packs each machine again as soon
as a task ends, and keeps the fleet for work that nobody waits for, while
others have their whole turn without machines. So each pool gets what its
useful work asks for first, then what late work asks for, and what is left goes
to work that is past use.

Where a class asks for more than is left, small wants are met first: a queue
that needs a twentieth of the fleet is served whole, and costs the others
little.
"""

from collections.abc import Mapping
from collections.abc import Sequence


def share_out(
    wants: Mapping[str, Sequence[int]], machines: int
) -> dict[str, int]:
    """Returns how many machines each pool gets.

    Args:
        wants: by pool, machines that its work asks for up to each class,
            the most useful class first; numbers grow from class to class.
        machines: that there are.
    """
    shares = dict.fromkeys(wants, 0)
    classes = max(map(len, wants.values()), default=0)
    for number in range(classes):
        asked = {
            name: max(0, numbers[number] - shares[name])
            for name, numbers in wants.items()
        }
        left = max(0, machines - sum(shares.values()))
        for name, given in _level(asked, left).items():
            shares[name] += given
    return shares


def _level(asked: Mapping[str, int], machines: int) -> dict[str, int]:
    """Gives each the same at most, so that small wants are met whole."""
    given = {}
    left = machines
    smallest_first = sorted(asked, key=lambda name: (asked[name], name))
    for number, name in enumerate(smallest_first):
        level = left // (len(smallest_first) - number)
        given[name] = min(asked[name], level)
        left -= given[name]
    return given
