"""Readable records of sessions, the same in each run."""

import base64
import difflib
import json
import pathlib
import re

import cattrs

from standins import fleet as fleet_lib
from vanillaswitch.protocol import platform

GOLDEN = pathlib.Path(__file__).parents[1] / "golden"

_NAMED = (
    ("address", re.compile(r"127\.0\.0\.1:\d+")),
    ("digest", re.compile(r"\b[0-9a-f]{64}\b")),
    ("id", re.compile(r"\b[0-9a-f]{24}\b")),
    ("issued", re.compile(r"\b1[6-9]\d{11}\b")),
    ("time", re.compile(r"\b1[6-9]\d{8}(\.\d+)?\b")),
)
"""What differs from run to run; equal values get equal placeholders."""

_DATE = re.compile(r"(?m)(?<=^    Date: ).*$|\b20\d\d-\d\d-\d\dT[\d:]+\+00:00")
"""Whole seconds of the machine's clock: equal by chance, so not numbered."""


class Record:
    """What happened, in its order."""

    def __init__(self, hidden: tuple[str, ...] = ()):
        """Begins an empty record.

        Args:
            hidden: prefixes of rows that are left out.
        """
        self._hidden = hidden
        self._title = ""
        self._lines: list[str] = []
        self._rows: dict[str, dict] = {}

    def title(self, text: str) -> None:
        """Begins a new part, which is left out when nothing happens."""
        self._title = text

    def add(self, what: str, details=()) -> None:
        """Adds an event with its details, one to a line."""
        if self._title:
            self._lines += ["", f"# {self._title}", ""]
            self._title = ""
        self._lines.append(what)
        self._lines += [f"    {line}".rstrip() for line in details if line]

    def row(self, put: platform.Put) -> None:
        """Adds a written row: of a row that is known, only what changed."""
        if put.key.startswith(self._hidden):
            return
        known = self._rows.pop(put.key, {})
        if put.value is None:
            self.add(f"table deletes {put.key}")
            return
        self._rows[put.key] = value = json.loads(json.dumps(put.value))
        self.add(
            f"table writes {put.key}",
            [
                _change(name, known.get(name, ""), found)
                for name, found in value.items()
                if found != known.get(name, "")
            ],
        )

    def text(self) -> str:
        """Returns all of it with placeholders."""
        text = "\n".join(self._lines).strip() + "\n"
        text = _DATE.sub("<date>", text)
        for name, pattern in _NAMED:
            text = _numbered(name, pattern, text)
        return text


def recorded(record: Record, table):
    """Returns the commit of a table, with a record of what it wrote."""
    inner = table.commit

    def commit(wanted: platform.Transaction) -> platform.CommitOutcome:
        outcome = inner(wanted)
        if isinstance(outcome, platform.Committed):
            for put in wanted.puts:
                record.row(put)
        return outcome

    return commit


def fleet(listings) -> fleet_lib.Fleet:
    """Returns a fleet without any lag whose reboots take no time."""
    found = cattrs.structure(listings, tuple[platform.Listing, ...])
    members = tuple(fleet_lib.Member(listing) for listing in found)
    return fleet_lib.Fleet(members, lag_s=0.0, reboot_s=0.0)


def difference(name: str, text: str) -> str:
    """Returns how a record differs from its golden file; empty for not."""
    path = GOLDEN / name
    golden = path.read_text() if path.exists() else ""
    return "".join(
        difflib.unified_diff(
            golden.splitlines(True), text.splitlines(True), name, "this run"
        )
    )


def _change(name: str, before, after) -> str:
    """Returns one changed field; of a list that grew, what was added."""
    grew = (
        isinstance(before, list) and before and before == after[: len(before)]
    )
    if grew:
        return f"{name} also: {_shown(name, after[len(before) :])}"
    return f"{name}: {_shown(name, after)}"


def _shown(name: str, value) -> str:
    if name == "answer_body":
        return base64.b64decode(value).decode()
    return json.dumps(value, ensure_ascii=False)


def _numbered(name: str, pattern: re.Pattern, text: str) -> str:
    numbers: dict[str, int] = {}

    def placeholder(match: re.Match) -> str:
        number = numbers.setdefault(match[0], len(numbers) + 1)
        return f"<{name}-{number}>"

    return pattern.sub(placeholder, text)
