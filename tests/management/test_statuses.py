"""Tests of merging the statuses of several daemons."""

import unittest

from pollenladder.management import statuses


def build_status(name: str, **fields) -> statuses.Status:
    """Return a status of a daemon whose name begins with its data centre."""
    base = {"daemon": name, "data_centre": name[0], "version": 3}
    return statuses.Status.model_validate(base | fields)


ONE = build_status(
    "a-1",
    daemons=[
        {"daemon": "a-1", "last_heard_s": 0.0, "version": 3},
        {"daemon": "b-1", "last_heard_s": 4.0, "version": 2},
        {"daemon": "c-1", "last_heard_s": None, "version": None},
    ],
    workers=[{"worker": "w-1", "shard": "a/0", "running": 5}],
    plans=[{"plan": "gold", "allowance": 9, "running": 2, "share": 5}],
    shards=[{"shard": "a/0", "owner": "a-1", "epoch": 7}],
    unreachable_data_centres=["c", "d"],
)
TWO = build_status(
    "b-1",
    version=2,
    daemons=[
        {"daemon": "b-1", "last_heard_s": 0.0, "version": 3, "new": 1},
        {"daemon": "c-1", "last_heard_s": 9.0, "version": 1},
    ],
    workers=[
        {"worker": "w-1", "shard": "a/0", "running": 1},
        {"worker": "w-2", "shard": "b/0"},
    ],
    plans=[
        {"plan": "gold", "allowance": 9, "running": 1, "share": 4},
        {"plan": "tin", "waiting": 1},
    ],
    shards=[{"shard": "a/0", "owner": "b-1", "epoch": 8}],
    unreachable_data_centres=["d"],
)


class MergeTest(unittest.TestCase):
    def test_order_and_repetition_do_not_change_the_result(self):
        for pair in ([ONE, TWO], [TWO, ONE], [ONE, TWO, TWO]):
            merged = statuses.merge_statuses(pair)
            versions = {d.daemon: d.version for d in merged.daemons}
            self.assertEqual(versions, {"a-1": 3, "b-1": 3, "c-1": 1})
            running = {w.worker: w.running for w in merged.workers}
            self.assertEqual(running, {"w-1": 1, "w-2": 0})
            gold = merged.plans[0]
            self.assertEqual((gold.running, gold.share), (3, 9))
            self.assertEqual(gold.allowance, 9)
            self.assertEqual(merged.plans[1].waiting, 1)
            self.assertEqual([s.owner for s in merged.shards], ["b-1"])
            self.assertEqual(merged.unreachable_data_centres, ["d"])
            self.assertEqual(merged.version, 2)

    def test_unknown_fields_are_kept(self):
        dumped = statuses.merge_statuses([ONE, TWO]).model_dump()
        self.assertEqual(dumped["daemons"][1].get("new"), 1)
        self.assertIn("a-1", dumped["daemon"])
