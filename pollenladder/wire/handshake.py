"""Mutual authentication with a shared secret when a link is opened.

Each side proves that it knows the secret by an HMAC over the nonces:

    acceptor  -> connector  [nonce_a]
    connector -> acceptor   [nonce_c, hello_c, HMAC("connector", ...)]
    acceptor  -> connector  [hello_a, HMAC("acceptor", ...)]

Each HMAC-SHA256 covers the sender's role, both nonces and the sender's own
hello, so an attacker can neither replay a recorded proof nor reflect a proof
to its sender. The connection of a peer that fails is closed without an error
message. The stream after the handshake is neither encrypted nor signed.
"""

import dataclasses
import hashlib
import hmac
import secrets
from typing import Any

import gevent
from gevent import socket
import msgpack

from pollenladder.wire import converters
from pollenladder.wire import exceptions
from pollenladder.wire import framing

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
# Limit on frames from peers that are not authenticated yet.
MAX_HANDSHAKE_BYTES = 4096
CONNECTOR = b"connector"
ACCEPTOR = b"acceptor"


@dataclasses.dataclass(frozen=True)
class Hello:
    """A daemon's description of itself, sent in the handshake.

    Attributes:
        daemon_id: The daemon's id.
        incarnation: A number that increases with each start of the daemon.
        data_centre: The data centre in which the daemon runs.
        address: The IP address at which peers reach the daemon.
        peer_port: The port for connections of peers.
        http_port: The port for HTTP requests of callers.
        version: The protocol version that the daemon uses.
    """

    daemon_id: str
    incarnation: int
    data_centre: str
    address: str
    peer_port: int
    http_port: int
    version: int = PROTOCOL_VERSION


_ENCODE_HELLO, _DECODE_HELLO = converters.compile_record(Hello)


def _compute_proof(secret: bytes, role: bytes, *parts: bytes) -> bytes:
    message = b"".join((role, b"\0", *parts))
    return hmac.new(secret, message, hashlib.sha256).digest()


def _receive_exactly(sock: socket.socket, size: int) -> bytes:
    received = bytearray()
    while len(received) < size:
        data = sock.recv(size - len(received))
        if not data:
            raise exceptions.HandshakeError("connection closed by the peer")
        received += data
    return bytes(received)


def _receive_values(sock: socket.socket, arity: int) -> list[bytes]:
    header = _receive_exactly(sock, framing.HEADER.size)
    (length,) = framing.HEADER.unpack(header)
    if length > MAX_HANDSHAKE_BYTES:
        raise exceptions.HandshakeError("oversized")
    values = framing.unpack_batch(_receive_exactly(sock, length))
    if len(values) != arity or any(type(v) is not bytes for v in values):
        raise exceptions.HandshakeError("unexpected number or type of values")
    return values


def _send_values(sock: socket.socket, *values: bytes) -> None:
    sock.sendall(framing.pack_batch([msgpack.packb(v) for v in values]))


def _check_proof(proof: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(proof, expected):
        raise exceptions.HandshakeError("HMAC does not match the shared secret")


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise exceptions.HandshakeError("nonce has a wrong length")


def _unpack_hello(packed: bytes) -> Hello:
    hello = _DECODE_HELLO(framing.unpack_batch(packed))
    if hello.version != PROTOCOL_VERSION:
        raise exceptions.VersionError(
            f"peer uses protocol version {hello.version}"
        )
    return hello


def _pack_hello(hello: Hello) -> bytes:
    return msgpack.packb(_ENCODE_HELLO(hello))


def _authenticate_as_connector(
    sock: socket.socket, own_hello: Hello, secret: bytes
) -> Hello:
    (their_nonce,) = _receive_values(sock, 1)
    _check_nonce(their_nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = _pack_hello(own_hello)
    proof = _compute_proof(secret, CONNECTOR, their_nonce, nonce, hello)
    _send_values(sock, nonce, hello, proof)
    their_hello, their_proof = _receive_values(sock, 2)
    expected = _compute_proof(secret, ACCEPTOR, their_nonce, nonce, their_hello)
    _check_proof(their_proof, expected)
    return _unpack_hello(their_hello)


def _authenticate_as_acceptor(
    sock: socket.socket, own_hello: Hello, secret: bytes
) -> Hello:
    nonce = secrets.token_bytes(NONCE_BYTES)
    _send_values(sock, nonce)
    their_nonce, their_hello, their_proof = _receive_values(sock, 3)
    _check_nonce(their_nonce)
    expected = _compute_proof(
        secret, CONNECTOR, nonce, their_nonce, their_hello
    )
    _check_proof(their_proof, expected)
    peer = _unpack_hello(their_hello)
    hello = _pack_hello(own_hello)
    _send_values(
        sock, hello, _compute_proof(secret, ACCEPTOR, nonce, their_nonce, hello)
    )
    return peer


def _run_handshake(authenticate: Any, timeout_s: float) -> Hello:
    try:
        with gevent.Timeout(timeout_s, exceptions.HandshakeError("timeout")):
            return authenticate()
    except exceptions.HandshakeError:
        raise
    except (OSError, exceptions.WireError) as error:
        raise exceptions.HandshakeError(type(error).__name__) from error


def connect(
    sock: socket.socket, own_hello: Hello, secret: bytes, timeout_s: float
) -> Hello:
    """Authenticate the peer on a connection opened by this daemon.

    Returns:
        The hello of the authenticated peer.

    Raises:
        exceptions.HandshakeError: The peer did not prove that it knows the
            secret, uses another protocol version, or exceeded the time limit.
    """
    return _run_handshake(
        lambda: _authenticate_as_connector(sock, own_hello, secret), timeout_s
    )


def accept(
    sock: socket.socket, own_hello: Hello, secret: bytes, timeout_s: float
) -> Hello:
    """Authenticate the peer on a connection opened by the peer.

    Returns and raises the same as `connect`.
    """
    return _run_handshake(
        lambda: _authenticate_as_acceptor(sock, own_hello, secret), timeout_s
    )
