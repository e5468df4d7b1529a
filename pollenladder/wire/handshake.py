"""Mutual authentication by a shared secret when a link is made.

    acceptor  -> connector  [nonce_a]
    connector -> acceptor   [nonce_c, hello_c, HMAC("connector", ...)]
    acceptor  -> connector  [hello_a, HMAC("acceptor", ...)]

Each HMAC-SHA256 covers the role, both nonces and the sender's own hello, so
neither a replayed nor a reflected proof is of use. Whoever fails is closed
without a word. The stream behind it is neither encrypted nor signed.
"""

import dataclasses
import hashlib
import hmac
import secrets
from typing import Any

import gevent
from gevent import socket
import msgpack

from pollenladder.wire import exceptions
from pollenladder.wire import framing
from pollenladder.wire import shapes

PROTOCOL_VERSION = 1
NONCE_BYTES = 32
MAX_HANDSHAKE_BYTES = 4096
CONNECTOR = b"connector"
ACCEPTOR = b"acceptor"


@dataclasses.dataclass(frozen=True)
class Hello:
    """What a daemon says of itself.

    Attributes:
        daemon_id: The daemon's id.
        incarnation: Grows with each start of the daemon.
        data_centre: Where it runs.
        address: The IP number at which peers reach it.
        peer_port: Its port for peers.
        http_port: Its port for callers.
        version: The version of the protocol that it speaks.
    """

    daemon_id: str
    incarnation: int
    data_centre: str
    address: str
    peer_port: int
    http_port: int
    version: int = PROTOCOL_VERSION


_ENCODE_HELLO, _DECODE_HELLO = shapes.compile_record(Hello)


def _sign(secret: bytes, role: bytes, *parts: bytes) -> bytes:
    message = b"".join((role, b"\0", *parts))
    return hmac.new(secret, message, hashlib.sha256).digest()


def _receive_exactly(sock: socket.socket, size: int) -> bytes:
    received = bytearray()
    while len(received) < size:
        data = sock.recv(size - len(received))
        if not data:
            raise exceptions.HandshakeError("closed by the peer")
        received += data
    return bytes(received)


def _receive(sock: socket.socket, arity: int) -> list[bytes]:
    header = _receive_exactly(sock, framing.HEADER.size)
    (length,) = framing.HEADER.unpack(header)
    if length > MAX_HANDSHAKE_BYTES:
        raise exceptions.HandshakeError("oversized")
    values = framing.unpack_batch(_receive_exactly(sock, length))
    if len(values) != arity or any(type(v) is not bytes for v in values):
        raise exceptions.HandshakeError("unexpected values")
    return values


def _send(sock: socket.socket, *values: bytes) -> None:
    sock.sendall(framing.pack_batch([msgpack.packb(v) for v in values]))


def _check_proof(proof: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(proof, expected):
        raise exceptions.HandshakeError("wrong proof")


def _check_nonce(nonce: bytes) -> None:
    if len(nonce) != NONCE_BYTES:
        raise exceptions.HandshakeError("wrong nonce")


def _unpack_hello(packed: bytes) -> Hello:
    hello = _DECODE_HELLO(framing.unpack_batch(packed))
    if hello.version != PROTOCOL_VERSION:
        raise exceptions.VersionError(f"version {hello.version}")
    return hello


def _pack_hello(hello: Hello) -> bytes:
    return msgpack.packb(_ENCODE_HELLO(hello))


def _greet_as_connector(
    sock: socket.socket, own: Hello, secret: bytes
) -> Hello:
    (their_nonce,) = _receive(sock, 1)
    _check_nonce(their_nonce)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = _pack_hello(own)
    proof = _sign(secret, CONNECTOR, their_nonce, nonce, hello)
    _send(sock, nonce, hello, proof)
    their_hello, their_proof = _receive(sock, 2)
    expected = _sign(secret, ACCEPTOR, their_nonce, nonce, their_hello)
    _check_proof(their_proof, expected)
    return _unpack_hello(their_hello)


def _greet_as_acceptor(sock: socket.socket, own: Hello, secret: bytes) -> Hello:
    nonce = secrets.token_bytes(NONCE_BYTES)
    _send(sock, nonce)
    their_nonce, their_hello, their_proof = _receive(sock, 3)
    _check_nonce(their_nonce)
    expected = _sign(secret, CONNECTOR, nonce, their_nonce, their_hello)
    _check_proof(their_proof, expected)
    peer = _unpack_hello(their_hello)
    hello = _pack_hello(own)
    _send(sock, hello, _sign(secret, ACCEPTOR, nonce, their_nonce, hello))
    return peer


def _run(greet: Any, timeout_s: float) -> Hello:
    try:
        with gevent.Timeout(timeout_s, exceptions.HandshakeError("timeout")):
            return greet()
    except exceptions.HandshakeError:
        raise
    except (OSError, exceptions.WireError) as error:
        raise exceptions.HandshakeError(type(error).__name__) from error


def connect(
    sock: socket.socket, own: Hello, secret: bytes, timeout_s: float
) -> Hello:
    """Authenticate a connection that this daemon made.

    Returns:
        What the peer says of itself, proved.

    Raises:
        exceptions.HandshakeError: The peer failed to prove that it knows the
            secret, speaks another version, or took too long.
    """
    return _run(lambda: _greet_as_connector(sock, own, secret), timeout_s)


def accept(
    sock: socket.socket, own: Hello, secret: bytes, timeout_s: float
) -> Hello:
    """Authenticate a connection that a peer made; as `connect`."""
    return _run(lambda: _greet_as_acceptor(sock, own, secret), timeout_s)
