"""The copies of the store's tables that a daemon follows."""

from __future__ import annotations

import dataclasses
from collections import abc

from endivevane import metrics
from endivevane.platform import copied_feed, records, store_relay
from endivevane.serving import follower, jobs
from endivevane.stream_versions import rows as version_rows


@dataclasses.dataclass(frozen=True, slots=True)
class Feeds:
    """A copy of the operator's configuration, of the targets, and of the own rows."""

    configuration: follower.TableFollower
    targets: follower.TableFollower
    state: follower.TableFollower

    def export_ages(self) -> None:
        """Let the metrics show how old the copies are."""
        for table, feed in (
            ("configuration", self.configuration),
            ("targets", self.targets),
            ("state", self.state),
        ):
            metrics.COPY_AGE_SECONDS.labels(table).set_function(feed.age.measure_s)

    def list_copied(
        self, is_reader: abc.Callable[[], bool]
    ) -> tuple[copied_feed.CopiedFeed, ...]:
        """Return the tables that other daemons of the region read here, not there.

        Unlike relayed rows, these are read while the store is in reach.

        :param is_reader: returns whether this daemon reads from the store for them
        """
        copied = copied_feed.CopiedFeed
        return (
            copied(records.CONFIGURATION_TABLE, self.configuration, is_reader, True),
            copied(records.TARGETS_TABLE, self.targets, is_reader, False),
            copied(jobs.STATE_TABLE, self.state, is_reader, False),
        )

    def list_relayed(self) -> tuple[store_relay.FollowedRows, ...]:
        """Return the rows that other daemons may read here while the store is away."""
        start, end = version_rows.PLAN_PREFIX, version_rows.PLAN_END
        followed = store_relay.FollowedRows
        return (
            followed(records.CONFIGURATION_TABLE, self.configuration),
            followed(records.TARGETS_TABLE, self.targets),
            followed(jobs.STATE_TABLE, self.state, start, end),
        )
