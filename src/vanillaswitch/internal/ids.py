"""Random identifiers."""

import random

_BITS = 96


def new_id(source: random.Random) -> str:
    """Returns 24 hexadecimal digits, unique for all practical purposes.

    Args:
        source: ``random.SystemRandom()`` in a process, a seeded one in tests.
    """
    return f"{source.getrandbits(_BITS):0{_BITS // 4}x}"
