"""Tests of `bench.load`, also against servers with invalid answers."""

import json
import time
import unittest

from gevent import server

from bench import load
from bench import ports
from tests.bench import jobs

WHOLE = {
    "job": "j",
    "outcome": "complete",
    "tasks": [jobs.make_result("t0", "a")],
}


def reply(text: str) -> bytes:
    """Return an HTTP answer with the given body."""
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n"
    return (head + text).encode()


# Name, data that the server sends before it closes, expected outcome.
CASES = (
    ("whole", reply(json.dumps(WHOLE)), "complete"),
    ("closed at once", b"", "closed"),
    ("closed in the head", b"HTTP/1.1 200 OK\r\nContent-", "closed"),
    ("cut body", reply(json.dumps(WHOLE))[:-5], "closed"),
    ("garbage", b"\x00\x01\x02 nonsense\r\n\r\n", "closed"),
    ("not JSON", reply("{nonsense"), "closed"),
)


class RunAllTest(unittest.TestCase):
    def run_against(self, *targets: int, timeout_s: float = 10.0) -> str:
        settings = load.Settings(list(targets), 0.0, timeout_s, time.time())
        return load.run_all(settings, [jobs.make_request("a")])[0].outcome

    def serve(self, handle) -> int:
        stream = server.StreamServer((ports.HOST, 0), handle)
        stream.start()
        self.addCleanup(stream.stop, 0)
        return stream.server_port

    def test_answers(self):
        for name, answer, expected in CASES:

            def handle(peer, address, answer=answer):
                peer.recv(65536)
                peer.sendall(answer)
                peer.close()

            with self.subTest(name):
                self.assertEqual(self.run_against(self.serve(handle)), expected)

    def test_refused_connection_without_another_daemon(self):
        port = ports.find_free_ports(1)[0]
        self.assertEqual(self.run_against(port), "closed")

    def test_refused_connection_is_retried_on_the_next_daemon(self):
        def handle(peer, address):
            peer.recv(65536)
            peer.sendall(reply(json.dumps(WHOLE)))
            peer.close()

        unused_port = ports.find_free_ports(1)[0]
        outcome = self.run_against(unused_port, self.serve(handle))
        self.assertEqual(outcome, "complete")

    def test_broken_connection_is_not_retried(self):
        received = []

        def handle(peer, address):
            received.append(peer.recv(65536))
            peer.close()

        targets = self.serve(handle), self.serve(handle)
        self.assertEqual(self.run_against(*targets), "closed")
        self.assertEqual(len(received), 1)

    def test_no_answer_in_time_is_lost(self):
        def handle(peer, address):
            while peer.recv(65536):
                pass

        port = self.serve(handle)
        self.assertEqual(self.run_against(port, timeout_s=0.05), "lost")
