import random
import time
import tracemalloc

from behave import given, then, when

from endivevane import logs, testing
from endivevane.batch import (
    chunks,
    items,
    looking,
    picking,
    ports,
    records,
    segments,
    slack,
    work_source,
)
from endivevane.configuration import snapshot
from endivevane.coordination import clock, store
from endivevane.daemon import settings
from endivevane.external import engine
from endivevane.types import parse_address
from features.support import batch_fleet, batch_local, batch_world

_NOW_MS = 1_000_000


@given("a target with {slots:d} slots and a reserve of {reserve:d}")
def step_target(context, slots, reserve):
    context.slots, context.reserve = slots, reserve
    context.use, context.hold = slack.OwnUse(), slack.Hold()
    context.held_slots = 0


@given("a report of {running:d} running and {waiting:d} waiting, {age_ms:d} ms old")
def step_report(context, running, waiting, age_ms):
    context.as_of_ms = _NOW_MS - age_ms
    context.report = engine.LoadReport(
        context.as_of_ms / 1000, running, waiting, context.slots, (), "both", 0.0, 0
    )


@given("{count:d} own items in flight that the report has seen")
def step_own(context, count):
    context.own = count
    context.use.change(context.as_of_ms - 1000, count)


@given("{count:d} own items sent after the report")
def step_new(context, count):
    context.use.change(context.as_of_ms + 400, count)


def _compute_room(context, held):
    return slack.compute_room(
        context.report,
        context.reserve,
        context.use,
        slack.OnlineUse(),
        _NOW_MS,
        held,
    )


@then("there is room for {room:d} more items")
def step_check_room(context, room):
    found = _compute_room(context, context.hold.count(0.0))
    assert found == room, found


@then("there is room for {room:d} more items after {delay_s:f} s")
def step_check_room_later(context, room, delay_s):
    found = _compute_room(context, context.hold.count(delay_s))
    assert found == room, found


@when("{count:d} slots are taken back")
def step_yield(context, count):
    context.hold.add(0.0, count)
    running = [(float(index), f"attempt-{index}") for index in range(context.own)]
    context.victims = slack.choose_victims(running, count)


@then("the {count:d} youngest items are chosen")
def step_check_victims(context, count):
    expected = [
        f"attempt-{index}"
        for index in range(context.own - 1, context.own - 1 - count, -1)
    ]
    assert context.victims == expected, context.victims


@given("daemons in two regions")
def step_daemons(context):
    context.members = [
        ports.Member(f"d{index}", 1, "west" if index < 6 else "east")
        for index in range(9)
    ]
    address = parse_address("127.0.0.1:1")
    context.targets = [
        snapshot.Target(f"t{n}", "s", address, "z", region, 16, False, False)
        for n, region in enumerate(["west"] * 20 + ["east"] * 20)
    ]


@then("each target has one sender in its own region")
def step_check_senders(context):
    regions = {member.name: member.region for member in context.members}
    context.senders = {}
    for target in context.targets:
        shuffled = random.Random(3).sample(context.members, len(context.members))
        senders = {
            slack.choose_sender(target, context.members),
            slack.choose_sender(target, shuffled),
        }
        assert len(senders) == 1, senders
        context.senders[target.name] = senders.pop()
        assert regions[context.senders[target.name]] == target.region


@then("the death of a sender moves only its own targets")
def step_check_moves(context):
    dead = context.senders["t0"]
    left = [member for member in context.members if member.name != dead]
    for target in context.targets:
        sender = slack.choose_sender(target, left)
        assert sender != dead
        if context.senders[target.name] != dead:
            assert sender == context.senders[target.name]


def _make_open(name, organisation, count, deadline_s):
    return records.OpenJob(
        name,
        organisation,
        int(deadline_s * 1000),
        0,
        count,
        -(-count // 512),
        "m",
        "f",
    )


@given("open jobs")
def step_open_jobs(context):
    context.candidates = [
        picking.Candidate(
            _make_open(
                row["job"],
                row["organisation"],
                int(row["items"]),
                float(row["deadline_s"]),
            ),
            int(row["items"]),
        )
        for row in context.table
    ]


@then('the order at {rate:d} items per s is "{names}"')
def step_check_order(context, rate, names):
    order = picking.order_jobs(context.candidates, rate, 0, {})
    found = " ".join(item.job.job_id for item in order.all)
    assert found == names, found


@then('the risks at {rate:d} items per s are "{text}"')
def step_check_risks(context, rate, text):
    events = []
    logs.add_observer(lambda event, fields: events.append((event, fields)))
    context.cleanups.append(logs._observers.pop)
    context.events = events
    reporter = picking.RiskReporter()
    for _ in range(2):
        order = picking.order_jobs(context.candidates, rate, 0, {})
        risks = reporter.report(order, rate, 0, "d", ["d"])
    found = " ".join(f"{name}={risk}" for name, risk in risks.items())
    assert found == text, found


@then('the log reported "{name}" once in two reports')
def step_check_reported(context, name):
    reported = [
        fields["job_id"]
        for event, fields in context.events
        if event == "batch_job_risk"
    ]
    assert reported == [name], reported


@given("{count:d} open jobs of one chunk and {daemons:d} daemons")
def step_many_jobs(context, count, daemons):
    context.candidates = [
        picking.Candidate(_make_open(f"job{n}", "acme", 100, 1000), 100)
        for n in range(count)
    ]
    context.daemons = [f"d{n}" for n in range(daemons)]


@then("at least {least:d} different jobs are first for some daemon")
def step_check_spread(context, least):
    order = picking.order_jobs(context.candidates, 1000.0, 0, {})
    firsts = {
        picking.rank_for_daemon(order.all, name, context.daemons, 512)[0].job.job_id
        for name in context.daemons
    }
    assert len(firsts) >= least, firsts


@when("a file of {count:d} lines arrives in pieces of 64 KiB")
def step_upload(context, count):
    line = "\n".join(batch_fleet.make_lines(count, "m")).encode() + b"\n"
    context.file = line

    class Sizes:
        def __init__(self):
            self.parts = []

        def put(self, _key, data, create_only=False):
            self.parts.append(bytes(data))
            return batch_local.result.Ok(None)

    context.objects = Sizes()
    writer = segments.SegmentWriter(context.objects, "u")
    peak = 0
    tracemalloc.start()
    for start in range(0, len(line), 65536):
        writer.write(line[start : start + 65536])
        stored = sum(len(part) for part in context.objects.parts)
        peak = max(peak, tracemalloc.get_traced_memory()[0] - stored)
    writer.seek(0)
    tracemalloc.stop()
    context.summary = writer.summarize()
    context.peak = peak


@then(
    "it is stored in {count:d} segments of at most {lines:d} lines and {size:d} bytes"
)
def step_check_segments(context, count, lines, size):
    parts = context.objects.parts
    assert len(parts) == context.summary.segments == count, len(parts)
    assert all(part.count(b"\n") <= lines for part in parts)
    assert all(len(part) <= size for part in parts)


@then("the writer used at most {limit:d} MiB at once")
def step_check_memory(context, limit):
    print(f"used {context.peak / 2**20:.1f} MiB, file {len(context.file)} bytes")
    assert context.peak <= limit << 20, context.peak


@then("the concatenated segments equal the file")
def step_check_whole(context):
    assert b"".join(context.objects.parts) == context.file


@given("a runner with an engine of {slots:d} slots and items of {item_ms:d} ms")
def step_runner(context, slots, item_ms):
    context.world = batch_world.World(context, slots, item_ms)
    context.runner = context.world.start_runner(context, "d1")


@when("items run in {running:d} slots and {count:d} of them are taken back")
def step_preempt(context, running, count):
    world = context.world
    batch_world.wait_until(
        lambda: len(world.runs("started")) == running,
        15,
        "the items did not start in time",
    )
    body = {"target": world.target.name, "slots": count}
    context.runner.receive_yield("d2", body)
    context.asked_at_s = time.time()


@then("the engine has cancelled {count:d} runs within {limit_s:d} s")
def step_check_preempted(context, count, limit_s):
    world = context.world
    batch_world.wait_until(
        lambda: len(world.runs("cancelled")) == count,
        limit_s,
        f"cancelled: {len(world.runs('cancelled'))}",
    )
    time.sleep(0.3)
    assert len(world.runs("cancelled")) == count


@then("the cancelled items are not failed")
def step_check_not_failed(context):
    held = list(context.runner._held.values())
    assert len(held) == 1
    assert not held[0].lines, held[0].lines
    assert all(
        item.broken_attempts == item.refusals == 0
        for item in [*held[0].fresh, *held[0].suspects]
    )


@when("the runner is drained after some items have ended")
def step_drain(context):
    world = context.world
    batch_world.wait_until(
        lambda: len(world.runs("finished")) >= 12, 15, "too few items finished in time"
    )
    context.runner.drain(5.0)
    context.finished = len(world.runs("finished"))


@then("the chunk is released with the finished results")
def step_check_released(context):
    world = context.world
    (row,) = world.store.rows("chunks").values()
    chunk = records.decode(records.Chunk, row.value)
    assert chunk.state == records.ChunkState.RELEASED, chunk
    lines = items.decode_results(world.objects.data[chunk.partial])
    assert len(lines) == context.finished, (len(lines), context.finished)
    assert chunks.is_claimable(row, chunks.Owner("d2", 1), False, lambda *_: False)


@then("another runner completes the job without running finished items again")
def step_check_continued(context):
    world = context.world
    del world.hub.nodes["d1"]
    world.start_runner(context, "d2")

    def is_done():
        return world.store.rows("jobs")[world.job_id].value["state"] == "completed"

    batch_world.wait_until(is_done, 20, "the job did not complete in time")
    finished = [run["attempt_id"].split("-")[2] for run in world.runs("finished")]
    assert len(finished) == len(set(finished)) == 60, len(finished)


class _OneModelSender:
    """An item sender whose targets serve one model only."""

    def find_service(self, job):
        return "own" if job.model == "own" else "other"

    def has_targets(self, service):
        return service == "own"

    def estimate_items_per_s(self, _item_s):
        return 100.0


@given("a runner that serves one of two models and {count:d} open jobs")
def step_two_models(context, count):
    context.store = testing.MemoryTableStore()
    context.clock = clock.ManualClock(wall_ms=1_000_000)
    for index in range(count):
        # Every 20th job, starting with the 6th, is for the served model.
        is_own = index >= 5 and index % 20 == 5
        job = records.Job(
            f"job{index}",
            "org",
            "f",
            items.ENDPOINT,
            "1h",
            None,
            1,
            2_000_000 + index,
            100,
            1,
            "u",
            "own" if is_own else "x",
            0,
        )
        row = records.make_open_row(job)
        context.store.transact(
            "setup",
            [],
            [
                store.Write("jobs", job.job_id, records.encode(job)),
                store.Write("open", records.make_open_key(row), records.encode(row)),
            ],
        )
    hub = batch_local.Hub(batch_local.make_snapshot([("127.0.0.1:1", 8)]))
    context.inbox = []
    context.finder = looking.WorkFinder(
        settings.BatchSection(),
        context.store,
        batch_local.MemoryObjects(),
        batch_local.LocalCluster(hub, "d1"),
        context.clock,
        context.inbox.append,
    )
    context.cleanups.append(context.finder.stop)


def _list_once(context):
    context.clock.advance(20.0)
    context.finder.list_open((), True, context.clock.monotonic_s())
    batch_world.wait_until(
        lambda: context.inbox, 5, "the open jobs were not listed in time"
    )
    listed = context.inbox.pop().outcome.ok_value
    context.finder.record_listing_ended()
    for job_id in listed.ended:
        context.finder.remove_job(job_id)
    context.finder.apply_open_jobs(listed, _OneModelSender())


def _list_own(context):
    candidates = context.finder._order.all
    return sorted(item.job.job_id for item in candidates if item.job.model == "own")


@when("it has listed the open jobs as often as there are pages")
def step_list_often(context):
    for _ in range(-(-400 // work_source.PAGE) + 1):
        _list_once(context)


@then("all {count:d} open jobs of its model are candidates")
def step_check_candidates(context, count):
    own = _list_own(context)
    assert len(own) == count, own


@then("a job that has ended is no candidate after the next listing")
def step_check_ended(context):
    job_id = "job205"
    row = context.store.rows("jobs")[job_id]
    ended = {**row.value, "state": "completed"}
    key = next(
        key
        for key, item in context.store.rows("open").items()
        if item.value["job_id"] == job_id
    )
    context.store.transact(
        "end", [], [store.Write("jobs", job_id, ended), store.Write("open", key, None)]
    )
    owner = chunks.Owner("d1", 1)
    outcome = context.finder._source.claim_from(job_id, owner, set())
    assert outcome.ok_value is None
    _list_once(context)
    assert job_id not in _list_own(context)
