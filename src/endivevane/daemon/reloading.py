"""Reading the settings file again while the daemon runs."""

from __future__ import annotations

import pathlib
from collections import abc

from endivevane import exceptions, logs, metrics
from endivevane.daemon import settings

_OWN_PAIR = ("public", "secret")


class SettingsReload:
    """Takes over the lists of allowed keys; everything else needs a restart.

    :param path: settings file
    :param started_with: settings that the daemon was started with
    :param replace_keys: called with the new lists and the own pair of the start
    """

    def __init__(
        self,
        path: pathlib.Path,
        started_with: settings.Settings,
        replace_keys: abc.Callable[[settings.KeysSection], None],
    ) -> None:
        self._path = path
        self._started_with = started_with
        self._replace_keys = replace_keys

    def run(self) -> None:
        """Read and check the whole file, and take over its lists if it is right."""
        try:
            found = settings.load_settings(self._path)
        except exceptions.SettingsError as error:
            metrics.SETTINGS_RELOADS.labels("refused").inc()
            for problem in error.problems:
                logs.error(
                    "settings_reload_refused",
                    error=type(error).__name__,
                    file=problem.file,
                    key=problem.key,
                    reason=problem.reason,
                )
            return
        own = self._started_with.keys
        if own is not None and found.keys is not None:
            lists = {"peer_public": found.keys.peer_public, "peers": found.keys.peers}
            self._replace_keys(own.model_copy(update=lists))
        metrics.SETTINGS_RELOADS.labels("applied").inc()
        logs.info("settings_reloaded", file=self._path)
        changed = list_restart_keys(self._started_with, found)
        if changed:
            logs.warning("settings_need_restart", keys=",".join(changed))


def list_restart_keys(
    started_with: settings.Settings, found: settings.Settings
) -> list[str]:
    """Return the sections, or keys of the own pair, that a restart would change."""
    changed = [
        name
        for name in settings.Settings.model_fields
        if name != "keys" and getattr(started_with, name) != getattr(found, name)
    ]
    if started_with.keys is None or found.keys is None:
        return changed if started_with.keys == found.keys else [*changed, "keys"]
    for name in _OWN_PAIR:
        if getattr(started_with.keys, name) != getattr(found.keys, name):
            changed.append(f"keys.{name}")
    return changed
