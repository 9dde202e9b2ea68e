"""Caches the batch sender of each target until the members change."""

from __future__ import annotations

from collections import abc

from endivevane.batch import ports, slack
from endivevane.configuration import snapshot


class BatchSenders:
    """Looks up which daemon alone sends batch items to a target.

    A look-up hashes all daemons, which is too slow per online request with a few
    hundred daemons, so results are cached. Thread-safe: a look-up that races with a
    membership change is wrong for at most one message, like any on old members.

    :param get_members: returns the alive daemons
    """

    def __init__(
        self, get_members: abc.Callable[[], abc.Sequence[ports.Member]]
    ) -> None:
        self._get_members = get_members
        self._senders: dict[tuple[str, str], str | None] = {}

    def find(self, target: snapshot.Target) -> str | None:
        """Return the name of the daemon, or ``None`` without alive daemons."""
        senders = self._senders
        key = (target.name, target.region)
        if key not in senders:
            senders[key] = slack.choose_sender(target, self._get_members())
        return senders[key]

    def list_targets(
        self, daemon: str, current: snapshot.Snapshot
    ) -> list[snapshot.Target]:
        """Return the engines that a daemon sends batch items to."""
        return [
            target
            for service in current.services.values()
            if not service.is_plain and service.model.batch.enabled
            for target in service.targets
            if self.find(target) == daemon
        ]

    def clear(self) -> None:
        """Clear the cache; call when the members have changed."""
        self._senders = {}
