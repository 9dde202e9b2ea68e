"""Publish configuration documents to the table service, and read those in force."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections import abc

import result

from endivevane import exceptions, utils
from endivevane.configuration import loading
from endivevane.coordination import store

TABLE = "config"
HEAD_KEY = "head"
ACKS_PREFIX = "acks/"
_MAX_ATTEMPTS = 8


class HeadState(enum.StrEnum):
    """Whether every zone has confirmed the head revision."""

    PENDING = "pending"
    ACCEPTED = "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedDocument:
    """A document and its version.

    :param version: configuration revision that last changed the document
    """

    version: int
    document: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Documents:
    """All documents of one configuration revision.

    :param revision: 0 before the first publish
    :param head_row_revision: row revision of ``config/head``; ``None`` when absent
    """

    revision: int
    state: HeadState
    documents: abc.Mapping[str, VersionedDocument]
    excluded_zones: tuple[str, ...] = ()
    head_row_revision: int | None = None


NO_DOCUMENTS = Documents(0, HeadState.ACCEPTED, {})


class HeadUnstable(store.StoreError):
    """The head changed during each attempt to read or publish."""

    def format_message(self) -> str:
        """Return the reason and the advice to retry."""
        return "the configuration changed during each read; try again"


class PublishRejected(exceptions.ConfigurationError):
    """The documents are inconsistent with each other or with those in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A set of changes to publish.

    :param documents: new content by document key
    :param removed: keys of documents to remove
    :param files: source file by document key, for messages
    :param excluded_zones: zones whose confirmation is not required
    """

    documents: abc.Mapping[str, dict[str, typing.Any]]
    removed: abc.Collection[str] = ()
    files: abc.Mapping[str, str] = dataclasses.field(default_factory=dict)
    excluded_zones: tuple[str, ...] = ()


def fetch_changes(
    table_store: store.TableStore, known: Documents = NO_DOCUMENTS
) -> result.Result[Documents, store.StoreError]:
    """Return the documents of the head revision.

    Only documents whose version differs from the known one are read. A concurrent
    publish is detected by a row that does not match the head, which is then read again.

    :param known: documents that the caller already has
    """
    for _ in range(_MAX_ATTEMPTS):
        head = table_store.read(TABLE, HEAD_KEY)
        if isinstance(head, result.Err):
            return head
        if head.ok_value is None:
            return result.Ok(known)
        if head.ok_value.value["revision"] < known.revision:
            return result.Ok(known)
        documents = _read_documents(table_store, head.ok_value.value, known)
        if isinstance(documents, result.Err):
            return documents
        if documents.ok_value is None:
            continue
        return result.Ok(_make_documents(head.ok_value, documents.ok_value))
    return result.Err(HeadUnstable())


def find_changed_keys(change: Change, base: Documents) -> list[str]:
    """Return the keys that publishing the change would write or remove."""
    changed = [
        key
        for key, document in sorted(change.documents.items())
        if key not in base.documents or base.documents[key].document != document
    ]
    return changed + [key for key in sorted(change.removed) if key in base.documents]


def publish(
    table_store: store.TableStore, change: Change, base: Documents
) -> result.Result[
    Documents, store.StoreError | exceptions.PublishConflict | PublishRejected
]:
    """Publish a change in one transaction.

    If only other documents have changed since the base was read, the publish is
    retried on the new head. If one of the same documents has changed, it is a conflict.

    :param base: documents that the change is based on
    :returns: the documents in force after the publish
    """
    keys = find_changed_keys(change, base)
    current = base
    for _ in range(_MAX_ATTEMPTS):
        if not keys:
            return result.Ok(current)
        conflict = _find_conflict(keys, base, current)
        if conflict is not None:
            return result.Err(conflict)
        merged = _merge(change, keys, current)
        problems = loading.check_references(
            {key: item.document for key, item in merged.items()}, change.files
        )
        if problems:
            return result.Err(PublishRejected(problems))
        written = _write(table_store, change, keys, current, merged)
        if isinstance(written, result.Ok):
            return fetch_changes(table_store, current)
        if not isinstance(written.err_value, store.StoreConflict):
            return written
        fetched = fetch_changes(table_store, current)
        if isinstance(fetched, result.Err):
            return fetched
        current = fetched.ok_value
    return result.Err(HeadUnstable())


def mark_accepted(
    table_store: store.TableStore,
    published: Documents,
    excluded_zones: abc.Collection[str],
) -> result.Result[bool, store.StoreError]:
    """Record that all zones except the excluded ones have confirmed a revision.

    :param excluded_zones: zones whose confirmation was not required; they replace
        those that were given at the publish
    :returns: whether the head was still at this revision
    """
    head = table_store.read(TABLE, HEAD_KEY)
    if isinstance(head, result.Err):
        return head
    row = head.ok_value
    if row is None or row.value["revision"] != published.revision:
        return result.Ok(False)
    value = {
        **row.value,
        "state": HeadState.ACCEPTED.value,
        "excluded_zones": list(excluded_zones),
    }
    written = store.transact_with_readback(
        table_store,
        utils.make_id("accept"),
        [store.Condition(TABLE, HEAD_KEY, row.revision)],
        [store.Write(TABLE, HEAD_KEY, value)],
    )
    if isinstance(written, result.Ok):
        return result.Ok(True)
    if isinstance(written.err_value, store.StoreConflict):
        return result.Ok(False)
    return written


def read_confirmations(
    table_store: store.TableStore,
) -> result.Result[dict[str, int], store.StoreError]:
    """Return the confirmed revision by zone."""
    scanned = table_store.scan(TABLE, ACKS_PREFIX)
    if isinstance(scanned, result.Err):
        return scanned
    return result.Ok(
        {
            row.key.removeprefix(ACKS_PREFIX): int(row.value["revision"])
            for row in scanned.ok_value
        }
    )


def _read_documents(
    table_store: store.TableStore, head: abc.Mapping[str, typing.Any], known: Documents
) -> result.Result[dict[str, VersionedDocument] | None, store.StoreError]:
    """Return the head's documents, or ``None`` when the head has changed."""
    documents: dict[str, VersionedDocument] = {}
    for key, version in head["documents"].items():
        cached = known.documents.get(key)
        if cached is not None and cached.version == version:
            documents[key] = cached
            continue
        reading = table_store.read(TABLE, key)
        if isinstance(reading, result.Err):
            return reading
        row = reading.ok_value
        if row is None or row.value["version"] != version:
            return result.Ok(None)
        documents[key] = VersionedDocument(version, row.value["document"])
    return result.Ok(documents)


def _make_documents(
    head: store.Row, documents: dict[str, VersionedDocument]
) -> Documents:
    return Documents(
        revision=head.value["revision"],
        state=HeadState(head.value["state"]),
        documents=documents,
        excluded_zones=tuple(head.value["excluded_zones"]),
        head_row_revision=head.revision,
    )


def _find_conflict(
    keys: list[str], base: Documents, current: Documents
) -> exceptions.PublishConflict | None:
    for key in keys:
        old, new = base.documents.get(key), current.documents.get(key)
        expected = old.version if old else None
        actual = new.version if new else None
        if expected != actual:
            return exceptions.PublishConflict(key, expected, actual)
    return None


def _merge(
    change: Change, keys: list[str], current: Documents
) -> dict[str, VersionedDocument]:
    revision = current.revision + 1
    merged = dict(current.documents)
    for key in keys:
        if key in change.removed:
            merged.pop(key, None)
            continue
        merged[key] = VersionedDocument(revision, change.documents[key])
    return merged


def _write(
    table_store: store.TableStore,
    change: Change,
    keys: list[str],
    current: Documents,
    merged: abc.Mapping[str, VersionedDocument],
) -> result.Result[int, store.StoreError]:
    """Write the head and the changed documents under a condition on the head.

    The head names the version of every document, so the condition on its row revision
    covers the documents too.
    """
    head = {
        "revision": current.revision + 1,
        "state": HeadState.PENDING.value,
        "documents": {key: item.version for key, item in merged.items()},
        "excluded_zones": list(change.excluded_zones),
    }
    writes: list[store.Write] = []
    removals: list[store.Write] = []
    for key in keys:
        if key not in merged:
            removals.append(store.Write(TABLE, key, None))
            continue
        item = merged[key]
        value = {"version": item.version, "document": item.document}
        writes.append(store.Write(TABLE, key, value))
    # A document row comes first: the read-back after a lost response compares the first
    # row, and another publisher may have overwritten the head in the meantime.
    writes += [store.Write(TABLE, HEAD_KEY, head), *removals]
    condition = store.Condition(TABLE, HEAD_KEY, current.head_row_revision)
    operation_id = utils.make_id("publish")
    return store.transact_with_readback(table_store, operation_id, [condition], writes)
