"""Keeps the claims of one process in memory and writes their outcomes.

The claim's row is inserted before its request is sent. The outcome of the
request is first kept in memory. A separate task writes it to the table and
retries through outages of any length, so that no caller waits for the write.
"""

import collections
from collections.abc import Iterable
import dataclasses
import hashlib

from gevent import event

from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import group_commit
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import rows

INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

RECORD_OVERHEAD_BYTES = 1024
"""Approximate memory of a record without the body of its answer."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a ``ClaimRecords``.

    Attributes:
        max_unwritten: number of outcomes that may wait to be written.
        max_unwritten_bytes: bytes of answer bodies that may wait to be written.
        max_recent_bytes: memory for written records, which allow replays
            without the table.
        max_inline_bytes: size of the largest body stored in the claim's row.
        write_timeout_s: time limit of one write attempt, in seconds.
    """

    max_unwritten: int = 4096
    max_unwritten_bytes: int = 16_777_216
    max_recent_bytes: int = 4_194_304
    max_inline_bytes: int = 65_536
    write_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """One claim as its holder knows it.

    Attributes:
        claim_id: identifies this attempt; empty until the claim is granted.
        version: version of the row that the next write expects.
    """

    digest: str
    issued_ms: int
    state: peers.ClaimState = peers.ClaimState.CLAIMED
    claim_id: str = ""
    version: int = platform.ABSENT
    answer: requests.Answer | None = None


class ClaimRecords:
    """Records of the claims that this boot holds or held."""

    def __init__(
        self,
        holder: claim_rules.Holder,
        committer: group_commit.GroupCommitter,
        objects: platform.ObjectStore,
        clock: clocks.Clock,
        limits: Limits | None = None,
    ):
        """Creates an empty collection; the caller has to spawn ``run``.

        Args:
            holder: this process.
            committer: writes the rows.
            objects: stores the bodies of large answers.
            clock: paces the writes.
            limits: limits to use instead of the defaults.
        """
        self._holder = holder
        self._committer = committer
        self._objects = objects
        self._clock = clock
        self._limits = limits or Limits()
        self._open: dict[str, ClaimRecord] = {}
        self._recent: collections.OrderedDict[str, ClaimRecord] = (
            collections.OrderedDict()
        )
        self._recent_bytes = 0
        self._unwritten: dict[str, int] = {}
        self._writing: set[str] = set()
        self._has_work = event.Event()

    @property
    def unwritten_count(self) -> int:
        """Number of outcomes that are not in the table yet."""
        return len(self._unwritten)

    @property
    def known_count(self) -> int:
        """Number of claims that are open or were written recently."""
        return len(self._open) + len(self._recent)

    @property
    def is_full(self) -> bool:
        """Whether no claim may be added until some outcomes are written."""
        return (
            len(self._unwritten) >= self._limits.max_unwritten
            or sum(self._unwritten.values()) >= self._limits.max_unwritten_bytes
        )

    @property
    def max_inline_bytes(self) -> int:
        """Size of the largest body in a row or in a message to a peer."""
        return self._limits.max_inline_bytes

    def get(self, row_key: str) -> ClaimRecord | None:
        """Returns the record of an open or recently written claim."""
        return self._open.get(row_key) or self._recent.get(row_key)

    def store(self, row_key: str, record: ClaimRecord) -> None:
        """Adds or replaces the record of a requested or granted claim."""
        self._open[row_key] = record

    def discard(self, row_key: str) -> None:
        """Removes a claim that this boot certainly doesn't hold."""
        self._open.pop(row_key, None)

    def set_outcome(
        self,
        row_key: str,
        state: peers.ClaimState,
        answer: requests.Answer | None = None,
    ) -> None:
        """Sets the final state of an open claim and schedules its write."""
        record = dataclasses.replace(
            self._open[row_key], state=state, answer=answer
        )
        self._open[row_key] = record
        self._unwritten[row_key] = _body_bytes(record)
        self._has_work.set()

    def run(self) -> None:
        """Writes outcomes forever as they arrive."""
        backoff_s = INITIAL_BACKOFF_S
        while True:
            self._has_work.wait()
            self._has_work.clear()
            self.write_all()
            if not self._unwritten:
                backoff_s = INITIAL_BACKOFF_S
                continue
            self._clock.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self._has_work.set()

    def flush(self, grace_s: float) -> int:
        """Writes outcomes before a planned shutdown.

        Args:
            grace_s: time limit in seconds.

        Returns:
            The number of outcomes that are still unwritten.
        """
        deadline = self._clock.monotonic() + grace_s
        self.write_all()
        while self._unwritten and self._clock.monotonic() < deadline:
            self._clock.sleep(INITIAL_BACKOFF_S)
            self.write_all()
        return len(self._unwritten)

    def write_all(self) -> None:
        """Tries once to write each unwritten outcome."""
        # Outcomes whose bodies go to the object store come last, so that a slow
        # object store does not delay outcomes that need only the table.
        row_keys = sorted(self._unwritten, key=self._is_large)
        small = [row_key for row_key in row_keys if not self._is_large(row_key)]
        self.write(small)
        self.write(row_keys[len(small) :])

    def write(self, row_keys: Iterable[str]) -> None:
        """Tries once to write some of the unwritten outcomes."""
        to_write = [
            row_key for row_key in row_keys if row_key not in self._writing
        ]
        self._writing.update(to_write)
        try:
            submitted = [
                (row_key, self._submit_row(row_key)) for row_key in to_write
            ]
            for row_key, submission in submitted:
                if submission is not None:
                    self._handle_write_result(
                        row_key, self._committer.wait(submission)
                    )
        finally:
            self._writing.difference_update(to_write)

    def _is_large(self, row_key: str) -> bool:
        return self._unwritten[row_key] > self._limits.max_inline_bytes

    def _submit_row(self, row_key: str) -> group_commit.Submission | None:
        record = self._open[row_key]
        object_name = ""
        if record.answer is not None and self._is_large(row_key):
            object_name = hashlib.sha256(record.answer.body).hexdigest()
            put_result = self._objects.put(object_name, record.answer.body)
            if isinstance(put_result, platform.Unavailable):
                return None
        row = claim_rules.make_claim_row(
            self._holder,
            record.state,
            record.digest,
            record.issued_ms,
            record.answer,
            object_name,
        )
        return self._committer.submit(
            platform.Put(row_key, record.version, rows.dump(row)),
            self._clock.monotonic() + self._limits.write_timeout_s,
        )

    def _handle_write_result(
        self, row_key: str, outcome: platform.CommitOutcome
    ) -> None:
        """Updates the record of a claim after one write.

        This guards against the following failure: the insert of our claim gets
        no answer, we report "not run", and the insert takes effect later. The
        row would then stay claimed until it expires. Each final state is
        therefore written until the row shows it or belongs to another boot.
        After the write, the row has a higher version, so a delayed copy of the
        insert conflicts.
        """
        if isinstance(outcome, platform.Committed):
            self._mark_written(row_key)
        if not isinstance(outcome, platform.Conflict):
            return
        found = outcome.found[0]
        if found.version == platform.ABSENT:
            self._mark_written(row_key)
            return
        claim = rows.load(rows.Claim, found.value)
        is_own = claim.boot == self._holder.boot_id
        if is_own and claim.state is peers.ClaimState.CLAIMED:
            self._open[row_key] = dataclasses.replace(
                self._open[row_key], version=found.version
            )
        else:
            self._mark_written(row_key)

    def _mark_written(self, row_key: str) -> None:
        record = self._open.pop(row_key)
        del self._unwritten[row_key]
        if record.state is peers.ClaimState.RELEASED:
            return
        self._recent[row_key] = record
        self._recent_bytes += _memory_bytes(record)
        while self._recent_bytes > self._limits.max_recent_bytes:
            _, evicted = self._recent.popitem(last=False)
            self._recent_bytes -= _memory_bytes(evicted)


def _body_bytes(record: ClaimRecord) -> int:
    return len(record.answer.body) if record.answer else 0


def _memory_bytes(record: ClaimRecord) -> int:
    """Returns the memory of a record in bytes.

    The overhead makes records without a body count too.
    """
    return RECORD_OVERHEAD_BYTES + _body_bytes(record)
