"""Tests of the socket that the server passes to the application."""

import socket
import unittest

import gevent

from pollenladder.gateway import handlers
from pollenladder.gateway import limits
from pollenladder.gateway import listeners

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class _Meter:
    def set(self, value: float) -> None:
        """Ignore the value."""

    def inc(self) -> None:
        """Do nothing."""


class _Meters:
    http_connections = _Meter()
    connections_refused = _Meter()


class ConnectionTest(unittest.TestCase):
    """An application must not take a waiting caller for a disconnected one.

    A socket that the server itself has shut down for reading looks as if the
    caller had disconnected, so it is not passed on.
    """

    def setUp(self):
        self.seen = []

        def serve(environ, start_response):
            self.seen.append(environ[handlers.SOCKET_VARIABLE])
            start_response("200 OK", [("Content-Length", "0")])
            return [b""]

        self.server = listeners.listen(
            "127.0.0.1", 0, serve, _Meters(), limits.Limits()
        )
        self.addCleanup(self.server.stop_accepting)
        self.caller = socket.create_connection(
            ("127.0.0.1", self.server.port), 5
        )
        self.addCleanup(self.caller.close)
        gevent.sleep(0.05)

    def test_environ_holds_the_socket_of_the_connection(self):
        self.caller.send(REQUEST)
        gevent.sleep(0.05)
        self.assertEqual(len(self.seen), 1)
        self.assertIsNotNone(self.seen[0])

    def test_environ_holds_no_socket_after_reading_is_shut_down(self):
        self.caller.send(REQUEST)
        self.server._close_idle()
        gevent.sleep(0.05)
        self.assertEqual(self.seen, [None])
        self.assertTrue(self.caller.recv(100).startswith(b"HTTP/1.1 200"))
