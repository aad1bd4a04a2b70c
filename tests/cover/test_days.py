"""Days of our own say what they are about and can be read."""

import pathlib
import tomllib

import pytest

_DAYS = pathlib.Path(__file__).parent.parent.parent / "deploy" / "days"
_FILES = sorted(_DAYS.glob("*.toml"))
_FIELDS = {"name", "seed", "plan", "faults"}


@pytest.mark.parametrize("file", _FILES, ids=lambda file: file.stem)
def test_a_day_tells_its_subject_and_promise_and_holds_one_day(file):
    text = file.read_text(encoding="utf-8")
    assert [line[:2] for line in text.splitlines()[:3]] == ["# ", "# ", "[["]
    (day,) = tomllib.loads(text)["day"]
    assert day.keys() == _FIELDS
    assert day["name"] == file.stem
    entries = day["plan"] + day["faults"]
    assert entries
    assert all(entry["at"] >= 0 and entry["kind"] for entry in entries)


def test_each_subject_has_a_day_of_its_own():
    seeds = [file.stem for file in _FILES]
    assert len(seeds) == len(set(seeds)) > 15
