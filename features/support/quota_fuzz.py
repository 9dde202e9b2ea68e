"""Fuzzing of the quotas: any sequence of faults, checked in each sliding window."""

import hypothesis
from hypothesis import strategies

from endivevane.quotas import settings
from features.support import quota_net

_NAMES = tuple(f"d{number}" for number in range(5))
_REGIONS = {name: f"r{number % 2}" for number, name in enumerate(_NAMES)}
_RATE_PER_S, _BURST = 6.0, 30.0
_WINDOW_S = 5.0
# Little slack, so that few tokens too many are found.
_LIMITS = settings.QuotasSection(window_s=_WINDOW_S, slack=3)
_REST_SHARE = 0.5
_SEED = 20261206

_FAULTS = {
    "kills and starts": ("kill", "start", "restart all"),
    "pauses": ("pause",),
    "separations": ("separate", "heal"),
    "broken links": ("break", "heal"),
    "links that fail in one direction": ("mute", "heal"),
    "lost, late and repeated messages": ("lose", "delay", "repeat"),
    "changed limits": ("raise", "lower"),
}
_FAULTS["all of these"] = tuple(
    sorted({k for kinds in _FAULTS.values() for k in kinds})
)


def _steps(kinds):
    wait_s = strategies.floats(0.05, 4.0)
    fault = strategies.sampled_from((*kinds, "burst", "burst", "wait"))
    daemons = strategies.integers(0, len(_NAMES) - 1)
    size = strategies.floats(0.0, 1.0)
    step = strategies.tuples(wait_s, fault, daemons, daemons, size)
    return strategies.lists(step, min_size=4, max_size=14)


def find_excess(faults, examples, prepare=None):
    """Return the most requests in a window beyond what is allowed, over all examples.

    :param prepare: changes the daemons before each example
    """
    worst = [float("-inf")]

    @hypothesis.seed(_SEED)
    @hypothesis.settings(
        max_examples=examples,
        deadline=None,
        database=None,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_steps(_FAULTS[faults]), strategies.integers(0, 1000))
    def play(steps, seed):
        worst[0] = max(worst[0], _play(steps, seed, prepare))

    play()
    return worst[0]


def _play(steps, seed, prepare):
    """Return the most requests in a window beyond what is allowed."""
    organisation = quota_net.make_organisation("o", _RATE_PER_S, _BURST)
    net = quota_net.Net(_REGIONS, [organisation], _LIMITS, seed)
    if prepare is not None:
        prepare(net)
    highest = _RATE_PER_S * _WINDOW_S + _BURST
    at_s = net.now_s + 6.0
    for wait_s, kind, first, second, size in steps:
        # Buckets are full only after a rest.
        if size < _REST_SHARE:
            net.run_until(at_s + wait_s)
        else:
            _demand(net, at_s, at_s + wait_s)
        at_s += wait_s
        factor = _apply(net, kind, _NAMES[first], _NAMES[second], size)
        highest = max(highest, factor * (_RATE_PER_S * _WINDOW_S + _BURST))
    _demand(net, at_s, at_s + 3.0)
    allowed = highest * (1 + net.limits.overage) + net.limits.slack
    return quota_net.find_most(net.requests, _WINDOW_S) - allowed


def _demand(net, from_s, until_s):
    """Let each daemon get more requests than its share."""
    interval_s = 0.15
    at_s = from_s
    while at_s < until_s:
        at_s += interval_s
        net.run_until(min(at_s, until_s))
        _send(net, 2)


def _send(net, count):
    for daemon in net.daemons.values():
        for _ in range(count if daemon.is_up else 0):
            daemon.request("o")


def _apply(net, kind, name, other, size):
    """Apply a fault; return the factor by which the limit may be higher."""
    if kind == "burst":
        _send(net, 25)
    elif kind == "kill":
        net.kill(name)
    elif kind == "start":
        for daemon in net.daemons.values():
            if not daemon.is_up:
                net.start(daemon.name)
    elif kind == "restart all":
        for daemon in net.daemons:
            net.kill(daemon)
            net.start(daemon)
    elif kind == "pause":
        net.pause(name, 5.0 * size)
    elif kind == "separate":
        some = _NAMES[: 1 + int(size * (len(_NAMES) - 1))]
        net.cut(some, [item for item in _NAMES if item not in some])
    elif kind == "break" and name != other:
        net.cut([name], [other])
    elif kind == "mute":
        net.cuts.update((name, item) for item in _NAMES if item != name)
    elif kind == "heal":
        net.cuts.clear()
    elif kind == "lose":
        net.loss = size
    elif kind == "delay":
        net.extra_delay_s = 2.0 * size
    elif kind == "repeat":
        net.duplication = size
    elif kind in ("raise", "lower"):
        factor = 2.0 if kind == "raise" else 1.0
        limit = quota_net.make_organisation("o", factor * _RATE_PER_S, factor * _BURST)
        for daemon in net.daemons.values():
            daemon.organisations["o"] = limit
        return factor
    return 1.0
