"""Client of the platform's instances: registrations and orders."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import ipaddress
from typing import Any

from vanillaswitch.internal import logs
from vanillaswitch.platform import http_calls
from vanillaswitch.platform import validation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable
from vanillaswitch.transport import plain_http

INSTANCE_TABLE = "servers"
"""The platform's name of the table of instances."""

PORT_LIMIT = 65_536
"""One more than the highest TCP port."""

MAX_ENDS_PER_REPORT = 500
"""Most ends of runs that an instance lists in one status report, by the
platform's protocol. It lists the oldest ones."""

PACE_TIMEOUT_S = 1.0
"""Time limit for an order that limits a run's speed; a healthy instance answers
at once."""

_OK = 200
_CONFLICT = 409
_MISDIRECTED = 421
_BAD_REQUEST = 400


_BORN_MISSING = -1
"""Default of ``born``; instances of older versions do not send the field."""

_DRAINING = "draining"
_STATES = frozenset({"ready", _DRAINING})


@dataclasses.dataclass(frozen=True)
class Capacity:
    """The field ``capacity`` of instances and machines.

    Attributes:
        cpu: thousandths of a core.
        mem_mb: megabytes.
        gpu: accelerators.
    """

    cpu: int
    mem_mb: int
    gpu: int = 0

    def resources(self) -> fleet.Resources | unusable.Unusable:
        """Returns the capacity, or ``Unusable`` if a number is negative."""
        if min(self.cpu, self.mem_mb, self.gpu) < 0:
            return unusable.Unusable("capacity: a number is negative")
        return fleet.Resources(self.cpu, self.mem_mb, self.gpu)


@dataclasses.dataclass(frozen=True)
class _InstanceRow:
    """A row of the table of instances.

    The fields after ``born`` are not used. They are validated nevertheless: a
    wrong type shows that something else wrote the row.

    Attributes:
        service: the pool that the instance belongs to.
        labels: kind of machine first, rack last.
        born: start of the instance, in milliseconds since the Unix epoch.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: Capacity
    labels: tuple[str, ...]
    born: int = _BORN_MISSING
    version: str = ""
    slots: int = 0
    cold_left_ms: float = 0.0
    seq_no: int = 0


def decode_registration(
    instance: str, document: Mapping[str, Any]
) -> fleet.Registration | unusable.Unusable:
    """Decodes a row of the table of instances.

    Args:
        instance: its key, which is sent to the instance in a header field.
        document: its content.
    """
    if not (instance.isascii() and instance.isprintable()):
        return unusable.Unusable("key: expected printable ASCII characters")
    row = validation.parse_document(_InstanceRow, document)
    if isinstance(row, unusable.Unusable):
        return row
    capacity = row.capacity.resources()
    if isinstance(capacity, unusable.Unusable):
        return capacity
    if not row.service:
        return unusable.Unusable("service: the name is empty")
    if row.state not in _STATES:
        return unusable.Unusable(f"state: unknown value {row.state!r}")
    if not _is_address(row.address):
        return unusable.Unusable("address: expected an IPv4 address and a port")
    return fleet.Registration(
        instance=instance,
        service=row.service,
        address=row.address,
        zone=row.zone,
        is_draining=row.state == _DRAINING,
        capacity=capacity,
        labels=row.labels,
        born_ms=None if row.born == _BORN_MISSING else row.born,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.partition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port[:6]) < PORT_LIMIT


def format_task(task: jobs.TaskName) -> str:
    """Encodes a task's name in the platform's form."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> jobs.TaskName:
    """Decodes a task's name.

    Raises:
        ValueError: the text is not a task's name.
    """
    job_id, occurrence, step, index = text.split(".")
    return jobs.TaskName(job_id, int(occurrence), int(step), int(index))


class HttpUpstreams:
    """Implements ``fleet.Upstreams``."""

    def __init__(self, client: plain_http.PlainClient):
        self._client = client

    def start(
        self,
        target: fleet.Registration,
        order: fleet.StartRequest,
        timeout_s: float,
        fresh: bool,
    ) -> fleet.OrderOutcome:
        """Orders an instance to start a run of a task."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": order.deadline_ms,
            "fence_token": order.token,
        }
        if order.checkpoint:
            # The checkpoint to resume from.
            body["checkpointed"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return _order_outcome(
            self._post(target, "/-/run-start", body, timeout_s, fresh)
        )

    def stop(
        self,
        target: fleet.Registration,
        task: jobs.TaskName,
        run: int,
        token: int,
        timeout_s: float,
    ) -> fleet.OrderOutcome:
        """Orders an instance to stop a run."""
        body = {"task": format_task(task), "run": run, "fence_token": token}
        return _order_outcome(
            self._post(target, "/-/run-stop", body, timeout_s, False)
        )

    def renew_lease(
        self,
        target: fleet.Registration,
        token: int,
        seen: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
        fresh: bool = False,
    ) -> fleet.RenewalOutcome:
        """Extends the lease of an instance's runs and gets its status report.

        See ``fleet.Upstreams.renew_lease`` for the arguments.
        """
        # ``ack_cursor`` is the number of the last acknowledged end.
        body: dict[str, Any] = {"fence_token": token, "ack_cursor": seen}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        response = self._post(target, "/-/hold", body, timeout_s, fresh)
        if (
            isinstance(response, http_calls.JsonResponse)
            and response.status == _OK
        ):
            return decode_status_report(response.body)
        outcome = _order_outcome(response)
        if isinstance(outcome, fleet.Accepted):
            return fleet.NoAnswer(True, "the response is empty")
        return outcome

    def set_pace(
        self,
        target: fleet.Registration,
        task: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> fleet.OrderOutcome:
        """Limits a run to ``percent`` of its full speed."""
        body = {
            "task": format_task(task),
            "run": run,
            "percent": percent,
            "fence_token": token,
        }
        return _order_outcome(
            self._post(target, "/-/pace", body, PACE_TIMEOUT_S, False)
        )

    def _post(
        self,
        target: fleet.Registration,
        path: str,
        body: Mapping[str, Any],
        timeout_s: float,
        fresh: bool,
    ) -> http_calls.JsonResponse | http_calls.NoResponse:
        return http_calls.call(
            self._client,
            target.address,
            "POST",
            path,
            body,
            (("X-Target-Instance", target.instance),),
            timeout_s,
            fresh,
        )


def _clock_ms(body: Mapping[str, Any]) -> float | None:
    return validation.finite_float(body.get("clock_ms"))


def _order_outcome(
    response: http_calls.JsonResponse | http_calls.NoResponse,
) -> fleet.OrderOutcome:
    """Converts the response to an order; other statuses mean unhealthy."""
    if isinstance(response, http_calls.NoResponse):
        return fleet.NoAnswer(response.sent, response.reason)
    clock = _clock_ms(response.body)
    if response.status == _OK:
        return fleet.Accepted(clock)
    if response.status == _MISDIRECTED:
        return fleet.InstanceReplaced()
    if response.status == _CONFLICT:
        return fleet.Refused(_decode_reason(response.body.get("reason")), clock)
    if response.status == _BAD_REQUEST:
        logs.error(
            "an instance rejected an order as invalid: {}",
            validation.excerpt(response.body),
        )
        return fleet.Refused(fleet.RefusalReason.INVALID, clock)
    return fleet.Refused(fleet.RefusalReason.UNHEALTHY, clock)


def _decode_reason(raw: Any) -> fleet.RefusalReason:
    try:
        return fleet.RefusalReason(raw)
    except (ValueError, RecursionError):
        logs.warning(
            "an instance refused an order, unknown reason: {}",
            validation.excerpt(raw),
        )
        return fleet.RefusalReason.INVALID


def decode_status_report(
    body: Mapping[str, Any],
) -> fleet.StatusReport | fleet.NoAnswer:
    """Decodes an instance's status report.

    A report that can't be decoded counts as no answer. If it counted as an
    empty report, the instance's tasks would be started elsewhere.
    """
    clock_ms = _clock_ms(body)
    if clock_ms is None:
        return fleet.NoAnswer(True, "the status report has no clock_ms")
    born_ms = body.get("born")
    if "born" in body and validation.safe_int(born_ms) is None:
        found = validation.excerpt(born_ms)
        return fleet.NoAnswer(
            True, f"status report: born: expected an integer, not {found}"
        )
    try:
        ended_runs = tuple(map(_decode_end, body.get("ended") or ()))
        return fleet.StatusReport(
            clock_ms=clock_ms,
            born_ms=born_ms,
            running=tuple(map(_decode_run, body.get("running") or ())),
            ended_runs=ended_runs,
            is_page_full=len(ended_runs) >= MAX_ENDS_PER_REPORT,
        )
    except unusable.FIELD_ERRORS as error:
        found = validation.excerpt(error)
        return fleet.NoAnswer(True, f"the status report is invalid: {found}")


def _decode_run(raw: Sequence[Any]) -> fleet.RunStatus:
    return fleet.RunStatus(
        parse_task(raw[0]),
        _ordinal(raw[1]),
        _checkpoint(raw[2]),
        _number_or_zero(raw[3]),
        _number_or_zero(raw[4]) if len(raw) > 4 else 0.0,
    )


def _number_or_zero(raw: Any) -> float:
    """Decodes a progress figure of a run, 0 if it is not a finite number.

    A wrong figure is no reason to reject the report: the run exists anyway.
    """
    number = validation.finite_float(raw)
    if number is None:
        logs.warning(
            "status report: not a finite number: {}", validation.excerpt(raw)
        )
        return 0.0
    return number


def _ordinal(raw: Any) -> int:
    """Decodes the number of a run or of an end.

    Raises:
        ValueError: it is not an integer from 0 to ``MAX_SAFE_INTEGER``. The
            number of an end that is larger than all others would make the owner
            pass over all further ends.
    """
    number = validation.safe_int(raw)
    if number is None or number < 0:
        raise ValueError(f"not the number of a run: {validation.excerpt(raw)}")
    return number


def _checkpoint(raw: Any) -> str:
    """Decodes a checkpoint; empty for none.

    Raises:
        ValueError: it is not a string.
    """
    if raw is not None and type(raw) is not str:
        raise ValueError(f"not a checkpoint: {validation.excerpt(raw)}")
    return raw or ""


def _decode_end(raw: Sequence[Any]) -> fleet.RunEnd:
    return fleet.RunEnd(
        _ordinal(raw[0]),
        parse_task(raw[1]),
        _ordinal(raw[2]),
        fleet.RunOutcome(raw[3]),
        _checkpoint(raw[4]),
    )
