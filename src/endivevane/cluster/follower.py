"""Follows the configuration head and puts documents into force."""

from __future__ import annotations

import dataclasses
import random
import typing
from collections import abc

import pydantic
import result

from endivevane import logs, metrics
from endivevane.cluster import calls, messages
from endivevane.configuration import publishing, snapshot
from endivevane.coordination import clock, feed, store

HEAD = "config_head"
FETCH = "config_fetch"
BUILD = "config_build"
# One read of the head every 30 ms in the whole cluster notices a change at once while
# it stays far below the read limit of the table service.
_CLUSTER_POLLS_PER_S = 34.0
_SHORTEST_POLL_S = 1.0
# Daemons fetch a changed document within a window that keeps their reads below a
# quarter of the table service's limit.
_CLUSTER_FETCHES_PER_S = 170.0
_RETRY_S = 1.0
# Reading hundreds of documents one by one costs the table service as many reads for
# each daemon that starts; a peer sends them in one message.
_PEER_HEAD_START_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The outcome of a read of the head.

    :param started_s: monotonic time before the read
    """

    outcome: result.Result[store.Row | None, store.StoreError]
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Built:
    """Documents of a revision and what was made of them.

    :param is_from_store: whether the documents are those of the table service's head
    :param started_s: monotonic time before they were read
    """

    documents: publishing.Documents
    snapshot: snapshot.Snapshot
    is_from_store: bool
    started_s: float


class ConfigurationFollower:
    """Keeps the newest configuration in force; runs on the cluster thread.

    :param zone: zone of this daemon
    :param follower_clock: only its monotonic part is used
    :param table_store: where the configuration is
    :param background: runs the blocking calls
    :param generator: source of jitter
    :param longest_pause_s: a pause above this one asks for a new confirmation
    """

    def __init__(
        self,
        zone: str,
        follower_clock: clock.Clock,
        table_store: store.TableStore,
        background: calls.BackgroundCalls,
        generator: random.Random,
        longest_pause_s: float,
    ) -> None:
        self._clock = follower_clock
        self._store = table_store
        self._background = background
        self._random = generator
        self.feed = feed.ConfigurationFeed(zone, follower_clock, longest_pause_s)
        self.documents = publishing.NO_DOCUMENTS
        self.snapshot = snapshot.EMPTY
        self.has_store_failed = False
        self._poll_at_s = follower_clock.monotonic_s()
        self._fetch_at_s: float | None = None

    def run(self, now_s: float, cluster_size: int, has_holder: bool) -> None:
        """Start the calls that are due.

        :param has_holder: whether a peer has the highest known revision in force; a
            daemon that has no document yet gives it time to send all of them at once
        """
        self.feed.check_pause()
        if now_s >= self._poll_at_s and self._background.start(HEAD, self._read_head):
            interval_s = max(_SHORTEST_POLL_S, cluster_size / _CLUSTER_POLLS_PER_S)
            self._poll_at_s = now_s + interval_s * self._random.uniform(0.8, 1.2)
        if not self.feed.needs_fetch():
            self._fetch_at_s = None
            return
        if self._fetch_at_s is None:
            window_s = cluster_size / _CLUSTER_FETCHES_PER_S
            self._fetch_at_s = now_s + self._random.uniform(0, window_s)
            if has_holder and self.feed.applied_revision == 0:
                self._fetch_at_s += _PEER_HEAD_START_S
        if now_s >= self._fetch_at_s:
            known = self.documents
            if self._background.start(FETCH, lambda: self._fetch(known)):
                self._fetch_at_s = now_s + _RETRY_S

    def record_head(self, read: HeadRead | None) -> None:
        """Apply the outcome of a read of the head."""
        if read is None or isinstance(read.outcome, result.Err):
            self.has_store_failed = True
            return
        self.has_store_failed = False
        row = read.outcome.ok_value
        revision = int(row.value["revision"]) if row is not None else 0
        self.feed.record_head(revision, read.started_s)

    def record_built(
        self, outcome: result.Result[Built, store.StoreError] | None
    ) -> bool:
        """Put fetched documents into force; tell whether they are newer."""
        if outcome is None or isinstance(outcome, result.Err):
            self.has_store_failed = True
            if outcome is not None:
                logs.warning("config_fetch_failed", error=outcome.err_value)
            return False
        built = outcome.ok_value
        is_newer = self.feed.apply(built.documents.revision)
        if is_newer:
            self.documents = built.documents
            self.snapshot = built.snapshot
            metrics.CONFIG_REVISION.set(built.documents.revision)
            logs.info("config_in_force", revision=built.documents.revision)
        if built.is_from_store:
            self.feed.record_head(built.documents.revision, built.started_s)
        return is_newer

    def make_rows(
        self, header: typing.Any, versions: abc.Mapping[str, int]
    ) -> messages.ConfigRows:
        """Return the documents in force that a peer lacks."""
        documents = self.documents.documents
        return messages.ConfigRows(
            header,
            self.documents.revision,
            self.documents.state.value,
            {key: item.version for key, item in documents.items()},
            {
                key: item.document
                for key, item in documents.items()
                if versions.get(key) != item.version
            },
        )

    def list_versions(self) -> dict[str, int]:
        """Return the version of each document in force."""
        return {key: item.version for key, item in self.documents.documents.items()}

    def accept_rows(self, rows: messages.ConfigRows) -> None:
        """Build what a peer sent, if it is newer."""
        known = self.documents
        if rows.revision > self.feed.applied_revision:
            started_s = self._clock.monotonic_s()
            self._background.start(BUILD, lambda: _build_rows(rows, known, started_s))

    def _read_head(self) -> HeadRead:
        started_s = self._clock.monotonic_s()
        return HeadRead(
            self._store.read(publishing.TABLE, publishing.HEAD_KEY), started_s
        )

    def _fetch(
        self, known: publishing.Documents
    ) -> result.Result[Built, store.StoreError]:
        started_s = self._clock.monotonic_s()
        fetched = publishing.fetch_changes(self._store, known)
        if isinstance(fetched, result.Err):
            return fetched
        return _build(fetched.ok_value, True, started_s)


def _build(
    documents: publishing.Documents, is_from_store: bool, started_s: float
) -> result.Result[Built, store.StoreError]:
    """Parse documents; those that this version can't read leave the old in force."""
    content = {key: item.document for key, item in documents.documents.items()}
    try:
        built = snapshot.build_snapshot(documents.revision, content)
    except (pydantic.ValidationError, KeyError, ValueError) as error:
        logs.error("config_invalid", revision=documents.revision, error=error)
        return result.Err(store.StoreUnavailable("documents can't be parsed"))
    return result.Ok(Built(documents, built, is_from_store, started_s))


def _build_rows(
    rows: messages.ConfigRows, known: publishing.Documents, started_s: float
) -> result.Result[Built, store.StoreError]:
    documents: dict[str, publishing.VersionedDocument] = {}
    for key, version in rows.versions.items():
        have = known.documents.get(key)
        if key in rows.documents:
            content = rows.documents[key]
            documents[key] = publishing.VersionedDocument(version, content)
        elif have is not None and have.version == version:
            documents[key] = have
        else:
            return result.Err(store.StoreUnavailable(f"peer left out {key}"))
    whole = publishing.Documents(
        rows.revision, publishing.HeadState(rows.state), documents
    )
    return _build(whole, False, started_s)
