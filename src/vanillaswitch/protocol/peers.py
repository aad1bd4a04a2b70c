"""Messages between the processes of the system.

They travel as msgpack on TCP streams. All of it is soft state: any message may
be lost, doubled or late, and the table stays the only truth.
"""

from collections.abc import Mapping
import dataclasses
import enum

from vanillaswitch.protocol import requests


class Role(enum.StrEnum):
    """Which daemon a process is."""

    ENTRY = "entry"
    CONTROLLER = "controller"


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A process tells its peers that it lives.

    Attributes:
        process: name from its settings.
        boot: random id of this start; a new boot is a new process.
        address: "ip:port" of its peer port.
        sequence: grows with each heartbeat of this boot.
        config_version: the configuration in force there; 0 for none.
        view_version: highest commit number of the drains it acts on.
        leaving: it is shutting down.
        loads: requests in flight by minion instance; absent means zero.
        peers: peer addresses it knows, so that new processes are found.
        interval_s: when the receiver may expect the next heartbeat.
    """

    process: str
    boot: str
    role: Role
    address: str
    data_centre: str
    sequence: int
    config_version: int
    view_version: int
    leaving: bool
    loads: Mapping[str, int]
    peers: tuple[str, ...] = ()
    interval_s: float = 0.5


@dataclasses.dataclass(frozen=True)
class ConfigOffer:
    """The sender has this configuration in force."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True)
class ConfigRequest:
    """Please send the body of this version."""

    version: int


@dataclasses.dataclass(frozen=True)
class ConfigBody:
    """A configuration, checked by its digest."""

    version: int
    digest: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class DrainNotice:
    """A budget row as committed: these instances get no new work.

    Attributes:
        version: commit number of the row; a lower one is ignored.
    """

    service: str
    version: int
    instances: tuple[str, ...]


class ClaimState(enum.StrEnum):
    """How far a claimed request has come."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ClaimQuery:
    """Asks the holder of a claim how far it has come.

    Attributes:
        boot: the boot that holds the claim; another one does not know. Empty
            asks any entry whether it ever held the claim.
    """

    query: str
    claim: str
    digest: str
    boot: str = ""


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """The holder's word on a claim; ``answer`` only when DONE.

    Asked without a boot, RELEASED also says that the claim was never held.

    Attributes:
        unbroken_s: for how long the sender has forgotten no claim of its own
            and missed no other entry; only with such a RELEASED.
        entries: boots of the living entries that it knows, likewise.
    """

    query: str
    state: ClaimState
    answer: requests.Answer | None = None
    unbroken_s: float = 0.0
    entries: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class SlotAsk:
    """Asks a peer to lend some of its idle slots.

    Attributes:
        process: who asks.
        ask: id that no other ask ever has.
        slots: how many at most.
        priority: of the most urgent request that waits; lower goes first.
    """

    process: str
    ask: str
    service: str
    slots: int
    priority: int


@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """Lends one slot at each instance named; none when nothing is idle.

    An instance that lends several slots is named several times. The loans are
    called "<ask>/0", "<ask>/1" and so on, in the order of the instances.
    """

    process: str
    ask: str
    service: str
    instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SlotReturn:
    """Gives loans back; one that is unknown or given back twice is nothing."""

    process: str
    loans: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobQuestion:
    """Asks the owner of the fleet for a job's state or a queue's length.

    Attributes:
        question: id by which the answer is matched.
        job_id: the job; empty when the queue is asked for.
        queue: name of the queue.
    """

    question: str
    job_id: str
    queue: str


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """The owner's answer.

    Attributes:
        owner: whether the sender owns the fleet; else nothing else counts.
        state: a job's recorded state; empty when it is not known.
        pending: jobs of the queue that wait for their first start.
    """

    question: str
    owner: bool
    state: str = ""
    pending: int = 0


@dataclasses.dataclass(frozen=True)
class OwnerQuestion:
    """Asks a process whether it still serves as the owner of the fleet.

    The asker can reach the store and sees that the owner does not write.

    Attributes:
        boot: start of the process that the owner's row names.
        patience_s: an owner that wrote more lately goes on.
        asker: where the sender listens; it can reach the store.
    """

    question: str
    boot: str
    patience_s: float
    asker: str = ""


@dataclasses.dataclass(frozen=True)
class OwnerStanding:
    """The answer.

    Attributes:
        boot: start of the process that answers.
        ended: the term that was asked about is over, at the latest now.
    """

    question: str
    boot: str
    ended: bool


@dataclasses.dataclass(frozen=True)
class StoreQuestion:
    """Asks a process whether the store answers it."""

    question: str


@dataclasses.dataclass(frozen=True)
class StoreStanding:
    """The answer.

    Attributes:
        answers: the store has answered the sender lately.
        owner: where the owner of the fleet listens, as the sender knows it.
    """

    question: str
    answers: bool
    owner: str


class ErrandKind(enum.StrEnum):
    """What a process has another one do at the store."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    STATE = "state"


@dataclasses.dataclass(frozen=True)
class Errand:
    """Asks a process to do at the store what the sender can't.

    Attributes:
        job_id: whose row is written or read.
        document: the job as JSON, of a hand-in; else empty.
        known: it is certain that the job was accepted.
        patience_s: how long the sender's client still waits.
    """

    question: str
    kind: ErrandKind
    job_id: str
    document: bytes
    known: bool
    patience_s: float


@dataclasses.dataclass(frozen=True)
class ErrandDone:
    """What came of it.

    Attributes:
        verdict: as the sender would tell a client of its own.
        state: a job's recorded state, where that was asked for.
    """

    question: str
    verdict: str
    state: str = ""


Message = (
    Heartbeat
    | ConfigOffer
    | ConfigRequest
    | ConfigBody
    | DrainNotice
    | ClaimQuery
    | ClaimReply
    | SlotAsk
    | SlotGrant
    | SlotReturn
    | JobQuestion
    | JobAnswer
    | OwnerQuestion
    | OwnerStanding
    | StoreQuestion
    | StoreStanding
    | Errand
    | ErrandDone
)
