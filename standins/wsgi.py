"""WSGI servers without the delays of Nagle's algorithm."""

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

    def handle(self, sock: Any, address: tuple) -> None:
        # The server sends header and body separately, and Nagle's algorithm
        # would delay the body.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def serve(application: Any) -> pywsgi.WSGIServer:
    """Start a server for an application on a free loopback port."""
    server = _Server((HOST, 0), application, log=None, error_log=None)
    server.start()
    return server


def drop_connection(environ: dict[str, Any]) -> list[bytes]:
    """Shut down the connection of a request without an answer."""
    environ[SOCKET_ENVIRON_KEY].shutdown(socket.SHUT_RDWR)
    return []
