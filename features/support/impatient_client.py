"""A client that abandons a stream which is without an event for too long."""

import asyncio
import contextlib
import dataclasses

from features.support import serving_world

# What the platform's clients wait for the next event, at the objective and the time
# between events that the tests use.
_IDLE_TIMEOUT_S = 2.0


@dataclasses.dataclass
class Response(serving_world.Response):
    """Response as an impatient client received it.

    :ivar is_sent: whether the daemon accepted the connection
    :ivar is_abandoned: whether the client left after its own timeout
    """

    is_sent: bool = True
    is_abandoned: bool = False

    def describe(self):
        return (
            f"status {self.status}, {len(self.body)} bytes, "
            f"complete {self.is_complete}, abandoned {self.is_abandoned}"
        )


async def send_request(port, data, is_stream):
    """Send a request on a new connection and return the response."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return Response(is_sent=False)
    fed = asyncio.StreamReader()
    reading = asyncio.ensure_future(serving_world.read_response(fed))
    is_abandoned = False
    try:
        writer.write(data)
        await _feed(reader, fed, reading, _IDLE_TIMEOUT_S if is_stream else None)
    except TimeoutError:
        is_abandoned = True
    finally:
        writer.close()
        fed.feed_eof()
    read = await reading
    return Response(**vars(read), is_abandoned=is_abandoned)


async def _feed(reader, fed, reading, idle_timeout_s):
    """Pass bytes on until the response has ended.

    :raises TimeoutError: when no bytes come for the timeout
    """
    with contextlib.suppress(ConnectionError):
        while not reading.done():
            data = await asyncio.wait_for(reader.read(65536), idle_timeout_s)
            if not data:
                return
            fed.feed_data(data)
            # Lets the response be parsed, which may end it.
            await asyncio.sleep(0)
