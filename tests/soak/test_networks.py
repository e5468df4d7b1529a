"""Tests that the simulated network stalls, resets and refuses connections."""

import unittest

import gevent
from gevent import server
from gevent import socket

from soak import networks
from soak import proxies

TIMEOUT_S = 5.0
# For so long nothing may arrive.
STALL_S = 0.2
NORTE = networks.Host("a", "norte")
SUR = networks.Host("b", "sur")


class CutTest(unittest.TestCase):
    """A cut is between the hosts of a data centre and those of others."""

    def _list_stalled(self, mode: networks.Mode) -> list[bool]:
        cut = networks.Cut("norte", mode)
        return [cut.stalls(NORTE, SUR), cut.stalls(SUR, NORTE)]

    def test_each_mode_stalls_its_directions(self):
        find = self._list_stalled
        self.assertEqual(find(networks.Mode.SILENT), [True, True])
        self.assertEqual(find(networks.Mode.OUTGOING), [True, False])
        self.assertEqual(find(networks.Mode.INCOMING), [False, True])

    def test_hosts_on_one_side_reach_each_other(self):
        cut = networks.Cut("norte", networks.Mode.SILENT)
        self.assertFalse(cut.separates(NORTE, networks.Host("c", "norte")))
        self.assertFalse(cut.separates(SUR, networks.Host("d", "este")))

    def test_the_store_is_cut_off_too_or_spared(self):
        store = networks.Host("store", networks.STORE_PLACE)
        for is_spared in (True, False):
            cut = networks.Cut("norte", networks.Mode.SILENT, is_spared)
            self.assertNotEqual(cut.separates(NORTE, store), is_spared)
            self.assertFalse(cut.separates(SUR, store))


class NetworkTest(unittest.TestCase):
    """Connections between two hosts of different data centres."""

    def setUp(self):
        self.network = networks.Network()
        self.addCleanup(self.network.close)
        self.accepted: list[socket.socket] = []
        target = server.StreamServer((proxies.HOST, 0), self._accept)
        target.start()
        self.addCleanup(target.stop, 0)
        self.port = target.server_port
        self.network.add_host(NORTE, 1)
        self.network.add_host(SUR, self.port)
        self.cut = networks.Cut("norte", networks.Mode.SILENT)

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        self.accepted.append(sock)
        gevent.sleep(TIMEOUT_S)

    def _request_connection(self) -> socket.socket:
        sock = socket.create_connection((proxies.HOST, self.network.port))
        self.addCleanup(sock.close)
        sock.settimeout(TIMEOUT_S)
        sock.sendall(f"a {self.port}\n".encode())
        return sock

    def _connect(self) -> tuple[socket.socket, socket.socket]:
        sock = self._request_connection()
        self.assertEqual(sock.recv(1), networks.CONNECTED)
        with gevent.Timeout(TIMEOUT_S):
            while not self.accepted:
                gevent.sleep(0.01)
        self.accepted[0].settimeout(TIMEOUT_S)
        return sock, self.accepted[0]

    def _check_stalled(self, sock: socket.socket) -> None:
        sock.settimeout(STALL_S)
        with self.assertRaises(TimeoutError):
            sock.recv(1)
        sock.settimeout(TIMEOUT_S)

    def test_data_arrives_after_a_silent_cut(self):
        source, target = self._connect()
        self.network.begin_cut(self.cut)
        source.sendall(b"x")
        self._check_stalled(target)
        self.network.end_cut(self.cut)
        self.assertEqual(target.recv(1), b"x")

    def test_an_end_is_not_noticed_across_a_cut(self):
        source, target = self._connect()
        self.network.begin_cut(self.cut)
        source.close()
        self._check_stalled(target)
        self.network.end_cut(self.cut)
        self.assertEqual(target.recv(1), b"")

    def test_no_connection_is_made_across_a_cut(self):
        self.network.begin_cut(self.cut)
        source = self._request_connection()
        self._check_stalled(source)
        self.network.end_cut(self.cut)
        self.assertEqual(source.recv(1), networks.CONNECTED)

    def test_a_reset_cut_resets_and_refuses(self):
        source, _ = self._connect()
        self.network.begin_cut(networks.Cut("sur", networks.Mode.RESET))
        with self.assertRaises(ConnectionResetError):
            source.recv(1)
        self.assertEqual(self._request_connection().recv(1), b"")

    def test_a_pair_is_reset(self):
        source, _ = self._connect()
        self.network.reset_pair("a", "c")
        self._check_stalled(source)
        self.network.reset_pair("b", "a")
        with self.assertRaises(ConnectionResetError):
            source.recv(1)
