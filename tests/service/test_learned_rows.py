"""Tests of reading and writing the rows with what owners have learned."""

import dataclasses
import unittest

from pollenladder.fleet import entities as fleet
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.scheduling import learned_state
from pollenladder.scheduling import tables
from pollenladder.service import learned_rows
from tests.scheduling import simulations
from tests.scheduling import test_interference

GROUP = "norte/0"


class _Store:
    """A store in memory, which may be unavailable."""

    def __init__(self):
        self.values: dict[str, bytes] = {}
        self.writes = 0
        self.is_up = True

    def read_row(self, table: str, key: str) -> stores.Row | None:
        self._check(table)
        value = self.values.get(key)
        return stores.Row(key, value, 1) if value is not None else None

    def put(self, table: str, key: str, value: bytes) -> None:
        self._check(table)
        self.values[key] = value
        self.writes += 1

    def _check(self, table: str) -> None:
        if table != rows.LEARNED_TABLE or not self.is_up:
            raise exceptions.StoreError("unavailable")


class LearnedRowsTest(unittest.TestCase):
    """The row passes speeds to the next owner, and nothing depends on it."""

    def setUp(self):
        self.now = 100.0
        self.store = _Store()
        self.regions: dict[str, tables.Region] = {}
        callbacks = learned_rows.Callbacks(
            list_regions=lambda: self.regions,
        )
        self.rows = learned_rows.LearnedRows(
            self.store, callbacks, lambda: self.now, lambda: self.now
        )

    def _own(self, log_speed: float) -> tables.Region:
        region = simulations.RegionSimulation(workers=2).region
        if log_speed:
            worker = region.workers["w0"]
            worker.speed = fleet.SpeedEstimate(log_speed, 30.0)
        self.regions[GROUP] = region
        return region

    def _run_for(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.rows.step()
            self.now += learned_rows.CHECK_INTERVAL_S

    def test_the_next_owner_starts_from_the_row(self):
        self._own(-0.35)
        self._run_for(2 * learned_rows.WRITE_INTERVAL_S)
        region = self._own(0.0)
        self._run_for(1.0)
        self.assertAlmostEqual(region.workers["w0"].speed.log_speed, -0.35)

    def test_the_next_owner_keeps_known_pairs_apart(self):
        # Else tasks slow each other down until the pair is found again.
        pairs = {("k1", "k2"): 1.5}
        model, _, _ = test_interference.learn(0, 20_000, pairs)
        self.assertTrue(model.pairs)
        self._own(0.0).neighbourhood.model = model
        self._run_for(2 * learned_rows.WRITE_INTERVAL_S)
        region = self._own(0.0)
        self._run_for(1.0)
        found = region.neighbourhood.model.pairs
        self.assertEqual(found.keys(), model.pairs.keys())

    def test_an_invalid_part_on_interference_is_left_out(self):
        self._own(-0.35)
        self._run_for(2 * learned_rows.WRITE_INTERVAL_S)
        state = rows.decode_learned(self.store.values[GROUP])
        state = dataclasses.replace(state, interference=["not", "a", "row"])
        self.store.values[GROUP] = rows.encode_learned(state)
        region = self._own(0.0)
        self._run_for(1.0)
        self.assertAlmostEqual(region.workers["w0"].speed.log_speed, -0.35)
        self.assertFalse(region.neighbourhood.model.pairs)

    def test_an_unchanged_state_is_written_once(self):
        self._own(-0.35)
        self._run_for(60.0)
        self.assertEqual(self.store.writes, 1)

    def test_a_changing_state_is_written_at_most_each_five_seconds(self):
        region = self._own(-0.35)
        for _ in range(240):
            region.workers["w0"].speed.log_speed += 0.01
            self.rows.step()
            self.now += learned_rows.CHECK_INTERVAL_S
        self.assertLessEqual(self.store.writes, 12)
        self.assertGreater(self.store.writes, 1)

    def test_without_the_store_the_owner_starts_anew(self):
        self.store.is_up = False
        region = self._own(0.0)
        self._run_for(1.0)
        self.assertEqual(region.workers["w0"].speed.log_speed, 0.0)

    def test_a_write_that_failed_is_repeated(self):
        self._own(-0.35)
        self._run_for(1.0)
        self.store.is_up = False
        self._run_for(learned_rows.WRITE_INTERVAL_S)
        self.store.is_up = True
        self._run_for(2 * learned_rows.WRITE_INTERVAL_S)
        self.assertEqual(self.store.writes, 1)

    def test_a_malformed_row_is_replaced(self):
        self.store.values[GROUP] = b"not a state"
        self._own(-0.35)
        self._run_for(2 * learned_rows.WRITE_INTERVAL_S)
        state = rows.decode_learned(self.store.values[GROUP])
        self.assertIsInstance(state, learned_state.LearnedState)
