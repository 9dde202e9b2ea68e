import dataclasses
import pathlib
import tempfile

from behave import given, then, when

from endivevane import exceptions
from endivevane.daemon import orders_settings, settings


def _write(context, data):
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "daemon.toml"
    context.path.write_bytes(data)


@given("a settings file with")
def step_write_text(context):
    _write(context, context.text.encode())


@given("a settings file with the bytes {content}")
def step_write_bytes(context, content):
    _write(context, bytes.fromhex(content))


@when("the settings are loaded")
def step_load(context):
    context.error = None
    try:
        context.settings = settings.load_settings(context.path)
    except exceptions.SettingsError as error:
        context.error = error


@then('the daemon is named "{name}"')
def step_check_name(context, name):
    assert context.error is None, context.error
    assert context.settings.daemon.name == name


@then("the problems name the keys")
def step_check_keys(context):
    expected = [row["key"] for row in context.table]
    found = [problem.key for problem in context.error.problems]
    assert found == expected, found
    assert all(problem.file == str(context.path) for problem in context.error.problems)


@then('there is one problem that mentions "{text}"')
def step_check_single(context, text):
    assert context.error is not None
    assert len(context.error.problems) == 1
    assert text in context.error.problems[0].reason, context.error


@then(
    "each key of orders has its value in the task's settings, the longest term {term:d}"
)
def step_check_orders(context, term):
    assert context.error is None, context.error
    section = context.settings.orders
    made = orders_settings.make_settings(section, context.settings.session.term_s)
    found = dataclasses.asdict(made)
    found |= found.pop("placement") | found.pop("demand")
    default = settings.OrdersSection()
    for key, value in section:
        assert value != getattr(default, key), f"{key} must differ from its default"
        expected = term if key == "longest_term_s" else value
        assert found[key] == expected, (key, found[key], expected)
