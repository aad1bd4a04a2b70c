"""Lengths of the leases on runs, measured by the owner's clock."""

RUN_LEASE_S = 6.0
"""Lease on the runs of an instance. It has to outlast a change of owner (about
4 s) and a short outage. A longer lease delays restarting the tasks of an
unreachable instance."""

CLOCK_ERROR_FACTOR = 1.03
"""Factor by which a lease may last longer on the owner's clock. An instance's
clock may be 2% slow; the rest covers the travel time of a response."""

EXPIRY_MARGIN_S = 0.2
"""Added to a lease before it counts as expired, because timers fire late."""

RENEWAL_AFTER_LAST_WRITE_S = 8.0
"""How long after its last successful write an owner keeps renewing leases.
During an outage of the store nobody can take over, and an expired lease loses
the work done under it. A later owner waits this long plus a lease for an
instance that it can't reach."""


def lease_expiry(now: float, lease_s: float = RUN_LEASE_S) -> float:
    """Returns when a lease that is granted now has certainly expired."""
    return now + lease_s * CLOCK_ERROR_FACTOR + EXPIRY_MARGIN_S


def inherited_lease_expiry(now: float) -> float:
    """Returns when the last lease of a previous owner has certainly expired."""
    return lease_expiry(now) + RENEWAL_AFTER_LAST_WRITE_S
