"""Polling of load reports and cache events from targets."""

from __future__ import annotations

import concurrent.futures
import dataclasses
import math
import random
import threading
from collections import abc

import result

from endivevane import logs
from endivevane.configuration import snapshot
from endivevane.coordination import clock
from endivevane.external import engine, http_pool, link
from endivevane.online import messages, routing

# Minimum wait between two checks for due polls.
_MIN_WAIT_S = 0.05
# The further targets depend on the membership, whose changes raise no event here.
_FURTHER_INTERVAL_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadsSettings:
    """Rate and limits of the polls.

    :param interval_s: time between two reports of one target
    :param events_every: number of reports per fetch of cache events
    :param max_targets_per_s: maximum poll rate for candidates in a deployment of up to
        9 daemons; with more candidates each is polled less often
    :param min_targets_per_s: lower limit of that maximum, which falls as the number of
        daemons grows: control traffic may use 3 KB/s per daemon, and a report is about
        650 bytes
    :param threads: maximum concurrent calls
    :param timeout_s: timeout of each call
    """

    interval_s: float = 1.0
    events_every: int = 2
    max_targets_per_s: float = 10.0
    min_targets_per_s: float = 1.0
    threads: int = 8
    timeout_s: float = 1.0


@dataclasses.dataclass(slots=True)
class _PolledTarget:
    """A polled target and its connection.

    :param is_candidate: whether online requests may be sent to it; cache events of
        other targets are not fetched, since only routing uses them
    """

    target: snapshot.Target
    pool: http_pool.HttpPool
    due_s: float
    reports: int = 0
    last_event: int = 0
    is_busy: bool = False
    is_further: bool = False
    is_candidate: bool = True


class LoadsTask:
    """Polls targets on a thread and posts their reports.

    :param place: name, zone and region of the daemon
    :param get_snapshot: returns the current configuration
    :param post: receives :class:`messages.LoadReported` and
        :class:`messages.CacheEventsReported`; called on several threads
    :param get_further_targets: targets to poll besides the candidates, such as those
        to which this daemon sends batch items
    :param count_daemons: returns how many daemons share the targets
    """

    def __init__(
        self,
        place: routing.Place,
        settings: LoadsSettings,
        task_clock: clock.Clock,
        get_snapshot: abc.Callable[[], snapshot.Snapshot],
        post: abc.Callable[[object], None],
        routing_settings: routing.RoutingSettings | None = None,
        get_further_targets: abc.Callable[[], abc.Iterable[snapshot.Target]]
        | None = None,
        count_daemons: abc.Callable[[], int] | None = None,
    ) -> None:
        self._place = place
        self._count_daemons = count_daemons or (lambda: routing.DEFAULT_DAEMONS)
        self._get_further_targets = get_further_targets or tuple
        self._last_refresh_s = -math.inf
        self._settings = settings
        self._clock = task_clock
        self._get_snapshot = get_snapshot
        self._post = post
        self._routing = routing_settings or routing.RoutingSettings()
        self._leaving: frozenset[str] = frozenset()
        self._polled_targets: dict[str, _PolledTarget] = {}
        self._applied_state: tuple[snapshot.Snapshot, frozenset[str]] | None = None
        self._stopped = threading.Event()
        self._executor = concurrent.futures.ThreadPoolExecutor(
            settings.threads, thread_name_prefix="loads"
        )
        self._thread = threading.Thread(target=self._run, name="loads", daemon=True)

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def drain(self, deadline_s: float) -> None:
        """Do nothing, since requests in flight still need the reports."""

    def stop(self) -> None:
        """Stop polling and close the connections."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self._executor.shutdown(wait=True, cancel_futures=True)
        for polled in self._polled_targets.values():
            polled.pool.close_idle()

    def set_leaving(self, target_names: abc.Iterable[str]) -> None:
        """Set the draining targets, which get no new work; replaces the former set."""
        self._leaving = frozenset(target_names)

    def _run(self) -> None:
        while not self._stopped.is_set():
            self._refresh()
            self._stopped.wait(self._poll_due())

    def _refresh(self) -> None:
        """Apply changes of the configuration and of the draining targets."""
        current_state = (self._get_snapshot(), self._leaving)
        now_s = self._clock.monotonic_s()
        is_due = now_s - self._last_refresh_s >= _FURTHER_INTERVAL_S
        if (
            self._applied_state is not None
            and _is_same(self._applied_state, current_state)
            and not is_due
        ):
            return
        self._applied_state = current_state
        self._last_refresh_s = now_s
        wanted: dict[str, snapshot.Target] = {}
        for service in current_state[0].services.values():
            if service.is_plain:
                continue
            for target in routing.choose_candidates(
                self._place,
                service,
                current_state[1],
                self._routing,
                self._count_daemons(),
            ):
                wanted[target.name] = target
        candidates = frozenset(wanted)
        further = {item.name: item for item in self._get_further_targets()}
        wanted.update(further)
        for name in [name for name in self._polled_targets if name not in wanted]:
            self._polled_targets.pop(name).pool.close_idle()
        for name, target in wanted.items():
            known = self._polled_targets.get(name)
            if known is None or known.target.address != target.address:
                self._polled_targets[name] = self._make_polled(target)
            self._polled_targets[name].is_further = name in further
            self._polled_targets[name].is_candidate = name in candidates

    def _make_polled(self, target: snapshot.Target) -> _PolledTarget:
        limits = http_pool.PoolSettings(
            connect_timeout_s=self._settings.timeout_s,
            read_timeout_s=self._settings.timeout_s,
            max_idle_connections=1,
        )
        pool = http_pool.HttpPool(target.address, limits, self._clock)
        if target.region != self._place.region:
            pool = link.LinkPool(target.address, limits, "control")
        return _PolledTarget(target, pool, self._clock.monotonic_s())

    def _poll_due(self) -> float:
        """Start the due polls and return the time until the next one."""
        settings = self._settings
        now_s = self._clock.monotonic_s()
        candidate_interval_s = self._compute_interval_s()
        for polled in self._polled_targets.values():
            if polled.is_busy or polled.due_s > now_s:
                continue
            polled.is_busy = True
            interval_s = (
                settings.interval_s if polled.is_further else candidate_interval_s
            )
            # Jitter keeps the polls of all targets from coinciding.
            polled.due_s = now_s + interval_s * random.uniform(0.9, 1.1)
            self._executor.submit(self._poll, polled)
        idle = [
            item.due_s for item in self._polled_targets.values() if not item.is_busy
        ]
        # The end of a call does not wake this thread, so the wait has an upper limit.
        next_s = min(idle, default=now_s + _MIN_WAIT_S)
        return min(max(next_s - now_s, _MIN_WAIT_S), settings.interval_s)

    def _compute_interval_s(self) -> float:
        """Return the poll interval of a candidate."""
        settings = self._settings
        known = routing.DEFAULT_DAEMONS
        share = known / max(known, self._count_daemons())
        rate = max(settings.min_targets_per_s, settings.max_targets_per_s * share)
        count = sum(not item.is_further for item in self._polled_targets.values())
        return max(settings.interval_s, count / rate)

    def _poll(self, polled: _PolledTarget) -> None:
        try:
            self._fetch(polled)
        except Exception as error:
            # A malformed response must not end the polling of this target.
            logs.warning("poll_failed", target=polled.target.name, error=repr(error))
        finally:
            polled.is_busy = False

    def _fetch(self, polled: _PolledTarget) -> None:
        client = engine.EngineClient(polled.pool)
        name = polled.target.name
        report = client.fetch_load()
        if isinstance(report, result.Err):
            logs.info("load_missing", target=name, error=str(report.err_value))
            # A restarted target has an empty cache and new event numbers.
            polled.last_event = 0
            return
        self._post(messages.LoadReported(name, report.ok_value))
        polled.reports += 1
        is_due = polled.reports % self._settings.events_every == 0
        if not is_due or not polled.is_candidate:
            return
        events = client.fetch_cache_events(polled.last_event)
        if isinstance(events, result.Err) or not events.ok_value:
            return
        polled.last_event = max(int(item["n"]) for item in events.ok_value)
        self._post(messages.CacheEventsReported(name, events.ok_value))


def _is_same(
    first: tuple[snapshot.Snapshot, frozenset[str]],
    second: tuple[snapshot.Snapshot, frozenset[str]],
) -> bool:
    return first[0] is second[0] and first[1] == second[1]
