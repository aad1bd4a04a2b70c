"""Settings of property tests whose verdict is the same every time."""

import hypothesis

steady = hypothesis.settings(
    max_examples=40,
    deadline=None,
    derandomize=True,
    # Measures how fast examples are drawn, which a busy machine changes.
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
"""A decorator for a property test."""
