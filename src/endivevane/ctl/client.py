"""HTTP client for the daemons' API."""

from __future__ import annotations

import http.client
import typing
from collections import abc

from endivevane import exceptions, types, utils
from endivevane.ctl import settings
from endivevane.external import http_pool

_READ_BYTES = 1 << 16


class NoDaemonReachable(exceptions.EndivevaneError):
    """None of the daemons in the settings can be reached.

    :param attempts: address and error of each daemon that was tried
    """

    def __init__(self, attempts: list[str]) -> None:
        super().__init__()
        self.attempts = attempts

    def format_message(self) -> str:
        """Return the failed attempts, or the setting that is missing."""
        if not self.attempts:
            return "no daemon address: set 'daemons' in the settings file"
        return "no daemon can be reached: " + "; ".join(self.attempts)


class CallFailed(exceptions.EndivevaneError):
    """A daemon returned an error response.

    :param run_state: whether the call was run, as reported by the daemon
    """

    def __init__(self, status: int, message: str, run_state: str) -> None:
        super().__init__()
        self.status = status
        self.message = message
        self.run_state = run_state

    def format_message(self) -> str:
        """Return the daemon's message and the run state."""
        return f"{self.message} (status {self.status}, {self.run_state})"


class DaemonClient:
    """Sends calls to the first daemon that can be reached.

    :param ctl_settings: addresses and timeout
    :param key: API key
    """

    def __init__(self, ctl_settings: settings.CtlSettings, key: str) -> None:
        self._settings = ctl_settings
        self._key = key

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> typing.Any:
        """Send a call and return the decoded JSON response.

        :raises CallFailed: when the daemon returns an error
        :raises NoDaemonReachable: when no daemon can be reached
        """
        data = b"".join(self.stream(method, path, body, headers))
        return utils.decode_json(data) if data else {}

    def stream(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: abc.Mapping[str, str] | None = None,
    ) -> abc.Iterator[bytes]:
        """Send a call and yield the response body in parts."""
        response = self._open(method, path, body, headers)
        if response.status >= 400:
            raise _make_failure(response)
        while True:
            data = response.read(_READ_BYTES)
            if not data:
                return
            yield data

    def _open(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: abc.Mapping[str, str] | None,
    ) -> http.client.HTTPResponse:
        attempts: list[str] = []
        all_headers = {"Authorization": f"Bearer {self._key}", **(headers or {})}
        for address_text in self._settings.daemons:
            address = types.parse_address(address_text)
            timeout_s = self._settings.timeout_s
            try:
                connection = http_pool.open_connection(address, timeout_s, timeout_s)
                connection.sock.settimeout(timeout_s)
                connection.request(method, path, body, all_headers)
                return connection.getresponse()
            except (OSError, http.client.HTTPException) as error:
                attempts.append(f"{address}: {error}")
        raise NoDaemonReachable(attempts)


def _make_failure(response: http.client.HTTPResponse) -> CallFailed:
    data = response.read()
    try:
        message = utils.decode_json(data)["error"]["message"]
    except (ValueError, KeyError, TypeError):
        message = data.decode(errors="replace")[:200] or response.reason
    run_state = response.headers.get("X-Run-State", "run state not given")
    return CallFailed(response.status, message, run_state)
