"""Configurations for tests, taken from the examples."""

import functools
import pathlib

from vanillaswitch.state import check
from vanillaswitch.state import config as config_module
from vanillaswitch.state import folder

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
NAMES = ("mare-dues", "larkspur")


def loaded(name: str = NAMES[0]) -> folder.Loaded:
    """Returns the merged folder of an example."""
    return folder.read(EXAMPLES / name / "config")


@functools.cache
def example(name: str = NAMES[0]) -> config_module.Config:
    """Returns the checked configuration of an example."""
    return check.check(loaded(name))
