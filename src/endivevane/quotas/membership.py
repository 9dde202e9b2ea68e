"""What a daemon's view of the live daemons means for quotas.

One daemon issues the tokens of an organisation: the first by rendezvous hash of its
name over all live daemons. In each other region the first one there holds tokens for
its region. It does no I/O, and the time is passed in.
"""

from __future__ import annotations

import dataclasses
import math
from collections import abc

from endivevane.coordination import rendezvous
from endivevane.quotas import messages, witnesses

# With this share of the registered daemons and more, everything is issued; with the
# rest of them nothing is. In between the shares of any separated groups of daemons add
# up to one at most.
_FULL_SHARE = 0.8
_NO_SHARE = 1.0 - _FULL_SHARE
# A share that rises again within this time of its last rise counts as having risen
# once, from the lowest value before.
_RISE_MEMORY_S = 10.0
# Daemons kept in their order: the first is asked, the others where it does not answer.
_RANKED = 3
# A daemon that was answered may issue for less than this time.
_ANSWERED_S = 1.6
# Time until a daemon that has just started may issue, before more is known.
_START_S = 1.0
# After a start, others have answered and the first tokens are there after this time.
_FIRST_TOKENS_S = 0.3
# Age of a daemon that has never been heard.
_NEVER_HEARD_S = 3600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The daemons at one moment, this one included.

    :param registered: regions of all registered daemons by name
    :param live: those that are alive and not stopping
    :param stopping: those that have announced their stop, and issue nothing any longer
    :param heard: number of those that were heard in the last moments
    :param hold_off_s: time after which a daemon that is found dead has stopped issuing
    :param settle_s: time after which others have heard of a daemon that is back
    :param is_ready: whether this daemon knows the others
    """

    registered: abc.Mapping[str, str]
    live: frozenset[str]
    stopping: frozenset[str]
    heard: int
    hold_off_s: float
    settle_s: float
    is_ready: bool


class MemberView:
    """Ranks the live daemons for each organisation, and finds what may be issued.

    :ivar share: share of each quota that this daemon's side of a separation may issue
    :ivar risen_s: time at which the share last rose
    :ivar share_before: the share before that; the lowest one where rises followed
        closely
    :ivar opened_s: time from which this daemon may issue at all
    """

    def __init__(self, own_name: str, own_region: str) -> None:
        self.share = 0.0
        self.share_before = 0.0
        self.risen_s = float("-inf")
        self.opened_s = float("inf")
        self._own_name = own_name
        self._own_region = own_region
        self._snapshot = Snapshot(
            {own_name: own_region}, frozenset(), frozenset(), 0, 0.0, 0.0, False
        )
        self._witnesses = witnesses.Witnesses()
        # The daemons that are alive, as this one or others hear.
        self._live: frozenset[str] = frozenset()
        self._gone_s: dict[str, float] = {}
        # When daemons were last told that this one hears them.
        self._answered_s: dict[str, float] = {}
        # When others have heard daemons last that this one stands in for.
        self._absent_s: dict[str, float] = {}
        self._higher_since_s: float | None = None
        self._orders: dict[str, tuple[str, ...]] = {}
        self._leaders: dict[str, tuple[tuple[str, ...], tuple[str, ...]]] = {}

    def update(self, snapshot: Snapshot, now_s: float) -> None:
        """Take over what is known of the daemons now."""
        known = self._snapshot
        self._snapshot = snapshot
        if snapshot.registered != known.registered:
            self._orders.clear()
            self._leaders.clear()
            for name in known.registered.keys() - snapshot.registered.keys():
                self._gone_s.pop(name, None)
                self._answered_s.pop(name, None)
                self._absent_s.pop(name, None)
        for name in known.live - snapshot.live:
            self._gone_s[name] = now_s
        heard = self._witnesses.list_heard(now_s)
        live = snapshot.live.union(heard) if heard else snapshot.live
        if live != self._live:
            self._live = live
            self._leaders.clear()
        if not snapshot.is_ready:
            self.opened_s = float("inf")
        elif not known.is_ready:
            self.opened_s = now_s + snapshot.settle_s
        self._update_share(now_s)

    def restart(self) -> None:
        """Trust nothing that was seen before a pause of the process."""
        self.share = 0.0
        self.opened_s = float("inf")
        self._higher_since_s = None
        self._witnesses.restart()
        self._snapshot = dataclasses.replace(self._snapshot, is_ready=False)

    def list_sources(self, organisation: str) -> tuple[str, ...]:
        """Return the daemons to ask for tokens, in order, without this one.

        They are empty for the daemon that issues them.
        """
        first_ones, region_ones = self._find_leaders(organisation)
        if self._own_name in first_ones[:1]:
            return ()
        if self._own_name in region_ones[:1]:
            return self.list_first(organisation)
        return tuple(name for name in region_ones if name != self._own_name)

    def list_first(self, organisation: str) -> tuple[str, ...]:
        """Return the daemons that rank first over all regions, without this one."""
        first_ones, _ = self._find_leaders(organisation)
        return tuple(name for name in first_ones if name != self._own_name)

    def is_issuer(self, organisation: str) -> bool:
        """Whether this daemon ranks first."""
        return self._find_leaders(organisation)[0][:1] == (self._own_name,)

    def is_region_first(self, organisation: str) -> bool:
        """Whether this daemon ranks first in its region."""
        return self._find_leaders(organisation)[1][:1] == (self._own_name,)

    def is_remote(self, name: str) -> bool:
        """Whether a daemon is in another region."""
        return self._snapshot.registered.get(name, self._own_region) != self._own_region

    def find_since_s(self, organisation: str) -> float:
        """Return the time since which no other daemon issues in place of this one.

        It is infinite where this daemon does not rank first.
        """
        if not self.is_issuer(organisation):
            return float("inf")
        since_s = max(self.opened_s, self._witnesses.since_s)
        for name in self._list_before(organisation):
            gone_s = self._gone_s.get(name, float("-inf"))
            others_s = self._absent_s.get(name, float("-inf"))
            since_s = max(since_s, max(gone_s, others_s) + self._snapshot.hold_off_s)
        return since_s

    def may_issue(self, organisation: str, now_s: float) -> bool:
        """Whether others confirm that no other daemon issues.

        It records since when others do not hear the daemons that rank before this one,
        which :meth:`find_since_s` uses, and has others asked about the rest.
        """
        if not self.share or not self._witnesses.is_confirmed(now_s):
            return False
        is_confirmed = True
        for name in self._list_before(organisation):
            if self._is_answered(name, now_s):
                return False
            gone_s = self._witnesses.find_gone_s(name, now_s)
            if gone_s is None:
                is_confirmed = False
                continue
            self._absent_s[name] = gone_s
        return is_confirmed

    def is_confirmed(self, now_s: float) -> bool:
        """Whether others have answered this daemon lately."""
        return self._witnesses.is_confirmed(now_s)

    def find_start_left_s(self, now_s: float) -> float:
        """Return the time until tokens are likely there after a start, else 0."""
        if math.isinf(self.opened_s):
            return _START_S
        return max(0.0, self.opened_s + _FIRST_TOKENS_S - now_s)

    def ask_others(self, now_s: float) -> list[tuple[str, messages.QuotaProbe]]:
        """Return the questions to others that are due, with their recipients."""
        is_stopping = self._own_name not in self._snapshot.live
        if is_stopping or not self._snapshot.is_ready:
            return []
        others = sorted(self._snapshot.live - {self._own_name})
        return self._witnesses.ask(others, now_s)

    def testify(
        self, sender: str, probe: messages.QuotaProbe, now_s: float
    ) -> messages.QuotaWitness | None:
        """Return the answer to another daemon, ``None`` while too little is known.

        Whoever gets an answer is taken for alive, since it may issue tokens.
        """
        if now_s < self.opened_s:
            return None
        self._answered_s[sender] = now_s
        ages_s = tuple(self._find_gone_age_s(name, now_s) for name in probe.missing)
        return messages.QuotaWitness(probe.number, ages_s)

    def record_witness(self, answer: messages.QuotaWitness, now_s: float) -> None:
        """Take another daemon's answer."""
        self._witnesses.record(answer, self._snapshot.settle_s, now_s)

    def _find_gone_age_s(self, name: str, now_s: float) -> float | None:
        if name in self._snapshot.live or self._is_answered(name, now_s):
            return None
        return now_s - self._gone_s.get(name, now_s - _NEVER_HEARD_S)

    def _is_answered(self, name: str, now_s: float) -> bool:
        if name in self._snapshot.stopping:
            return False
        return now_s - self._answered_s.get(name, float("-inf")) < _ANSWERED_S

    def _list_before(self, organisation: str) -> abc.Iterator[str]:
        """Return the daemons that would rank before this one if they were alive."""
        for name in self._order(organisation):
            if name == self._own_name:
                return
            yield name

    def _update_share(self, now_s: float) -> None:
        snapshot = self._snapshot
        target = 0.0
        if snapshot.is_ready:
            target = compute_share(snapshot.heard, len(snapshot.registered))
        if target <= self.share:
            self.share = target
            self._higher_since_s = None
            return
        if self._higher_since_s is None:
            self._higher_since_s = now_s
        # The other side of a separation must have learned of its end.
        if now_s - self._higher_since_s < snapshot.settle_s:
            return
        if now_s - self.risen_s < _RISE_MEMORY_S:
            self.share_before = min(self.share_before, self.share)
        else:
            self.share_before = self.share
        self.risen_s = now_s
        self.share = target
        self._higher_since_s = None

    def _find_leaders(
        self, organisation: str
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return those that rank first over all regions, and in this region."""
        known = self._leaders.get(organisation)
        if known is not None:
            return known
        snapshot = self._snapshot
        first_ones: list[str] = []
        region_ones: list[str] = []
        for name in self._order(organisation):
            if name not in self._live:
                continue
            if len(first_ones) < _RANKED:
                first_ones.append(name)
            if snapshot.registered[name] == self._own_region:
                region_ones.append(name)
            if len(region_ones) == _RANKED:
                break
        found = (tuple(first_ones), tuple(region_ones))
        self._leaders[organisation] = found
        return found

    def _order(self, organisation: str) -> tuple[str, ...]:
        """Return all registered daemons in their order for an organisation."""
        order = self._orders.get(organisation)
        if order is None:
            order = tuple(rank(organisation, self._snapshot.registered))
            self._orders[organisation] = order
        return order


def rank(organisation: str, names: abc.Iterable[str]) -> list[str]:
    """Return daemons in their order for an organisation."""
    return sorted(
        names,
        key=lambda name: (rendezvous.score(organisation, name), name),
        reverse=True,
    )


def compute_share(heard: int, registered: int) -> float:
    """Return the share of each quota that daemons may issue which hear each other."""
    heard_share = heard / max(registered, 1)
    share = (heard_share - _NO_SHARE) / (_FULL_SHARE - _NO_SHARE)
    return min(1.0, max(0.0, share))
