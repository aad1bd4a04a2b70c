"""Broken requests are refused as not run, and nothing of them runs."""

import json

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import raw_http
from tests.common import properties
from tests.common import wire
from vanillaswitch.transport import request_checks

HOST = b"Host: h\r\n"
POST = b"POST /berthing/charge HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
NEXT = b"POST /berthing/smuggled HTTP/1.1\r\n" + HOST + b"\r\n"

LENGTH = b"Content-Length: 3\r\n\r\nabc"
LAST = b"0\r\n\r\n"

BAD = {
    (414, "target-too-long"): [
        b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n" + HOST + b"\r\n",
    ],
    (431, "head-too-large"): [
        POST + b"X: " + b"a" * 40_000 + b"\r\n\r\n",
        POST + b"X: a\r\n" * 200,
    ],
    (400, "bad-request-line"): [
        b"GET /b\r\n",
        b"GET /b HTTP/2.0\r\n\r\n",
        b"GET /b c HTTP/1.1\r\n" + HOST + b"\r\n",
        b"GET h:1 HTTP/1.1\r\n" + HOST + b"\r\n",
    ],
    (400, "bad-field"): [
        POST + b"nonsense\r\n" + LENGTH,
        POST + b"Content-Length : 3\r\n\r\nabc",
        POST + b"A: b\r\n c: d\r\n\r\n",
        POST + b"A: b\n\r\n",
        POST + b"A: b\x00\r\n\r\n",
    ],
    (400, "bad-host"): [
        b"GET /b HTTP/1.1\r\n\r\n",
        POST + HOST + b"\r\n",
    ],
    (400, "bad-content-length"): [
        POST + b"Content-Length: 3\r\n" + LENGTH,
        POST + b"Content-Length: 4\r\n" + LENGTH,
        POST + b"Content-Length: 3, 4\r\n\r\nabc",
        POST + b"Content-Length: -3\r\n\r\nabc",
        POST + b"Content-Length: three\r\n\r\nabc",
        POST + b"Content-Length: +3\r\n\r\nabc",
    ],
    (400, "two-lengths"): [
        POST + b"Transfer-Encoding: chunked\r\n" + LENGTH,
    ],
    (400, "unsupported-transfer-encoding"): [
        POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
        POST + b"Transfer-Encoding: chunked\r\n" * 2 + b"\r\n" + LAST,
    ],
    (413, "body-too-large"): [
        POST + b"Content-Length: 1001\r\n\r\n" + b"a" * 1001,
        POST + b"Content-Length: 500000\r\n\r\n" + b"a" * 500_000,
        CHUNKED + b"3e9\r\n" + b"a" * 1001 + b"\r\n" + LAST,
    ],
    (400, "bad-body"): [
        CHUNKED + b"x\r\nabc",
        CHUNKED + b"\r\nabc\r\n",
        CHUNKED + b"3\r\nabcd\r\n" + LAST,
        CHUNKED + b"0\r\n bad\r\n" + LAST,
    ],
}


def check_refused(answer, status, code):
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0].startswith(b"HTTP/1.1 %d " % status)
    assert b"Connection: close" in lines
    assert b"Request-Outcome: not-run" in lines
    assert b"Content-Length: %d" % len(body) in lines
    document = json.loads(body)
    assert document["outcome"] == "not-run"
    assert (document["status"], document["code"]) == (status, code)


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [(data, *told) for told, rows in BAD.items() for data in rows],
)
def test_a_broken_request_is_refused_and_what_follows_is_not_read(
    data, status, code
):
    """A port is charged for a call that nobody made.

    A request whose end is ambiguous comes over a kept connection. Read on
    after the refusal, its rest would look like a request of its own.
    """
    recorder = wire.Recorder()
    with wire.serving(recorder) as server:
        answer = raw_http.exchange(server.address, data + NEXT)
        check_refused(answer, status, code)
        assert (server.bad_requests, server.in_flight) == (1, 0)
    assert recorder.seen == []


@properties.steady
@given(cut=st.integers(1, 10_000), chunked=st.booleans())
def test_a_request_cut_anywhere_does_nothing(cut, chunked):
    """A tug is ordered under half an idempotency key.

    The caller's machine dies while it sends. What arrived ends in the middle
    of the head or of the body, and must not be taken for a whole request.
    """
    head = POST + b"Idempotency-Key: 0123456789\r\n"
    if chunked:
        whole = (
            head + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        )
    else:
        whole = head + b"Content-Length: 3\r\n\r\nabc"
    part = whole[: cut % (len(whole) - 1) + 1]
    recorder = wire.Recorder()
    with wire.serving(recorder) as server:
        answer = raw_http.exchange(server.address, part)
    if part == whole:
        assert [one.body for one in recorder.seen] == [b"abc"]
        return
    assert recorder.seen == []
    assert b"Request-Outcome: not-run" in answer


@properties.steady
@given(
    fields=st.lists(
        st.tuples(
            st.sampled_from(
                ["Content-Length", "content-length", "Transfer-Encoding"]
            ),
            st.sampled_from(["0", "3", " 3 ", "03", "-1", "3,3", "\u0663"])
            | st.sampled_from(["chunked", "CHUNKED", "x", "", "3\x0b"]),
        ),
        max_size=3,
    )
)
@example(fields=[("Content-Length", "\u0663")])
def test_a_body_has_one_length_or_the_request_is_refused(fields):
    """Two readers disagree on where a request ends.

    One takes the first length, the other the last, or a digit of another
    alphabet for a number. Only what has one meaning is let in.
    """
    line = request_checks.RequestLine("POST", "/b", "HTTP/1.1")
    try:
        framing = request_checks.framing(line, (("Host", "h"), *fields))
    except request_checks.BadRequestError as error:
        assert error.refusal.status == 400
        assert fields
        return
    assert len(fields) <= 1
    if not fields:
        assert framing.length == 0
    elif framing.length is None:
        assert fields[0][1].lower() == "chunked"
    else:
        assert fields[0][0].lower() == "content-length"
        assert fields[0][1].strip().isascii()
        assert framing.length == int(fields[0][1])


def test_an_oversized_body_is_refused_before_it_is_read():
    """An entry is filled up by one caller.

    The caller announces a huge body and waits for a word. The refusal comes
    at the head, without a byte of the body.
    """
    recorder = wire.Recorder()
    data = POST + b"Content-Length: 100000000000\r\n\r\n"
    with wire.serving(recorder) as server:
        answer = raw_http.exchange(server.address, data, end=False)
    check_refused(answer, 413, "body-too-large")
    assert recorder.seen == []
