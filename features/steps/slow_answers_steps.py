import asyncio

from behave import given, then, when

from endivevane.platform import table_store
from endivevane.serving import follower, http_client
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
