"""Who owns the fleet, and what an owner writes."""
