"""Starts ``vanillaswitch edge`` from a checkout, where the platform runs it."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from vanillaswitch.daemons import edge  # noqa: E402

if __name__ == "__main__":
    edge.command()
