"""Registries of variants."""

import pytest

from vanillaswitch import errors
from vanillaswitch.internal import registry


def test_a_registered_variant_is_found_by_its_name():
    variants: registry.Registry[int] = registry.Registry("number")
    variants.register("one")(1)
    assert variants.get("one") == 1


def test_an_unknown_name_is_told_the_known_ones():
    variants: registry.Registry[int] = registry.Registry("number")
    variants.register("one")(1)
    with pytest.raises(errors.UnknownVariantError, match="use one of: one"):
        variants.get("two")
