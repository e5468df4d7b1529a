"""Serve a stand-in's WSGI application for one test."""

from typing import Any
import unittest

from standins import wsgi


def serve(test: unittest.TestCase, application: Any) -> tuple[str, int]:
    """Serve until the test ends; return the address."""
    server = wsgi.serve(application)
    test.addCleanup(server.stop, 0)
    return wsgi.HOST, server.server_port
