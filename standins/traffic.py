"""Counts the calls and bytes that reach the stand-in platform."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import json
from typing import Any

PATH = "/_standin/traffic"

_NAMED = ("/objects/", "/workers/", "/instances/")
_HEAD_LINE = 24


class Traffic:
    """A WSGI application that counts what passes to another one.

    Bytes are those of HTTP, heads and bodies, without TCP and IP.
    """

    def __init__(self, application: Callable[..., Any]):
        """Counts around ``application``."""
        self._application = application
        self._calls: collections.Counter[str] = collections.Counter()
        self._bytes: collections.Counter[str] = collections.Counter()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Answers one request."""
        path = environ["PATH_INFO"]
        if path == PATH:
            start_response("200 OK", [("Content-Type", "application/json")])
            page = {"calls": self._calls, "bytes": self._bytes}
            return [json.dumps(page).encode()]
        kind = _kind(path)
        head: list[int] = []

        def started(status: str, headers: Any, *rest: Any) -> Any:
            head.append(_size(headers) + _HEAD_LINE)
            return start_response(status, headers, *rest)

        body = list(self._application(environ, started))
        self._calls[kind] += 1
        self._bytes[kind] += _asked(environ) + sum(head) + sum(map(len, body))
        return body


def _kind(path: str) -> str:
    """Returns a path without names, so that the kinds are few."""
    for prefix in _NAMED:
        if path.startswith(prefix):
            verb = path.rpartition("/")[2]
            return prefix + ("" if prefix == "/objects/" else verb)
    return path


def _asked(environ: dict[str, Any]) -> int:
    headers = [
        (name.removeprefix("HTTP_"), value)
        for name, value in environ.items()
        if name.startswith(("HTTP_", "CONTENT_"))
    ]
    body = int(environ.get("CONTENT_LENGTH") or 0)
    return _size(headers) + len(environ["PATH_INFO"]) + _HEAD_LINE + body


def _size(headers: Iterable[tuple[str, str]]) -> int:
    return sum(len(name) + len(value) + 4 for name, value in headers)
