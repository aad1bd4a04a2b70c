"""The platform's machines: their list, moves and upkeep."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any
import urllib.parse

from vanillaswitch.platform import calls
from vanillaswitch.platform import checked
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import requests
from vanillaswitch.protocol import unusable
from vanillaswitch.transport import plain_http

LIST_TIMEOUT_S = 1.5
"""Limit for one page of the list, within which a slow platform answers."""

ORDER_TIMEOUT_S = 1.5
"""Limit for one order; an order without an answer is sent again."""

_OK = 200
_REFUSED = 409
_IMPOSSIBLE = 400
_BUSY = "busy"


class HttpMachines:
    """Implements ``fleet.Machines``."""

    def __init__(
        self, client: plain_http.PlainClient, address: str, holder: str
    ):
        self._client = client
        self._address = address
        self._holder = holder
        self._silent = False
        self._known: dict[str, tuple[Any, fleet.Machine]] = {}

    def list(self) -> Sequence[fleet.Machine] | fleet.NoAnswer:
        """Reads the whole list, page by page."""
        found: list[fleet.Machine] = []
        token = None
        while True:
            target = "/-/machines"
            if token:
                target += "?" + urllib.parse.urlencode({"page_token": token})
            reply = self._call("GET", target, None, (), LIST_TIMEOUT_S)
            if isinstance(reply, calls.NoReply):
                return fleet.NoAnswer(reply.sent, reply.reason)
            if reply.status != _OK:
                return fleet.NoAnswer(False, f"status {reply.status}")
            page = reply.body.get("machines")
            for raw in page if isinstance(page, list) else [page]:
                read = self._machine(raw)
                if isinstance(read, unusable.Unusable):
                    return fleet.NoAnswer(True, f"a machine: {read.reason}")
                found.append(read)
            token = reply.body.get("next_token")
            if not token:
                self._known = {
                    item.name: self._known[item.name] for item in found
                }
                return found

    def _machine(self, raw: Any) -> fleet.Machine | unusable.Unusable:
        """Decodes a line of the list, once for as long as it stays the same.

        The list is read four times a second, and few of its lines change.
        """
        name = raw.get("machine") if isinstance(raw, dict) else None
        known = self._known.get(name) if isinstance(name, str) else None
        if known is not None and known[0] == raw:
            return known[1]
        read = machine(raw)
        if isinstance(read, fleet.Machine):
            self._known[read.name] = raw, read
        return read

    def move(
        self, machine: str, pool: str, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Moves a machine to another pool."""
        body = {"machine": machine, "pool": pool}
        return self._order("/-/machine-move", body, token)

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        """Begins a machine's upkeep."""
        body = {"machine": machine, "wave": wave}
        return self._order("/-/machine-upkeep", body, token)

    def _order(
        self, path: str, body: Mapping[str, Any], token: int
    ) -> fleet.Accepted | fleet.Refused | fleet.Busy | fleet.NoAnswer:
        headers = (
            ("X-Lease-Holder", self._holder),
            ("X-Fencing-Token", str(token)),
        )
        reply = self._call("POST", path, body, headers, ORDER_TIMEOUT_S)
        if isinstance(reply, calls.NoReply):
            return fleet.NoAnswer(reply.sent, reply.reason)
        if reply.status == _OK:
            return fleet.Accepted(0.0)
        if reply.status == _IMPOSSIBLE:
            return fleet.Refused(fleet.Reason.INVALID)
        if reply.status != _REFUSED:
            return fleet.NoAnswer(False, f"status {reply.status}")
        if reply.body.get("reason") == _BUSY:
            return fleet.Busy()
        fenced = reply.body.get("reason") == fleet.Reason.FENCED
        reason = fleet.Reason.FENCED if fenced else fleet.Reason.INVALID
        return fleet.Refused(reason)

    def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        headers: requests.Headers,
        timeout_s: float,
    ) -> calls.Reply | calls.NoReply:
        reply = calls.call(
            self._client,
            self._address,
            method,
            target,
            body,
            headers,
            timeout_s,
            fresh=self._silent,
        )
        self._silent = isinstance(reply, calls.NoReply)
        return reply


_NO_ROOM = upstreams.Room(0, 0)


@dataclasses.dataclass(frozen=True)
class _Line:
    """A line of the list of machines; ``id`` is null where nothing runs."""

    machine: str
    pool: str = ""
    state: str = ""
    zone: str = ""
    capacity: upstreams.Room = _NO_ROOM
    id: str | None = None


def machine(raw: Any) -> fleet.Machine | unusable.Unusable:
    """Decodes a line of the list.

    A list with a line that can't be read is not used: an instance that it
    does not name is taken to be over, and its tasks start elsewhere.
    """
    line = checked.read(_Line, raw)
    if isinstance(line, unusable.Unusable):
        return line
    room = line.capacity.resources()
    if isinstance(room, unusable.Unusable):
        return room
    try:
        state = fleet.MachineState(line.state)
    except ValueError:
        state = fleet.MachineState.UNKNOWN
    return fleet.Machine(
        name=line.machine,
        pool=line.pool,
        state=state,
        zone=line.zone,
        instance=line.id or "",
        capacity=room,
    )
