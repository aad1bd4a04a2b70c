"""What tests with real processes ask of a deployment."""

from collections.abc import Callable

import gevent

from standins import callers as callers_lib
from standins import site as site_lib
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform as platform_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.transport import platform_http

CONFIG = site_lib.EXAMPLE / "config"
HANG_S = 60.0
"""Guards against a hang; no verdict depends on it."""


def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds."""
    with gevent.Timeout(HANG_S, AssertionError("it never came to that")):
        while not condition():
            gevent.sleep(0.02)


def results(tasks):
    """Returns what tasks returned."""
    return [task.get(timeout=HANG_S) for task in tasks]


def listen(process) -> str:
    """Returns the "ip:port" of an entry for callers."""
    return process.addresses["listen"]


def claim_state(platform: str, key: str) -> peers.ClaimState | None:
    """Returns how far a charge has come, as the table knows it."""
    name = keys.claim(callers_lib.CALLER, site_lib.SERVICE, key)
    with platform_http.connect(platform) as connected:
        found = connected.table.read([name]).rows
    return rows.load(rows.Claim, found[0].value).state if found else None


def leaving(platform: str) -> set[str]:
    """Returns the instances that the platform lists as leaving."""
    with platform_http.connect(platform) as connected:
        found = connected.instances.list().instances
    return {
        listing.instance
        for listing in found
        if listing.state is platform_lib.ListedState.LEAVING
    }


def start_charges(site, callers, entry, count):
    """Has charges wait at the minions; returns their keys and tasks."""
    site.hold(True)
    received = site.received
    used = [callers.new_key() for _ in range(count)]
    tasks = [gevent.spawn(callers.charge, entry, key) for key in used]
    wait_until(lambda: site.received == received + count)
    return used, tasks
