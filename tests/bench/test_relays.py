"""Tests of the cuts in `bench.relays`."""

import json
import unittest

from bench import relays

# Cut off, one end, other end, whether they are cut from each other.
CASES = (
    ([], "a", "b", False),
    (["a"], "a", "b", True),
    (["a"], "b", "a", True),
    (["a"], "b", "c", False),
    (["a"], "a", "a", False),
    (["a"], "a", "platform", True),
    (["a"], "b", "platform", False),
    (["a", "b"], "a", "b", True),
)


class CutsTest(unittest.TestCase):
    def test_cases(self):
        for cut_off, one, other, expected in CASES:
            with self.subTest(cut_off=cut_off, one=one, other=other):
                cuts = relays.Cuts()
                cuts.change(cut_off, "silent")
                self.assertEqual(cuts.is_cut(one, other), expected)

    def test_healing_joins_again(self):
        cuts = relays.Cuts()
        cuts.change(["a"], "closed")
        cuts.change([], "silent")
        self.assertFalse(cuts.is_cut("a", "b"))

    def test_vm_list_names_relays_elsewhere(self):
        vms = [{"vm_id": "d1", "port": 1}, {"vm_id": "d2", "port": 2}]
        body = json.dumps({"version": 1, "vms": vms}).encode()
        found = json.loads(relays.rewrite_vms(body, {"d2": 20}))
        self.assertEqual([vm["port"] for vm in found["vms"]], [1, 20])
