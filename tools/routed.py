"""Run a module with its connections to some addresses routed over a link.

A target has the same address for daemons of all regions, so the address does not tell
whether a connection crosses the link. This runs the unmodified module with a routing
table in place of the network's: ``python -m tools.routed TABLE MODULE ...``.
"""

from __future__ import annotations

import json
import pathlib
import runpy
import socket
import sys
import typing
from collections import abc

import zmq

_SCHEME = "tcp://"


def install(table: abc.Mapping[str, str]) -> None:
    """Replace addresses in all connection attempts of this process.

    :param table: maps ``host:port`` of a target to ``host:port`` of the link
    """
    _route_sockets(table)
    _route_messages(table)


def _route_sockets(table: abc.Mapping[str, str]) -> None:
    connect = socket.socket.connect

    def connect_routed(self: socket.socket, address: typing.Any) -> None:
        if isinstance(address, tuple):
            routed = table.get(f"{address[0]}:{address[1]}")
            if routed is not None:
                host, _, port = routed.rpartition(":")
                address = (host, int(port))
        connect(self, address)

    setattr(socket.socket, "connect", connect_routed)  # noqa: B010 - a method


def _route_messages(table: abc.Mapping[str, str]) -> None:
    for name in ("connect", "disconnect"):
        original = getattr(zmq.Socket, name)

        def call_routed(
            self: typing.Any, endpoint: str, original: typing.Any = original
        ) -> typing.Any:
            if not endpoint.startswith(_SCHEME):
                return original(self, endpoint)
            address = endpoint.removeprefix(_SCHEME)
            return original(self, f"{_SCHEME}{table.get(address, address)}")

        setattr(zmq.Socket, name, call_routed)


def main() -> None:
    """Install the table and run the module with the remaining arguments."""
    _, table, module, *arguments = sys.argv
    install(json.loads(pathlib.Path(table).read_text()))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
