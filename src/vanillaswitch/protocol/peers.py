"""Messages between the processes of the system.

Messages are encoded as msgpack and sent over TCP streams. They carry only soft
state: any message may be lost, duplicated or delayed, and the table is the
only source of truth.

Class and field names are part of the wire format.
"""

from collections.abc import Mapping
import dataclasses
import enum

from vanillaswitch.protocol import requests


class Role(enum.StrEnum):
    """The kind of daemon that a process runs."""

    ENTRY = "entry"
    CONTROLLER = "controller"


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Periodic sign of life of a process to its peers.

    Attributes:
        process: name from its settings.
        boot: random id of this start; a new boot means a new process.
        address: "ip:port" on which it accepts peer connections.
        sequence: grows with each heartbeat of this boot.
        config_version: version of its active configuration; 0 for none.
        view_version: highest version of the ``DrainNotice`` messages or budget
            rows that it applies.
        leaving: it is shutting down.
        loads: requests in flight by minion instance; absent means zero.
        peers: peer addresses that it knows, for discovery of new processes.
        interval_s: time within which the receiver can expect the next
            heartbeat.
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
    """Announces the version of the sender's active configuration."""

    version: int
    digest: str


@dataclasses.dataclass(frozen=True)
class ConfigRequest:
    """Requests the body of a configuration version."""

    version: int


@dataclasses.dataclass(frozen=True)
class ConfigBody:
    """The body of a configuration, which the digest verifies."""

    version: int
    digest: str
    body: bytes


@dataclasses.dataclass(frozen=True)
class DrainNotice:
    """A committed budget row: these instances must not get new work.

    Attributes:
        version: commit number of the row; a lower one is ignored.
    """

    service: str
    version: int
    instances: tuple[str, ...]


class ClaimState(enum.StrEnum):
    """The state of a claimed request."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class ClaimQuery:
    """Asks the holder of a claim for its state.

    Attributes:
        boot: the boot that holds the claim; no other boot knows its state.
            If empty, the query asks any entry whether it ever held the claim.
    """

    query: str
    claim: str
    digest: str
    boot: str = ""


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """The state of a claim; ``answer`` is set only in state DONE.

    In reply to a query without a boot, RELEASED can also mean that the sender
    never held the claim. Only then are the last two fields set.

    Attributes:
        unbroken_s: for how long without a break the sender has both kept all
            of its own claims and been in contact with all other entries.
        entries: boots of the live entries that the sender knows.
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
        process: name of the sender.
        ask: unique id of this request.
        slots: maximum number of slots.
        priority: priority of the most urgent waiting request; lower values
            go first.
    """

    process: str
    ask: str
    service: str
    slots: int
    priority: int


@dataclasses.dataclass(frozen=True)
class SlotGrant:
    """Lends one slot for each item of ``instances``; empty if none is idle.

    An instance occurs once per slot that it lends. The ids of the loans are
    "<ask>/0", "<ask>/1" and so on, in the order of ``instances``.
    """

    process: str
    ask: str
    service: str
    instances: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class SlotReturn:
    """Returns loans; unknown and already returned ones are ignored."""

    process: str
    loans: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobQuestion:
    """Asks the owner of the fleet for a job's state or a queue's length.

    Attributes:
        question: id that matches the answer to the question.
        job_id: the job; empty to ask for the queue.
        queue: name of the queue.
        account: client account of the caller; the job of another account is
            unknown to it.
    """

    question: str
    job_id: str
    queue: str
    account: str = ""


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """Answers a ``JobQuestion``.

    Attributes:
        owner: whether the sender owns the fleet; if not, the other fields
            have no meaning.
        state: the recorded state of the job; empty if unknown.
        pending: number of jobs of the queue that wait for their first start.
    """

    question: str
    owner: bool
    state: str = ""
    pending: int = 0


@dataclasses.dataclass(frozen=True)
class OwnerQuestion:
    """Asks a process whether it still acts as the owner of the fleet.

    The sender can reach the store and sees that the owner does not write.

    Attributes:
        boot: boot id in the owner's row.
        patience_s: an owner whose last write is more recent than this stays
            the owner.
        asker: address of the sender, which can reach the store.
    """

    question: str
    boot: str
    patience_s: float
    asker: str = ""


@dataclasses.dataclass(frozen=True)
class OwnerStanding:
    """Answers an ``OwnerQuestion``: whether the sender has stopped as owner.

    Attributes:
        boot: boot id of the sender.
        ended: the process in question does not act as the owner any more; if it
            did until now, it stopped before it sent this.
    """

    question: str
    boot: str
    ended: bool


@dataclasses.dataclass(frozen=True)
class StoreQuestion:
    """Asks a process whether it can reach the store."""

    question: str


@dataclasses.dataclass(frozen=True)
class StoreStanding:
    """Answers a ``StoreQuestion``: whether the sender can reach the store.

    Attributes:
        answers: the store has recently answered the sender.
        owner: address of the owner of the fleet, as far as the sender knows.
    """

    question: str
    answers: bool
    owner: str


class ErrandKind(enum.StrEnum):
    """The kind of store request that a process forwards to another one."""

    SUBMIT = "submit"
    CANCEL = "cancel"
    STATE = "state"


@dataclasses.dataclass(frozen=True)
class Errand:
    """Forwards a store request of a process that can't reach the store.

    Attributes:
        job_id: the job whose row is written or read.
        document: the job as JSON for a submission; empty otherwise.
        known: the job is known to have been accepted.
        patience_s: how much longer the sender's client waits.
        account: client account of the caller, for a cancellation or a state.
    """

    question: str
    kind: ErrandKind
    job_id: str
    document: bytes
    known: bool
    patience_s: float
    account: str = ""


@dataclasses.dataclass(frozen=True)
class ErrandDone:
    """The result of an ``Errand``.

    Attributes:
        verdict: the result, as for a client of the process that executed it.
        state: the recorded state of the job, if it was requested.
    """

    question: str
    verdict: str
    state: str = ""


@dataclasses.dataclass(frozen=True)
class GroupBacklog:
    """Work of one group of urgency that a pool has not done yet.

    Attributes:
        group: see ``queue_order.Group``.
        priority: priority of the queues of this work; 0 goes first.
        work: thousandths of a core times milliseconds.
    """

    group: int
    priority: int
    work: float


@dataclasses.dataclass(frozen=True)
class PoolBacklog:
    """Work that waits for a pool, and how fast the pool can do it.

    Attributes:
        rate: thousandths of a core that the pool has or can still get for work
            that ends by itself, corrected by how fast it completed such work.
    """

    pool: str
    rate: float
    groups: tuple[GroupBacklog, ...]


@dataclasses.dataclass(frozen=True)
class LoadQuestion:
    """Asks the owner of the fleet for what waits for the pools."""

    question: str


@dataclasses.dataclass(frozen=True)
class LoadAnswer:
    """Answers a ``LoadQuestion``.

    Attributes:
        owner: whether the sender owns the fleet; if not, the other fields
            have no meaning.
        pools: pools with a significant backlog.
        accounts: client accounts that have used up their share.
        askers: about how many processes ask.
    """

    question: str
    owner: bool
    pools: tuple[PoolBacklog, ...] = ()
    accounts: tuple[str, ...] = ()
    askers: int = 1


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
    | LoadQuestion
    | LoadAnswer
)
