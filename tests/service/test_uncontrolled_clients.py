"""Clients that nobody controls cannot take a daemon's memory or its descriptors.

Each test guards against a daemon that ends, hangs, exceeds the limits of its machine, or
serves no ordinary caller, because of what a crowd sends or does not read.
"""

import unittest

import gevent
from gevent import socket

from soak import clusters
from standins import site as sites
from tests.service import crowds

MEMORY_MB = 100
MAX_DESCRIPTORS = 400
SIZE = 60
IDLE_SIZE = 500
# Each client sends at most so much.
MAX_SENT_BYTES = 7 * crowds.MB
SEND_S = 4.0
# Longer than a request may take to arrive.
HOLD_S = 1.0
HOST_FIELD = f"Host: {sites.QUEUE_HOST}\r\n".encode()
CHUNKED_FIELD = b"Transfer-Encoding: chunked\r\n"
LONG_VALUE = b"v" * 64_000
CALLERS_PORT = 0
READINESS_PORT = 1
BUSY = 429
RETRY_AFTER_S = 1.0
PEER_PORT = 2


def _build_start(method: str, number: int, *fields: bytes) -> bytes:
    """Return the start of a request for a job, with header fields."""
    line = f"{method} {sites.PREFIX}{number:016x} HTTP/1.1\r\n".encode()
    return line + HOST_FIELD + b"".join(fields)


def _send_start_and_repeat(start: bytes, part: bytes) -> crowds.Send:
    """Return a function that sends a start, and then a part again and again."""

    def send(sock: socket.socket) -> None:
        sock.sendall(start)
        sent = len(start)
        while sent < MAX_SENT_BYTES:
            sock.sendall(part)
            sent += len(part)

    return send


class UncontrolledClientsTest(unittest.TestCase):
    """One daemon on a small machine, a crowd, and an ordinary caller."""

    def setUp(self):
        self.cluster = clusters.Cluster(
            self.addCleanup,
            ["d1"],
            workers=2,
            memory_mb=MEMORY_MB,
            max_descriptors=MAX_DESCRIPTORS,
        )
        self.cluster.wait_until_ready()
        self.cluster.wait_for_owner()
        self._jobs = 0
        self._check_served()

    def _check_served(self, attempts: int = 1) -> None:
        """Check that an ordinary caller is served.

        Args:
            attempts: How often the caller tries, with a pause as it is told, while
                it is refused as the workers are busy.
        """
        for _ in range(attempts):
            self._jobs += 1
            job_id = f"{self._jobs:016x}"
            reply = self.cluster.submit("d1", job_id, sites.build_job(tasks=1))
            if reply.status != BUSY:
                break
            gevent.sleep(RETRY_AFTER_S)
        self.assertEqual(reply.state, "completed", f"status {reply.status}")

    def _check(
        self,
        send: crowds.Send,
        size: int = SIZE,
        port: int = CALLERS_PORT,
        attempts: int = 1,
    ) -> None:
        """Check the daemon while a crowd sends, while it waits, and afterwards."""
        daemon = self.cluster.daemons["d1"]
        usage = crowds.Usage(daemon.process.pid, daemon.ports[port])
        crowd = crowds.Crowd(daemon.ports[port], size, send)
        try:
            crowd.wait(SEND_S)
            gevent.sleep(HOLD_S)
            self._check_served(attempts)
        finally:
            crowd.close()
            usage.stop()
        self.assertIsNone(daemon.process.poll())
        self._check_served(attempts)
        self.assertLess(usage.memory_mb, MEMORY_MB)
        self.assertLess(usage.descriptors, MAX_DESCRIPTORS)

    def test_many_long_header_fields(self):
        fields = b"".join(b"X-%d: %b\r\n" % (i, LONG_VALUE) for i in range(99))
        self._check(lambda sock: sock.sendall(_build_start("POST", 1, fields)))

    def test_many_long_header_fields_at_the_readiness_port(self):
        fields = b"".join(b"X-%d: %b\r\n" % (i, LONG_VALUE) for i in range(99))
        start = b"GET /ready HTTP/1.1\r\n" + fields
        self._check(lambda sock: sock.sendall(start), port=READINESS_PORT)

    def test_header_fields_without_end(self):
        start = _build_start("POST", 1)
        self._check(_send_start_and_repeat(start, b"X-Field: value\r\n" * 100))

    def test_a_header_field_without_end(self):
        start = _build_start("POST", 1, b"X-Field: ")
        self._check(_send_start_and_repeat(start, LONG_VALUE))

    def test_a_request_line_without_end(self):
        self._check(_send_start_and_repeat(b"POST /", LONG_VALUE))

    def test_empty_lines_without_end(self):
        self._check(_send_start_and_repeat(b"\r\n", b"\r\n" * 1000))

    def test_a_chunked_body_without_end(self):
        start = _build_start("POST", 1, CHUNKED_FIELD, b"\r\n")
        chunk = b"%x\r\n%b\r\n" % (len(LONG_VALUE), LONG_VALUE)
        self._check(_send_start_and_repeat(start, chunk))

    def test_chunks_of_one_byte_without_end(self):
        start = _build_start("POST", 1, CHUNKED_FIELD, b"\r\n")
        self._check(_send_start_and_repeat(start, b"1\r\nv\r\n" * 1000))

    def test_trailers_without_end(self):
        start = _build_start("POST", 1, CHUNKED_FIELD, b"\r\n0\r\n")
        self._check(_send_start_and_repeat(start, b"X-Field: value\r\n" * 100))

    def test_long_bodies_that_do_not_end(self):
        length = 260_000
        field = b"Content-Length: %d\r\n\r\n" % length
        start = _build_start("POST", 1, field)
        self._check(lambda sock: sock.sendall(start + b"v" * (length - 1)))

    def test_whole_requests_with_long_heads(self):
        # They wait for their answers, as the workers have no room for all.
        body = sites.build_job(tasks=1, run_ms=2_000)
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        fields = b"".join(b"X-%d: %b\r\n" % (i, LONG_VALUE) for i in range(90))

        def send(sock: socket.socket) -> None:
            self._jobs += 1
            start = _build_start("POST", self._jobs, fields, length)
            sock.sendall(start + body)

        self._check(send)

    def test_whole_requests_of_the_longest_size(self):
        body = sites.build_job(tasks=1, run_ms=2_000)
        body += b" " * (260_000 - len(body))
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        field = b"X-Field: %b\r\n" % LONG_VALUE[:30_000]

        def send(sock: socket.socket) -> None:
            self._jobs += 1
            sock.sendall(_build_start("POST", self._jobs, field, length) + body)

        # The jobs of the crowd keep the workers busy.
        self._check(send, attempts=5)

    def test_jobs_of_very_many_tasks(self):
        # Small tasks, so that many of them fit on a worker.
        for cpu in (1, 27_000):
            with self.subTest(cpu=cpu):
                self._check_jobs(sites.build_job(tasks=10_000, cpu=cpu))

    def _check_jobs(self, body: bytes) -> None:
        length = b"Content-Length: %d\r\n\r\n" % len(body)

        def send(sock: socket.socket) -> None:
            self._jobs += 1
            sock.sendall(_build_start("POST", self._jobs, length) + body)

        self._check(send, attempts=5)

    def test_a_single_request_of_the_longest_size_is_served(self):
        body = sites.build_job(tasks=1)
        body += b" " * (262_144 - len(body))
        field = b"X-Field: %b\r\n" % LONG_VALUE[:30_000]
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        port = self.cluster.daemons["d1"].ports[CALLERS_PORT]
        sock = socket.create_connection((sites.HOST, port), SEND_S)
        self.addCleanup(sock.close)
        sock.sendall(_build_start("POST", 99, field, length) + body)
        self.assertIn(b" 200 ", sock.recv(1000))

    def test_connections_without_a_handshake_at_the_peer_port(self):
        self._check(
            lambda sock: sock.sendall(b"\x00"), size=IDLE_SIZE, port=PEER_PORT
        )

    def test_answers_that_nobody_reads(self):
        request = _build_start("GET", 1, b"\r\n")
        self._check(_send_start_and_repeat(request, request * 100))

    def test_connections_without_requests(self):
        self._check(lambda sock: sock.sendall(b"P"), size=IDLE_SIZE)
