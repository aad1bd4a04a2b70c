"""Each thing that a user can do wrong has its documented exception here.

Outcomes of calls (a refused commit, a lost answer) are values and live in
``vanillaswitch.protocol``; what is raised here is either a user's mistake, with
a message that says what to do next, or a broken invariant.
"""


class VanillaswitchError(Exception):
    """Base class of every error that this library raises on purpose."""


class InvariantError(VanillaswitchError):
    """Something that must always hold does not; the process has to stop."""


class UnknownVariantError(VanillaswitchError):
    """A setting names a variant that no registry has."""

    def __init__(self, kind: str, name: str, known: tuple[str, ...]):
        super().__init__(
            f"there is no {kind} called {name!r}; "
            f"use one of: {', '.join(known) or '(none)'}"
        )


class ConfigError(VanillaswitchError):
    """One mistake in one field of one configuration file.

    Attributes:
        file: name of the file, or "(merged)" when no single file is at fault.
        field: dotted path of the field.
        message: what is wrong there.
    """

    def __init__(self, file: str, field: str, message: str):
        super().__init__(f"{file}: {field}: {message}")
        self.file = file
        self.field = field
        self.message = message


class ConfigRejected(ExceptionGroup[ConfigError]):
    """All mistakes of a configuration folder at once; nothing was applied."""

    def derive(self, excs):  # type: ignore[no-untyped-def]
        """Keeps the class when the group is split."""
        return ConfigRejected(self.message, excs)


class SettingsError(VanillaswitchError):
    """A process's own settings file is wrong; the process does not start."""


class PlatformUnavailableError(VanillaswitchError):
    """The platform gave no answer to an operator's command; try again."""


class WaveRefusedError(VanillaswitchError):
    """A wave can't be started or paused now; the message says why."""


class CordonRefusedError(VanillaswitchError):
    """An instance can't be cordoned or opened now; the message says why."""


class ApplyConflictError(VanillaswitchError):
    """Another operator applied a configuration first.

    Attributes:
        changes: dotted paths that the other operator changed.
    """

    def __init__(self, started_from: int, found: int, changes: tuple[str, ...]):
        listed = ", ".join(changes) or "nothing that differs"
        super().__init__(
            f"version {found} is in force, you started from {started_from}; "
            f"the other change touched: {listed}. Nothing of yours was "
            "applied: look at `config diff`, then apply again."
        )
        self.changes = changes
