"""Entries that share one table, and a minion that counts its runs."""

import collections
import dataclasses
import random

import gevent

from standins import faults as faults_module
from standins import objects as objects_module
from standins import table as table_module
from tests.common import clocks
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import claim_service
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import claims as claims_protocol
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests

RETENTION_S = 86_400.0
CONTACT_S = 400.0
WATCH_INTERVAL_S = 4.0


class NonDeduplicatingTable(table_module.MemoryTable):
    """A table that treats each copy of a transaction as a new one.

    The interface does not guarantee that a table recognises a token again, so
    tests must not depend on it.
    """

    def _apply(self, transaction):
        self._applied.clear()
        return super()._apply(transaction)


class _Link:
    """One entry's connection to the shared table, with its own faults."""

    def __init__(self, table: platform.Table):
        self.faults = faults_module.Faults()
        self._table = table

    def read(self, keys):
        return self.faults.read(lambda: self._table.read(keys))

    def scan(self, prefix, after="", limit=0):
        return self.faults.read(lambda: self._table.scan(prefix, after, limit))

    def commit(self, transaction):
        return self.faults.write(lambda: self._table.commit(transaction))


class _Entry:
    """One boot of an entry."""

    def __init__(self, harness: "ClaimHarness", name: str, boot: str):
        self.name = name
        self.boot = boot
        self.link = _Link(harness.table)
        self.cut_from_peers = False
        self.components = claim_service.make_components(
            claim_rules.Holder(name, boot, f"peer-{name}"),
            self.link,
            harness.objects,
            lambda peer, query, _: harness.query_claim(self, peer, query),
            lambda: harness.members(self),
            harness.clock,
            harness.rng,
            lambda: RETENTION_S,
        )
        self.claims = claim_service.TableClaimService(self.components)
        self._task = gevent.spawn(self.components.committer.run)

    def kill(self) -> None:
        self._task.kill()

    def write_all(self) -> None:
        self.components.records.write_all()


@dataclasses.dataclass
class ClaimedRequest:
    """A claimed request that an entry is processing."""

    entry: _Entry
    request: requests.Request
    claim_id: str
    answer: requests.Answer | None = None


class ClaimHarness:
    """The entries, table, object store and clock shared by claim tests."""

    def __init__(self, names=("a", "b", "c")):
        self.clock = clocks.ManualClock()
        self.rng = random.Random(5)
        self.table = NonDeduplicatingTable()
        self.objects = objects_module.MemoryObjects()
        self.runs: collections.Counter[tuple[str, str]] = collections.Counter()
        self.entries: dict[str, _Entry] = {}
        self.before_reply = lambda: None
        self._boots = 0
        for name in names:
            self.restart(name)
        self.advance_in_contact(CONTACT_S)
        self.issued_ms = int(self.clock.wall() * 1000)

    def advance_in_contact(self, seconds: float) -> None:
        """Advances the clock while all entries observe their peers."""
        for _ in range(int(seconds / WATCH_INTERVAL_S)):
            self.clock.advance(WATCH_INTERVAL_S)
            for entry in self.entries.values():
                entry.components.history.watch()

    def members(self, observer: _Entry) -> dict[str, peer_membership.Member]:
        """Returns the other entries as members that are all alive."""
        now = self.clock.monotonic()
        alive = peer_membership.Liveness.ALIVE
        return {
            name: peer_membership.Member(_heartbeat(entry), alive, now, now)
            for name, entry in self.entries.items()
            if entry is not observer
        }

    def restart(self, name: str) -> _Entry:
        """Replaces an entry by a new boot, and kills the old one if any."""
        if name in self.entries:
            self.entries[name].kill()
        self._boots += 1
        self.entries[name] = _Entry(self, name, f"boot-{self._boots}")
        return self.entries[name]

    def close(self) -> None:
        """Kills all entries."""
        for entry in self.entries.values():
            entry.kill()

    def request(self, key="k", caller="tacoma", body=b"one veil"):
        """Returns a request with a deadline in one second."""
        return requests.Request(
            request_id="r",
            caller=caller,
            service="fabric-store",
            request_class="order",
            method="POST",
            target="/fabric-store/orders",
            headers=(),
            body=body,
            deadline=self.clock.monotonic() + 1.0,
            idempotency_key=key,
            issued_ms=self.issued_ms,
        )

    def run(
        self, attempt: ClaimedRequest, body: bytes = b"done"
    ) -> requests.Answer:
        """Runs the request at the minion; fails if it runs a second time."""
        name = (attempt.request.caller, attempt.request.idempotency_key)
        self.runs[name] += 1
        assert self.runs[name] == 1, f"{name} ran twice"
        attempt.answer = requests.Answer(
            201, (("Content-Type", "text/plain"),), repr(name).encode() + body
        )
        return attempt.answer

    def run_and_complete(self, attempt: ClaimedRequest, body: bytes = b"done"):
        """Runs the request at the minion and completes its claim."""
        answer = self.run(attempt, body)
        attempt.entry.claims.complete(attempt.claim_id, answer)
        return answer

    def begin(self, name: str, request=None):
        """Begins a request at an entry and returns the result."""
        return self.entries[name].claims.begin(request or self.request())

    def claim_request(self, name: str, request=None) -> ClaimedRequest:
        """Begins a request, which must get the claim."""
        request = request or self.request()
        begun = self.begin(name, request)
        assert isinstance(begun, claims_protocol.ClaimGranted), begun
        return ClaimedRequest(self.entries[name], request, begun.claim_id)

    def query_claim(self, sender: _Entry, peer: str, query: peers.ClaimQuery):
        """Passes a query to the live entry at an address."""
        self.before_reply()
        holder = self.entries.get(peer.removeprefix("peer-"))
        if holder is None or holder.cut_from_peers or sender.cut_from_peers:
            return None
        return holder.claims.answer_query(query)


def _heartbeat(entry: _Entry) -> peers.Heartbeat:
    role = peers.Role.ENTRY
    address = f"peer-{entry.name}"
    return peers.Heartbeat(
        entry.name, entry.boot, role, address, "", 1, 1, 1, False, {}
    )
