"""Bodies and paths of the batch API."""

from __future__ import annotations

import base64
import re
import typing
import urllib.parse
from collections import abc

import orjson
import pydantic

from endivevane.platform import field_types
from endivevane.serving import failures, jobs

_JOBS_PATH = "/api/lots/"
_ITEMS_PATH = "/api/items/"
# Limit of the platform on the items of a job.
_MAX_ITEMS = 200
# Values and containers of a job's JSON, each of which takes memory while it is decoded.
_MAX_JSON_PARTS = 100_000
# Behind the results of any job, and exact in JSON numbers.
_MAX_POSITION_DIGITS = 15
_MAX_POSITION = 10**15
# Slashes separate the parts of keys, which have at most 200 bytes.
_JOB_ID = re.compile(r"[!-.0-~]{1,90}")


class _ItemRecord(pydantic.BaseModel):
    id: field_types.HeaderId
    path: field_types.PathText
    headers: dict[field_types.HeaderName, field_types.HeaderValue] = {}
    body: str = ""
    tokens: field_types.Tokens = 0


class _JobRecord(pydantic.BaseModel):
    items: typing.Annotated[
        list[_ItemRecord], pydantic.Field(max_length=_MAX_ITEMS, fail_fast=True)
    ]


class JobCodec:
    """Encodes and decodes batch calls of clients."""

    def decode_job_id(self, attempt_id: bytes) -> str:
        """Return the id of a submitted job.

        :raises failures.InvalidJob: when it can't stand in the keys of rows
        """
        job_id = attempt_id.decode("latin-1")
        if not _JOB_ID.fullmatch(job_id):
            raise failures.InvalidJob("its id fits into no key")
        return job_id

    def decode_items(self, body: bytes) -> tuple[jobs.Item, ...]:
        """Return the items of a submitted job.

        :raises failures.InvalidJob: when the body is invalid
        """
        if sum(body.count(mark) for mark in (b",", b"[", b"{")) > _MAX_JSON_PARTS:
            raise failures.InvalidJob("its body has too many parts")
        try:
            record = _JobRecord.model_validate_json(body)
            items = tuple(_make_item(item) for item in record.items)
        except pydantic.ValidationError as error:
            reason = field_types.describe_first_problem(error)
            raise failures.InvalidJob(reason) from error
        except ValueError as error:
            raise failures.InvalidJob(f"a body is no base64: {error}") from error
        if not 0 < len(items) <= _MAX_ITEMS:
            raise failures.InvalidJob(f"{len(items)} items")
        if len({item.item_id for item in items}) != len(items):
            raise failures.InvalidJob("two items have the same id")
        return items

    def is_submission(self, method: bytes) -> bool:
        """Whether a request of a batch route submits a job."""
        return method == b"POST"

    def decode_call(self, method: bytes, path: str) -> jobs.JobCall | None:
        """Return the batch call of a method and path, ``None`` if there is none."""
        bare_path, _, query = path.partition("?")
        job_id = _find_job_id(bare_path, _JOBS_PATH)
        if job_id is not None and method == b"DELETE":
            return jobs.EndJob(job_id)
        if job_id is not None and method == b"GET":
            after = _find_field(query, "after")
            return jobs.ReadResults(job_id, _parse_position(after))
        job_id = _find_job_id(bare_path, _ITEMS_PATH)
        if job_id is not None and method == b"GET":
            return jobs.ReadItem(job_id, _find_field(query, "id"))
        return None

    def encode_results(
        self, total: int, position: int, results: abc.Sequence[jobs.ItemResult]
    ) -> bytes:
        """Return the response body with results from a position on."""
        return orjson.dumps(
            {
                "total": total,
                "next": position + len(results),
                "results": [
                    {
                        "id": result.item_id,
                        "state": "completed" if result.is_completed else "errored",
                        "text": result.text,
                    }
                    for result in results
                ],
            }
        )


def _find_job_id(path: str, start: str) -> str | None:
    """Return the job's id at the end of a path, ``None`` if there is none."""
    if not path.startswith(start):
        return None
    job_id = urllib.parse.unquote(path[len(start) :])
    return job_id if _JOB_ID.fullmatch(job_id) else None


def _find_field(query: str, name: str) -> str:
    """Return the first value of a field of a query, empty if there is none."""
    return urllib.parse.parse_qs(query).get(name, [""])[0]


def _parse_position(after: str) -> int:
    """Return a position, 0 if it is not a number."""
    if not after.isdecimal():
        return 0
    if len(after) > _MAX_POSITION_DIGITS:
        return _MAX_POSITION
    return int(after)


def _make_item(record: _ItemRecord) -> jobs.Item:
    return jobs.Item(
        item_id=record.id,
        path=record.path,
        headers=record.headers,
        body=base64.b64decode(record.body, validate=True),
        tokens=record.tokens,
    )
