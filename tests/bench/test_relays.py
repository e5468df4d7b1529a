"""Tests of the partitions in `bench.relays`."""

import json
import unittest

from bench import relays

# Data centres that are cut off, both ends, whether the ends are separated.
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


class PartitionTest(unittest.TestCase):
    def test_cases(self):
        for cut_off, one, other, expected in CASES:
            with self.subTest(cut_off=cut_off, one=one, other=other):
                partition = relays.Partition()
                partition.change(cut_off, "silent")
                self.assertEqual(partition.is_cut(one, other), expected)

    def test_partition_can_be_ended(self):
        partition = relays.Partition()
        partition.change(["a"], "closed")
        partition.change([], "silent")
        self.assertFalse(partition.is_cut("a", "b"))

    def test_vm_list_has_relay_ports_of_other_data_centres(self):
        vms = [{"vm_id": "d1", "port": 1}, {"vm_id": "d2", "port": 2}]
        body = json.dumps({"version": 1, "vms": vms}).encode()
        found = json.loads(relays.rewrite_vms(body, {"d2": 20}))
        self.assertEqual([vm["port"] for vm in found["vms"]], [1, 20])
