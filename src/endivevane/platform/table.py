"""Client of the platform's transactional table service."""

from __future__ import annotations

import urllib.parse
from collections.abc import Sequence
from typing import Any

import result

from endivevane import utils
from endivevane.coordination import store
from endivevane.platform import http_pool

_DEFAULT_RETRY_AFTER_S = 1.0


class TableClient:
    """Implements :class:`store.TableStore` over HTTP.

    :param pool: connections to the table service
    """

    def __init__(self, pool: http_pool.HttpPool) -> None:
        self._pool = pool

    def read(
        self, table: str, key: str
    ) -> result.Result[store.Row | None, store.StoreError]:
        """Return a row, or ``None`` when it is absent."""
        path = f"/v1/rows/{_quote(table)}/{_quote(key)}"
        outcome = self._get(path)
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        if response.status == 404:
            return result.Ok(None)
        if response.status != 200:
            return result.Err(_convert_status(response))
        body = utils.decode_json(response.body)
        return result.Ok(store.Row(table, key, body["value"], body["revision"]))

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> result.Result[list[store.Row], store.StoreError]:
        """Return rows in key order whose key has the prefix and sorts after a key."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        outcome = self._get(f"/v1/rows/{_quote(table)}?{query}")
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        if response.status != 200:
            return result.Err(_convert_status(response))
        rows = utils.decode_json(response.body)["rows"]
        return result.Ok(
            [
                store.Row(table, row["key"], row["value"], row["revision"])
                for row in rows
            ]
        )

    def transact(
        self,
        operation_id: str,
        conditions: Sequence[store.Condition],
        writes: Sequence[store.Write],
    ) -> result.Result[int, store.StoreError]:
        """Apply all writes if all conditions hold; return the new revision."""
        body = {
            "operation_id": operation_id,
            "conditions": [
                {"table": item.table, "key": item.key, "revision": item.revision}
                for item in conditions
            ],
            "writes": [
                {"table": item.table, "key": item.key, "value": item.value}
                for item in writes
            ],
        }
        # The pool must not resend: a lost answer is settled by reading back.
        outcome = self._pool.request(
            "POST",
            "/v1/transact",
            utils.encode_json(body),
            {"Content-Type": "application/json"},
            is_repeatable=False,
        )
        if isinstance(outcome, result.Err):
            return result.Err(_convert_transport(outcome.err_value, operation_id))
        response = outcome.ok_value
        if response.status == 200:
            return result.Ok(int(utils.decode_json(response.body)["revision"]))
        if response.status == 409:
            return result.Err(_decode_conflict(utils.decode_json(response.body)))
        if response.status >= 500 and response.status != 503:
            detail = f"status {response.status}"
            return result.Err(store.StoreOutcomeUnknown(operation_id, detail))
        return result.Err(_convert_status(response))

    def _get(self, path: str) -> result.Result[http_pool.Response, store.StoreError]:
        outcome = self._pool.request("GET", path)
        if isinstance(outcome, result.Err):
            detail = outcome.err_value.format_message()
            return result.Err(store.StoreUnavailable(detail))
        return outcome


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


def _convert_transport(
    error: http_pool.TransportError, operation_id: str
) -> store.StoreError:
    if error.stage is http_pool.Stage.CONNECT:
        return store.StoreUnavailable(error.format_message())
    return store.StoreOutcomeUnknown(operation_id, error.format_message())


def _convert_status(response: http_pool.Response) -> store.StoreError:
    if response.status == 429:
        text = response.headers.get("retry-after", "")
        return store.StoreOverloaded(_parse_seconds(text))
    return store.StoreUnavailable(f"status {response.status}")


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S


def _decode_conflict(body: dict[str, Any]) -> store.StoreConflict:
    rows: dict[tuple[str, str], store.Row | None] = {}
    for item in body["conflicts"]:
        table, key = item["table"], item["key"]
        if item["revision"] is None:
            rows[table, key] = None
            continue
        rows[table, key] = store.Row(table, key, item["value"], item["revision"])
    return store.StoreConflict(rows)
