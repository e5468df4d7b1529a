"""Tests of deltas between versions of the declarations' table row."""

import copy
import unittest

from pollenladder.plans import deltas


def build_row(plans, customers=(), version=1):
    return {
        "version": version,
        "change_id": f"c-{version}",
        "customers": {
            "customers": [{"id": one, "plans": ["p"]} for one in customers],
            "operators": [],
        },
        "plans": {"plans": [{"id": i, "weight": w} for i, w in plans]},
    }


OLD = build_row([("a", 1), ("b", 2), ("c", 3)], ["x", "y"])
# Name, new row, number of entries that the delta sets, of ids it removes.
CASES = (
    ("nothing", build_row([("a", 1), ("b", 2), ("c", 3)], ["x", "y"], 2), 0, 0),
    ("one", build_row([("a", 1), ("b", 9), ("c", 3)], ["x", "y"], 2), 1, 0),
    ("gone", build_row([("a", 1), ("c", 3)], ["y"], 2), 0, 2),
    (
        "added",
        build_row([("a", 1), ("b", 2), ("c", 3), ("d", 4)], ["x", "y"], 2),
        1,
        0,
    ),
    ("all", build_row([], [], 2), 0, 5),
)


class DeltasTest(unittest.TestCase):
    def test_applying_a_delta_gives_the_new_row(self):
        for name, new, entries, removed in CASES:
            with self.subTest(name):
                before = copy.deepcopy((OLD, new))
                delta = deltas.build(OLD, new)
                self.assertEqual(deltas.apply(OLD, delta), new)
                self.assertEqual((OLD, new), before)
                lists = delta["lists"].values()
                self.assertEqual(sum(len(one["set"]) for one in lists), entries)
                gone = sum(len(one["removed"]) for one in lists)
                self.assertEqual(gone, removed)

    def test_no_delta_for_reordered_or_malformed_rows(self):
        moved = build_row([("b", 2), ("a", 1), ("c", 3)], ["x", "y"], 2)
        twice = build_row([("a", 1), ("a", 2)], [], 2)
        for new in (moved, twice, {}, None, {"customers": 1, "plans": 2}):
            self.assertIsNone(deltas.build(OLD, new))
