"""Reading requests piece by piece, whatever the pieces are."""

import io
import random
import unittest

import gevent
from gevent import socket

from pollenladder.gateway import exceptions
from pollenladder.gateway import held_bytes
from pollenladder.gateway import limits
from pollenladder.gateway import request_readers

BOUNDS = limits.Limits(max_head_bytes=1000, max_held_bytes=100_000)


class RequestReaderTest(unittest.TestCase):
    """A reader at one end of a connection."""

    def setUp(self):
        self.budget = held_bytes.HeldBytes(BOUNDS)
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.reader = self._build_reader(self.near)

    def _build_reader(self, sock) -> request_readers.RequestReader:
        reader = request_readers.RequestReader(sock, self.budget, BOUNDS)
        reader.begin_request()
        return reader

    def test_it_reads_like_a_buffered_file(self):
        # Guards against bytes that are lost or moved at the ends of pieces.
        for seed in range(50):
            source = random.Random(seed)
            data = bytes(source.choices(b"ab\r\n", k=900))
            near, far = socket.socketpair()
            reader, file = self._build_reader(near), io.BytesIO(data)
            sender = gevent.spawn(self._send_pieces, far, data, source)
            while True:
                name, size = source.choice(
                    (("read", 3), ("readline", 5), ("readline", -1))
                )
                expected = getattr(file, name)(size)
                self.assertEqual(getattr(reader, name)(size), expected)
                if not expected:
                    break
            sender.join()
            reader.close()
            near.close()

    def _send_pieces(self, sock, data: bytes, source: random.Random) -> None:
        while data:
            size = source.randint(1, 40)
            sock.sendall(data[:size])
            data = data[size:]
            gevent.sleep(0)
        sock.close()

    def _check_error(self, status: int, read) -> None:
        with self.assertRaises(exceptions.RequestError) as caught:
            read()
        self.assertEqual(caught.exception.status, status)

    def test_a_head_beyond_the_limit(self):
        self.far.sendall(b"x\n" * 600)
        lines = iter(self.reader.readline, b"")
        self._check_error(431, lambda: list(lines))

    def test_a_line_beyond_the_limit_is_not_kept(self):
        sender = gevent.spawn(self.far.sendall, b"x" * 50_000)
        self._check_error(431, self.reader.readline)
        sender.kill()
        self.assertLess(self.budget.total, 20_000)

    def test_a_body_beyond_the_limit(self):
        self.reader.begin_body(1)
        sender = gevent.spawn(self.far.sendall, b"x" * 50_000)
        self._check_error(413, lambda: self.reader.read(50_000))
        sender.kill()

    def test_the_next_request_is_counted_anew(self):
        self.far.sendall(b"x" * 899 + b"\n" + b"y\n")
        self.reader.readline()
        self.reader.begin_request()
        self.assertEqual(self.budget.total, 2)
        self.assertEqual(self.reader.readline(), b"y\n")
        self.far.sendall(b"z" * 900 + b"\n")
        self.assertEqual(len(self.reader.readline()), 901)

    def test_a_refused_request_ends_at_once(self):
        self.far.sendall(b"x")
        reading = gevent.spawn(self._check_error, 503, self.reader.readline)
        gevent.sleep(0.01)
        self.reader.refuse()
        reading.get(timeout=2.0)

    def test_a_refused_connection_without_a_request_ends_in_order(self):
        reading = gevent.spawn(self.reader.readline)
        gevent.sleep(0.01)
        self.reader.refuse()
        self.assertEqual(reading.get(timeout=2.0), b"")

    def test_a_request_that_arrives_as_its_connection_is_closed_is_served(self):
        # Guards against an ordinary caller that is turned away for a crowd.
        self.far.sendall(b"x\n")
        self.reader.refuse()
        self.assertEqual(self.reader.readline(), b"x\n")
        self.assertEqual(self.reader.readline(), b"")

    def test_other_greenlets_run_beside_a_fast_sender(self):
        # Guards against a client that holds up all others without ever blocking.
        turns = []
        self.reader.begin_body(200_000)
        sender = gevent.spawn(self.far.sendall, b"x" * 200_000)
        other = gevent.spawn(self._count_turns, turns)
        self.reader.read(200_000)
        self.assertGreater(len(turns), 5)
        gevent.killall([sender, other])

    def _count_turns(self, turns: list) -> None:
        while True:
            turns.append(None)
            gevent.sleep(0)

    def test_nothing_is_held_after_the_end(self):
        self.far.sendall(b"x\ny")
        self.reader.readline()
        self.reader.close()
        self.assertTrue(self.reader.closed)
        self.assertEqual(self.budget.total, 0)
