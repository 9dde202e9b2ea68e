import json

from behave import given, then, when

from endivevane import logs
from endivevane.fairness import turns
from endivevane.serving import load_table, slot_messages, slot_queue
from features.support import serving_fakes, share_trial

# Long enough for the usual rates to be known.
_SURGE_BEGIN_S = 40.0
_SURGE_S = 6.5
_DURATION_S = 50.0
_HOWS = {
    "and its clients may return": {},
    "and its clients return": {"returns": True},
    "and its clients never return": {"may_retry": False},
    "all of them urgent": {"priority": -1},
    "all of them late": {"objective_s": -1.0, "may_retry": False},
}


# Fields of the log events about organisations that are held to their share.
_held = []
_observing = []


def _observe(event, fields):
    if event == "organisation_held_to_share":
        _held.append(fields)


def _steady(name, rate, **fields):
    return share_trial.Client(name, lambda _: rate, rate, **fields)


def _surging(name, usual, rate, **fields):
    def find_rate(at_s):
        is_surge = _SURGE_BEGIN_S <= at_s < _SURGE_BEGIN_S + _SURGE_S
        return rate if is_surge else usual

    return share_trial.Client(name, find_rate, max(usual, rate), **fields)


def _run(context, clients, is_named=True):
    trial = share_trial.Trial(context.targets, is_named=is_named)
    trial.run(clients, _DURATION_S, counted_from_s=_SURGE_BEGIN_S)
    return trial.outcomes


@given(
    "targets that are {percent:d} % full with the requests of {count:d} organisations"
)
def step_full(context, percent, count):
    context.targets = 10
    context.total = percent / 100 * share_trial.Trial(10).capacity_per_s
    context.names = [f"small-{number}" for number in range(count)]
    context.large = 0.0


@given("one more organisation that sends a quarter of them")
def step_large(context):
    context.large = 0.25


@given(
    "{targets:d} targets and {count:d} organisations that together send half of what "
    "it serves"
)
def step_many(context, targets, count):
    context.targets = targets
    context.total = 0.5 * share_trial.Trial(targets).capacity_per_s
    context.names = [f"small-{number}" for number in range(count)]
    context.large = 0.0


def _surge(context, usual_share, rate, **fields):
    rest = (1 - usual_share - context.large) * context.total / len(context.names)
    clients = [_surging("hot", usual_share * context.total, rate, **fields)]
    clients += [_steady(name, rest) for name in context.names]
    if context.large:
        clients.append(_steady("large", context.large * context.total))
    context.clients = clients
    _held.clear()
    if not _observing:
        # Observers can't be removed.
        _observing.append(True)
        logs.add_observer(_observe)
    context.outcomes = _run(context, clients)


@when(
    "one that usually sends {usual:d} % of them sends {times:d} times that for 6.5 s, "
    "{how}"
)
def step_surge(context, usual, times, how):
    rate = usual / 100 * times * context.total
    _surge(context, usual / 100, rate, **_HOWS[how])


@when("one that usually sends {usual:d} % of them sends as much as it serves for 6.5 s")
def step_surge_of_all(context, usual):
    _surge(context, usual / 100, 2 * context.total)


@when("the demand of all steps between 0.38 and 1.85 of that every 2 s")
def step_steps(context):
    each = context.total / len(context.names)
    clients = [
        share_trial.Client(
            name,
            lambda at_s: each * (0.38 if at_s % 4 < 2 else 1.85),
            1.85 * each,
        )
        for name in context.names
    ]
    context.outcomes = _run(context, clients)


@then(
    "the others are granted at least {granted:d} of 100 requests, {timely:d} of 100 of "
    "them in time"
)
def step_others(context, granted, timely):
    others = [context.outcomes[name] for name in context.names]
    arrived = sum(item.arrived for item in others)
    served = sum(len(item.waits_s) for item in others)
    late = sum(item.late for item in others)
    assert served >= granted / 100 * arrived, (served, arrived)
    assert late <= (1 - timely / 100) * served, (late, served)


@then("at least {count:d} of 100 requests of that one are refused")
def step_hot_refused(context, count):
    hot = context.outcomes["hot"]
    assert len(hot.refused) >= count / 100 * hot.arrived, len(hot.refused)


@then("{count:d} of 10 of its refused requests have waited at most {most_s:d} s")
def step_refused_early(context, count, most_s):
    waited_s = [waited_s for waited_s, _ in context.outcomes["hot"].refused]
    early = sum(each_s <= most_s for each_s in waited_s)
    assert early >= count / 10 * len(waited_s), (early, len(waited_s))


@then("the large one is granted more of its requests than without shares")
def step_large_granted(context):
    without = _run(context, context.clients, is_named=False)["large"]
    large = context.outcomes["large"]
    assert large.granted_share > without.granted_share, (large, without)


@then(
    "each of them is granted at least a quarter as many of its requests as all together"
)
def step_quarter(context):
    outcomes = context.outcomes.values()
    arrived = sum(item.arrived for item in outcomes)
    served = sum(len(item.waits_s) for item in outcomes)
    least = min(item.granted_share for item in outcomes)
    assert least >= served / arrived / 4, (least, served / arrived)


@then("its requests that return are granted more often than the others")
def step_returned(context):
    hot = context.outcomes["hot"]
    share = hot.returned_granted / hot.returned
    assert share > hot.granted_share, (share, hot.granted_share)


@then("at least half of its requests that return are granted")
def step_half_returned(context):
    hot = context.outcomes["hot"]
    assert 2 * hot.returned_granted >= hot.returned, vars(hot)


@then("the log names it at most once in {interval_s:d} s")
def step_log(context, interval_s):
    named = [fields for fields in _held if fields["organisation"] == "hot"]
    most = _DURATION_S / interval_s + 1
    assert 1 <= len(named) <= most, named


@given(
    "{count:d} clients without an organisation that surge to twice what {targets:d} "
    "targets serve"
)
def step_unnamed(context, count, targets):
    context.targets = targets
    each = 0.15 * share_trial.Trial(targets).capacity_per_s

    def find_rate(at_s):
        return each * (2 if 2 <= at_s < 6 else 1)

    context.clients = [
        share_trial.Client(
            f"c{number}",
            find_rate,
            2 * each,
            objective_s=(0.2, 0.3, 0.5)[number % 3],
            deadline_s=(1.0, 3.0)[number % 2],
            priority=number % 2,
            may_retry=number % 3 != 0,
            returns=number % 3 == 1,
        )
        for number in range(count)
    ]


@when("the trial with seed {seed:d} has ended")
def step_trial(context, seed):
    context.trial = share_trial.Trial(context.targets, seed=seed, is_named=False)
    context.trial.run(context.clients, 8)


@then("the digest of its decisions and waiting counts is {digest}")
def step_digest(context, digest):
    assert context.trial.digest.hexdigest().startswith(digest)


@when("a slot request is encoded with and without an organisation")
def step_encode(context):
    fields = {
        "incarnation": "run",
        "number": 7,
        "service": "lm",
        "availability_zone": "z1",
        "objective_left_s": 0.3,
        "deadline_left_s": 3.0,
        "request": "attempt-1",
    }
    context.messages = [
        slot_messages.Acquire(**fields),
        slot_messages.Acquire(**fields, organisation="shop\nand more"),
    ]
    context.data = [slot_messages.encode(message) for message in context.messages]


@then(
    "the one without is as before, and the other has as many fields of the same types"
)
def step_as_before(context):
    without, named = context.data
    assert without == (
        b'["ask","run",7,"lm","z1",[false,false],0,0,0.3,3.0,[],[],null,"attempt-1"]'
    )
    types = [[type(field) for field in json.loads(data)] for data in (without, named)]
    assert types[0] == types[1]


@then("each is decoded to what it was")
def step_decoded(context):
    for message, data in zip(context.messages, context.data, strict=True):
        kind, *fields = json.loads(data)
        assert slot_messages.decode(kind, fields) == message


@given(
    'a daemon whose {targets:d} targets are full, with {count:d} requests of "hot" '
    "waiting"
)
def step_full_daemon(context, targets, count):
    context.fleet = serving_fakes.Fleet([f"t{n}" for n in range(targets)])
    context.queue = context.fleet.make_queue()
    for _ in range(targets * share_trial.SLOTS_PER_TARGET + count):
        _ask_queue(context, "hot")


def _ask_queue(context, organisation):
    """Return what becomes of a request, to a queue with a fake time."""
    decisions = []

    def resolve(decision):
        decisions.append(decision)
        if isinstance(decision, slot_queue.Granted):
            context.fleet.board.begin(decision.target.target_id, False)

    request = slot_queue.SlotRequest(
        service="lm",
        priority=0,
        objective_s=101.0,
        deadline_s=103.0,
        may_retry=True,
        organisation=organisation,
    )
    waiter = context.queue.ask(request, resolve, 100.0)
    if waiter is not None:
        return "waits"
    is_refused = isinstance(decisions[0], slot_queue.Refused)
    return "is refused" if is_refused else "is granted a slot"


@when(
    "another daemon reports {within:d} waiting requests within their shares and "
    "{beyond:d} beyond"
)
def step_report(context, within, beyond):
    waiting = {"lm": within, load_table.name_surplus("lm"): beyond}
    report = load_table.LoadReport({}, 100.0, waiting_requests=waiting)
    context.fleet.board.set_report("peer", report)


@when("a slot of the daemon becomes free")
def step_free(context):
    context.fleet.board.end("t0", False)
    context.queue.record_end("lm", "hot", 100.0)
    context.queue.grant_free_slots(100.0)


@then("{count:d} requests wait at the daemon")
def step_waiting(context, count):
    assert context.queue.waiting == count, context.queue.waiting


@then('a request of "calm" {calm} and one of "hot" {hot}')
def step_decided(context, calm, hot):
    assert _ask_queue(context, "calm") == calm
    assert _ask_queue(context, "hot") == hot


def _ask(context, daemon, count, organisation, **fields):
    asked = [
        context.region.ask(daemon, organisation=organisation, **fields)
        for _ in range(count)
    ]
    context.asked = getattr(context, "asked", {})
    context.asked[organisation] = [(daemon, message.number) for message in asked]


@when(
    'a daemon requests {many:d} slots for "{first}", and then another one {few:d} '
    'slots for "{second}"'
)
def step_online_requests(context, many, first, few, second):
    _ask(context, "d0", many, first)
    _ask(context, "d1", few, second)


@when(
    'a daemon requests {many:d} slots for items of "{first}", and then another one '
    '{few:d} slots for items of "{second}"'
)
def step_item_requests(context, many, first, few, second):
    _ask(context, "d0", many, first, is_batch=True, urgency=1)
    _ask(context, "d1", few, second, is_batch=True, urgency=1, objective_s=9.0)


@then('the requests for "{organisation}" have been granted both')
@then('the items of "{organisation}" have been granted both')
def step_both(context, organisation):
    context.region.coordinator.tick(context.region.now_s)
    granted = context.region.list_granted()
    assert all(key in granted for key in context.asked[organisation]), granted


@then('an urgent item of "{first}" goes before the others of "{second}"')
def step_urgent_first(context, first, second):
    items = [(0, first), (0, first), (1, first), (1, second)]
    ordered = turns.order_by_turns(items, lambda item: item, {first: 9})
    assert ordered == [(0, first), (0, first), (1, second), (1, first)], ordered
