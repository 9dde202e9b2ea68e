import pathlib
import re
import subprocess
import sys

from behave import then, when

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_LIST_MODULES = """
import importlib, pkgutil, sys
import endivevane.coordination as package
for item in pkgutil.iter_modules(package.__path__, package.__name__ + "."):
    importlib.import_module(item.name)
print("\\n".join(name for name in sys.modules if name.startswith("endivevane")))
"""


def _run(code):
    return subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@when("the example of docs/coordination.md runs")
def step_example(context):
    text = (_ROOT / "docs" / "coordination.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.DOTALL).group(1)
    context.run = _run(code)
    assert context.run.returncode == 0, context.run.stderr


@then('it prints "{text}"')
def step_prints(context, text):
    assert text in context.run.stdout, context.run.stdout


@when('"endivevane.coordination" is imported with all its modules')
def step_import(context):
    context.run = _run(_LIST_MODULES)
    assert context.run.returncode == 0, context.run.stderr


@then("no other package of endivevane is loaded")
def step_modules(context):
    allowed = ("endivevane", "endivevane.exceptions", "endivevane.coordination")
    others = [
        name
        for name in context.run.stdout.split()
        if name not in allowed and not name.startswith("endivevane.coordination.")
    ]
    assert not others, others
