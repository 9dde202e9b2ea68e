import http.server
import socket
import threading

import result
from behave import given, then, when

from endivevane import types
from endivevane.coordination import store
from endivevane.external import http_pool, table


def _start(context, answer):
    """Serve POST requests on a free port with a function of the handler."""
    context.seen = []

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self):
            self.rfile.read(int(self.headers["Content-Length"]))
            context.seen.append(self.path)
            answer(self)

        def log_message(self, *_arguments):
            return

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    context.cleanups.append(server.server_close)
    context.cleanups.append(server.shutdown)
    context.address = types.Address("127.0.0.1", server.server_port)


@given(
    'a table service that responds to every call with status {status:d} and "{body}"'
)
def step_status(context, status, body):
    def answer(handler):
        data = body.encode()
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    _start(context, answer)


@given("a table service that closes each connection after reading the request")
def step_close(context):
    def answer(handler):
        handler.close_connection = True
        handler.connection.shutdown(socket.SHUT_RDWR)

    _start(context, answer)


@given("a table service address where nothing listens")
def step_nothing(context):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        context.address = types.Address("127.0.0.1", sock.getsockname()[1])


@when("a transaction is sent")
def step_transact(context):
    pool = http_pool.HttpPool(context.address, http_pool.PoolSettings())
    client = table.TableClient(pool)
    context.outcome = client.transact(
        "op-1",
        [store.Condition("config", "head", None)],
        [store.Write("config", "head", {"revision": 1})],
    )


@then('the transaction\'s error is "{name}"')
def step_error(context, name):
    assert isinstance(context.outcome, result.Err), context.outcome
    assert type(context.outcome.err_value).__name__ == name, context.outcome


@then("the table service has seen {count:d} transaction")
def step_seen(context, count):
    assert len(context.seen) == count, context.seen
