import asyncio

from behave import given, then, when

from endivevane import metrics
from endivevane.platform import table_store
from endivevane.serving import failures, http_client
from features.support import (
    early_answers,
    endless_answers,
    scripted_world,
    serving_world,
)
from standins import early_replica, replica, scripted_replica

_ENDS = {"a reset": "reset", "its end": "shut", "silence": "hold", "reading": "read"}
_REFUSAL = (
    b"HTTP/1.1 503 X\r\nAttempt-Id: $ID\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# More than a daemon sends one request.
_MANY = 40
_LARGE_BYTES = 2 << 20
_FAULT_LABEL = "broken_answer"
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_LAST_LINES = {
    "two spaces": b" 200 X",
    "199 as its last one": b"199 X",
    "100 as its last one": b"100 X",
}


def _set(context, make, end, **options):
    context.make, context.end, context.options = make, end, options


@given(
    "targets whose first answer is a 200 with part of a body in {framing}, then {end}"
)
def step_part(context, framing, end):
    _set(
        context,
        lambda kind: early_answers.make_answer(kind, framing, is_whole=False),
        _ENDS[end],
    )


@given(
    "targets whose first answer is interim, then a 200 with part of a body in "
    "{framing}, then {end}"
)
def step_interim(context, framing, end):
    _set(
        context,
        lambda kind: early_answers.make_answer(
            kind, framing, is_whole=False, has_interim=True
        ),
        _ENDS[end],
    )


@given("targets whose first answer is a 200 with a whole body in {framing}, then {end}")
def step_whole_early(context, framing, end):
    _set(
        context,
        lambda kind: early_answers.make_answer(kind, framing, is_whole=True),
        _ENDS[end],
    )


@given("targets whose answers are 2 MB without a length, then a reset")
def step_large(context):
    _set(
        context,
        lambda kind: early_answers.make_head(kind) + b"\r\n" + b"x" * _LARGE_BYTES,
        "reset",
    )


@given("targets whose first answer is a refusal, then {end}")
def step_refusal(context, end):
    _set(context, lambda _kind: _REFUSAL, _ENDS[end], is_run=False)


@given("targets whose answers are refusals, then {end}")
def step_refusals(context, end):
    _set(context, lambda _kind: _REFUSAL, _ENDS[end], is_run=False, times=_MANY)


@given('targets whose first answer has the status line "{line}"')
def step_status(context, line):
    _set_line(context, line.encode())


@given("targets whose first answer has {line}")
def step_last_line(context, line):
    _set_line(context, _LAST_LINES[line])


def _set_line(context, line):
    _set(
        context,
        lambda kind: early_answers.make_answer(
            kind, "a length", is_whole=True, status_line=line
        ),
        "keep",
        is_early=False,
    )


def _send(context, cases, size=None):
    context.cases = cases
    plays = [
        early_answers.play(
            case, context.make(case.kind), context.end, size=size, **context.options
        )
        for case in cases
    ]
    context.replies = asyncio.run(scripted_world.gather_few(plays, limit=4))


def _list_cases(kinds):
    return [case for case in early_answers.CASES if case.kind in kinds]


@when("clients send uploads of {size:d} MB of each kind, with 1 and 2 attempts allowed")
def step_uploads(context, size):
    _send(context, early_answers.CASES, size << 20)


@when(
    "clients send uploads of {size:d} MB of each online kind, with 1 and 2 attempts "
    "allowed"
)
def step_online_uploads(context, size):
    _send(context, _list_cases(("whole", "once", "stream")), size << 20)


@when("clients send uploads of {size:d} MB of kind {kind}, with 1 attempt allowed")
def step_upload(context, size, kind):
    _send(context, [early_answers.Case(kind, 1)], size << 20)


@when("clients send requests of each kind, with 1 and 2 attempts allowed")
def step_requests(context):
    _send(context, early_answers.CASES)


@when("clients send requests of kind {kind}, with 1 attempt allowed")
def step_request(context, kind):
    _send(context, [early_answers.Case(kind, 1)])


def _is_whole(case, reply):
    expected = early_answers.expect_body(case.kind)
    if case.kind == "item":
        texts = early_answers.expect_texts()
        return reply.pieces == texts
    return reply.status == 200 and reply.is_complete and reply.body == expected


def _find(context, is_bad):
    pairs = zip(context.cases, context.replies, strict=True)
    return [(case, reply) for case, reply in pairs if is_bad(case, reply)]


@then("each that has attempts left is answered in full by the other target")
def step_elsewhere(context):
    bad = _find(context, lambda c, r: c.may_run_again and not _is_whole(c, r))
    assert not bad, bad


@then("all others fail, or end with their connection")
def step_fail(context):
    def is_bad(case, reply):
        if case.kind == "item":
            # A job's item is run until it is completed.
            return not _is_whole(case, reply)
        if not reply.is_complete:
            # The client saw its connection end before the response did.
            return reply.status not in (0, 200)
        # A stream that had begun goes on elsewhere, since its runs had events.
        return reply.status not in (502, 504) and not (
            _is_whole(case, reply) and reply.runs > 1
        )

    bad = _find(context, is_bad)
    assert not bad, bad


@then("each is answered in full within {limit:f} s")
def step_in_full(context, limit):
    bad = _find(
        context,
        lambda c, r: (
            not _is_whole(c, r) or (c.kind != "item" and r.elapsed_s > limit)
        ),
    )
    assert not bad, bad


@then("each has run once")
def step_once(context):
    bad = _find(context, lambda c, r: c.kind != "item" and r.runs != 1)
    assert not bad, bad


@then("each is refused with 503, and none has run")
def step_refused(context):
    bad = _find(context, lambda _c, r: r.status != 503 or r.runs)
    assert not bad, bad


@then("each has the status {status:d} and no body")
def step_bodiless(context, status):
    bad = _find(
        context, lambda _c, r: r.status != status or r.body or not r.is_complete
    )
    assert not bad, bad


@given("a target that answers its second request on a connection with the status 600")
def step_kept(context):
    sound = scripted_world.make_plain(
        200, b"ok", lines=b"Response-Signature: sig-$ID\r\n"
    )
    context.acts = [
        scripted_replica.Act(sound),
        scripted_replica.Act(scripted_world.make_plain(600, b"ok")),
    ]


def _count_faults():
    return metrics.TARGET_FAULTS.labels(_FAULT_LABEL)._value.get()


@when("a client sends two requests one after the other")
def step_two(context):
    async def act(world):
        replies = []
        for attempt in ("abc", "abd"):
            request = serving_world.make_request(attempt=attempt)
            replies.append(await serving_world.send_request(world.port, request))
        assert world.replicas["a"].connections == 1, "the connection was not kept"
        return replies

    before = _count_faults()
    configuration = serving_world.make_configuration(
        kind="safe", resumable=False, maxAttempts=1
    )
    context.replies = asyncio.run(
        scripted_world.serve(configuration, ("a",), context.acts, act)
    )
    context.faults = _count_faults() - before


@then("the second one fails, and the daemon counts one fault of its target")
def step_fault(context):
    assert [reply.status for reply in context.replies] == [200, 502], context.replies
    assert context.faults == 1, context.faults


_FORMS = {
    "part of a 200 without a length": ("no length", b"200 OK", "reset"),
    "an ended 200 without a length": ("no length", b"200 OK", "shut"),
    "part of a 200 in chunks": ("chunks", b"200 OK", "reset"),
    "the status 600": ("a length", b"600 X", "read"),
    "the status 099": ("a length", b"099 X", "read"),
}
_PROCESS_KINDS = {"whole": "/whole/1", "once": "/once/1", "stream": "/stream/1"}


async def _call(function):
    function()


def _add_target(context, acts):
    context.trouble = endless_answers.Trouble(context.fleet)
    context.cleanups.append(context.trouble.stop)
    target = early_replica.EarlyReplica("early", acts)
    context.acts = acts
    context.trouble.targets.append(target)
    loop, fleet = context.trouble.loop, context.fleet
    loop.run(target.start())
    entry = target.describe(endless_answers.SERVICE)
    fleet.call(fleet.store.write, "servers", target.name, entry)
    fleet.configuration["limits"]["maxBodyBytes"] = 4 << 20
    context.trouble.add_routes(endless_answers.make_routes())


@given("a target that answers uploads with {form}")
def step_process_target(context, form):
    if form == "refusals, beside a sound one":
        step_process_refusals(context)
        return
    context.framing, context.line, context.end = _FORMS[form]
    context.act = None
    _add_target(context, [])


def step_process_refusals(context):
    context.act = early_replica.Act(_REFUSAL, "hold", is_run=False)
    _add_target(context, [])
    sound = replica.Replica("sound")
    sound.manner.plain_prefixes = ("/whole/", "/once/")
    context.trouble.targets.append(sound)
    context.trouble.loop.run(sound.start())
    entry = sound.describe(endless_answers.SERVICE)
    context.fleet.call(context.fleet.store.write, "servers", "sound", entry)


@when("clients send uploads of {size:d} MB of each kind to the daemon")
def step_process_uploads(context, size):
    early_answers.wait_for_configuration(context.fleet)
    # A kept connection would be served as by a sound target.
    target = context.trouble.targets[0]
    context.trouble.loop.run(_call(target.break_connections))
    context.cases, context.replies = [], []
    for kind, path in _PROCESS_KINDS.items():
        act = context.act or early_replica.Act(
            early_answers.make_answer(
                kind,
                context.framing,
                is_whole=context.end == "read",
                status_line=context.line,
            ),
            context.end,
        )
        context.acts[:] = [act] * (1 if context.act else _MANY)
        request = serving_world.make_request(
            path, early_answers.ATTEMPT, b"x" * (size << 20)
        )
        context.cases.append(early_answers.Case(kind, 2))
        context.replies.append(context.fleet.ask(context.fleet.daemons[0], request))


@then("none has a whole answer, and none is told that it has not run")
def step_process_none(context):
    bad = _find(
        context,
        lambda _c, r: (r.is_complete and r.status not in (502, 504)) or not r.status,
    )
    assert not bad, bad


@then("each has a whole answer")
def step_process_whole(context):
    bad = _find(context, lambda c, r: not _is_whole(c, r))
    assert not bad, bad


@then("the daemon still answers an ordinary request")
def step_process_sound(context):
    daemon = context.fleet.daemons[0]
    reply = context.fleet.ask(daemon, serving_world.make_request(attempt="abd"))
    assert reply.status == 200, reply
    assert reply.is_complete, reply


@given("a store that answers an object with 200 before it has read it")
def step_store(context):
    context.data = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


@when("an object of {size:d} MB is stored")
def step_store_object(context, size):
    async def run():
        acts = [early_replica.Act(context.data, "hold")]
        target = early_replica.EarlyReplica("store", acts)
        await target.start()
        endpoint = http_client.Endpoint("127.0.0.1", target.port)
        store = table_store.TableStore(
            http_client.ConnectionPool(1.0), lambda: (endpoint,)
        )
        try:
            await store.put_object("name", b"x" * (size << 20))
        finally:
            await target.stop()

    try:
        asyncio.run(run())
    except failures.StoreFailure as error:
        context.error = error
    else:
        context.error = None


@then("the call fails as uncertain")
def step_store_uncertain(context):
    assert isinstance(context.error, failures.StoreUncertain), context.error
