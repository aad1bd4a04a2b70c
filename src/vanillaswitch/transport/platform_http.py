"""The platform's parts over HTTP, typed; see ``platform_caller`` for sending.

An answer that belongs to another kind of call says nothing of this one: it is
Unavailable for a call that may come twice, and OutcomeUnknown for a write.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import urllib.parse

from vanillaswitch.internal import clock as clock_module
from vanillaswitch.protocol import platform
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import platform_caller
from vanillaswitch.transport import platform_wire as wire

_OK = 200
_IDLE_S = 5.0

Operated = (
    platform.Done
    | platform.Missing
    | platform.Unavailable
    | platform.OutcomeUnknown
)
Asked = platform.Done | platform.Missing | platform.Unavailable


class HttpTable:
    """Implements ``platform.Table``."""

    def __init__(self, caller: platform_caller.Caller):
        self._caller = caller

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows by name."""
        return self._rows("/table/read", wire.ReadCall(tuple(keys)))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads each row whose key starts with ``prefix``."""
        return self._rows("/table/scan", wire.ScanCall(prefix, after, limit))

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Tries a transaction once; never sends it again by itself."""
        outcome = self._caller.write("/table/commit", transaction)
        if isinstance(outcome, platform.CommitOutcome):
            return outcome
        return platform.OutcomeUnknown(f"not of a commit: {outcome}")

    def _rows(self, path: str, call: object) -> platform.ReadOutcome:
        outcome = self._caller.read("POST", path, wire.encode_call(call))
        if isinstance(outcome, platform.ReadOutcome):
            return outcome
        return platform.Unavailable(f"not of a read: {outcome}")


class HttpObjects:
    """Implements ``platform.ObjectStore``."""

    def __init__(self, caller: platform_caller.Caller):
        self._caller = caller

    def put(
        self, digest: str, content: bytes
    ) -> platform.Done | platform.Unavailable:
        """Stores an object."""
        outcome = self._caller.read("PUT", _object(digest), content)
        if isinstance(outcome, platform.Done | platform.Unavailable):
            return outcome
        return platform.Unavailable(f"not of a put: {outcome}")

    def get(
        self, digest: str
    ) -> platform.ObjectContent | platform.Missing | platform.Unavailable:
        """Fetches an object."""
        answer = self._caller.exchange("GET", _object(digest), b"")
        if isinstance(answer, platform.Unavailable):
            return answer
        if answer.status == _OK:
            return platform.ObjectContent(answer.body)
        # Only the store itself says that an object is missing: a 404 of a
        # balancer would make a configuration look lost.
        outcome = platform_caller.typed(answer)
        if isinstance(outcome, platform.Missing):
            return outcome
        return platform.Unavailable(f"status {answer.status}")


class HttpInstances:
    """Implements ``platform.Instances``."""

    def __init__(self, caller: platform_caller.Caller):
        self._caller = caller

    def list(self) -> platform.Listings | platform.Unavailable:
        """Reads the lagging list."""
        outcome = self._caller.read("GET", "/instances", b"")
        if isinstance(outcome, platform.Listings | platform.Unavailable):
            return outcome
        return platform.Unavailable(f"not of a list: {outcome}")

    def status(
        self, names: Sequence[str]
    ) -> tuple[platform.InstanceStatus, ...] | platform.Unavailable:
        """Asks instances themselves."""
        call = wire.encode_call(wire.StatusCall(tuple(names)))
        outcome = self._caller.read("POST", "/instances/status", call)
        if isinstance(outcome, wire.Statuses):
            return outcome.instances
        if isinstance(outcome, platform.Unavailable):
            return outcome
        return platform.Unavailable(f"not of a status: {outcome}")

    def drain(self, instance: str, operation: str) -> Operated:
        """Takes no new work on an instance."""
        return self._operate(instance, "drain", operation)

    def reboot(self, instance: str, operation: str) -> Operated:
        """Reboots an instance."""
        return self._operate(instance, "reboot", operation)

    def resume(self, instance: str, operation: str) -> Operated:
        """Takes new work again."""
        return self._operate(instance, "resume", operation)

    def _operate(self, instance: str, verb: str, operation: str) -> Operated:
        path = f"/instances/{_quote(instance)}/{verb}"
        return _operated(
            self._caller.write(path, wire.OperationCall(operation))
        )


class HttpWorkers:
    """Implements ``platform.Workers``."""

    def __init__(self, caller: platform_caller.Caller):
        self._caller = caller

    def start(self, worker: str, spec: platform.TaskSpec) -> Operated:
        """Starts a task under a lease."""
        return _operated(self._caller.write(_worker(worker, "start"), spec))

    def renew(
        self, worker: str, operations: Sequence[str], lease_s: float
    ) -> Asked:
        """Renews the leases of one worker's tasks."""
        call = wire.RenewCall(tuple(operations), lease_s)
        return self._ask(_worker(worker, "renew"), call)

    def checkpoint(self, worker: str, operation: str) -> Asked:
        """Asks a task to write a checkpoint."""
        call = wire.OperationCall(operation)
        return self._ask(_worker(worker, "checkpoint"), call)

    def throttle(self, worker: str, operation: str, share: float) -> Asked:
        """Limits a task to a share of its processors."""
        call = wire.ThrottleCall(operation, share)
        return self._ask(_worker(worker, "throttle"), call)

    def stop(self, worker: str, operation: str) -> Operated:
        """Stops a task."""
        call = wire.OperationCall(operation)
        return _operated(self._caller.write(_worker(worker, "stop"), call))

    def reports(
        self,
    ) -> tuple[platform.TaskReport, ...] | platform.Unavailable:
        """Reads the lagging reports of every worker."""
        outcome = self._caller.read("GET", "/workers/reports", b"")
        if isinstance(outcome, wire.Reports):
            return outcome.tasks
        if isinstance(outcome, platform.Unavailable):
            return outcome
        return platform.Unavailable(f"not of reports: {outcome}")

    def _ask(self, path: str, call: object) -> Asked:
        outcome = self._caller.read("POST", path, wire.encode_call(call))
        if isinstance(outcome, Asked):
            return outcome
        return platform.Unavailable(f"not of a call: {outcome}")


@contextlib.contextmanager
def connect(
    address: str, timeout_s: float = 2.0
) -> Iterator[platform.Platform]:
    """Yields the platform at "ip:port"; no connection is opened yet.

    Args:
        address: the platform's HTTP interface.
        timeout_s: limit for connecting, for the time until an answer begins,
            and for each pause in it.
    """
    settings = minion_http.ClientSettings(
        connect_timeout_s=timeout_s,
        idle_per_minion=platform_caller.IDLE_CONNECTIONS,
        idle_s=_IDLE_S,
        min_answer_bytes_per_s=minion_http.MIN_ANSWER_BYTES_PER_S,
    )
    clock = clock_module.SystemClock()
    with minion_http.open_client(clock, settings) as client:
        caller = platform_caller.Caller(client, address, timeout_s)
        yield platform.Platform(
            HttpTable(caller),
            HttpObjects(caller),
            HttpInstances(caller),
            HttpWorkers(caller),
        )


def _operated(outcome: wire.Outcome) -> Operated:
    if isinstance(outcome, Operated):
        return outcome
    return platform.OutcomeUnknown(f"not of an operation: {outcome}")


def _quote(name: str) -> str:
    return urllib.parse.quote(name, safe="")


def _object(digest: str) -> str:
    return f"/objects/{_quote(digest)}"


def _worker(worker: str, verb: str) -> str:
    return f"/workers/{_quote(worker)}/{verb}"
