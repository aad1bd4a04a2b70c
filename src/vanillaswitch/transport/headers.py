"""Which header fields belong to one connection only (RFC 9110, 7.6.1)."""

from vanillaswitch.protocol import requests

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def connection_options(headers: requests.Headers) -> frozenset[str]:
    """Returns the lower-case options of all ``Connection`` fields."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    )


def end_to_end(headers: requests.Headers) -> requests.Headers:
    """Returns the fields that go on, without those of this connection."""
    dropped = _HOP_BY_HOP | connection_options(headers)
    return tuple(
        (name, value) for name, value in headers if name.lower() not in dropped
    )


def without(headers: requests.Headers, *names: str) -> requests.Headers:
    """Returns the fields whose lower-case name is none of ``names``."""
    return tuple(
        (name, value) for name, value in headers if name.lower() not in names
    )


def values(headers: requests.Headers, name: str) -> tuple[str, ...]:
    """Returns all values of a field, in order."""
    wanted = name.lower()
    return tuple(value for found, value in headers if found.lower() == wanted)


def first(headers: requests.Headers, name: str) -> str | None:
    """Returns the first value of a field, or None when there is none."""
    wanted = name.lower()
    for found, value in headers:
        if found.lower() == wanted:
            return value
    return None
