"""Reads a folder of small JSON files into one mapping.

Files are merged in the order of their names: objects are merged key by key,
anything else is replaced as a whole, and ``null`` removes a key. The file that
last set each field is remembered, so that an error names file and field.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
import pathlib
from typing import Any

from vanillaswitch import errors

Path = tuple[str | int, ...]
"""Keys and list indices from the root of the configuration to a field."""

MERGED = "(merged)"
"""Stands for the file where no single file is at fault."""

WHOLE_FILE = "(whole file)"
"""Stands for the field where a file can't be read at all."""


@dataclasses.dataclass(frozen=True)
class Problem:
    """A mistake at one place of the configuration."""

    path: Path
    message: str


@dataclasses.dataclass(frozen=True)
class Loaded:
    """A merged folder that is not yet checked.

    Attributes:
        merged: the configuration as plain JSON values.
        sources: path of a field to the file that last set it.
    """

    merged: Mapping[str, Any]
    sources: Mapping[Path, str]

    def source(self, path: Path) -> str:
        """Returns the file that last set a field or what contains it."""
        for length in range(len(path), 0, -1):
            if path[:length] in self.sources:
                return self.sources[path[:length]]
        return MERGED


def dotted(path: Path) -> str:
    """Returns a path as people write it, such as ``a.b[0].c``."""
    parts = (f"[{p}]" if isinstance(p, int) else f".{p}" for p in path)
    return "".join(parts).removeprefix(".")


def read(folder: pathlib.Path) -> Loaded:
    """Reads and merges each ``*.json`` file of a folder.

    Hidden files are passed over: editors keep their unsaved copies there.

    Raises:
        errors.ConfigRejected: every file that can't be read, and every
            ``null`` that removes nothing.
    """
    files = sorted(
        path for path in folder.glob("*.json") if not path.name.startswith(".")
    )
    merge = _Merge()
    if not files:
        merge.reject(str(folder), WHOLE_FILE, "there is no *.json file")
    for path in files:
        merge.add(path)
    return merge.finish()


class _Object(dict[str, Any]):
    """A JSON object that remembers keys that were given twice."""

    def __init__(self, pairs: list[tuple[str, Any]]):
        super().__init__(pairs)
        keys = [key for key, _ in pairs]
        self.duplicates = sorted({k for k in keys if keys.count(k) > 1})


class _Merge:
    """A merge under way."""

    def __init__(self) -> None:
        self._merged: dict[str, Any] = {}
        self._sources: dict[Path, str] = {}
        self._errors: list[errors.ConfigError] = []

    def reject(self, file: str, field: str, message: str) -> None:
        """Notes one mistake."""
        self._errors.append(errors.ConfigError(file, field, message))

    def add(self, path: pathlib.Path) -> None:
        """Merges one file over those before it."""
        try:
            layer = _parse(path.read_bytes())
        except (OSError, ValueError, RecursionError) as error:
            self.reject(path.name, WHOLE_FILE, _reason(error))
            return
        duplicates = list(_duplicates(layer, ()))
        for field in duplicates:
            self.reject(
                path.name, dotted(field), "is given twice in one object"
            )
        if not duplicates:
            self._merge(self._merged, layer, (), path.name)

    def finish(self) -> Loaded:
        """Returns what was merged, or raises what was noted."""
        if self._errors:
            raise errors.ConfigRejected("files can't be merged", self._errors)
        return Loaded(self._merged, self._sources)

    def _merge(
        self, into: dict[str, Any], layer: _Object, path: Path, file: str
    ) -> None:
        for key, value in layer.items():
            here = (*path, key)
            if value is None:
                self._remove(into, key, here, file)
                continue
            if not isinstance(value, dict):
                self._forget(into, key, here)
                into[key] = value
            elif not isinstance(into.get(key), dict):
                self._forget(into, key, here)
                into[key] = {}
            self._sources[here] = file
            if isinstance(value, _Object):
                self._merge(into[key], value, here, file)

    def _remove(
        self, into: dict[str, Any], key: str, here: Path, file: str
    ) -> None:
        # A misspelt removal would leave in force what the operator believes
        # to be gone, so it is a mistake rather than nothing to do.
        if key not in into:
            message = "null removes a key, but no earlier file sets this one"
            self.reject(file, dotted(here), message)
            return
        self._forget(into, key, here)
        del into[key]

    def _forget(self, into: dict[str, Any], key: str, here: Path) -> None:
        """Drops the sources of a field that is replaced or removed."""
        if key not in into:
            return
        for path in [p for p in self._sources if p[: len(here)] == here]:
            del self._sources[path]


def _parse(content: bytes) -> _Object:
    """Returns the object in a file.

    Raises:
        ValueError: it is not UTF-8, not JSON, or not an object.
    """
    parsed = json.loads(
        content.decode("utf-8"),
        object_pairs_hook=_Object,
        parse_constant=_refuse_constant,
    )
    if not isinstance(parsed, _Object):
        raise ValueError("must hold one JSON object")
    return parsed


def _refuse_constant(name: str) -> None:
    raise ValueError(f"{name} is not JSON")


def _duplicates(value: object, path: Path) -> Iterator[Path]:
    """Yields the path of each key that one object gives twice."""
    if isinstance(value, _Object):
        yield from ((*path, key) for key in value.duplicates)
        for key, inner in value.items():
            yield from _duplicates(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from _duplicates(inner, (*path, index))


def _reason(error: Exception) -> str:
    if isinstance(error, UnicodeDecodeError):
        return f"is not UTF-8: byte {error.start} can't be decoded"
    if isinstance(error, json.JSONDecodeError):
        where = f"line {error.lineno} column {error.colno}"
        return f"is not JSON: {where}: {error.msg}"
    if isinstance(error, RecursionError):
        return "is nested too deeply"
    return str(error)
