"""Rows and list of the fleet, shared for a moment by the duties of a process.

At the target size the rows are close to a megabyte, and a controller holds
some twenty duties of pools that mostly find nothing to do. Each that read the
rows for itself twice a second would take more than its share of the processor
and the network.

An old row does no harm: every write names the versions it was decided on, and
what instances say of themselves is asked anew in each step.
"""

import dataclasses
import weakref

from vanillaswitch.coordination import controller
from vanillaswitch.coordination import fleet_state
from vanillaswitch.protocol import platform

KEPT_S = 5.0
"""Age up to which rows are used again; it delays what others changed."""


@dataclasses.dataclass(frozen=True)
class _Kept:
    read_at: float
    fleet: fleet_state.Fleet


_kept: weakref.WeakKeyDictionary[platform.Table, _Kept] = (
    weakref.WeakKeyDictionary()
)


def recorded(
    context: controller.Context,
) -> fleet_state.Fleet | platform.Unavailable:
    """Returns rows and list, at most ``KEPT_S`` old; no member has a status."""
    table = context.platform.table
    now = context.clock.monotonic()
    kept = _kept.get(table)
    if kept is not None and now - kept.read_at < KEPT_S:
        return kept.fleet
    fleet = fleet_state.read_recorded(context.platform)
    if isinstance(fleet, fleet_state.Fleet):
        _kept[table] = _Kept(now, fleet)
    return fleet


def forget(context: controller.Context) -> None:
    """Has the next step read anew, after something was written."""
    _kept.pop(context.platform.table, None)
