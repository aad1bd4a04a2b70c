"""Runs a non-idempotent request at most once.

The row ``once/<caller>/<service>/<key>`` is inserted before the request is
sent, and it names the process that inserted it. Only that process may ever
send the request, and it sends it once. The claim has no lease, so no other
process can take it over. A holder that was paused for any length of time
therefore never sends a request that another process has sent meanwhile. The
request path checks the deadline before it sends, which covers a caller that
no longer waits. The price is that the outcomes of a holder's open claims stay
unknown for good once the holder is gone.

A claim is overwritten in one case only: its holder released it without having
sent the request, and says so in the row or in reply to a query. Both refer to
one version of the row, which changes with each new claim.
"""

from collections.abc import Callable
import dataclasses
import random

from vanillaswitch import errors
from vanillaswitch.coordination.once import claim_expiry
from vanillaswitch.coordination.once import claim_history
from vanillaswitch.coordination.once import claim_lookup
from vanillaswitch.coordination.once import claim_records
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import group_commit
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import keys
from vanillaswitch.state import rows

SEND_RESERVE_S = 0.1
PEER_CHECK_RESERVE_S = 0.05
MAX_CLAIM_ATTEMPTS = 4

ClaimResult = claims.ClaimGranted | claims.Replay | requests.Refusal


@dataclasses.dataclass(frozen=True)
class ClaimComponents:
    """The components of the claim service.

    Attributes:
        holder: this process.
        committer: writes the claims; its task is spawned elsewhere.
        records: keeps and writes outcomes; its task is spawned elsewhere.
        lookup: determines the state of claims of other processes.
        history: determines whether keys were claimed while the table is
            unavailable; its task is spawned elsewhere.
        clock: for deadlines, and the wall clock for the retention.
        rng: random source for tickets.
        retention_s: returns the current retention of claims, in seconds.
    """

    holder: claim_rules.Holder
    committer: group_commit.GroupCommitter
    records: claim_records.ClaimRecords
    lookup: claim_lookup.ClaimLookup
    history: claim_history.ClaimHistory
    clock: clocks.Clock
    rng: random.Random
    retention_s: Callable[[], float]


def make_components(
    holder: claim_rules.Holder,
    table: platform.Table,
    objects: platform.ObjectStore,
    query_claim: claim_lookup.QueryClaim,
    members: claim_history.Members,
    clock: clocks.Clock,
    rng: random.Random,
    retention_s: Callable[[], float],
) -> ClaimComponents:
    """Creates the components with default limits.

    Args:
        holder: this process.
        table: stores the claims.
        objects: stores the bodies of large answers.
        query_claim: see ``claim_lookup.ClaimLookup``.
        members: see ``claim_history.ClaimHistory``.
        clock: for all components.
        rng: random source of all components.
        retention_s: returns the current retention of claims, in seconds.
    """
    committer = group_commit.GroupCommitter(table, clock, rng)
    records = claim_records.ClaimRecords(holder, committer, objects, clock)
    lookup = claim_lookup.ClaimLookup(
        holder, table, objects, query_claim, clock, rng
    )
    history = claim_history.ClaimHistory(
        holder, members, query_claim, clock, rng
    )
    return ClaimComponents(
        holder, committer, records, lookup, history, clock, rng, retention_s
    )


class TableClaimService:
    """Implements ``protocol.claims.ClaimService`` for one boot of an entry."""

    def __init__(self, components: ClaimComponents):
        """Creates the service from its components."""
        self._holder = components.holder
        self._committer = components.committer
        self._records = components.records
        self._lookup = components.lookup
        self._history = components.history
        self._clock = components.clock
        self._rng = components.rng
        self._retention_s = components.retention_s

    def begin(self, request: requests.Request) -> ClaimResult:
        """Claims a request, or returns the known result for its key.

        Blocks until shortly before the request's deadline at most. A request
        without a key needs no claim and gets an empty ticket.
        """
        if not request.idempotency_key:
            return claims.ClaimGranted("")
        now_ms = int(self._clock.wall() * 1000)
        if claim_expiry.is_too_old(
            request.issued_ms, now_ms, self._retention_s()
        ):
            return claim_rules.TOO_OLD
        row_key = keys.claim(
            request.caller, request.service, request.idempotency_key
        )
        digest = claim_rules.compute_digest(request)
        known_record = self._records.get(row_key)
        known_result = (
            _known_result(known_record, digest) if known_record else None
        )
        if known_result is not None:
            return known_result
        if known_record or not self._can_claim(row_key):
            return self._check_with_peers(row_key, digest, request)
        # Stored before the first task switch, so that a second request with
        # this key sees the first one in progress.
        record = claim_records.ClaimRecord(digest, request.issued_ms)
        self._records.store(row_key, record)
        try:
            return self._claim(row_key, record, request)
        except BaseException:
            # The task was killed, for example because its caller disconnected.
            # The insert may still take effect, but the request is never sent.
            self._records.set_outcome(row_key, peers.ClaimState.RELEASED)
            raise

    def release(self, ticket: str) -> None:
        """Releases a claim whose request certainly never ran.

        Returns when the row shows the release or one write timed out, or at
        once if the table is unresponsive. In each case this process replies to
        queries for the claim.
        """
        self._set_outcome(ticket, peers.ClaimState.RELEASED)
        if ticket and not self._committer.is_unresponsive:
            self._records.write((_row_key_of(ticket),))

    def complete(self, ticket: str, answer: requests.Answer) -> None:
        """Stores the complete answer; it is written in the background."""
        self._set_outcome(ticket, peers.ClaimState.DONE, answer)

    def mark_unknown(self, ticket: str) -> None:
        """Records that the request was sent and its outcome is unknown."""
        self._set_outcome(ticket, peers.ClaimState.UNKNOWN)

    def flush(self, grace_s: float) -> int:
        """Writes outcomes before a shutdown, for up to ``grace_s`` seconds.

        Returns:
            The number of outcomes that are still unwritten.
        """
        return self._records.flush(grace_s)

    def answer_query(self, query: peers.ClaimQuery) -> peers.ClaimReply:
        """Replies with the state of a claim of this boot.

        A query without a boot asks whether this boot ever held the claim.

        This guards against the following failure: this process was restarted,
        or replaced the holder at its address. Its own record for the key then
        says nothing about the claim in the query, so it replies UNKNOWN.
        """
        record = self._records.get(query.claim)
        if not query.boot and (
            record is None or record.state is peers.ClaimState.RELEASED
        ):
            return self._history.reply_without_record(query)
        if (
            record is None
            or query.boot not in ("", self._holder.boot_id)
            or query.digest != record.digest
        ):
            return peers.ClaimReply(query.query, peers.ClaimState.UNKNOWN)
        answer = record.answer
        if answer and len(answer.body) > self._records.max_inline_bytes:
            answer = None
        return peers.ClaimReply(query.query, record.state, answer)

    def _can_claim(self, row_key: str) -> bool:
        return not (
            self._records.is_full
            or self._committer.is_unresponsive
            or not self._history.may_claim(row_key)
        )

    def _check_with_peers(
        self, row_key: str, digest: str, request: requests.Request
    ) -> ClaimResult:
        """Returns what is known of a key whose row can't be read."""
        deadline = request.deadline - PEER_CHECK_RESERVE_S
        return self._history.check_with_peers(
            row_key, digest, request.issued_ms, deadline
        )

    def _claim(
        self,
        row_key: str,
        record: claim_records.ClaimRecord,
        request: requests.Request,
    ) -> ClaimResult:
        deadline = request.deadline - SEND_RESERVE_S
        row = rows.dump(
            claim_rules.make_claim_row(
                self._holder,
                peers.ClaimState.CLAIMED,
                record.digest,
                record.issued_ms,
            )
        )
        for _ in range(MAX_CLAIM_ATTEMPTS):
            put = platform.Put(row_key, record.version, row)
            outcome = self._committer.commit(put, deadline)
            if isinstance(outcome, platform.Committed):
                return self._grant(row_key, record, outcome.version)
            if isinstance(outcome, platform.OutcomeUnknown):
                # Only this boot could ever send the request, and from here on
                # it will not. So this attempt does not run, whether or not the
                # insert takes effect.
                self._records.set_outcome(row_key, peers.ClaimState.RELEASED)
                return self._check_with_peers(row_key, record.digest, request)
            if isinstance(outcome, platform.Unavailable):
                peer_result = self._check_with_peers(
                    row_key, record.digest, request
                )
                self._records.discard(row_key)
                return peer_result
            resolved = self._lookup.resolve(
                outcome.found[0], record.digest, deadline
            )
            if isinstance(resolved, claim_lookup.OwnRow):
                return self._grant(row_key, record, resolved.version)
            if not isinstance(resolved, claim_lookup.UnclaimedRow):
                self._records.discard(row_key)
                return resolved
            record = dataclasses.replace(record, version=resolved.version)
            self._records.store(row_key, record)
        self._records.discard(row_key)
        return claim_rules.IN_PROGRESS

    def _grant(
        self, row_key: str, record: claim_records.ClaimRecord, version: int
    ) -> claims.ClaimGranted:
        ticket = f"{ids.new_id(self._rng)}:{row_key}"
        granted = dataclasses.replace(record, claim_id=ticket, version=version)
        self._records.store(row_key, granted)
        self._history.add(row_key)
        return claims.ClaimGranted(ticket)

    def _set_outcome(
        self,
        ticket: str,
        state: peers.ClaimState,
        answer: requests.Answer | None = None,
    ) -> None:
        if not ticket:
            return
        record = self._records.get(_row_key_of(ticket))
        if (
            record is None
            or record.claim_id != ticket
            or record.state is not peers.ClaimState.CLAIMED
        ):
            raise errors.InvariantError(
                f"{ticket!r} is not an open claim; settle each claim once"
            )
        self._records.set_outcome(_row_key_of(ticket), state, answer)
        if state is peers.ClaimState.RELEASED:
            self._history.discard(_row_key_of(ticket))


def _row_key_of(ticket: str) -> str:
    return ticket.partition(":")[2]


def _known_result(
    record: claim_records.ClaimRecord, digest: str
) -> ClaimResult | None:
    """Returns the result this boot knows for a key; None if it has none."""
    if record.digest != digest:
        return claim_rules.KEY_REUSED
    if record.answer is not None:
        return claims.Replay(record.answer)
    if record.state is peers.ClaimState.UNKNOWN:
        return claim_rules.OUTCOME_UNKNOWN
    if record.state is peers.ClaimState.CLAIMED:
        return claim_rules.IN_PROGRESS
    # Released here without sending the request, and the release is not written
    # yet. Another entry may have claimed the key since, so this one cannot
    # claim it again.
    return None
