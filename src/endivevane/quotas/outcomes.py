"""Decisions about requests of organisations with quotas."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The request is within the quota and may go to a target."""


@dataclasses.dataclass(frozen=True, slots=True)
class OverQuota:
    """The quota is used up; the request must not run.

    :param retry_after_s: time until a token is likely due
    """

    retry_after_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NoIssuer:
    """No daemon that may decide can be reached; the request must not run.

    :param retry_after_s: time after which to come back
    """

    retry_after_s: float


Outcome = Admitted | OverQuota | NoIssuer
ADMITTED = Admitted()
