"""Logging: one line for each change of state, on standard error."""

import sys

import loguru

logger = loguru.logger

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}"


def configure(process: str) -> None:
    """Sends this process's lines to standard error.

    Args:
        process: the process's name, shown in each line.
    """
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(sys.stderr, format=_FORMAT, level="INFO")
