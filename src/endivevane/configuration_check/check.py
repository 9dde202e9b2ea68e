"""The whole check of a configuration."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane.configuration_check import (
    differences,
    entries,
    findings,
    limits,
    matching,
    organisations,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What is known of a deployment beside its configuration.

    :param in_force: the configuration in force, ``None`` if it is not known
    :param most_slots: most slots of a registered target, by service
    :param largest_job_tokens: tokens of the largest job, 0 if they are not known
    """

    in_force: entries.Configuration | None = None
    most_slots: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    largest_job_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a check."""

    findings: tuple[findings.Finding, ...]
    differences: tuple[differences.Difference, ...] = ()

    @property
    def has_errors(self) -> bool:
        """Whether any finding is an error."""
        return any(
            finding.severity is findings.Severity.ERROR for finding in self.findings
        )


def check(configuration: entries.Configuration, surroundings: Surroundings) -> Report:
    """Check a configuration by all rules."""
    found = [
        *matching.check(configuration),
        *organisations.check(configuration.organisations),
        *limits.check(configuration),
        *limits.check_largest_job(
            configuration.routes, surroundings.largest_job_tokens
        ),
        *limits.check_slots(configuration.services, surroundings.most_slots),
    ]
    if surroundings.in_force is None:
        return Report(tuple(found))
    changes = differences.compare(surroundings.in_force, configuration)
    is_newer = configuration.version > surroundings.in_force.version
    if changes and not is_newer:
        found.append(
            findings.Finding(
                findings.Rule.VERSION_NOT_NEWER,
                configuration.version_place,
                f"version {configuration.version} differs from the one in force, whose "
                f"version is {surroundings.in_force.version}",
            )
        )
    return Report(tuple(found), tuple(changes))
