"""JSON shapes of the platform's HTTP interface.

A call's body is one of the data classes below; an answer's body is an outcome
with its kind in the field ``outcome``.
"""

from collections.abc import Mapping
import dataclasses
import functools
import json
import re
from typing import Any
from typing import TypeVar

import cattrs
from cattrs import strategies
from cattrs.preconf import json as json_preconf

from vanillaswitch.protocol import platform

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class ReadCall:
    """POST /table/read."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class ScanCall:
    """POST /table/scan."""

    prefix: str
    after: str = ""
    limit: int = 0


@dataclasses.dataclass(frozen=True)
class StatusCall:
    """POST /instances/status."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class OperationCall:
    """POST /instances/{name}/{drain|reboot|resume}, and of tasks."""

    operation: str


@dataclasses.dataclass(frozen=True)
class RenewCall:
    """POST /workers/{name}/renew."""

    operations: tuple[str, ...]
    lease_s: float


@dataclasses.dataclass(frozen=True)
class ThrottleCall:
    """POST /workers/{name}/throttle."""

    operation: str
    share: float


@dataclasses.dataclass(frozen=True)
class Statuses:
    """What the instances that answered say."""

    instances: tuple[platform.InstanceStatus, ...]


@dataclasses.dataclass(frozen=True)
class Reports:
    """The workers' reports."""

    tasks: tuple[platform.TaskReport, ...]


@dataclasses.dataclass(frozen=True)
class Refused:
    """The call breaks a rule of the platform; it had no effect."""

    reason: str


Outcome = (
    platform.Committed
    | platform.Conflict
    | platform.Unavailable
    | platform.OutcomeUnknown
    | platform.Rows
    | platform.Missing
    | platform.Done
    | platform.Listings
    | Statuses
    | Reports
    | Refused
)


def encode_call(call: object) -> bytes:
    """Returns the body of a call."""
    return _encode(_converter().unstructure(call))


def decode_call(kind: type[T], body: bytes) -> T:
    """Returns the call in a body.

    Raises:
        ValueError: the body is no such call.
    """
    return _structure(kind, body)


def encode_outcome(outcome: Outcome) -> bytes:
    """Returns the body of an answer."""
    return _encode(_converter().unstructure(outcome, Outcome))


def decode_outcome(body: bytes) -> Outcome:
    """Returns the outcome in an answer's body.

    Raises:
        ValueError: the body is no outcome.
    """
    outcome: Outcome = _structure(Outcome, body)  # type: ignore[arg-type]
    return outcome


def _encode(mapping: Mapping[str, Any]) -> bytes:
    return json.dumps(mapping, separators=(",", ":")).encode()


def _structure(kind: type[T], body: bytes) -> T:
    try:
        return _converter().structure(json.loads(body), kind)
    except cattrs.BaseValidationError as error:
        told = "; ".join(cattrs.transform_error(error))
        raise ValueError(f"not a {kind}: {told}") from error
    except (KeyError, TypeError) as error:
        raise ValueError(f"not a {kind}: {error!r}") from error


def _tag(kind: type) -> str:
    """Returns "outcome-unknown" for ``OutcomeUnknown``."""
    return re.sub(r"(?<!^)(?=[A-Z])", "-", kind.__name__).lower()


@functools.cache
def _converter() -> cattrs.Converter:
    converter = json_preconf.make_converter()
    strategies.configure_tagged_union(
        Outcome, converter, tag_generator=_tag, tag_name="outcome"
    )
    return converter
