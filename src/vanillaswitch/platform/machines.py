"""Client of the platform's machine API: list, pool moves and maintenance.

The platform calls maintenance "upkeep".
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
import urllib.parse

from vanillaswitch.platform import http_calls
from vanillaswitch.platform import upstreams
from vanillaswitch.platform import validation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import requests
from vanillaswitch.protocol import unusable
from vanillaswitch.transport import plain_http

LIST_TIMEOUT_S = 1.5
"""Time limit for one page of the list; a slow platform answers within it."""

ORDER_TIMEOUT_S = 1.5
"""Time limit for one order; an order without an answer is sent again."""

_OK = 200
_CONFLICT = 409
_BAD_REQUEST = 400
_BUSY = "busy"


class HttpMachines:
    """Implements ``fleet.Machines``."""

    def __init__(
        self, client: plain_http.PlainClient, address: str, holder: str
    ):
        """Creates a client of the machine API.

        Args:
            client: sends the calls.
            address: "ip:port" of the API.
            holder: name of this process, sent as ``X-Lease-Holder`` with each
                order.
        """
        self._client = client
        self._address = address
        self._holder = holder
        self._last_call_failed = False
        self._decoded_entries: dict[str, tuple[Any, fleet.Machine]] = {}

    def list(self) -> Sequence[fleet.Machine] | fleet.NoAnswer:
        """Reads all pages of the list.

        One invalid entry makes the whole list unusable. If the entry were left
        out, its machine would count as gone, and its tasks would be started
        elsewhere.
        """
        found: list[fleet.Machine] = []
        page_token = None
        page_tokens: set[str] = set()
        while True:
            target = "/-/machines"
            if page_token:
                target += "?" + urllib.parse.urlencode(
                    {"page_token": page_token}
                )
            response = self._call("GET", target, None, (), LIST_TIMEOUT_S)
            if isinstance(response, http_calls.NoResponse):
                return fleet.NoAnswer(response.sent, response.reason)
            if response.status != _OK:
                return fleet.NoAnswer(False, f"status {response.status}")
            page = response.body.get("machines")
            for raw in page if isinstance(page, list) else [page]:
                decoded = self._decode_cached(raw)
                if isinstance(decoded, unusable.Unusable):
                    return fleet.NoAnswer(
                        True, f"unusable machine: {decoded.reason}"
                    )
                found.append(decoded)
            page_token = response.body.get("next_token")
            if not page_token:
                self._decoded_entries = {
                    item.name: self._decoded_entries[item.name]
                    for item in found
                }
                return found
            if not validation.is_text(page_token) or page_token in page_tokens:
                return fleet.NoAnswer(True, "unusable next_token")
            page_tokens.add(page_token)

    def _decode_cached(self, raw: Any) -> fleet.Machine | unusable.Unusable:
        """Decodes an entry of the list, or returns its cached value.

        The list is read four times a second and few of its entries change.
        """
        name = raw.get("machine") if isinstance(raw, dict) else None
        cached = (
            self._decoded_entries.get(name) if isinstance(name, str) else None
        )
        try:
            if cached is not None and cached[0] == raw:
                return cached[1]
        except RecursionError:
            return unusable.Unusable("nested too deeply")
        decoded = decode_machine(raw)
        if isinstance(decoded, fleet.Machine):
            self._decoded_entries[decoded.name] = raw, decoded
        return decoded

    def move(
        self, machine: str, pool: str, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Moves a machine to another pool."""
        body = {"machine": machine, "pool": pool}
        return self._send_order("/-/machine-move", body, token)

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Starts the maintenance of a machine."""
        body = {"machine": machine, "wave": wave}
        return self._send_order("/-/machine-upkeep", body, token)

    def _send_order(
        self, path: str, body: Mapping[str, Any], token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        headers = (
            ("X-Lease-Holder", self._holder),
            ("X-Fencing-Token", str(token)),
        )
        response = self._call("POST", path, body, headers, ORDER_TIMEOUT_S)
        if isinstance(response, http_calls.NoResponse):
            return fleet.NoAnswer(response.sent, response.reason)
        if response.status == _OK:
            return fleet.Accepted(0.0)
        if response.status == _BAD_REQUEST:
            return fleet.Refused(fleet.RefusalReason.INVALID)
        if response.status != _CONFLICT:
            return fleet.NoAnswer(False, f"status {response.status}")
        if response.body.get("reason") == _BUSY:
            return fleet.Busy()
        is_fenced = response.body.get("reason") == fleet.RefusalReason.FENCED
        reason = (
            fleet.RefusalReason.FENCED
            if is_fenced
            else fleet.RefusalReason.INVALID
        )
        return fleet.Refused(reason)

    def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        headers: requests.Headers,
        timeout_s: float,
    ) -> http_calls.JsonResponse | http_calls.NoResponse:
        response = http_calls.call(
            self._client,
            self._address,
            method,
            target,
            body,
            headers,
            timeout_s,
            fresh=self._last_call_failed,
        )
        self._last_call_failed = isinstance(response, http_calls.NoResponse)
        return response


_NO_CAPACITY = upstreams.Capacity(0, 0)


@dataclasses.dataclass(frozen=True)
class _MachineEntry:
    """An entry of the list of machines.

    Attributes:
        id: the instance that runs on the machine; null if there is none.
    """

    machine: str
    pool: str = ""
    state: str = ""
    zone: str = ""
    capacity: upstreams.Capacity = _NO_CAPACITY
    id: str | None = None


def decode_machine(raw: Any) -> fleet.Machine | unusable.Unusable:
    """Decodes an entry of the list."""
    entry = validation.parse_document(_MachineEntry, raw)
    if isinstance(entry, unusable.Unusable):
        return entry
    capacity = entry.capacity.resources()
    if isinstance(capacity, unusable.Unusable):
        return capacity
    try:
        state = fleet.MachineState(entry.state)
    except ValueError:
        state = fleet.MachineState.UNKNOWN
    return fleet.Machine(
        name=entry.machine,
        pool=entry.pool,
        state=state,
        zone=entry.zone,
        instance=entry.id or "",
        capacity=capacity,
    )
