"""Writes the golden files anew: ``python -m tests.golden.update [NAME ...]``.

Look at the differences before you commit them.
"""

import functools
import sys

from tests.common import records
from tests.golden import callers
from tests.golden import operators
from tests.golden import waves

RECORDS = {
    "callers-mare-dues.txt": functools.partial(
        callers.record, callers.MARE_DUES
    ),
    "callers-larkspur.txt": functools.partial(callers.record, callers.LARKSPUR),
    "wave-mare-dues.txt": functools.partial(
        waves.record, "mare-dues", "pilotage"
    ),
    "operators-config.txt": operators.record_config,
    "operators-wave.txt": functools.partial(
        operators.record_wave, "larkspur", "fitting-desk"
    ),
}
"""Golden file to what records the session anew."""


def main(names: list[str]) -> None:
    """Writes the named files, all of them without names."""
    for name in names or RECORDS:
        text = RECORDS[name]()
        print(records.difference(name, text) or f"{name}: no change")
        (records.GOLDEN / name).write_text(text)


if __name__ == "__main__":
    main(sys.argv[1:])
