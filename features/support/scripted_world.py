"""A daemon with targets that answer as a script says."""

import asyncio

from features.support import serving_world
from standins import replica, scripted_replica

EVENTS = 6
_SIGNATURE = b"Response-Signature: sig-$ID\r\n"
_FRAMINGS = {
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "a length": b"Content-Length: 4000\r\n",
    "its connection": b"",
}


def make_events(first, last):
    """Return events of the attempt that is answered."""
    attempt = scripted_replica.ATTEMPT.decode()
    return b"".join(replica.make_event(attempt, n) for n in range(first, last + 1))


def make_head(status=200, content_type=b"text/event-stream", *, lines=_SIGNATURE):
    """Return a head without its last line end."""
    head = b"HTTP/1.1 %d X\r\nAttempt-Id: $ID\r\n" % status
    if content_type:
        head += b"Content-Type: %s\r\n" % content_type
    return head + lines


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_stream(body, *, is_whole=True, **head):
    """Return a response in chunks."""
    data = make_head(**head) + _FRAMINGS["chunks"] + b"\r\n"
    if body:
        data += chunk(body)
    return data + (b"0\r\n\r\n" if is_whole else b"")


def make_plain(status, body, *, lines=b"", content_type=b"text/plain"):
    """Return a response with a length."""
    head = make_head(status, content_type, lines=lines)
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


def make_refusal(attempt=b"$ID", status=503, *, body=b"", length=None):
    """Return a refusal, with an attempt id unless that is empty."""
    length = len(body) if length is None else length
    name = b"Attempt-Id: %s\r\n" % attempt if attempt else b""
    lines = b"HTTP/1.1 %d X\r\n%sNot-Executed: 1\r\n" % (status, name)
    return lines + b"Content-Length: %d\r\n\r\n" % length + body


def make_broken_stream(events, framing, end, is_torn):
    """Return an act that breaks off a stream after some events."""
    pieces = [make_events(n, n) for n in range(1, events + 1)]
    if is_torn:
        pieces.append(make_events(events + 1, events + 1)[:12])
    if framing == "chunks":
        pieces = [chunk(piece) for piece in pieces]
    head = make_head() + _FRAMINGS[framing] + b"\r\n"
    return scripted_replica.Act(head + b"".join(pieces), end=end)


async def serve(
    configuration, names, acts, act_as_clients, kind=scripted_replica.ScriptedReplica
):
    """Run a daemon and scripted targets of a kind during an action of clients."""
    world = serving_world.World(configuration, names)
    world.replicas = {name: kind(name, acts) for name in names}
    await world.start()
    try:
        return await act_as_clients(world)
    finally:
        await world.stop()


async def gather_few(calls, limit=12):
    """Await calls, a few at a time, and return their results in order."""
    free = asyncio.Semaphore(limit)

    async def run(call):
        async with free:
            return await call

    return await asyncio.gather(*(run(call) for call in calls))
