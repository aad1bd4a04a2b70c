"""Callers that keep what each request was told, and find untrue words.

A caller asks again under the same key, as a till does whose request got no
answer. At the end the counts of the minions show whether all that was told
is true.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import json
import random

from standins import verdicts
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers
from vanillaswitch.transport import minion_http

CALLER = "agent"
TIMEOUT_MS = 30_000
_PATIENCE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Told:
    """What one request was told.

    Attributes:
        key: its idempotency key; empty for a quote.
        code: cause of a refusal; empty for an answer.
        cut: bytes were sent and no whole answer came, not even a refusal.
        retry_after_s: when to come back, if that was told.
    """

    key: str
    request_id: str
    result: verdicts.Result
    code: str = ""
    cut: bool = False
    body: bytes = b""
    retry_after_s: float | None = None
    seconds: float = 0.0


@dataclasses.dataclass(frozen=True)
class Counts:
    """What the minions counted, all together.

    Attributes:
        by_key: runs by "caller/key".
        by_request: runs by request id.
    """

    by_key: Mapping[str, int]
    by_request: Mapping[str, int]


class Callers:
    """Sends quotes and charges; ``run`` makes it.

    Attributes:
        told: all that was told so far, in order.
    """

    def __init__(
        self,
        client: minions.MinionClient,
        clock: clocks.Clock,
        source: random.Random,
        service: str,
    ):
        self.told: list[Told] = []
        self._client = client
        self._clock = clock
        self._source = source
        self._service = service
        self._charges: dict[str, requests.Request] = {}

    def new_key(self) -> str:
        """Returns a key that was never used."""
        return ids.new_id(self._source)

    def charge(
        self, entry: str, key: str, timeout_ms: int = TIMEOUT_MS
    ) -> Told:
        """Sends a charge, or the same one again, to the entry at "ip:port"."""
        if key not in self._charges:
            self._charges[key] = self._request("charges", key)
        return self._send(entry, self._charges[key], timeout_ms)

    def quote(
        self, entry: str, timeout_ms: int = TIMEOUT_MS, fresh: bool = True
    ) -> Told:
        """Asks for a quote, on a kept connection unless ``fresh``."""
        return self._send(entry, self._request("quotes"), timeout_ms, fresh)

    def untrue(self, counts: Counts) -> tuple[str, ...]:
        """Returns a sentence for each untrue word that was told."""
        return (*self._doubled(counts), *self._misled(counts))

    def _doubled(self, counts: Counts) -> Iterator[str]:
        for key, runs in counts.by_key.items():
            if runs > 1:
                yield f"{key} ran {runs} times"

    def _misled(self, counts: Counts) -> Iterator[str]:
        first: dict[str, bytes] = {}
        for told in self.told:
            ran = counts.by_request.get(told.request_id, 0) > 0
            if told.result is verdicts.Result.NOT_RUN and ran:
                yield f"{told.key or told.request_id} ran: {told.code}"
            if told.result is verdicts.Result.WRONG:
                yield f"{told.request_id} got the answer to another request"
            if told.result is not verdicts.Result.ANSWERED or not told.key:
                continue
            if first.setdefault(told.key, told.body) != told.body:
                yield f"{told.key} got two answers"
            if not counts.by_key.get(f"{CALLER}/{told.key}"):
                yield f"{told.key} was answered and never ran"

    def _request(self, path: str, key: str = "") -> requests.Request:
        issued_ms = int(self._clock.wall() * 1000) if key else 0
        return requests.Request(
            request_id="",
            caller=CALLER,
            service=self._service,
            request_class="",
            method="POST",
            target=f"/{self._service}/{path}",
            headers=(),
            body=self._source.randbytes(64),
            deadline=0.0,
            idempotency_key=key,
            issued_ms=issued_ms,
        )

    def _send(
        self,
        entry: str,
        request: requests.Request,
        timeout_ms: int,
        fresh: bool = True,
    ) -> Told:
        fields = [(requests.HEADER_TIMEOUT_MS, str(timeout_ms))]
        if request.idempotency_key:
            issued = (requests.HEADER_ISSUED_MS, str(request.issued_ms))
            fields.append(issued)
        attempt = dataclasses.replace(
            request,
            request_id=ids.new_id(self._source),
            headers=tuple(fields),
        )
        began = self._clock.monotonic()
        outcome = self._client.send(
            minions.Minion(entry, "", entry, "", "", 0, 0),
            attempt,
            timeout_ms / 1000,
            fresh,
        )
        seconds = self._clock.monotonic() - began
        told = dataclasses.replace(_told(outcome, attempt), seconds=seconds)
        self.told.append(told)
        return told


def _told(outcome: minions.SendOutcome, request: requests.Request) -> Told:
    result = verdicts.judge(outcome, request)
    told = Told(request.idempotency_key, request.request_id, result)
    if not isinstance(outcome, minions.Answered):
        cut = isinstance(outcome, minions.AnswerLost)
        return dataclasses.replace(told, cut=cut, code=outcome.reason)
    answer = outcome.answer
    if result in (verdicts.Result.ANSWERED, verdicts.Result.WRONG):
        return dataclasses.replace(told, body=answer.body)
    retry_after = headers.first(answer.headers, requests.HEADER_RETRY_AFTER)
    return dataclasses.replace(
        told,
        code=str(json.loads(answer.body).get("code", answer.status)),
        retry_after_s=None if retry_after is None else float(retry_after),
    )


@contextlib.contextmanager
def run(seed: int, service: str = "berthing") -> Iterator[Callers]:
    """Yields callers of one service and closes their connections.

    Args:
        seed: of keys, ids and bodies.
        service: whose quotes and charges they ask for.
    """
    clock = clocks.SystemClock()
    settings = minion_http.ClientSettings(patience_s=_PATIENCE_S)
    with minion_http.open_client(clock, settings) as client:
        yield Callers(client, clock, random.Random(seed), service)
