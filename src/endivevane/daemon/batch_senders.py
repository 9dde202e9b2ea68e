"""The batch sender of each target, remembered until the members change."""

from __future__ import annotations

from collections import abc

from endivevane.batch import ports, slack
from endivevane.configuration import snapshot


class BatchSenders:
    """Looks up which daemon alone sends batch items to a target.

    Each look-up hashes all daemons, too much for every online request at a few hundred
    daemons, so results are kept. Thread-safe: a look-up that races with a change of
    the members is wrong for one message at most, as any look-up on old members is.

    :param get_members: returns the live daemons
    """

    def __init__(
        self, get_members: abc.Callable[[], abc.Sequence[ports.Member]]
    ) -> None:
        self._get_members = get_members
        self._found: dict[tuple[str, str], str | None] = {}

    def find(self, target: snapshot.Target) -> str | None:
        """Return the name of the daemon, ``None`` without live daemons."""
        found = self._found
        key = (target.name, target.region)
        if key not in found:
            found[key] = slack.choose_sender(target, self._get_members())
        return found[key]

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

    def forget(self) -> None:
        """Look up again; to be called when the members have changed."""
        self._found = {}
