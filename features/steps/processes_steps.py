import pathlib
import subprocess
import sys
import time

import psutil
from behave import given, then, when

from features.support import serving_processes
from tools import ports, processes

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def _start(context, module, arguments, name):
    if not hasattr(context, "processes"):
        context.processes = processes.Processes()
        context.cleanups.append(context.processes.close)
    process = context.processes.start(module, arguments, name)
    context.started = [*getattr(context, "started", []), process]
    return process


def _start_service(context, name):
    if not hasattr(context, "ports"):
        context.ports = ports.Ports()
        context.cleanups.append(context.ports.release)
    arguments = ["--listen", context.ports.reserve_address()]
    return _start(context, "standins.service", arguments, name)


@given("a stand-in service and a second one that is paused")
def step_start_two(context):
    for name in ("first", "second"):
        _start_service(context, name).wait_for_line("listening")
    context.started[1].pause()
    status = psutil.Process(context.started[1].pid).status
    deadline_s = time.monotonic() + 5
    while status() != psutil.STATUS_STOPPED:
        assert time.monotonic() < deadline_s, status()


@given("a process that ignores SIGTERM")
def step_start_ignoring_sigterm(context):
    _start(context, "features.support.stubborn", [], "stubborn").wait_for_line("ready")


@given("a process that exits immediately")
def step_start_exiting(context):
    context.process = _start(context, "features.support.stubborn", ["quit"], "quits")


@when("all processes are closed")
def step_close(context):
    context.folder = context.processes.folder
    context.processes.close()


@then("no process is left")
def step_check_none(context):
    running = [item.pid for item in context.started if psutil.pid_exists(item.pid)]
    assert running == [], running


@then("the folder is removed")
def step_check_folder(context):
    assert not context.folder.exists()


@when("its ready line is awaited for up to {limit:d} seconds")
def step_await_line(context, limit):
    started_s = time.monotonic()
    context.error = None
    try:
        context.process.wait_for_line("ready", limit)
    except processes.NotReady as error:
        context.error = str(error)
    context.waited_s = time.monotonic() - started_s


@then("the wait ends within {limit:d} seconds with the status {status:d} and the log")
def step_check_error(context, limit, status):
    assert context.error is not None
    assert f"status {status}" in context.error, context.error
    assert "the reason for the end" in context.error, context.error
    assert context.waited_s < limit, context.waited_s


@when("the service is killed and immediately restarted")
def step_restart(context):
    service = context.fleet.services[0]
    service.kill()
    service.process.start()


@then("the ready line is awaited until the service answers")
def step_check_restarted(context):
    service = context.fleet.services[0]
    service.process.wait_for_line("listening")
    assert processes.answers_ok(f"{service.url}/status")


@given("{count:d} ports that another process has reserved")
def step_reserve_elsewhere(context, count):
    context.other = subprocess.Popen(
        [sys.executable, "-m", "features.support.reserve_ports", str(count)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        cwd=_ROOT,
        text=True,
    )
    context.cleanups.append(context.other.communicate)
    context.other_ports = [
        int(text) for text in context.other.stdout.readline().split()
    ]
    assert len(context.other_ports) == count


@when("{count:d} ports are reserved here")
def step_reserve_here(context, count):
    reserved = ports.Ports()
    context.cleanups.append(reserved.release)
    context.own_ports = [reserved.reserve() for _ in range(count)]


@when("{count:d} ports are chosen for daemon processes here")
def step_choose_here(context, count):
    context.own_ports = serving_processes.find_free_ports(count)


@then("no port is reserved twice")
def step_check_distinct(context):
    all_ports = context.own_ports + context.other_ports
    assert len(set(all_ports)) == len(all_ports)


@then("no port is in the ephemeral range")
def step_check_range(context):
    text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text()
    first, last = (int(item) for item in text.split())
    inside = [port for port in context.own_ports if first <= port <= last]
    assert inside == [], inside
