"""Answers of targets that begin before the request has been sent."""

import dataclasses
import time

from features.support import scripted_items, scripted_world, serving_world
from standins import early_replica, replica, scripted_replica

ATTEMPT = "abc"
_MAX_BODY_BYTES = 16 << 20
_FOLLOW_S = 5.0
PLAIN_BODY = b"plain body"
_INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
_FRAMINGS = {
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "a length": b"Content-Length: %d\r\n",
    "no length": b"",
}
# Kinds of requests: kind of the route, and whether it may be sent again.
KINDS = {"whole": "safe", "once": "unsafe", "stream": "streaming", "item": "streaming"}


@dataclasses.dataclass(frozen=True)
class Case:
    """A request and the number of attempts it may have."""

    kind: str
    attempts: int

    @property
    def may_run_again(self):
        return self.kind != "once" and self.attempts > 1


CASES = [Case(kind, attempts) for kind in KINDS for attempts in (1, 2)]


def expect_body(kind):
    if kind in ("whole", "once"):
        return PLAIN_BODY
    return b"".join(replica.make_event(ATTEMPT, number) for number in range(1, 7))


def expect_texts():
    return [f"{ATTEMPT} piece {number}".encode() for number in range(1, 7)]


def make_head(kind, status_line=b"200 OK"):
    content = b"text/plain" if kind in ("whole", "once") else b"text/event-stream"
    return (
        b"HTTP/1.1 %s\r\nAttempt-Id: $ID\r\nResponse-Signature: s-$ID\r\n"
        b"Content-Type: %s\r\n" % (status_line, content)
    )


def make_answer(kind, framing, *, is_whole, has_interim=False, status_line=b"200 OK"):
    """Return a response, all of it or its first part."""
    body = expect_body(kind)
    sent = body if is_whole else body[: len(body) // 2]
    framing_line = _FRAMINGS[framing]
    if framing == "a length":
        framing_line %= len(body)
    if framing == "chunks":
        sent = scripted_world.chunk(sent) + (b"0\r\n\r\n" if is_whole else b"")
    head = make_head(kind, status_line) + framing_line + b"\r\n"
    return (_INTERIM if has_interim else b"") + head + sent


async def play(case, data, end, *, is_run=True, is_early=True, times=1, size=None):
    """Send one request to a daemon whose targets answer it so first.

    :param times: how many requests they answer so
    :param size: number of bytes in the request's body, a few if ``None``
    :returns: the client's response, or the finished run of an item
    """
    configuration = serving_world.make_configuration(
        kind=KINDS[case.kind],
        resumable=KINDS[case.kind] == "streaming",
        maxAttempts=case.attempts,
    )
    configuration["limits"]["maxBodyBytes"] = _MAX_BODY_BYTES
    kind = early_replica.EarlyReplica if is_early else scripted_replica.ScriptedReplica
    act = (early_replica if is_early else scripted_replica).Act(data, end=end)
    act.is_run = is_run
    body = b"x" * (size or 5)

    async def act_as_client(world):
        for target in world.replicas.values():
            target.manner.plain = case.kind in ("whole", "once")
        if case.kind == "item":
            return await scripted_items.run_item(world, body)
        request = serving_world.make_request(attempt=ATTEMPT, body=body)
        reply = await serving_world.send_request(world.port, request)
        reply.runs = len(world.runs)
        return reply

    acts = [dataclasses.replace(act) for _ in range(times)]
    return await scripted_world.serve(
        configuration, ("a", "b"), acts, act_as_client, kind
    )


def wait_for_configuration(fleet):
    """Wait until the daemon follows the routes of the configuration in the store."""
    until_s = time.monotonic() + _FOLLOW_S
    request = serving_world.make_request("/whole/0", "abz")
    while fleet.ask(fleet.daemons[0], request).status == 404:
        assert time.monotonic() < until_s, "the daemon has no such route"
        time.sleep(0.05)
