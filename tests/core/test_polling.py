"""Tests of reading and sharing the declarations."""

import unittest

from bench.capacity import samples
from pollenladder.core import polling
from pollenladder.wire import messages


def build_row(weight):
    row = samples.build_row(3)
    row["plans"]["plans"][1]["weight"] = weight
    return row


class Member:
    """Polling of one daemon, and what it has put in force."""

    def __init__(self):
        self.versions = []
        self.polling = polling.Polling(
            polling.Outlets(
                read_row=lambda: None,
                read_vms=list,
                is_reader=lambda: False,
                on_vms=lambda vms: None,
                on_declared=self.declare,
                share=lambda: None,
            ),
            lambda: 0.0,
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
        return self.polling.take_push(push)


class SharingTest(unittest.TestCase):
    def setUp(self):
        self.reader = Member()
        self.reader.push(1, 1)
        self.reader.push(2, 5)

    def test_a_peer_gets_what_its_version_lacks(self):
        choose = self.reader.polling.choose_push
        self.assertEqual(choose(0), self.reader.polling.push)
        self.assertIsInstance(choose(1), messages.DeclarationsDelta)
        self.assertIsNone(choose(2))
        self.assertIsNone(choose(3))

    def test_a_peer_that_may_have_the_base_is_told_the_delta(self):
        choose = self.reader.polling.choose_share
        delta = self.reader.polling.delta
        found = [choose(version) for version in range(3)]
        self.assertEqual(found, [self.reader.polling.push, delta, None])
        self.reader.push(3, 6)
        found = [choose(version).version for version in (1, 2)]
        self.assertEqual(found, [3, 3])
        self.assertIsInstance(choose(1), messages.DeclarationsDelta)

    def test_a_delta_is_put_in_force_on_its_base_alone(self):
        delta = self.reader.polling.choose_push(1)
        for name, held, taken, versions in (
            ("base", [(1, 1)], True, [(1, 1.0), (2, 5.0)]),
            ("none", [], False, []),
            ("other base", [(0, 1)], False, [(0, 1.0)]),
            ("newer", [(3, 7)], False, [(3, 7.0)]),
        ):
            with self.subTest(name):
                peer = Member()
                self.assertTrue(peer.polling.lacks(delta.version))
                for version, weight in held:
                    peer.push(version, weight)
                self.assertEqual(peer.polling.take_delta(delta), taken)
                self.assertEqual(peer.versions, versions)

    def test_a_wrong_delta_is_not_taken(self):
        for wrong in (None, {}, {"head": {}, "lists": {}}, {"head": 1}):
            peer = Member()
            peer.push(1, 1)
            delta = messages.DeclarationsDelta(1, 2, wrong)
            self.assertFalse(peer.polling.take_delta(delta))
            self.assertEqual(peer.versions, [(1, 1.0)])
