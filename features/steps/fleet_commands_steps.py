import asyncio
import contextlib
import dataclasses
import io
import json
import pathlib
import tempfile
import time

from behave import given, then, when

from endivevane.ctl import main
from endivevane.entry import membership
from endivevane.serving import jobs, peer_registry
from features.support import serving_processes, serving_world
from standins import row_store

_SETTINGS = """
[vm]
name = "front-1"
ip = "127.0.0.1"
availability_zone = "z1"
region = "r1"

[listen]
clients = "127.0.0.1:8144"
readiness = "127.0.0.1:8140"
internal_port = 7660

[store]
address = "127.0.0.1:8142"
"""


def _make_job(job_id, state):
    now_ms = int(time.time() * 1000)
    return jobs.Job(
        job_id=job_id,
        host="shop.example",
        path="/digest/1",
        route="digest",
        total=3,
        created_ms=now_ms,
        due_ms=now_ms + 18000,
        chunks=1,
        state=state,
        owner="front-1/ab",
        epoch=1,
        listed=1,
        tokens_left=100,
        operation="x",
    )


def _make_target(**changes):
    fields = {
        "service": "lm",
        "address": "10.0.0.7:8080",
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "born": 1,
    }
    return json.dumps(fields | changes).encode()


@given("a store with a configuration, targets, a daemon and two jobs")
def step_store(context):
    loop = serving_processes.Loop()
    rows = row_store.RowStore()
    port = loop.run(rows.start())
    context.add_cleanup(loop.stop)
    context.add_cleanup(lambda: loop.run(rows.stop()))
    context.loop, context.rows = loop, rows
    context.address = f"127.0.0.1:{port}"
    context.folder = pathlib.Path(tempfile.mkdtemp())
    configuration = serving_processes.make_fleet_configuration()
    entries = [
        ("op", "", "config", json.dumps(configuration).encode()),
        ("servers", "", "t-good", _make_target()),
        ("servers", "", "t-bad", _make_target(slots="many")),
        (
            jobs.STATE_TABLE,
            jobs.PARTITION,
            jobs.MEMBER_PREFIX + "front-1",
            membership.encode_member(
                peer_registry.Identity("front-1", "r1", "ab", "10.0.0.1", 7660, 2.15)
            ),
        ),
    ]
    for job in (
        _make_job("j1", jobs.JobState.OPEN),
        _make_job("j2", jobs.JobState.DONE),
    ):
        key = jobs.make_job_key(job.job_id)
        entries.append((key.table, key.partition, key.key, jobs.encode_job(job)))

    now_ms = int(time.time() * 1000)
    value = json.dumps((("p", "s"), 1, now_ms - 5000, now_ms + 55000)).encode()
    entries.append((jobs.STATE_TABLE, jobs.PARTITION, "quarantine/p+s", value))

    async def put_all():
        for table, part, key, value in entries:
            assert not part
            rows.write(table, key, value)
        await asyncio.sleep(0)

    loop.run(put_all())


@dataclasses.dataclass
class _Result:
    """Exit code and output of a command."""

    returncode: int
    stdout: str
    stderr: str


def _run(context, *arguments):
    """Run the command in this process, in the scenario's folder."""
    printed, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.chdir(context.folder),
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(errors),
    ):
        try:
            code = main.main(["fleet", *arguments])
        except SystemExit as error:
            # argparse exits this way on wrong usage.
            code = error.code
    context.result = _Result(int(code), printed.getvalue(), errors.getvalue())


@when('an operator runs "endivevanectl fleet {command}" on the store')
def step_run_on_store(context, command):
    _run(context, *command.split(), "--store", context.address)
    context.printed = context.result.stdout
    _run(context, *command.split(), "--store", context.address, "--output", "json")


@when('an operator runs "endivevanectl fleet {command}"')
def step_run(context, command):
    _run(context, *command.split())


@then('it exits with 0 and prints {count:d} rows with "{text}"')
def step_rows(context, count, text):
    assert context.result.returncode == 0, context.result.stderr
    context.rows = json.loads(context.result.stdout)
    assert len(context.rows) == count, context.rows
    assert len(context.printed.splitlines()) == count + 1, context.printed
    assert text in context.printed, context.printed
    assert text in context.result.stdout


@then('the row of "{name}" has a problem')
def step_problem(context, name):
    rows = {row["name"]: row for row in json.loads(context.result.stdout)}
    assert rows[name]["problem"], rows
    assert not rows["t-good"]["problem"], rows


@then('it exits with {code:d} and says "{text}"')
def step_says(context, code, text):
    assert context.result.returncode == code, context.result
    assert text in context.result.stderr, context.result.stderr


@given("logs of two daemons, with lines of other programs among them")
def step_logs(context):
    first = [
        "ts=100.200 level=info event=request_ended request=r-1 outcome=failed "
        'targets=t-2 causes="broken answer: reset; silent"',
        "a line of another program",
        "ts=none event=request_ended request=r-1",
        "  12.3 front-1 ts=100.100 level=info event=target_dropped target=t-2 "
        'cause="registration ended"',
    ]
    second = [
        "ts=100.150 level=info event=target_dropped target=t-3 cause=gone",
        "ts=100.300 level=info event=request_ended request=r-2 targets=t-2",
        "ts=10.000 level=info event=target_dropped target=t-2 cause=old",
        "ts=100.101 level=info event=target_dropped target=t-2 "
        'cause="registration ended"',
    ]
    for name, lines in (("a.log", first), ("b.log", second)):
        (context.folder / name).write_text("\n".join(lines) + "\n")


@when('an operator asks for an explanation of "{subject}"')
def step_explain(context, subject):
    _run(context, "explain", subject, "a.log", "b.log", "--output", "json")


@then('it lists "{events}" in this order, with their files')
def step_explained(context, events):
    lines = json.loads(context.result.stdout)
    found = [line["fields"]["event"] for line in lines]
    assert found == events.split(", "), lines
    assert {line["source"] for line in lines} == {"a.log"}, lines
    assert lines[0]["fields"]["daemons"] == "2", lines
    assert lines[1]["fields"]["causes"] == "broken answer: reset; silent", lines


def _run_check(context, configuration):
    settings = context.folder / "settings.toml"
    settings.write_text(_SETTINGS)
    document = context.folder / "configuration.json"
    document.write_text(json.dumps(configuration))
    _run(
        context, "check", "--settings", settings.name, "--configuration", document.name
    )


@when("an operator checks the settings and the configuration of the test")
def step_check(context):
    _run_check(context, serving_processes.make_fleet_configuration())


@when("an operator checks a configuration whose route names no service")
def step_check_bad(context):
    _run_check(context, serving_world.make_configuration(service=None))
