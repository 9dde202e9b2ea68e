import asyncio
import random
import time

from behave import given, then, when

from endivevane.serving import item_refusals, load_table, model
from features.support import item_world, serving_fakes

_JOB = "job0001"
_POLL_S = 0.05
_SEED = 20_261_208


class _World(item_world.World):
    """Two daemons and their targets, on a route with a retention.

    :ivar listed_s: time from the submission until an item was listed, by item
    """

    def __init__(self, weights, count, retention_s):
        self._retention_s = retention_s
        super().__init__(weights, count)

    def set_route(self, weights):
        self.table = item_world.job_world.make_table(
            (item_world.make_route(weights, self._retention_s),)
        )

    async def read_states(self):
        """Return whether the listed items are completed, by item."""
        daemon = self.daemons[0]
        entry = await daemon.changes.find_stored(_JOB)
        results = await daemon.changes.load_results(_JOB, 0, entry.job.listed)
        return {result.item_id: result.is_completed for result in results.values()}

    async def watch(self, duration_s, until):
        """Read the states of items for some time, or until enough are listed."""
        self.listed_s = {}
        began_s = time.monotonic()
        while True:
            states = await self.read_states()
            now_s = time.monotonic() - began_s
            for item_id in states:
                self.listed_s.setdefault(item_id, now_s)
            if now_s > duration_s or len(states) >= until:
                return states
            await asyncio.sleep(_POLL_S)


@given("{count:d} items kept for {retention_s:d} s on a route to {services}")
def step_items(context, count, retention_s, services):
    weights = dict.fromkeys(services.split(", "), 1.0)
    context.arguments = (weights, count, retention_s)


def _play(context, act):
    async def run():
        world = context.world = _World(*context.arguments)
        try:
            context.states = await act(world)
        finally:
            world.stop()

    asyncio.run(run())


def _play_refusals(context, duration_s, refuses):
    """Run a job at targets that refuse items, given the ids of target and item."""

    async def act(world):
        world.targets.refuses = refuses
        await world.start_job()
        return await world.watch(duration_s, len(world.items))

    _play(context, act)


def _make_names(numbers):
    return [f"item{number}" for number in numbers]


@when("every target refuses the first {count:d} items for {duration_s:d} s")
def step_refuse(context, count, duration_s):
    refused = set(_make_names(range(count)))
    _play_refusals(context, duration_s, lambda _target_id, item_id: item_id in refused)


@when(
    "two owners are lost and every target refuses the first {count:d} items for "
    "{duration_s:d} s"
)
def step_lost_owners(context, count, duration_s):
    async def act(world):
        refused = set(_make_names(range(count)))
        world.targets.refuses = lambda _target_id, item_id: item_id in refused
        world.targets.refusing_services.update(item_world.SERVICES)
        runner = await world.start_job()
        await runner.release_jobs()
        world.tasks.pop().cancel()
        world.targets.refusing_services.clear()
        await world.take_over(lost_owners=2)
        return await world.watch(duration_s, len(world.items))

    _play(context, act)


@when("every target refuses all items for {duration_s:d} s while they {are}")
def step_full(context, duration_s, are):
    async def act(world):
        targets = list(world.fleet.directory.list_usable("lm-a"))
        world.targets.refuses = lambda _target_id, _item_id: True
        if are == "are full by others' counts":
            loads = {
                known.target.target_id: load_table.Load(online=5) for known in targets
            }
            report = load_table.LoadReport(loads, time.monotonic())
            world.fleet.board.set_report("front-9", report)

        async def refuse_online():
            while are == "refuse online requests":
                for known in targets:
                    known.health.record_refused(time.monotonic())
                await asyncio.sleep(1.0)

        refusing = asyncio.ensure_future(refuse_online())
        await world.start_job()
        context.listed_while_full = await world.watch(duration_s, 1)
        refusing.cancel()
        world.targets.refuses = lambda _target_id, _item_id: False
        return await world.watch(10.0, len(world.items))

    _play(context, act)


@then("no item is listed")
def step_none_listed(context):
    assert not context.listed_while_full, context.listed_while_full
    counts = [len(context.world.list_runs(f"item{number}")) for number in range(2)]
    assert min(counts) > 12, counts


@then("all items are completed once the targets take them")
def step_all_completed(context):
    assert list(context.states.values()) == [True, True], context.states


@when("every target refuses all items for {duration_s:d} s, and lm-b has no target")
def step_unserved(context, duration_s):
    async def act(world):
        world.remove_targets("lm-b")
        world.targets.refuses = lambda _target_id, _item_id: True
        await world.start_job()
        return await world.watch(duration_s, len(world.items))

    _play(context, act)


@when("every target but {target} refuses all items for {duration_s:d} s")
def step_one_takes(context, target, duration_s):
    _play_refusals(context, duration_s, lambda target_id, _item_id: target_id != target)


@when(
    "lm-b has the weight {weight:g} and every target of lm-a refuses all items for "
    "{duration_s:d} s"
)
def step_small_weight(context, weight, duration_s):
    async def act(world):
        world.set_route({"lm-a": 1.0, "lm-b": weight})
        world.targets.refusing_services.add("lm-a")
        await world.start_job()
        return await world.watch(duration_s, len(world.items))

    _play(context, act)


@then("the last {count:d} items are completed")
def step_completed(context, count):
    total = context.arguments[1]
    for name in _make_names(range(total - count, total)):
        assert context.states.get(name) is True, (name, context.states)


@then("the first {count:d} items are errored, after {least_s:d} to {most_s:d} s")
def step_errored(context, count, least_s, most_s):
    for name in _make_names(range(count)):
        assert context.states.get(name) is False, (name, context.states)
        listed_s = context.world.listed_s[name]
        assert least_s <= listed_s <= most_s, (name, listed_s)
        print(f"{name}: {listed_s:.1f} s, {len(context.world.list_runs(name))} sends")


@then("each refused item was sent at most {most:d} times")
def step_sends(context, most):
    counts = [len(context.world.list_runs(name)) for name in _make_names(range(19))]
    assert max(counts) <= most, counts


def _make_reply(status):
    return model.TargetReply(status, b"X", (), True, status == 421, b"", True, None)


def _refuse(judge, known, refusals, status=503, tokens=500):
    judge.record_refusal("digest", tokens, refusals, known, _make_reply(status))


@given("an item of {tokens:d} tokens has become doubtful on a route")
def step_doubtful(context, tokens):
    context.fleet = serving_fakes.Fleet(["t0"])
    context.judge = item_refusals.RefusalJudge(context.fleet.board)
    refusals = item_refusals.ItemRefusals()
    for _ in range(4):
        _refuse(context.judge, context.fleet.find("t0"), refusals, tokens=tokens)
    assert refusals.is_doubtful


@then("items of the route go last as follows")
def step_order(context):
    for row in context.table:
        goes_last = context.judge.goes_last(
            "digest", int(row["tokens"]), item_refusals.ItemRefusals()
        )
        assert goes_last == (row["goes last"] == "yes"), row


@when("a target takes an item of {tokens:d} tokens")
def step_taken(context, tokens):
    context.judge.record_taken("digest", tokens, item_refusals.ItemRefusals())


_ONLINE = {
    "took an online request": [("record_taken", 1.0)],
    "refused an online request": [("record_refused", 1.0)],
    "refused one and then took another": [
        ("record_refused", 2.0),
        ("record_taken", 1.0),
    ],
    "took one and then refused another": [
        ("record_taken", 2.0),
        ("record_refused", 1.0),
    ],
    "took one 6 s ago": [("record_taken", 6.0)],
    "refused one 6 s ago": [("record_refused", 6.0)],
    "had none": [],
}


@when(
    "a target that {online} refuses an item with status {status:d} and {load:d} of 8 "
    "slots in use"
)
def step_refusal(context, online, status, load):
    fleet = serving_fakes.Fleet(["t0"])
    known = fleet.find("t0")
    for name, age_s in _ONLINE[online]:
        getattr(known.health, name)(time.monotonic() - age_s)
    for _ in range(load):
        fleet.board.begin("t0", is_batch=False)
    judge = item_refusals.RefusalJudge(fleet.board)
    context.refusals = item_refusals.ItemRefusals()
    for _ in range(4):
        _refuse(judge, known, context.refusals, status)


@then("the refusal is {kind}")
def step_kind(context, kind):
    assert context.refusals.is_doubtful == (kind == "telling")


@when(
    "{count:d} items that fit are sent until they are taken, or proved too large, "
    "while {share:g} of all requests are refused"
)
def step_sends_until(context, count, share):
    generator = random.Random(_SEED)
    context.proved = 0
    for _ in range(count):
        refusals = item_refusals.ItemRefusals()
        while generator.random() < share and not refusals.are_final(["lm-a"]):
            # The refusal tells if the target has taken the request before it.
            if generator.random() >= share:
                refusals.record("lm-a")
        context.proved += refusals.are_final(["lm-a"])


@then("at most {most:d} of them are proved too large")
def step_proved(context, most):
    assert context.proved <= most, context.proved
