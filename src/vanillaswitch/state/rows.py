"""Typed rows of the platform's table.

Each row is a frozen data class; ``dump`` and ``load`` turn it into the JSON
mapping that the table keeps and back.
"""

from collections.abc import Mapping
import dataclasses
import functools
from typing import Any
from typing import TypeVar

import cattrs
from cattrs.preconf import json as json_preconf

from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class AcceptedConfig:
    """One configuration that was accepted earlier.

    Attributes:
        token: of the transaction that accepted it.
    """

    number: int
    digest: str
    token: str


@dataclasses.dataclass(frozen=True)
class ConfigHead:
    """``config/head``: the configuration in force.

    Attributes:
        number: grows by one with each accepted change.
        digest: SHA-256 in hex of the body in the object store.
        author: operator who applied it.
        recent: the latest configurations, this one first; shows a writer
            whose answer was lost whether its write took effect, also when
            another one has followed it.
    """

    number: int
    digest: str
    author: str
    applied_wall_s: float
    recent: tuple[AcceptedConfig, ...] = ()


@dataclasses.dataclass(frozen=True)
class Session:
    """``session/<controller>``: a controller's lease.

    Attributes:
        boot: random id of this start.
        renewals: grows with each renewal, so that the row changes.
    """

    boot: str
    address: str
    data_centre: str
    renewals: int


@dataclasses.dataclass(frozen=True)
class Duty:
    """``duty/<name>``: who holds a duty.

    Attributes:
        holder: the controller's name; empty when it was given up.
        epoch: fencing epoch, grows by one with each change of holder.
    """

    holder: str
    boot: str
    epoch: int


@dataclasses.dataclass(frozen=True)
class Instance:
    """``instance/<id>``: the one pool that an instance belongs to.

    Attributes:
        pool: its pool; a move changes this field in one transaction.
        target_pool: where a begun move takes it; empty for none.
        phase: where it stands in maintenance or a move.
        operation: id of the intent under way; empty for none.
        wave: the wave that has it down; empty for none.
        cordoned: takes no new tasks; ``reason`` says why.
        boots: boots seen before the reboot under way was asked for.
        maintained: wave and run that rebooted it last; empty for none.
    """

    pool: str
    kind: platform.InstanceKind
    service: str
    data_centre: str
    rack: str
    phase: platform.MaintenancePhase = platform.MaintenancePhase.SERVING
    target_pool: str = ""
    operation: str = ""
    wave: str = ""
    cordoned: bool = False
    reason: str = ""
    boots: int = 0
    maintained: str = ""


@dataclasses.dataclass(frozen=True)
class Budget:
    """``budget/<service>``: what is taken down on purpose now.

    Whoever writes the row of an instance of the service writes this row too,
    changed or not. Its version therefore stands for the rows of all of them:
    two takers of one service conflict, and who finds the version unchanged
    knows that the rows are.

    Attributes:
        down: instance name to the operation id that has it down.
    """

    down: Mapping[str, str]


@dataclasses.dataclass(frozen=True)
class Claim:
    """``once/<caller>/<service>/<key>``: a non-idempotent request.

    Attributes:
        entry: process that claimed it; the only one that may ever send it.
        boot: that process's boot id.
        peer: peer address of that process.
        digest: of method, target, body and time of issue.
        answer_status: status of the whole answer when DONE.
        answer_body: base64 of the answer's body; empty for a large one.
        answer_object: SHA-256 in hex of a large answer's body in the object
            store; empty when the body is in the row.
    """

    state: peers.ClaimState
    entry: str
    boot: str
    peer: str
    digest: str
    issued_ms: int
    answer_status: int = 0
    answer_headers: tuple[tuple[str, str], ...] = ()
    answer_body: str = ""
    answer_object: str = ""


@functools.cache
def _converter() -> cattrs.Converter:
    return json_preconf.make_converter(forbid_extra_keys=False)


def dump(row: object) -> dict[str, Any]:
    """Returns the JSON mapping of a row."""
    mapping: dict[str, Any] = _converter().unstructure(row)
    return mapping


def load(kind: type[T], value: Mapping[str, Any]) -> T:
    """Returns the typed row of a mapping; unknown fields are passed over.

    They may have been written by a newer version of the program during a
    rolling upgrade.
    """
    return _converter().structure(value, kind)
