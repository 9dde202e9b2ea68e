"""Binds CURVE keys to the daemon names that may use them."""

from __future__ import annotations

from endivevane.cluster import messages
from endivevane.daemon import settings as daemon_settings


class KeyNames:
    """Checks the sender's name in a message against the key of its connection.

    A key listed under some names may use only these names. Any other allowed key may
    use every name that is not listed, so that names can be bound one at a time.

    :param settings: the daemon's settings
    """

    def __init__(self, settings: daemon_settings.Settings) -> None:
        self._has_keys = settings.keys is not None
        self._listed: dict[str, frozenset[str]] = {}
        self._names: dict[str, set[str]] = {}
        if settings.keys is None:
            return
        for name, keys in settings.keys.peers.items():
            self._listed[name] = frozenset(keys)
            for key in keys:
                self._names.setdefault(key, set()).add(name)

    def may_send(self, message: messages.Message, public_key: str) -> bool:
        """Return whether the key may send this message.

        Broadcasts are forwarded by other daemons, so their origin is not checked.

        :param public_key: key whose possession the peer has proved
        """
        if not self._has_keys:
            return True
        sender = message.header.sender
        match message:
            case messages.Application(broadcast_id="", origin=origin):
                if origin != sender:
                    return False
        return self.is_authorised(sender, public_key)

    def is_authorised(self, name: str, public_key: str) -> bool:
        """Return whether an allowed key may be used under this daemon name."""
        if not self._has_keys:
            return True
        if name in self._listed:
            return public_key in self._listed[name]
        return public_key not in self._names
