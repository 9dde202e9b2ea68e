import asyncio
import time

from behave import given, then, when

from endivevane.entry import membership
from endivevane.platform import table_store
from endivevane.serving import follower, http_client, peer_registry
from standins import row_store

_TABLE = "op"
_KEY = "config"
# The row's value, as base64 in JSON, at the rate of the store.
_VALUE = b"v" * 300_000
_SENT_BYTES = len(_VALUE) * 4 / 3
_FOLLOWED_S = 1.0


@given("a store with a row that takes {duration:d} s to send")
def step_slow_store(context, duration):
    context.bytes_per_s = _SENT_BYTES / duration
    context.stalls = False


@given("a store that stops in the middle of each answer")
def step_stalling_store(context):
    context.bytes_per_s = _SENT_BYTES
    context.stalls = True


@when("a daemon follows the table and the row is {when}")
def step_follow(context, when):
    context.is_written_later = when == "written later"


@then("its copy has the row {limit:d} s later")
def step_copy(context, limit):
    asyncio.run(_play(context, limit))
    assert context.has_row, context.store.calls


@then("it has asked at least {count:d} times {limit:d} s later")
def step_asked(context, count, limit):
    asyncio.run(_play(context, limit))
    assert len(context.store.calls) >= count, context.store.calls


@then("the store has sent the row at most {most:d} times")
def step_sent(context, most):
    sent = context.store.sent_bytes[_TABLE]
    assert sent <= most * _SENT_BYTES * 1.1, sent / _SENT_BYTES


async def _play(context, limit_s):
    """Follow the table until the copy has the row or the time is over."""
    rows = context.store = row_store.RowStore()
    rows.faults.bytes_per_s = context.bytes_per_s
    rows.faults.stalls = context.stalls
    port = await rows.start()
    if not context.is_written_later:
        rows.write(_TABLE, _KEY, _VALUE)
    endpoint = http_client.Endpoint("127.0.0.1", port)
    client = table_store.TableStore(http_client.ConnectionPool(0.5), lambda: [endpoint])
    copy = follower.TableFollower(client, _TABLE, "", lambda _row: None)
    task = asyncio.ensure_future(copy.run())
    try:
        if context.is_written_later:
            await asyncio.sleep(_FOLLOWED_S)
            rows.write(_TABLE, _KEY, _VALUE)
        async with asyncio.timeout(limit_s):
            while _KEY not in copy.rows:
                await asyncio.sleep(0.05)
    except TimeoutError:
        pass
    finally:
        context.has_row = _KEY in copy.rows
        task.cancel()
        await rows.stop()


@given("a store with the row of another daemon that {manner}")
def step_other_daemon(context, manner):
    context.manner = manner


@when("a daemon that starts loads the rows of the daemons")
def step_load_members(context):
    asyncio.run(_load_members(context))


async def _load_members(context):
    rows = row_store.RowStore()
    port = await rows.start()
    other = peer_registry.Identity("front-2", "near", "1", "10.0.0.2", 1)
    rows.write("state", "member/front-2", membership.encode_member(other))
    rows.faults.silent = "silent" in context.manner
    rows.faults.status = 503 if context.manner == "refuses all calls" else 0
    endpoint = http_client.Endpoint("127.0.0.1", port)
    pool = http_client.ConnectionPool(0.5)
    client = table_store.TableStore(pool, lambda: [endpoint])
    own = peer_registry.Identity("front-1", "near", "1", "10.0.0.1", 1)
    registry = peer_registry.PeerRegistry(own)
    members = membership.Membership(own, registry, client)
    loading = asyncio.ensure_future(members.load(members.apply))
    started_s = time.monotonic()
    if context.manner == "is silent for 1 s":
        await asyncio.sleep(1.0)
        rows.faults.silent = False
    await loading
    context.took_s = time.monotonic() - started_s
    context.names = list(registry.peers)
    await rows.stop()


@then("it knows the other daemon after {most:g} s at most")
def step_knows(context, most):
    assert context.names == ["front-2"], context.names
    assert context.took_s <= most, context.took_s


@then("it doesn't know the other daemon after {most:g} s at most")
def step_does_not_know(context, most):
    assert not context.names, context.names
    assert context.took_s <= most, context.took_s
