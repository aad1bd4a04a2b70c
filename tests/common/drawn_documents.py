"""Documents of outside systems, whole ones and drawn damaged ones."""

import json

from hypothesis import strategies as st

INSTANCE_ROW = {
    "service": "berthing",
    "address": "10.128.0.9:8080",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq_no": 4,
}
MACHINE_ENTRY = {
    "machine": "m-1",
    "pool": "berthing",
    "state": "up",
    "zone": "zone-1",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "id": "i-1",
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "host.example",
            "path_prefix": "/q/",
            "service": "berthing",
            "advice": {"decision_ms": 5, "period_ms": 1, "validity_ms": 100},
        }
    ],
    "services": [{"name": "berthing", "standby": False}],
    "limits": {"max_body_bytes": 1000},
    "tenants": [
        {
            "name": "mare",
            "api_keys": ["key-a1", "key-b2"],
            "priority": 1,
            "weight": 65,
            "max_count": {"cpu": 2128093, "mem_mb": 5408450, "gpu": 0},
        }
    ],
}
WAVE = {"wave": 1, "machines": ["m-1"], "duration_s": 20, "max_count": 1}
STATUS_REPORT = {
    "clock_ms": 482113,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "", 41, 3]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400), 2**63])
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["\ud800", "ready", "draining", "10.0.0.1:80"])
)
VALUES = st.recursive(
    SCALARS,
    lambda value: (
        st.lists(value, max_size=4)
        | st.dictionaries(st.text(max_size=6), value, max_size=4)
    ),
    max_leaves=12,
)


def paths(document, prefix=()):
    """Yields the path of each value in a document, () for the document."""
    yield prefix
    entries = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document)
        if isinstance(document, list)
        else ()
    )
    for name, value in entries:
        yield from paths(value, (*prefix, name))


def replace_at(document, path, value):
    if not path:
        return value
    copy = document.copy()
    copy[path[0]] = replace_at(document[path[0]], path[1:], value)
    return copy


def damaged_documents(document):
    """Draws the document with one value replaced, or an arbitrary value."""
    return VALUES | st.builds(
        replace_at,
        st.just(document),
        st.sampled_from(list(paths(document))),
        VALUES,
    )


_ODD_TEXTS = st.sampled_from(
    [
        "1" * 400,
        "1" * 5000,
        "-" + "9" * 400,
        "1e400",
        "[" * 100 + "]" * 100,
        "[" * 900 + "]" * 900,
        "[" * 40_000 + "]" * 40_000,
        '{"a":' * 900 + "1" + "}" * 900,
        '"\\ud800"',
        "NaN",
    ]
)
_PLACEHOLDER = "a value to replace"


def _with_text(document, path, text):
    """Returns a document as JSON, with a value replaced by a JSON text."""
    marked = json.dumps(replace_at(document, path, _PLACEHOLDER))
    return marked.replace(json.dumps(_PLACEHOLDER), text)


def damaged_bodies(document):
    """Draws the bodies of answers: damaged documents, odd JSON, any bytes."""
    damaged = damaged_documents(document).map(json.dumps)
    odd = st.builds(
        _with_text,
        st.just(document),
        st.sampled_from(list(paths(document))),
        _ODD_TEXTS,
    )
    return (damaged | odd).map(str.encode) | st.binary(max_size=20)
