"""Tests of why an exchange got no response, against a scripted peer."""

import time
import unittest
from unittest import mock

from pollenladder.http import connections
from pollenladder.http import exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from tests.contracts import scripted

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
HALF = scripted.build_response(200, b"0123456789")[:-5]
Cause = exceptions.Cause

INTERIM = b"HTTP/1.1 100 Continue\r\nX-Field: " + b"v" * 60_000 + b"\r\n\r\n"

# What the peer does after it has read the request, and the cause.
CASES = {
    "closed without a response": ((scripted.CLOSE,), Cause.CLOSED),
    "closed within the response": ((HALF, scripted.CLOSE), Cause.CLOSED),
    "reset without a response": ((scripted.RESET,), Cause.RESET),
    "reset within the response": ((HALF, scripted.RESET), Cause.RESET),
}


class CauseTest(unittest.TestCase):
    def test_an_orderly_end_and_a_reset_differ(self):
        """Guards against a partition that looks like the end of a process."""
        for name, (steps, cause) in CASES.items():
            peer = scripted.Peer(scripted.READ, *steps)
            self.addCleanup(peer.stop)
            pool = connections.ConnectionPool(
                ("127.0.0.1", peer.port), 1, 1.0, 10.0, time.monotonic
            )
            with (
                self.subTest(name),
                self.assertRaises(exceptions.NoResponseError) as caught,
            ):
                exchanges.exchange(pool, REQUEST, timeout_s=2.0)
            self.assertIs(caught.exception.cause, cause)


class EndlessResponseTest(unittest.TestCase):
    def test_interim_responses_without_end_are_not_read_on(self):
        """Guards against an answer that is kept without any limit."""
        count = responses.MAX_RESPONSE_BYTES // len(INTERIM) + 20
        peer = scripted.Peer(scripted.READ, INTERIM * count)
        self.addCleanup(peer.stop)
        pool = connections.ConnectionPool(
            ("127.0.0.1", peer.port), 1, 1.0, 10.0, time.monotonic
        )
        with (
            mock.patch.object(responses, "MAX_RESPONSE_BYTES", 1_000_000),
            self.assertRaises(exceptions.NoResponseError) as caught,
        ):
            exchanges.exchange(pool, REQUEST, timeout_s=5.0)
        self.assertIs(caught.exception.cause, Cause.GARBAGE)
