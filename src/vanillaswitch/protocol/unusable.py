"""What stands for a document or answer of others that can't be used."""

import dataclasses

WRONG_FIELDS = (
    AttributeError,
    LookupError,
    OverflowError,
    TypeError,
    ValueError,
)
"""What reading a field ends in that is missing, or of another type or size."""


@dataclasses.dataclass(frozen=True)
class Unusable:
    """It names nothing that may be acted on.

    Attributes:
        reason: which field is wrong, and how.
    """

    reason: str
