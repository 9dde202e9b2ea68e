"""Client of the platform's transactional table service."""

from __future__ import annotations

import typing
import urllib.parse
from collections import abc

import result

from endivevane import metrics, utils
from endivevane.coordination import store
from endivevane.external import http_pool

_DEFAULT_RETRY_AFTER_S = 1.0
_OUTCOME_NAMES: dict[type[store.StoreError], str] = {
    store.StoreConflict: "conflict",
    store.StoreUnavailable: "unavailable",
    store.StoreOverloaded: "overloaded",
    store.StoreOutcomeUnknown: "unknown",
}

_T = typing.TypeVar("_T")
_U = typing.TypeVar("_U")


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
        outcome = self._get(f"/v1/rows/{_quote(table)}/{_quote(key)}")
        if isinstance(outcome, result.Ok) and outcome.ok_value is None:
            return _count("read", result.Ok(None))
        return _count(
            "read",
            _decode(
                outcome, lambda body: store.Row(table, key, *_read_row(body or {}))
            ),
        )

    def scan(
        self, table: str, prefix: str, after: str = "", limit: int = 500
    ) -> result.Result[list[store.Row], store.StoreError]:
        """Return rows with a key prefix, in key order, that sort after a key."""
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        outcome = self._get(f"/v1/rows/{_quote(table)}?{query}")
        return _count(
            "scan",
            _decode(
                outcome,
                lambda body: [
                    store.Row(table, item["key"], *_read_row(item))
                    for item in (body or {})["rows"]
                ],
            ),
        )

    def transact(
        self,
        operation_id: str,
        conditions: abc.Sequence[store.Condition],
        writes: abc.Sequence[store.Write],
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
        # The pool must not resend: a lost response is resolved by a read-back.
        outcome = self._pool.request(
            "POST",
            "/v1/transact",
            utils.encode_json(body),
            {"Content-Type": "application/json"},
            is_repeatable=False,
        )
        if isinstance(outcome, result.Err):
            error = _convert_transport(outcome.err_value, operation_id)
            return _count("transact", result.Err(error))
        return _count("transact", _decode_transaction(outcome.ok_value, operation_id))

    def _get(
        self, path: str
    ) -> result.Result[dict[str, typing.Any] | None, store.StoreError]:
        """Return the JSON body of a response, ``None`` for status 404."""
        outcome = self._pool.request("GET", path)
        if isinstance(outcome, result.Err):
            detail = outcome.err_value.format_message()
            return result.Err(store.StoreUnavailable(detail))
        response = outcome.ok_value
        if response.status == 404:
            return result.Ok(None)
        if response.status != 200:
            return result.Err(_convert_status(response))
        return _decode(result.Ok(response.body), utils.decode_json)


def _count(
    kind: str, outcome: result.Result[_T, store.StoreError]
) -> result.Result[_T, store.StoreError]:
    """Count a call by kind and outcome and return the outcome."""
    name = "ok"
    if isinstance(outcome, result.Err):
        name = _OUTCOME_NAMES[type(outcome.err_value)]
    metrics.STORE_CALLS.labels(kind, name).inc()
    return outcome


def _decode(
    outcome: result.Result[_T, store.StoreError], function: abc.Callable[[_T], _U]
) -> result.Result[_U, store.StoreError]:
    """Decode a response body; a malformed one counts as unavailability."""
    if isinstance(outcome, result.Err):
        return outcome
    try:
        return result.Ok(function(outcome.ok_value))
    except (ValueError, KeyError, TypeError) as error:
        return result.Err(store.StoreUnavailable(f"malformed response: {error!r}"))


def _read_row(body: dict[str, typing.Any]) -> tuple[dict[str, typing.Any], int]:
    return body["value"], int(body["revision"])


def _decode_transaction(
    response: http_pool.Response, operation_id: str
) -> result.Result[int, store.StoreError]:
    """Return the revision or the error in the response to a transaction."""
    try:
        if response.status == 200:
            return result.Ok(int(utils.decode_json(response.body)["revision"]))
        if response.status == 409:
            return result.Err(_decode_conflict(utils.decode_json(response.body)))
    except (ValueError, KeyError, TypeError) as error:
        detail = f"malformed response: {error!r}"
        return result.Err(store.StoreOutcomeUnknown(operation_id, detail))
    if response.status >= 500:
        # An intermediary may respond with 502 to 504 although the write was applied.
        detail = f"status {response.status}"
        return result.Err(store.StoreOutcomeUnknown(operation_id, detail))
    return result.Err(_convert_status(response))


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


def _decode_conflict(body: dict[str, typing.Any]) -> store.StoreConflict:
    rows: dict[tuple[str, str], store.Row | None] = {}
    for item in body["conflicts"]:
        table, key = item["table"], item["key"]
        if item["revision"] is None:
            rows[table, key] = None
            continue
        rows[table, key] = store.Row(table, key, item["value"], item["revision"])
    return store.StoreConflict(rows)
