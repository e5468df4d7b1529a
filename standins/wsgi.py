"""Serve a WSGI application without delays of the transport."""

import socket
from typing import Any

from gevent import pywsgi

HOST = "127.0.0.1"


SOCKET_VARIABLE = "standin.socket"


class _Handler(pywsgi.WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        return super().get_environ() | {SOCKET_VARIABLE: self.socket}


class _Server(pywsgi.WSGIServer):
    handler_class = _Handler

    def handle(self, sock: Any, address: tuple) -> None:
        # Header and body go out apart; Nagle's algorithm would hold the body.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def serve(application: Any) -> pywsgi.WSGIServer:
    """Serve an application on a free port of this machine."""
    server = _Server((HOST, 0), application, log=None, error_log=None)
    server.start()
    return server


def drop(environ: dict[str, Any]) -> list[bytes]:
    """Close a request's connection without an answer."""
    environ[SOCKET_VARIABLE].shutdown(socket.SHUT_RDWR)
    return []
