"""Serve the WSGI application of a stand-in during a test."""

from typing import Any
import unittest

from standins import wsgi


def serve(test: unittest.TestCase, application: Any) -> tuple[str, int]:
    """Serve an application until the test ends; return its address."""
    server = wsgi.serve(application)
    test.addCleanup(server.stop, 0)
    return wsgi.HOST, server.server_port
