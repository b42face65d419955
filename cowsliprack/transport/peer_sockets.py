"""ROUTER and DEALER sockets between instances with CURVE encryption."""

import hashlib
from types import TracebackType
from typing import Any, Self

import msgspec
import structlog
import zmq
from zmq import asyncio as zmq_asyncio
from zmq.auth.asyncio import AsyncioAuthenticator
from zmq.utils import z85

from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    decode_message,
    encode_message,
)

# The largest messages are parts of a configuration, which are under 256 KB.
MAX_FRAME_BYTES = 512 * 1024
# Queue of one peer; small, because queued messages are soon out of date.
MAX_SEND_QUEUE_MESSAGES = 64
MAX_RECEIVE_QUEUE_MESSAGES = 1000
_HANDSHAKE_TIMEOUT_MS = 3000
_MIN_RECONNECT_DELAY_MS = 100
_MAX_RECONNECT_DELAY_MS = 2000
# TCP keepalive: idle time before the first probe, time between probes, and
# number of unanswered probes that ends the connection.
_KEEPALIVE_IDLE_SECONDS = 5
_KEEPALIVE_INTERVAL_SECONDS = 2
_MAX_KEEPALIVE_PROBES = 3
# The ROUTER socket delivers a message as identity and payload.
_FRAMES_PER_MESSAGE = 2
_ZAP_DOMAIN = b'cowsliprack'
_MAX_ID_BYTES = 64

_log = structlog.get_logger('cowsliprack.peers')


class CurveKeys(msgspec.Struct, frozen=True):
    """Key pair that all instances of a fleet share, Z85-encoded."""

    public: bytes
    secret: bytes


def derive_keys(fleet_secret: str) -> CurveKeys:
    """Return the key pair of a fleet.

    :param fleet_secret: fleet secret from the settings.
    """
    seed = hashlib.blake2b(
        fleet_secret.encode(),
        digest_size=32,
        person=b'cowsliprack-zmq',
    ).digest()
    secret = z85.encode(seed)
    return CurveKeys(public=zmq.curve_public(secret), secret=secret)


class PeerSockets:
    """Implements ``Peers`` with pyzmq, as an asynchronous context manager.

    :param instance_id: id of this instance and identity of its sockets.
    :param host: address to bind.
    :param port: port to bind; 0 lets the system choose.
    :param fleet_secret: peers with another secret are rejected.
    """

    def __init__(
        self,
        instance_id: str,
        host: str,
        port: int,
        fleet_secret: str,
    ) -> None:
        """Open no socket yet."""
        self.instance_id = instance_id
        self.address = f'{host}:{port}'
        self.undecodable_messages = 0
        self.dropped_messages = 0
        self.sent_bytes = 0
        self._keys = derive_keys(fleet_secret)
        self._context = zmq_asyncio.Context()
        self._authenticator = AsyncioAuthenticator(self._context)
        self._router = self._context.socket(zmq.ROUTER)
        # Sockets of the synchronous API send at once or fail. Those of the
        # asynchronous API would add a queue without a limit.
        self._sync_context = zmq.Context.shadow(self._context.underlying)
        self._dealers_by_id: dict[str, zmq.SyncSocket] = {}

    async def __aenter__(self) -> Self:
        """Bind the socket to which peers connect."""
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=_ZAP_DOMAIN.decode(),
            credentials_provider=_FleetCredentials(self._keys.public),
        )
        router = self._router
        self._set_options(router)
        router.curve_server = True
        router.zap_domain = _ZAP_DOMAIN
        # The new connection of a peer replaces its previous one.
        router.router_handover = True
        router.bind(f'tcp://{self.address}')
        endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix('tcp://')
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all sockets and drop unsent messages."""
        for instance_id in list(self._dealers_by_id):
            self.disconnect(instance_id)
        self._router.close(linger=0)
        self._authenticator.stop()
        self._context.destroy(linger=0)

    def connect(self, instance_id: str, address: str) -> None:
        """Open or replace the connection to a peer.

        :param instance_id: id of the peer.
        :param address: ``ip:port`` of its ROUTER socket.
        """
        self.disconnect(instance_id)
        dealer = self._sync_context.socket(zmq.DEALER)
        self._set_options(dealer)
        dealer.curve_serverkey = self._keys.public
        dealer.identity = self.instance_id.encode()
        try:
            dealer.connect(f'tcp://{address}')
        except zmq.ZMQError as error:
            # A wrong address in a lease or a setting must not affect other
            # connections.
            _log.warning('peer_address_invalid', peer=address, error=str(error))
            dealer.close(linger=0)
            return
        self._dealers_by_id[instance_id] = dealer

    def disconnect(self, instance_id: str) -> None:
        """Close the connection to a peer.

        :param instance_id: id of the peer.
        """
        dealer = self._dealers_by_id.pop(instance_id, None)
        if dealer is not None:
            dealer.close(linger=0)

    def send(self, instance_id: str, message: AnyPeerMessage) -> bool:
        """Queue a message to a connected peer.

        :param instance_id: id of the peer; unknown ids are ignored.
        :param message: message to send.
        :returns: whether the message was queued.
        """
        dealer = self._dealers_by_id.get(instance_id)
        if dealer is None:
            return False
        frame = encode_message(message)
        if len(frame) > MAX_FRAME_BYTES:
            self.dropped_messages += 1
            return False
        try:
            dealer.send(frame, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped_messages += 1
            return False
        self.sent_bytes += len(frame)
        return True

    async def receive(self) -> tuple[str, AnyPeerMessage]:
        """Return the sender's id and the next message."""
        while True:
            frames = await self._router.recv_multipart()
            received = _decode_frames(frames)
            if received is not None:
                return received
            self.undecodable_messages += 1

    def _set_options(self, socket: zmq.Socket[Any]) -> None:
        # ZMTP heartbeats stay off: libzmq aborts the process when their timer
        # fires on a connection that broke while its input was stopped, for
        # example after a long suspension. Membership detects silent peers.
        socket.linger = 0
        socket.sndhwm = MAX_SEND_QUEUE_MESSAGES
        socket.rcvhwm = MAX_RECEIVE_QUEUE_MESSAGES
        socket.maxmsgsize = MAX_FRAME_BYTES
        socket.handshake_ivl = _HANDSHAKE_TIMEOUT_MS
        socket.reconnect_ivl = _MIN_RECONNECT_DELAY_MS
        socket.reconnect_ivl_max = _MAX_RECONNECT_DELAY_MS
        socket.tcp_keepalive = 1
        socket.tcp_keepalive_idle = _KEEPALIVE_IDLE_SECONDS
        socket.tcp_keepalive_intvl = _KEEPALIVE_INTERVAL_SECONDS
        socket.tcp_keepalive_cnt = _MAX_KEEPALIVE_PROBES
        socket.curve_publickey = self._keys.public
        socket.curve_secretkey = self._keys.secret


class _FleetCredentials:
    """Admits only the public key that all instances of the fleet share."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer with a public key is admitted."""
        return key == self._public


def _decode_frames(frames: list[bytes]) -> tuple[str, AnyPeerMessage] | None:
    if len(frames) != _FRAMES_PER_MESSAGE or len(frames[0]) > _MAX_ID_BYTES:
        return None
    try:
        return frames[0].decode(), decode_message(frames[1])
    except (UnicodeDecodeError, msgspec.DecodeError):
        return None
