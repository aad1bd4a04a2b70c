"""Whole sessions go as their golden files say."""

import pytest

from tests.common import records
from tests.golden import update


@pytest.mark.parametrize("name", update.RECORDS)
def test_a_session_goes_as_its_golden_file_says(name):
    difference = records.difference(name, update.RECORDS[name]())
    if difference:
        pytest.fail(
            f"{difference}\nIf this is meant: python -m tests.golden.update",
            pytrace=False,
        )
