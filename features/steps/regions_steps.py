import json
import time
import urllib.request

from behave import given, then, when

from endivevane.ctl import exits
from features.support import engine_caller, region_fleet, region_plan

_RECOVERY_LIMIT_S = 12.0
# The published target for the first token. While long requests hold all local slots, a
# short one also waits for one of them to complete (200 tokens of 20 ms).
_FIRST_TOKEN_S = 1.7
_LONG_S = 4.0
_LONG_TOKENS = 200
_BURST_SIZE = 20
_OTHER_DEADLINE_S = 61.0


def _start(context, **plan):
    context.regions = region_fleet.RegionFleet(**plan)
    context.cleanups.append(context.regions.close)
    context.regions.start()
    daemons = context.regions.fleet.daemons
    context.first = [item for item in daemons if item.zone == "zone-a"]
    context.second = [item for item in daemons if item.zone == "zone-c"]


def _all_samples(context, daemons, accepts):
    latest = [context.regions.latest(item) for item in daemons]
    return all(item is not None and accepts(item) for item in latest)


@given("two regions with online callers in each")
def step_online(context):
    _start(context)
    context.regions.start_callers()


@given("long requests of which some spilled into the other region")
def step_spill(context):
    regions = context.regions
    regions.start_long_calls(context.first[0], _BURST_SIZE, _LONG_TOKENS)
    remote = [item for item in regions.fleet.engines if item.zone == "zone-c"]

    def has_spilled():
        runs = [run for item in remote for run in item.record()["runs"]]
        return sum(run["state"] == "started" and run["tokens"] > 20 for run in runs) > 2

    engine_caller.wait_until(has_spilled, 10.0, "nothing spilled into the other region")


@when("the link between the regions goes silent")
def step_silent(context):
    context.regions.cut(is_silent=True)


def _publish(context, *arguments):
    """Publish another deadline, or the same files again after a failed confirmation."""
    running = context.regions.fleet
    path = running.documents / "answers.endivevane.toml"
    text = path.read_text()
    if "[online]" not in text:
        path.write_text(f"{text}\n[online]\ndeadline_s = {_OTHER_DEADLINE_S}\n")
    command = ("--output", "json", "publish", str(running.documents), *arguments)
    run = running.run_ctl(*command)
    body = json.loads(run.stdout)
    context.revision = body["revision"]
    return run, body


@then('a publish ends as not confirmed by "{zone}"')
def step_not_confirmed(context, zone):
    run, body = _publish(context, "--wait-s", "3")
    assert run.returncode == exits.Exit.NOT_CONFIRMED, run
    assert body["unconfirmed_zones"] == [zone] and not body["accepted"], body


@then('a publish that excludes "{zone}" is accepted and in force in the first region')
def step_excluded(context, zone):
    run, body = _publish(context, "--exclude-zone", zone)
    assert run.returncode == 0 and body["accepted"], run
    _check_head(context, [zone])
    for daemon in context.first:
        sample = context.regions.latest(daemon)
        assert sample is None or sample.revision == context.revision


def _check_head(context, excluded):
    store = context.regions.fleet.store
    _, _, head = engine_caller.get(store.address, "/v1/rows/config/head")
    assert head["value"]["state"] == "accepted", head
    assert head["value"]["excluded_zones"] == excluded, head


@then("the same publish is accepted without an excluded zone")
def step_accepted(context):
    run, body = _publish(context)
    assert run.returncode == 0 and body["accepted"] and not body["changed"], run
    _check_head(context, [])


@when("a daemon of the second region is killed and started again")
def step_restart(context):
    daemon = context.second[0]
    context.killed_s = time.monotonic()
    daemon.kill()
    daemon.process.start()
    context.restarted_s = time.monotonic()


@then("until the end of the cut it is ready only with the revision of its zone's peer")
def step_vouched(context):
    # The rule of docs/decisions/configuration-in-force.md: the zone keeps using its
    # last confirmed revision, which a restarted daemon accepts from its peers.
    regions = context.regions
    regions.start_long_calls(context.first[0], _BURST_SIZE, _LONG_TOKENS)
    time.sleep(regions.cut_s + region_plan.CUT_S - time.monotonic())
    restarted, peer = (regions.samples[item.name] for item in context.second)
    ready = [
        item for item in restarted if item.at_s > context.restarted_s and item.ready
    ]
    print(f"ready {ready[0].at_s - context.restarted_s:.1f} s after the restart")
    assert {item.revision for item in ready} == {peer[-1].revision}
    assert peer[-1].revision < context.revision


@then("the first region sees the second as dead")
def step_dead(context):
    for daemon in context.first:
        members = context.regions.samples[daemon.name][-1].members
        assert all(members[item.name] == "dead" for item in context.second), members
        assert all(members[item.name] == "alive" for item in context.first), members


@when("in each region one daemon is killed and one paused")
def step_kill_pause(context):
    context.killed = [context.first[0], context.second[0]]
    context.paused = [context.first[1], context.second[1]]
    for daemon in context.killed:
        daemon.kill()
    for daemon in context.paused:
        daemon.pause()
    context.paused_s = time.monotonic()


@when("the killed and the paused daemons resume after {pause_s:d} s")
def step_go_on(context, pause_s):
    time.sleep(context.paused_s + pause_s - time.monotonic())
    context.resumed_s = time.monotonic()
    for daemon in context.paused:
        daemon.resume()
    for daemon in context.killed:
        daemon.process.start()


@then("no daemon was ready with an old revision after its pause or start")
def step_not_stale(context):
    for daemon in (*context.killed, *context.paused):
        samples = [
            item
            for item in context.regions.samples[daemon.name]
            if item.at_s > context.resumed_s
        ]
        assert samples, daemon.name
        stale = [
            item for item in samples if item.ready and item.revision < context.revision
        ]
        print(f"{daemon.name}: {len(samples)} samples, {len(stale)} stale")
        assert not stale, (daemon.name, stale[0])


@when("the link between the regions is back")
def step_back(context):
    context.regions.restore()


@then("within 12 s every daemon has the last revision and is ready")
def step_caught_up(context):
    daemons = context.regions.fleet.daemons

    def accepts(sample):
        return sample.ready and sample.revision == context.revision

    engine_caller.wait_until(
        lambda: _all_samples(context, daemons, accepts),
        _RECOVERY_LIMIT_S,
        "not every daemon has the last revision",
    )
    print(f"revision in force after {time.monotonic() - context.regions.back_s:.1f} s")


@then("within 12 s of the link's return all members see each other alive")
def step_alive(context):
    daemons = context.regions.fleet.daemons

    def accepts(sample):
        is_alive = set(sample.members.values()) == {"alive"}
        return is_alive and len(sample.members) == len(daemons)

    left_s = context.regions.back_s + _RECOVERY_LIMIT_S - time.monotonic()
    engine_caller.wait_until(
        lambda: _all_samples(context, daemons, accepts), left_s, "not all are alive"
    )
    print(f"all alive after {time.monotonic() - context.regions.back_s:.1f} s")


@then("no daemon was ever ready with a lower revision than before")
def step_monotone(context):
    for name, samples in context.regions.samples.items():
        revisions = [item.revision for item in samples if item.ready]
        assert revisions == sorted(revisions), (name, revisions)


@then("each long request has its complete answer")
def step_long(context):
    regions = context.regions
    engine_caller.wait_until(
        lambda: len(regions.long_calls) == 2 * _BURST_SIZE,
        30.0,
        "long calls are still running",
    )
    broken = [item for item in regions.long_calls if not item.is_complete]
    assert not broken, (broken, regions.fleet.keep_logs("regions"))


def _find_limit_s(regions, call):
    """Return the limit for the first token, given the load at the start of the call."""
    is_full = any(
        item.started_s - 0.5 < call.started_s < item.ended_s
        for item in regions.long_calls
        if item.daemon == "daemon-0"
    )
    in_first = call.daemon in ("daemon-0", "daemon-2", "daemon-4")
    return _FIRST_TOKEN_S + (_LONG_S if is_full and in_first else 0.0)


@then("each call during the cut was answered once by an engine of its own region")
def step_local(context):
    regions = context.regions
    regions.stop_callers()
    zones = {item.name: item.zone for item in regions.fleet.daemons}
    runs = regions.read_runs()
    restarted = context.second[0].name
    during = [
        item
        for item in regions.calls
        if regions.cut_s < item.started_s
        and item.ended_s < regions.back_s
        # The load balancer routes its callers elsewhere once it is not ready.
        and not (item.daemon == restarted and item.ended_s > context.killed_s)
    ]
    assert len(during) > 100, len(during)
    for item in during:
        assert item.is_complete, (item, regions.fleet.keep_logs("regions"))
        found = runs[region_fleet.digest(item.prompt)]
        assert [engine.zone for engine, _ in found] == [zones[item.daemon]], (
            item,
            found,
        )
    long = sorted(item.first_token_s for item in regions.long_calls)
    slow = max(
        during, key=lambda item: item.first_token_s - _find_limit_s(regions, item)
    )
    print(f"{len(during)} calls; first tokens of long requests {long}; slowest {slow}")
    assert slow.first_token_s <= _find_limit_s(regions, slow), slow


@given("two regions with one daemon each")
def step_pair(context):
    _start(context, daemons=2, engines=1)


@when("the connections between the daemons go silent for good")
def step_mute(context):
    regions = context.regions
    names = [item.name for item in regions.fleet.daemons]
    muted = regions.fleet.regions.mute(*names)
    assert muted > 0, muted
    context.muted_s = time.monotonic()


@then("within {limit_s:d} s each receives messages from the other again")
def step_heard(context, limit_s):
    # Each daemon has one peer, so each message comes from it. Messages in flight when
    # the connections were muted arrive within half a second.
    time.sleep(0.5)
    daemons = context.regions.fleet.daemons
    before = [_count_messages(item) for item in daemons]
    left_s = context.muted_s + limit_s - time.monotonic()
    engine_caller.wait_until(
        lambda: all(
            _count_messages(item) > count
            for item, count in zip(daemons, before, strict=True)
        ),
        left_s,
        "messages do not arrive",
    )
    print(f"heard after {time.monotonic() - context.muted_s:.1f} s")


def _count_messages(daemon):
    """Return the number of messages that a daemon received from other daemons."""
    with urllib.request.urlopen(f"{daemon.url}/metrics") as response:
        lines = response.read().decode().splitlines()
    prefix = "endivevane_cluster_messages_total{"
    return sum(
        float(line.rpartition(" ")[2])
        for line in lines
        if line.startswith(prefix) and 'direction="in"' in line
    )


@then("for {duration_s:d} s neither shows the other as dead")
def step_no_accusation(context, duration_s):
    time.sleep(duration_s)
    for name, samples in context.regions.samples.items():
        states = [set(item.members.values()) for item in samples]
        assert len(states) > 10, (name, len(states))
        dead = [item for item in states if "dead" in item]
        assert not dead, (name, len(dead), len(states))


_STATUS = {"ready": True, "revision": 7, "members": []}
_SCRIPTS = {
    "gets its revision between two questions": {
        "/admin/status": [(503, {}, {}), (200, {}, _STATUS)],
        "/readyz": [(200, {}, {})],
    },
    "is ready and never shows a revision": {
        "/admin/status": [(503, {}, {}), (503, {}, {})],
        "/readyz": [(200, {}, {})],
    },
    "has no revision and is not ready": {
        "/admin/status": [(503, {}, {})],
        "/readyz": [(503, {}, {})],
    },
}


@when("a daemon that {script} is sampled")
def step_sample_scripted(context, script):
    answers = {path: list(items) for path, items in _SCRIPTS[script].items()}
    context.sample = region_fleet.take_sample(lambda path: answers[path].pop(0))


@then("the sample says {state} with revision {revision:d}")
def step_sample_says(context, state, revision):
    assert context.sample.ready == (state == "ready"), context.sample
    assert context.sample.revision == revision, context.sample
