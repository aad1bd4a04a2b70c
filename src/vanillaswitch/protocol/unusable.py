"""The result of reading an external document or answer that is invalid."""

import dataclasses

FIELD_ERRORS = (
    AttributeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions from reading a field that is missing or has a wrong value.

A value that is nested almost as deeply as the interpreter allows raises
``RecursionError`` when it is compared or printed."""


@dataclasses.dataclass(frozen=True)
class Unusable:
    """The document or answer is invalid and must not be acted on.

    Attributes:
        reason: which field is invalid, and why.
    """

    reason: str
