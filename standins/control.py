"""Tells stand-in minions of maintenance, and asks what they have in flight."""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import http.client
import json

import geventhttpclient

from standins import minion_http
from vanillaswitch.protocol import platform
from vanillaswitch.transport import sockets

_TIMEOUT_S = 1.0
_OFF = (platform.MaintenancePhase.REBOOTING, platform.MaintenancePhase.DOWN)
_GONE = (OSError, http.client.HTTPException)


class MinionControls:
    """The control addresses of stand-in minions.

    A minion that does not answer has nothing in flight: it is not there.
    """

    def __init__(self, addresses: Mapping[str, str]):
        """Keeps the addresses.

        Args:
            addresses: instance name to "ip:port".
        """
        self._addresses = dict(addresses)

    def on_phase(self, instance: str, phase: platform.MaintenancePhase) -> None:
        """Makes a minion show that it leaves, or that it serves again."""
        switches = {
            "leaving": phase is not platform.MaintenancePhase.SERVING,
            "rebooting": phase in _OFF,
        }
        body = json.dumps(switches)
        with self._client(instance) as client:
            if client is not None:
                client.post(minion_http.SWITCH_PATH, body=body).read()

    def in_flight(self, instance: str) -> int:
        """Returns how many requests a minion works on."""
        with self._client(instance) as client:
            if client is not None:
                body = client.get(minion_http.RUNS_PATH).read()
                return int(json.loads(body).get("in_flight", 0))
        return 0

    @contextlib.contextmanager
    def _client(
        self, instance: str
    ) -> Iterator[geventhttpclient.HTTPClient | None]:
        """Yields a client, or None; a minion that is gone is no error."""
        address = self._addresses.get(instance)
        if address is None:
            yield None
            return
        host, port = sockets.parse_address(address)
        client = geventhttpclient.HTTPClient(
            host,
            port,
            connection_timeout=_TIMEOUT_S,
            network_timeout=_TIMEOUT_S,
        )
        try:
            with contextlib.suppress(*_GONE):
                yield client
        finally:
            client.close()
