import pathlib
import signal
import socket
import sys
import tempfile
import types
from unittest import mock

from behave import given, then, when

from endivevane.entry import early_listener, start
from features.support import serving_processes


def _write(context, text):
    folder = pathlib.Path(tempfile.mkdtemp())
    context.path = folder / "settings.toml"
    context.path.write_text(text, encoding="utf-8")


def _write_address(context, port):
    context.port = port
    _write(context, f'[listen]\nclients = "127.0.0.1:{port}"\n')


@given("settings that name a free address for clients")
def step_free(context):
    _write_address(context, serving_processes.find_free_ports(1)[0])


@given("settings with no address for clients")
def step_no_address(context):
    _write(context, "[listen]\nclients = 7\n")


@given("settings with text that is no TOML")
def step_no_toml(context):
    _write(context, "[listen")


@given("settings with an address that is in use")
def step_in_use(context):
    taken = socket.create_server(("127.0.0.1", 0))
    context.cleanups.append(taken.close)
    _write_address(context, taken.getsockname()[1])


def _start(context, *extra):
    """Start the daemon with an import that connects as a client does."""
    context.handed = []
    context.is_accepted = False

    def run(path, is_check, listener):
        context.handed.append(listener)
        return 0

    def connect(name):
        if context.handed_port:
            with socket.create_connection(("127.0.0.1", context.handed_port), 5):
                context.is_accepted = True
        return types.SimpleNamespace(main=run)

    context.handed_port = getattr(context, "port", 0) if not extra else 0
    former = signal.getsignal(signal.SIGHUP)
    arguments = ["endivevane-entry", "--config", str(context.path), *extra]
    try:
        with (
            mock.patch.object(sys, "argv", arguments),
            mock.patch.object(start.importlib, "import_module", connect),
        ):
            assert start.main() == 0
    finally:
        signal.signal(signal.SIGHUP, former)


@when("the daemon starts and a client connects during its import")
def step_start(context):
    _start(context)


@when("the daemon is started to check them")
def step_check(context):
    _start(context, "--check")


@then("the connection was accepted and the daemon was handed the listener")
def step_handed(context):
    (listener,) = context.handed
    assert context.is_accepted
    assert early_listener.is_bound_to(listener, "127.0.0.1", context.port)
    listener.close()


@then("the daemon was handed no listener")
def step_none(context):
    assert context.handed == [None], context.handed
