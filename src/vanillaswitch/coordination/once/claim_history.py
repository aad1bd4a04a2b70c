"""Determines whether a key was ever claimed while the table is unreadable.

"Not run" is true for a key only if no attempt under it ran at any entry. Each
entry remembers its claims and since when it has been in contact with all
other entries. During an outage, the entry that gets a request queries all
others. It reports "not run" only if each live entry replies that it never
claimed the key, and if none of them forgot a claim or lost contact since
before the request was issued.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import random

import gevent

from vanillaswitch.coordination.entry import request_validation
from vanillaswitch.coordination.once import claim_lookup
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import entry_contact
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import requests

MAX_CLOCK_AHEAD_S = request_validation.MAX_ISSUED_AHEAD_MS / 1000 + 60.0
"""How far a time of issue may be ahead of our clock at the first attempt.

This guards against a request with a time of issue that is too late, which
looks younger than it is: an entry that ran it and died before that time would
not be counted as missing. Entries refuse times of issue that lie further ahead
of their own clocks; the rest covers differences between the entries' clocks.
"""

WATCH_INTERVAL_S = 1.0
QUERY_TIMEOUT_S = claim_lookup.QUERY_TIMEOUT_S

CLAIM_BLOCK_S = 2 * QUERY_TIMEOUT_S
"""How long an entry can't claim a key that it reported as never claimed."""

MAX_REMEMBERED_CLAIMS = 16_384
MAX_BLOCKED_CLAIMS = 4096
MAX_CONCURRENT_CHECKS = 32

Members = Callable[[], Mapping[str, peer_membership.Member]]
PeerCheckResult = claims.Replay | requests.Refusal


class ClaimHistory:
    """Remembers the claims of this boot and queries the other entries."""

    def __init__(
        self,
        holder: claim_rules.Holder,
        members: Members,
        query_claim: claim_lookup.QueryClaim,
        clock: clocks.Clock,
        rng: random.Random,
    ):
        """Creates a history that starts now; the caller has to spawn ``run``.

        Args:
            holder: this process.
            members: returns the current members as this process sees them.
            query_claim: sends a query to a peer; see
                ``claim_lookup.ClaimLookup``.
            clock: measures the history's length and the age of requests.
            rng: random source for query ids.
        """
        self._holder = holder
        self._members = members
        self._query_claim = query_claim
        self._clock = clock
        self._rng = rng
        self._claimed_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._complete_since = clock.monotonic()
        self._contact = entry_contact.EntryContact(self._complete_since)
        self._blocked_until: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._checking: set[str] = set()

    def run(self) -> None:
        """Observes the peers forever."""
        while True:
            self.watch()
            self._clock.sleep(WATCH_INTERVAL_S)

    def watch(self) -> None:
        """Updates the contact with the other entries."""
        self._contact = entry_contact.observe(
            self._contact, self._members(), self._clock.monotonic()
        )

    def add(self, row_key: str) -> None:
        """Adds a claim of this boot; evicts the oldest one when full."""
        self._claimed_at.pop(_fingerprint(row_key), None)
        self._claimed_at[_fingerprint(row_key)] = self._clock.monotonic()
        if len(self._claimed_at) > MAX_REMEMBERED_CLAIMS:
            _, self._complete_since = self._claimed_at.popitem(last=False)

    def discard(self, row_key: str) -> None:
        """Removes a claim that was released without sending its request."""
        self._claimed_at.pop(_fingerprint(row_key), None)

    def has_claimed(self, row_key: str) -> bool:
        """Whether this boot got the claim and may have sent the request."""
        return _fingerprint(row_key) in self._claimed_at

    def may_claim(self, row_key: str) -> bool:
        """Whether no entry may currently rely on the key being unclaimed.

        This guards against the following failure: an entry queries us and we
        reply that the key was never claimed. We then claim and run it, and the
        other entry reports "not run". It uses our reply for less than
        ``CLAIM_BLOCK_S``, counted from before we sent it. We claim the key only
        after that time.
        """
        if row_key in self._checking:
            return False
        return self._blocked_until.get(row_key, 0.0) <= self._clock.monotonic()

    def reply_without_record(self, query: peers.ClaimQuery) -> peers.ClaimReply:
        """Answers a query for a claim that has no open record."""
        if self.has_claimed(query.claim) or not self._block_claim(query.claim):
            return peers.ClaimReply(query.query, peers.ClaimState.UNKNOWN)
        self.watch()
        return peers.ClaimReply(
            query.query,
            peers.ClaimState.RELEASED,
            unbroken_s=self._unbroken_s(),
            entries=tuple(entry.boot for entry in self._live_entries()),
        )

    def check_with_peers(
        self, row_key: str, request_digest: str, issued_ms: int, deadline: float
    ) -> PeerCheckResult:
        """Returns what is known of a key without the table.

        Blocks for at most ``QUERY_TIMEOUT_S``, and not at all if the replies of
        the other entries could not prove anything.

        Args:
            row_key: key of the claim's row.
            request_digest: digest of the request.
            issued_ms: when the caller first issued the request.
            deadline: monotonic seconds until which to wait for replies.
        """
        self.watch()
        age_s = max(0.0, self._clock.wall() - issued_ms / 1000)
        needed_s = age_s + MAX_CLOCK_AHEAD_S
        if (
            self.has_claimed(row_key)
            or self._unbroken_s() < needed_s
            or row_key in self._checking
            or len(self._checking) >= MAX_CONCURRENT_CHECKS
        ):
            return claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
        self._checking.add(row_key)
        try:
            return self._check_with_peers(
                row_key, request_digest, needed_s, deadline
            )
        finally:
            self._checking.discard(row_key)

    def _check_with_peers(
        self,
        row_key: str,
        request_digest: str,
        needed_s: float,
        deadline: float,
    ) -> PeerCheckResult:
        started_at = self._clock.monotonic()
        timeout_s = min(QUERY_TIMEOUT_S, deadline - started_at)
        if timeout_s <= 0:
            return claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
        queried = self._live_entries()
        replies = self._query_entries(
            queried, row_key, request_digest, timeout_s
        )
        boots = {self._holder.boot_id, *(entry.boot for entry in queried)}
        result = combine_replies(replies, boots, needed_s)
        # After a pause, the other entries may no longer keep the key free for
        # us.
        is_late = self._clock.monotonic() - started_at >= CLAIM_BLOCK_S
        if result == claim_rules.CLAIMS_UNAVAILABLE and is_late:
            return claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
        return result

    def _query_entries(
        self,
        queried: Iterable[peers.Heartbeat],
        row_key: str,
        request_digest: str,
        timeout_s: float,
    ) -> list[peers.ClaimReply | None]:
        tasks = []
        for entry in queried:
            query = peers.ClaimQuery(
                ids.new_id(self._rng), row_key, request_digest
            )
            task = gevent.spawn(
                self._query_claim, entry.address, query, timeout_s
            )
            tasks.append(task)
        try:
            gevent.joinall(tasks, timeout=timeout_s)
            return [task.value for task in tasks]
        finally:
            gevent.killall(tasks, block=False)

    def _live_entries(self) -> tuple[peers.Heartbeat, ...]:
        return entry_contact.live_entry_heartbeats(self._members())

    def _unbroken_s(self) -> float:
        since = max(self._complete_since, self._contact.unbroken_since)
        return self._clock.monotonic() - since

    def _block_claim(self, row_key: str) -> bool:
        now = self._clock.monotonic()
        while self._blocked_until:
            oldest = next(iter(self._blocked_until))
            if self._blocked_until[oldest] > now:
                break
            del self._blocked_until[oldest]
        if len(self._blocked_until) >= MAX_BLOCKED_CLAIMS:
            return False
        self._blocked_until.pop(row_key, None)
        self._blocked_until[row_key] = now + CLAIM_BLOCK_S
        return True


def combine_replies(
    replies: Iterable[peers.ClaimReply | None],
    boots: Iterable[str],
    needed_s: float,
) -> PeerCheckResult:
    """Combines the replies of all other entries.

    Args:
        replies: one for each entry that was queried; None if none arrived.
        boots: boots of the entries that were queried, and our own.
        needed_s: how long each entry must have kept all claims and contacts.

    Returns:
        ``CLAIMS_UNAVAILABLE``, which means "not run", only if all of them
        never held the claim, forgot nothing and kept contact since before the
        request was issued, and know of no live entry that was not queried.
    """
    received = list(replies)
    known_boots = set(boots)
    for reply in received:
        if reply is None:
            continue
        if reply.state is peers.ClaimState.DONE:
            if reply.answer is None:
                return claim_rules.ANSWER_UNAVAILABLE
            return claims.Replay(reply.answer)
    if any(r and r.state is peers.ClaimState.CLAIMED for r in received):
        return claim_rules.IN_PROGRESS
    if all(_denies_claim(reply, known_boots, needed_s) for reply in received):
        return claim_rules.CLAIMS_UNAVAILABLE
    return claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def _denies_claim(
    reply: peers.ClaimReply | None, boots: set[str], needed_s: float
) -> bool:
    return (
        reply is not None
        and reply.state is peers.ClaimState.RELEASED
        and reply.unbroken_s >= needed_s
        and boots.issuperset(reply.entries)
    )


def _fingerprint(row_key: str) -> bytes:
    """Returns a digest of 8 bytes.

    A collision only turns the result for a key into "unknown".
    """
    return hashlib.blake2b(row_key.encode(), digest_size=8).digest()
