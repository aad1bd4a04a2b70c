"""The result of reading an external document or answer that is invalid."""

import dataclasses

FIELD_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    TypeError,
    ValueError,
)
"""Exceptions from reading a field that is missing or has a wrong value."""


@dataclasses.dataclass(frozen=True)
class Unusable:
    """The document or answer is invalid and must not be acted on.

    Attributes:
        reason: which field is invalid, and why.
    """

    reason: str
