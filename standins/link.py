"""Stand-in for a network link: forwards TCP connections to one address.

Faults: ``down`` refuses and breaks connections; ``silent`` forwards nothing while it is
set, as in a partition; ``silent_after`` of 0 blocks the connections that are open now
permanently, while new ones work; ``latency_ms`` applies to each direction.
"""

from __future__ import annotations

import asyncio
import typing

from standins import faults, piping, serving


class Link:
    """Forwards connections to a target.

    :param listen: ``host:port`` of the link
    :param target: ``host:port`` to which it forwards
    :param bytes_per_s: rate limit of each direction; 0 for none
    """

    def __init__(
        self, listen: str, target: str, latency_ms: float, bytes_per_s: float
    ) -> None:
        self._target = serving.split_address(target)
        self._latency_ms = latency_ms
        self._conditions = piping.Conditions(latency_ms / 1000)
        self._outward = piping.Direction(bytes_per_s)
        self._inward = piping.Direction(bytes_per_s)
        self._pipes: set[piping.Pipe] = set()
        self._connections = 0
        self._failures = 0
        self.listener = piping.TcpListener(serving.split_address(listen), self._accept)

    def record(self) -> dict[str, typing.Any]:
        """Return the counts of connections and bytes."""
        return {
            "connections": self._connections,
            "open": len(self._pipes),
            "failures": self._failures,
            "outward_bytes": self._outward.passed_bytes,
            "inward_bytes": self._inward.passed_bytes,
        }

    async def follow_faults(self, current: faults.Faults) -> None:
        """Apply the faults to the connections."""
        latency_ms = current.latency_ms or self._latency_ms
        self._conditions.latency_s = latency_ms / 1000
        self._conditions.is_silent = current.silent
        if current.silent_after is not None:
            current.silent_after = None
            for pipe in self._pipes:
                pipe.is_muted = True
        if not current.down:
            await self.listener.open()
            return
        self.listener.close()
        for pipe in list(self._pipes):
            pipe.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        try:
            target = await asyncio.open_connection(*self._target)
        except OSError:
            self._failures += 1
            writer.transport.abort()
            return
        pipe = piping.Pipe((reader, writer), target, self._conditions)
        self._pipes.add(pipe)
        try:
            await pipe.run(self._outward, self._inward)
        finally:
            self._pipes.discard(pipe)


def main() -> None:
    """Serve a link."""
    parser = serving.make_parser(__doc__)
    parser.add_argument("--to", required=True, metavar="HOST:PORT")
    parser.add_argument("--latency-ms", type=float, default=0.0)
    parser.add_argument("--mbit-s", type=float, default=0.0, help="0 for no limit")
    arguments = parser.parse_args()
    link = Link(
        arguments.listen, arguments.to, arguments.latency_ms, arguments.mbit_s * 125_000
    )
    app = serving.make_app()
    app[serving.LISTENERS] = [link.follow_faults]
    serving.run_behind_tcp(app, arguments, link.record, link.listener)


if __name__ == "__main__":
    main()
