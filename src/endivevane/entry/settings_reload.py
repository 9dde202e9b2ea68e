"""Taking over a settings file that has changed."""

from __future__ import annotations

import asyncio
import pathlib
from collections import abc

from endivevane import exceptions, logs, metrics
from endivevane.entry import settings

# The file may change without any signal.
_LOOK_S = 1.0


class SettingsWatch:
    """Reads the settings file again when its content changes or on request.

    :param apply: called with settings that were checked
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
        self._refused: str | None = None
        self._content: bytes | None = None

    def request(self) -> None:
        """Read the file again now, as SIGHUP asks."""
        self._wake.set()

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            is_asked = await self._wait()
            if not is_asked and not self._has_changed():
                continue
            try:
                found = settings.load_settings(self._path)
            except exceptions.SettingsError as error:
                self._refuse(error)
                continue
            self._refused = None
            if found == self._current and not is_asked:
                continue
            changed = [
                name
                for name in type(found).model_fields
                if getattr(found, name) != getattr(self._current, name)
            ]
            self._current = found
            self._apply(found)
            metrics.SETTINGS_RELOADS.labels("applied").inc()
            logs.info("settings_reloaded", changed=",".join(changed) or "nothing")

    def _has_changed(self) -> bool:
        """Whether the file is another one than at the last look."""
        try:
            content = self._path.read_bytes()
        except OSError:
            # Loading it says what is wrong.
            return True
        is_changed = content != self._content
        self._content = content
        return is_changed

    async def _wait(self) -> bool:
        """Wait for a request or the next look; return whether it was a request."""
        try:
            async with asyncio.timeout(_LOOK_S):
                await self._wake.wait()
        except TimeoutError:
            return False
        self._wake.clear()
        return True

    def _refuse(self, error: exceptions.SettingsError) -> None:
        """Keep the former settings and say once why."""
        message = error.format_message()
        if message == self._refused:
            return
        self._refused = message
        metrics.SETTINGS_RELOADS.labels("refused").inc()
        logs.error("settings_refused", cause=message)
