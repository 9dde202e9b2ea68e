import asyncio
import signal
import time

from behave import given, then, when

from features.support import serving_processes, silence_trial
from standins import replica

_FIRST_SILENT_S = 0.6
# From the start of a silence to what is done beside it.
_BESIDE_S = 0.3
# From the end of a silence to the start of the next one.
_PAUSE_S = 0.9
_OTHER_SERVICE = "other"
_FOLLOW_S = 0.5
# A request of a route that was dropped may get 404 once the change is sent.
_DROPPED_PREFIX = "/once/"


@given("routes for streams and whole responses, with one attempt and with two")
def step_routes(context):
    fleet = context.fleet
    fleet.configuration["routes"] = silence_trial.make_routes()
    fleet.configuration["services"].append(
        {**fleet.configuration["services"][0], "name": _OTHER_SERVICE}
    )
    context.trial = silence_trial.SilenceTrial(fleet)
    other = fleet.loop.run(_start_target(fleet, "i-other"))
    fleet.call(fleet.store.write, "servers", other.name, other.describe(_OTHER_SERVICE))
    context.dropped_s = None
    fleet.call(_write_configuration, fleet)
    time.sleep(_FOLLOW_S)


async def _start_target(fleet, name):
    target = replica.Replica(name)
    silence_trial.prepare_target(target)
    await target.start()
    fleet.replicas.append(target)
    return target


def _write_configuration(fleet):
    fleet.configuration["version"] += 5
    fleet.store.write("op", "config", fleet.configuration)


def _play_silences(context, silences, beside=()):
    """Let the two targets of the service fall silent in turn."""
    trial, targets = context.trial, context.fleet.replicas
    at_s = _FIRST_SILENT_S
    for number, duration_s in enumerate(silences):
        trial.add_silence(at_s, targets[number % 2], duration_s)
        if number < len(beside):
            trial.actions.append((at_s + _BESIDE_S, beside[number]))
        at_s += duration_s + _PAUSE_S
    trial.play(at_s - _PAUSE_S)


@when("a target of two falls silent for 0.8 s, then one for 1.3 s, then one for 1.8 s")
def step_silences(context):
    _play_silences(context, (0.8, 1.3, 1.8))


@when("all targets fall silent at once for {first_s:g} s and again for {second_s:g} s")
def step_all_silent(context, first_s, second_s):
    trial = context.trial
    at_s = _FIRST_SILENT_S
    for duration_s in (first_s, second_s):
        for target in context.fleet.replicas[:2]:
            trial.add_silence(at_s, target, duration_s)
        trial.all_silent_s.append((at_s, at_s + duration_s))
        at_s += duration_s + _PAUSE_S
    trial.play(at_s - _PAUSE_S)


@when(
    "a target falls silent for {first_s:g} s and, {later_s:g} s later, the other for "
    "{second_s:g} s"
)
def step_overlapping_silences(context, first_s, later_s, second_s):
    trial, (first, second, *_) = context.trial, context.fleet.replicas
    second_at_s = _FIRST_SILENT_S + later_s
    trial.add_silence(_FIRST_SILENT_S, first, first_s)
    trial.add_silence(second_at_s, second, second_s)
    trial.all_silent_s.append((second_at_s, _FIRST_SILENT_S + first_s))
    trial.play(second_at_s + second_s)


def _make_changes(context):
    """Return functions that change the configuration, one part each."""
    fleet = context.fleet
    configuration = fleet.configuration
    routes = {route["name"]: route for route in configuration["routes"]}

    def change_timeout():
        for route in routes.values():
            route["timeoutMs"] = 5000

    def change_idle_limit():
        configuration["limits"]["idleTimeoutMs"] = 1000

    def add_route():
        added = {**routes["one"], "name": "added", "prefix": "/added/"}
        configuration["routes"].append(added)

    def drop_route():
        configuration["routes"].remove(routes["once"])
        context.dropped_s = time.monotonic()

    def change_service():
        for name in ("one", "safe-one"):
            routes[name]["service"] = _OTHER_SERVICE

    def change_weights():
        for name in ("two", "safe-two"):
            del routes[name]["service"]
            routes[name]["trafficSplit"] = [
                {"service": silence_trial.SERVICE, "weight": 1},
                {"service": _OTHER_SERVICE, "weight": 3},
            ]

    changes = (
        change_timeout,
        change_idle_limit,
        add_route,
        drop_route,
        change_weights,
        change_service,
    )

    def make_action(change):
        def act():
            change()
            _write_configuration(fleet)

        return act

    return [make_action(change) for change in changes]


@when("targets fall silent for 1.3 or 1.8 s, each time beside another configuration")
def step_changes(context):
    _play_silences(context, (1.3, 1.8) * 3, _make_changes(context))


@when("a target falls silent for {silence_s:g} s and the first daemon gets SIGTERM")
def step_stop(context, silence_s):
    daemon = context.fleet.daemons[0]
    _play_silences(
        context, (silence_s,), [lambda: serving_processes.send_signal(daemon)]
    )


@when("targets fall silent for 1.3 and 1.8 s, each time beside a SIGHUP of the daemons")
def step_reload(context):
    def reload():
        for daemon in context.fleet.daemons:
            serving_processes.send_signal(daemon, signal.SIGHUP)

    _play_silences(context, (1.3, 1.8), [reload, reload])


@when("a draining target falls silent for {silence_s:g} s while it is replaced")
def step_release(context, silence_s):
    fleet, trial = context.fleet, context.trial
    leaving = fleet.replicas[0]
    tasks = []

    async def add():
        fresh = await _start_target(fleet, "i-fresh")
        fleet.store.write("servers", fresh.name, fresh.describe(silence_trial.SERVICE))

    def drain():
        entry = leaving.describe(silence_trial.SERVICE, "draining")
        fleet.store.write("servers", leaving.name, entry)

    trial.actions += [
        (_FIRST_SILENT_S, drain),
        (_FIRST_SILENT_S + 0.4, lambda: tasks.append(asyncio.ensure_future(add()))),
        (
            _FIRST_SILENT_S + 0.7,
            lambda: fleet.store.write("servers", leaving.name, None),
        ),
    ]
    trial.add_silence(_FIRST_SILENT_S + 0.1, leaving, silence_s)
    trial.play(_FIRST_SILENT_S + silence_s)
    assert all(task.done() for task in tasks)


def _is_dropped(context, answer):
    """Return whether the request came after its route was dropped, and was told so."""
    if context.dropped_s is None or answer.prefix != _DROPPED_PREFIX:
        return False
    return answer.response.status == 404 and not context.trial.has_run(answer)


@then("no request is cut or fails, and a refused one has not run")
def step_check(context):
    trial = context.trial
    ended = trial.find_ended(lambda answer: _is_dropped(context, answer))
    whole = sum(answer.is_whole for answer in trial.answers)
    assert not ended, (len(ended), whole, len(trial.answers), ended)
    assert not trial.find_repeated(), trial.find_repeated()
    assert not trial.find_over_budget(), trial.find_over_budget()
    assert all(trial.held), trial.held
    # The silence of one target takes half of the slots, so that some are refused.
    servable = trial.list_servable()
    served = sum(answer.is_whole for answer in servable)
    assert served >= len(servable) / 2, (served, len(servable), len(trial.answers))


@then("the first daemon exits with status 0")
def step_exited(context):
    assert context.fleet.daemons[0].process.wait(20) == 0
