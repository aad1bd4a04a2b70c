"""A configuration that takes longer to arrive than a call usually takes."""

from collections.abc import Iterator
import contextlib
import json

import pytest

from standins import edge_http
from standins import relays
from tests.common import account_calls
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import http_table
from vanillaswitch.platform import operator_rows
from vanillaswitch.transport import plain_http

LINK_BYTES_PER_S = 2e6 / 8
"""Of the slowest links that deployments have."""

TRANSFER_S = 1.5 * (table_follower.LONG_POLL_S + http_table.FEED_MARGIN_S)
"""Longer than any call to the store may wait for its answer."""


def _config(version: int, size: int) -> dict[str, object]:
    """Returns a configuration document of at least ``size`` bytes."""
    document = account_calls.config_document([], version=version)
    route = document["routes"][0]
    count = size // len(json.dumps(route))
    document["routes"] += [
        {**route, "name": f"r{number}", "path_prefix": f"/r{number}/"}
        for number in range(count)
    ]
    return document


class _Machine:
    """Follows the operators' table over a link of limited rate."""

    def __init__(self, outside: edge_http.EdgePlatform, link: relays.Relay):
        self.link = link
        self._outside = outside
        clock = clocks.SystemClock()
        self._client = contextlib.ExitStack()
        client = self._client.enter_context(plain_http.open_client(clock))
        self.store = http_table.HttpTable(
            client, link.address, clock, lambda _: None
        )
        self.events: list[object] = []
        self.view = operator_table.OperatorTable(
            self.store,
            operator_table.OperatorFormat(
                operator_rows.CONFIG_KEY,
                operator_rows.WAVE_PREFIX,
                "status",
                lambda document: operator_rows.decode_config(document, True),
                operator_rows.decode_wave,
                operator_rows.encode_wave_status,
            ),
            reference_clock.ReferenceClock(clock),
            self.events.append,
        )
        self._follower = table_follower.Follower(
            self.store,
            operator_rows.OPERATOR_TABLE,
            clock,
            self.view.on_snapshot,
            self.view.on_changes,
            self.events.append,
            resync_after_failure=True,
            on_current=self.view.on_current,
        )

    def operate(self, version: int, size: int) -> None:
        """Writes a configuration as operators do."""
        self._outside.rows.write("op", "config", _config(version, size))

    def poll(self, times: int) -> int:
        """Polls a few times; returns the version of the configuration."""
        for _ in range(times):
            self._follower._poll()
        return 0 if self.view.config is None else self.view.config.version

    def close(self) -> None:
        """Closes the connections."""
        self._client.close()


@pytest.fixture
def machine() -> Iterator[_Machine]:
    outside = edge_http.EdgePlatform(0, 0.1)
    with outside.serving(), relays.run(outside.address) as link:
        link.answer_bytes_per_s = LINK_BYTES_PER_S
        machine = _Machine(outside, link)
        try:
            yield machine
        finally:
            machine.close()


def test_a_configuration_that_outgrows_a_slow_link_comes_into_force(machine):
    """Guards against machines that refuse all clients with keys for good."""
    machine.operate(1, 1_000)
    assert machine.poll(1) == 1
    machine.operate(2, int(LINK_BYTES_PER_S * TRANSFER_S))
    assert machine.poll(1) == 2
