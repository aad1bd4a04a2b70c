"""What the composition root shows of the parts that it wires."""

import pytest

from tests.common import deployments
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.wiring import controller
from vanillaswitch.wiring import entry


def _counters(found):
    return found[1] if isinstance(found, tuple) else found


@pytest.mark.parametrize("daemon", [entry, controller])
def test_a_daemon_counts_the_polls_for_a_configuration_that_failed(daemon):
    settings = settings_lib.Settings(
        "one", "a", "127.0.0.1:1", "127.0.0.1:0", "127.0.0.1:0"
    )
    with daemon.run(settings) as running:
        deployments.wait_until(
            lambda: _counters(running.counters())["config.polls_failed"] > 0
        )
