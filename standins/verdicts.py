"""What became of a request, as its caller can tell."""

import enum
import json

from standins import minion_work
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers

_OK = 200


class Result(enum.Enum):
    """What a caller was told, or found out."""

    ANSWERED = "answered"
    WRONG = "wrong"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    OTHER = "other"


def judge(outcome: minions.SendOutcome, request: requests.Request) -> Result:
    """Returns what an entry's answer says of a request."""
    if isinstance(outcome, minions.NotSent):
        return Result.FAILED
    if isinstance(outcome, minions.AnswerLost):
        return Result.UNKNOWN
    answer = outcome.answer
    told = headers.first(answer.headers, requests.HEADER_OUTCOME)
    if told == requests.Outcome.NOT_RUN:
        return Result.NOT_RUN
    if told == requests.Outcome.UNKNOWN:
        return Result.UNKNOWN
    if answer.status != _OK:
        return Result.OTHER
    return Result.ANSWERED if belongs(answer, request) else Result.WRONG


def belongs(answer: requests.Answer, request: requests.Request) -> bool:
    """Whether a stand-in minion gave this answer to this very request.

    An answer to a request with a key names the request id under which it was
    run first, so there the key decides and not the request id.
    """
    try:
        document = json.loads(answer.body)
    except ValueError:
        return False
    work = minion_work.Work(
        request_id=request.request_id,
        caller=request.caller,
        key=request.idempotency_key,
        target=request.target,
        digest=minion_work.digest(request.body),
    )
    expected = minion_work.expected_answer(request.service, work)
    if request.idempotency_key and isinstance(document, dict):
        document["request_id"] = work.request_id
    return bool(document == expected)
