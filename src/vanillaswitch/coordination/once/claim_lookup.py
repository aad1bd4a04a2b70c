"""Determines the state of a claim that another process may hold."""

from collections.abc import Callable
import dataclasses
import hashlib
import random

from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import rows

QUERY_TIMEOUT_S = 0.25
MAX_READS = 3

QueryClaim = Callable[[str, peers.ClaimQuery, float], peers.ClaimReply | None]


@dataclasses.dataclass(frozen=True)
class UnclaimedRow:
    """The claim may be taken by overwriting this version of its row."""

    version: int


@dataclasses.dataclass(frozen=True)
class OwnRow:
    """The row is this boot's own claim."""

    version: int


LookupResult = UnclaimedRow | OwnRow | claims.Replay | requests.Refusal


class ClaimLookup:
    """Reads claims and stored answers, and queries the claims' holders."""

    def __init__(
        self,
        holder: claim_rules.Holder,
        table: platform.Table,
        objects: platform.ObjectStore,
        query_claim: QueryClaim,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Creates a lookup.

        Args:
            holder: this process.
            table: read again if a holder does not know its claim.
            objects: stores the bodies of large answers.
            query_claim: sends a query to a peer address and waits up to the
                given seconds for the reply; returns None if there is no reply.
            clock: measures the remaining time.
            rng: random source for query ids.
        """
        self._holder = holder
        self._table = table
        self._objects = objects
        self._query_claim = query_claim
        self._clock = clock
        self._rng = rng

    def resolve(
        self, row: platform.Row, digest: str, deadline: float
    ) -> LookupResult:
        """Returns what an existing claim row means for a request.

        Args:
            row: the row as reported by a conflicting commit.
            digest: of the request.
            deadline: monotonic seconds; no holder is queried after it.
        """
        refusal = claim_rules.HOLDER_UNREACHABLE
        for _ in range(MAX_READS):
            result = self._classify(row, digest, deadline)
            if not isinstance(result, _Undetermined):
                return result
            # The holder may have written the outcome and removed its record
            # after we read the row.
            refusal = result.refusal
            reread = self._table.read([row.key])
            if isinstance(reread, platform.Unavailable):
                return refusal
            if not reread.rows:
                return UnclaimedRow(platform.ABSENT)
            if reread.rows[0].version == row.version:
                return refusal
            row = reread.rows[0]
        return refusal

    def _classify(
        self, row: platform.Row, digest: str, deadline: float
    ) -> "LookupResult | _Undetermined":
        if row.version == platform.ABSENT:
            return UnclaimedRow(platform.ABSENT)
        claim = rows.load(rows.Claim, row.value)
        classification = claim_rules.classify_claim(claim, self._holder, digest)
        if isinstance(classification, claim_rules.Unclaimed):
            return UnclaimedRow(row.version)
        if isinstance(classification, claim_rules.OwnClaim):
            return OwnRow(row.version)
        if isinstance(classification, claim_rules.Completed):
            return self._load_answer(claim)
        if isinstance(classification, claim_rules.HeldElsewhere):
            return self._query_holder(row, claim, deadline)
        return classification

    def _query_holder(
        self, row: platform.Row, claim: rows.Claim, deadline: float
    ) -> "LookupResult | _Undetermined":
        timeout_s = min(QUERY_TIMEOUT_S, deadline - self._clock.monotonic())
        if timeout_s <= 0:
            return claim_rules.HOLDER_UNREACHABLE
        query = peers.ClaimQuery(
            ids.new_id(self._rng), row.key, claim.digest, claim.boot
        )
        reply = self._query_claim(claim.peer, query, timeout_s)
        if reply is None or reply.state is peers.ClaimState.UNKNOWN:
            return _Undetermined(claim_rules.HOLDER_UNREACHABLE)
        if reply.state is peers.ClaimState.RELEASED:
            # The holder replied after we read this version. It released the
            # claim without sending the request, and a new claim needs a higher
            # version.
            return UnclaimedRow(row.version)
        if reply.state is peers.ClaimState.CLAIMED:
            return claim_rules.IN_PROGRESS
        if reply.answer is None:
            return _Undetermined(claim_rules.ANSWER_UNAVAILABLE)
        return claims.Replay(reply.answer)

    def _load_answer(
        self, claim: rows.Claim
    ) -> claims.Replay | requests.Refusal:
        answer = claim_rules.stored_answer(claim)
        if not claim.answer_object:
            return claims.Replay(answer)
        body = self._objects.get(claim.answer_object)
        if not isinstance(body, platform.ObjectContent):
            return claim_rules.ANSWER_UNAVAILABLE
        if hashlib.sha256(body.content).hexdigest() != claim.answer_object:
            return claim_rules.ANSWER_UNAVAILABLE
        return claims.Replay(dataclasses.replace(answer, body=body.content))


@dataclasses.dataclass(frozen=True)
class _Undetermined:
    """The holder gave no result; the row may have one by now."""

    refusal: requests.Refusal
