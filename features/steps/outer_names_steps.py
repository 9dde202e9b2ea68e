"""Steps that compare the names that leave the process with the committed list."""

import pathlib
import tempfile

from behave import given, then, when

from tools import outer_names

_SOURCE = pathlib.Path(__file__).resolve().parents[2] / "src"
_MODULES = {
    "log event": 'logs.info("{name}", job=1)\n',
    "log key": 'logs.info("job_deleted", {name}=1)\n',
    "metric label": 'prometheus_client.Counter("requests", "Requests.", ["{name}"])\n',
    "setting": "class Settings(pydantic.BaseModel):\n    {name}: float = 1.0\n",
    "header": 'HEADER = b"{name}"\n',
}


def _collect_text(text: str) -> outer_names.Names:
    with tempfile.TemporaryDirectory() as folder:
        (pathlib.Path(folder) / "module.py").write_text(text, encoding="utf-8")
        return outer_names.collect(pathlib.Path(folder))


@when("the names that leave the process are collected from the sources")
def step_collect(context):
    context.found = outer_names.collect(_SOURCE)


@then("they are the names in the committed list")
def step_compare(context):
    listed = outer_names.read_list(outer_names.LIST_PATH)
    assert len(listed) == 7, sorted(listed)
    differences = outer_names.compare(listed, context.found)
    assert not differences, "\n".join(differences)


@given('a module with the {kind} "{name}"')
def step_module(context, kind, name):
    context.template = _MODULES[kind]
    context.before = _collect_text(context.template.format(name=name))


@given("a list of the names of that module")
def step_list(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "names.txt"
        outer_names.write_list(path, context.before)
        context.listed = outer_names.read_list(path)


@when('the {kind} is renamed to "{name}"')
def step_rename(context, kind, name):
    context.found = _collect_text(_MODULES[kind].format(name=name))


@then('the comparison names "{name}" as gone')
def step_gone(context, name):
    differences = outer_names.compare(context.listed, context.found)
    expected = f": {name} is listed and not in the code"
    assert any(line.endswith(expected) for line in differences), differences
