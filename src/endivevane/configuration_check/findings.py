"""What a check of a configuration finds."""

from __future__ import annotations

import dataclasses
import enum
from collections import abc


class Severity(enum.StrEnum):
    """How bad a finding is."""

    ERROR = "error"
    WARNING = "warning"


class Rule(enum.StrEnum):
    """The rules that a configuration can break."""

    SYNTAX = "syntax"
    DUPLICATE_KEY = "duplicate_key"
    INVALID_FIELD = "invalid_field"
    UNKNOWN_FIELD = "unknown_field"
    INVALID_KIND = "invalid_kind"
    NO_SERVICE = "no_service"
    DUPLICATE_NAME = "duplicate_name"
    UNDECLARED_SERVICE = "undeclared_service"
    UNUSED_SERVICE = "unused_service"
    SPLIT_IGNORED = "split_ignored"
    WEIGHT_ZERO = "weight_zero"
    PREFIX_WITHOUT_SLASH = "prefix_without_slash"
    ROUTE_SHADOWED = "route_shadowed"
    BATCH_ROUTE_SHADOWED = "batch_route_shadowed"
    ORGANISATION_WITHOUT_KEYS = "organisation_without_keys"
    KEY_SHARED = "key_shared"
    KEY_REPEATED = "key_repeated"
    BURST_WITHOUT_RATE = "burst_without_rate"
    TIMEOUT_ZERO = "timeout_zero"
    OBJECTIVE_ABOVE_TIMEOUT = "objective_above_timeout"
    ATTEMPTS_ZERO = "attempts_zero"
    RETENTION_BELOW_COMPLETION = "retention_below_completion"
    QUOTA_BELOW_JOB = "quota_below_job"
    STREAMS_ABOVE_CONNECTIONS = "streams_above_connections"
    HEADER_TIMEOUT_ABOVE_IDLE = "header_timeout_above_idle"
    VERSION_NOT_NEWER = "version_not_newer"
    IN_FORCE_UNREADABLE = "in_force_unreadable"


# Daemons accept the configuration, but a part has no effect or can't be checked.
_WARNINGS = frozenset(
    (
        Rule.UNKNOWN_FIELD,
        Rule.UNDECLARED_SERVICE,
        Rule.UNUSED_SERVICE,
        Rule.SPLIT_IGNORED,
        Rule.WEIGHT_ZERO,
        Rule.ORGANISATION_WITHOUT_KEYS,
        Rule.KEY_REPEATED,
        Rule.TIMEOUT_ZERO,
        Rule.VERSION_NOT_NEWER,
        Rule.IN_FORCE_UNREADABLE,
    )
)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where something stands in a file.

    :param key: path of the key, empty for the whole file
    :param line: counted from 1, 0 if it stands nowhere in the file
    """

    key: str
    line: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One rule that a configuration breaks.

    :param message: one sentence, which contains no key of an organisation
    """

    rule: Rule
    place: Place
    message: str

    @property
    def severity(self) -> Severity:
        """How bad it is."""
        return Severity.WARNING if self.rule in _WARNINGS else Severity.ERROR


def sort_by_place(findings: abc.Iterable[Finding]) -> list[Finding]:
    """Return findings in the order of the file."""
    return sorted(findings, key=lambda finding: (finding.place.line, finding.place.key))
