"""Reloading of the settings file."""

from __future__ import annotations

import asyncio
import pathlib
from collections import abc

from endivevane import exceptions, logs, metrics
from endivevane.entry import settings

# Poll interval, since the file may change without a signal.
_POLL_S = 1.0


class SettingsWatch:
    """Reloads the settings file when its content changes or on request.

    :param apply: called with valid settings
    """

    def __init__(
        self,
        path: pathlib.Path,
        current: settings.Settings,
        apply: abc.Callable[[settings.Settings], None],
    ) -> None:
        self._path = path
        self._current = current
        self._apply = apply
        self._wake = asyncio.Event()
        self._last_error: str | None = None
        self._content: bytes | None = None

    def request(self) -> None:
        """Reload the file now, as SIGHUP requests."""
        self._wake.set()

    async def run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            is_requested = await self._wait()
            if not is_requested and not self._has_changed():
                continue
            try:
                loaded = settings.load_settings(self._path)
            except exceptions.SettingsError as error:
                self._reject(error)
                continue
            self._last_error = None
            if loaded == self._current and not is_requested:
                continue
            changed = [
                name
                for name in type(loaded).model_fields
                if getattr(loaded, name) != getattr(self._current, name)
            ]
            self._current = loaded
            self._apply(loaded)
            metrics.SETTINGS_RELOADS.labels("applied").inc()
            logs.info("settings_reloaded", changed=",".join(changed) or "nothing")

    def _has_changed(self) -> bool:
        """Return whether the content has changed since the last poll."""
        try:
            content = self._path.read_bytes()
        except OSError:
            # Loading the file reports the error.
            return True
        is_changed = content != self._content
        self._content = content
        return is_changed

    async def _wait(self) -> bool:
        """Wait for a request or the next poll; return whether it was a request."""
        try:
            async with asyncio.timeout(_POLL_S):
                await self._wake.wait()
        except TimeoutError:
            return False
        self._wake.clear()
        return True

    def _reject(self, error: exceptions.SettingsError) -> None:
        """Keep the previous settings, and log each cause once."""
        message = error.format_message()
        if message == self._last_error:
            return
        self._last_error = message
        metrics.SETTINGS_RELOADS.labels("refused").inc()
        logs.error("settings_refused", cause=message)
