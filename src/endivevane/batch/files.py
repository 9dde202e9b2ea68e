"""Input files: the operations behind ``/v1/files``."""

from __future__ import annotations

import dataclasses
import secrets
import typing
from collections import abc

import result
import werkzeug.exceptions
import werkzeug.formparser
import werkzeug.http
import werkzeug.wrappers

from endivevane import logs, types, utils
from endivevane.batch import failures, ports, records, segments
from endivevane.coordination import clock, store
from endivevane.web import app, errors

# The form parser applies this limit also to its buffer of two 64 KiB reads.
_MAX_FIELD_BYTES = 512 << 10
_MAX_PAGE_SIZE = 100
_PAGE = 500
_PURPOSE = "batch"


class FileService:
    """Stores, lists, reads and deletes input files.

    :param table_store: holds the rows of the files
    :param object_store: holds the segments of the files
    """

    def __init__(
        self,
        table_store: store.TableStore,
        object_store: ports.ObjectStore,
        service_clock: clock.Clock,
    ) -> None:
        self._store = table_store
        self._objects = object_store
        self._clock = service_clock

    def upload(self, call: app.Call) -> records.InputFile:
        """Stream an upload into the object store and return its record.

        :raises errors.ApiError: when the form is invalid or the platform fails
        """
        organisation = call.organisation
        key = call.request.headers.get("Idempotency-Key", "")
        file_id = make_file_id(organisation, key)
        prefix = f"files/{file_id}/{secrets.token_hex(8)}"
        writer = segments.SegmentWriter(self._objects, prefix)
        name = self._receive(call.request, writer)
        found = writer.summarize()
        record = records.InputFile(
            file_id=file_id,
            organisation=organisation,
            name=name,
            purpose=_PURPOSE,
            created_ms=self._clock.wall_ms(),
            upload=prefix,
            **dataclasses.asdict(found),
        )
        kept = self._insert(record)
        if kept.upload != record.upload:
            writer.discard()
        logs.info("file_stored", file_id=file_id, lines=kept.lines, key=key or None)
        return kept

    def get(self, organisation: str, file_id: str) -> records.InputFile:
        """Return the record of a file.

        :raises errors.NotFound: when the organisation has no such file
        :raises errors.FileExpired: while the file is being erased
        """
        record, _ = self._find(organisation, file_id)
        _check_kept(record)
        return record

    def list(
        self, organisation: str, after: str, limit: int
    ) -> tuple[list[records.InputFile], bool]:
        """Return files sorted by identifier and whether there are more."""
        prefix = "file-" + records.make_organisation_prefix(organisation)
        rows = failures.unwrap(
            self._store.scan(
                records.FILES, prefix, after, min(limit, _MAX_PAGE_SIZE) + 1
            )
        )
        found = [records.decode(records.InputFile, row.value) for row in rows]
        own = [item for item in found if item.organisation == organisation]
        return own[:limit], len(rows) > limit

    def read(self, record: records.InputFile) -> abc.Iterator[bytes]:
        """Yield the bytes of a file, one segment at a time."""
        for number in range(record.segments):
            key = records.make_segment_key(record.upload, number)
            yield failures.unwrap(self._objects.get(key))

    def delete(self, organisation: str, file_id: str) -> None:
        """Delete a file that no open job uses.

        The row is marked first. Job creation is conditional on the revision of the
        file's row, so either the scan for open jobs sees a concurrent job or the
        insert of that job fails.

        :raises errors.Conflict: when a job uses the file
        """
        record, revision = self._find(organisation, file_id)
        if record.state != records.FileState.ERASING:
            revision = self._begin_erasing(record, revision)
        try:
            self._erase(record, revision)
        except errors.ApiError as error:
            error.run_state = types.RunState.MAY_HAVE_RUN
            raise

    def _begin_erasing(self, record: records.InputFile, revision: int) -> int:
        """Mark a file as being erased unless an open job uses it.

        The second write is needed because a concurrent delete, which saw an open job
        that has ended since, may have made the file ready again.
        """
        file_id = record.file_id
        states = records.FileState
        marked = dataclasses.replace(record, state=states.DELETING)
        revision = self._write(file_id, revision, marked)
        user = self._find_user(file_id)
        if user is not None:
            ready = dataclasses.replace(record, state=states.READY)
            self._write(file_id, revision, ready)
            raise errors.Conflict(f"job {user} uses the file; cancel it first")
        erasing = dataclasses.replace(record, state=states.ERASING)
        return self._write(file_id, revision, erasing)

    def _erase(self, record: records.InputFile, revision: int) -> None:
        """Delete the segments, then the row; a repeated delete resumes here."""
        for key in records.list_segment_keys(record):
            failures.unwrap(self._objects.delete(key))
        outcome = self._store.transact(
            f"delete/{record.file_id}/{revision}",
            [store.Condition(records.FILES, record.file_id, revision)],
            [store.Write(records.FILES, record.file_id, None)],
        )
        failures.unwrap(outcome)

    def _receive(
        self, request: werkzeug.wrappers.Request, writer: segments.SegmentWriter
    ) -> str:
        """Write the file part of a form to the writer and return the file name."""
        mimetype, options = werkzeug.http.parse_options_header(
            request.headers.get("Content-Type", "")
        )
        if mimetype != "multipart/form-data":
            raise errors.InvalidRequest("Content-Type must be multipart/form-data")
        names: list[str] = []

        def open_part(filename: str | None = None, **_: typing.Any) -> typing.Any:
            if names:
                raise errors.InvalidRequest(
                    "the form has more than one file", param="file"
                )
            names.append(filename or "input.jsonl")
            return writer

        parser = werkzeug.formparser.FormDataParser(
            stream_factory=typing.cast("typing.Any", open_part),
            max_form_memory_size=_MAX_FIELD_BYTES,
            silent=False,
        )
        try:
            _, form, files = parser.parse(
                request.stream, mimetype, request.content_length, options
            )
        except (ValueError, werkzeug.exceptions.HTTPException) as error:
            raise errors.InvalidRequest(f"invalid form: {error}") from error
        if "file" not in files:
            raise errors.InvalidRequest("the form has no file", param="file")
        if form.get("purpose") != _PURPOSE:
            raise errors.InvalidRequest("purpose must be 'batch'", param="purpose")
        return names[0]

    def _insert(self, record: records.InputFile) -> records.InputFile:
        """Insert the row, or return the record of an earlier upload with this key."""
        outcome = store.transact_with_readback(
            self._store,
            utils.make_id("file"),
            [store.Condition(records.FILES, record.file_id, None)],
            [store.Write(records.FILES, record.file_id, records.encode(record))],
        )
        if isinstance(outcome, result.Ok):
            return record
        if not isinstance(outcome.err_value, store.StoreConflict):
            raise failures.make_api_error(outcome.err_value)
        earlier, _ = self._find(record.organisation, record.file_id)
        if earlier.digest != record.digest:
            raise errors.Conflict("the Idempotency-Key was used for another file")
        _check_kept(earlier)
        return earlier

    def _find(self, organisation: str, file_id: str) -> tuple[records.InputFile, int]:
        row = failures.unwrap(self._store.read(records.FILES, file_id))
        if row is None or row.value["organisation"] != organisation:
            raise errors.NotFound(f"there is no file {file_id}")
        return records.decode(records.InputFile, row.value), row.revision

    def _write(self, file_id: str, revision: int, record: records.InputFile) -> int:
        outcome = store.transact_with_readback(
            self._store,
            utils.make_id("file"),
            [store.Condition(records.FILES, file_id, revision)],
            [store.Write(records.FILES, file_id, records.encode(record))],
        )
        if isinstance(outcome, result.Err) and isinstance(
            outcome.err_value, store.StoreConflict
        ):
            raise errors.Conflict("the file is being changed; retry the request")
        return failures.unwrap(outcome)

    def _find_user(self, file_id: str) -> str | None:
        """Return the identifier of an open job that uses the file, if any."""
        after = ""
        while True:
            rows = failures.unwrap(self._store.scan(records.OPEN, "", after, _PAGE))
            for row in rows:
                if row.value["input_file_id"] == file_id:
                    return str(row.value["job_id"])
            if len(rows) < _PAGE:
                return None
            after = rows[-1].key


def _check_kept(record: records.InputFile) -> None:
    if record.state == records.FileState.ERASING:
        raise errors.FileExpired(
            f"file {record.file_id} was deleted or is past its retention; upload it "
            "again later"
        )


def make_file_id(organisation: str, idempotency_key: str) -> str:
    """Return an identifier derived from the key, or a random one without a key."""
    unique = (
        utils.digest_text(organisation, idempotency_key)[:24]
        if idempotency_key
        else secrets.token_hex(12)
    )
    return f"file-{records.make_organisation_prefix(organisation)}{unique}"


def describe_file(record: records.InputFile) -> dict[str, typing.Any]:
    """Return a file as an OpenAI file object."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size_bytes,
        "created_at": record.created_ms // 1000,
        "filename": record.name,
        "purpose": record.purpose,
        "status": "processed",
    }
