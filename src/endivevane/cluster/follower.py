"""Follows the configuration head and applies its documents."""

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
# One read of the head every 30 ms across the cluster detects a change promptly and
# stays far below the read limit of the table service.
_CLUSTER_POLLS_PER_S = 34.0
_MIN_POLL_INTERVAL_S = 1.0
# Fetches of a changed document are spread over a window that keeps reads below a
# quarter of the table service's limit.
_CLUSTER_FETCHES_PER_S = 170.0
_RETRY_S = 1.0
# A starting daemon asks a peer first: the peer sends all documents in one message,
# while the table service would serve hundreds of single reads.
_PEER_FETCH_DELAY_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """The outcome of a read of the head.

    :param started_s: monotonic time before the read
    """

    outcome: result.Result[store.Row | None, store.StoreError]
    started_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Built:
    """Documents of a revision and the snapshot built from them.

    :param is_from_store: whether the documents were read from the table service
    :param started_s: monotonic time before they were read
    """

    documents: publishing.Documents
    snapshot: snapshot.Snapshot
    is_from_store: bool
    started_s: float


class ConfigurationFollower:
    """Applies the newest configuration; runs on the cluster thread.

    :param zone: zone of this daemon
    :param follower_clock: only its monotonic part is used
    :param table_store: store of the configuration
    :param background: runs the blocking calls
    :param generator: source of jitter
    :param longest_pause_s: after a longer pause of the process, the
        revision must be confirmed as current again
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
        self._poll_due_s = follower_clock.monotonic_s()
        self._fetch_due_s: float | None = None

    def run(self, now_s: float, cluster_size: int, has_holder: bool) -> None:
        """Start the calls that are due.

        :param has_holder: whether a peer has applied the highest known revision; a
            daemon without documents then delays its own fetch for the peer's answer
        """
        self.feed.check_pause()
        if now_s >= self._poll_due_s and self._background.start(HEAD, self._read_head):
            interval_s = max(_MIN_POLL_INTERVAL_S, cluster_size / _CLUSTER_POLLS_PER_S)
            self._poll_due_s = now_s + interval_s * self._random.uniform(0.8, 1.2)
        if not self.feed.needs_fetch():
            self._fetch_due_s = None
            return
        if self._fetch_due_s is None:
            window_s = cluster_size / _CLUSTER_FETCHES_PER_S
            self._fetch_due_s = now_s + self._random.uniform(0, window_s)
            if has_holder and self.feed.applied_revision == 0:
                self._fetch_due_s += _PEER_FETCH_DELAY_S
        if now_s >= self._fetch_due_s:
            known = self.documents
            if self._background.start(FETCH, lambda: self._fetch(known)):
                self._fetch_due_s = now_s + _RETRY_S

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
        """Apply fetched documents; return whether they are newer."""
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
        """Return the applied documents that a peer lacks."""
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
        """Return the version of each applied document."""
        return {key: item.version for key, item in self.documents.documents.items()}

    def accept_rows(self, rows: messages.ConfigRows) -> None:
        """Build a snapshot from a peer's documents if they are newer."""
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
    """Build a snapshot; return an error for documents that can't be parsed."""
    content = {key: item.document for key, item in documents.documents.items()}
    try:
        built = snapshot.build_snapshot(documents.revision, content)
    except (pydantic.ValidationError, KeyError, ValueError) as error:
        logs.error("config_invalid", revision=documents.revision, error=error)
        return result.Err(
            store.StoreUnavailable("configuration documents can't be parsed")
        )
    return result.Ok(Built(documents, built, is_from_store, started_s))


def _build_rows(
    rows: messages.ConfigRows, known: publishing.Documents, started_s: float
) -> result.Result[Built, store.StoreError]:
    documents: dict[str, publishing.VersionedDocument] = {}
    for key, version in rows.versions.items():
        held = known.documents.get(key)
        if key in rows.documents:
            content = rows.documents[key]
            documents[key] = publishing.VersionedDocument(version, content)
        elif held is not None and held.version == version:
            documents[key] = held
        else:
            return result.Err(store.StoreUnavailable(f"peer sent no document {key}"))
    complete = publishing.Documents(
        rows.revision, publishing.HeadState(rows.state), documents
    )
    return _build(complete, False, started_s)
