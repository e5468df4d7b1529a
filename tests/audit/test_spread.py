"""Tests of comparing declarations and of measuring the spread of a version."""

import unittest

from pollenladder.audit import differences
from pollenladder.audit import spread


def build_view(
    *daemons: tuple, unreachable: tuple[str, ...] = ()
) -> spread.View:
    return spread.View(
        tuple(
            spread.DaemonView(name, name.split("-")[0], version, state, age_s)
            for name, version, state, age_s in daemons
        ),
        unreachable,
    )


A, B = ("a-1", 8, "live", 0.0), ("b-1", 8, "live", 0.4)
OLD_B = ("b-1", 7, "live", 0.2)

# Each row: the views, whether version 8 is in force everywhere, the data centres
# in which it is in force, and the ids of the lagging daemons. The id is empty for
# an unreachable data centre of which no daemon is known.
SPREADS = (
    ([], False, (), []),
    ([build_view(A, B)], True, ("a", "b"), []),
    ([build_view(A, ("b-1", 9, "live", 0.1))], True, ("a", "b"), []),
    ([build_view(A, ("b-1", 7, "live", 9.0))], False, ("a",), ["b-1"]),
    ([build_view(A, ("b-1", 7, "silent", 9.0))], False, ("a",), ["b-1"]),
    ([build_view(A, ("b-1", 7, "left", 9.0))], True, ("a",), []),
    ([build_view(A, unreachable=("b",))], False, ("a",), [""]),
    ([build_view(A, B, unreachable=("b",))], False, ("a",), ["b-1"]),
    (
        [
            build_view(A, unreachable=("b",)),
            build_view(("b-1", 8, "live", 0.0)),
        ],
        True,
        ("a", "b"),
        [],
    ),
    # The latest view of a daemon counts even if its version is lower, because
    # a restarted daemon starts without declarations.
    ([build_view(A, B), build_view(OLD_B)], False, ("a",), ["b-1"]),
    (
        [build_view(A, B, ("b-2", 0, "live", 0.1))],
        False,
        ("a",),
        ["b-2"],
    ),
)


class SpreadTest(unittest.TestCase):
    def test_version_is_everywhere_only_if_all_daemons_report_it(self):
        for views, is_everywhere, centres, lagging in SPREADS:
            with self.subTest(views=views):
                found = spread.measure_spread(views, 8)
                self.assertEqual(found.is_everywhere, is_everywhere)
                self.assertEqual(found.data_centres, centres)
                self.assertEqual([i.daemon for i in found.lagging], lagging)

    def test_highest_reported_version_would_hide_a_restart(self):
        # A restarted daemon reports a lower version than in an earlier view.
        views = [build_view(A, B), build_view(OLD_B)]
        highest = max(d.version for v in views for d in v.daemons)
        self.assertGreaterEqual(highest, 8)
        self.assertFalse(spread.measure_spread(views, 8).is_everywhere)


GOLD = {"id": "gold", "weight": 1, "kinds": [{"name": "q", "max_run_ms": 1}]}
TIN = {"id": "tin"}
ONE = {"id": "one", "plans": ["gold"]}

# Each row: the declarations before and after, the expected changes as path, old
# and new value, and the expected summary. The values of `plans.gold` are not
# compared.
DIFFERENCES = (
    ({}, {}, [], ""),
    ({}, {"plans": [TIN]}, [("plans.tin", None, TIN)], "add plans.tin"),
    ({"plans": [TIN]}, {}, [("plans.tin", TIN, None)], "remove plans.tin"),
    ({"plans": [GOLD, TIN]}, {"plans": [TIN, GOLD]}, [], ""),
    (
        {"plans": [GOLD]},
        {"plans": [GOLD | {"weight": 2}]},
        [("plans.gold.weight", 1, 2)],
        "change plans.gold.weight",
    ),
    (
        {"plans": [GOLD]},
        {"plans": [GOLD | {"kinds": [{"name": "q", "max_run_ms": 2}]}]},
        [("plans.gold.kinds.q.max_run_ms", 1, 2)],
        "change plans.gold.kinds.q.max_run_ms",
    ),
    (
        {"customers": [ONE], "operators": []},
        {"customers": [ONE | {"plans": ["tin"]}], "operators": []},
        [("customers.one.plans", ["gold"], ["tin"])],
        "change customers.one.plans",
    ),
    (
        {"plans": [GOLD]},
        {"plans": [TIN]},
        [
            ("plans.gold", None, None),
            ("plans.tin", None, TIN),
        ],
        "add plans.tin; remove plans.gold",
    ),
)


class DifferencesTest(unittest.TestCase):
    def test_paths_contain_ids(self):
        for before, after, expected, summary in DIFFERENCES:
            with self.subTest(before=before, after=after):
                found = differences.compare(before, after)
                paths = [change.path for change in found]
                self.assertEqual(paths, [item[0] for item in expected])
                self.assertEqual(differences.summarize(found), summary)
                for change, (path, old, new) in zip(
                    found, expected, strict=True
                ):
                    if path != "plans.gold":
                        self.assertEqual(
                            (change.before, change.after), (old, new)
                        )
