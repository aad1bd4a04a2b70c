"""Names that others know stay when identifiers are renamed."""

from tests.common import outer_names


def test_names_that_leave_the_process_stay():
    """A renamed class or field must not rename a message, row or metric.

    Such names are derived from identifiers in many places, so a rename in the
    code would change what peers of another version and users read.
    """
    gone = sorted(set(outer_names.listed()) - set(outer_names.collect()))
    assert not gone, (
        f"keep these names, or take them out of {outer_names.LIST.name} if "
        f"nobody uses them any more: {gone}"
    )
