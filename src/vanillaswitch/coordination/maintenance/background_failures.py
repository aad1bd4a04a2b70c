"""Separates failures that a wave causes from background failures."""

import math

SIGNIFICANCE_LEVEL = 0.01
"""Probability of stopping a wave because of background failures only."""

_DAY_S = 86_400.0


def expected_failures(
    failures_per_day: float, elapsed_s: float, begun_count: int, total: int
) -> float:
    """Returns the expected background failures among touched instances.

    Args:
        failures_per_day: background failures per day of all ``total``
            instances.
        elapsed_s: seconds that the wave has run.
        begun_count: number of instances whose maintenance has begun.
        total: number of instances in the wave.
    """
    if total == 0:
        return 0.0
    return failures_per_day * (elapsed_s / _DAY_S) * (begun_count / total)


def max_background_failures(mean: float) -> int:
    """Returns the largest number of failures that the background explains.

    It is the smallest k for which more than k events have a probability below
    ``SIGNIFICANCE_LEVEL`` in a Poisson distribution with this mean.

    Args:
        mean: expected number of background failures.
    """
    count = 0
    term = math.exp(-mean)
    cumulative = term
    while 1.0 - cumulative >= SIGNIFICANCE_LEVEL:
        count += 1
        term *= mean / count
        if term == 0.0:
            break
        cumulative += term
    return count
