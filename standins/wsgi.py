"""WSGI servers without the delays of Nagle's algorithm."""

import contextlib
import socket
from typing import Any

from gevent import pywsgi

HOST = "127.0.0.1"


SOCKET_ENVIRON_KEY = "standin.socket"


class _Handler(pywsgi.WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        return super().get_environ() | {SOCKET_ENVIRON_KEY: self.socket}


class _Server(pywsgi.WSGIServer):
    handler_class = _Handler

    def __init__(self, *arguments: Any, **options: Any):
        super().__init__(*arguments, **options)
        self._connections: set[Any] = set()

    def handle(self, sock: Any, address: tuple) -> None:
        # The server sends header and body separately, and Nagle's algorithm
        # would delay the body.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._connections.discard(sock)

    def crash(self) -> None:
        """Close the port and all connections, as if the process had ended."""
        self.stop(timeout=0)
        for sock in self._connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def serve(application: Any, port: int = 0) -> pywsgi.WSGIServer:
    """Start a server for an application on a loopback port; 0 finds a free one."""
    server = _Server((HOST, port), application, log=None, error_log=None)
    server.start()
    return server


def drop_connection(environ: dict[str, Any]) -> list[bytes]:
    """Shut down the connection of a request without an answer."""
    environ[SOCKET_ENVIRON_KEY].shutdown(socket.SHUT_RDWR)
    return []
