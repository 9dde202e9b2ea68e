"""Rows of the table that the daemons keep for each other."""

from __future__ import annotations

import dataclasses

from endivevane.entry import membership
from endivevane.quarantine import rows as quarantine_rows
from endivevane.quarantine import service as quarantine_service
from endivevane.serving import job_registry, jobs, store
from endivevane.stream_versions import assembly as stream_versions
from endivevane.stream_versions import rows as version_rows


@dataclasses.dataclass(frozen=True, slots=True)
class StateRows:
    """Hands each row to the part that it belongs to."""

    job_entries: job_registry.JobRegistry
    members: membership.Membership
    quarantine: quarantine_service.QuarantineService
    versions: stream_versions.StreamVersionParts

    def apply(self, row: store.Row) -> None:
        """Apply a row, or its deletion."""
        key = row.row_key.key
        if key.startswith(jobs.JOB_PREFIX):
            self.job_entries.apply(row)
        elif key.startswith(jobs.MEMBER_PREFIX):
            self.members.apply(row)
        elif key.startswith(quarantine_rows.ROW_PREFIX):
            self.quarantine.apply_row(row)
        elif key.startswith(version_rows.PLAN_PREFIX):
            self.versions.apply_row(row)
