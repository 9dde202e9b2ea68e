"""Transport between daemons over two ROUTER sockets with CURVE keys.

One socket is bound and answers on connections that peers opened; the other holds the
connections that this daemon opened, each with its own routing id. Sharing two sockets
among all peers keeps the cost of a poll independent of the number of connections.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import time
from collections import abc

import zmq
from zmq.utils import z85

from endivevane import exceptions
from endivevane.cluster import counts, inbound, key_names, messages
from endivevane.daemon import settings as daemon_settings

SEED_PREFIX = "seed:"
_ZAP_ENDPOINT = "inproc://zeromq.zap.01"
_ZAP_DOMAIN = b"endivevane"
_MAX_ROUTES = 1024
_MAX_BATCH = 200
_HIGH_WATER_MARK = 256
_HANDSHAKE_MS = 2000
_CONNECT_MS = 1000
_RECONNECT_MS = 200
_RECONNECT_MAX_MS = 3000
# Unacknowledged data closes a connection, so that a stalled one is reopened.
_RETRANSMIT_MS = 4000
# A handshake takes longer than a probe timeout on a busy machine. Closing connections
# before it completed kept 100 members from ever connecting.
_UNRESPONSIVE_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class _Connection:
    routing_id: bytes
    endpoint: str
    public_key: str
    last_seen_s: float


@dataclasses.dataclass(slots=True)
class _Route:
    routing_id: bytes
    public_key: str
    descriptor: int


class Transport:
    """Sends and receives messages; used by one thread only.

    :param settings: the daemon's settings; without keys, connections are unencrypted
    :param max_connections: limit of connections that this daemon opens; the least
        recently used one is closed for a new one
    """

    def __init__(
        self, settings: daemon_settings.Settings, max_connections: int
    ) -> None:
        self._settings = settings
        self._max_connections = max_connections
        self.counts = counts.MessageCounts()
        self._context = zmq.Context(io_threads=1)
        self._zap = self._context.socket(zmq.REP)
        self._zap.setsockopt(zmq.LINGER, 0)
        self._zap.bind(_ZAP_ENDPOINT)
        self._allowed = _read_allowed_keys(settings.keys)
        self._names = key_names.KeyNames(settings)
        self._server = self._make_socket()
        self._client = self._make_socket()
        self._secure_server()
        self._server.bind(f"tcp://{settings.daemon.cluster_listen}")
        self._connections: collections.OrderedDict[str, _Connection]
        self._connections = collections.OrderedDict()
        self._routes: collections.OrderedDict[str, _Route] = collections.OrderedDict()
        self._numbers = itertools.count(1)
        self._poller = zmq.Poller()
        for socket in (self._zap, self._server, self._client):
            self._poller.register(socket, zmq.POLLIN)

    def register_wake(self, descriptor: int) -> None:
        """Register a file descriptor that ends a wait when it is readable."""
        self._poller.register(descriptor, zmq.POLLIN)

    def wait(self, timeout_s: float) -> None:
        """Wait for a message, a handshake or the wake-up descriptor."""
        self._poller.poll(max(0, round(timeout_s * 1000)))
        self._answer_handshakes()

    def receive(self) -> abc.Iterator[messages.Message]:
        """Yield received messages, up to a batch limit per socket."""
        for socket, is_inbound in ((self._server, True), (self._client, False)):
            for _ in range(_MAX_BATCH):
                try:
                    frames = socket.recv_multipart(zmq.NOBLOCK, copy=False)
                except zmq.Again:
                    break
                message = self._decode([frame.bytes for frame in frames])
                if message is None:
                    continue
                routing_id, sender = frames[0].bytes, message.header.sender
                if is_inbound:
                    public_key = inbound.read_user_id(frames[-1])
                    if not self._is_allowed(public_key):
                        self.counts.record_dropped("removed_key")
                        self._close_inbound(inbound.read_descriptor(frames[-1]))
                        continue
                else:
                    public_key = self._find_key(routing_id)
                if not self._names.may_send(message, public_key):
                    self.counts.record_dropped("wrong_name")
                    continue
                if is_inbound:
                    self._record_route(sender, frames, public_key)
                else:
                    self._record_answer(routing_id, sender)
                yield message

    def is_connected(self, name: str) -> bool:
        """Return whether this daemon has opened a connection to a peer."""
        return name in self._connections

    def connect(self, name: str, address: str, public_key: str) -> None:
        """Open a connection unless an identical one is open.

        :param public_key: CURVE key of the peer; must be in the allow-list
        """
        if not self._is_allowed(public_key):
            self.counts.record_dropped("unknown_key")
            return
        endpoint = f"tcp://{address}"
        known = self._connections.get(name)
        if known is not None:
            if known.endpoint == endpoint and known.public_key == public_key:
                self._connections.move_to_end(name)
                return
            self.disconnect(name)
        self._close_endpoint(endpoint)
        while len(self._connections) >= self._max_connections:
            self.disconnect(next(iter(self._connections)))
        routing_id = f"{name}#{next(self._numbers)}".encode()
        self._client.setsockopt(zmq.CONNECT_ROUTING_ID, routing_id)
        self._secure_client(public_key)
        self._client.connect(endpoint)
        self._connections[name] = _Connection(
            routing_id, endpoint, public_key, time.monotonic()
        )

    def replace_keys(self, keys: daemon_settings.KeysSection) -> None:
        """Replace allowed keys and their names, and close excluded connections.

        A connection that a peer opened and has not used yet is closed on its first
        message.

        :param keys: new lists; the own key pair must be unchanged
        """
        self._settings = self._settings.model_copy(update={"keys": keys})
        self._allowed = _read_allowed_keys(keys)
        self._names = key_names.KeyNames(self._settings)
        for name, connection in list(self._connections.items()):
            if not self._may_hold(name, connection.public_key):
                self.disconnect(name)
                self.counts.record_closed("out")
        for name, route in list(self._routes.items()):
            if not self._may_hold(name, route.public_key):
                del self._routes[name]
                self._close_inbound(route.descriptor)

    def drop_unresponsive(self, name: str) -> None:
        """Close a connection on which nothing was received recently."""
        connection = self._connections.get(name)
        if connection is None:
            return
        if time.monotonic() - connection.last_seen_s >= _UNRESPONSIVE_AFTER_S:
            self.disconnect(name)

    def disconnect(self, name: str) -> None:
        """Close the connection that this daemon opened to a peer."""
        connection = self._connections.pop(name, None)
        if connection is None:
            return
        try:
            self._client.disconnect(connection.endpoint)
        except zmq.ZMQError:
            self.counts.record_dropped("disconnect")

    def send(
        self, name: str, message: messages.Message, prefer_route: bool = False
    ) -> bool:
        """Send over an open connection; return whether the message was queued.

        :param prefer_route: answer on the connection that the peer opened, if its last
            message came over it
        """
        connection = self._connections.get(name)
        route = self._routes.get(name)
        kind, data = messages.encode(message)
        if len(data) > messages.MAX_MESSAGE_BYTES:
            self.counts.record_dropped("oversized")
            return False
        if route is not None and (prefer_route or connection is None):
            socket, target = self._server, route.routing_id
        elif connection is not None:
            socket, target = self._client, connection.routing_id
            self._connections.move_to_end(name)
        else:
            return False
        try:
            socket.send_multipart([target, data], zmq.NOBLOCK)
        except zmq.ZMQError:
            self.counts.record_dropped("send")
            return False
        self.counts.record("out", kind, len(data))
        return True

    def close(self) -> None:
        """Close all sockets without waiting for unsent messages."""
        for socket in (self._client, self._server, self._zap):
            socket.close(0)
        self._context.term()

    def _decode(self, frames: list[bytes]) -> messages.Message | None:
        if len(frames) != 2:
            self.counts.record_dropped("frames")
            return None
        try:
            kind, message = messages.decode(frames[1])
        except exceptions.ProtocolError:
            self.counts.record_dropped("malformed")
            return None
        self.counts.record("in", kind, len(frames[1]))
        return message

    def _is_allowed(self, public_key: str) -> bool:
        return self._settings.keys is None or public_key in self._allowed

    def _may_hold(self, name: str, public_key: str) -> bool:
        """Return whether the connection with a peer may stay open."""
        if not self._is_allowed(public_key):
            return False
        is_seed = name.startswith(SEED_PREFIX)
        return is_seed or self._names.is_authorised(name, public_key)

    def _close_inbound(self, descriptor: int) -> None:
        address = self._settings.daemon.cluster_listen
        if inbound.close_connection(descriptor, address):
            self.counts.record_closed("in")

    def _record_route(
        self, name: str, frames: list[zmq.Frame], public_key: str
    ) -> None:
        routing_id = frames[0].bytes
        known = self._routes.get(name)
        if known is None or known.routing_id != routing_id:
            descriptor = inbound.read_descriptor(frames[-1])
            self._routes[name] = _Route(routing_id, public_key, descriptor)
        self._routes.move_to_end(name)
        if len(self._routes) > _MAX_ROUTES:
            self._routes.popitem(last=False)

    def _find_key(self, routing_id: bytes) -> str:
        """Return the public key of the peer of a connection opened by this daemon."""
        label = routing_id.rpartition(b"#")[0].decode()
        for connection in (self._connections.get(label), *self._connections.values()):
            if connection is not None and connection.routing_id == routing_id:
                return connection.public_key
        return ""

    def _record_answer(self, routing_id: bytes, name: str) -> None:
        """Mark a connection as responsive, and name a seed's connection by its peer."""
        label = routing_id.rpartition(b"#")[0].decode()
        connection = self._connections.get(label)
        if connection is None or connection.routing_id != routing_id:
            return
        connection.last_seen_s = time.monotonic()
        # The peer may have restarted since it opened its own connection; messages sent
        # over that connection would be lost without an error.
        self._routes.pop(name, None)
        if not label.startswith(SEED_PREFIX):
            return
        if name in self._connections:
            self.disconnect(label)
            return
        self._connections[name] = self._connections.pop(label)

    def _close_endpoint(self, endpoint: str) -> None:
        """Close other connections to an endpoint.

        ZeroMQ closes all connections to an endpoint together, so there must never be
        two.
        """
        for name, connection in list(self._connections.items()):
            if connection.endpoint == endpoint:
                self.disconnect(name)

    def _make_socket(self) -> zmq.Socket[bytes]:
        socket = self._context.socket(zmq.ROUTER)
        for option, value in (
            (zmq.LINGER, 0),
            (zmq.SNDHWM, _HIGH_WATER_MARK),
            (zmq.RCVHWM, _HIGH_WATER_MARK),
            (zmq.MAXMSGSIZE, messages.MAX_MESSAGE_BYTES),
            (zmq.HANDSHAKE_IVL, _HANDSHAKE_MS),
            (zmq.CONNECT_TIMEOUT, _CONNECT_MS),
            (zmq.RECONNECT_IVL, _RECONNECT_MS),
            (zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS),
            (zmq.TCP_KEEPALIVE, 1),
            (zmq.TCP_KEEPALIVE_IDLE, 10),
            (zmq.TCP_KEEPALIVE_INTVL, 3),
            (zmq.TCP_KEEPALIVE_CNT, 3),
            (zmq.TCP_MAXRT, _RETRANSMIT_MS),
            (zmq.BACKLOG, 512),
        ):
            socket.setsockopt(option, value)
        return socket

    def _secure_server(self) -> None:
        keys = self._settings.keys
        if keys is None:
            return
        self._server.setsockopt(zmq.CURVE_SERVER, 1)
        self._server.setsockopt(zmq.ZAP_DOMAIN, _ZAP_DOMAIN)
        secret = keys.secret.get_secret_value().encode()
        self._server.setsockopt(zmq.CURVE_SECRETKEY, secret)
        self._client.setsockopt(zmq.CURVE_SECRETKEY, secret)
        self._client.setsockopt(zmq.CURVE_PUBLICKEY, keys.public.encode())

    def _secure_client(self, public_key: str) -> None:
        if self._settings.keys is not None:
            self._client.setsockopt(zmq.CURVE_SERVERKEY, public_key.encode())

    def _answer_handshakes(self) -> None:
        """Answer ZAP requests; a peer is accepted by its public key alone."""
        for _ in range(_MAX_BATCH):
            try:
                frames = self._zap.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            version, request_id, *_ = [*frames, b"", b""]
            is_allowed = len(frames) == 7 and frames[6] in self._allowed.values()
            status = [b"200", b"OK"] if is_allowed else [b"400", b"unknown key"]
            # ZeroMQ attaches the user id to each message of the connection.
            user_id = _encode_key(frames[6]) if is_allowed else b""
            if not is_allowed:
                self.counts.record_dropped("handshake")
            self._zap.send_multipart([version, request_id, *status, user_id, b""])


def _read_allowed_keys(keys: daemon_settings.KeysSection | None) -> dict[str, bytes]:
    """Return the binary form of each allowed key, including the own key."""
    if keys is None:
        return {}
    encoded_keys = {keys.public, *keys.peer_public}
    for listed in keys.peers.values():
        encoded_keys.update(listed)
    decode: abc.Callable[[bytes], bytes] = z85.decode
    return {encoded_key: decode(encoded_key.encode()) for encoded_key in encoded_keys}


def _encode_key(data: bytes) -> bytes:
    """Return the Z85 text of a binary key."""
    encode: abc.Callable[[bytes], bytes] = z85.encode
    return encode(data)
