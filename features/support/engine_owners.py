"""Owners of an engine group over an in-memory store, with in-memory engines."""

import concurrent.futures
import dataclasses

import result

from endivevane import testing, types
from endivevane.configuration import snapshot
from endivevane.coordination import clock, lease
from endivevane.external import engine
from endivevane.orders import orders

GROUP = "answers"
TERM_S = 9.0
SETTINGS = orders.OrdersSettings(longest_term_s=TERM_S, longest_order_s=20.0)


class InlineExecutor(concurrent.futures.Executor):
    """Runs each call synchronously, so that the order of calls is deterministic."""

    def submit(self, function, /, *arguments, **named):
        future = concurrent.futures.Future()
        try:
            future.set_result(function(*arguments, **named))
        except Exception as error:
            future.set_exception(error)
        return future


@dataclasses.dataclass(frozen=True)
class ReceivedOrder:
    owner: str
    token: int
    action: str
    model: str
    sent_s: float
    was_valid: bool
    accepted: bool


class MemoryFencedEngine:
    """An in-memory engine that may lose answers and receive orders late.

    :param checks_fencing: whether it refuses old fencing tokens
    :param choose_fault: returns ``None``, ``lost_before``, ``lost_after`` or ``late``
    """

    def __init__(self, name, checks_fencing, group_clock, choose_fault=None):
        self.name = name
        self.checks_fencing = checks_fencing
        self.clock = group_clock
        self.choose_fault = choose_fault or (lambda: None)
        self.on_fetch = lambda: None
        self.models = {("a", "1"): set()}
        self.token = 0
        self.sent = []
        self.applied = []
        self.late = []

    def fetch_state(self):
        self.on_fetch()
        self.deliver_late()
        models = [
            {"model": name, "version": version, "adapters": sorted(adapters)}
            for (name, version), adapters in sorted(self.models.items())
        ]
        return result.Ok(
            {
                "models": models,
                "role": "both",
                "fencing_number": self.token,
                "in_progress": 0,
            }
        )

    def deliver_late(self):
        """Handle the delayed orders that are due."""
        now_s = self.clock.monotonic_s()
        due = [item for item in self.late if item[0] <= now_s]
        self.late = [item for item in self.late if item[0] > now_s]
        for _, owner, token, action, arguments in due:
            self.handle_order(owner, token, action, arguments)

    def handle_order(self, owner, token, action, arguments):
        is_accepted = token >= self.token or not self.checks_fencing
        if is_accepted:
            self.applied.append((owner, token, action))
            self.token = max(token, self.token)
            key = (arguments.get("model"), arguments.get("version"))
            match action:
                case "load_model":
                    self.models.setdefault(key, set())
                case "unload_model":
                    self.models.pop(key, None)
        return is_accepted


class OwnerClient:
    """One owner's client of an in-memory engine."""

    def __init__(self, owner, target):
        self._owner = owner
        self._target = target

    def fetch_state(self):
        return self._target.fetch_state()

    def send_order(self, token, action, **arguments):
        target, owner = self._target, self._owner
        fault = target.choose_fault()
        lost = result.Err(engine.EngineError(types.Address("127.0.0.1", 1), "lost"))
        now_s = target.clock.monotonic_s()
        is_accepted = False
        if fault == "late":
            due_s = now_s + SETTINGS.longest_order_s * 0.9
            target.late.append((due_s, owner.daemon, token, action, arguments))
        elif fault != "lost_before":
            is_accepted = target.handle_order(owner.daemon, token, action, arguments)
        target.sent.append(
            ReceivedOrder(
                owner.daemon,
                token,
                action,
                arguments.get("model", ""),
                now_s,
                owner.lease.is_valid(),
                is_accepted,
            )
        )
        if fault is not None:
            return lost
        if not is_accepted:
            address = types.Address("127.0.0.1", 1)
            return result.Err(engine.FencingRefused(address, "old token"))
        return result.Ok(None)


class Owner:
    """A daemon with its lease and the owner under test.

    :param make_client: returns the client of a target; by default that of its in-memory
        engine
    """

    def __init__(self, daemon, store, group_clock, engines=(), make_client=None):
        self.daemon = daemon
        self.store = store
        self.lease = lease.SessionLease(daemon, {}, TERM_S, group_clock)
        by_name = {item.name: item for item in engines}
        self.owner = orders.GroupOwner(
            GROUP,
            daemon,
            self.lease,
            store,
            make_client or (lambda target: OwnerClient(self, by_name[target.name])),
            InlineExecutor(),
            SETTINGS,
            group_clock,
        )

    def renew(self):
        attempt = self.lease.start_attempt()
        self.lease.record(lease.run_attempt(self.store, attempt))


class Competition:
    """Two daemons, one store and one clock."""

    def __init__(self, engines, make_client=None, addresses=None, clock_=None):
        self.clock = clock_ or clock.ManualClock(100.0, 1_000_000)
        self.store = testing.MemoryTableStore()
        self.engines = engines
        self.owners = [
            Owner(name, self.store, self.clock, engines, make_client)
            for name in ("d1", "d2")
        ]
        self.round_input = make_round_input(
            [(item.name, item.checks_fencing) for item in engines], addresses or {}
        )

    def run(self, index):
        self.owners[index].owner.run_round(self.round_input)

    def pause_first_until_taken_over(self):
        """Run only the second daemon until it owns the group."""
        for _ in range(30):
            self.clock.advance(SETTINGS.interval_s)
            self.owners[1].renew()
            self.run(1)
            if self.owners[1].owner.ownership is not None:
                return
        raise AssertionError("the group was not taken over")


def make_round_input(targets, addresses, models=("a", "b")):
    document = {
        "kind": "service",
        "name": GROUP,
        "type": "model",
        "organisations": ["acme"],
        "models": [{"name": name, "min_replicas": len(targets)} for name in models],
        "targets": [
            {
                "name": name,
                "address": addresses.get(name, "127.0.0.1:9"),
                "zone": "zone-a",
                "checks_fencing": checks,
            }
            for name, checks in targets
        ],
    }
    current = snapshot.build_snapshot(1, {f"services/{GROUP}": document})
    service = current.services[GROUP]
    return orders.RoundInput(service, service.targets)
