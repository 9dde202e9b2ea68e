"""What it costs to leave a zone: delay, bytes and the use of a narrow link.

Nothing here does I/O or keeps state. Costs are seconds of a caller's time, which
:func:`convert_to_share` expresses as a share of a target's slots.
"""

from __future__ import annotations

import dataclasses
import math

from endivevane.locality import sizes

_BYTES_PER_GB = 1e9
_BITS_PER_BYTE = 8
# Bytes that a connection sends before the first acknowledgement: 10 segments.
_INITIAL_WINDOW_BYTES = 14_600
# Share of a link that counts as free even if it seems fully used, so that costs stay
# finite.
_MIN_FREE_SHARE = 0.05
# Bounds what distance costs while hardly any request waits.
_MIN_WAIT_SHARE = 0.05
# Requests that hold a slot for less do not make distance more important.
_MIN_HOLD_S = 0.01
# Most by which a load is expected to grow in a second, as a share of the slots.
_LOAD_STEP_PER_S = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """The network between a daemon and the targets of another zone.

    :param delay_s: one-way delay beyond that within the zone
    :param gb_caller_s: seconds of callers that a gigabyte is worth
    :param bits_per_s: bandwidth of the narrowest link that all daemons share, 0 where
        no such link is on the way
    :param used_share: share of that bandwidth in use
    :param vm_bits_per_s: bandwidth of the daemon's VM, 0 if unknown
    """

    delay_s: float
    gb_caller_s: float
    bits_per_s: float = 0.0
    used_share: float = 0.0
    vm_bits_per_s: float = 0.0


def estimate_delay_s(way: Way, size: sizes.Size) -> float:
    """Return by how much later a response begins than one from the own zone."""
    windows = max(1.0, size.request_bytes / _INITIAL_WINDOW_BYTES)
    # The window doubles with each round trip.
    round_trips = 1 + math.floor(math.log2(windows))
    delay_s = 2 * way.delay_s * round_trips
    if not way.bits_per_s:
        return delay_s
    bits = _BITS_PER_BYTE * size.total_bytes
    shared_s = bits / (way.bits_per_s * _find_free_share(way))
    # What the VM's own link takes, it takes to any target.
    own_s = bits / way.vm_bits_per_s if way.vm_bits_per_s else 0.0
    return delay_s + max(0.0, shared_s - own_s)


def estimate_congestion_s(way: Way, size: sizes.Size) -> float:
    """Return by how much a request delays the others on a shared link in total."""
    if not way.bits_per_s:
        return 0.0
    own_s = _BITS_PER_BYTE * size.total_bytes / way.bits_per_s
    free_share = _find_free_share(way)
    return own_s * (1.0 - free_share) / free_share**2


def estimate_price_s(way: Way, size: sizes.Size) -> float:
    """Return the price of a request's bytes in seconds of callers."""
    return way.gb_caller_s * size.total_bytes / _BYTES_PER_GB


def convert_to_share(cost_s: float, hold_s: float, load: float, slots: int) -> float:
    """Return the share of load that costs a caller the same time.

    The fewer slots are in use, the less time a caller loses to one more request, so
    that load matters less against distance.

    :param load: share of slots in use where the caller is
    :param slots: number of slots there
    """
    return cost_s / (max(_MIN_HOLD_S, hold_s) * _estimate_wait_share(load, slots))


def estimate_load_step(age_s: float) -> float:
    """Return by which share of the slots a load may have grown since it was reported.

    A smaller difference between the loads of two regions is ignored; otherwise each
    could send requests to the other.
    """
    return min(1.0, _LOAD_STEP_PER_S * age_s)


def estimate_wait_s(running: int, slots: int, hold_s: float) -> float:
    """Return how long one more request waits at a target for one of its slots."""
    return max(0, running + 1 - slots) * hold_s / slots


def estimate_home_wait_s(slots: int, waiting: int, hold_s: float) -> float:
    """Return how long one more request waits for a slot in its own zone or region.

    :param slots: slots of the targets there that may get work
    :param waiting: requests that wait ahead of it
    """
    if not slots:
        return math.inf
    return (waiting + 1) * hold_s / slots


def _find_free_share(way: Way) -> float:
    return max(_MIN_FREE_SHARE, 1.0 - way.used_share)


def _estimate_wait_share(load: float, slots: int) -> float:
    """Return the probability that a request finds none of some slots free.

    This is Sakasegawa's approximation for a queue with many servers.
    """
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return max(_MIN_WAIT_SHARE, min(1.0, math.pow(load, exponent)))
