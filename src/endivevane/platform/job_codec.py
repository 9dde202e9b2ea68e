"""Bodies and paths of the batch API."""

from __future__ import annotations

import base64
import binascii
import urllib.parse
from collections import abc

import orjson
import pydantic

from endivevane.serving import failures, jobs

_JOBS_PATH = "/api/lots/"
_ITEMS_PATH = "/api/items/"
# Limit of the platform on the items of a job.
_MAX_ITEMS = 200


class _ItemRecord(pydantic.BaseModel):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ""
    tokens: int = 0


class _JobRecord(pydantic.BaseModel):
    items: list[_ItemRecord]


class JobCodec:
    """Encodes and decodes batch calls of clients."""

    def decode_items(self, body: bytes) -> tuple[jobs.Item, ...]:
        """Return the items of a submitted job.

        :raises failures.InvalidJob: when the body is invalid
        """
        try:
            record = _JobRecord.model_validate_json(body)
            items = tuple(_make_item(item) for item in record.items)
        except (pydantic.ValidationError, binascii.Error) as error:
            raise failures.InvalidJob(str(error)[:200]) from error
        if not 0 < len(items) <= _MAX_ITEMS:
            raise failures.InvalidJob(f"{len(items)} items")
        if len({item.item_id for item in items}) != len(items):
            raise failures.InvalidJob("two items have the same id")
        return items

    def decode_call(self, method: bytes, path: str) -> jobs.JobCall | None:
        """Return the batch call of a method and path, ``None`` if there is none."""
        parsed = urllib.parse.urlsplit(path)
        query = urllib.parse.parse_qs(parsed.query)
        if parsed.path.startswith(_JOBS_PATH):
            job_id = urllib.parse.unquote(parsed.path[len(_JOBS_PATH) :])
            if method == b"DELETE":
                return jobs.EndJob(job_id)
            after = (query.get("after") or ["0"])[0]
            position = int(after) if after.isdecimal() else 0
            return jobs.ReadResults(job_id, position)
        if parsed.path.startswith(_ITEMS_PATH):
            job_id = urllib.parse.unquote(parsed.path[len(_ITEMS_PATH) :])
            return jobs.ReadItem(job_id, (query.get("id") or [""])[0])
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


def _make_item(record: _ItemRecord) -> jobs.Item:
    return jobs.Item(
        item_id=record.id,
        path=record.path,
        headers=record.headers,
        body=base64.b64decode(record.body, validate=True),
        tokens=record.tokens,
    )
