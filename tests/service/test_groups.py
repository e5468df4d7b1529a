"""Layouts that are applied, and the workers of each group."""

import unittest
from unittest import mock

from pollenladder.cluster import groups as layouts
from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.service import groups

WHOLE = layouts.Layout(1, {})
SPLIT = layouts.Layout(2, {"norte": 1, "sur": 1})


def _build_group(name: str) -> groups.Group:
    group = groups.Group(mock.Mock(), mock.Mock())
    group.leadership.highest_epoch = 7
    return group


def _build_listing(worker_id: str, data_centre: str) -> fleet.Listing:
    capacity = jobs.Resources(1000, 1000)
    address = ("10.0.0.1", 1)
    return fleet.Listing(worker_id, address, data_centre, "s", capacity, False)


class GroupsTest(unittest.TestCase):
    """A daemon that learns layouts and lists of workers."""

    def setUp(self):
        self.changes = 0
        self.groups = groups.Groups(
            groups.Callbacks(_build_group, self._count_change)
        )
        self.listings = [
            _build_listing("w1", "norte"),
            _build_listing("w2", "norte"),
            _build_listing("w3", "sur"),
        ]

    def _count_change(self) -> None:
        self.changes += 1

    def _get_workers(self, name: str) -> list[str]:
        """Return the workers that the engine of a group was last told."""
        engine = self.groups.groups[name].engine
        return [w.worker_id for w in engine.update_workers.call_args.args[0]]

    def test_workers_are_passed_to_the_engines_of_their_groups(self):
        self.groups.update_workers(self.listings, True)
        self.groups.apply_layout(SPLIT)
        self.assertEqual(self._get_workers("norte/0"), ["w1", "w2"])
        self.assertEqual(self._get_workers("sur/0"), ["w3"])
        engine = self.groups.groups["sur/0"].engine
        shares = engine.update_workers.call_args.args[2]
        self.assertAlmostEqual(shares["s"], 1 / 3)

    def test_older_layout_is_not_applied(self):
        self.assertTrue(self.groups.apply_layout(SPLIT))
        self.assertFalse(self.groups.apply_layout(WHOLE))
        self.assertEqual(self.groups.groups.keys(), {"norte/0", "sur/0"})

    def test_groups_that_are_gone_retire(self):
        self.groups.apply_layout(WHOLE)
        before = self.groups.groups[layouts.REGION_GROUP]
        self.groups.apply_layout(SPLIT)
        before.leadership.retire.assert_called_once_with()
        before.engine.retire.assert_called_once_with()
        self.assertEqual(self.changes, 2)

    def test_new_groups_exceed_the_epochs_of_those_before(self):
        self.groups.apply_layout(WHOLE)
        self.groups.apply_layout(SPLIT)
        for group in self.groups.groups.values():
            group.leadership.record_epoch.assert_called_once_with(7)

    def test_worker_of_an_unknown_data_centre_has_no_engine_yet(self):
        self.groups.apply_layout(SPLIT)
        listings = [*self.listings, _build_listing("w4", "este")]
        self.groups.update_workers(listings, True)
        self.assertEqual(self._get_workers("sur/0"), ["w3"])

    def test_group_that_is_split_further_records_that_workers_moved(self):
        # Guards against a second run of a task that is active on a worker of
        # the group before the change.
        self.groups.apply_layout(SPLIT)
        self.groups.apply_layout(layouts.Layout(3, {"norte": 2, "sur": 1}))
        for name, count in (("norte/0", 1), ("norte/1", 0), ("sur/0", 0)):
            record = self.groups.groups[name].engine.record_moved_workers
            self.assertEqual(record.call_count, count, name)
