"""Tests of the state that the next owner of a group reads."""

import json
import unittest

from pollenladder.scheduling import features
from pollenladder.scheduling import interference
from pollenladder.scheduling import interference_rows
from pollenladder.scheduling import neighbours
from tests.scheduling import simulations
from tests.scheduling import test_interference

PAIRS = {("k1", "k2"): 1.5, ("k2", "k1"): 1.5}


def _learn() -> tuple[interference.Model, float]:
    model, _, now = test_interference.learn(0, 20_000, PAIRS)
    interference.fit_all(model, now)
    return model, now


class HandOverTest(unittest.TestCase):
    """A new owner must not lose minutes of evidence."""

    @classmethod
    def setUpClass(cls):
        cls.model, cls.now = _learn()
        text = json.dumps(interference_rows.encode(cls.model))
        cls.row = json.loads(text)

    def test_pairs_and_their_bounds_are_the_same(self):
        found = interference_rows.decode(self.row, 50.0)
        self.assertEqual(set(PAIRS), set(self.model.pairs))
        self.assertEqual(set(found.pairs), set(self.model.pairs))
        for key, pair in self.model.pairs.items():
            other = found.pairs[key]
            self.assertAlmostEqual(other.slowdown, pair.slowdown, places=3)
            self.assertAlmostEqual(
                other.lower_bound, pair.lower_bound, places=3
            )
            self.assertAlmostEqual(other.overlap, pair.overlap, places=3)

    def test_the_age_of_the_row_counts(self):
        age_s = interference.HALF_LIFE_S
        found = interference_rows.decode(self.row, 50.0, age_s)
        for key, evidence in found.evidence.items():
            self.assertAlmostEqual(
                evidence.overlaps["k5"],
                self.model.evidence[key].overlaps["k5"] / 2,
                places=2,
            )

    def test_a_new_owner_keeps_the_pair_apart_at_once(self):
        simulation = simulations.RegionSimulation(workers=2)
        neighbours.restore(simulation.region, self.row, simulation.now)
        simulation.step()
        simulation.submit("a", queue="k1", tasks=1)
        simulation.submit("b", queue="k2", tasks=1)
        workers = {order.worker_id for order in simulation.take_starts()}
        self.assertEqual(len(workers), 2)
        restored = [
            (event.fields["queue"], event.fields["neighbour"])
            for event in simulation.log_events
            if event.event == "interference_changed"
            and event.fields["change"] == "restored"
        ]
        self.assertEqual(sorted(restored), sorted(PAIRS))

    def test_the_row_changes_at_once_only_with_the_pairs(self):
        # Otherwise the owner would write to the store all the time.
        region = simulations.RegionSimulation().region
        region.neighbourhood.model, _ = _learn()
        first = neighbours.get_row(region, 100.0)
        model = region.neighbourhood.model
        later = self.now + 100.0
        interference.fit_all(model, later)
        self.assertIs(neighbours.get_row(region, 105.0), first)
        aged = neighbours.get_row(region, 100.0 + neighbours.ROW_INTERVAL_S)
        self.assertNotEqual(aged, first)
        del model.pairs["k1", "k2"]
        after = neighbours.get_row(region, 101.0 + neighbours.ROW_INTERVAL_S)
        found = interference_rows.decode(after, later)
        self.assertNotEqual(after, aged)
        self.assertIn(("k2", "k1"), found.pairs)

    def test_no_row_is_stored_with_the_feature_off(self):
        region = simulations.RegionSimulation().region
        region.features = features.switch_off(["interference"])
        self.assertIsNone(neighbours.get_row(region, 100.0))

    def test_an_invalid_row_leaves_the_owner_without_pairs(self):
        simulation = simulations.RegionSimulation(workers=2)
        with self.assertRaises(ValueError):
            neighbours.restore(simulation.region, {}, simulation.now)
        self.assertEqual(simulation.region.neighbourhood.model.pairs, {})


class RowTest(unittest.TestCase):
    """A row is bounded, and a corrupt one is rejected."""

    def test_an_empty_model(self):
        row = interference_rows.encode(interference.Model())
        self.assertEqual(
            interference_rows.decode(row, 0.0), interference.Model()
        )

    def test_a_row_is_bounded_and_keeps_the_pairs(self):
        model = interference.Model()
        samples = [
            interference.Sample("w1", 1.0, {}, 0.0),
            interference.Sample("w2", 1.1, {}, 0.5),
        ]
        names = [f"{number:0200}" for number in range(interference.MAX_KINDS)]
        for kind in names:
            overlaps = dict.fromkeys(names[:32], 1.0)
            beside = interference.Sample("w3", 1.2, overlaps, 0.5)
            interference.record_job(model, kind, [*samples, beside], 1.0)
        interference.fit_all(model, 1.0)
        key = (names[0], names[1])
        model.pairs[key] = interference.Pair(1.5, 1.2, 9.0)
        row = interference_rows.encode(model)
        self.assertLess(len(json.dumps(row)), 64_000)
        entries = [c for kind in row["kinds"] for c in kind[3]]
        pairs = [c for c in entries if c[4]]
        self.assertEqual(len(pairs), 1)
        interference_rows.decode(row, 1.0)

    def test_a_kind_without_a_fit_is_left_out(self):
        # Encoding must not fit all kinds at once, which would block the owner.
        model = interference.Model()
        samples = [
            interference.Sample("w1", 1.0, {"b": 1.0}, 0.0),
            interference.Sample("w2", 1.0, {}, 0.0),
        ]
        interference.record_job(model, "a", samples, 1.0)
        self.assertEqual(interference_rows.encode(model)["kinds"], [])
        interference.fit_all(model, 1.0)
        self.assertEqual(len(interference_rows.encode(model)["kinds"]), 1)

    def test_a_kind_with_a_very_long_name_is_not_stored(self):
        model = interference.Model()
        samples = [
            interference.Sample("w1", 1.0, {"b": 1.0}, 0.0),
            interference.Sample("w2", 1.0, {"x" * 300: 1.0}, 0.0),
        ]
        interference.record_job(model, "a", samples, 1.0)
        interference.fit_all(model, 1.0)
        row = interference_rows.encode(model)
        self.assertEqual(set(row["names"]), {"a", "b"})

    def test_corrupt_rows_are_rejected(self):
        entry = [0, 10.0, 0.1, [[1, 0.1, 5.0, 5.0, False]]]
        valid = {"version": 1, "names": ["a", "b"], "kinds": [entry]}
        interference_rows.decode(valid, 0.0)
        corrupt = (
            None,
            [],
            {},
            valid | {"version": 2},
            valid | {"names": ["a", "a"]},
            valid | {"names": ["a"]},
            valid | {"names": ["a", ""]},
            valid | {"names": ["a", "b" * 999]},
            valid | {"names": [f"k{n}" for n in range(65)]},
            valid | {"kinds": [entry, entry]},
            valid | {"kinds": [[0, 10.0, 0.0, []]]},
            valid | {"kinds": [[0, float("nan"), 0.1, []]]},
            valid | {"kinds": [[0, 1.0, 0.1, [[1, 9e9, 5.0, 5.0, False]]]]},
            valid | {"kinds": [[0, 1.0, 0.1, [[1, 0.1, -5.0, 5.0, False]]]]},
            valid | {"kinds": [[0, 1.0, 0.1, 2 * [[1, 0, 5.0, 5.0, False]]]]},
            valid | {"kinds": [[0, 1.0, 0.1, [[7, 0.1, 5.0, 5.0, False]]]]},
        )
        for row in corrupt:
            with self.subTest(row=row), self.assertRaises(ValueError):
                interference_rows.decode(row, 0.0)
