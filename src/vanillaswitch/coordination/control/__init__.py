"""Distribution of control work: session leases, duties, fencing epochs."""
