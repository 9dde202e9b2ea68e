"""Client of the platform's object store."""

from __future__ import annotations

import dataclasses
import urllib.parse

import result

from endivevane import exceptions, utils
from endivevane.external import http_pool


class ObjectStoreError(exceptions.EndivevaneError):
    """A call to the object store failed.

    :param key: key of the object, or prefix of a listing
    :param detail: cause of the failure
    """

    def __init__(self, key: str, detail: str) -> None:
        super().__init__()
        self.key = key
        self.detail = detail

    def format_message(self) -> str:
        """Return the key and the cause."""
        return f"object {self.key}: {self.detail}"


class ObjectMissing(ObjectStoreError):
    """The object does not exist."""


class ObjectExists(ObjectStoreError):
    """The object to create exists already."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectInfo:
    """Key and size of an object."""

    key: str
    size_bytes: int


class ObjectClient:
    """Reads and writes whole objects.

    :param pool: connections to the object store
    """

    def __init__(self, pool: http_pool.HttpPool) -> None:
        self._pool = pool

    def put(
        self, key: str, data: bytes, create_only: bool = False
    ) -> result.Result[None, ObjectStoreError]:
        """Write an object.

        :param create_only: fail with :class:`ObjectExists` if the object exists
        """
        headers = {"Content-Type": "application/octet-stream"}
        if create_only:
            headers["If-None-Match"] = "*"
        outcome = self._call("PUT", key, data, headers)
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(None)

    def get(self, key: str) -> result.Result[bytes, ObjectStoreError]:
        """Return the content of an object."""
        outcome = self._call("GET", key)
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(outcome.ok_value.body)

    def delete(self, key: str) -> result.Result[None, ObjectStoreError]:
        """Delete an object; succeeds also if it does not exist."""
        outcome = self._call("DELETE", key)
        if isinstance(outcome, result.Err):
            if isinstance(outcome.err_value, ObjectMissing):
                return result.Ok(None)
            return outcome
        return result.Ok(None)

    def list(self, prefix: str) -> result.Result[list[ObjectInfo], ObjectStoreError]:
        """Return the objects whose key has the prefix, in key order."""
        query = urllib.parse.urlencode({"prefix": prefix})
        outcome = self._pool.request("GET", f"/v1/objects?{query}")
        if isinstance(outcome, result.Err):
            return result.Err(
                ObjectStoreError(prefix, outcome.err_value.format_message())
            )
        response = outcome.ok_value
        if response.status != 200:
            return result.Err(ObjectStoreError(prefix, f"status {response.status}"))
        items = utils.decode_json(response.body)["objects"]
        return result.Ok(
            [ObjectInfo(item["key"], item["size_bytes"]) for item in items]
        )

    def _call(
        self,
        method: str,
        key: str,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> result.Result[http_pool.Response, ObjectStoreError]:
        path = "/v1/objects/" + urllib.parse.quote(key, safe="")
        outcome = self._pool.request(method, path, data, headers)
        if isinstance(outcome, result.Err):
            return result.Err(ObjectStoreError(key, outcome.err_value.format_message()))
        response = outcome.ok_value
        if response.status == 404:
            return result.Err(ObjectMissing(key, "not found"))
        if response.status == 412:
            return result.Err(ObjectExists(key, "exists already"))
        if response.status not in (200, 201, 204):
            return result.Err(ObjectStoreError(key, f"status {response.status}"))
        return result.Ok(response)
