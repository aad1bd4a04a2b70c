"""Puts the measurements of single parts in the one command.

Each of them is a program of its own, too; here they get their file and their
spread over runs.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from standins import measure_duties
from standins import measure_measures
from standins import measure_membership
from standins import measurements

GROUPS = (8, 16, 32)
SECONDS = 10.0
CONTROLLERS = (8, 16, 32)
DUTIES = (10, 50, 200)
SHARES = (0.1, 0.5, 1.0)


def _spread(measure: Callable[[], dict[str, Any]]) -> dict[str, Any]:
    return measurements.spreads([measure() for _ in range(measurements.RUNS)])


@measurements.measurement("membership")
def measure_groups() -> measurements.Figures:
    """Measures heartbeats of groups of processes, all in this one."""
    return [
        _spread(lambda size=size: measure_membership.measure(size, SECONDS))  # type: ignore[misc]
        for size in GROUPS
    ]


@measurements.measurement("duties")
def measure_rounds() -> measurements.Figures:
    """Counts table calls and rounds to take over; the clock is moved by hand.

    Every run gives the same figures, so that one is enough.
    """
    return [
        dataclasses.asdict(measure_duties.measure(controllers, duties))
        for controllers in CONTROLLERS
        for duties in DUTIES
    ]


@measurements.measurement("planning-round")
def measure_plans() -> measurements.Figures:
    """Measures one round of each plan at shares of the target."""
    figures = []
    for share in SHARES:
        world = measure_measures.target_world(share)
        spread = _spread(lambda w=world: measure_measures.planning_cost(w))  # type: ignore[misc]
        figures.append({"share": share, **spread})
    return figures
