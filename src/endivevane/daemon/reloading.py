"""Reloads the settings file while the daemon runs."""

from __future__ import annotations

import pathlib
from collections import abc

from endivevane import exceptions, logs, metrics
from endivevane.daemon import settings

_OWN_KEY_FIELDS = ("public", "secret")


class SettingsReload:
    """Applies changed lists of allowed keys; all other settings need a restart.

    :param path: settings file
    :param startup_settings: settings loaded at start-up
    :param replace_keys: called with the new lists and the own key pair of start-up
    """

    def __init__(
        self,
        path: pathlib.Path,
        startup_settings: settings.Settings,
        replace_keys: abc.Callable[[settings.KeysSection], None],
    ) -> None:
        self._path = path
        self._startup_settings = startup_settings
        self._replace_keys = replace_keys

    def run(self) -> None:
        """Validate the whole file, and apply its key lists if it is valid."""
        try:
            loaded = settings.load_settings(self._path)
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
        own = self._startup_settings.keys
        if own is not None and loaded.keys is not None:
            lists = {"peer_public": loaded.keys.peer_public, "peers": loaded.keys.peers}
            self._replace_keys(own.model_copy(update=lists))
        metrics.SETTINGS_RELOADS.labels("applied").inc()
        logs.info("settings_reloaded", file=self._path)
        changed = list_restart_keys(self._startup_settings, loaded)
        if changed:
            logs.warning("settings_need_restart", keys=",".join(changed))


def list_restart_keys(
    startup_settings: settings.Settings, loaded: settings.Settings
) -> list[str]:
    """Return the changed sections and own keys that need a restart to apply."""
    changed = [
        name
        for name in settings.Settings.model_fields
        if name != "keys" and getattr(startup_settings, name) != getattr(loaded, name)
    ]
    if startup_settings.keys is None or loaded.keys is None:
        return changed if startup_settings.keys == loaded.keys else [*changed, "keys"]
    for name in _OWN_KEY_FIELDS:
        if getattr(startup_settings.keys, name) != getattr(loaded.keys, name):
            changed.append(f"keys.{name}")
    return changed
