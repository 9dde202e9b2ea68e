"""The exception hierarchy of the package.

Each class carries its data as attributes and formats its own message.
"""

from __future__ import annotations

import dataclasses


class EndivevaneError(Exception):
    """Base class of every failure that the package reports."""

    def format_message(self) -> str:
        """Return a one-line description for people."""
        return str(self)

    def __str__(self) -> str:
        """Return the formatted message."""
        return self.format_message()


@dataclasses.dataclass(frozen=True, slots=True)
class InputProblem:
    """One problem in a file that a person wrote.

    :param file: path of the file
    :param key: dotted path of the key, empty when the whole file is meant
    :param reason: what is wrong, in one sentence
    """

    file: str
    key: str
    reason: str

    def format_line(self) -> str:
        """Return ``file: key: reason`` without empty parts."""
        return ": ".join(part for part in (self.file, self.key, self.reason) if part)


class InputError(EndivevaneError):
    """A file that a person wrote is invalid.

    :param problems: every problem that was found, in file order
    """

    def __init__(self, problems: list[InputProblem]) -> None:
        super().__init__()
        self.problems = problems

    def format_message(self) -> str:
        """Return one line per problem."""
        return "\n".join(problem.format_line() for problem in self.problems)


class SettingsError(InputError):
    """The settings file of a daemon or of the command is invalid."""


class ConfigurationError(InputError):
    """A configuration file of an operator is invalid."""


class PublishConflict(EndivevaneError):
    """Another publisher changed the same document first.

    :param document: key of the document, for example ``services/kernel-llm``
    :param expected_revision: row revision that this publisher started from
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
        """Return what changed and what to do next."""
        return (
            f"{self.document} was changed by another publisher: expected revision "
            f"{self.expected_revision}, found {self.actual_revision}; "
            "run 'endivevanectl diff' and publish again"
        )


class ProtocolError(EndivevaneError):
    """A peer or an outside system sent something that its protocol forbids.

    :param source: name or address of the sender
    :param detail: what was wrong
    """

    def __init__(self, source: str, detail: str) -> None:
        super().__init__()
        self.source = source
        self.detail = detail

    def format_message(self) -> str:
        """Return the sender and the problem."""
        return f"unexpected data from {self.source}: {self.detail}"
