import contextlib
import copy
import dataclasses
import io
import json
import pathlib
import tempfile

from behave import given, then, when

from endivevane.ctl import main
from features.support import serving_processes

_NAME = "config.json"
_SECRET = "secret"


@dataclasses.dataclass
class _Result:
    returncode: int
    stdout: str
    stderr: str


def _make_sound():
    configuration = serving_processes.make_fleet_configuration()
    configuration["routes"].append(
        {
            "name": "split",
            "host": "shop.example",
            "prefix": "/split/",
            "kind": "safe",
            "timeoutMs": 3000,
            "maxAttempts": 2,
            "trafficSplit": [
                {"service": "lm", "weight": 1},
                {"service": "plain", "weight": 3},
            ],
        }
    )
    configuration["services"].append({"name": "plain", "maxConns": 6})
    configuration["tenants"] = [
        {"name": "first", "apiKeys": ["k-1-secret"], "ratePerS": 5, "burst": 5},
        {"name": "second", "apiKeys": ["k-2-secret"]},
    ]
    return configuration


def _write(context, content):
    if not hasattr(context, "folder"):
        context.folder = pathlib.Path(tempfile.mkdtemp())
    (context.folder / _NAME).write_bytes(content)


def _write_json(context, configuration):
    context.configuration = configuration
    _write(context, json.dumps(configuration, indent=1).encode())


def _run(context, file, *options):
    printed, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.chdir(context.folder),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(errors),
    ):
        try:
            code = main.main(["config", "check", file, *options])
        except SystemExit as error:
            # argparse exits this way on wrong usage.
            code = error.code
    context.result = _Result(int(code), printed.getvalue(), errors.getvalue())


def _set(container, path, value):
    *parents, last = path.split(".")
    for part in parents:
        container = container[int(part) if part.isdigit() else part]
    if last.isdigit() and int(last) == len(container):
        container.append(value)
        return
    container[int(last) if last.isdigit() else last] = value


@given("a configuration file without faults")
def step_sound(context):
    _write_json(context, _make_sound())


@given("a configuration file whose {key} is {value}")
def step_changed(context, key, value):
    configuration = _make_sound()
    _set(configuration, key, json.loads(value))
    _write_json(context, configuration)


@given("a configuration file with the text {text}")
def step_text(context, text):
    _write(context, text.encode().decode("unicode_escape").encode("latin-1"))


@given("a configuration file with the text ")
def step_empty(context):
    _write(context, b"")


@given("a configuration file of {count:d} opening brackets")
def step_deep(context, count):
    _write(context, b"[" * count)


@when("an operator checks it")
def step_check(context):
    _run(context, _NAME)


@when("an operator checks it with JSON output")
def step_check_json(context):
    _run(context, _NAME, "--output", "json")


@when("an operator checks it with --{options}")
def step_check_options(context, options):
    _run(context, _NAME, *f"--{options}".split())


@when("an operator checks {file} with {options}")
def step_check_file(context, file, options):
    _run(context, file, *options.split())


def _find_line(context, place):
    """Return the line of a key in the file as the steps write it."""
    text = (context.folder / _NAME).read_text()
    value = copy.deepcopy(context.configuration)
    marker = "@marker@"
    path = place.replace("[", ".").replace("]", "").split(".")
    inner = value
    for part in path[:-1]:
        inner = inner[int(part) if part.isdigit() else part]
    if path[-1].isdigit():
        inner.insert(int(path[-1]), marker)
    else:
        items = list(inner.items())
        inner.clear()
        for key, item in items:
            if key == path[-1]:
                inner[marker] = 0
            inner[key] = item
    marked = json.dumps(value, indent=1).split("\n")
    assert len(marked) == len(text.split("\n")) + 1
    return next(n for n, line in enumerate(marked, 1) if marker in line)


@then("it exits with {code:d}, and the only finding is {rule} at {place}")
def step_finding(context, code, rule, place):
    assert context.result.returncode == code, context.result
    report = json.loads(context.result.stdout)
    assert report["valid"] is (code == 0), report
    (finding,) = report["findings"]
    assert finding["rule"] == rule, finding
    assert finding["key"] == place, finding
    assert finding["line"] == _find_line(context, place), finding
    assert _SECRET not in context.result.stdout, finding


@then(
    "it exits with {code:d}, and a finding is {rule} in line {line:d} that says "
    '"{text}"'
)
def step_syntax(context, code, rule, line, text):
    assert context.result.returncode == code, context.result
    found = json.loads(context.result.stdout)["findings"]
    assert any(
        (item["rule"], item["line"]) == (rule, line) and text in item["message"]
        for item in found
    ), found


@then('it exits with {code:d} and prints "{text}"')
def step_prints(context, code, text):
    assert context.result.returncode == code, context.result
    assert text in context.result.stdout, context.result


@then('it exits with {code:d} and prints ""')
def step_prints_nothing(context, code):
    assert context.result.returncode == code, context.result
    assert not context.result.stdout, context.result


@given("the store's configuration has organisations")
def step_organisations(context):
    context.in_force = serving_processes.make_fleet_configuration()
    context.in_force["tenants"] = [
        {"name": "first", "apiKeys": ["k-1-secret", "k-2-secret"]},
        {"name": "gone", "apiKeys": ["k-3-secret"]},
    ]

    _put(context, context.in_force)


@given("the store's configuration is no valid one")
def step_invalid_in_force(context):
    _put(context, {"version": 1})


def _put(context, configuration):
    async def put():
        context.rows.write("op", "config", configuration)

    context.loop.run(put())


@given("a configuration file that differs from the store's")
def step_differs(context):
    changed = copy.deepcopy(context.in_force)
    changed["version"] += 1
    changed["routes"][0]["timeoutMs"] = 2500
    changed["routes"][1] |= {"name": "extra"}
    changed["limits"]["maxBodyBytes"] = 200000
    changed["tenants"] = [
        {
            "name": "first",
            "apiKeys": ["k-1-secret", "k-4-secret", "k-5-secret"],
            "ratePerS": 5,
        }
    ]
    _write_json(context, changed)


@given("a configuration file that has the store's version and another timeout")
def step_same_version(context):
    configuration = serving_processes.make_fleet_configuration()
    configuration["routes"][0]["timeoutMs"] = 2500
    _write_json(context, configuration)


@given("a configuration file like the store's with {count:d} connections")
def step_connections(context, count):
    configuration = serving_processes.make_fleet_configuration()
    configuration["version"] += 1
    configuration["services"][0]["maxConns"] = count
    _write_json(context, configuration)


@when("an operator checks it against the store, as text and as JSON")
def step_check_store(context):
    _run(context, _NAME, "--store", context.address, "--output", "json")
    context.as_json = context.result
    _run(context, _NAME, "--store", context.address)


@then("it exits with 0 and shows these differences")
def step_differences(context):
    assert context.result.returncode == 0, context.result
    names = context.table.headings
    found = json.loads(context.as_json.stdout)["differences"]
    shown = [
        tuple("" if item[name] is None else str(item[name]) for name in names)
        for item in found
    ]
    expected = [tuple(row) for row in context.table]
    assert sorted(shown) == sorted(expected), shown


@then("neither output contains a key")
def step_no_key(context):
    for result in (context.result, context.as_json):
        assert _SECRET not in result.stdout + result.stderr, result
