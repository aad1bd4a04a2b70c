"""Names of rows in the platform's table.

A constant that ends with a slash is the prefix of all rows of one kind.
"""

import urllib.parse

CONFIG_HEAD = "config/head"
SESSIONS = "session/"
DUTIES = "duty/"
INSTANCES = "instance/"
BUDGETS = "budget/"
WAVES = "wave/"
CLAIMS = "once/"
TASKS = "task/"
JOBS = "job/"
DECISIONS = "decision/"
QUOTAS = "quota/"


def _quote(part: str) -> str:
    """Escapes slashes, so that names can't reach into each other's rows."""
    return urllib.parse.quote(part, safe="")


def session(controller: str) -> str:
    """Returns the lease row of one controller."""
    return SESSIONS + _quote(controller)


def duty(name: str) -> str:
    """Returns the row of one duty."""
    return DUTIES + _quote(name)


def instance(name: str) -> str:
    """Returns the row of one instance."""
    return INSTANCES + _quote(name)


def budget(service: str) -> str:
    """Returns the row of one service's availability budget."""
    return BUDGETS + _quote(service)


def wave(name: str) -> str:
    """Returns the row of one wave."""
    return WAVES + _quote(name)


def job(name: str) -> str:
    """Returns the row of one job."""
    return JOBS + _quote(name)


def task(name: str) -> str:
    """Returns the row of one task."""
    return TASKS + _quote(name)


def quota(team: str) -> str:
    """Returns the row that each start for one team writes."""
    return QUOTAS + _quote(team)


def decisions(subject: str) -> str:
    """Returns the row that keeps the decisions about one subject."""
    return DECISIONS + _quote(subject)


def claim(caller: str, service: str, key: str) -> str:
    """Returns the claim row of one non-idempotent request.

    The caller is part of the name: no caller gets another's answer by a key
    that happens to be the same.
    """
    return CLAIMS + "/".join(_quote(part) for part in (caller, service, key))


def name_of(prefix: str, key: str) -> str:
    """Returns the name that a key of one part below ``prefix`` was made of."""
    return urllib.parse.unquote(key.removeprefix(prefix))
