import concurrent.futures
import json
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from behave import given, then, when

from features.support import serving_processes, serving_world
from standins import replica

_JOB = "job0001"


@given("a store, {targets:d} targets and {daemons:d} daemons")
def step_fleet(context, targets, daemons):
    context.fleet = serving_processes.Fleet(targets, daemons)
    context.cleanups.append(context.fleet.stop)


@given("targets that take {gap_ms:d} ms per event")
def step_slow(context, gap_ms):
    context.fleet.set_manner(gap_s=gap_ms / 1000)


@given("targets that take {gap_ms:d} ms for each of {events:d} events")
def step_long(context, gap_ms, events):
    context.events = events
    context.fleet.set_manner(gap_s=gap_ms / 1000, events=events)


@given("routes with a timeout of {limit_s:d} s")
def step_route_limit(context, limit_s):
    configuration = context.fleet.configuration
    for route in configuration["routes"]:
        route["timeoutMs"] = limit_s * 1000
    configuration["version"] += 5
    context.fleet.call(context.fleet.store.write, "op", "config", configuration)
    # The daemons follow the store by long polling.
    time.sleep(0.5)


@given("targets that answer items with {status:d}")
def step_status(context, status):
    context.fleet.set_manner(status=status)


def _daemon(context, which):
    return context.fleet.daemons[0 if which == "first" else 1]


@when("a client requests a stream from the {which} daemon")
@then("a client requests a stream from the {which} daemon")
def step_request_stream(context, which):
    request = serving_world.make_request()
    context.reply = context.fleet.ask(_daemon(context, which), request)


@then("the client has received the complete stream")
def step_complete_stream(context):
    count = getattr(context, "events", 6)
    expected = b"".join(replica.make_event("abc", n) for n in range(1, count + 1))
    assert context.reply.body == expected, context.reply
    assert context.reply.is_complete


@when("a job of {count:d} items is submitted to the {which} daemon")
def step_submit(context, count, which):
    context.count = count
    request = serving_processes.make_job(_JOB, count)
    context.reply = context.fleet.ask(_daemon(context, which), request)


@when(
    "a job of {count:d} items with a deadline of {wait_ms:d} ms is submitted to the "
    "{which} daemon"
)
def step_submit_short(context, count, wait_ms, which):
    context.count = count
    request = serving_processes.make_job(_JOB, count, wait_ms)
    context.reply = context.fleet.ask(_daemon(context, which), request)


@when("the same job is submitted to the {which} daemon")
def step_submit_again(context, which):
    step_submit(context, context.count, which)


@then("it is accepted")
def step_accepted(context):
    assert context.reply.status == 202, context.reply


@then("it is refused as not run")
def step_refused(context):
    assert context.reply.status == 503, context.reply
    assert float(context.reply.headers["retry-after"]) > 0


def _read(context, which, after=0):
    path = f"/api/lots/{_JOB}?after={after}"
    request = serving_processes.make_call("GET", path)
    reply = context.fleet.ask(_daemon(context, which), request)
    return json.loads(reply.body) if reply.status == 200 else None


@then("the {which} daemon lists {count:d} {state} results within {limit_s:g} s")
def step_results(context, which, count, state, limit_s):
    until_s = time.monotonic() + limit_s
    answer = None
    while time.monotonic() < until_s:
        answer = _read(context, which)
        if answer is not None and len(answer["results"]) == count:
            break
        time.sleep(0.1)
    assert answer is not None and len(answer["results"]) == count, answer
    expected = "completed" if state == "completed" else "errored"
    for result in answer["results"]:
        assert result["state"] == expected, result
        if expected == "completed":
            events = getattr(context, "events", 6)
            lines = [f"{result['id']} piece {n}" for n in range(1, events + 1)]
            assert result["text"] == "\n".join(lines), result
    context.results = answer["results"]


@then("each daemon lists the same results at the same positions")
def step_same_results(context):
    first, second = _read(context, "first"), _read(context, "second")
    assert first["results"] == second["results"]
    assert _read(context, "second", 4)["results"] == first["results"][4:]


@then("the body of an item is the submitted one")
def step_body(context):
    path = f"/api/items/{_JOB}?id={_JOB}item3"
    request = serving_processes.make_call("GET", path)
    reply = context.fleet.ask(context.fleet.daemons[1], request)
    assert (reply.status, reply.body) == (200, b"item 3"), reply


@then("a second submission of the job is accepted and runs nothing again")
def step_resubmit(context):
    before = sum(len(item.runs) for item in context.fleet.replicas)
    step_submit(context, context.count, "second")
    assert context.reply.status == 202
    time.sleep(1.0)
    after = sum(len(item.runs) for item in context.fleet.replicas)
    assert after == before, (before, after)


@given("targets that send {events:d} events per item, one every {gap_ms:d} ms")
def step_long(context, events, gap_ms):
    context.fleet.set_manner(events=events, gap_s=gap_ms / 1000)
    context.events = events


@then("the second daemon resumed after events that the first one had stored")
def step_resumed(context):
    # Progress is stored every 2 s once an item has 16 new events; 4.5 s allow that.
    starts = [run.last_event for item in context.fleet.replicas for run in item.runs]
    assert any(start >= 16 for start in starts), starts


@when("the {which} daemon is killed after {seconds:g} s")
def step_kill(context, which, seconds):
    time.sleep(seconds)
    assert any(item.runs for item in context.fleet.replicas)
    _daemon(context, which).process.kill()


@then("no item is listed twice")
def step_no_duplicates(context):
    ids = [result["id"] for result in context.results]
    assert len(set(ids)) == len(ids), ids


@when("the {which} daemon is asked to end it")
def step_end(context, which):
    time.sleep(0.7)
    request = serving_processes.make_call("DELETE", f"/api/lots/{_JOB}")
    reply = context.fleet.ask(_daemon(context, which), request)
    assert reply.status == 200, reply


@then("within {limit_s:g} s no target runs an item")
def step_stopped(context, limit_s):
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s and _list_running(context):
        time.sleep(0.05)
    assert not _list_running(context)
    count = sum(len(item.runs) for item in context.fleet.replicas)
    assert count
    time.sleep(1.0)
    assert sum(len(item.runs) for item in context.fleet.replicas) == count


def _list_running(context):
    return [
        run
        for item in context.fleet.replicas
        for run in item.runs
        if run.ended == "running"
    ]


@then("it stays ended when it is ended again")
def step_end_again(context):
    step_end(context, "first")


@then("each item has been sent to targets {count:d} times")
def step_runs(context, count):
    runs = [run.attempt for item in context.fleet.replicas for run in item.runs]
    for number in range(context.count):
        assert runs.count(f"{_JOB}item{number}") == count, runs


@when("the platform's store is down")
def step_store_down(context):
    context.fleet.store.faults.status = 503


@when("the platform's store is up again")
def step_store_back(context):
    context.fleet.store.faults.status = 0
    # A feed that failed retries within half a second.
    time.sleep(1.0)


@when("the client waits {seconds:g} s")
def step_wait(context, seconds):
    time.sleep(seconds)


@when("the first daemon cannot reach the store")
def step_unreachable_store(context):
    # Nothing listens on the store port in the daemon's new settings.
    daemon = context.fleet.daemons[0]
    daemon.write_settings(serving_processes.find_free_ports(1)[0])
    daemon.process.send_signal(signal.SIGHUP)
    time.sleep(3.5)


@when("the operator adds a route")
def step_add_route(context):
    configuration = context.fleet.configuration
    added = {**configuration["routes"][0], "name": "new", "prefix": "/new/"}
    configuration["routes"].append(added)
    configuration["version"] += 5
    context.fleet.call(context.fleet.store.write, "op", "config", configuration)
    context.changed_s = time.monotonic()


@then("the {which} daemon serves the route within {limit_ms:d} ms")
def step_served(context, which, limit_ms):
    request = serving_world.make_request("/new/1")
    while True:
        reply = context.fleet.ask(_daemon(context, which), request)
        took_ms = (time.monotonic() - context.changed_s) * 1000
        if reply.status == 200:
            break
        assert took_ms < limit_ms, reply
        time.sleep(0.05)
    assert took_ms < limit_ms + 500, took_ms


@when("a client requests a stream from the first daemon, which then gets SIGTERM")
def step_stop(context):
    daemon = context.fleet.daemons[0]
    request = serving_world.make_request()
    with concurrent.futures.ThreadPoolExecutor() as executor:
        asking = executor.submit(context.fleet.ask, daemon, request)
        time.sleep(0.4)
        context.stopped_s = time.monotonic()
        serving_processes.send_signal(daemon)
        time.sleep(0.2)
        context.was_ready = daemon.is_ready()
        context.reply = asking.result()


@given("targets that send whole responses after {first_s:g} s")
def step_late_whole(context, first_s):
    context.fleet.set_manner(plain=True, first_s=first_s)


@given("routes whose requests may run once")
def step_once(context):
    # The next change of the configuration writes it.
    context.fleet.configuration["routes"][0]["kind"] = "unsafe"


@given("the first daemon has a grace of {grace_s:g} s")
def step_grace(context, grace_s):
    daemon = context.fleet.daemons[0]
    text = daemon.path.read_text()
    daemon.path.write_text(f"{text}[stopping]\ngrace_s = {grace_s}\n")
    daemon.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)


@when("{count:d} clients request a response and the first daemon gets SIGTERM")
def step_stop_under_requests(context, count):
    daemon = context.fleet.daemons[0]
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        asking = []
        for number in range(count):
            request = serving_world.make_request(attempt=f"attempt{number}")
            asking.append(executor.submit(context.fleet.ask, daemon, request))
            time.sleep(0.05)
        time.sleep(0.3)
        context.stopped_s = time.monotonic()
        serving_processes.send_signal(daemon)
        context.replies = {
            f"attempt{number}": item.result() for number, item in enumerate(asking)
        }


def _split_by_run(context):
    ran = {run.attempt for item in context.fleet.replicas for run in item.runs}
    sent = {name: reply for name, reply in context.replies.items() if name in ran}
    unsent = {name: reply for name, reply in context.replies.items() if name not in ran}
    return sent, unsent


@then("each client whose request was sent to a target gets status {status:d}")
def step_sent_status(context, status):
    sent, _ = _split_by_run(context)
    assert sent, context.replies
    for name, reply in sent.items():
        assert (reply.status, reply.is_complete) == (status, True), (name, reply)


@then("the other clients are told that their request has not run")
def step_unsent_status(context):
    _, unsent = _split_by_run(context)
    assert unsent, context.replies
    for name, reply in unsent.items():
        assert reply.status == 503 and reply.is_complete, (name, reply)
        assert reply.headers["connection"] == "close", (name, reply)


@then("the daemon fails its readiness check at once")
def step_not_ready(context):
    assert not context.was_ready


@then("the daemon exits with status 0 within {limit_s:g} s")
def step_ended(context, limit_s):
    left_s = context.stopped_s + limit_s - time.monotonic()
    assert context.fleet.daemons[0].process.wait(left_s) == 0


@then("its log has no traceback")
def step_no_traceback(context):
    text = context.fleet.daemons[0].log_path.read_text()
    assert "Traceback" not in text, text[-2000:]


@when("the first daemon's settings file becomes invalid and it gets SIGHUP")
def step_invalid_settings(context):
    daemon = context.fleet.daemons[0]
    text = daemon.path.read_text().replace("[stopping]", "")
    daemon.path.write_text(text + "[stopping]\ngrace_s = -1\n")
    daemon.process.send_signal(signal.SIGHUP)
    time.sleep(0.5)


@then("its log names the file, the key and the reason")
def step_invalid_logged(context):
    daemon = context.fleet.daemons[0]
    log = daemon.log_path.read_text()
    (line,) = [item for item in log.splitlines() if "settings_refused" in item]
    for part in (str(daemon.path), "stopping.grace_s", "greater than 0"):
        assert part in line, line


@when(
    "the first daemon is killed and starts again, and gets SIGHUP {count:d} times "
    "meanwhile"
)
def step_signal_at_start(context, count):
    daemon = context.fleet.daemons[0]
    daemon.stop()
    daemon.start()
    _wait_until(lambda: _handles_hangup(daemon.process))
    for _ in range(count):
        daemon.process.send_signal(signal.SIGHUP)
        time.sleep(0.02)
        assert daemon.process.poll() is None, daemon.process.returncode
    _wait_until(daemon.is_ready)


def _wait_until(is_reached, limit_s=10.0):
    until_s = time.monotonic() + limit_s
    while not is_reached():
        assert time.monotonic() < until_s
        time.sleep(0.001)


def _handles_hangup(process):
    """Return whether a process ignores SIGHUP, as from the start of its code."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (ignored,) = [line for line in status.splitlines() if line.startswith("SigIgn:")]
    return bool(int(ignored.split()[1], 16) & 1 << (signal.SIGHUP - 1))


@when("a settings file without a store is checked")
def step_check(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        path.write_text('[vm]\nname = "a"\n')
        context.run = subprocess.run(
            [
                sys.executable,
                "-m",
                "endivevane.entry.start",
                "--config",
                str(path),
                "--check",
            ],
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )


@then('the check fails with status {status:d} and names "{key}"')
def step_check_failed(context, status, key):
    assert context.run.returncode == status, context.run
    assert key in context.run.stderr, context.run


@when("the platform's store stops answering and the first daemon gets SIGTERM")
def step_stop_without_store(context):
    time.sleep(0.7)
    context.fleet.store.faults.silent = True
    context.stopped_s = time.monotonic()
    serving_processes.send_signal(context.fleet.daemons[0])


@then("{seconds:g} s later it accepts no connection")
def step_no_connection(context, seconds):
    time.sleep(context.stopped_s + seconds - time.monotonic())
    daemon = context.fleet.daemons[0]
    assert daemon.process.poll() is None, "the daemon has exited already"
    try:
        socket.create_connection(("127.0.0.1", daemon.port), 1).close()
    except ConnectionRefusedError:
        return
    raise AssertionError("a connection was accepted")
