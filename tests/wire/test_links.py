"""Tests of handshakes, links and their server, over loopback sockets."""

import dataclasses
import time
import unittest
from unittest import mock

import gevent
from gevent import socket
import msgpack

from pollenladder.core import clocks
from pollenladder.wire import converters
from pollenladder.wire import exceptions
from pollenladder.wire import framing
from pollenladder.wire import handshake
from pollenladder.wire import links
from pollenladder.wire import server
from tests.wire import samples

Reason = links.CloseReason
NOTE = samples.MESSAGES.encode(samples.Note(1, "note"))
HEARTBEAT = framing.pack_batch([])
# Each row: a name, the bytes that a peer sends after a valid handshake before
# it closes, the expected close reason, and the number of messages delivered.
FAULTS = (
    ("closed", b"", Reason.PEER_CLOSED, 0),
    ("closed after a message", framing.pack_batch([NOTE]), "peer_closed", 1),
    ("heartbeat only", HEARTBEAT, Reason.PEER_CLOSED, 0),
    ("duplicated", framing.pack_batch([NOTE]) * 2, Reason.PEER_CLOSED, 2),
    ("oversized", framing.HEADER.pack(1 << 31), Reason.OVERSIZED, 0),
    ("cut in header", b"\0\0", Reason.TRUNCATED, 0),
    ("cut in body", framing.pack_batch([NOTE])[:-1], Reason.TRUNCATED, 0),
    ("garbage", b"\0\0\0\1\xc1", Reason.GARBAGE, 0),
    ("http", b"GET / HTTP/1.1\r\n\r\n", Reason.OVERSIZED, 0),
    ("unknown tag", framing.pack_batch([b"\x91\x63"]), "bad_message", 0),
    ("wrong arity", framing.pack_batch([b"\x91\x02"]), "bad_message", 0),
    (
        "wrong type",
        framing.pack_batch([msgpack.packb([2, "1", ""])]),
        Reason.BAD_MESSAGE,
        0,
    ),
    (
        "a bad message invalidates its frame",
        framing.pack_batch([NOTE, b"\x01"]),
        Reason.BAD_MESSAGE,
        0,
    ),
    (
        "good frame, then bad",
        framing.pack_batch([NOTE]) + framing.pack_batch([b"\x01"]),
        Reason.BAD_MESSAGE,
        1,
    ),
)
NONCE = framing.pack_batch([msgpack.packb(b"n" * 32)])
# Bytes sent instead of a valid handshake.
UNAUTHENTICATED_INPUTS = (
    b"",
    b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
    framing.HEADER.pack(handshake.MAX_HANDSHAKE_BYTES + 1),
    framing.pack_batch([]),
    NONCE,
    framing.pack_batch([msgpack.packb(b"n" * 32)] * 3),
    framing.pack_batch([msgpack.packb(b"")] * 3),
    framing.pack_batch([msgpack.packb(1)] * 3),
    b"\0\0\0\2\xc1\xc1",
)


def build_limits(**changes):
    values = {"peer_timeout_s": samples.WAIT_S} | changes
    return links.Limits(**values)


def read_until_closed(sock):
    """Return the bytes received until the peer closes or resets."""
    received = b""
    try:
        while data := sock.recv(4096):
            received += data
    except ConnectionResetError:
        pass
    return received


class LinkTestCase(unittest.TestCase):
    def setUp(self):
        self.near = samples.RecordingDaemon("near")
        self.far = samples.RecordingDaemon("far")

    def listen(self, end):
        listener = end.listen()
        self.addCleanup(listener.stop)
        return listener.port

    def connect(self, end, port):
        link = server.connect(end.settings, "127.0.0.1", port)
        self.addCleanup(link.close)
        return link

    def open_link(self):
        """Open a link from near to far and return both of its ends."""
        link = self.connect(self.near, self.listen(self.far))
        self.assertTrue(samples.wait_until(lambda: self.far.links))
        return link, self.far.links[0]

    def connect_raw(self, port):
        """Return a socket that has completed the handshake as a peer."""
        sock = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(sock.close)
        handshake.connect(
            sock, samples.make_hello("raw"), samples.SECRET, samples.WAIT_S
        )
        return sock


class LinkTest(LinkTestCase):
    def test_messages_arrive_in_order_both_ways_in_few_frames(self):
        near, far = self.open_link()
        notes = [samples.Note(n) for n in range(1000)]
        self.assertTrue(all(list(map(near.send, notes))))
        self.assertTrue(far.send(samples.EVERYTHING))
        samples.wait_until(lambda: len(self.far.received) == 1000)
        samples.wait_until(lambda: self.near.received)
        self.assertEqual(self.far.received, notes)
        self.assertEqual(self.near.received, [samples.EVERYTHING])
        self.assertEqual(near.peer, self.far.settings.hello)
        self.assertEqual(far.peer, self.near.settings.hello)
        self.assertEqual(near.counts.messages_out, 1000)
        self.assertEqual(near.counts.frames_out, 1)
        self.assertEqual(far.counts.messages_in, 1000)
        self.assertEqual(far.counts.bytes_in, near.counts.bytes_out)

    def test_faults_of_a_peer_close_its_link_with_a_reason(self):
        port = self.listen(self.far)
        for name, sent, reason, delivered in FAULTS:
            with self.subTest(name):
                self.far.received.clear()
                self.far.closed.clear()
                sock = self.connect_raw(port)
                sock.sendall(sent)
                sock.shutdown(socket.SHUT_WR)
                samples.wait_until(lambda: self.far.closed)
                self.assertEqual(self.far.closed, [Reason(reason)])
                self.assertEqual(len(self.far.received), delivered)

    def test_silence_during_a_suspension_closes_the_connection(self):
        # Guards against a daemon that takes its peers for alive as its machine wakes,
        # as the steady clock of the machine does not count the suspension.
        suspended_s = 0.0

        def read_clock() -> float:
            return time.monotonic() + suspended_s

        self.far = samples.RecordingDaemon(
            "far", limits=build_limits(heartbeat_s=0.05)
        )
        with mock.patch.object(
            clocks, "read_monotonic_s", side_effect=read_clock
        ):
            self.connect_raw(self.listen(self.far))
            gevent.sleep(0.1)
            self.assertEqual(self.far.closed, [])
            suspended_s = 2 * samples.WAIT_S
            gevent.sleep(0.2)
        self.assertEqual(self.far.closed, [Reason.SILENT])

    def test_a_silent_connection_is_closed(self):
        self.far = samples.RecordingDaemon(
            "far", limits=build_limits(peer_timeout_s=0.1)
        )
        self.connect_raw(self.listen(self.far))
        samples.wait_until(lambda: self.far.closed)
        self.assertEqual(self.far.closed, [Reason.SILENT])

    def test_bytes_that_were_not_read_yet_show_a_live_peer(self):
        limits = build_limits(peer_timeout_s=0.2, heartbeat_s=5.0)
        self.far = samples.RecordingDaemon("far", limits=limits)
        sock = self.connect_raw(self.listen(self.far))
        samples.wait_until(lambda: self.far.links)
        # A process that is suspended past the timeout, while bytes arrive.
        sock.sendall(HEARTBEAT)
        time.sleep(0.5)
        gevent.sleep(0.05)
        self.assertEqual(self.far.closed, [])

    def test_a_peer_that_does_not_read_is_closed(self):
        limits = build_limits(peer_timeout_s=0.2, heartbeat_s=0.05)
        self.far = samples.RecordingDaemon("far", limits=limits)
        sock = self.connect_raw(self.listen(self.far))
        samples.wait_until(lambda: self.far.links)
        text = "x" * converters.MAX_TEXT_CHARS
        while self.far.links[0].send(samples.Note(1, text)):
            pass
        with gevent.Timeout(samples.WAIT_S, AssertionError("still open")):
            while not self.far.closed:
                sock.sendall(HEARTBEAT)
                gevent.sleep(0.02)
        self.assertEqual(self.far.closed, [Reason.STALLED])

    def test_heartbeats_keep_an_idle_link(self):
        limits = build_limits(heartbeat_s=0.01)
        self.near = samples.RecordingDaemon("near", limits=limits)
        self.far = samples.RecordingDaemon("far", limits=limits)
        near, far = self.open_link()
        samples.wait_until(lambda: near.counts.heartbeats_in > 5)
        samples.wait_until(lambda: far.counts.heartbeats_in > 5)
        self.assertEqual((self.near.closed, self.far.closed), ([], []))
        self.assertGreater(far.counts.heartbeats_out, 5)
        self.assertEqual(self.near.received, [])

    def test_a_full_queue_and_a_closed_link_reject_messages(self):
        cases = (
            (build_limits(max_queued_messages=3), 3),
            (build_limits(max_queued_bytes=3 * len(NOTE)), 3),
        )
        for limits, accepted in cases:
            self.near = samples.RecordingDaemon("near", limits=limits)
            link = self.connect(self.near, self.listen(self.far))
            sent = [link.send(samples.Note(1, "note")) for _ in range(5)]
            self.assertEqual(sum(sent), accepted)
            self.assertEqual(sent, sorted(sent, reverse=True))
            self.assertTrue(link.flush(samples.WAIT_S))
            self.assertTrue(link.send(samples.Note(1, "note")))
            link.close()
            self.assertFalse(link.send(samples.Note(1, "note")))
            self.assertFalse(link.flush(samples.WAIT_S))
            self.assertEqual(self.near.closed, [Reason.LOCAL])

    def test_batches_do_not_exceed_the_frame_limit(self):
        limits = build_limits(max_frame_bytes=100)
        self.near = samples.RecordingDaemon("near", limits=limits)
        self.far = samples.RecordingDaemon("far", limits=limits)
        near, _ = self.open_link()
        notes = [samples.Note(n, "x" * 40) for n in range(20)]
        self.assertTrue(all(list(map(near.send, notes))))
        samples.wait_until(lambda: len(self.far.received) == 20)
        self.assertEqual(self.far.received, notes)
        self.assertEqual(near.counts.frames_out, 10)
        with self.assertRaises(exceptions.EncodingError):
            near.send(samples.Note(1, "x" * 100))

    def test_both_ends_set_nodelay(self):
        for link in self.open_link():
            option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
            self.assertTrue(link._sock.getsockopt(*option))

    def test_a_link_with_a_failing_greenlet_is_closed(self):
        # Guards against a link that stays open without a reader, a writer or a
        # timeout.
        for name in ("_handle_frame", "_write_frame"):
            with (
                self.subTest(name),
                mock.patch.object(links.Link, name, side_effect=ValueError),
                self.assertLogs(links.LOGGER, "ERROR"),
            ):
                self.setUp()
                near, _ = self.open_link()
                near.send(samples.Note(1, "note"))
                near.join()
                samples.wait_until(lambda: self.far.closed)
            reasons = {*self.near.closed, *self.far.closed}
            self.assertIn(Reason.FAILED, reasons)

    def test_a_link_is_closed_although_its_handler_fails(self):
        near, far = self.open_link()
        far._on_close = mock.Mock(side_effect=ValueError)
        with self.assertLogs(links.LOGGER, "ERROR"):
            far.close()
        far.join()
        near.join()

    def test_a_failing_handler_does_not_end_the_link(self):
        def fail(link, message):
            self.far.received.append(message)
            raise ValueError("handler")

        self.far = samples.RecordingDaemon("far", on_message=fail)
        near, _ = self.open_link()
        with self.assertLogs("pollenladder.wire.links", "ERROR"):
            near.send(samples.Note(1))
            near.send(samples.Note(2))
            samples.wait_until(lambda: len(self.far.received) == 2)
        self.assertEqual(self.far.closed, [])

    def test_a_new_link_replays_nothing(self):
        port = self.listen(self.far)
        link = self.connect(self.near, port)
        self.assertTrue(link.send(samples.Note(1)))
        link.close()
        self.assertTrue(self.connect(self.near, port).send(samples.Note(2)))
        samples.wait_until(lambda: self.far.received)
        self.assertEqual(self.far.received, [samples.Note(2)])


class HandshakeTest(LinkTestCase):
    def test_unauthenticated_peers_are_closed_without_an_error_message(self):
        self.far = samples.RecordingDaemon(
            "far", handshake_timeout_s=samples.WAIT_S
        )
        port = self.listen(self.far)
        for sent in UNAUTHENTICATED_INPUTS:
            with self.subTest(sent=sent[:20]):
                sock = socket.create_connection(("127.0.0.1", port))
                sock.sendall(sent)
                sock.shutdown(socket.SHUT_WR)
                self.assertEqual(len(read_until_closed(sock)), len(NONCE))
        self.assertEqual(self.far.links, [])

    def test_a_slow_handshake_times_out(self):
        self.far = samples.RecordingDaemon("far", handshake_timeout_s=0.05)
        port = self.listen(self.far)
        with socket.create_connection(("127.0.0.1", port)) as sock:
            while sock.recv(4096):
                pass
        self.assertEqual(self.far.links, [])

    def test_either_end_with_a_wrong_secret_or_version_is_rejected(self):
        old = dataclasses.replace(samples.make_hello("old"), version=0)
        for changes in ({"secret": b"wrong"}, {"hello": old}):
            with self.subTest(changes):
                port = self.listen(samples.RecordingDaemon("far", **changes))
                with self.assertRaises(exceptions.HandshakeError):
                    self.connect(self.near, port)
                near = samples.RecordingDaemon("near", **changes)
                with self.assertRaises(exceptions.HandshakeError):
                    self.connect(near, self.listen(self.far))
        self.assertEqual(self.far.links, [])

    def test_a_reflected_proof_is_rejected(self):
        """Echo one connection's nonce on another connection to the acceptor."""
        port = self.listen(self.far)
        first = socket.create_connection(("127.0.0.1", port))
        second = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(second.close)
        nonce = first.recv(4096)
        second.recv(4096)
        second.sendall(nonce)
        self.assertEqual(second.recv(4096), b"")
        first.close()

    def test_a_refused_connection_raises_unreachable_error(self):
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            with self.assertRaises(exceptions.UnreachableError):
                self.connect(self.near, sock.getsockname()[1])

    def test_connections_without_a_handshake_give_way_to_peers(self):
        # Guards against a crowd that keeps peers out, or takes all descriptors.
        self.far = samples.RecordingDaemon("far", max_handshakes=4)
        port = self.listen(self.far)
        crowd = [
            socket.create_connection(("127.0.0.1", port)) for _ in range(20)
        ]
        for sock in crowd:
            self.addCleanup(sock.close)
        self.assertTrue(self.connect(self.near, port).send(samples.Note(1)))
        self.assertTrue(samples.wait_until(lambda: self.far.received))
        # The nonce, and then the end of the connection.
        self.assertTrue(crowd[0].recv(4096))
        self.assertEqual(crowd[0].recv(4096), b"")

    def test_connections_beyond_the_limit_are_closed(self):
        self.far = samples.RecordingDaemon("far", max_connections=1)
        port = self.listen(self.far)
        link = self.connect(self.near, port)
        with self.assertRaises(exceptions.HandshakeError):
            self.connect(self.near, port)
        link.close()
        samples.wait_until(lambda: self.far.closed)
        self.assertTrue(self.connect(self.near, port).send(samples.Note(1)))
        self.assertTrue(samples.wait_until(lambda: self.far.received))
