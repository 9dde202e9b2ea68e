"""Runs a module whose connections to some addresses go over a link.

A daemon reaches a target by one address wherever it runs, so the path over the link
can't be told from the address. This starts the unchanged module with a table of routes,
as the network of a region would have one: ``python -m tools.routed TABLE MODULE ...``.
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
    """Replace addresses in every connect of this process.

    :param table: ``host:port`` of the link by ``host:port`` of the target
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
        call = getattr(zmq.Socket, name)

        def call_routed(
            self: typing.Any, endpoint: str, call: typing.Any = call
        ) -> typing.Any:
            if not endpoint.startswith(_SCHEME):
                return call(self, endpoint)
            address = endpoint.removeprefix(_SCHEME)
            return call(self, f"{_SCHEME}{table.get(address, address)}")

        setattr(zmq.Socket, name, call_routed)


def main() -> None:
    """Install the table and run the module with the rest of the command line."""
    _, table, module, *arguments = sys.argv
    install(json.loads(pathlib.Path(table).read_text()))
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
