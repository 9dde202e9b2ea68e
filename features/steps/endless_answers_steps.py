import time

from behave import given, then, when

from features.support import endless_answers, serving_processes, serving_world
from standins import replica

_FOLLOW_S = 1.0
# Requests of others, one after the other, while the bytes come.
_OTHERS = 30
_OTHERS_GAP_S = 0.1
# A request outlives its route's timeout of 3 s by at most this.
_END_SLACK_S = 1.0


@given("{count:d} targets that send without end in {form}")
def step_targets(context, count, form):
    _begin(context, count, form, is_drip=False)


@given("{count:d} targets that send a byte a second in {form}")
def step_drips(context, count, form):
    _begin(context, count, form, is_drip=True)


def _begin(context, count, form, is_drip):
    trouble = endless_answers.Trouble(context.fleet)
    context.cleanups.append(trouble.stop)
    context.trouble = trouble
    trouble.add_targets(count, form, is_drip)
    sound = endless_answers.make_routes("lm")[0]
    sound |= {"name": "sound", "prefix": "/sound/"}
    trouble.add_routes([*endless_answers.make_routes(), sound])
    context.fleet.set_manner(plain_prefixes=("/sound/",), plain_bytes=1000)
    time.sleep(_FOLLOW_S)


def _start_others(context):
    """Begin requests of others at the sound targets, to the first daemon."""
    port = context.fleet.daemons[0].port
    context.others = [
        context.fleet.loop.begin(
            endless_answers.serve_others(port, path, _OTHERS, _OTHERS_GAP_S)
        )
        for path in ("/sound/", "/quote/")
    ]


@when("{count:d} clients send {kind} requests to them, and others to sound targets")
def step_calls(context, count, kind):
    _call(context, count, kind, None)


@when(
    "{count:d} clients that read {rate:d} bytes a second send {kind} requests to them, "
    "and others to sound targets"
)
def step_slow_calls(context, count, rate, kind):
    _call(context, count, kind, rate)


def _call(context, count, kind, rate):
    daemon = context.fleet.daemons[0]
    _start_others(context)
    started_s = time.monotonic()
    calls = context.trouble.loop.begin(
        endless_answers.call_all(daemon.port, f"/{kind}/", count, rate)
    )
    if rate is None:
        calls.result(30)
    context.elapsed_s = time.monotonic() - started_s
    context.responses = [item.result(30) for item in context.others]
    if rate is not None:
        calls.cancel()


@then("the daemon has used less memory than its VM has")
def step_memory(context):
    for daemon in context.fleet.daemons:
        assert daemon.process.poll() is None, "a daemon has ended"
        peak_bytes = endless_answers.read_peak_bytes(daemon)
        print(f"peak memory: {peak_bytes >> 20} MB")
        assert peak_bytes < endless_answers.VM_MEMORY_BYTES, peak_bytes >> 20


@then("all requests of others are answered in full")
def step_others(context):
    whole, streams = context.responses
    for responses in (whole, streams):
        assert all(item.status == 200 for item in responses), [
            item.status for item in responses
        ]
        assert all(item.is_complete for item in responses)
    assert all(len(item.body) == 1000 for item in whole)
    for number, item in enumerate(streams):
        expected = b"".join(replica.make_event(f"o{number}", n) for n in range(1, 7))
        assert item.body == expected, item


@then("the targets' calls have ended within the routes' timeout")
def step_ended(context):
    until_s = time.monotonic() + 3.0 + _END_SLACK_S
    while any(target.calls for target in context.trouble.targets):
        assert time.monotonic() < until_s, [t.calls for t in context.trouble.targets]
        time.sleep(0.05)
    assert any(target.most_calls for target in context.trouble.targets)


@then("the daemon counts a fault of its targets")
def step_faults(context):
    assert _count_faults(context) > 0


def _count_faults(context):
    daemon = context.fleet.daemons[0]
    request = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
    reply = context.fleet.loop.run(
        endless_answers.read_metrics(daemon.ip, daemon.metrics_port, request)
    )
    lines = reply.decode().splitlines()
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith("endivevane_target_faults_total{")
    )


@when("a job of {count:d} items is sent to them, and others' requests to sound targets")
def step_items(context, count):
    fleet = context.fleet
    routes = fleet.configuration["routes"]
    digest = next(route for route in routes if route["kind"] == "batch")
    digest["service"] = endless_answers.SERVICE
    context.trouble.add_routes([])
    time.sleep(_FOLLOW_S)
    request = serving_processes.make_job("e0b1", count)
    reply = fleet.ask(fleet.daemons[0], request)
    assert reply.status == 202, reply
    _start_others(context)
    context.responses = [item.result(30) for item in context.others]
    # Items go on after their first runs have ended.
    time.sleep(6.0)


@given("a store that answers without end from now on")
def step_store(context):
    fleet = context.fleet
    trouble = endless_answers.Trouble(fleet)
    context.cleanups.append(trouble.stop)
    context.trouble = trouble
    sound = endless_answers.make_routes("lm")[0]
    sound |= {"name": "sound", "prefix": "/sound/"}
    trouble.add_routes([sound])
    fleet.set_manner(plain_prefixes=("/sound/",), plain_bytes=1000)
    store = endless_answers.EndlessStore(fleet.store_port)
    trouble.loop.run(store.start())
    for daemon in fleet.daemons:
        daemon.write_settings(store.port)
        serving_processes.send_signal(daemon, serving_processes.signal.SIGHUP)
    time.sleep(2 * _FOLLOW_S)
    trouble.loop.run(_call_soon(store.begin_endless))
    context.cleanups.append(lambda: trouble.loop.run(store.stop()))
    context.endless_store = store


async def _call_soon(function):
    function()


@when("others send requests to sound targets for {duration_s:d} s")
def step_others_only(context, duration_s):
    _start_others(context)
    context.responses = [item.result(30) for item in context.others]
    time.sleep(max(0.0, duration_s - _OTHERS * _OTHERS_GAP_S))


@when("{count:d} jobs are submitted to each daemon meanwhile")
def step_jobs(context, count):
    fleet = context.fleet
    for daemon in fleet.daemons:
        for number in range(count):
            data = serving_processes.make_job(f"e{number}", 5, 1000)
            context.trouble.loop.begin(serving_world.send_request(daemon.port, data))


@then("the store has sent more than {least:d} MB")
def step_store_sent(context, least):
    assert context.endless_store.sent_bytes > least << 20, (
        context.endless_store.sent_bytes >> 20
    )


@given("a limit of {limit:d} MB for bodies")
def step_body_limit(context, limit):
    context.fleet.configuration["limits"]["maxBodyBytes"] = limit << 20
    trouble = endless_answers.Trouble(context.fleet)
    context.cleanups.append(trouble.stop)
    context.trouble = trouble
    sound = endless_answers.make_routes("lm")[0]
    sound |= {"name": "sound", "prefix": "/sound/"}
    trouble.add_routes([sound])
    context.fleet.set_manner(plain_prefixes=("/sound/",), plain_bytes=1000)
    time.sleep(_FOLLOW_S)


@when("{count:d} clients send bodies of {size:d} KB without their end, in {pieces}")
def step_bodies(context, count, size, pieces):
    port = context.fleet.daemons[0].port
    piece = endless_answers.BODY_PIECES[pieces]
    _start_others(context)
    bodies = context.trouble.loop.begin(
        endless_answers.send_bodies(port, "/sound/", count, piece, size << 10)
    )
    bodies.result(60)
    context.responses = [item.result(30) for item in context.others]


@given("sound targets whose whole responses have {size:d} MB")
def step_large(context, size):
    trouble = endless_answers.Trouble(context.fleet)
    context.cleanups.append(trouble.stop)
    context.trouble = trouble
    sound = endless_answers.make_routes("lm")[0]
    sound |= {"name": "sound", "prefix": "/sound/"}
    trouble.add_routes([sound])
    context.fleet.set_manner(plain_prefixes=("/sound/",), plain_bytes=size << 20)
    context.size = size << 20
    time.sleep(_FOLLOW_S)


@when("{count:d} clients request one each")
def step_large_requests(context, count):
    port = context.fleet.daemons[0].port
    context.large = context.fleet.loop.begin(
        endless_answers.serve_others(port, "/sound/", count, 0.0)
    ).result(30)


@then("each receives it in full")
def step_large_whole(context):
    assert [len(item.body) for item in context.large] == [context.size] * len(
        context.large
    ), [(item.status, len(item.body)) for item in context.large]
