import asyncio
import itertools
import json
import time

from behave import given, then, when

from endivevane.quotas import (
    holder,
    issuer,
    membership,
    messages,
    outcomes,
    settings,
)
from endivevane.serving import peer_messages, peer_registry
from features.support import quota_fuzz, quota_net, serving_fakes, serving_world

_LIMITS = settings.QuotasSection()


@given(
    "a daemon with an organisation of {rate:d} requests a second and a burst of "
    "{burst:d}"
)
def step_daemon(context, rate, burst):
    context.configuration = serving_world.make_configuration()
    context.configuration["tenants"] = [
        {"name": "north", "apiKeys": ["k1"], "ratePerS": rate, "burst": burst},
        {"name": "free", "apiKeys": ["k2"]},
    ]
    context.peers = 0


@given("the daemon hears no other one of {count:d}")
def step_alone(context, count):
    context.peers = count - 1


async def _send_all(world, key, count):
    started_s = time.monotonic()
    requests = [
        serving_world.make_request(
            attempt=f"{key}x{number}", extra=(f"Authorization: Token {key}",)
        )
        for number in range(count)
    ]
    replies = await asyncio.gather(
        *(serving_world.send_request(world.port, request) for request in requests)
    )
    return replies, time.monotonic() - started_s


@when("a client of the organisation sends {count:d} requests at once")
def step_send(context, count):
    async def run():
        world = serving_world.World(context.configuration, ("a",))
        world.peers.warmed_up_s = 0.0
        for number in range(context.peers):
            name = f"p{number}"
            world.peers.add(peer_registry.Peer(name, "near", name, 1, "run"))
        await world.start()
        task = asyncio.ensure_future(world.quotas.run())
        # Until the bucket is full.
        await asyncio.sleep(4.5 if not context.peers else 0.5)
        try:
            context.replies, context.elapsed_s = await _send_all(world, "k1", count)
            context.run_count = len(world.runs)
            context.free_replies, _ = await _send_all(world, "k2", 10)
        finally:
            task.cancel()
            await world.stop()

    asyncio.run(run())


@then("between {least:d} and {most:d} of them reach a target")
def step_reach(context, least, most):
    served = sum(reply.status == 200 for reply in context.replies)
    assert least <= served <= most, served
    assert context.run_count == served, context.run_count


@then(
    "the others get status 429 with a Retry-After between {least_s:f} and {most_s:d} s"
)
def step_refused(context, least_s, most_s):
    for reply in context.replies:
        if reply.status == 200:
            continue
        assert reply.status == 429, reply.status
        assert least_s <= float(reply.headers["retry-after"]) <= most_s, reply.headers


@then("{count:d} requests of an organisation without a quota reach a target")
def step_free(context, count):
    statuses = [reply.status for reply in context.free_replies]
    assert statuses == [200] * count, statuses


@then("all of them get status 503 within {limit_s:f} s, none has run")
def step_undecided(context, limit_s):
    statuses = {reply.status for reply in context.replies}
    assert statuses == {503}, statuses
    assert all("retry-after" in reply.headers for reply in context.replies)
    assert context.elapsed_s <= limit_s, context.elapsed_s
    assert not context.run_count


@given("an organisation with {count:d} tokens, at a daemon without requests")
def step_tokens(context, count):
    context.count = count


@when("{count:d} requests come and {left:d} that have got a token leave at once")
def step_leave(context, count, left):
    organisation = quota_net.make_organisation("o", 0.001, context.count)
    limits = settings.QuotasSection(overage=0.0, slack=1)
    identity = serving_fakes.make_identity("d0")

    async def run():
        quotas = serving_fakes.make_quotas(
            identity,
            peer_registry.PeerRegistry(identity),
            lambda _name: organisation,
            limits,
        )
        sent = []
        quotas._send = lambda _name, message: sent.append(message)
        quotas._view = quotas._holder._view = quotas._holder._asking._view = _Far()
        calls = [
            asyncio.ensure_future(quotas.admit(organisation, time.monotonic() + 1))
            for _ in range(count)
        ]
        await asyncio.sleep(0.01)
        asked = [item for item in sent if isinstance(item, messages.QuotaAsk)][-1]
        grant = messages.Grant("o", left, 0.25, 0.01)
        quotas.handle(messages.QuotaGrants(asked.number, (grant,)), "x")
        # The requests whose decision is known in this step leave before they learn it.
        quotas._flush()
        for call in calls[:left]:
            call.cancel()
        await asyncio.sleep(0.05)
        context.admitted = sum(
            call.done() and not call.cancelled() and call.result() is outcomes.ADMITTED
            for call in calls
        )
        for call in calls:
            call.cancel()

    asyncio.run(run())


@then("{count:d} other requests get one")
def step_others(context, count):
    assert context.admitted == count, context.admitted


@then(
    "for all splits of {pair:d} daemons into 2 and of {triple:d} into 3 the shares add "
    "up to one at most"
)
def step_shares(context, pair, triple):
    for count in range(pair + 1):
        parts = (count, pair - count)
        total = sum(membership.compute_share(part, pair) for part in parts)
        assert total <= 1.0 + 1e-9, parts
    for first, second in itertools.product(range(triple + 1), repeat=2):
        parts = (first, second, max(0, triple - first - second))
        if sum(parts) != triple:
            continue
        total = sum(membership.compute_share(part, triple) for part in parts)
        assert total <= 1.0 + 1e-9, parts


@then("{full:d} of {count:d} daemons may issue all, {none:d} of them nothing")
def step_full(context, full, count, none):
    assert membership.compute_share(full, count) == 1.0
    assert membership.compute_share(none, count) < 1e-9


class _View:
    """A view that the scenario sets."""

    share = 1.0
    share_before = 0.0
    risen_s = float("-inf")
    since_s = 0.0
    confirmed = True

    def find_since_s(self, _organisation):
        return self.since_s

    def may_issue(self, _organisation, _now_s):
        return self.confirmed

    def is_confirmed(self, _now_s):
        return self.confirmed


class _Far(_View):
    """A view in which another daemon of the region, x, issues."""

    since_s = float("inf")

    def update(self, _snapshot, _now_s):
        pass

    def list_sources(self, _organisation):
        return ("x",)

    list_first = list_sources

    def is_issuer(self, _organisation):
        return False

    is_region_first = is_issuer

    def is_remote(self, _name):
        return False


@given("an issuer of a quota of {rate:d} requests a second and a burst of {burst:d}")
def step_issuer(context, rate, burst):
    context.organisation = quota_net.make_organisation("o", rate, burst)
    context.view = _View()
    context.issuer = issuer.TokenIssuer(_LIMITS, context.view)


def _issue_all(context, now_s, organisation=None):
    need = messages.Need("o", 1000)
    asked = organisation or context.organisation
    issued = context.issuer.issue(asked, "d9", 900, need, now_s)
    return 0 if issued is None else issued.count


@when("it is asked for all that it has after {case}")
def step_issue(context, case):
    organisation, now_s = context.organisation, 60.0
    if case.startswith("ranking first for"):
        now_s = float(case.split()[3])
        context.view.share = 0.5 if "half" in case else 1.0
    elif case == "another one ranked first 1 s ago":
        _issue_all(context, 58.0)
        context.view.since_s = 59.0
    elif case == "a pause of the process":
        context.issuer.issue(organisation, "d1", 1, messages.Need("o", 1), 59.0)
        context.issuer.restart()
        context.view.since_s = 60.0
    elif case == "the burst was lowered to 5":
        context.issuer.issue(organisation, "d1", 1, messages.Need("o", 1), 59.0)
        organisation = quota_net.make_organisation("o", 10, 5)
    elif case == "others have not confirmed":
        context.view.confirmed = False
    else:
        context.view.since_s = float("inf")
    context.issued = _issue_all(context, now_s, organisation)


@then("it issues between {least:d} and {most:d} tokens")
def step_issued(context, least, most):
    assert least <= context.issued <= most, context.issued


@given("the settings of an overage of {overage:f} and a slack of {slack:d}")
def step_settings(context, overage, slack):
    context.limits = settings.QuotasSection(overage=overage, slack=slack)


@then(
    "for {rate:d} requests a second and a burst of {burst:d} issue and lending stay "
    "within the quota"
)
def step_within(context, rate, burst):
    limits = context.limits
    quota = quota_net.make_organisation("o", rate, burst)
    context.quota = quota
    issued = limits.find_rate_per_s(quota) * (
        limits.window_s + limits.find_token_ttl_s(quota)
    )
    total = issued + limits.find_depth(quota) + limits.find_max_lent(quota)
    allowed = (rate * limits.window_s + burst) * (1 + limits.overage) + limits.slack
    assert total <= allowed + 1e-9, (total, allowed)


@then(
    "at least {share:f} of the quota is issued, in tokens that live for {least_s:f} s "
    "or more"
)
def step_useful(context, share, least_s):
    limits, quota = context.limits, context.quota
    assert limits.find_rate_per_s(quota) >= share * quota.rate_per_s
    assert limits.find_depth(quota) >= quota.burst
    assert limits.find_token_ttl_s(quota) >= least_s


@given("a daemon whose issuer is another one")
def step_holder(context):
    context.organisation = quota_net.make_organisation("o", 100, 100)
    view = _Far()
    context.holder = holder.TokenHolder(
        _LIMITS,
        view,
        issuer.TokenIssuer(_LIMITS, view),
        lambda _name: context.organisation,
        50,
    )


@when("{count:d} requests come and the answer {case}")
def step_answer(context, count, case):
    now_s = 10.0
    for ticket in range(count):
        context.holder.admit("o", ticket, 1.0, now_s)
    ((name, asked),) = context.holder.collect(now_s).messages
    assert (name, asked.needs[0].waiting) == ("x", count)
    late_s = 0.26 if case == "comes after 0.26 s" else 0.04
    number = asked.number - (case == "is for an earlier question")
    sender = "y" if case == "comes from another daemon" else "x"
    granted = 1 if case == "grants 1" else count
    answer = messages.QuotaGrants(
        number, (messages.Grant("o", granted, 0.25, 0.01 if granted < count else 0.0),)
    )
    for _ in range(2 if case == "comes twice" else 1):
        context.holder.handle_grants(sender, answer, now_s + late_s)
    decisions = context.holder.collect(now_s + late_s).decisions
    context.admitted = sum(item.outcome is outcomes.ADMITTED for item in decisions)
    # Whatever is left would be used by the next requests.
    for ticket in range(count, 2 * count):
        outcome = context.holder.admit("o", ticket, 1.0, now_s + late_s)
        context.admitted += outcome is outcomes.ADMITTED


@then("{count:d} of them are admitted")
def step_admitted(context, count):
    assert context.admitted == count, context.admitted


@given("an issuer that has lent {count:d} tokens and has none left")
def step_lent(context, count):
    step_issuer(context, 1, 20)
    context.number = 7
    need = messages.Need("o", 0, count)
    issued = context.issuer.issue(
        context.organisation, "d1", context.number, need, 1000.0
    )
    assert issued.count == count and issued.life_s == issuer.LENT_TTL_S
    _issue_all(context, 1000.0)


@when("{count:d} tokens come back {case}")
def step_back(context, count, case):
    now_s = 1004.1 if case == "after they were void" else 1000.2
    context.before = _issue_all(context, now_s) if now_s > 1004 else 0
    asker = "d2" if case == "from another daemon" else "d1"
    back = (messages.Remainder(context.number, count),)
    need = messages.Need("o", 0, 0, (), back)
    for number in (8, 9) if case == "in a repeated message" else (8,):
        context.issuer.issue(context.organisation, asker, number, need, now_s)
    context.issued = _issue_all(context, now_s)


@then("it can issue {least:d} to {most:d} tokens")
def step_can_issue(context, least, most):
    assert least <= context.issued <= most, context.issued


_MESSAGES = (
    messages.QuotaAsk(9, (messages.Need("north", 2, 3),)),
    messages.QuotaAsk(
        9,
        (
            messages.Need(
                "a",
                0,
                1,
                (messages.Remainder(7, 2),),
                (messages.Remainder(8, 1),),
                messages.Purpose.SAMPLE,
            ),
        ),
    ),
    messages.QuotaGrants(3, (messages.Grant("north", 2, 0.25, 0.5),)),
    messages.QuotaProbe(4, ("d1", "d2")),
    messages.QuotaWitness(4, (None, 2.5)),
)
_MALFORMED = (
    ["quota_ask"],
    ["quota_ask", 1],
    ["quota_ask", -1, []],
    ["quota_ask", 1, [["a", 1], 5]],
    ["quota_ask", 1, [["a", 1e9]]],
    ["quota_ask", 1, [["a", 1, 1, 3, [], []]]],
    ["quota_ask", 1, [["a", 1, 1, 0, [[-1, 1]], []]]],
    ["quota_ask", 1, [["a", 1, 1, 0, 5, []]]],
    ["quota_grants", 1, [["a", "2", 1, 1]]],
    ["quota_grants", 1, [["a", 2, None, 1]]],
    ["quota_probe", 1, [5]],
    ["quota_witness", 1, ["x"]],
    ["quota_witness", 1, [], 2],
)


@then("each message about quotas is the same after it was sent")
def step_round_trip(context):
    for message in _MESSAGES:
        assert peer_messages.decode(peer_messages.encode(message)) == message


@then("malformed messages about quotas are rejected")
def step_malformed(context):
    for fields in _MALFORMED:
        try:
            found = peer_messages.decode(json.dumps(fields).encode())
        except ValueError:
            continue
        raise AssertionError((fields, found))


@given(
    "{count:d} daemons of two regions, and an organisation of {rate:d} requests a "
    "second"
)
def step_net(context, count, rate):
    regions = {f"d{number}": f"r{number % 2}" for number in range(count)}
    organisations = [
        quota_net.make_organisation("o", rate, rate),
        quota_net.make_organisation("other", rate, rate),
    ]
    context.net = quota_net.Net(
        regions, organisations, seed=3, has_heartbeats=count < 20
    )
    context.net.run_until(context.net.now_s + 6.0)


def _drive(context, per_s, duration_s, share=0.0, at_s=None, fault=None, other_per_s=0):
    """Send requests at random moments to random daemons."""
    net, names = context.net, list(context.net.daemons)
    arrivals = []
    for organisation, rate in (("o", per_s), ("other", other_per_s)):
        moment_s = net.now_s
        while rate and moment_s < net.now_s + duration_s:
            moment_s += net.generator.expovariate(rate)
            name = net.generator.choice(names)
            if net.generator.random() < share:
                name = names[0]
            arrivals.append((moment_s, name, organisation))
    started_s, is_faulty = net.now_s, False
    context.net.sent_bytes.clear()
    for moment_s, name, organisation in sorted(arrivals):
        if fault is not None and not is_faulty and moment_s >= started_s + at_s:
            net.run_until(started_s + at_s)
            context.victim = net.find_issuer("o")
            fault(net, context.victim)
            is_faulty = True
        net.run_until(moment_s)
        daemon = net.daemons[name]
        if daemon.is_up and not (is_faulty and name == context.victim):
            daemon.request(organisation)
    net.run_until(net.now_s + 1.0)
    context.duration_s = duration_s


@when(
    "it sends {per_s:d} requests a second for {duration_s:d} s, {share:f} of them to "
    "one daemon"
)
def step_drive(context, per_s, duration_s, share):
    _drive(context, per_s, duration_s, share)


_NET_FAULTS = {
    "dies": lambda net, name: net.kill(name),
    "is cut off": lambda net, name: net.cut(
        [name], [item for item in net.daemons if item != name]
    ),
    "stops": lambda net, name: net.stopping.add(name),
}


@when(
    "it sends {per_s:d} requests a second for {duration_s:d} s, and the issuer {fault} "
    "after {at_s:d} s"
)
def step_drive_fault(context, per_s, duration_s, fault, at_s):
    _drive(context, per_s, duration_s, 0.0, at_s, _NET_FAULTS[fault])


@when(
    "it sends {per_s:d} requests a second for {duration_s:d} s, and another one "
    "{other_per_s:d}"
)
def step_drive_two(context, per_s, duration_s, other_per_s):
    _drive(context, per_s, duration_s, other_per_s=other_per_s)


def _list_requests(context, organisation="o"):
    return [item for item in context.net.requests if item.organisation == organisation]


@then("all are admitted")
def step_all(context):
    refused = [item for item in _list_requests(context) if not item.is_admitted]
    assert not refused, refused


@then("at most {share:d} of 100 wait longer than 5 ms")
def step_waits(context, share):
    requests = _list_requests(context)
    late = [item for item in requests if item.decided_s - item.sent_s > 0.005]
    print(f"late={len(late)} of {len(requests)}")
    assert len(late) <= share / 100 * len(requests), (len(late), len(requests))


@then("no daemon sends more than {limit:d} bytes a second")
def step_bytes(context, limit):
    most = max(context.net.sent_bytes.values()) / context.duration_s
    print(f"bytes_per_s={most:.0f}")
    assert most <= limit, most


@then("at most {count:d} requests are refused")
def step_lost(context, count):
    refused = [
        item
        for item in _list_requests(context)
        if not item.is_admitted and item.outcome != "lost"
    ]
    print(f"refused={len(refused)} of {len(_list_requests(context))}")
    assert len(refused) <= count, refused


@then("no request waits longer than {limit_s:f} s")
def step_prompt(context, limit_s):
    for item in _list_requests(context):
        assert item.outcome is not None, item
        assert item.outcome == "lost" or item.decided_s - item.sent_s <= limit_s, item


@then("it gets between {least:d} and {most:d} requests admitted")
def step_fair(context, least, most):
    admitted = sum(item.is_admitted for item in _list_requests(context))
    assert least <= admitted <= most, admitted


@then("all requests of the other one are admitted")
def step_other(context):
    refused = [
        item for item in _list_requests(context, "other") if not item.is_admitted
    ]
    assert not refused, refused


@when("{count:d} daemons are fuzzed with {examples:d} sequences of {faults}")
def step_fuzz(context, count, examples, faults):
    context.excess = quota_fuzz.find_excess(faults, examples)


@then("in none more requests ran in 5 s than the quota allows")
def step_no_excess(context):
    print(f"excess={context.excess:.1f}")
    assert context.excess <= 0, context.excess


class _Full(issuer.TokenIssuer):
    """Begins with a full bucket."""

    def restart(self):
        self._since_s = {}
        super().restart()

    def _find_bucket(self, organisation, now_s):
        known = self._buckets.get(organisation.name)
        bucket = super()._find_bucket(organisation, now_s)
        if bucket is not None and bucket is not known:
            bucket.level = bucket.depth
        return bucket


def _fill(net):
    for daemon in net.daemons.values():
        start = daemon.start

        def begin(daemon=daemon, start=start):
            start()
            daemon.issuer = daemon.holder._issuer = _Full(net.limits, daemon.view)

        daemon.start = begin
        daemon.issuer = daemon.holder._issuer = _Full(net.limits, daemon.view)


def _believe(net):
    for daemon in net.daemons.values():
        daemon.view.may_issue = lambda _name, _now_s, view=daemon.view: bool(view.share)
        daemon.view._witnesses.list_heard = lambda _now_s: []


_DEFECTS = {
    "begins with a full bucket": (_fill, "kills and starts"),
    "asks no other daemon for confirmation": (
        _believe,
        "links that fail in one direction",
    ),
}


@then("the fuzzing finds an issuer that {defect}")
def step_defect(context, defect):
    prepare, faults = _DEFECTS[defect]
    excess = quota_fuzz.find_excess(faults, 40, prepare)
    print(f"excess={excess:.1f}")
    assert excess > 0, excess


@given("a view of the daemons {case}")
def step_view_of_start(context, case):
    view = membership.MemberView("d0", "near")
    began_s = {"that knows no others yet": None, "that started 2 s ago": 98.0}
    warm_s = began_s.get(case, 100.0)
    if warm_s is not None:
        snapshot = membership.Snapshot(
            {"d0": "near"}, frozenset({"d0"}), frozenset(), 1, 0.1, 0.5, True
        )
        view.update(snapshot, warm_s)
    context.start_left_s = view.find_start_left_s(100.0)


@then("the time until tokens are there is between {least:f} and {most:f} s")
def step_start_left(context, least, most):
    assert least <= context.start_left_s <= most, context.start_left_s


@when("a request that may wait {long_s:f} s and one that may wait {short_s:f} s come")
def step_two_waits(context, long_s, short_s):
    assert context.holder.admit("o", 1, long_s, 100.0) is None
    assert context.holder.admit("o", 2, short_s, 100.0) is None


@then("after {left_s:f} s the second one is given up and the first one still waits")
def step_given_up(context, left_s):
    context.holder.tick(100.0 + left_s)
    decided = [item.ticket for item in context.holder.collect(100.0).decisions]
    assert decided == [2], decided
