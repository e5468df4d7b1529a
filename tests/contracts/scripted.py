"""A peer that reads HTTP requests and sends bytes from a script."""

import struct

from gevent import lock
from gevent import server
from gevent import socket

# Steps of a script: reset the connection, close it, wait until the client
# closes it, or read one request.
RESET = object()
CLOSE = object()
HANG = object()
READ = object()

Step = bytes | object


def build_response(status: int, body: bytes, extra: bytes = b"") -> bytes:
    """Return the bytes of a response with a Content-Length header."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n".encode()
    return head + extra + b"\r\n" + body


class Peer:
    """Plays a script on each connection.

    Attributes:
        requests: Number of requests read completely, on all connections.
        port: The port on which the peer listens.
    """

    def __init__(self, *script: Step):
        """Listen, and play the steps in order on each connection.

        A step is one of the constants above, bytes to send, or a semaphore to
        acquire. A script that contains READ is repeated on the same
        connection until the client closes it.
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
        """Play the script once and return whether to repeat it."""
        for step in self._script:
            if step is READ:
                if not self._read_request(sock):
                    return False
            elif step is HANG:
                self._wait_until_closed(sock)
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

    def _wait_until_closed(self, sock):
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
        missing_bytes = int(fields.get(b"content-length", b"0")) - len(body)
        while missing_bytes > 0:
            more = sock.recv(65536)
            if not more:
                return False
            missing_bytes -= len(more)
        self.requests += 1
        return True
