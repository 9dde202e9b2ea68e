"""Finding out whether a target that is silent has ended."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import time

from endivevane.serving import model

# A connection between regions takes two round trips of 40 ms.
_CONNECT_TIMEOUT_S = 0.35
# Least time between two probes of a target.
_INTERVAL_S = 0.3
# A sound target may be silent for about a second and accept no connections meanwhile;
# one that is unreachable for longer counts as ended.
_UNREACHABLE_S = 1.5
# A finding that is older belongs to an earlier silence: while one lasts, a probe is due
# every 0.3 s and takes 0.35 s at most.
_MAX_FINDING_AGE_S = 1.0
_MAX_REMEMBERED = 256


class Reachability(enum.Enum):
    """What opening a connection to a target shows."""

    REACHED = "reached"
    REFUSED = "refused"
    NO_ANSWER = "no_answer"


@dataclasses.dataclass(slots=True)
class _Finding:
    """The latest probe of one run of a target.

    :ivar result: that of the probe before while this one is under way, ``None`` if
        there was none in the same silence
    """

    started_s: float
    task: asyncio.Task[Reachability]
    result: Reachability | None = None


class TargetProbe:
    """Probes silent targets, each at most once at a time for all requests."""

    def __init__(self) -> None:
        self._findings: dict[str, _Finding] = {}

    def has_ended(self, target: model.Target, silence_s: float) -> bool:
        """Return whether a silent target has ended, as far as is known.

        Called repeatedly while the target is silent; it is probed meanwhile.

        :param silence_s: time since the target last sent anything
        """
        finding = self._probe(target)
        if finding.result is Reachability.NO_ANSWER:
            return silence_s > _UNREACHABLE_S
        return finding.result is Reachability.REFUSED

    def _probe(self, target: model.Target) -> _Finding:
        """Return the latest finding on a target, and begin a probe if one is due."""
        now_s = time.monotonic()
        known = self._findings.get(target.run_key)
        if known is not None and known.task.done():
            known.result = known.task.result()
        if known is not None and (
            not known.task.done() or now_s - known.started_s < _INTERVAL_S
        ):
            return known
        task = asyncio.ensure_future(connect(target))
        finding = _Finding(now_s, task)
        if known is not None and now_s - known.started_s < _MAX_FINDING_AGE_S:
            finding.result = known.result
        self._findings.pop(target.run_key, None)
        self._findings[target.run_key] = finding
        if len(self._findings) > _MAX_REMEMBERED:
            del self._findings[next(iter(self._findings))]
        return finding


async def connect(target: model.Target) -> Reachability:
    """Open and close a connection to a target, and return what this shows."""
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(target.host, target.port)
    except ConnectionRefusedError:
        return Reachability.REFUSED
    except (TimeoutError, OSError):
        return Reachability.NO_ANSWER
    writer.transport.abort()
    return Reachability.REACHED
