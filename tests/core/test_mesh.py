"""Tests of the known daemons and of the links to them."""

import unittest

from pollenladder.core import mesh
from pollenladder.dispatch import directory
from pollenladder.membership import regions
from pollenladder.wire import messages

LAYOUT = regions.Regions({"a": "r", "b": "r"}, {"a": 1, "b": 1}, 4)


class FakePeers:
    """A fake of `peering.Peering`.

    Attributes:
        linked: Daemons with an open link.
        reachable: Daemons to which a link can be made.
    """

    def __init__(self):
        self.linked = set()
        self.reachable = set()

    def list_linked(self):
        return list(self.linked)

    def is_linked(self, daemon_id):
        return daemon_id in self.linked

    def connect(self, daemon_id, address, port):
        return daemon_id in self.reachable


def make_info(daemon_id, port=1, leaving=False):
    return messages.PeerInfo(
        daemon_id, daemon_id[0], "127.0.0.1", port, 2, leaving
    )


class MeshTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.peers = FakePeers()
        self.mesh = mesh.Mesh(
            "a-0",
            "a",
            directory.Directory(),
            LAYOUT,
            self.peers,
            lambda: self.now,
        )

    def test_address_from_the_vm_list_takes_precedence(self):
        cases = (
            ("own report", [(1, False), (2, False)], 2),
            ("listed", [(1, False), (2, True)], 2),
            ("own report once listed", [(1, True), (2, False)], 1),
            ("listed again", [(1, True), (2, True)], 2),
        )
        for name, reports, port in cases:
            with self.subTest(name):
                for reported_port, is_listed in reports:
                    self.mesh.learn(
                        make_info("b-" + name, reported_port), is_listed
                    )
                known = self.mesh.known["b-" + name]
                self.assertEqual(known.info.peer_port, port)

    def test_unlisted_daemons_are_forgotten(self):
        cases = (
            ("unlisted, new", False, False, 0.0, True),
            ("unlisted, old", False, False, 60.0, False),
            ("unlisted, left", False, True, 0.0, False),
            ("was listed", True, False, 0.0, False),
        )
        for name, is_listed, leaving, age_s, is_kept in cases:
            with self.subTest(name):
                self.mesh.learn(make_info(name, leaving=leaving), is_listed)
                self.now += age_s
                self.mesh.forget_unlisted(set())
                self.assertEqual(name in self.mesh.known, is_kept)
                self.mesh.known.clear()

    def test_dead_owner_known_only_from_others_is_forgotten(self):
        for daemon_id in ("a-1", "b-1"):
            self.mesh.learn(make_info(daemon_id))
        shard_directory = self.mesh._shard_directory
        for shard_id in ("a/0", "b/0"):
            owner = messages.ShardOwner(shard_id, "a-1", 7, 8)
            directory.record_owner(shard_directory, owner, self.now)
        self.assertEqual(self.mesh.choose_links(), {"a-1"})
        self.assertFalse(self.mesh.connect("a-1"))
        self.assertEqual(shard_directory.entries, {})
        self.assertEqual(self.mesh.choose_links(), {"b-1"})

    def test_owner_that_made_the_link_itself_is_kept(self):
        self.mesh.learn(make_info("a-1"))
        load = messages.ShardLoad("a/0", 7, 2, 0, 8, "a/0~7~0", 60.0)
        directory.record_load(self.mesh._shard_directory, "a-1", load, self.now)
        self.peers.linked.add("a-1")
        self.assertTrue(self.mesh.connect("a-1"))
        self.assertEqual(
            self.mesh._shard_directory.entries["a/0"].stamp, "a/0~7~0"
        )
        self.assertIn("a-1", self.mesh.list_candidates())

    def test_linked_daemon_is_kept_although_it_is_not_listed(self):
        self.mesh.learn(make_info("a-1"), is_listed=True)
        self.peers.linked.add("a-1")
        self.mesh.forget_unlisted(set())
        self.assertIn("a-1", self.mesh.known)

    def test_lost_daemon_is_retried_and_reachable_once_it_responds(self):
        daemon_ids = ("a-1", "b-1", "b-2")
        for daemon_id in daemon_ids:
            self.mesh.learn(make_info(daemon_id))
        for daemon_id in daemon_ids:
            self.assertEqual(self.mesh.list_unreachable(), [])
            self.assertFalse(self.mesh.connect(daemon_id))
        self.assertEqual(self.mesh.list_candidates(), [])
        self.assertEqual(self.mesh.list_unreachable(), ["b"])
        self.assertEqual(self.mesh.choose_links(), set())
        self.now += mesh.RETRY_INTERVAL_S
        self.assertIn("a-1", self.mesh.choose_links())
        self.assertEqual(self.mesh.list_unreachable(), ["b"])
        self.mesh.record_linked("b-2")
        self.mesh.record_version("a-1", 1)
        self.assertEqual(self.mesh.list_unreachable(), [])
        self.assertEqual(self.mesh.list_candidates(), ["a-1", "b-2"])
