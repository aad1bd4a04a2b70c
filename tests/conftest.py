"""Settings of all tests."""

import hypothesis

from tests.common import properties

# A verdict has to be the same every time, whatever the machine is doing; to
# look for new counterexamples, run with `--hypothesis-profile=explore`.
hypothesis.settings.register_profile(
    "steady", properties.steady, max_examples=100
)
hypothesis.settings.register_profile(
    "explore", properties.steady, derandomize=False, max_examples=1000
)
hypothesis.settings.load_profile("steady")
