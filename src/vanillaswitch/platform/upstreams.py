"""Instances: their registrations and the orders that they take."""

from collections.abc import Mapping
from typing import Any

from vanillaswitch.internal import logs
from vanillaswitch.platform import calls
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.transport import plain_http

TABLE = "servers"

PACE_TIMEOUT_S = 1.0
"""Limit for a pace order; it answers at once or something is wrong."""

_OK = 200
_REFUSED = 409
_REPLACED = 421
_INVALID = 400


def registration(
    instance: str, document: Mapping[str, Any]
) -> fleet.Registration:
    """Decodes a row of the table of instances."""
    return fleet.Registration(
        instance=instance,
        service=str(document.get("service", "")),
        address=str(document.get("address", "")),
        zone=str(document.get("zone", "")),
        draining=document.get("state") == "draining",
        capacity=resources(document.get("capacity") or {}),
        labels=tuple(str(label) for label in document.get("labels", ())),
    )


def resources(raw: Mapping[str, Any]) -> fleet.Resources:
    """Decodes room or need."""
    return fleet.Resources(
        int(raw.get("cpu", 0)),
        int(raw.get("mem_mb", 0)),
        int(raw.get("gpu", 0)),
    )


def format_task(task: jobs.TaskName) -> str:
    """Returns a task's name as instances spell it."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> jobs.TaskName:
    """Reads a task's name.

    Raises:
        ValueError: it is none.
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
        order: fleet.Start,
        timeout_s: float,
        fresh: bool,
    ) -> fleet.OrderOutcome:
        """Starts a task."""
        body: dict[str, Any] = {
            "task": format_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": order.deadline_ms,
            "fence_token": order.token,
        }
        if order.saved:
            body["checkpointed"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return _order(
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
        """Stops a run."""
        body = {"task": format_task(task), "run": run, "fence_token": token}
        return _order(self._post(target, "/-/run-stop", body, timeout_s, False))

    def hold(
        self,
        target: fleet.Registration,
        token: int,
        seen: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
        fresh: bool = False,
    ) -> fleet.HoldOutcome:
        """Extends the lease of what runs and reads what runs and ended."""
        body: dict[str, Any] = {"fence_token": token, "ack_cursor": seen}
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_s:
            body["wait_ms"] = int(wait_s * 1000)
        reply = self._post(target, "/-/hold", body, timeout_s, fresh)
        if isinstance(reply, calls.Reply) and reply.status == _OK:
            return _held(reply.body)
        outcome = _order(reply)
        if isinstance(outcome, fleet.Accepted):
            return fleet.NoAnswer(True, "an empty answer")
        return outcome

    def pace(
        self,
        target: fleet.Registration,
        task: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> fleet.OrderOutcome:
        """Lets a task work at a share of its speed."""
        body = {
            "task": format_task(task),
            "run": run,
            "percent": percent,
            "fence_token": token,
        }
        return _order(
            self._post(target, "/-/pace", body, PACE_TIMEOUT_S, False)
        )

    def _post(
        self,
        target: fleet.Registration,
        path: str,
        body: Mapping[str, Any],
        timeout_s: float,
        fresh: bool,
    ) -> calls.Reply | calls.NoReply:
        return calls.call(
            self._client,
            target.address,
            "POST",
            path,
            body,
            (("X-Target-Instance", target.instance),),
            timeout_s,
            fresh,
        )


def _clock(body: Mapping[str, Any]) -> float | None:
    clock = body.get("clock_ms")
    return float(clock) if isinstance(clock, int | float) else None


def _order(reply: calls.Reply | calls.NoReply) -> fleet.OrderOutcome:
    if isinstance(reply, calls.NoReply):
        return fleet.NoAnswer(reply.sent, reply.reason)
    clock = _clock(reply.body)
    if reply.status == _OK:
        return fleet.Accepted(0.0 if clock is None else clock)
    if reply.status == _REPLACED:
        return fleet.Replaced()
    if reply.status == _REFUSED:
        return fleet.Refused(_reason(reply.body.get("reason")), clock)
    if reply.status == _INVALID:
        logs.error("an instance calls an order invalid: {}", dict(reply.body))
        return fleet.Refused(fleet.Reason.INVALID, clock)
    return fleet.Refused(fleet.Reason.UNHEALTHY, clock)


def _reason(raw: Any) -> fleet.Reason:
    try:
        return fleet.Reason(raw)
    except ValueError:
        logs.warning("an order was refused for an unknown reason: {}", raw)
        return fleet.Reason.INVALID


def _held(body: Mapping[str, Any]) -> fleet.Held:
    return fleet.Held(
        clock_ms=_clock(body) or 0.0,
        running=tuple(
            fleet.Running(
                parse_task(row[0]),
                int(row[1]),
                str(row[2] or ""),
                float(row[3]),
                float(row[4]) if len(row) > 4 else 0.0,
            )
            for row in body.get("running") or ()
        ),
        ended=tuple(
            fleet.End(
                int(row[0]),
                parse_task(row[1]),
                int(row[2]),
                fleet.How(row[3]),
                str(row[4] or ""),
            )
            for row in body.get("ended") or ()
        ),
    )
