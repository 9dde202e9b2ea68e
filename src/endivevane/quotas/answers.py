"""Answers to other daemons, repeated when these repeat their questions."""

from __future__ import annotations

from endivevane.quotas import messages

# A question is repeated within this time.
_TTL_S = 0.5


class Answers:
    """Collects the grants to each daemon, and remembers them for a while."""

    def __init__(self) -> None:
        self._due: dict[tuple[str, int], list[messages.Grant]] = {}
        self._given: dict[tuple[str, int, str], tuple[float, messages.Grant]] = {}

    def add(self, asker: str, number: int, grant: messages.Grant, now_s: float) -> None:
        """Answer one need of a daemon's question."""
        key = (asker, number, grant.organisation)
        self._given[key] = (now_s + _TTL_S, grant)
        self._due.setdefault((asker, number), []).append(grant)

    def add_queued(self, asker: str, number: int, organisation: str) -> None:
        """Tell a daemon that one need of its question waits."""
        grant = messages.Grant(organisation, 0, 0.0)
        self._due.setdefault((asker, number), []).append(grant)

    def repeat(self, asker: str, number: int, organisation: str) -> bool:
        """Answer a need again in the same way; return whether it had been answered."""
        given = self._given.get((asker, number, organisation))
        if given is None:
            return False
        self._due.setdefault((asker, number), []).append(given[1])
        return True

    def collect(self) -> list[tuple[str, messages.QuotaGrants]]:
        """Return the answers since the last call, with their recipients."""
        due, self._due = self._due, {}
        return [
            (asker, messages.QuotaGrants(number, tuple(grants)))
            for (asker, number), grants in due.items()
        ]

    def drop_old(self, now_s: float) -> None:
        """Forget the answers whose questions are not repeated any longer."""
        for key, (until_s, _) in list(self._given.items()):
            if until_s > now_s:
                break
            del self._given[key]
