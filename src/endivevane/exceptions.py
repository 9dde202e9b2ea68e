"""The exception hierarchy of the package.

Each class stores its data in attributes and builds its message from them.
"""

from __future__ import annotations

import dataclasses


class EndivevaneError(Exception):
    """Base class of all exceptions of the package."""

    def format_message(self) -> str:
        """Return a human-readable message."""
        return str(self)

    def __str__(self) -> str:
        """Return the formatted message."""
        return self.format_message()


@dataclasses.dataclass(frozen=True, slots=True)
class InputProblem:
    """One problem in a user-written file.

    :param file: path of the file
    :param key: dotted path of the key, empty if the problem concerns the whole file
    :param reason: description of the problem in one sentence
    """

    file: str
    key: str
    reason: str

    def format_line(self) -> str:
        """Return ``file: key: reason`` without empty parts."""
        return ": ".join(part for part in (self.file, self.key, self.reason) if part)


class InputError(EndivevaneError):
    """A user-written file is invalid.

    :param problems: all problems found, in file order
    """

    def __init__(self, problems: list[InputProblem]) -> None:
        super().__init__()
        self.problems = problems

    def format_message(self) -> str:
        """Return one line per problem."""
        return "\n".join(problem.format_line() for problem in self.problems)


class SettingsError(InputError):
    """The settings file of a daemon or of the command-line tool is invalid."""


class ConfigurationError(InputError):
    """A configuration file of an operator is invalid."""


class PublishConflict(EndivevaneError):
    """Another publisher changed the document since this publisher read it.

    :param document: key of the document, for example ``services/kernel-llm``
    :param expected_revision: row revision that this publisher's change is based on
    :param actual_revision: row revision found in the store
    """

    def __init__(
        self, document: str, expected_revision: int | None, actual_revision: int | None
    ) -> None:
        super().__init__()
        self.document = document
        self.expected_revision = expected_revision
        self.actual_revision = actual_revision

    def format_message(self) -> str:
        """Return the conflicting revisions and how to resolve the conflict."""
        return (
            f"{self.document} was changed by another publisher: expected revision "
            f"{self.expected_revision}, found {self.actual_revision}; "
            "run 'endivevanectl diff' and publish again"
        )


class ProtocolError(EndivevaneError):
    """A peer or an external system sent data that violates its protocol.

    :param source: name or address of the sender
    :param detail: description of the violation
    """

    def __init__(self, source: str, detail: str) -> None:
        super().__init__()
        self.source = source
        self.detail = detail

    def format_message(self) -> str:
        """Return a message with the sender and the violation."""
        return f"unexpected data from {self.source}: {self.detail}"
