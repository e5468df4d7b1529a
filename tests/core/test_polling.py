"""Tests of applying declarations and sending them to peers."""

import unittest

from bench.capacity import samples
from pollenladder.core import polling
from pollenladder.wire import messages


def build_row(weight):
    """Return a row of declarations in which "plan-1" has the given weight."""
    row = samples.build_row(3)
    row["plans"]["plans"][1]["weight"] = weight
    return row


class FakeDaemon:
    """The poller of one daemon, and the declarations it has put in force."""

    def __init__(self):
        self.versions = []
        self.poller = polling.PlatformPoller(
            polling.Callbacks(
                read_row=lambda: None,
                read_vms=list,
                is_reader=lambda: False,
                on_vms=lambda vms: None,
                on_declared=self.declare,
                broadcast=lambda: None,
            ),
            lambda: 0.0,
            # The intervals of the two loops, which these tests don't run.
            1.0,
            1.0,
        )

    def declare(self, declared):
        self.versions.append(
            (declared.version, declared.plans["plan-1"].weight)
        )
        return True

    def push(self, version, weight):
        push = messages.DeclarationsPush(version, build_row(weight))
        return self.poller.apply_push(push)


class SharingTest(unittest.TestCase):
    def setUp(self):
        self.reader = FakeDaemon()
        self.reader.push(1, 1)
        self.reader.push(2, 5)

    def test_update_depends_on_the_version_of_the_peer(self):
        choose = self.reader.poller.choose_update
        self.assertEqual(choose(0), self.reader.poller.push)
        self.assertIsInstance(choose(1), messages.DeclarationsDelta)
        self.assertIsNone(choose(2))
        self.assertIsNone(choose(3))

    def test_broadcast_sends_the_delta_to_a_peer_with_a_known_version(self):
        choose = self.reader.poller.choose_broadcast
        delta = self.reader.poller.delta
        found = [choose(version) for version in range(3)]
        self.assertEqual(found, [self.reader.poller.push, delta, None])
        self.reader.push(3, 6)
        # The version known for a peer may be outdated, so a peer with an older
        # version than the delta's base gets the delta as well.
        found = [choose(version).version for version in (1, 2)]
        self.assertEqual(found, [3, 3])
        self.assertIsInstance(choose(1), messages.DeclarationsDelta)

    def test_delta_applies_only_to_its_base_version(self):
        delta = self.reader.poller.choose_update(1)
        for name, present, is_applied, versions in (
            ("base", [(1, 1)], True, [(1, 1.0), (2, 5.0)]),
            ("none", [], False, []),
            ("other base", [(0, 1)], False, [(0, 1.0)]),
            ("newer", [(3, 7)], False, [(3, 7.0)]),
        ):
            with self.subTest(name):
                peer = FakeDaemon()
                self.assertTrue(peer.poller.is_newer(delta.version))
                for version, weight in present:
                    peer.push(version, weight)
                self.assertEqual(peer.poller.apply_delta(delta), is_applied)
                self.assertEqual(peer.versions, versions)

    def test_invalid_delta_is_rejected(self):
        for invalid in (None, {}, {"head": {}, "lists": {}}, {"head": 1}):
            peer = FakeDaemon()
            peer.push(1, 1)
            delta = messages.DeclarationsDelta(1, 2, invalid)
            self.assertFalse(peer.poller.apply_delta(delta))
            self.assertEqual(peer.versions, [(1, 1.0)])
