"""A peer that reads requests and answers with bytes from a script."""

import struct

from gevent import lock
from gevent import server
from gevent import socket

RESET = object()
CLOSE = object()
HANG = object()
READ = object()

Step = bytes | object


def build_response(status: int, body: bytes, extra: bytes = b"") -> bytes:
    """Return a response with a Content-Length."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n".encode()
    return head + extra + b"\r\n" + body


class Peer:
    """Plays a script on each connection.

    Attributes:
        requests: Requests read in full, on all connections.
        port: Where it listens.
    """

    def __init__(self, *script: Step):
        """Listen; on each connection the steps are played in order.

        One that reads is played again on the same connection, until the
        client ends it. A semaphore among the steps is acquired.
        """
        self.requests = 0
        self._script = script
        self._server = server.StreamServer(("127.0.0.1", 0), self._play)
        self._server.start()
        self.port = self._server.server_port

    def stop(self) -> None:
        self._server.stop()

    def _play(self, sock, _address):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while self._play_once(sock):
            pass

    def _play_once(self, sock) -> bool:
        """Return whether the connection goes on."""
        for step in self._script:
            if step is READ:
                if not self._read_request(sock):
                    return False
            elif step is HANG:
                self._wait_for_end(sock)
            elif step is RESET:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                return False
            elif step is CLOSE:
                return False
            elif isinstance(step, lock.Semaphore):
                step.acquire()
            else:
                sock.sendall(step)
        return READ in self._script

    def _wait_for_end(self, sock):
        try:
            while sock.recv(65536):
                pass
        except OSError:
            pass

    def _read_request(self, sock) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return False
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
        )
        missing = int(fields.get(b"content-length", b"0")) - len(body)
        while missing > 0:
            more = sock.recv(65536)
            if not more:
                return False
            missing -= len(more)
        self.requests += 1
        return True
