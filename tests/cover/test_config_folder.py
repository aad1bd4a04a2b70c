"""Reading and merging a folder of configuration files."""

import json
import pathlib
import tempfile

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import properties
from vanillaswitch import errors
from vanillaswitch.state import folder

KEYS = st.sampled_from(["a", "b", "c"])
SCALARS = st.integers(0, 9) | st.just([1, 2])
INNER = st.dictionaries(KEYS, SCALARS, max_size=2)
OBJECTS = st.dictionaries(KEYS, SCALARS | INNER)


def read(*layers):
    """Returns the folder of these layers, each an object or raw bytes."""
    with tempfile.TemporaryDirectory() as directory:
        for index, layer in enumerate(layers):
            content = layer if isinstance(layer, bytes) else dump(layer)
            pathlib.Path(directory, f"{index:02}.json").write_bytes(content)
        return folder.read(pathlib.Path(directory))


def dump(layer):
    return json.dumps(layer).encode()


def told(*layers):
    """Returns file, field and message of each mistake."""
    with pytest.raises(errors.ConfigRejected) as raised:
        read(*layers)
    return [(e.file, e.field, e.message) for e in raised.value.exceptions]


def leaves(value, path=()):
    if not isinstance(value, dict):
        return {path: value}
    return {
        p: v
        for k, inner in value.items()
        for p, v in leaves(inner, (*path, k)).items()
    }


@properties.steady
@given(st.lists(OBJECTS, min_size=1, max_size=4))
def test_the_last_file_that_sets_a_field_wins_and_is_its_source(layers):
    loaded = read(*layers)
    for path, value in leaves(loaded.merged).items():
        setters = [i for i, la in enumerate(layers) if path in leaves(la)]
        assert leaves(layers[setters[-1]])[path] == value
        assert loaded.source(path) == f"{setters[-1]:02}.json"
    for path in leaves(layers[-1]):
        assert path in leaves(loaded.merged)


@properties.steady
@given(OBJECTS, KEYS)
def test_null_removes_a_key_of_an_earlier_file(layer, key):
    layer[key] = {"kept": 1}
    loaded = read(layer, {key: None})
    assert loaded.merged == {k: v for k, v in layer.items() if k != key}
    assert loaded.source((key, "kept")) == folder.MERGED


def test_null_for_a_key_that_no_earlier_file_sets_is_a_mistake():
    [(file, field, message)] = told({"jobs": {"a": 1}}, {"jobs": {"b": None}})
    assert (file, field) == ("01.json", "jobs.b")
    assert "no earlier file" in message


@pytest.mark.parametrize(
    ("content", "field", "message"),
    [
        (b'{"a": {"b": 1, "b": 2}}', "a.b", "given twice"),
        (b'{"a": [{"b": 1, "b": 2}]}', "a[0].b", "given twice"),
        (b'{"a": 1,}', folder.WHOLE_FILE, "line 1 column"),
        (b'{"a": NaN}', folder.WHOLE_FILE, "NaN is not JSON"),
        (b'{"a": "\xff"}', folder.WHOLE_FILE, "not UTF-8: byte 7"),
        (b"[]", folder.WHOLE_FILE, "must hold one JSON object"),
        (b"[" * 100_000, folder.WHOLE_FILE, "nested too deeply"),
        (b'{"a": ' + b"9" * 5000 + b"}", folder.WHOLE_FILE, "digits"),
    ],
)
def test_a_file_that_cannot_be_read_is_named(content, field, message):
    [(file, found, reason)] = told({"a": 1}, content)
    assert (file, found) == ("01.json", field)
    assert message in reason


def test_every_file_that_cannot_be_read_is_named_at_once():
    assert [file for file, _, _ in told(b"", {}, b"[]")] == [
        "00.json",
        "02.json",
    ]


def test_a_folder_without_files_is_a_mistake_and_hidden_files_are_no_files(
    tmp_path,
):
    (tmp_path / ".unsaved.json").write_text("{}")
    with pytest.raises(errors.ConfigRejected):
        folder.read(tmp_path)
