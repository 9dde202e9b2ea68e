"""A target whose first responses are given byte by byte."""

from __future__ import annotations

import asyncio
import dataclasses
import socket

from standins import replica

# Stands for the id of the answered attempt; ids in tests have the same length, so that
# lengths of chunks and bodies hold.
ATTEMPT = b"$ID"


@dataclasses.dataclass
class Act:
    """What the target writes in response to one request.

    :ivar copy: copy of a refusal to write first, on a kept connection and after the
        target has refused a request
    :ivar data: bytes to write
    :ivar end: what follows: ``keep`` the connection, ``close`` or ``reset`` it, or
        ``run`` the request as a sound target does
    :ivar is_run: whether the target runs the request
    :ivar delay_s: time before the bytes
    :ivar late: bytes to write later on the same connection
    :ivar late_s: time until then
    """

    data: bytes = b""
    copy: bytes = b""
    end: str = "keep"
    is_run: bool = True
    delay_s: float = 0.0
    late: bytes = b""
    late_s: float = 0.0


class ScriptedReplica(replica.Replica):
    """Answers as its script says, and as a sound target once the script has ended.

    :param acts: script, which several targets may share
    """

    def __init__(self, name: str, acts: list[Act]) -> None:
        super().__init__(name)
        self._acts = acts
        self._kept: set[asyncio.StreamWriter] = set()

    async def _run(
        self,
        run: replica.Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        is_kept = writer in self._kept
        self._kept.add(writer)
        may_copy = is_kept and bool(self.refused)
        if not self._acts or (self._acts[0].copy and not may_copy):
            return await super()._run(run, reader, writer)
        act = self._acts.pop(0)
        if not act.is_run:
            self.runs.remove(run)
            self.refused += 1
        await asyncio.sleep(act.delay_s)
        writer.write(act.copy)
        writer.write(act.data.replace(ATTEMPT, run.attempt.encode()))
        await writer.drain()
        if act.late:
            loop = asyncio.get_running_loop()
            loop.call_later(act.late_s, writer.write, act.late)
        if act.end == "run":
            return await super()._run(run, reader, writer)
        if act.end == "keep":
            return True
        run.ended = act.end
        if act.end == "reset":
            # The bytes have to arrive before the reset does.
            await asyncio.sleep(0.02)
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, replica.LINGER_RESET
            )
        return False
